//! What the tables hold: turns, and programs with their ledgers.
use crate::prelude::*;

/// A turn, kept until a moment that only moves onwards.
pub(super) struct TurnRow {
    pub(super) record: TurnRecord,
    pub(super) until: Duration,
}

/// Invariant: `turns` names the turns of the program that are here.
pub(super) struct Program {
    pub(super) ledger: ProgramLedger,
    pub(super) turns: Vec<String>,
    pub(super) until: Duration,
}

impl Program {
    pub(super) fn new(limits: Limits) -> Self {
        Program { ledger: ProgramLedger::new(limits), turns: Vec::new(), until: Duration::ZERO }
    }

    /// Keeps the program at least until a moment.
    pub(super) fn keep_until(&mut self, until: Duration) {
        self.until = self.until.max(until);
    }
}
