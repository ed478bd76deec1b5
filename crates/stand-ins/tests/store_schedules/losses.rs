//! Which machines count as lost. A machine is lost while it is down, frozen or cut off, and for `catchUpS`
//! after its return; one that is gone for good until its successor has run for that long.
use crate::prelude::*;

/// Invariant: no more than `tolerated` machines count at any time.
pub struct LossLedger {
    pub tolerated: usize,
    pub catch_up: Duration,
    /// Until when each machine counts, by its number; none as long as it is away.
    until: BTreeMap<usize, Option<Time>>,
    /// Until then all count, since all lost power at once; their disks stay.
    outage: Time,
}

impl LossLedger {
    pub fn new(tolerated: u32, catch_up: Duration) -> Self {
        LossLedger {
            tolerated: tolerated as usize,
            catch_up,
            until: BTreeMap::new(),
            outage: Time::ZERO,
        }
    }

    pub fn counts(&self, machine: usize, now: Time) -> bool {
        self.until.get(&machine).is_some_and(|u| u.is_none_or(|u| u > now))
    }

    pub fn counting(&self, now: Time) -> usize {
        self.until.keys().filter(|m| self.counts(**m, now)).count()
    }

    /// How many more machines may be lost just now.
    pub fn spare(&self, now: Time) -> usize {
        if now < self.outage {
            0
        } else {
            self.tolerated - self.counting(now)
        }
    }

    /// All machines lose power, and are back at once.
    pub fn all_lose_power(&mut self, now: Time) -> Time {
        self.outage = now + self.catch_up;
        for until in self.until.values_mut().flatten().filter(|u| **u > now) {
            *until = self.outage;
        }
        self.outage
    }

    /// Whether nothing counts, not even for an outage.
    pub fn is_calm(&self, now: Time) -> bool {
        now >= self.outage && self.counting(now) == 0
    }

    /// Whether this machine may be lost now; what counts already may be lost once more.
    pub fn allows(&self, machine: usize, now: Time) -> bool {
        self.counts(machine, now) || self.spare(now) > 0
    }

    pub fn begins(&mut self, machine: usize, now: Time) {
        assert!(self.allows(machine, now), "more is lost than is tolerated");
        self.until.insert(machine, None);
    }

    /// It is back; gives the time until which it counts.
    pub fn returns(&mut self, machine: usize, now: Time) -> Time {
        let until = now + self.catch_up;
        self.until.insert(machine, Some(until));
        until
    }

    /// A successor has started: it counts in the place of the machine that is gone.
    pub fn succeeded(&mut self, gone: usize, successor: usize, start: Time) -> Time {
        self.until.remove(&gone);
        self.returns(successor, start)
    }

    /// A machine is taken away by plan: what it counts for ends as if it had returned.
    pub fn removed(&mut self, machine: usize, now: Time) {
        if let Some(until) = self.until.get_mut(&machine) {
            until.get_or_insert(now + self.catch_up);
        }
    }

    /// When the next machine that is back stops counting.
    pub fn next_end(&self, now: Time) -> Option<Time> {
        let ends = self.until.values().flatten().chain([&self.outage]);
        ends.copied().filter(|u| *u > now).min()
    }
}
