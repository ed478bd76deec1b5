//! What goes in and out of a consensus node, and its settings.
use super::role::RoleState;
use crate::prelude::*;

/// What must be on disk before anything that follows from it is said.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term seen; never goes back.
    pub term: u64,
    /// Who got this cell's vote in `term`.
    pub voted: Option<u64>,
}

/// Times and sizes. Invariant: several `heartbeat_interval` fit into `election_low`, which is below `election_high`.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// Between two rounds of contact.
    pub heartbeat_interval: Duration,
    /// A cell that heard a leader within this time helps nobody else to be elected.
    pub election_low: Duration,
    /// The longest wait for a leader; also how long a leader goes on without a majority.
    pub election_high: Duration,
    /// The first wait after a start: when all begin together nobody has heard a leader, and a leader
    /// that is alive is protected by the pre-vote.
    pub first_low: Duration,
    /// Its upper end.
    pub first_high: Duration,
    /// Bytes of entries in one message; a single larger entry goes alone.
    pub most_batch: usize,
    /// Bytes of a snapshot in one message.
    pub chunk: usize,
    /// Chunks under way to one follower.
    pub chunk_window: usize,
    /// How long an unanswered message counts as under way, on top of what its size takes; doubled with
    /// each time in a row.
    pub resend: Duration,
    /// The slowest link for which that is derived, in bytes a second.
    pub slowest_link: usize,
    /// Entries kept below the snapshot for followers that were away for a short time.
    pub retained_entries: usize,
    /// Their bytes.
    pub retained_bytes: usize,
    /// Bytes of entries that may wait for a majority; a single larger entry is taken when none waits.
    pub most_uncommitted: usize,
    /// A learner this many entries behind, or fewer, has caught up.
    pub caught_up_lag: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            heartbeat_interval: Duration::from_millis(110),
            election_low: Duration::from_millis(400),
            election_high: Duration::from_millis(700),
            first_low: Duration::from_millis(120),
            first_high: Duration::from_millis(360),
            most_batch: 1 << 20,
            chunk: 256 << 10,
            chunk_window: 2,
            resend: Duration::from_millis(600),
            slowest_link: 1 << 20,
            retained_entries: 512,
            retained_bytes: 8 << 20,
            most_uncommitted: 16 << 20,
            caught_up_lag: 8,
        }
    }
}

impl Tuning {
    /// The one bound on contact: a leader that sent no round in this time which a majority answered
    /// steps down, and answers nothing from its state.
    pub fn contact_bound(&self) -> Duration {
        self.election_high
    }

    /// How long a message of this size counts as under way, after `failures` times in a row.
    pub fn resend_after(&self, bytes: usize, failures: u32) -> Duration {
        const MOST_DOUBLINGS: u32 = 3;
        let transfer = Duration::from_secs_f64(bytes as f64 / self.slowest_link as f64);
        self.resend * (1 << failures.min(MOST_DOUBLINGS)) + transfer
    }
}

/// Why a proposal was not appended. Nothing of it will ever be agreed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposalRefused {
    /// This cell doesn't lead.
    NotLeading,
    /// The members can't be changed so now: another change is under way, or a new voter has not caught up.
    MembershipNotReady,
    /// Too much is in the log that no majority has answered for.
    Backlog {
        /// Bytes of entries that aren't committed.
        uncommitted: usize,
        /// The most there may be, with this proposal.
        bound: usize,
    },
}

/// What a consensus node is given.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Received {
        /// Who sent it.
        from: u64,
        /// What it says.
        msg: Msg,
    },
    /// An entry for the log. A `Body::Membership` names the wanted voters and learners; the joint step
    /// in between is the node's own affair.
    Propose {
        /// Returned with `Effect::Appended`.
        token: u64,
        /// What the entry says.
        body: Body,
    },
    /// Confirm leadership for a reader.
    Confirm {
        /// Returned with `Effect::Confirmed`.
        token: u64,
    },
    /// Hand leadership to the follower that is furthest on, but to none that is leaving.
    HandOver {
        /// Members that are about to end.
        leaving: BTreeSet<u64>,
    },
    /// The driver has put everything up to `index` into `data`.
    Compact {
        /// The last entry that `data` contains.
        index: u64,
        /// The encoded state.
        data: ByteBuf,
    },
}

/// Effects in the order they must be carried out: what is saved comes before what is sent.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Save term and vote.
    SaveHardState(HardState),
    /// The log from `from` on is replaced by these entries.
    SaveEntries {
        /// The first index that is replaced.
        from: u64,
        /// What stands there now.
        entries: Vec<Entry>,
    },
    /// Put this snapshot in place, with the node's log above it.
    SaveSnapshot(Snapshot),
    /// Send a message, over the bulk connection where `Msg::is_bulk` says so.
    Send {
        /// The member.
        to: u64,
        /// The message.
        msg: Msg,
    },
    /// Apply a committed entry to the state.
    Apply(Entry),
    /// Replace the state by this snapshot's.
    Restore(Snapshot),
    /// A proposal's position in the log, or why this cell can't take it.
    Appended {
        /// The proposal's.
        token: u64,
        /// Its position.
        at: Result<LogPosition, ProposalRefused>,
    },
    /// A read may be served once this index is applied; none when it can't be confirmed.
    Confirmed {
        /// The reader's.
        token: u64,
        /// What must be applied first.
        index: Option<u64>,
    },
    /// The role changed.
    RoleIs(RoleState),
}
