//! Between cells: consensus messages, joining, forwarding to the leader, zone tables.
mod calls;
mod changes;
mod log;
mod membership;
mod messages;
mod status;
mod trial;

pub use calls::{CellCall, CellReply, RetireState};
pub use changes::{BodyDigest, Change, Outcome};
pub use log::{Body, Entry, LogPosition, Snapshot, SnapshotChunk};
pub use membership::{Member, Membership};
pub use messages::Msg;
pub use status::{CellStatus, StoreSummary, ZoneSummary};
pub use trial::{TrialReport, TrialRequest};
