//! Between cells: agreement messages, joining, forwarding to the leader, zone tables.
use crate::feed::ZoneTable;
use crate::prelude::*;
use crate::stores::StoreStatus;

/// A member of the core: an identity that lasts as long as its disk, and where it is reached.
/// Invariant: `id` is never used again once its disk is lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub id: u64,
    pub name: String,
    pub addr: String,
    pub zone: String,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    Noop,
    Members(Vec<Member>),
    Command(ByteBuf),
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub index: u64,
    pub term: u64,
    pub body: Body,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct Snapshot {
    pub index: u64,
    pub term: u64,
    pub members: Vec<Member>,
    pub data: ByteBuf,
}

/// Agreement messages. `round` numbers a leader's rounds of contact: an answer to round r shows that
/// the sender was still followed when r was sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    PreVote { term: u64, last: u64, last_term: u64 },
    PreVoteReply { term: u64, granted: bool },
    Vote { term: u64, last: u64, last_term: u64, forced: bool },
    VoteReply { term: u64, granted: bool },
    Append { term: u64, prev: u64, prev_term: u64, entries: Vec<Entry>, commit: u64, round: u64 },
    AppendReply { term: u64, ok: bool, matched: u64, round: u64 },
    Install { term: u64, snap: Snapshot, round: u64 },
    TakeLead { term: u64 },
}

/// SHA-256 of a configuration's normalised text.
pub type BodyDigest = serde_bytes::ByteArray<32>;

/// A change the cells agree on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// An operator's configuration built on `base`. `sha256` is of its normalised text; it is empty in
    /// entries older than it.
    PutConfig {
        base: u64,
        version: u64,
        #[serde(default)]
        sha256: BodyDigest,
        body: ByteBuf,
    },
    /// The next store set; applied only on top of the set with version `base`.
    PutStores { base: u64, set: crate::stores::StoreSet },
    /// Who holds each zone.
    PutHolders { holders: BTreeMap<String, u64> },
    /// A start or an end of a routing trial; applied only on top of what was agreed at index `base`.
    PutTrial { base: u64, trial: Box<TrialRecord> },
}

/// What applying a change came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Taken,
    /// This very configuration was taken before.
    TakenBefore,
    /// Another version is in place.
    Conflict,
    /// The version isn't above the current one.
    NotAbove,
    /// It may be one of those that were taken too long ago to be known again: no claim is made.
    Forgotten,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum CellCall {
    /// One way: an agreement message and who sent it, with the address to answer to.
    Agree {
        from: u64,
        addr: String,
        msg: Msg,
    },
    Join {
        member: Member,
    },
    /// A cell ends in order: its zones go to others.
    Leave {
        id: u64,
    },
    Propose {
        change: Change,
    },
    /// Confirms with a majority; answered with the index a reader must have applied.
    Confirm,
    Announce {
        status: StoreStatus,
    },
    /// One way: a holder's table of its zone.
    Table {
        table: ZoneTable,
    },
    Retire {
        store: String,
        ask_only: bool,
    },
    /// What `doctor` asks.
    Tell,
    /// One way: what nodes counted of a routing trial, passed on by the cell that they follow: to the
    /// leader, or by the leader to another cell.
    Outcomes {
        reports: Vec<NodeReport>,
    },
    Trial {
        ask: TrialAsk,
    },
    /// A call whose caller waits for so many milliseconds more; it isn't carried out after that.
    Within {
        ms: u64,
        call: Box<CellCall>,
    },
}

/// What an operator asks of the routing trial. A start and a stop are answered with an outcome.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum TrialAsk {
    Start {
        spec: Box<TrialSpec>,
    },
    Stop {
        at_once: bool,
    },
    /// Answered by the leader, which has all reports.
    Tell,
}

/// The trial that runs, or the last one. While it runs, `verdict` and `evidence` are of this moment.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TrialTold {
    pub record: TrialRecord,
    pub verdict: Verdict,
    pub evidence: Evidence,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum CellReply {
    Done,
    Outcome(Outcome),
    Index(u64),
    Retire(RetireState),
    /// This cell can't do it now (no leader, cut off, or being left).
    Unable,
    Told(CellTold),
    /// None when there never was one.
    Trial(Option<Box<TrialTold>>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetireState {
    Unknown,
    TooFew,
    Running,
    Completed,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CellTold {
    pub name: String,
    pub term: u64,
    pub leader: Option<String>,
    pub commit: u64,
    pub applied: u64,
    pub config_version: u64,
    pub members: Vec<String>,
    /// Name, state and address.
    pub stores: Vec<(String, String, String)>,
    /// Addresses of the members.
    pub cells: Vec<String>,
    pub unix_ms: u64,
    pub zones: Vec<(String, Option<String>, usize)>,
}
