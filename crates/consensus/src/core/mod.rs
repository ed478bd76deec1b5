//! The pure part: (event, now) gives effects.
//!
//! Plain data stands in `types`, `log`, `quorum`, `progress`, `leader`, `incoming` and `role`, none of
//! which knows the node. `node` joins them; `election`, `follow`, `replicate` and `proposals` are its
//! steps, one concern each.
mod election;
mod follow;
mod incoming;
mod leader;
mod log;
mod node;
mod progress;
mod proposals;
mod quorum;
mod replicate;
mod role;
mod types;

pub use log::TermLog;
pub use node::ConsensusNode;
pub use progress::FollowerStatus;
pub use role::{Role, RoleEvent, RoleState};
pub use types::{Effect, Event, HardState, ProposalRefused, Tuning};
