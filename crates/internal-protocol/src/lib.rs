//! What the system's own processes say to each other: CBOR, in numbered frames.
#![deny(missing_docs)]

pub mod cells;
pub mod feed;
pub mod feed_bounds;
pub mod patch;
pub mod prelude;
pub mod stores;
pub mod zones;

/// Records from before `lossCounted` was read, and settings that don't name it: every machine counts.
fn loss_counted_by_default() -> bool {
    true
}

/// What is as by default isn't written.
fn is_loss_counted(counted: &bool) -> bool {
    *counted
}
