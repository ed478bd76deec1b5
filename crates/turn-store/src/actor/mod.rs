//! The one owner of the store's tables and log. Commands that came together are written and synced
//! together, and only then answered.
mod copying;
mod work;

pub use copying::TransferBounds;
pub use work::{start, StoreCommand, StoreHandle};
