//! The log above the snapshot, and a bounded part of it below.
use crate::prelude::*;

/// Invariants: `entries[i].index == snap.index + 1 + i`; terms never fall along the log; `kept` is
/// without a gap, ends at `snap.index`, and is in memory only.
#[derive(Debug, Clone, Default)]
pub struct TermLog {
    /// Everything up to its index.
    pub snap: Snapshot,
    /// What follows.
    pub entries: Vec<Entry>,
    kept: VecDeque<Entry>,
    /// The position just before `kept`.
    retained_after: LogPosition,
}

impl TermLog {
    /// A log whose entries join its snapshot.
    pub fn new(snap: Snapshot, entries: Vec<Entry>) -> Self {
        TermLog { snap, entries, ..TermLog::default() }
    }

    /// The last entry's index.
    pub fn last(&self) -> u64 {
        self.snap.index + self.entries.len() as u64
    }

    /// The last entry's term.
    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.snap.term, |e| e.term)
    }

    /// Where the log ends.
    pub fn end(&self) -> LogPosition {
        LogPosition { term: self.last_term(), index: self.last() }
    }

    /// The term at an index; none where the log doesn't reach.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snap.index {
            return Some(self.snap.term);
        }
        if index == self.retained_after.index && !self.kept.is_empty() {
            return Some(self.retained_after.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// An entry, where the log still has it.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        match index.checked_sub(self.snap.index + 1) {
            Some(above) => self.entries.get(above as usize),
            None => {
                let below = index.checked_sub(self.retained_after.index + 1)?;
                self.kept.get(below as usize)
            }
        }
    }

    /// All entries from `index` on, which must be there.
    pub fn from(&self, index: u64) -> impl Iterator<Item = &Entry> {
        (index..=self.last()).map_while(|i| self.get(i))
    }

    /// Cuts everything from `index` on.
    pub fn cut(&mut self, index: u64) {
        let keep = index.saturating_sub(self.snap.index + 1) as usize;
        self.entries.truncate(keep);
    }

    /// Puts a snapshot at an index that the log has in the place of what is below it, of which the
    /// newest entries are kept within bounds.
    pub fn compact(&mut self, snap: Snapshot, most_entries: usize, most_bytes: usize) {
        if self.kept.is_empty() {
            self.retained_after = self.snap.position();
        }
        let above = self.entries.split_off((snap.index - self.snap.index) as usize);
        let below = std::mem::replace(&mut self.entries, above);
        self.kept.extend(below);
        self.snap = snap;
        let mut bytes: usize = self.kept.iter().map(|e| e.body.size()).sum();
        while self.kept.len() > most_entries || bytes > most_bytes {
            let Some(gone) = self.kept.pop_front() else { break };
            bytes -= gone.body.size();
            self.retained_after = gone.position();
        }
    }

    /// Puts another's snapshot in place; entries above it stay where the log agrees with it.
    pub fn install(&mut self, snap: Snapshot) {
        let agrees = self.term_at(snap.index) == Some(snap.term);
        let above = match agrees {
            true => self.from(snap.index + 1).cloned().collect(),
            false => Vec::new(),
        };
        *self = TermLog::new(snap, above);
    }

    /// The newest membership in the log, committed or not: the one that rules.
    pub fn membership(&self) -> &Membership {
        self.membership_at(self.last())
    }

    /// Where it stands.
    pub fn membership_index(&self) -> u64 {
        let newest = self.entries.iter().rev().find(|e| matches!(e.body, Body::Membership(_)));
        newest.map_or(self.snap.index, |e| e.index)
    }

    /// The membership as of an index, for a snapshot there.
    pub fn membership_at(&self, index: u64) -> &Membership {
        let until = self.entries.iter().rev().filter(|e| e.index <= index);
        let mut memberships = until.filter_map(|e| match &e.body {
            Body::Membership(m) => Some(m),
            _ => None,
        });
        memberships.next().unwrap_or(&self.snap.membership)
    }
}
