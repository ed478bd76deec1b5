//! A trial as the cells agree on it.
use crate::prelude::*;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum TrialStatus {
    Running,
    /// Invariant: `verdict` is final.
    Ended {
        verdict: Verdict,
        /// Conversations under way go to the current policy at once, instead of finishing on their arm.
        at_once: bool,
        unix_ms: u64,
        evidence: Box<Evidence>,
    },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TrialRecord {
    pub spec: TrialSpec,
    pub began_unix_ms: u64,
    pub status: TrialStatus,
}

impl TrialRecord {
    pub fn begin(spec: TrialSpec, unix_ms: u64) -> Self {
        TrialRecord { spec, began_unix_ms: unix_ms, status: TrialStatus::Running }
    }

    /// Names this start of the trial: the same file started again is another trial.
    pub fn key(&self) -> u64 {
        fnv64(format!("{}@{}", self.spec.id, self.began_unix_ms).as_bytes())
    }

    pub fn is_running(&self) -> bool {
        self.status == TrialStatus::Running
    }

    /// Conversations that began under it keep their arm.
    pub fn keeps_arms(&self) -> bool {
        !matches!(self.status, TrialStatus::Ended { at_once: true, .. })
    }

    pub fn ended(&self, verdict: Verdict, unix_ms: u64, evidence: Evidence) -> Self {
        let at_once = matches!(verdict, Verdict::Guardrail(_) | Verdict::Stopped { at_once: true });
        let status = TrialStatus::Ended { verdict, at_once, unix_ms, evidence: Box::new(evidence) };
        TrialRecord { spec: self.spec.clone(), began_unix_ms: self.began_unix_ms, status }
    }

    /// Whether this one may take the place of `old`: an end only of the same start, a start only when
    /// nothing runs and what ran before has drained (at once when its arms were dropped).
    pub fn may_follow(&self, old: Option<&TrialRecord>) -> bool {
        match (&self.status, old) {
            (TrialStatus::Running, None) => true,
            (TrialStatus::Running, Some(o)) => match &o.status {
                TrialStatus::Running => false,
                TrialStatus::Ended { at_once, unix_ms, .. } => {
                    let drain = if *at_once { 0 } else { o.spec.drain.as_millis() as u64 };
                    self.key() != o.key() && self.began_unix_ms >= unix_ms.saturating_add(drain)
                }
            },
            (TrialStatus::Ended { .. }, Some(o)) => o.is_running() && o.key() == self.key(),
            (TrialStatus::Ended { .. }, None) => false,
        }
    }

    /// As nodes need it: without the evidence.
    pub fn for_nodes(&self) -> Self {
        let mut r = self.clone();
        if let TrialStatus::Ended { evidence, .. } = &mut r.status {
            **evidence = Evidence::default();
        }
        r
    }
}
