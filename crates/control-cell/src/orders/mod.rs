//! Orders and reads between their callers and the cells' agreement. It is pure: the actor drives it with
//! a disk and connections, the history test with a simulated network.
mod pending;
mod tracker;

pub use tracker::{ChangedPart, OrderEvent, OrderTracker, UnreadableState};
