//! What a node makes of the stores' replies.
mod claim;
mod evidence;
mod held_leases;
mod limits;
mod recover;

pub use claim::{ClaimDecision, ClaimTally, Scope};
pub use evidence::Evidence;
pub use held_leases::HeldLeases;
pub use limits::{Limits, Recheck};
pub use recover::{RecoverDecision, RecoverTally};
