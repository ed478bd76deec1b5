//! How long turns and programs are kept.
use super::rows::TurnRow;
use super::StoreTables;
use crate::prelude::*;

/// A ledger lasts longer than any program that goes on.
pub(super) const LEDGER_KEPT: Duration = Duration::from_secs(240);
/// Clocks and answers under way: a turn is kept somewhat longer than promised.
const SLACK: Duration = Duration::from_secs(20);

impl StoreTables {
    /// How long a turn is kept from when it is given.
    pub fn keep_for(record: &TurnRecord) -> Duration {
        Duration::from_millis(record.keep_ms) + SLACK
    }

    /// Keeps a turn with a program; one that is here already is kept for as long as is asked now.
    pub(super) fn keep(&mut self, program: String, record: TurnRecord, now: Duration) {
        let until = now + Self::keep_for(&record);
        let p = self.program(&program);
        p.keep_until(until);
        if !p.turns.contains(&record.id) {
            p.turns.push(record.id.clone());
        }
        let row = self.turns.entry(record.id.clone()).or_insert(TurnRow { record, until });
        row.until = row.until.max(until);
    }

    /// Drops what is past its time. A turn others go on from is renewed with its whole chain.
    pub fn expire(&mut self, now: Duration) {
        self.renew_chains(now);
        self.turns.retain(|_, r| r.until > now);
        let turns = &self.turns;
        for p in self.programs.values_mut() {
            p.turns.retain(|t| turns.contains_key(t));
        }
        self.programs.retain(|_, p| p.until > now || !p.turns.is_empty());
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
