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
    /// Until then absences overlap beyond what is tolerated.
    overlap: Time,
    /// How many disks may be lost yet while they do.
    disks_to_lose: usize,
}

impl LossLedger {
    pub fn new(tolerated: u32, catch_up: Duration) -> Self {
        LossLedger {
            tolerated: tolerated as usize,
            catch_up,
            until: BTreeMap::new(),
            outage: Time::ZERO,
            overlap: Time::ZERO,
            disks_to_lose: 0,
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

    /// Machines are away beyond what is tolerated, the last of them until `end`; no more disks are lost than
    /// that allows, and each loss counts until the others are back. Gives the time from which nothing counts.
    pub fn overlaps(&mut self, now: Time, end: Time) -> Time {
        self.disks_to_lose = self.spare(now);
        self.overlap = self.overlap.max(end + self.catch_up);
        self.outage = self.outage.max(self.overlap);
        for until in self.until.values_mut().flatten().filter(|u| **u > now) {
            *until = self.outage;
        }
        self.outage
    }

    /// Whether absences overlap beyond what is tolerated: service may rest, and only disks count.
    pub fn is_overlapping(&self, now: Time) -> bool {
        now < self.overlap
    }

    /// Whether a machine's disk may be lost while absences overlap; it counts from now on.
    pub fn takes_disk(&mut self, machine: usize) -> bool {
        let allowed = self.disks_to_lose > 0;
        if allowed {
            self.disks_to_lose -= 1;
            self.until.insert(machine, None);
        }
        allowed
    }

    /// All machines lose power, and are back at once.
    pub fn all_lose_power(&mut self, now: Time) -> Time {
        self.outage = self.outage.max(now + self.catch_up);
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

    /// It is back; gives the time until which it counts. What was away beyond what is tolerated never did.
    pub fn returns(&mut self, machine: usize, now: Time) -> Time {
        let until = (now + self.catch_up).max(self.overlap);
        if !self.is_overlapping(now) || self.counts(machine, now) {
            self.until.insert(machine, Some(until));
        }
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
