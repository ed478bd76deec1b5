//! The one owner of the store's tables and log. Commands that came together are written and synced
//! together, and only then answered.
mod command;
mod owner;
mod run;
mod segments;
mod transfer;

pub use command::{MissingTransfers, StoreCommand, StoreHandle};
pub use owner::{StoreIdentity, StoreOwner};
pub use run::{start, RunningStore};
pub use segments::{Removal, SegmentUses};
pub use transfer::TransferBounds;
