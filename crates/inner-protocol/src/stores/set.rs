//! The store set: which stores there are, and which small group of them keeps each program.
//!
//! A program's group has `2T + 1` stores (T: what may be lost at once); what is written to a majority
//! of it and what a majority of it says meet in one store at the least.
use crate::prelude::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreState {
    /// It has a seat: programs are kept on it.
    Seated,
    /// It is being emptied: it has no seat any more, and still gives what it knows.
    Leaving,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    /// The identity of its disk: a wiped store comes back as another.
    pub id: u64,
    pub name: String,
    pub addr: String,
    pub zone: String,
    pub state: StoreState,
    /// The version of the set that gave it this state.
    pub since: u64,
}

/// A store with a seat. `place` ranks it (from its name: a wiped store takes the seat it had).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    #[serde(rename = "i")]
    pub id: u64,
    #[serde(rename = "p")]
    pub place: u64,
    #[serde(rename = "z")]
    pub zone: String,
}

/// Who had seats from a version on, until the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seating {
    #[serde(rename = "v")]
    pub version: u64,
    #[serde(rename = "s")]
    pub seats: Vec<Seat>,
}

/// How many seatings are remembered: a store that missed more of them asks for everything anew.
const SEATINGS_KEPT: usize = 12;

/// Invariants: `version` grows by each change; a store refuses calls made under an older one.
/// `seatings` are in order, the last is in force; from one to the next one store at the most comes
/// to a program's group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreSet {
    pub version: u64,
    pub stores: Vec<StoreEntry>,
    /// Names of machines that were emptied and may be taken away.
    pub emptied: Vec<String>,
    /// How many stores may be lost at once.
    pub tolerated: u32,
    pub seatings: Vec<Seating>,
}

impl Seating {
    /// The group of a program, in the order of its ranks: the best of each zone first, as far as there
    /// are zones, then the best of the rest.
    pub fn group(&self, key: u64, size: usize) -> Vec<u64> {
        let mut row: Vec<(u64, &Seat)> =
            self.seats.iter().map(|s| (rendezvous_score(key, s.place), s)).collect();
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
}

impl StoreSet {
    pub fn key_of(program: &str) -> u64 {
        fnv64(program.as_bytes())
    }

    pub fn group_size(&self) -> usize {
        2 * self.tolerated as usize + 1
    }

    fn seating(&self) -> Option<&Seating> {
        self.seatings.last()
    }

    /// Stores with a seat.
    pub fn seated(&self) -> usize {
        self.seating().map_or(0, |s| s.seats.len())
    }

    /// The group that keeps a program now.
    pub fn group(&self, key: u64) -> Vec<u64> {
        self.seating().map_or_else(Vec::new, |s| s.group(key, self.group_size()))
    }

    /// How many of a group make a majority.
    pub fn quorum(&self) -> usize {
        self.group_size().min(self.seated()) / 2 + 1
    }

    pub fn find(&self, id: u64) -> Option<&StoreEntry> {
        self.stores.iter().find(|s| s.id == id)
    }

    /// The same set one version on, changed by `f`; who has a seat follows from the entries.
    pub fn next(&self, f: impl FnOnce(&mut StoreSet)) -> StoreSet {
        let mut n = self.clone();
        n.version += 1;
        f(&mut n);
        let seats: Vec<Seat> = n
            .stores
            .iter()
            .filter(|e| e.state == StoreState::Seated)
            .map(|e| Seat { id: e.id, place: fnv64(e.name.as_bytes()), zone: e.zone.clone() })
            .collect();
        if n.seating().is_none_or(|s| s.seats != seats) {
            n.seatings.push(Seating { version: n.version, seats });
            let over = n.seatings.len().saturating_sub(SEATINGS_KEPT);
            n.seatings.drain(..over);
        }
        n
    }

    /// The place in `seatings` of the one in force at a version.
    fn in_force(&self, version: u64) -> Option<usize> {
        self.seatings.iter().rposition(|s| s.version <= version)
    }

    fn in_group(&self, at: usize, id: u64, key: u64) -> bool {
        self.seatings[at].group(key, self.group_size()).contains(&id)
    }

