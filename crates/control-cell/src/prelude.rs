//! The one module every file of this package imports.
pub use crate::actor::{
    CellCommand, CellHandle, Waiting, ZoneChangeTaken, ZoneNews, ZoneTables, DUTY_EVERY,
};
pub use crate::duties::{
    next_holders, next_membership, next_stores, CorePolicy, JoinRequest, MemberObservation,
    MembershipBounds, RecoveryBounds, RecoverySteps, StoreObservation,
};
pub use crate::feed::{
    FeedLog, FeedRequest, FollowFrom, OpenedFeed, RETAINED_BYTES, RETAINED_ITEMS,
};
pub use crate::orders::{ChangedPart, OrderEvent, OrderTracker, UnreadableState};
pub use crate::state::{order_digest, CellState, ConfirmedOrders};
pub use consensus::prelude::{
    ConsensusDisk, ConsensusNode, Effect, Event, HardState, ProposalRefused, SnapshotWrite, Tuning,
};
pub use external_api::prelude::*;
pub use internal_protocol::cells::{
    Body, BodyDigest, CellCall, CellReply, CellStatus, Change, Entry, LogPosition, Member,
    Membership, Msg, Outcome, RetireState, Snapshot, TrialReport, TrialRequest,
};
pub use internal_protocol::feed::{
    EngineEntry, FeedItem, FeedMsg, FollowMsg, Holdings, Numbered, Topics, ZoneChange,
    ZoneChangeOutcome, ZoneTable, ZoneVersion,
};
pub use internal_protocol::patch::Patch;
pub use internal_protocol::prelude::*;
pub use internal_protocol::stores::{
    Retirement, StoreEntry, StoreSet, StoreState, StoreStatus, VersionSpan,
};
pub use operator_config::prelude::{check_config, Fault};
pub use routing_trial::prelude::{judge, OutcomeLedger, Point, TrialStatus};
pub use serde_json::{json, Value};
pub use spdlog::{info, warn};
