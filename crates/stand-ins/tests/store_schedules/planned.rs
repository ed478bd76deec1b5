//! What the operator plans: machines are added, retired, rolled and replaced, at any time.
use crate::prelude::*;

/// `gracePeriodS`, less what a store keeps of it for its end.
const GRACE: Duration = ms(7400);
/// A store that may stop does after this.
const LAST_CALLS: Duration = ms(100);
/// An operator who can't go on without losing too much looks again after this.
const WAITS: Duration = ms(200);

impl World {
    pub fn adds(&mut self) {
        let zone = self.any(self.zones as usize);
        self.machine_starts(format!("z{zone}"), None);
    }

    /// Machines that stay when all that is planned is done, and those whose successor is on its way.
    fn staying(&self) -> usize {
        let leaves = |s: &Store| s.replaced || self.set.retirement(&s.name).is_some();
        let there = self.stores.iter().filter(|s| !s.gone && !leaves(s)).count();
        there + self.awaited
    }

    /// An order to retire a store, as a cell takes it. An operator leaves as many machines as a group has.
    pub fn retires(&mut self, store: usize) {
        let s = &self.stores[store];
        let placed = self.set.placement().is_some_and(|p| p.has(s.id));
        let spared = self.staying() > self.set.group_size() && may_retire(&self.set);
        if placed && spared && self.set.retirement(&s.name).is_none() {
            let name = s.name.clone();
            self.note(format!("{name} is to be retired"));
            let next = self.set.begin_retirement(&name);
            self.proposes(next, Some(name));
        }
    }

    /// Another machine is up, in its zone and at times of its name, and it is asked to stop.
    pub fn replaces(&mut self, store: usize, same_name: bool, wait: Duration) {
        let s = &self.stores[store];
        if s.gone || s.ending || s.replaced || s.reach != Reach::All {
            return;
        }
        let (zone, life) = (s.zone.clone(), s.life);
        let name = same_name.then(|| s.name.clone());
        self.note(format!("{} is to be replaced", self.stores[store].name));
        self.machine_starts(zone, name);
        self.stores[store].replaced = true;
        self.clock.after(wait, Event::Terminated { store, life, rolled: false });
    }

    /// A store is asked to stop, and starts again with its disk.
    pub fn rolls(&mut self, store: usize) {
        let (now, s) = (self.clock.now, &self.stores[store]);
        let at_work = !s.gone && !s.ending && s.reach == Reach::All;
        if at_work && self.losses.allows(store, now) {
            // It counts from here on: nothing else may come before it stops.
            self.losses.begins(store, now);
            self.terminated(store, true);
        }
    }

    pub fn terminated(&mut self, store: usize, rolled: bool) {
        let s = &mut self.stores[store];
        if s.gone || s.ending {
            return;
        }
        (s.ending, s.rolled) = (true, rolled);
        let life = s.life;
        self.note(format!("{} is asked to stop, rolled {rolled}", self.stores[store].name));
        self.clock.after(GRACE, Event::Stops { store, life, rolled });
        self.reports(store);
        self.stops_if_released(store);
    }

    pub fn stops_if_released(&mut self, store: usize) {
        let s = &self.stores[store];
        if s.ending && s.is_released() {
            let (life, rolled) = (s.life, s.rolled);
            self.clock.after(LAST_CALLS, Event::Stops { store, life, rolled });
        }
    }

    /// One that was asked to stop does. One on which the set still depends is a loss, as if its successor
    /// started just then: the operator waits until it can be borne.
    pub fn stops(&mut self, store: usize, rolled: bool) {
        let (now, s) = (self.clock.now, &self.stores[store]);
        if s.gone || !s.ending {
            return;
        }
        if rolled {
            let wait = self.delay(ms(100), ms(800));
            self.is_lost(store, Reach::Down, wait, false);
            return;
        }
        let entry = self.set.find(s.id).map(|e| e.state);
        let life = s.life;
        // Beyond what is tolerated the set may be without it before others have what it holds.
        let overlapping = self.losses.is_overlapping(now);
        let is_loss = entry.is_some() || overlapping && self.set.may_depend_on(s.id);
        if is_loss && !self.losses.allows(store, now) {
            return self.clock.after(WAITS, Event::Stops { store, life, rolled });
        }
        let name = s.name.clone();
        self.note(format!("{name} stops for good, in the set as {entry:?}"));
        if is_loss {
            self.losses.begins(store, now);
        }
        self.ends_for_good(store);
        self.losses.removed(store, now);
        if let Some(until) = self.losses.next_end(now) {
            self.clock.at(until, Event::LossOver);
        }
        self.check_margin();
    }
}
