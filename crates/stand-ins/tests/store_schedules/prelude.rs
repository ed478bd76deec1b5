//! The one module every file of this test imports.
pub use crate::clock::{ms, Clock, Time};
pub use crate::copies::{Acknowledged, Copies};
pub use crate::losses::LossLedger;
pub use crate::store::{Reach, Store};
pub use crate::world::{Event, World};
pub use control_cell::duties::may_retire;
pub use control_cell::prelude::{next_stores, RecoveryBounds, StoreObservation};
pub use dispatcher::prelude::{ClaimDecision, ClaimTally, NewAttempt, Pinned, Recheck};
pub use request_proxy::prelude::{OpenFault, OpenLedger, OpenStep};
pub use simulated_disk::{SimulatedDisk, Trouble};
pub use stand_ins::prelude::*;
pub use std::rc::Rc;
pub use turn_store::prelude::*;

/// What a schedule is drawn from.
pub type Luck<'a, 'b> = &'a mut arbtest::arbitrary::Unstructured<'b>;
/// What was drawn.
pub type Drawn<T> = arbtest::arbitrary::Result<T>;
