//! The one module every file of this package imports.
pub use crate::core::{
    ConsensusNode, Effect, Event, FollowerStatus, HardState, ProposalRefused, RoleState, TermLog,
    Tuning,
};
pub use crate::store::{ConsensusDisk, SnapshotWrite};
pub use internal_protocol::cells::{
    Body, Entry, LogPosition, Member, Membership, Msg, Snapshot, SnapshotChunk,
};
pub use internal_protocol::prelude::*;
pub use statig::prelude::{state_machine, InitializedStateMachine, IntoStateMachineExt, Response};
pub use statig::Response::{Handled, Transition};
