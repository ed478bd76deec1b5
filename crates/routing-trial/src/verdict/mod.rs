//! The judgement, made anew whenever outcomes come in.
mod guards;
mod sequence;
mod text;

pub use guards::excess_evidence;
pub use sequence::{compare_arms, Estimate};
pub use text::say;

use crate::prelude::*;
use guards::find_breach;

/// Why a guardrail ended the trial.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Breach {
    /// An answer on a protected route was given as whole and lacked events.
    Holes { route: String, count: u64 },
    /// Streams broke off on the candidate: `counts` is broken and answered on the control, then on the
    /// candidate, of `route`, or of all protected routes compared together.
    Broken { route: Option<String>, counts: [(u64, u64); 2], evidence: f64 },
    /// Urgent requests waited behind less urgent ones.
    Inversions { count: u64 },
    /// What can't be repeated was sent again after it may have run.
    Doubles { count: u64 },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    Running,
    CandidateBetter,
    ControlBetter,
    /// Any difference is smaller than what matters, or none was found by the horizon.
    NoDifference {
        by_horizon: bool,
    },
    Guardrail(Breach),
    /// An operator ended it.
    Stopped {
        at_once: bool,
    },
}

impl Verdict {
    /// What `trial verdict` and `trial watch` exit with.
    pub fn exit_code(&self) -> i32 {
        match self {
            Verdict::CandidateBetter => 0,
            Verdict::ControlBetter => 10,
            Verdict::NoDifference { .. } => 11,
            Verdict::Guardrail(_) => 12,
            Verdict::Stopped { .. } => 13,
            Verdict::Running => 14,
        }
    }
}

/// One look, for the plot.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Point {
    pub conversations: u64,
    pub diff: f64,
    pub low: f64,
    pub high: f64,
}

/// What a verdict rests on. Arrays are by `Arm::index`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    pub conversations: [u64; 2],
    pub turns: [u64; 2],
    /// None until both arms have enough.
    pub estimate: Option<Estimate>,
    pub routes: [BTreeMap<String, RouteCounts>; 2],
    pub inversions: u64,
    pub doubles: u64,
    pub nodes: usize,
    pub left_out: u64,
    pub points: Vec<Point>,
}

impl Evidence {
    fn of(t: &Totals) -> Self {
        Evidence {
            conversations: [t.arms[0].conversations(), t.arms[1].conversations()],
            turns: [t.arms[0].turns(), t.arms[1].turns()],
            estimate: None,
            routes: [t.arms[0].routes.clone(), t.arms[1].routes.clone()],
            inversions: t.inversions,
            doubles: t.doubles,
            nodes: t.nodes,
            left_out: t.left_out,
            points: Vec::new(),
        }
    }
}

/// The verdict on what was counted so far. May be asked as often as one likes: the error rate of the
/// spec holds over all looks together.
pub fn judge(spec: &TrialSpec, t: &Totals) -> (Verdict, Evidence) {
    let mut ev = Evidence::of(t);
    let enough = ev.conversations.iter().all(|n| *n >= spec.least);
    if enough {
        ev.estimate = compare_arms(&t.arms, spec.alpha, spec.min_effect);
    }
    if let Some(b) = find_breach(spec, t) {
        return (Verdict::Guardrail(b), ev);
    }
    let verdict = match &ev.estimate {
        Some(e) if e.low > 0.0 => Verdict::CandidateBetter,
        Some(e) if e.high < 0.0 => Verdict::ControlBetter,
        Some(e) if e.low > -spec.min_effect && e.high < spec.min_effect => {
            Verdict::NoDifference { by_horizon: false }
        }
        _ if ev.conversations.iter().sum::<u64>() >= spec.horizon => {
            Verdict::NoDifference { by_horizon: true }
        }
        _ => Verdict::Running,
    };
    (verdict, ev)
}
