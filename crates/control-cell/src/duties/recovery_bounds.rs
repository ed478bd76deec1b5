//! How long the leader waits before it acts on a machine's silence. All of it is derived from `catchUpS`:
//! a loss stops counting that long after the machine, or its successor, is back, and the next loss may
//! come right then. By that time what was lost must have full redundancy again.
use crate::prelude::*;

/// Waits of the leader's duties.
///
/// Invariant: `heard_margin < replace_after < remove_after < give_up_after`, and `remove_after` leaves at least
/// `restore` of `catchUpS` for agreeing on the step and for transferring what was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecoveryBounds {
    /// A machine must be heard so long after a newcomer's first report to prove that the newcomer isn't
    /// in its place.
    pub heard_margin: Duration,
    /// Silence after which a newcomer may take a machine's place.
    pub replace_after: Duration,
    /// Silence after which a machine is taken out without a successor, where it can be spared.
    pub remove_after: Duration,
    /// The same where more machines are silent than may be lost at once: they are expected back.
    pub give_up_after: Duration,
    /// What is left of `catchUpS` after `remove_after`.
    pub restore: Duration,
}

impl RecoveryBounds {
    /// The waits under a `catchUpS`.
    pub fn from_catch_up(catch_up: Duration) -> Self {
        let remove_after = catch_up / 2;
        RecoveryBounds {
            heard_margin: catch_up / 10,
            replace_after: catch_up * 3 / 10,
            remove_after,
            give_up_after: catch_up * 2,
            restore: catch_up - remove_after,
        }
    }
}
