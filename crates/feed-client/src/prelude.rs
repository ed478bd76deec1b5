//! The one module every file of this package imports.
pub use crate::base::{PatchBase, ZoneSteps};
pub use crate::link::{follow_cells, FeedUpdate, FollowSettings};
pub use crate::rank::CellRank;
pub use crate::seeds::Seeds;
pub use crate::view::{FeedView, ViewedCells, ViewedConfig, ViewedTrial};
pub use internal_protocol::feed::{
    EngineEntry, FeedItem, FeedMsg, FollowMsg, Holdings, Numbered, Topics, ZoneChange,
    ZoneChangeOutcome, ZoneTable, ZoneVersion,
};
pub use internal_protocol::feed_bounds::{FeedBounds, RECONNECT_PAUSE};
pub use internal_protocol::patch::Patch;
pub use internal_protocol::prelude::*;
pub use internal_protocol::stores::{StoreSet, StoreStatus};
pub use statig::prelude::{state_machine, InitializedStateMachine, IntoStateMachineExt, Response};
pub use statig::Response::{Handled, Transition};
