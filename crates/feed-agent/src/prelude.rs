//! The one module every file of this package imports.
pub use crate::owner::{FeedOwner, Opened};
pub use feed_client::prelude::*;
pub use node_runtime::settings::AGENT_PORT;
