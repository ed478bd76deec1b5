//! What befalls the stores, never more at once than is tolerated.
use crate::leader::ELECTION;
use crate::prelude::*;

/// From the loss of a disk, or the end of a process, to the next start.
const RESTART: (Duration, Duration) = (ms(100), ms(600));
/// One in so many pieces of work on a disk is cut by a loss of power, and one in so many starts, at any of
/// so many steps.
const CUT_ONE_IN: u64 = 250;
const LOST_AGAIN_ONE_IN: u64 = 4;
const STEPS_OF_A_WRITE: usize = 8;
const STEPS_OF_A_START: usize = 16;
/// Until a store follows a cell: after its start, and after a cut.
const FIRST_LINK: Duration = ms(300);
const LINK_AGAIN: Duration = ms(1300);

impl World {
    /// A machine is lost in one way for a time, and may come back without its disk.
    pub fn is_lost(&mut self, store: usize, reach: Reach, wait: Duration, wiped: bool) -> bool {
        let now = self.clock.now;
        if self.stores[store].gone || !self.losses.allows(store, now) {
            return false;
        }
        self.losses.begins(store, now);
        self.goes_away(store, reach, wait, wiped);
        true
    }

    /// The same, whether it may be lost or not.
    fn goes_away(&mut self, store: usize, reach: Reach, wait: Duration, wiped: bool) {
        let (name, id) = (&self.stores[store].name, self.stores[store].id);
        self.note(format!("{name} ({id}) is lost: {reach:?} for {wait:?}, wiped {wiped}"));
        if wiped {
            // Nothing on the disk counts any more.
            self.next_id += 1;
            let id = self.next_id;
            self.stores[store].loses_its_disk(id);
        }
        let s = &mut self.stores[store];
        // A process whose disk is lost has ended, however else its machine is away.
        s.reach = if wiped || s.reach == Reach::Down { Reach::Down } else { reach };
        s.linked = false;
        s.trouble += 1;
        if s.reach == Reach::Down {
            s.life += 1;
        }
        let trouble = s.trouble;
        self.clock.after(wait, Event::Returns { store, trouble });
        self.check_margin();
    }

    /// Several machines are away at once, more perhaps than is tolerated, each for its time, and no more
    /// disks are lost meanwhile than that allows; at times all have lost power, the cells as well. Service
    /// may rest until all are back.
    pub fn absences_overlap(&mut self, away: &[(usize, Reach, Duration)], leader_too: bool) {
        let longest = away.iter().map(|(_, _, wait)| *wait).max().unwrap_or_default();
        let now = self.clock.now;
        let until = self.losses.overlaps(now, now + longest);
        self.note(format!("absences overlap until {:.3}", until.as_secs_f64()));
        self.clock.at(until, Event::LossOver);
        for (store, reach, wait) in away {
            if !self.stores[*store].gone {
                self.goes_away(*store, *reach, *wait, false);
            }
        }
        if leader_too {
            self.changes_leader(ELECTION, LINK_AGAIN);
        }
    }

    /// A disk is lost while absences overlap.
    pub fn loses_disk_meanwhile(&mut self, store: usize) {
        if self.stores[store].gone || !self.losses.is_overlapping(self.clock.now) {
            return;
        }
        if self.losses.takes_disk(store) {
            let wait = self.delay(RESTART.0, RESTART.1);
            self.goes_away(store, Reach::Down, wait, true);
        }
    }

    pub fn loses_disk(&mut self, store: usize) -> bool {
        let wait = self.delay(RESTART.0, RESTART.1);
        self.is_lost(store, Reach::Down, wait, true)
    }

    /// Power is back; it may be lost once more at any step of the start.
    fn starts(&mut self, store: usize) {
        let again = self.chance(LOST_AGAIN_ONE_IN).then(|| self.any(STEPS_OF_A_START) as u64);
        let records = self.stores[store].starts(self.clock.now, again);
        self.copies.read_back(self.stores[store].id, &records);
    }

