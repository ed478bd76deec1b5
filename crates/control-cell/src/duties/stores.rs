//! Which stores are placed. From one placement to the next at most one store comes to a program's group,
//! and a planned step is taken only once every placed store is proved to be caught up under the one
//! before: a status report names versions that are on the store's disk, so an old one proves no more
//! than it says. Each step records in the set what the reports prove.
//!
//! A newcomer comes either in the place of a store that is gone, or as one more once each store of the
//! set has reported after the newcomer did, so that none of them can be its predecessor. Only stores whose
//! loss counts are placed: any number of others may go, and none of their copies would. A store that
//! is gone is never waited for longer than `RecoveryBounds` says, and one that comes back with its disk
//! is taken in again without waiting for the others where they can't prove their history without it.
use crate::prelude::*;

/// What the leader has seen of a store: its newest status report, and how long ago.
#[derive(Debug, Clone)]
pub struct StoreObservation {
    /// Its newest status report.
    pub status: StoreStatus,
    /// How long ago that was.
    pub silent: Duration,
    /// How long ago its first report came to this leader.
    pub known_for: Duration,
}

fn entry(s: &StoreStatus, since: u64, rank: u64) -> StoreEntry {
    StoreEntry {
        id: s.id,
        name: s.name.clone(),
        addr: s.addr.clone(),
        zone: s.zone.clone(),
        state: StoreState::Placed,
        since,
        rank,
        loss_counted: s.loss_counted,
    }
}

/// What the leader goes by.
struct Observed<'a> {
    set: &'a StoreSet,
    seen: &'a [StoreObservation],
    /// How long this leader has led and could have heard of everybody.
    calm: Duration,
    bounds: &'a RecoveryBounds,
}

/// The next set, if one is due. `calm` is how long this leader has led and heard everybody; `tolerated`
/// how many stores may be lost at once; `bounds` how long silence is waited out.
pub fn next_stores(
    set: &StoreSet,
    seen: &[StoreObservation],
    calm: Duration,
    tolerated: u32,
    bounds: &RecoveryBounds,
) -> Option<StoreSet> {
    let observed = Observed { set, seen, calm, bounds };
    if set.stores.is_empty() && set.version == 0 {
        return observed.founded(tolerated);
    }
    let arrival = || observed.at_work().find_map(|s| observed.taken_in(s));
    arrival()
        .or_else(|| observed.without_a_dead_store())
        .or_else(|| observed.without_the_leaving())
        .or_else(|| observed.with_one_leaving())
}

