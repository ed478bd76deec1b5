//! What the system's own processes say to each other: CBOR, in numbered frames.
#![deny(missing_docs)]

pub mod cells;
pub mod feed;
pub mod patch;
pub mod prelude;
pub mod stores;