    /// Whether a store that is whole between two versions knows a program whole as of seating `at`:
    /// it was whole then, or has been in the program's group ever since it was.
    fn knew(&self, id: u64, whole: (u64, u64), key: u64, at: usize) -> bool {
        let (Some(first), Some(last)) = (self.in_force(whole.0), self.in_force(whole.1)) else {
            return false;
        };
        first <= at && (last.min(at)..=at).all(|i| self.in_group(i, id, key))
    }

    /// Whether store `me` knows a program whole: by itself, or by what it was given under this set.
    ///
    /// `whole` are the versions between which `me` is whole for all its programs; `given` those between
    /// which the stores are that gave it, after they had learnt this set, all they know of its programs.
    /// What was written before a seating lies with a majority of its group, of which each was whole;
    /// what was written under each seating since lies with a majority of that one's group.
    pub fn knows(
        &self,
        me: u64,
        whole: Option<(u64, u64)>,
        given: &BTreeMap<u64, Option<(u64, u64)>>,
        key: u64,
    ) -> bool {
        let Some(now) = self.seatings.len().checked_sub(1) else {
            return false;
        };
        if !self.in_group(now, me, key) {
            return false;
        }
        if whole.is_some_and(|w| self.knew(me, w, key, now)) {
            return true;
        }
        if given.is_empty() {
            return false;
        }
        let size = self.group_size();
        let majority = |at: usize| size.min(self.seatings[at].seats.len()) / 2 + 1;
        let mut later = true;
        for at in (0..=now).rev() {
            let group = self.seatings[at].group(key, size);
            let whole_of =
                |id: &u64| if *id == me { whole } else { given.get(id).copied().flatten() };
            let knew = group
                .iter()
                .filter(|id| whole_of(id).is_some_and(|w| self.knew(**id, w, key, at)))
                .count();
            if later && knew >= majority(at) {
                return true;
            }
            let heard = group.iter().filter(|id| **id == me || given.contains_key(id)).count();
            later &= at == now || heard >= majority(at);
            if !later {
                return false;
            }
        }
        false
    }

    /// Whether a store gained programs since a version at which it was whole.
    pub fn gained(&self, me: u64, whole: Option<(u64, u64)>) -> bool {
        let (Some(w), Some(now)) = (whole, self.seating()) else {
            return true;
        };
        let Some(last) = self.in_force(w.1) else {
            return true;
        };
        let mine = |s: &Seating| s.seats.iter().any(|x| x.id == me);
        let others = |s: &Seating| -> BTreeSet<u64> {
            s.seats.iter().filter(|x| x.id != me).map(|x| x.place).collect()
        };
        if !mine(now) {
            return false;
        }
        // A seat less: its programs have come to others. A seat more, or the same places: to none.
        let lost = |w: &[Seating]| !others(&w[0]).is_subset(&others(&w[1]));
        !self.seatings[last..].iter().all(mine) || self.seatings[last..].windows(2).any(lost)
    }

    /// How many stores went without giving back what they kept, since the last seating at which `me` was
    /// whole, or since the one before it first had a seat.
    pub fn lost_since(&self, me: u64, whole: Option<(u64, u64)>) -> usize {
        let mine = |s: &Seating| s.seats.iter().any(|x| x.id == me);
        let first = self.seatings.iter().position(mine).unwrap_or(0).saturating_sub(1);
        let from = whole.and_then(|w| self.in_force(w.1)).unwrap_or(first);
        let seated = self.seatings[from.min(self.seatings.len())..].iter().flat_map(|s| &s.seats);
        let gone: BTreeSet<u64> =
            seated.map(|s| s.id).filter(|id| *id != me && self.find(*id).is_none()).collect();
        gone.len()
    }

    /// The versions between which a store is whole after it was given all that the set's stores know.
    pub fn whole_after(&self, whole: Option<(u64, u64)>) -> (u64, u64) {
        let now = self.version;
        match whole.and_then(|w| Some((w, self.in_force(w.1)?))) {
            Some((w, last)) if last + 2 >= self.seatings.len() => (w.0, now),
            _ => (now, now),
        }
    }
}

/// What a store tells the cells about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    pub id: u64,
    pub name: String,
    pub addr: String,
    pub zone: String,
    /// Its disk was empty at a start that wasn't the system's first, and it has not been filled since.
    pub fresh: bool,
    /// The version of the set it works under.
    pub version: u64,
    /// The version up to which it knows all its programs whole.
    pub whole: u64,
}
