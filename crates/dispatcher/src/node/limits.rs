use crate::prelude::*;

/// When a claim asks a majority again after it was granted. Replies of one claim are of different moments:
/// of three or more claims at once each may miss one, in a ring, and together take more room than there
/// is. Asked again, the last of them to be granted sees all others, at the price of one more trip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recheck {
    Always,
    /// Only a claim that would take more than half of what is left to it. If all claims at once stay
    /// below that, their sum stays within the limit, whatever they missed of each other; mixed with ones
    /// that don't it is not proven.
    NearLimit,
    /// Only a claim that leaves room for fewer than so many more turns like it. Of `k` claims at once one
    /// has seen at least half of the others, so up to `2n + 1` of them stay within the budget by
    /// themselves, and up to `2n + 3` within the one turn beyond it that RULES (BUDGET) allows. Slots are
    /// not asked for again.
    Within(u32),
    /// A ring may take up to twice the limit.
    Never,
}

/// Four attempts and one minute are the design's starting values; 0 is unbounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Attempts of one session that may hold a slot.
    pub per_session: u32,
    /// Attempts of one program that may hold a slot.
    pub per_program: u32,
    pub lease: Duration,
    /// The way to an engine, and how far elapsed clocks part within a deadline.
    pub slack: Duration,
    pub recheck: Recheck,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            per_session: 4,
            per_program: 0,
            lease: Duration::from_secs(60),
            slack: Duration::from_secs(2),
            recheck: Recheck::Within(2),
        }
    }
}
