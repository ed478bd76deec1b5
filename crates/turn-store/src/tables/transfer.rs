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
    pub(super) fn sync(&self, q: SyncCall) -> StoreReply {
        if let Some(r) = self.fenced(q.version) {
            return r;
        }
        let from = match q.after {
            Some(a) => std::ops::Bound::Excluded(a),
            None => std::ops::Bound::Unbounded,
        };
        let mut rows = Vec::new();
        let mut more = None;
        for (program, p) in self.programs.range((from, std::ops::Bound::Unbounded)) {
            if !self.history.keeps(q.me, StoreSet::key_of(program)) {
                continue;
            }
            if rows.len() == SYNC_PAGE {
                more = rows.last().map(|r: &SyncRow| r.program.clone());
                break;
            }
            let ledger = p.ledger.records().cloned().collect();
            let turns = p.turns.iter().map(|turn| turn.id.clone()).collect();
            rows.push(SyncRow { program: program.clone(), ledger, turns });
        }
        StoreReply::Sync(SyncReply { caught_up: self.history.caught_up, rows, more })
    }

    /// Takes another store's ledger of a program; gives back which of its turns are not here.
    pub fn merge(
        &mut self,
        row: SyncRow,
        now: Duration,
        log: &mut Vec<Logged>,
    ) -> Vec<MissingTurn> {
        self.keep_turns_here(&row, now, log);
        for record in row.ledger {
            self.write(&row.program, &LedgerWrite::Merge(record), now, log);
        }
        let lacking = row.turns.into_iter().filter(|t| !self.turns.contains_key(t));
        lacking.map(|id| MissingTurn { program: row.program.clone(), id }).collect()
    }

    /// Turns held for another program already are kept for the row's as well.
    fn keep_turns_here(&mut self, row: &SyncRow, now: Duration, log: &mut Vec<Logged>) {
        for id in &row.turns {
            let known = self.programs.get(&row.program).is_some_and(|p| p.holds(id));
            let here = self.turns.get(id).map(|r| r.record.clone());
            if let (false, Some(record)) = (known, here) {
                let program = row.program.clone();
                self.take_logged(Logged::Foreign { program, record }, now, log);
            }
        }
    }
}
