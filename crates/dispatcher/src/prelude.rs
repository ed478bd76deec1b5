//! The one module every file of this package imports.
pub use crate::ledger::{Incarnations, ProgramLedger};
pub use crate::node::{
    ClaimDecision, ClaimTally, Evidence, HeldLeases, Limits, Recheck, RecoverDecision,
    RecoverTally, Scope,
};
pub use crate::queue::{PoolCapacity, ReadyQueue, ReadyTurn};
pub use crate::records::{
    Applied, AttemptRecord, AttemptView, Call, CallPoint, Epoch, Finished, Invoke, LedgerWrite,
    NewAttempt, Outcome, Pinned, ProgramView, Segment, Settlement, WriteOutcome,
};
pub use serde::{Deserialize, Serialize};
pub use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
pub use std::fmt;
pub use std::sync::Arc;
pub use std::time::Duration;
