//! Orders and reads between their callers and the cells' agreement. It is pure: the actor drives it with
//! a disk and connections, the history test with a simulated network.
mod desk;
mod pending;

pub use desk::{leads_with_current_state, ChangedPart, DeskEvent, OrderDesk, UnreadableState};
