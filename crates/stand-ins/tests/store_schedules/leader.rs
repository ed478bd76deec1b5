//! The leading cell: status reports, its regular look at the stores, and what is agreed on.
use crate::prelude::*;

/// How often the leader looks (`control-cell`, `actor/run.rs`).
const LOOK_EVERY: Duration = ms(200);
/// How often a store repeats its report (`feed-follow`, `FollowSettings::repeat`).
pub const REPORT_EVERY: Duration = ms(400);
/// What one message, or one agreement, takes at the most.
const MESSAGE: Duration = ms(40);
const AGREEMENT: Duration = ms(80);
/// One in so many reports is late by up to this.
const LATE_ONE_IN: u64 = 12;
const LATE: Duration = ms(400);
/// Until a store follows another cell, when the one that it followed says nothing any more, and when that
/// has closed the link.
const LINK_AGAIN: Duration = ms(1300);
const LINK_ENDED: Duration = ms(300);
/// Without a leader: after one is lost, and after one has handed over.
pub const ELECTION: (Duration, Duration) = (ms(200), ms(1500));
const HAND_OVER: (Duration, Duration) = (ms(5), ms(200));

/// The leader's machine, in the ledger of losses.
const CELL: usize = usize::MAX;

struct Report {
    status: StoreStatus,
    first: Time,
    last: Time,
}

/// Invariant: reports are of this term alone.
#[derive(Default)]
pub struct Leader {
    term: u64,
    /// Since when it leads; none between two leaders.
    since: Option<Time>,
    reports: BTreeMap<u64, Report>,
    /// It waits until what it proposed is agreed on.
    proposed: bool,
}

impl Leader {
    pub fn takes(&mut self, status: StoreStatus, term: u64, now: Time) {
        if self.since.is_none() || term != self.term {
            return;
        }
        let first = self.reports.get(&status.id).map_or(now, |r| r.first);
        self.reports.insert(status.id, Report { status, first, last: now });
    }

    fn observations(&self, now: Time) -> Vec<StoreObservation> {
        let of = |r: &Report| StoreObservation {
            status: r.status.clone(),
            silent: now - r.last,
            known_for: now - r.first,
        };
        self.reports.values().map(of).collect()
    }
}

impl World {
    /// A store will follow a cell after a while.
    pub fn links_up(&mut self, store: usize, least: Duration, most: Duration) {
        let wait = self.delay(least, most);
        self.stores[store].linked = false;
        let life = self.stores[store].life;
        self.clock.after(wait, Event::Linked { store, life });
    }

    pub fn linked(&mut self, store: usize) {
        let s = &mut self.stores[store];
        if s.reach != Reach::All || s.linked {
            return;
        }
        s.linked = true;
        let set = self.set.clone();
        self.sends_set(store, set);
        self.repeats(store);
    }

    /// A store reports, and will again.
    pub fn repeats(&mut self, store: usize) {
        if !self.stores[store].follows() {
            return;
        }
        self.reports(store);
        let life = self.stores[store].life;
        self.clock.after(REPORT_EVERY, Event::Repeat { store, life });
    }

    pub fn reports(&mut self, store: usize) {
        if !self.stores[store].follows() {
            return;
        }
        let late = if self.chance(LATE_ONE_IN) { LATE } else { MESSAGE };
        let wait = self.delay(ms(1), late);
        let (term, s) = (self.leader.term, &mut self.stores[store]);
        // Reports of one store come in their order.
        s.reported = s.reported.max(self.clock.now + wait);
        self.clock.at(s.reported, Event::Reported { status: s.status(), term });
    }

    fn sends_set(&mut self, store: usize, set: Rc<StoreSet>) {
        if set.version > 0 {
            let (wait, life) = (self.delay(ms(2), 3 * MESSAGE), self.stores[store].life);
            self.clock.after(wait, Event::Learns { store, life, set });
        }
    }

    /// A store takes a set, from its cell or another process.
    pub fn learns(&mut self, store: usize, set: &StoreSet) {
        if !self.stores[store].answers() {
            return;
        }
        let update = self.on_disk(store, |owner, _| owner.learn(set.clone()));
        if update.is_none_or(|update| update == SetUpdate::Outdated) {
            return;
        }
        self.reports(store);
        self.asks_anew(store);
        self.stops_if_released(store);
    }

