//! The store's tables: pure, fed by calls, telling what must be logged.
mod calls;
mod retention;
mod rows;
mod transfer;

use crate::prelude::*;
use retention::LEDGER_RETENTION;
use rows::{Program, TurnRow};
pub use transfer::MissingTurn;

/// What goes to the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LogRecord {
    /// A turn that counts.
    #[serde(rename = "t")]
    Turn(TurnRecord),
    /// What is known of an attempt.
    #[serde(rename = "l")]
    Attempt {
        /// Whose it is.
        program: String,
        /// Its newest state.
        record: AttemptRecord,
    },
    /// A turn that a program goes on from, kept with it though it is another program's.
    #[serde(rename = "f")]
    Foreign {
        /// The program that goes on from it.
        program: String,
        /// The turn, with the program that it was made for.
        record: TurnRecord,
    },
}

impl LogRecord {
    /// The turn that the record is about, if it is about one.
    pub fn turn(&self) -> Option<&TurnRecord> {
        match self {
            LogRecord::Turn(record) | LogRecord::Foreign { record, .. } => Some(record),
            LogRecord::Attempt { .. } => None,
        }
    }

    /// A turn, kept with a program that may be another than it was made for.
    pub fn turn_of(program: String, record: TurnRecord) -> Self {
        match record.program == program {
            true => LogRecord::Turn(record),
            false => LogRecord::Foreign { program, record },
        }
    }
}

/// The turns and ledgers of one store.
///
/// Invariants: whoever holds a turn holds its whole chain until the turn is dropped; `incarnations` is what this process has heard; a turn is here from the moment
/// its record was given until `until`, which is never before its retention has passed.
pub struct StoreTables {
    /// What this store may speak for.
    pub history: History,
    turns: HashMap<String, TurnRow>,
    programs: BTreeMap<String, Program>,
    limits: Limits,
    incarnations: Incarnations,
}

impl StoreTables {
    /// Of `limits`, the lease and the slack are used here.
    pub fn new(history: History, limits: Limits) -> Self {
        StoreTables {
            history,
            turns: HashMap::new(),
            programs: BTreeMap::new(),
            limits,
            incarnations: Incarnations::default(),
        }
    }

    /// Turns and programs here.
    pub fn counts(&self) -> (usize, usize) {
        (self.turns.len(), self.programs.len())
    }

    /// Whether a turn is here.
    pub fn has_turn(&self, id: &str) -> bool {
        self.turns.contains_key(id)
    }

    /// Applies a record that the log holds already.
    pub fn replay(&mut self, record: LogRecord, now: Duration) {
        match record {
            LogRecord::Turn(turn) => {
                let program = turn.program.clone();
                self.store_turn(program, turn, now);
            }
            LogRecord::Foreign { program, record } => self.store_turn(program, record, now),
            LogRecord::Attempt { program, record } => {
                let entry = self.program(&program);
                entry.keep_until(now + LEDGER_RETENTION);
                entry.ledger_logged.get_or_insert(now);
                entry.ledger.replay(&record, now);
            }
        }
    }

    /// Applies a record and adds it to what must be logged.
    pub fn record(&mut self, record: LogRecord, now: Duration, log: &mut Vec<LogRecord>) {
        log.push(record.clone());
        self.replay(record, now);
    }

    fn program(&mut self, name: &str) -> &mut Program {
        let limits = self.limits;
        self.programs.entry(name.to_string()).or_insert_with(|| Program::new(limits))
    }

    /// Applies a write of the dispatcher; what it changed is logged before its outcome is told.
    fn write(
        &mut self,
        program: &str,
        write: &LedgerWrite,
        now: Duration,
        log: &mut Vec<LogRecord>,
    ) -> WriteOutcome {
        let incarnations = std::mem::take(&mut self.incarnations);
        let entry = self.program(program);
        entry.keep_until(now + LEDGER_RETENTION);
        let done = entry.ledger.apply(write, now, &incarnations);
        if done.log.is_some() {
            entry.ledger_logged.get_or_insert(now);
        }
        self.incarnations = incarnations;
        if let Some(record) = done.log {
            log.push(LogRecord::Attempt { program: program.to_string(), record });
        }
        done.outcome
    }
}
