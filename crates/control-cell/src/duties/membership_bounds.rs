//! How long the leader waits before it acts on a cell's silence, and how a cell comes and goes. All of it
//! is derived from the settings: a loss stops counting `catchUpS` after the machine, or its successor, is
//! back, and the next loss may come right then. By that time, less a margin, a majority of the right size
//! must stand again.
use crate::prelude::*;
use node_runtime::settings::Bounds;

/// Waits of the membership duty and of the zones' holders.
///
/// Invariants: `doubt_after < replace_after < remove_after < forget_after`. What
/// `recovered_within` adds up to is below `catchUpS` less `margin`, and `leave_within` is below
/// `gracePeriodS`; `tests/membership_bounds.rs` holds both.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipBounds {
    /// Silence after which a cell isn't counted on when it is asked how many may vote.
    pub doubt_after: Duration,
    /// Silence after which a standby takes a voter's place. A member without contact for so long asks to
    /// be taken in again.
    pub replace_after: Duration,
    /// Silence after which a voter that nobody can stand in for becomes a standby, where enough are left.
    pub remove_after: Duration,
    /// Silence after which a standby is left out. It holds nothing up: standbys are counted nowhere.
    pub forget_after: Duration,
    /// How long a cell that has just started waits before it first asks to be taken in.
    pub first_join: Duration,
    /// How long until it asks again.
    pub join_again: Duration,
    /// How long the leader keeps a request that isn't repeated.
    pub joiner_kept: Duration,
    /// How long a cell that is told to stop waits until its place is taken.
    pub leave_within: Duration,
    /// Silence after which a holder's zones go to another: the platform's list must be read and have
    /// reached the proxies within `drainMs`.
    pub holder_silent: Duration,
    /// What is left of `catchUpS` after recovery.
    pub margin: Duration,
}

/// Parts of a recovery that the settings don't bound.
#[derive(Debug, Clone, Copy)]
pub struct RecoverySteps {
    /// From the loss of a leader to the next one.
    pub election: Duration,
    /// How long members have been silent, at the least, that didn't answer a new leader yet.
    pub silent_before: Duration,
    /// Between two rounds of contact.
    pub beat: Duration,
    /// Between two turns of the leader's duties.
    pub duty: Duration,
}

impl MembershipBounds {
    /// The waits under these bounds.
    pub fn from_settings(bounds: &Bounds) -> Self {
        let catch_up = bounds.catch_up;
        let join_again = catch_up / 10;
        MembershipBounds {
            doubt_after: catch_up / 8,
            replace_after: catch_up / 5,
            remove_after: catch_up / 2,
            forget_after: catch_up * 5,
            first_join: catch_up / 8,
            join_again,
            joiner_kept: join_again * 4,
            leave_within: bounds.grace / 4,
            holder_silent: bounds.drain / 5,
            margin: catch_up / 6,
        }
    }

    /// The longest time from a loss until a standby or a successor that is there already votes in the
    /// lost cell's place: the silence, counted from a round that was answered just before, and a turn of
    /// duties; and just then the leader is lost, and the next one counts the silence anew.
    pub fn replaced_within(&self, steps: &RecoverySteps) -> Duration {
        let noticed = self.replace_after + steps.beat + steps.duty;
        let anew = self.replace_after.saturating_sub(steps.silent_before);
        noticed + steps.election + anew + steps.beat + steps.duty
    }

    /// The longest time from a newcomer's start until it is ready to vote, while there is a leader: its
    /// first request was lost, then it is taken in and answers its first round.
    pub fn joined_within(&self, steps: &RecoverySteps) -> Duration {
        self.first_join + self.join_again + steps.beat * 2 + steps.duty * 2
    }

    /// The longest time from a loss whose successor starts at once until it votes.
    pub fn recovered_within(&self, steps: &RecoverySteps) -> Duration {
        let joined = steps.election + self.joined_within(steps);
        self.replaced_within(steps).max(joined)
    }
}
