//! The session-cache index of the design, and the scheduler that asks it for every turn.
pub mod blocks;
pub mod engines;
pub mod evidence;
pub mod index;
pub mod prelude;
pub mod scheduler;
