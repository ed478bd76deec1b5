//! Between proxies, stores and cells: turns, the allowance's ledger, the store set.
mod history;
mod placement;
mod set;
mod span;

pub use history::Transfers;
pub use placement::{PlacedStore, Placement};
pub use set::{Retirement, StoreEntry, StoreSet, StoreState, StoreStatus};
pub use span::VersionSpan;

use crate::prelude::*;

/// A turn that counts. Invariant: `chain` holds all earlier turns, oldest first, ending in `prev`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// The request's id, which names the turn.
    #[serde(rename = "i")]
    pub id: String,
    /// The turns before it.
    #[serde(rename = "c")]
    pub chain: Vec<String>,
    /// The program that it was made for.
    #[serde(rename = "p")]
    pub program: String,
    /// What the client sent.
    #[serde(rename = "b")]
    pub input: ByteBuf,
    /// What the engine answered, whole.
    #[serde(rename = "o")]
    pub output: ByteBuf,
    /// Which engine answered, for the session-cache index of another proxy.
    #[serde(rename = "e")]
    pub engine: String,
    /// Tokens of the whole session after this turn.
    #[serde(rename = "l")]
    pub session_tokens: u32,
    /// How long it is to be kept from when it is given.
    #[serde(rename = "k")]
    pub keep_ms: u64,
}

/// A proxy begins a turn: it claims an attempt and asks for the turns before.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OpenCall {
    /// The version of the store set it is made under.
    #[serde(rename = "s")]
    pub version: u64,
    /// The program.
    #[serde(rename = "p")]
    pub program: String,
    /// The claim of the turn's attempt, and the length of its lease.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub claim: Option<LedgerWrite>,
    /// The turn that it goes on from.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub prev: Option<String>,
    /// Bring the chain's turns along.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub want: bool,
}

/// Whether a store has a turn.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum TurnLookup {
    /// It has not.
    #[serde(rename = "No")]
    Missing,
    /// The turn is here; the chain's ids, oldest first, itself last.
    #[serde(rename = "Yes")]
    Found(Vec<String>),
}

/// The answer to an `OpenCall`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OpenReply {
    /// It has all that was ever acknowledged for the program: its answer counts.
    #[serde(rename = "k")]
    pub has_complete_history: bool,
    /// What the claim came to, and the program's attempts after it.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<WriteOutcome>,
    /// The program's attempts.
    #[serde(rename = "l", default)]
    pub view: ProgramView,
    /// A greater incarnation of the claiming node than its own that this store knows of.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub later: Option<u64>,
    /// Whether the turn before is here.
    #[serde(rename = "h")]
    pub lookup: TurnLookup,
    /// The chain's turns, where they were wanted.
    #[serde(rename = "t")]
    pub turns: Vec<TurnRecord>,
}

/// A store asks another for a page of what it holds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SyncCall {
    /// The version of the set that it asks under.
    pub version: u64,
    /// The store that asks.
    pub me: u64,
    /// The program after which the page begins.
    pub after: Option<String>,
}

/// One program as a store holds it: its ledger, and the ids of its turns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncRow {
    /// The program.
    #[serde(rename = "p")]
    pub program: String,
    /// The newest state of each attempt.
    #[serde(rename = "l")]
    pub ledger: Vec<AttemptRecord>,
    /// Ids of its turns.
    #[serde(rename = "t")]
    pub turns: Vec<String>,
}

/// A page of what a store holds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SyncReply {
    /// The versions at which the answering store was caught up.
    pub caught_up: Option<VersionSpan>,
    /// By program.
    pub rows: Vec<SyncRow>,
    /// The program to go on after, if any.
    pub more: Option<String>,
}

/// What a store is asked.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StoreCall {
    /// Begins a turn.
    Open(OpenCall),
    /// Turns by id.
    Fetch {
        /// Which turns.
        ids: Vec<String>,
    },
    /// Any store: whether it holds a turn, whichever program's it is.
    Find {
        /// The version of the set that it is made under.
        version: u64,
        /// The turn.
        id: String,
    },
    /// Keeps a turn and settles its attempt. `earlier` are turns of its chain that the store said it
    /// lacks: whoever keeps a turn keeps its whole chain.
    Close {
        /// The version of the set that it is made under.
        version: u64,
        /// The turn.
        record: TurnRecord,
        /// Turns of its chain that the store lacks.
        earlier: Vec<TurnRecord>,
        /// The attempt's settlement, which must be granted for the turn to be kept.
        settle: Option<LedgerWrite>,
    },
    /// A write of the dispatcher: a launch intent, a renewal, a recovery.
    Write {
        /// The version of the set that it is made under.
        version: u64,
        /// The program.
        program: String,
        /// The write.
        write: LedgerWrite,
    },
    /// The same without an answer, under any set: settlements, stops, releases.
    #[serde(rename = "Note")]
    Notify {
        /// The program.
        program: String,
        /// The write.
        write: LedgerWrite,
    },
    /// A store that was assigned programs by a change of the set asks for what another holds of them,
    /// from a program on.
    Sync(SyncCall),
    /// A newer set, from a caller that learnt of it first.
    Learn {
        /// The set.
        set: StoreSet,
    },
    /// What `doctor` asks.
    #[serde(rename = "Tell")]
    Status,
}

/// What a store answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StoreReply {
    /// To `Open`.
    Open(OpenReply),
    /// To `Fetch`: those that are here.
    Turns(Vec<TurnRecord>),
    /// To `Find`.
    Found {
        /// This store has the complete history of all its programs: its no counts.
        caught_up: bool,
        /// Whether the turn is here.
        #[serde(rename = "held")]
        lookup: TurnLookup,
        /// The chain's turns.
        turns: Vec<TurnRecord>,
    },
    /// It is done, and synced.
    Done,
    /// The store lacks these turns of the chain, oldest first: nothing was kept.
    Lacks(Vec<String>),
    /// To `Write`, and to a `Close` whose settlement was not granted.
    Written {
        /// Whether the answer counts.
        has_complete_history: bool,
        /// What the write came to.
        outcome: WriteOutcome,
    },
    /// The caller works under an older set; here is the newer.
    Stale(StoreSet),
    /// This store doesn't know the caller's set yet.
    Behind,
    /// To `Sync`.
    Sync(SyncReply),
    /// The set doesn't have this store.
    Unable,
    /// To `StoreCall::Status`.
    Status {
        /// Its machine's name.
        name: String,
        /// Turns held.
        turns: u64,
        /// Programs held.
        programs: u64,
        /// The version of its set.
        version: u64,
        /// Bytes of the newest segment of its log.
        disk_bytes: u64,
        /// Its disk was lost, and it has not caught up since.
        fresh: bool,
        /// More stores were lost than may be: of some programs it can't say what they hold.
        beyond_proof: bool,
    },
}
