//! Which turn runs, under whose authority, and what it may cost: pure parts of the dispatcher, for the
//! stores (`ledger`), the nodes (`node`, `queue`) and between them (`records`). See docs/dispatcher.md.
pub mod ledger;
pub mod node;
pub mod prelude;
pub mod queue;
pub mod records;
