//! Orders and questions about the routing trial.
use crate::prelude::*;

/// What an operator asks of the routing trial. A start and a stop are answered with an outcome.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum TrialRequest {
    /// Begins a trial.
    Start {
        /// What is tried.
        spec: Box<TrialSpec>,
    },
    /// Ends it.
    Stop {
        /// Rather than step by step.
        at_once: bool,
    },
    /// Answered by the leader, which has all reports.
    #[serde(rename = "Tell")]
    Report,
}

/// The trial that runs, or the last one. While it runs, `verdict` and `evidence` are of this moment.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TrialReport {
    /// As agreed on.
    pub record: TrialRecord,
    /// What it came to.
    pub verdict: Verdict,
    /// What that rests on.
    pub evidence: Evidence,
}
