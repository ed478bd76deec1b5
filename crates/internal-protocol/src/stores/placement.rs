//! Which stores keep which programs from a version of the set on, until the next placement.
use crate::prelude::*;

/// A store to which programs are assigned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedStore {
    /// The identity of its disk.
    #[serde(rename = "i")]
    pub id: u64,
    /// What ranks it for each program. A successor has the rank of the store that it replaces, so that
    /// no other store gains or loses programs by a replacement.
    #[serde(rename = "p")]
    pub rank: u64,
    /// Its zone: a group spreads over as many as it can.
    #[serde(rename = "z")]
    pub zone: String,
    /// It is agreed that this store was caught up while the placement was in force.
    #[serde(rename = "c", default, skip_serializing_if = "std::ops::Not::not")]
    pub caught_up: bool,
}

/// Who keeps programs from a version on, until the next placement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The version of the set that began it.
    #[serde(rename = "v")]
    pub version: u64,
    /// The stores that keep programs. Invariant: no two have one rank.
    #[serde(rename = "s")]
    pub stores: Vec<PlacedStore>,
}

impl Placement {
    /// The group of a program, in the order of its ranks: the best of each zone first, as far as there
    /// are zones, then the best of the rest.
    pub fn group(&self, key: u64, size: usize) -> Vec<u64> {
        let mut row: Vec<(u64, &PlacedStore)> =
            self.stores.iter().map(|s| (rendezvous_score(key, s.rank), s)).collect();
        row.sort_unstable_by_key(|(score, s)| std::cmp::Reverse((*score, s.id)));
        let mut zones: Vec<&str> = Vec::with_capacity(size);
        let mut taken = vec![false; row.len()];
        for (i, (_, s)) in row.iter().enumerate() {
            if zones.len() < size && !zones.contains(&s.zone.as_str()) {
                zones.push(&s.zone);
                taken[i] = true;
            }
        }
        let mut left = size.saturating_sub(zones.len());
        for t in taken.iter_mut().filter(|t| !**t) {
            if left == 0 {
                break;
            }
            *t = true;
            left -= 1;
        }
        row.iter().zip(&taken).filter(|(_, t)| **t).map(|((_, s), _)| s.id).collect()
    }

    /// How many of a group of at most `size` stores make a majority.
    pub fn majority(&self, size: usize) -> usize {
        size.min(self.stores.len()) / 2 + 1
    }

    /// Whether programs are assigned to a store.
    pub fn has(&self, id: u64) -> bool {
        self.stores.iter().any(|s| s.id == id)
    }

    /// Whether every store was caught up under it: it proves the history of all programs by itself.
    pub fn is_complete(&self) -> bool {
        self.stores.iter().all(|s| s.caught_up)
    }

    /// How many stores of any group of at most `size` may be left out so that the others still meet each
    /// of its majorities.
    pub fn spare(&self, size: usize) -> usize {
        self.majority(size) - 1
    }

    /// Whether a store may keep programs under this placement that `earlier` gave to others: it wasn't
    /// placed, or another's rank or zone is gone. One more rank, or a successor, gives it none; and where
    /// every group of `earlier` was all its stores, the store had all programs.
    pub fn may_add_programs(&self, earlier: &Placement, id: u64, size: usize) -> bool {
        let mut others = earlier.stores.iter().filter(|s| s.id != id);
        let is_left = |o: &PlacedStore| {
            self.stores.iter().any(|s| s.id != id && s.rank == o.rank && s.zone == o.zone)
        };
        let had_all = earlier.stores.len() <= size;
        !(earlier.has(id) && (had_all || others.all(is_left)))
    }

    /// The same stores, with the same ranks.
    pub(super) fn places_the_same(&self, stores: &[PlacedStore]) -> bool {
        let same =
            |a: &PlacedStore, b: &PlacedStore| a.id == b.id && a.rank == b.rank && a.zone == b.zone;
        self.stores.len() == stores.len() && self.stores.iter().zip(stores).all(|(a, b)| same(a, b))
    }
}
