//! Consensus among the cells: a log kept by a leader, as a pure state machine, and its disk.
#![deny(missing_docs)]
pub mod core;
pub mod prelude;
#[allow(missing_docs)]
pub mod store;
