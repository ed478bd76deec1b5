//! What the leader sees to: who the members are, who holds each zone, which stores count. Each duty
//! is a pure function from what is agreed and seen to the next change, if any.
mod holders;
mod members;
mod membership_bounds;
mod recovery_bounds;
mod stores;

pub use holders::next_holders;
pub use members::{next_membership, CorePolicy, JoinRequest, MemberObservation};
pub use membership_bounds::{MembershipBounds, RecoverySteps};
pub use recovery_bounds::RecoveryBounds;
pub use stores::{may_retire, next_stores, StoreObservation};
