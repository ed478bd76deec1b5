//! What this store may speak for: which programs it knows whole.
use crate::prelude::*;

/// Invariants: `set.version` never goes back; `given` holds only stores that had learnt the seating in
/// force when they gave all they know of this store's programs; outside `whole` and `given` nothing is
/// vouched for.
pub struct Knowledge {
    pub me: u64,
    pub set: StoreSet,
    /// The versions between which this store is whole; none for a disk that began empty.
    pub whole: Option<(u64, u64)>,
    given: BTreeMap<u64, Option<(u64, u64)>>,
}

/// What follows from a newer set.
#[derive(Debug, PartialEq, Eq)]
pub enum Learnt {
    /// The set is no newer.
    Old,
    /// Everything this store keeps it kept before.
    Same,
    /// It has gained programs, or doesn't know what it missed: it must ask the others.
    Gained,
}

impl Knowledge {
    pub fn new(me: u64, whole: Option<(u64, u64)>) -> Self {
        Knowledge { me, set: StoreSet::default(), whole, given: BTreeMap::new() }
    }

    pub fn learn(&mut self, set: StoreSet) -> Learnt {
        if set.version <= self.set.version {
            return Learnt::Old;
        }
        let seated = |s: &StoreSet| s.seatings.last().map(|x| x.version);
        let other = seated(&set) != seated(&self.set);
        self.set = set;
        if other {
            self.given.clear();
        }
        if self.set.gained(self.me, self.whole) {
            return Learnt::Gained;
        }
        self.whole = self.whole.map(|w| (w.0, self.set.version));
        Learnt::Same
    }

    /// It knows all its programs whole under the set in force.
    pub fn is_whole(&self) -> bool {
        self.whole.is_some_and(|w| w.1 >= self.set.version)
    }

    pub fn knows(&self, key: u64) -> bool {
        self.set.knows(self.me, self.whole, &self.given, key)
    }

    /// Store `from` has given everything, under the seating that was in force at `version`.
    pub fn given(&mut self, version: u64, from: u64, whole: Option<(u64, u64)>) {
        let in_force = self.set.seatings.last().map_or(0, |s| s.version);
        if version >= in_force {
            self.given.insert(from, whole);
        }
    }

    /// Whether this store is whole now: all others have given what they know, or those that are missing
    /// and those that were lost are no more than may be, and it knows every program here (`keys`).
    pub fn complete(&mut self, keys: impl Iterator<Item = u64>) -> bool {
        if self.is_whole() {
            return false;
        }
        let missing = self.missing().len();
        let lost = self.set.lost_since(self.me, self.whole);
        let borne = missing + lost <= self.set.tolerated as usize;
        let mut mine = keys.filter(|k| self.owes(self.me, *k));
        if missing > 0 && !(borne && mine.all(|k| self.knows(k))) {
            return false;
        }
        self.whole = Some(self.set.whole_after(self.whole));
        true
    }

    /// Stores that have not given everything yet, while this store is not whole.
    pub fn missing(&self) -> Vec<StoreEntry> {
        if self.is_whole() {
            return Vec::new();
        }
        let lacks = |e: &&StoreEntry| e.id != self.me && !self.given.contains_key(&e.id);
        self.set.stores.iter().filter(lacks).cloned().collect()
    }

    /// Whether a store keeps a program.
    pub fn owes(&self, to: u64, key: u64) -> bool {
        self.set.group(key).contains(&to)
    }
}
