//! The replicated log: positions, entries, and snapshots of the state.
use super::Membership;
use crate::prelude::*;

/// A place in the log. Invariant: two logs with an entry of the same position agree up to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// Compared first: the log that ends in the later term is the newer one.
    pub term: u64,
    /// Counts from 1; 0 is before the first entry.
    pub index: u64,
}

/// What an entry of the log says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Nothing; the first entry of each term.
    Noop,
    /// The membership from this entry on, committed or not.
    Membership(Membership),
    /// An encoded `Change`.
    Command(ByteBuf),
}

impl Body {
    /// Bytes on the wire, roughly.
    pub fn size(&self) -> usize {
        const FRAME: usize = 64;
        match self {
            Body::Noop => FRAME,
            Body::Membership(m) => FRAME * (1 + m.all().len()),
            Body::Command(c) => FRAME + c.len(),
        }
    }
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place.
    pub index: u64,
    /// The term of the leader that placed it.
    pub term: u64,
    /// What it says.
    pub body: Body,
}

impl Entry {
    /// Where it stands.
    pub fn position(&self) -> LogPosition {
        LogPosition { term: self.term, index: self.index }
    }
}

/// The state after all entries up to a place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct Snapshot {
    /// The last entry that it contains.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The newest membership at `index`.
    pub membership: Membership,
    /// The encoded state.
    pub data: ByteBuf,
}

impl Snapshot {
    /// Where its last entry stands.
    pub fn position(&self) -> LogPosition {
        LogPosition { term: self.term, index: self.index }
    }
}

/// A piece of a snapshot on its way to a follower.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Which snapshot.
    pub snapshot: LogPosition,
    /// The membership in it.
    pub membership: Membership,
    /// Where `data` begins.
    pub offset: u64,
    /// Bytes of the whole snapshot.
    pub total: u64,
    /// The piece.
    pub data: ByteBuf,
}
