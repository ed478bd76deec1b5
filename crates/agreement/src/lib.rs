//! ConsensusNode among the cells: a log kept by a leader, as a pure state machine, and its disk.
pub mod core;
pub mod prelude;
pub mod store;
