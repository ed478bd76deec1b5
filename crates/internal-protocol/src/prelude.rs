//! The one module every file of this package imports.
pub use dispatcher::prelude::{
    AttemptRecord, Incarnations, LedgerWrite, Limits, ProgramLedger, ProgramView, WriteOutcome,
};
pub use node_runtime::prelude::*;
pub use routing_trial::prelude::{Evidence, NodeReport, TrialRecord, TrialSpec, Verdict};
pub use serde_bytes::ByteBuf;

pub(crate) use crate::{is_loss_counted, loss_counted_by_default};
