//! Between cells: agreement messages, joining, forwarding to the leader, zone tables.
#![deny(missing_docs)]
use crate::feed::ZoneTable;
use crate::prelude::*;
use crate::stores::StoreStatus;

/// A member of the core: an identity that lasts as long as its disk, and where it is reached.
/// Invariants: `id` is never used again once its disk is lost; of two lives of one machine the later
/// one has the higher `incarnation`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Drawn once for each disk.
    pub id: u64,
    /// The machine's name; empty for a founder that hasn't reported yet.
    pub name: String,
    /// Where its inner calls are answered.
    pub addr: String,
    /// The machine's zone; empty for a founder that hasn't reported yet.
    pub zone: String,
    /// The log index of the entry that took this life in; 0 for founders.
    #[serde(default)]
    pub incarnation: u64,
}

/// Who replicates the log, and whose answers count.
/// Invariants: an id stands in `voters` or in `learners`, never in both; `outgoing` is empty but in a
/// joint state, in which a majority of `voters` and one of `outgoing` are both needed for votes, commits,
/// read confirmations and contact.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Their majority decides.
    pub voters: Vec<Member>,
    /// The voters before the change that is under way.
    pub outgoing: Vec<Member>,
    /// They receive the log and are never counted.
    pub learners: Vec<Member>,
}

impl Membership {
    /// A settled membership without learners.
    pub fn of_voters(voters: Vec<Member>) -> Self {
        Membership { voters, ..Membership::default() }
    }

    /// Whether a change of voters is under way.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether the answers of `id` count, in the old or in the new set.
    pub fn is_voter(&self, id: u64) -> bool {
        self.voters.iter().chain(&self.outgoing).any(|m| m.id == id)
    }

    /// Everybody who receives the log, each once.
    pub fn all(&self) -> Vec<&Member> {
        let mut seen = BTreeSet::new();
        let everybody = self.voters.iter().chain(&self.learners).chain(&self.outgoing);
        everybody.filter(|m| seen.insert(m.id)).collect()
    }

    /// A member by its identity.
    pub fn get(&self, id: u64) -> Option<&Member> {
        self.voters.iter().chain(&self.learners).chain(&self.outgoing).find(|m| m.id == id)
    }
}

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

/// SHA-256 of a configuration's normalised text.
pub type BodyDigest = serde_bytes::ByteArray<32>;

/// A change the cells agree on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// An operator's configuration built on `base`. `sha256` is of its normalised text; it is empty in
    /// entries older than it.
    PutConfig {
        /// The version it builds on.
        base: u64,
        /// Its own.
        version: u64,
        /// Of its normalised text.
        #[serde(default)]
        sha256: BodyDigest,
        /// As the operator sent it.
        body: ByteBuf,
    },
    /// The next store set; applied only on top of the set with version `base`.
    PutStores {
        /// The version it follows.
        base: u64,
        /// The next set.
        set: crate::stores::StoreSet,
    },
    /// Who holds each zone.
    PutHolders {
        /// The member, by zone.
        holders: BTreeMap<String, u64>,
    },
    /// A start or an end of a routing trial; applied only on top of what was agreed at index `base`.
    PutTrial {
        /// The log index of the record it follows.
        base: u64,
        /// The record.
        trial: Box<TrialRecord>,
    },
}

/// What applying a change came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is in force.
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

/// What a cell is asked, by other cells and by its own tasks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum CellCall {
    /// One way: an agreement message and who sent it, with the address to answer to.
    Agree {
        /// The sender.
        from: u64,
        /// Where it is answered.
        addr: String,
        /// The message.
        msg: Msg,
    },
    /// A cell that will join asks for the newest agreed index, confirmed by a majority.
    ReadIndex,
    /// A cell asks to be taken in.
    Join {
        /// Who it is; the entry that takes it in makes its incarnation.
        member: Member,
        /// What `ReadIndex` was answered in this life: a request made before another life of the same
        /// machine was taken in is of an older life.
        read_at: u64,
    },
    /// A cell ends in order: its zones go to others.
    Leave {
        /// The cell.
        id: u64,
    },
    /// A change to agree on; answered with its outcome.
    Propose {
        /// The change.
        change: Change,
    },
    /// Confirms with a majority; answered with the index a reader must have applied.
    Confirm,
    /// A store's report about itself.
    Announce {
        /// The report.
        status: StoreStatus,
    },
    /// One way: a holder's table of its zone.
    Table {
        /// The table.
        table: ZoneTable,
    },
    /// A store is to be emptied, or how far that is.
    Retire {
        /// Its name.
        store: String,
        /// Nothing is ordered.
        ask_only: bool,
    },
    /// What `doctor` asks.
    Tell,
    /// One way: what nodes counted of a routing trial, passed on by the cell that they follow: to the
    /// leader, or by the leader to another cell.
    Outcomes {
        /// By node.
        reports: Vec<NodeReport>,
    },
    /// About the routing trial.
    Trial {
        /// The order or question.
        ask: TrialAsk,
    },
    /// A call whose caller waits for so many milliseconds more; it isn't carried out after that.
    Within {
        /// From its sending.
        ms: u64,
        /// The call itself.
        call: Box<CellCall>,
    },
}

/// What an operator asks of the routing trial. A start and a stop are answered with an outcome.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum TrialAsk {
    /// Begins a trial.
    Start {
        /// What is tried.
        spec: Box<TrialSpec>,
    },
    /// Ends it.
    Stop {
        /// Rather than step by step.
        at_once: bool,
    },
    /// Answered by the leader, which has all reports.
    Tell,
}

/// The trial that runs, or the last one. While it runs, `verdict` and `evidence` are of this moment.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TrialReport {
    /// As agreed on.
    pub record: TrialRecord,
    /// What it came to.
    pub verdict: Verdict,
    /// What that rests on.
    pub evidence: Evidence,
}

/// What a cell answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum CellReply {
    /// Taken note of.
    Done,
    /// What a change came to.
    Outcome(Outcome),
    /// A confirmed log index.
    Index(u64),
    /// How far a retirement is.
    Retire(RetireState),
    /// This cell can't do it now (no leader, cut off, or being left).
    Unable,
    /// The answer to `Tell`.
    Status(CellStatus),
    /// The routing trial; none when there never was one.
    Trial(Option<Box<TrialReport>>),
}

/// How far a store's retirement is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetireState {
    /// No such store, or no such order.
    Unknown,
    /// The others would be too few.
    TooFew,
    /// Under way.
    Running,
    /// The store may go.
    Completed,
}

/// What a cell reports of itself to `doctor`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CellStatus {
    /// Its machine's name.
    pub name: String,
    /// Its term.
    pub term: u64,
    /// Whom it follows, by name.
    pub leader: Option<String>,
    /// Agreed on, as far as it knows.
    pub commit: u64,
    /// Applied here.
    pub applied: u64,
    /// The configuration in force.
    pub config_version: u64,
    /// Voters and learners, by name.
    pub members: Vec<String>,
    /// Names of those members whose majority decides.
    #[serde(default)]
    pub voters: Vec<String>,
    /// Name, state and address.
    pub stores: Vec<(String, String, String)>,
    /// Addresses of the members.
    pub cells: Vec<String>,
    /// Its time of day.
    pub unix_ms: u64,
    /// Zone, holder by name, and engines known in it.
    pub zones: Vec<(String, Option<String>, usize)>,
}
