//! How long turns and programs are kept.
use super::rows::TurnRow;
use super::StoreTables;
use crate::prelude::*;

/// A ledger lasts longer than any program that goes on.
pub(super) const LEDGER_RETENTION: Duration = Duration::from_secs(240);
/// Clocks and answers under way: a turn is kept somewhat longer than promised.
const SLACK: Duration = Duration::from_secs(20);

impl StoreTables {
    /// How long a turn is kept from when it is given.
    pub fn retention_of(record: &TurnRecord) -> Duration {
        Duration::from_millis(record.keep_ms) + SLACK
    }

    /// Stores a turn for a program; one that is here already stays for as long as is asked now.
    pub(super) fn store_turn(&mut self, program: String, record: TurnRecord, now: Duration) {
        let until = now + Self::retention_of(&record);
        let entry = self.program(&program);
        entry.keep_until(until);
        entry.mark_turn_logged(&record.id, now);
        let row = self.turns.entry(record.id.clone()).or_insert(TurnRow { record, until });
        row.until = row.until.max(until);
    }

    /// Drops what is past its time. A turn others go on from is renewed with its whole chain.
    pub fn expire(&mut self, now: Duration) {
        self.renew_chains(now);
        self.turns.retain(|_, r| r.until > now);
        let turns = &self.turns;
        for p in self.programs.values_mut() {
            p.turns.retain(|turn| turns.contains_key(&turn.id));
        }
        self.programs.retain(|_, p| p.until > now || !p.turns.is_empty());
    }

    /// What is still kept of the records that were written up to a moment, to be written again before
    /// the segments that hold them are removed.
    pub fn rewrite_written_until(&mut self, moment: Duration, now: Duration) -> Vec<LogRecord> {
        let mut owed = Vec::new();
        for (name, program) in &mut self.programs {
            if program.ledger_logged.is_some_and(|at| at <= moment) {
                program.ledger_logged = Some(now);
                let records = program.ledger.records().cloned();
                owed.extend(
                    records.map(|r| LogRecord::Attempt { program: name.clone(), record: r }),
                );
            }
            for turn in program.turns.iter_mut().filter(|turn| turn.logged <= moment) {
                let Some(row) = self.turns.get(&turn.id) else { continue };
                turn.logged = now;
                owed.push(LogRecord::turn_of(name.clone(), row.record.clone()));
            }
        }
        owed
    }

    fn renew_chains(&mut self, now: Duration) {
        let mut renew: Vec<(String, Duration)> = Vec::new();
        for r in self.turns.values().filter(|r| r.until > now) {
            renew.extend(r.record.chain.iter().map(|i| (i.clone(), r.until)));
        }
        for (id, until) in renew {
            if let Some(r) = self.turns.get_mut(&id) {
                r.until = r.until.max(until);
            }
        }
    }
}
