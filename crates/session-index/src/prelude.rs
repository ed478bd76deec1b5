//! The one module every file of this package imports.
pub use crate::blocks::{chain_blocks, Block, Part};
pub use crate::engines::{EngineKey, EngineRow, EngineTable, KeptConnections, NoConnections, Pace};
pub use crate::evidence::{
    Admission, DecayingCount, EvidenceTable, FailureKind, IdleLife, Note, NoteKind, Observation,
    RetryBudget, Standing, StandingEvent, StandingState,
};
pub use crate::index::{BlockRecord, CacheIndex, IndexTuning, Tier};
pub use crate::scheduler::{Ask, Grant, Placed, Policy, Reason, Scheduler, SchedulerTuning};
pub use dispatcher::prelude::{ReadyQueue, ReadyTurn};
pub use internal_protocol::feed::{EngineEntry, ZoneChange, ZoneTable};
pub use internal_protocol::prelude::*;
pub use slab::Slab;
pub use statig::prelude::{state_machine, InitializedStateMachine, IntoStateMachineExt};
