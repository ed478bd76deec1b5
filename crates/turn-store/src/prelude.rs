//! The one module every file of this package imports.
pub use crate::owner::{StoreCommand, StoreHandle};
pub use crate::repair::{plan_pushes, Push};
pub use crate::standing::{Standing, StandingEvent, StandingState};
pub use crate::tables::{Logged, StoreTables};
pub use feed_follow::prelude::{follow_cells, FeedItem, FollowEnv, News};
pub use inner_protocol::prelude::*;
pub use inner_protocol::stores::*;
pub use spdlog::info;
pub use statig::prelude::{state_machine, InitializedStateMachine, IntoStateMachineExt, Response};
pub use statig::Response::{Handled, Transition};
