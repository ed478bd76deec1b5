//! The log above the snapshot.
use crate::prelude::*;

/// Invariants: `entries[i].index == snap.index + 1 + i`; terms never fall along the log.
#[derive(Debug, Clone, Default)]
pub struct TermLog {
    pub snap: Snapshot,
    pub entries: Vec<Entry>,
}

impl TermLog {
    pub fn last(&self) -> u64 {
        self.snap.index + self.entries.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.snap.term, |e| e.term)
    }

    /// The term at an index; none where the log doesn't reach.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snap.index {
            return Some(self.snap.term);
        }
        self.get(index).map(|e| e.term)
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let i = index.checked_sub(self.snap.index + 1)?;
        self.entries.get(i as usize)
    }

    pub fn from(&self, index: u64) -> &[Entry] {
        let i = (index.max(self.snap.index + 1) - self.snap.index - 1) as usize;
        &self.entries[i.min(self.entries.len())..]
    }

    /// Cuts everything from `index` on.
    pub fn cut(&mut self, index: u64) {
        let keep = index.saturating_sub(self.snap.index + 1) as usize;
        self.entries.truncate(keep);
    }

    /// The newest members in the log, committed or not.
    pub fn members(&self) -> &[Member] {
        self.entries
            .iter()
            .rev()
            .find_map(|e| match &e.body {
                Body::Members(m) => Some(m.as_slice()),
                _ => None,
            })
            .unwrap_or(&self.snap.members)
    }

    pub fn members_index(&self) -> u64 {
        self.entries
            .iter()
            .rev()
            .find(|e| matches!(e.body, Body::Members(_)))
            .map_or(self.snap.index, |e| e.index)
    }

    /// The members as of an index, for a snapshot there.
    pub fn members_at(&self, index: u64) -> Vec<Member> {
        self.entries
            .iter()
            .rev()
            .filter(|e| e.index <= index)
            .find_map(|e| match &e.body {
                Body::Members(m) => Some(m.clone()),
                _ => None,
            })
            .unwrap_or_else(|| self.snap.members.clone())
    }
}
