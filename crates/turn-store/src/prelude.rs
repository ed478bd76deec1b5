//! The one module every file of this package imports.
pub use crate::actor::{
    Removal, RunningStore, SegmentUses, StoreCommand, StoreHandle, StoreIdentity, StoreOwner,
};
pub use crate::history::{History, SetUpdate};
pub use crate::tables::{LogRecord, MissingTurn, StoreTables};
pub use feed_client::prelude::{follow_cells, FeedItem, FeedUpdate, FollowSettings, Topics};
pub use internal_protocol::prelude::*;
pub use internal_protocol::stores::*;
pub use spdlog::info;
