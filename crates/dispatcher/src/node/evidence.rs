//! How a send ended, as the node that carried its stream saw it.
use crate::prelude::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// The whole answer came.
    WholeAnswer,
    /// The engine's word that it did not run it.
    NotRun,
    /// 421: another engine lives there, and did not run it.
    Elsewhere,
    /// The engine's id left the list: that life has ended.
    EngineUnlisted,
    /// The deadline handed to the engine passed, and the slack after it.
    DeadlinePassed,
    /// The connection closed, was reset, or fell silent.
    Closed,
}

impl Evidence {
    /// The execution surely isn't running any more.
    pub fn proves_stop(self) -> bool {
        self != Evidence::Closed
    }

    /// The execution surely never began: the turn may be sent again under the same attempt.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Evidence::NotRun | Evidence::Elsewhere)
    }
}