    pub fn looks(&mut self, term: u64) {
        let (Some(since), true) = (self.leader.since, self.leader.term == term) else { return };
        self.clock.after(LOOK_EVERY, Event::Look { term });
        if self.leader.proposed {
            return;
        }
        let now = self.clock.now;
        let bounds = RecoveryBounds::from_catch_up(self.losses.catch_up);
        let seen = self.leader.observations(now);
        let tolerated = self.losses.tolerated as u32;
        if let Some(next) = next_stores(&self.set, &seen, now - since, tolerated, &bounds) {
            self.leader.proposed = true;
            self.proposes(next, None);
        }
    }

    /// A set that is agreed on soon, unless another one is before.
    pub fn proposes(&mut self, set: StoreSet, order: Option<String>) {
        let (wait, set) = (self.delay(ms(2), AGREEMENT), Rc::new(set));
        let term = self.leader.term;
        self.clock.after(wait, Event::Agreed { set, order, term });
    }

    pub fn agreed(&mut self, set: Rc<StoreSet>, order: Option<String>, term: u64) {
        let of_this_leader = term == self.leader.term;
        if of_this_leader && order.is_none() {
            self.leader.proposed = false;
        }
        // Nobody may ever learn what a leader proposed that has ended.
        let known = of_this_leader || self.chance(2);
        if set.version != self.set.version + 1 || !known {
            return;
        }
        self.orders.extend(order.clone());
        let before = std::mem::replace(&mut self.set, set.clone());
        let entries: Vec<(u64, StoreState)> = set.stores.iter().map(|e| (e.id, e.state)).collect();
        self.note(format!("agreed on set {}: {entries:?} {order:?}", set.version));
        self.check_orders(&before);
        for store in 0..self.stores.len() {
            if self.stores[store].follows() {
                self.sends_set(store, set.clone());
            }
        }
        for proxy in 0..self.proxies.len() {
            let wait = self.delay(ms(2), 3 * MESSAGE);
            self.clock.after(wait, Event::ProxyLearns { proxy, set: set.clone() });
        }
        self.check_margin();
    }

    /// An acknowledged order is never forgotten; a machine whose retirement is completed is taken away.
    fn check_orders(&mut self, before: &StoreSet) {
        let completed = |set: &StoreSet, n: &str| set.retirement(n) == Some(Retirement::Completed);
        for name in &self.orders {
            assert!(self.set.retirement(name).is_some(), "the order to retire {name} is forgotten");
            assert!(!completed(before, name) || completed(&self.set, name));
        }
        let mut just_now = false;
        for store in 0..self.stores.len() {
            let s = &self.stores[store];
            if !s.gone && completed(&self.set, &s.name) {
                just_now |= !completed(before, &s.name);
                self.losses.removed(store, self.clock.now);
                self.ends_for_good(store);
            }
        }
        if just_now {
            self.check_groups();
        }
    }

    /// The leader's machine is lost, and is back as a follower within a second.
    pub fn loses_leader(&mut self) {
        let now = self.clock.now;
        if self.losses.allows(CELL, now) {
            self.losses.begins(CELL, now);
            let wait = self.delay(ms(100), ms(1000));
            let until = self.losses.returns(CELL, now + wait);
            self.clock.at(until, Event::LossOver);
            self.changes_leader(ELECTION, LINK_AGAIN);
        }
    }

    /// The leader hands over in order.
    pub fn hands_over(&mut self) {
        self.changes_leader(HAND_OVER, LINK_ENDED);
    }

    /// The next leader begins with no reports. What was proposed is agreed on or not. Some stores followed
    /// a cell that ended.
    pub fn changes_leader(&mut self, between: (Duration, Duration), link: Duration) {
        self.note("the leader changes".into());
        self.leader = Leader { term: self.leader.term + 1, ..Leader::default() };
        let (wait, term) = (self.delay(between.0, between.1), self.leader.term);
        self.clock.after(wait, Event::Elected { term });
        for store in 0..self.stores.len() {
            if self.chance(3) {
                self.links_up(store, ms(50), link);
            }
        }
    }

    pub fn elected(&mut self, term: u64) {
        if term >= self.leader.term {
            let since = Some(self.clock.now);
            self.leader = Leader { term, since, ..Leader::default() };
            let wait = self.delay(Duration::ZERO, LOOK_EVERY);
            self.clock.after(wait, Event::Look { term });
        }
    }
}
