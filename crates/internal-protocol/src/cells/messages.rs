//! Consensus messages between the members.
use super::{Entry, LogPosition, SnapshotChunk};
use crate::prelude::*;

/// Consensus messages. `round` numbers a leader's rounds of contact: an answer to round r shows that
/// the sender still followed when r was sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    /// Would a vote in `term` be granted? Changes nothing at the one who is asked.
    PreVote {
        /// The term that an election would have.
        term: u64,
        /// The end of the asker's log.
        last: LogPosition,
    },
    /// The answer to `PreVote`.
    PreVoteReply {
        /// The answering cell's own term.
        term: u64,
        /// Whether it would vote for the asker.
        granted: bool,
    },
    /// A candidate asks for a vote.
    Vote {
        /// The candidate's term.
        term: u64,
        /// The end of its log.
        last: LogPosition,
        /// The leader named it: cells that hear that leader vote all the same.
        forced: bool,
    },
    /// The answer to `Vote`.
    VoteReply {
        /// The voter's term.
        term: u64,
        /// Whether it gave its vote.
        granted: bool,
    },
    /// A leader's round of contact. Never waits behind entries or snapshots.
    Heartbeat {
        /// The leader's term.
        term: u64,
        /// Committed as far as the follower is known to hold it.
        commit: u64,
        /// Committed in all: a follower that hasn't reached it doesn't vouch for its state.
        committed: u64,
        /// The round.
        round: u64,
    },
    /// The answer to `Heartbeat`.
    HeartbeatReply {
        /// The follower's term.
        term: u64,
        /// The round that is answered.
        round: u64,
    },
    /// Entries after `prev`.
    Append {
        /// The leader's term.
        term: u64,
        /// The entry before the first one.
        prev: LogPosition,
        /// Without a gap.
        entries: Vec<Entry>,
        /// The leader's commit.
        commit: u64,
    },
    /// The answer to `Append`, and to a snapshot that is whole.
    AppendReply {
        /// The follower's term.
        term: u64,
        /// Whether the entries fit.
        ok: bool,
        /// The log is the leader's up to here; where `ok` is false, the place to try next.
        matched: u64,
    },
    /// A piece of the snapshot.
    Chunk {
        /// The leader's term.
        term: u64,
        /// The piece.
        chunk: SnapshotChunk,
    },
    /// The answer to `Chunk`.
    ChunkReply {
        /// The follower's term.
        term: u64,
        /// Which snapshot.
        snapshot: LogPosition,
        /// Which piece is answered.
        offset: u64,
        /// Bytes held from the start without a gap.
        received: u64,
    },
    /// The leader names its successor.
    TakeLead {
        /// The leader's term.
        term: u64,
    },
}

/// Messages larger than this go over the bulk connection.
const BULK_BYTES: usize = 64 << 10;

impl Msg {
    /// Whether it belongs on a connection of its own, so that heartbeats don't wait behind it.
    pub fn is_bulk(&self) -> bool {
        match self {
            Msg::Chunk { .. } => true,
            Msg::Append { entries, .. } => {
                entries.iter().map(|e| e.body.size()).sum::<usize>() > BULK_BYTES
            }
            _ => false,
        }
    }
}
