//! Between proxies, stores and cells: turns, the allowance's ledger, the store set.
use crate::prelude::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreState {
    /// Its tables are being filled; it doesn't count yet.
    Copying,
    Ready,
    /// It is being emptied: it still counts, and takes no new copies.
    Leaving,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    pub id: u64,
    pub name: String,
    pub addr: String,
    pub area: String,
    pub state: StoreState,
    /// The serial of the set that gave it this state.
    pub since: u64,
}

/// Invariant: `serial` grows by each change; a store refuses calls made under an older one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreSet {
    pub serial: u64,
    pub stores: Vec<StoreEntry>,
    /// Names of machines that were emptied and may be taken away.
    pub emptied: Vec<String>,
    /// A counted store was lost at this serial, and the copies it held may not have a new place yet:
    /// until then some turns lie on one store only.
    pub mending: Option<u64>,
}

impl StoreSet {
    pub fn counted(&self) -> impl Iterator<Item = &StoreEntry> {
        self.stores.iter().filter(|s| s.state != StoreState::Copying)
    }

    pub fn majority(&self) -> usize {
        self.counted().count() / 2 + 1
    }

    /// How many stores must say no before a turn is surely unknown: all but one when every turn has
    /// its two copies, else all that count. A store that is being filled may hold one of the two, and
    /// can't say no.
    pub fn noes(&self) -> usize {
        let n = self.counted().count();
        match self.mending {
            Some(_) => n,
            None => n.min(self.stores.len().saturating_sub(1)).max(1),
        }
    }

    pub fn find(&self, id: u64) -> Option<&StoreEntry> {
        self.stores.iter().find(|s| s.id == id)
    }
}

/// What a store tells the cells about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    pub id: u64,
    pub name: String,
    pub addr: String,
    pub area: String,
    /// Its disk was empty at a start that wasn't the system's first.
    pub fresh: bool,
    /// The serial of the set it works under.
    pub serial: u64,
    /// The serial up to which it filled its own tables from the others.
    pub copied: u64,
    /// The serial up to which it gave lost copies a new place.
    pub repaired: u64,
}

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
    /// The stores that hold it.
    #[serde(rename = "s")]
    pub copies: Vec<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The request's id, hashed.
    #[serde(rename = "r")]
    pub req: u64,
    /// What it reserved, or what it came to.
    #[serde(rename = "t")]
    pub tokens: u32,
    #[serde(rename = "f")]
    pub settled: bool,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OpenCall {
    #[serde(rename = "s")]
    pub serial: u64,
    #[serde(rename = "p")]
    pub program: String,
    #[serde(rename = "r")]
    pub req: u64,
    #[serde(rename = "m")]
    pub most: u32,
    #[serde(rename = "v")]
    pub prev: Option<String>,
    /// Bring the chain's turns along.
    #[serde(rename = "w")]
    pub want: bool,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Held {
    No,
    /// This store lost its memory and can't say.
    Unsure,
    /// The turn is here; the chain's ids, oldest first, itself last.
    Yes(Vec<String>),
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OpenReply {
    #[serde(rename = "l")]
    pub ledger: Vec<LedgerEntry>,
    #[serde(rename = "h")]
    pub held: Held,
    #[serde(rename = "t")]
    pub turns: Vec<TurnRecord>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StoreCall {
    Open(OpenCall),
    /// Turns by id.
    Fetch {
        ids: Vec<String>,
    },
    /// Keeps a turn and settles its reservation.
    Close {
        serial: u64,
        record: TurnRecord,
        req: u64,
        tokens: u32,
    },
    /// Settles a reservation of a turn that doesn't count.
    Settle {
        program: String,
        req: u64,
        tokens: u32,
    },
    /// Another store hands over copies.
    Keep {
        records: Vec<TurnRecord>,
    },
    /// A store that fills its tables asks for the ledger, from a program on.
    Ledger {
        serial: u64,
        after: Option<String>,
    },
    Tell,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StoreReply {
    Open(OpenReply),
    Turns(Vec<TurnRecord>),
    Done,
    /// The caller works under an older set; here is the newer.
    Stale(StoreSet),
    /// A batch of the ledger; the program to go on after, if any.
    Ledger {
        rows: Vec<(String, Vec<LedgerEntry>)>,
        more: Option<String>,
    },
    Unable,
    Told {
        name: String,
        turns: u64,
        programs: u64,
        serial: u64,
        disk_bytes: u64,
        fresh: bool,
    },
}
