//! What a node makes of the stores' replies.
mod claim;
mod evidence;
mod hold;
mod limits;
mod recover;

pub use claim::{ClaimDecision, ClaimTally, Scope};
pub use evidence::Evidence;
pub use hold::Hold;
pub use limits::{Limits, Reread};
pub use recover::{RecoverDecision, RecoverTally};
