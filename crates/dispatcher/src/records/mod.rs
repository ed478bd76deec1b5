//! What goes between nodes and stores, and what a store logs.
mod attempt;
mod epoch;
mod finished;
pub(crate) mod millis;
mod view;
mod write;

pub use attempt::{
    AttemptRecord, Call, CallPoint, Invoke, NewAttempt, Outcome, Pinned, Segment, Settlement,
};
pub use epoch::Epoch;
pub use finished::Finished;
pub use view::{AttemptView, ProgramView};
pub use write::{Applied, LedgerWrite, WriteOutcome};
