//! What a cell is asked by other cells and processes, and what it answers.
use super::{CellStatus, Change, Member, Msg, Outcome, TrialReport, TrialRequest};
use crate::prelude::*;
use crate::stores::StoreStatus;
use crate::zones::{ZoneChange, ZoneTable};

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
    /// The index that a reader must have applied, confirmed by a majority; passed on to the leader. Asked
    /// for a reader elsewhere, and by a cell that will join.
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
    /// What has changed of a holder's zone; one that changes nothing says which state is the newest.
    /// Answered with `Done`, or with `TableNeeded`.
    TableChange {
        /// The change.
        change: ZoneChange,
    },
    /// A store is to be emptied, or how far that is.
    Retire {
        /// Its name.
        store: String,
        /// Nothing is ordered.
        #[serde(rename = "ask_only")]
        query_only: bool,
    },
    /// What `doctor` asks.
    #[serde(rename = "Tell")]
    Status,
    /// One way: what nodes counted of a routing trial, passed on by the cell that they follow: to the
    /// leader, or by the leader to another cell.
    Outcomes {
        /// By node.
        reports: Vec<NodeReport>,
    },
    /// About the routing trial.
    Trial {
        /// The order or question.
        ask: TrialRequest,
    },
    /// A call whose caller waits for so many milliseconds more; it isn't carried out after that.
    Within {
        /// From its sending.
        ms: u64,
        /// The call itself.
        call: Box<CellCall>,
    },
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
    /// The answer to `CellCall::Status`.
    Status(Box<CellStatus>),
    /// The routing trial; none when there never was one.
    Trial(Option<Box<TrialReport>>),
    /// A zone's change doesn't follow on the table here: the whole table is needed.
    TableNeeded,
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
