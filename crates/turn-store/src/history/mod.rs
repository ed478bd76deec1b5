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
pub enum SetUpdate {
    /// The set is no newer.
    Outdated,
    /// Everything this store keeps it kept before.
    Unchanged,
    /// It was assigned programs, or can't tell what it missed: it must ask the others.
    TransferDue,
    /// No programs are assigned to it.
    Unassigned,
}

impl History {
    /// The history of a store that was caught up in a span.
    pub fn new(me: u64, caught_up: Option<VersionSpan>) -> Self {
        History { me, set: StoreSet::default(), caught_up, transfers: BTreeMap::new() }
    }

    /// Takes a newer set.
    pub fn learn(&mut self, set: StoreSet) -> SetUpdate {
        if set.version <= self.set.version {
            return SetUpdate::Outdated;
        }
        let placed_at = |s: &StoreSet| s.placement().map(|p| p.version);
        let other = placed_at(&set) != placed_at(&self.set);
        self.set = set;
        if other {
            self.transfers.clear();
        }
        if !self.is_placed() {
            return SetUpdate::Unassigned;
        }
        if self.set.may_lack_programs(self.me, self.caught_up) {
            return SetUpdate::TransferDue;
        }
        let to = self.set.version;
        self.caught_up = self.caught_up.map(|s| VersionSpan { to, ..s });
        SetUpdate::Unchanged
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

    /// Whether this store is caught up now: what was transferred proves that it has the complete history
    /// of every program, whether it holds anything of it or not.
    pub fn complete(&mut self) -> bool {
        if !self.is_placed() || self.is_caught_up() {
            return false;
        }
        let proved = self.set.has_all_history(self.me, self.caught_up, &self.transfers);
        if proved {
            self.caught_up = Some(self.set.caught_up_span(self.caught_up));
        }
        proved
    }

    /// All stores of the set have transferred, and that proves too little: more were lost than may be.
    /// For programs that this concerns the store answers that it can't say.
    pub fn is_beyond_proof(&self) -> bool {
        let asked = |e: &StoreEntry| e.id == self.me || self.transfers.contains_key(&e.id);
        self.is_placed() && !self.is_caught_up() && self.set.stores.iter().all(asked)
    }

    /// Stores that have not transferred everything yet, while this store is not caught up. Where all have
    /// and too little is proved, those that weren't caught up themselves are asked again.
    pub fn missing(&self) -> Vec<StoreEntry> {
        if !self.is_placed() || self.is_caught_up() {
            return Vec::new();
        }
        let again = self.is_beyond_proof();
        let in_force = self.set.placement().map_or(0, |p| p.version);
        let proves = |span: &Option<VersionSpan>| span.is_some_and(|s| s.to >= in_force);
        let lacks = |e: &&StoreEntry| match self.transfers.get(&e.id) {
            Some(span) => again && !proves(span),
            None => e.id != self.me,
        };
        self.set.stores.iter().filter(lacks).cloned().collect()
    }

    /// Whether this store, which was told to stop, may: the set is without it and nothing depends on its disk,
    /// or it can't be spared, so that waiting wouldn't help.
    pub fn may_stop(&self) -> bool {
        let can_be_spared = self.set.placed() > self.set.group_size();
        match self.set.find(self.me) {
            Some(entry) => !can_be_spared && entry.state == StoreState::Placed,
            None => !self.set.may_depend_on(self.me),
        }
    }

    /// Whether a store keeps a program, or kept it under a placement that history may depend on: by what
    /// it is given of these it can vouch for all those placements as well.
    pub fn keeps(&self, store: u64, key: u64) -> bool {
        self.set.ever_assigned(store, key)
    }
}
