//! The pure part: (event, now) gives effects.
mod lead;
mod log;
mod machine;
mod role;
#[cfg(test)]
mod schedule_tests;

pub use log::TermLog;
pub use machine::{ConsensusNode, Effect, Event, HardState, Tuning};
pub use role::{Role, RoleEvent};
