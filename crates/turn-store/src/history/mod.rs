//! What this store may speak for: of which programs it has the complete history.
use crate::prelude::*;

/// Invariants: `set.version` never goes back; `transfers` holds only stores that had learnt the
/// placement in force when they sent all they hold of this store's programs; outside `caught_up` and
/// `transfers` nothing is vouched for; a store to which no programs are assigned never catches up.
pub struct History {
    /// The identity of this store's disk.
    pub me: u64,
    /// The newest set that was learnt.
    pub set: StoreSet,
    /// The versions at which this store was caught up; none for a disk that began empty.
    pub caught_up: Option<VersionSpan>,
    transfers: Transfers,
}

/// What follows from a newer set.
#[derive(Debug, PartialEq, Eq)]
pub enum Learnt {
    /// The set is no newer.
    Old,
    /// Everything this store keeps it kept before.
    Same,
    /// It was assigned programs, or can't tell what it missed: it must ask the others.
    Behind,
    /// No programs are assigned to it.
    Unplaced,
}

impl History {
    /// The history of a store that was caught up in a span.
    pub fn new(me: u64, caught_up: Option<VersionSpan>) -> Self {
        History { me, set: StoreSet::default(), caught_up, transfers: BTreeMap::new() }
    }

    /// Takes a newer set.
    pub fn learn(&mut self, set: StoreSet) -> Learnt {
        if set.version <= self.set.version {
            return Learnt::Old;
        }
        let placed_at = |s: &StoreSet| s.placement().map(|p| p.version);
        let other = placed_at(&set) != placed_at(&self.set);
        self.set = set;
        if other {
            self.transfers.clear();
        }
        if !self.is_placed() {
            return Learnt::Unplaced;
        }
        if self.set.may_lack_programs(self.me, self.caught_up) {
            return Learnt::Behind;
        }
        let to = self.set.version;
        self.caught_up = self.caught_up.map(|s| VersionSpan { to, ..s });
        Learnt::Same
    }

    fn is_placed(&self) -> bool {
        self.set.placement().is_some_and(|p| p.has(self.me))
    }

    /// It has the complete history of all its programs under the set in force; what it doesn't hold
    /// was never acknowledged for them. A store that is leaving can't say so.
    pub fn is_caught_up(&self) -> bool {
        self.is_placed() && self.caught_up.is_some_and(|s| s.to >= self.set.version)
    }

    /// It has the complete history of a program.
    pub fn has_complete_history(&self, key: u64) -> bool {
        self.set.has_complete_history(self.me, self.caught_up, &self.transfers, key)
    }

    /// Store `from` has transferred everything, under the placement that was in force at `version`.
    pub fn transferred(&mut self, version: u64, from: u64, span: Option<VersionSpan>) {
        let in_force = self.set.placement().map_or(0, |p| p.version);
        if version >= in_force {
            self.transfers.insert(from, span);
        }
    }

    /// Whether this store is caught up now: all others have transferred what they hold, or those that
    /// are missing and those that were lost are no more than may be, and it has the complete history of
    /// every program here (`keys`).
    pub fn complete(&mut self, keys: impl Iterator<Item = u64>) -> bool {
        if !self.is_placed() || self.is_caught_up() {
            return false;
        }
        let missing = self.missing().len();
        let lost = self.set.lost_since(self.me, self.caught_up);
        let borne = missing + lost <= self.set.tolerated as usize;
        let mut mine = keys.filter(|k| self.keeps(self.me, *k));
        if missing > 0 && !(borne && mine.all(|k| self.has_complete_history(k))) {
            return false;
        }
        self.caught_up = Some(self.set.caught_up_span(self.caught_up));
        true
    }

    /// Stores that have not transferred everything yet, while this store is not caught up.
    pub fn missing(&self) -> Vec<StoreEntry> {
        if !self.is_placed() || self.is_caught_up() {
            return Vec::new();
        }
        let lacks = |e: &&StoreEntry| e.id != self.me && !self.transfers.contains_key(&e.id);
        self.set.stores.iter().filter(lacks).cloned().collect()
    }

    /// Whether a store keeps a program.
    pub fn keeps(&self, store: u64, key: u64) -> bool {
        self.set.group(key).contains(&store)
    }
}
