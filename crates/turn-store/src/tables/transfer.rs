//! Transfers between stores: pages of what one holds for another, and merging them.
use super::StoreTables;
use crate::prelude::*;

/// Programs in one answer to a store that asks for what others hold.
const SYNC_PAGE: usize = 300;

/// A turn that another store holds for a program, and that is not here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissingTurn {
    /// The program that it is held for.
    pub program: String,
    /// Its id.
    pub id: String,
}

impl StoreTables {
    /// A store has transferred all it holds; true when this one is caught up by that.
    pub fn transferred(&mut self, version: u64, from: u64, caught_up: Option<VersionSpan>) -> bool {
        self.history.transferred(version, from, caught_up);
        self.history.complete()
    }

    /// A page of what this store holds of the programs that the asking one keeps.
    pub(super) fn sync(&self, call: SyncCall) -> StoreReply {
        if let Some(refusal) = self.refuse_other_version(call.version) {
            return refusal;
        }
        let from = match call.after {
            Some(a) => std::ops::Bound::Excluded(a),
            None => std::ops::Bound::Unbounded,
        };
        let mut rows = Vec::new();
        let mut more = None;
        for (program, entry) in self.programs.range((from, std::ops::Bound::Unbounded)) {
            if !self.history.keeps(call.me, StoreSet::key_of(program)) {
                continue;
            }
            if rows.len() == SYNC_PAGE {
                more = rows.last().map(|r: &SyncRow| r.program.clone());
                break;
            }
            let ledger = entry.ledger.records().cloned().collect();
            let turns = entry.turns.iter().map(|turn| turn.id.clone()).collect();
            rows.push(SyncRow { program: program.clone(), ledger, turns });
        }
        StoreReply::Sync(SyncReply { caught_up: self.history.caught_up, rows, more })
    }

    /// Takes another store's ledger of a program; gives back which of its turns are not here.
    pub fn merge(
        &mut self,
        row: SyncRow,
        now: Duration,
        log: &mut Vec<LogRecord>,
    ) -> Vec<MissingTurn> {
        self.keep_turns_here(&row, now, log);
        for record in row.ledger {
            self.write(&row.program, &LedgerWrite::Merge(record), now, log);
        }
        let lacking = row.turns.into_iter().filter(|t| !self.turns.contains_key(t));
        lacking.map(|id| MissingTurn { program: row.program.clone(), id }).collect()
    }

    /// Turns held for another program already are kept for the row's as well.
    fn keep_turns_here(&mut self, row: &SyncRow, now: Duration, log: &mut Vec<LogRecord>) {
        for id in &row.turns {
            let is_linked = self.programs.get(&row.program).is_some_and(|entry| entry.has_turn(id));
            let here = self.turns.get(id).map(|r| r.record.clone());
            if let (false, Some(record)) = (is_linked, here) {
                let program = row.program.clone();
                self.record(LogRecord::Foreign { program, record }, now, log);
            }
        }
    }
}
