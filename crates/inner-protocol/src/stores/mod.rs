//! Between proxies, stores and cells: turns, the allowance's ledger, the store set.
mod history;
mod placement;
mod set;

pub use history::{Transfers, VersionSpan};
pub use placement::{PlacedStore, Placement};
pub use set::{Retirement, StoreEntry, StoreSet, StoreState, StoreStatus};

use crate::prelude::*;

/// A turn that counts. Invariant: `chain` holds all earlier turns, oldest first, ending in `prev`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TurnRecord {
    #[serde(rename = "i")]
    pub id: String,
    #[serde(rename = "c")]
    pub chain: Vec<String>,
    #[serde(rename = "p")]
    pub program: String,
    #[serde(rename = "b")]
    pub input: ByteBuf,
    #[serde(rename = "o")]
    pub output: ByteBuf,
    /// Which engine answered, for the session-cache index of another proxy.
    #[serde(rename = "e")]
    pub engine: String,
    /// Tokens of the whole line after this turn.
    #[serde(rename = "l")]
    pub line_tokens: u32,
    #[serde(rename = "k")]
    pub keep_ms: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OpenCall {
    /// The version of the store set it is made under.
    #[serde(rename = "s")]
    pub version: u64,
    #[serde(rename = "p")]
    pub program: String,
    /// The claim of the turn's attempt, and the length of its lease.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub claim: Option<LedgerWrite>,
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub prev: Option<String>,
    /// Bring the chain's turns along.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub want: bool,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Held {
    No,
    /// The turn is here; the chain's ids, oldest first, itself last.
    Yes(Vec<String>),
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OpenReply {
    /// It has all that was ever acknowledged for the program: its answer counts.
    #[serde(rename = "k")]
    pub has_complete_history: bool,
    /// What the claim came to, and the program's attempts after it.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<WriteOutcome>,
    #[serde(rename = "l", default)]
    pub view: ProgramView,
    /// A greater incarnation of the claiming node than its own that this store has heard of.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub later: Option<u64>,
    #[serde(rename = "h")]
    pub held: Held,
    #[serde(rename = "t")]
    pub turns: Vec<TurnRecord>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SyncCall {
    pub version: u64,
    /// The store that asks.
    pub me: u64,
    pub after: Option<String>,
}

/// One program as a store holds it: its ledger, and the ids of its turns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncRow {
    #[serde(rename = "p")]
    pub program: String,
    #[serde(rename = "l")]
    pub ledger: Vec<AttemptRecord>,
    #[serde(rename = "t")]
    pub turns: Vec<String>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SyncReply {
    /// The versions at which the answering store was caught up.
    pub caught_up: Option<VersionSpan>,
    pub rows: Vec<SyncRow>,
    /// The program to go on after, if any.
    pub more: Option<String>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StoreCall {
    Open(OpenCall),
    /// Turns by id.
    Fetch {
        ids: Vec<String>,
    },
    /// Any store: whether it holds a turn, whichever program's it is.
    Find {
        version: u64,
        id: String,
    },
    /// Keeps a turn and settles its attempt. `foreign` are the turns before it, where these are
    /// another program's.
    Close {
        version: u64,
        record: TurnRecord,
        foreign: Vec<TurnRecord>,
        settle: Option<LedgerWrite>,
    },
    /// A write of the dispatcher: a marker, a renewal, a recovery.
    Write {
        version: u64,
        program: String,
        write: LedgerWrite,
    },
    /// The same without an answer, under any set: settlements, stops, releases.
    Note {
        program: String,
        write: LedgerWrite,
    },
    /// A store that was assigned programs by a change of the set asks for what another holds of them,
    /// from a program on.
    Sync(SyncCall),
    /// A newer set, from a caller that was told of it first.
    Learn {
        set: StoreSet,
    },
    Tell,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StoreReply {
    Open(OpenReply),
    Turns(Vec<TurnRecord>),
    Found {
        /// This store has the complete history of all its programs: its no counts.
        caught_up: bool,
        held: Held,
        turns: Vec<TurnRecord>,
    },
    Done,
    Written {
        has_complete_history: bool,
        outcome: WriteOutcome,
    },
    /// The caller works under an older set; here is the newer.
    Stale(StoreSet),
    /// This store has not heard of the caller's set yet.
    Behind,
    Sync(SyncReply),
    Unable,
    Status {
        name: String,
        turns: u64,
        programs: u64,
        version: u64,
        disk_bytes: u64,
        fresh: bool,
        /// More stores were lost than may be: of some programs it can't say what they hold.
        beyond_proof: bool,
    },
}
