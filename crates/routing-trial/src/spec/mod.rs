//! What is tried, on how many conversations, and when it ends.
mod check;

pub use check::check_spec;

use crate::prelude::*;

/// A named set of the scheduler's parameters, in ms of waiting; those not set stay as they are.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicySpec {
    pub name: String,
    /// What a send to another zone costs.
    pub far_ms: Option<f64>,
    /// What an engine that holds the line must be behind before the line leaves it.
    pub stay_ms: Option<f64>,
    /// What each request that runs beside costs a turn.
    pub beside_ms: Option<f64>,
    /// What each request that waits at the engine costs a turn.
    pub behind_ms: Option<f64>,
}

/// How many broken streams on protected routes the candidate may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BrokenLimit {
    /// The first one stops the trial.
    Zero,
    /// More than the current policy has, beyond chance.
    AsControl,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GuardSpec {
    /// Names of protected routes.
    pub routes: Vec<String>,
    /// Routes of this priority level and more urgent ones are protected as well.
    pub priority: Option<u8>,
    pub broken: BrokenLimit,
    /// Limits of single routes, which are protected by that; `broken` holds for the others.
    #[serde(default)]
    pub limits: BTreeMap<String, BrokenLimit>,
    /// Error rate of the comparison of broken streams.
    pub alpha: f64,
    /// How many urgent requests may wait behind less urgent ones.
    pub inversions: u64,
}

impl GuardSpec {
    pub fn protects(&self, route: &str, priority: u8) -> bool {
        self.priority.is_some_and(|p| priority <= p)
            || self.routes.iter().any(|r| r == route)
            || self.limits.contains_key(route)
    }

    pub fn broken_limit(&self, route: &str) -> BrokenLimit {
        self.limits.get(route).copied().unwrap_or(self.broken)
    }
}

/// Invariants (held by `check_spec`): `share` in (0, 1); `alpha` and the guard's in (0, 0.5];
/// `min_effect` in (0, 1]; `least` > 0; `horizon` >= 2 `least`; the candidate sets something.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TrialSpec {
    pub id: String,
    pub name: String,
    /// What the current policy is called.
    pub control: String,
    pub candidate: PolicySpec,
    /// Share of new conversations on the candidate; all others are on the current policy.
    pub share: f64,
    /// Worth of a turn whose first event came after its aim; in time is 1, not served is 0.
    pub late_worth: f64,
    /// The error rate over all looks together.
    pub alpha: f64,
    /// Differences smaller than this don't matter.
    pub min_effect: f64,
    /// Conversations an arm must have before the arms are compared.
    pub least: u64,
    /// Conversations, both arms together, after which the trial ends.
    pub horizon: u64,
    /// A node takes conversations in only this long after it heard of the trial, when all have.
    pub lead_in: Duration,
    /// After a trial has ended, none begins for so long: conversations finish on their arm.
    pub drain: Duration,
    pub guard: GuardSpec,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpecFault {
    pub field: String,
    pub reason: String,
}

impl std::fmt::Display for SpecFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}