impl Observed<'_> {
    fn founded(&self, tolerated: u32) -> Option<StoreSet> {
        let any_counted = self.seen.iter().any(|s| s.status.loss_counted);
        let is_founder =
            |s: &&StoreObservation| !s.status.fresh && (s.status.loss_counted || !any_counted);
        let founders: Vec<&StoreObservation> = self.seen.iter().filter(is_founder).collect();
        if founders.is_empty() || self.calm < self.bounds.replace_after {
            return None;
        }
        Some(self.set.next(|n| {
            n.tolerated = tolerated;
            let placed = |s: &StoreStatus| entry(s, n.version, fnv64(s.name.as_bytes()));
            n.stores = founders.iter().map(|s| placed(&s.status)).collect();
            n.stores.sort_by(|a, b| a.name.cmp(&b.name));
        }))
    }

    /// The next set, with what the reports prove recorded before `f` changes anything.
    fn step(&self, f: impl FnOnce(&mut StoreSet)) -> StoreSet {
        self.set.next(|n| {
            for s in self.seen {
                if let Some(span) = s.status.caught_up {
                    n.record_caught_up(s.status.id, span);
                }
            }
            f(n);
        })
    }

    fn observation(&self, id: u64) -> Option<&StoreObservation> {
        self.seen.iter().find(|s| s.status.id == id)
    }

    fn silent(&self, id: u64) -> Duration {
        self.observation(id).map_or(self.calm, |s| s.silent.min(self.calm))
    }

    /// Stores that reported lately.
    fn at_work(&self) -> impl Iterator<Item = &StoreObservation> {
        self.seen.iter().filter(|s| s.silent < self.bounds.replace_after)
    }

    fn is_at_work(&self, id: u64) -> bool {
        self.silent(id) < self.bounds.replace_after
    }

    /// Whether a whole group stays placed when one store goes.
    fn can_spare_one(&self) -> bool {
        self.set.placed() > self.set.group_size()
    }

    /// Takes in a store that the set doesn't have.
    fn taken_in(&self, newcomer: &StoreObservation) -> Option<StoreSet> {
        let (set, status) = (self.set, &newcomer.status);
        if set.find(status.id).is_some() {
            return None;
        }
        let needed = set.needs_back(status.id);
        let superseded = set.superseded.contains(&status.id);
        let retired = set.retirement(&status.name).is_some();
        if needed && (superseded || status.ending || retired || !self.may_be_placed(status)) {
            return Some(self.taken_back(status));
        }
        if superseded || status.ending || !self.may_be_placed(status) {
            return None;
        }
        if set.retirement(&status.name).is_some() {
            return self.without_the_lost_disk(status);
        }
        if let Some(drained) = self.drained_disk(status) {
            return Some(self.without_drained(drained, status.id));
        }
        if let Some(old) = self.predecessor(status) {
            let drains = old.addr != status.addr && self.is_at_work(old.id);
            return Some(self.succeeded(old, status, drains));
        }
        if !(needed || self.replaces_nobody(newcomer) && self.all_caught_up()) {
            return None;
        }
        let rank = set.free_rank(&status.name);
        Some(self.step(|n| n.stores.push(entry(status, n.version, rank))))
    }

    /// A store whose loss doesn't count is placed only where there is none whose loss does.
    fn may_be_placed(&self, status: &StoreStatus) -> bool {
        status.loss_counted || self.set.stores.iter().all(|e| !e.loss_counted)
    }

    /// A store that is not to be placed again has what the others can't prove: it transfers what it holds, as
    /// in a retirement, and goes again once they have it.
    fn taken_back(&self, status: &StoreStatus) -> StoreSet {
        let rank = self.set.free_rank(&status.name);
        self.step(|n| {
            let state = StoreState::Leaving;
            n.stores.push(StoreEntry { state, ..entry(status, n.version, rank) });
        })
    }

    /// Every store of the set is at work and reported after this one's first report had come: none is
    /// the one that it replaces. One that this leader hasn't heard of yet may be.
    fn replaces_nobody(&self, newcomer: &StoreObservation) -> bool {
        let later = |id: u64| {
            self.observation(id)
                .is_some_and(|s| s.silent + self.bounds.heard_margin <= newcomer.known_for)
        };
        self.set.stores.iter().all(|e| later(e.id) && self.is_at_work(e.id))
    }

    /// Whose place a newcomer takes: that of its own lost disk or of the machine whose name it bears, of
    /// one at its address, or of the one in its zone that is silent for longest. Where no store can be
    /// spared every group is all stores: a dead one then gives way to a newcomer of any zone.
    fn predecessor(&self, status: &StoreStatus) -> Option<&StoreEntry> {
        let stores = || self.set.stores.iter();
        let placed = || stores().filter(|e| e.state == StoreState::Placed);
        let silent = |e: &&StoreEntry| {
            e.zone == status.zone && self.silent(e.id) > self.bounds.replace_after
        };
        let dead =
            |e: &&StoreEntry| !self.can_spare_one() && self.silent(e.id) > self.bounds.remove_after;
        let named = placed().find(|e| e.name == status.name || e.addr == status.addr);
        named
            .or_else(|| stores().filter(silent).max_by_key(|e| self.silent(e.id)))
            .or_else(|| placed().filter(dead).max_by_key(|e| self.silent(e.id)))
    }

    /// A newcomer takes the place of `old`, which transfers what it holds where it `drains` beside it.
    fn succeeded(&self, old: &StoreEntry, status: &StoreStatus, drains: bool) -> StoreSet {
        // The rank of one that is leaving may belong to another already.
        let rank = match old.state {
            StoreState::Placed => old.rank,
            StoreState::Leaving => self.set.free_rank(&status.name),
        };
        self.step(|n| {
            let since = n.version;
            if old.name == status.name || old.addr == status.addr {
                n.superseded.insert(old.id);
            }
            match n.stores.iter_mut().find(|e| e.id == old.id) {
                Some(e) if drains => (e.state, e.since) = (StoreState::Leaving, since),
                _ => n.stores.retain(|e| e.id != old.id),
            }
            n.stores.push(entry(status, since, rank));
        })
    }

    /// The disk that this one follows on its machine, where the machine drains beside a successor of its
    /// name: the disk was lost, and the place isn't taken back.
    fn drained_disk(&self, status: &StoreStatus) -> Option<u64> {
        let stores = || self.set.stores.iter();
        let drains = |e: &&StoreEntry| e.state == StoreState::Leaving && e.addr == status.addr;
        let successor = |e: &StoreEntry| e.state == StoreState::Placed && e.name == status.name;
        stores().any(successor).then(|| stores().find(drains).map(|e| e.id)).flatten()
    }

    fn without_drained(&self, lost: u64, newcomer: u64) -> StoreSet {
        self.step(|n| {
            n.stores.retain(|e| e.id != lost);
            n.superseded.insert(newcomer);
        })
    }

    /// A machine that is being retired lost its disk: the order holds, and the machine isn't taken in.
    fn without_the_lost_disk(&self, status: &StoreStatus) -> Option<StoreSet> {
        let old = self.set.stores.iter().find(|e| e.name == status.name)?;
        if old.addr != status.addr && self.is_at_work(old.id) {
            return None;
        }
        let lost = old.id;
        Some(self.step(|n| n.stores.retain(|e| e.id != lost)))
    }

    /// Gives up a store that stays silent; one that is placed only where a group's worth of others is.
    fn without_a_dead_store(&self) -> Option<StoreSet> {
        let spare = self.can_spare_one();
        let may_go = |e: &&StoreEntry| spare || e.state == StoreState::Leaving;
        let dead = |e: &&StoreEntry| self.silent(e.id) > self.removal_timeout(e.id);
        let dead = self.set.stores.iter().filter(may_go).find(dead)?.id;
        Some(self.step(|n| n.stores.retain(|e| e.id != dead)))
    }

    /// How much silence of a store is waited out. Where more are silent than may be lost, what they hold
    /// isn't all with others: rather they are waited for, as after a loss of power. Those that stopped by
    /// plan, one after the other perhaps, don't count.
    fn removal_timeout(&self, id: u64) -> Duration {
        let ended = |id| self.observation(id).is_some_and(|s| s.status.ending);
        let placed = self.set.stores.iter().filter(|e| e.state == StoreState::Placed);
        let silent = placed.filter(|e| !self.is_at_work(e.id) && !ended(e.id)).count();
        match ended(id) {
            true => self.bounds.replace_after,
            false if silent <= self.set.tolerated as usize => self.bounds.remove_after,
            false => self.bounds.give_up_after,
        }
    }

    /// Lets the leaving stores go, and completes retirements, once all that they held is with the groups
    /// that keep their programs now.
    fn without_the_leaving(&self) -> Option<StoreSet> {
        let leaving = self.set.stores.iter().any(|e| e.state == StoreState::Leaving);
        let ordered = self.set.retirements.values().any(|r| *r == Retirement::Running);
        if !(leaving || ordered) || !self.all_caught_up() {
            return None;
        }
        Some(self.step(|n| {
            n.stores.retain(|e| e.state == StoreState::Placed);
            n.retirements.values_mut().for_each(|r| *r = Retirement::Completed);
        }))
    }

    /// A store that was told to stop, or whose loss doesn't count while others' does, leaves as in a
    /// retirement, where it can be spared: as a planned step, so that what it holds is with others before.
    fn with_one_leaving(&self) -> Option<StoreSet> {
        let all_at_work = self.set.stores.iter().all(|e| self.is_at_work(e.id));
        if !(may_retire(self.set) && all_at_work && self.all_caught_up()) {
            return None;
        }
        let placed = |id: u64| self.set.find(id).is_some_and(|e| e.state == StoreState::Placed);
        let leaves = |s: &StoreStatus| s.ending || !self.may_be_placed(s);
        let ending = self.at_work().find(|s| leaves(&s.status) && placed(s.status.id))?.status.id;
        Some(self.step(|n| {
            let since = n.version;
            for e in n.stores.iter_mut().filter(|e| e.id == ending) {
                (e.state, e.since) = (StoreState::Leaving, since);
            }
        }))
    }

    /// Every placed store is proved to have been caught up under the placement in force, also those that
    /// are silent now. One that may never have been holds up every planned step.
    fn all_caught_up(&self) -> bool {
        let Some(placement) = self.set.placement() else { return false };
        let proved = |id: u64| {
            let span = self.observation(id).and_then(|s| s.status.caught_up);
            span.is_some_and(|s| s.to >= placement.version)
        };
        placement.stores.iter().all(|s| s.caught_up || proved(s.id))
    }
}

/// Whether a store may be retired: a whole group must stay.
pub fn may_retire(set: &StoreSet) -> bool {
    set.placed() > set.group_size()
}
