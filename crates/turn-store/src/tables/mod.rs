//! The store's tables: pure, fed by calls, telling what must be logged.
mod calls;
mod retention;
mod rows;
mod transfer;

use crate::prelude::*;
use retention::LEDGER_KEPT;
use rows::{Program, TurnRow};
pub use transfer::MissingTurn;

/// What goes to the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Logged {
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

impl Logged {
    /// The turn that the record is about, if it is about one.
    pub fn turn(&self) -> Option<&TurnRecord> {
        match self {
            Logged::Turn(record) | Logged::Foreign { record, .. } => Some(record),
            Logged::Attempt { .. } => None,
        }
    }

    /// A turn, kept with a program that may be another than it was made for.
    pub fn turn_of(program: String, record: TurnRecord) -> Self {
        match record.program == program {
            true => Logged::Turn(record),
            false => Logged::Foreign { program, record },
        }
    }
}

/// Invariants: whoever holds a turn holds its whole chain until the turn is dropped; `lives` is what this process has heard; a turn is here from the moment
/// its record was given until `until`, which is never before its retention has passed.
pub struct StoreTables {
    /// What this store may speak for.
    pub history: History,
    turns: HashMap<String, TurnRow>,
    programs: BTreeMap<String, Program>,
    limits: Limits,
    lives: Lives,
}

impl StoreTables {
    /// Of `limits`, the lease and the slack are used here.
    pub fn new(history: History, limits: Limits) -> Self {
        StoreTables {
            history,
            turns: HashMap::new(),
            programs: BTreeMap::new(),
            limits,
            lives: Lives::default(),
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

    /// Takes what the log held, or a call brought.
    pub fn take(&mut self, l: Logged, now: Duration) {
        match l {
            Logged::Turn(record) => {
                let program = record.program.clone();
                self.keep(program, record, now);
            }
            Logged::Foreign { program, record } => self.keep(program, record, now),
            Logged::Attempt { program, record } => {
                let p = self.program(&program);
                p.keep_until(now + LEDGER_KEPT);
                p.ledger_logged.get_or_insert(now);
                p.ledger.replay(&record, now);
            }
        }
    }

    /// Takes a record and adds it to what must be logged.
    pub fn take_logged(&mut self, record: Logged, now: Duration, log: &mut Vec<Logged>) {
        log.push(record.clone());
        self.take(record, now);
    }

    fn program(&mut self, name: &str) -> &mut Program {
        let limits = self.limits;
        self.programs.entry(name.to_string()).or_insert_with(|| Program::new(limits))
    }

    /// Applies a write of the dispatcher; what it changed is logged before its outcome is told.
    fn write(
        &mut self,
        program: &str,
        w: &LedgerWrite,
        now: Duration,
        log: &mut Vec<Logged>,
    ) -> WriteOutcome {
        let lives = std::mem::take(&mut self.lives);
        let p = self.program(program);
        p.keep_until(now + LEDGER_KEPT);
        let done = p.ledger.apply(w, now, &lives);
        if done.log.is_some() {
            p.ledger_logged.get_or_insert(now);
        }
        self.lives = lives;
        if let Some(record) = done.log {
            log.push(Logged::Attempt { program: program.to_string(), record });
        }
        done.outcome
    }
}