    /// Work on a store's disk, and what comes of it; none where it lost power in the middle, which may be at
    /// any step if the loss can be borne.
    pub fn on_disk<T>(
        &mut self,
        store: usize,
        work: impl FnOnce(&mut StoreOwner, Duration) -> NodeResult<T>,
    ) -> Option<T> {
        let now = self.clock.now;
        let may_be_cut = self.losses.allows(store, now) && !self.losses.is_overlapping(now);
        let cut = self.power_fails && self.chance(CUT_ONE_IN) && may_be_cut;
        let steps_left = cut.then(|| self.any(STEPS_OF_A_WRITE) as u64);
        let s = &mut self.stores[store];
        s.disk.set_trouble(Trouble { steps_left, ..Trouble::default() });
        let process_time = s.process_time(now);
        match work(&mut s.owner, process_time) {
            Ok(done) => {
                s.disk.set_trouble(Trouble::default());
                Some(done)
            }
            Err(e) => {
                assert!(s.disk.is_dark(), "{e}");
                let wait = self.delay(RESTART.0, RESTART.1);
                self.is_lost(store, Reach::Down, wait, false);
                None
            }
        }
    }

    /// Work on a store's tables, synced before anything is made of it.
    pub fn commits<T>(
        &mut self,
        store: usize,
        work: impl FnOnce(&mut StoreOwner, Duration, &mut Vec<LogRecord>) -> T,
    ) -> Option<T> {
        let mut records = Vec::new();
        let done = self.on_disk(store, |owner, now| {
            let done = work(owner, now, &mut records);
            owner.commit(&records, now).map(|()| done)
        })?;
        let id = self.stores[store].id;
        records.iter().for_each(|record| self.copies.synced(id, record));
        Some(done)
    }

    pub fn returns(&mut self, store: usize, trouble: u64) {
        let now = self.clock.now;
        if self.stores[store].trouble != trouble || self.stores[store].gone {
            return;
        }
        let until = self.losses.returns(store, now);
        self.clock.at(until, Event::LossOver);
        self.note(format!("{} returns", self.stores[store].name));
        let s = &mut self.stores[store];
        if s.reach == Reach::Down {
            self.starts(store);
            return self.links_up(store, ms(20), FIRST_LINK);
        }
        s.reach = Reach::All;
        self.asks_anew(store);
        self.links_up(store, ms(20), LINK_AGAIN);
    }

    /// A machine never comes back; its successor starts in its zone after a while.
    pub fn is_gone(&mut self, store: usize, wait: Duration, same_name: bool) -> bool {
        let now = self.clock.now;
        if self.stores[store].gone || !self.losses.allows(store, now) {
            return false;
        }
        self.losses.begins(store, now);
        self.note(format!("{} is gone for good", self.stores[store].name));
        self.ends_for_good(store);
        self.awaited += 1;
        self.clock.after(wait, Event::Successor { of: store, same_name });
        self.check_margin();
        true
    }

    pub fn ends_for_good(&mut self, store: usize) {
        let s = &mut self.stores[store];
        (s.gone, s.reach, s.linked) = (true, Reach::Down, false);
        (s.life, s.trouble) = (s.life + 1, s.trouble + 1);
    }

    pub fn succeeds(&mut self, of: usize, same_name: bool) {
        self.awaited -= 1;
        let zone = self.stores[of].zone.clone();
        let name = same_name.then(|| self.stores[of].name.clone());
        let successor = self.machine_starts(zone, name);
        let until = self.losses.succeeded(of, successor, self.clock.now);
        self.clock.at(until, Event::LossOver);
    }

    /// A new machine starts.
    pub fn machine_starts(&mut self, zone: String, name: Option<String>) -> usize {
        self.next_id += 1;
        let id = self.next_id;
        let name = name.unwrap_or_else(|| format!("s{id}"));
        self.note(format!("{name} starts in {zone} as {id}"));
        self.stores.push(Store::new(name, zone, StoreIdentity::new(id, false)));
        let store = self.stores.len() - 1;
        self.starts(store);
        self.links_up(store, ms(20), FIRST_LINK);
        store
    }

    /// All lose power at once, the cells as well, and are back with their disks.
    pub fn power_loss(&mut self) {
        self.note("all lose power".into());
        let until = self.losses.all_lose_power(self.clock.now);
        self.clock.at(until, Event::LossOver);
        for store in 0..self.stores.len() {
            if self.stores[store].reach != Reach::Down {
                let (now, reach) = (self.clock.now, self.stores[store].reach);
                if self.stores[store].ending && self.stores[store].rolled {
                    // The roll is over with that.
                    self.losses.returns(store, now);
                }
                self.starts(store);
                self.stores[store].reach = reach;
                self.links_up(store, ms(300), LINK_AGAIN);
            }
        }
        self.changes_leader(ELECTION, LINK_AGAIN);
    }
}
