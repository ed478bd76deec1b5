//! What the tables hold: turns, and programs with their ledgers.
use crate::prelude::*;

/// A turn, kept until a moment that only moves onwards.
pub(super) struct TurnRow {
    pub(super) record: TurnRecord,
    pub(super) until: Duration,
}

/// A turn of a program, by its id.
pub(super) struct StoredTurn {
    pub(super) id: String,
    /// When its newest record was written to the log.
    pub(super) logged: Duration,
}

/// Invariants: `turns` names the turns of the program that are here; `ledger_logged` is none or not
/// after the time at which any part of the ledger's newest state was written to the log.
pub(super) struct Program {
    pub(super) ledger: ProgramLedger,
    pub(super) ledger_logged: Option<Duration>,
    pub(super) turns: Vec<StoredTurn>,
    pub(super) until: Duration,
}

impl Program {
    pub(super) fn new(limits: Limits) -> Self {
        Program {
            ledger: ProgramLedger::new(limits),
            ledger_logged: None,
            turns: Vec::new(),
            until: Duration::ZERO,
        }
    }

    /// Whether a turn is stored for this program.
    pub(super) fn has_turn(&self, id: &str) -> bool {
        self.turns.iter().any(|turn| turn.id == id)
    }

    /// A turn is written to the log for this program, perhaps once more.
    pub(super) fn mark_turn_logged(&mut self, id: &str, now: Duration) {
        match self.turns.iter_mut().find(|turn| turn.id == id) {
            Some(turn) => turn.logged = now,
            None => self.turns.push(StoredTurn { id: id.to_string(), logged: now }),
        }
    }

    /// Keeps the program at least until a moment.
    pub(super) fn keep_until(&mut self, until: Duration) {
        self.until = self.until.max(until);
    }
}
