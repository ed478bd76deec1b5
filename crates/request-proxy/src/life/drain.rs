//! The times of a drain, all derived from `gracePeriodS`. Pure: times count from the process's start.
use crate::prelude::*;

/// The entry asks for readiness each second and takes a machine out after two misses; the rest is the
/// time that its question and a connection opened just before take.
const ENTRY_NOTICES: Duration = Duration::from_millis(2600);
/// The entry is waited for during at most this part of the grace.
const NOTICE_PART: u32 = 3;
/// This part of the grace is kept for the end of the process itself: connections are closed, and what was
/// settled last goes out. SIGKILL comes when the grace is over.
const RESERVE_PART: u32 = 16;

/// RULES (LOST) excuse a cut at the end of the grace, while the engine is still at work, for requests that
/// were sent no later than this after the SIGTERM.
const EXCUSED_ARRIVALS: Duration = Duration::from_secs(3);
/// What the signal and a request take on their way, both at a machine that is busy.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(250);

/// The connection that a client opens next goes to another machine.
const TRY_ANOTHER: Duration = Duration::from_millis(100);

/// Where all machines leave at once, each goes on getting work until its end. So that they don't all refuse
/// and start anew at the same moment, they leave in two cohorts: the first once the entry has noticed, so
/// that it is back before the second has to stop, which goes on as long as the grace allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cohort {
    /// Stops early.
    First,
    /// Stops as late as it can.
    Second,
}

impl Cohort {
    /// The cohort of a machine: as good as drawn by lot. The lowest bit of the hash changes with the lowest
    /// bit of any character, so that machines numbered in a row take turns.
    pub fn of(node_name: &str) -> Self {
        match fnv64(node_name.as_bytes()) % 2 {
            0 => Cohort::First,
            _ => Cohort::Second,
        }
    }
}

/// When a drain began, and how long the platform waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainClock {
    began: Duration,
    grace: Duration,
}

impl DrainClock {
    /// SIGTERM came at `began`; SIGKILL comes `grace` later.
    pub fn new(began: Duration, grace: Duration) -> Self {
        DrainClock { began, grace }
    }

    /// From here on the entry sends no new connections, if it has other machines to send them to.
    pub fn entry_notices(&self) -> Duration {
        self.began + ENTRY_NOTICES.min(self.grace / NOTICE_PART)
    }

    /// From here on nothing more is admitted, and the process ends with what is under way.
    pub fn admits_until(&self, cohort: Cohort) -> Duration {
        match cohort {
            Cohort::First => self.entry_notices() + self.reserve(),
            Cohort::Second => self.work_ends(),
        }
    }

    /// For work that arrives before this an estimate of its time counts; later work is bounded by its own
    /// deadline alone.
    pub fn estimates_until(&self) -> Duration {
        self.began + (EXCUSED_ARRIVALS - ARRIVAL_MARGIN)
    }

    /// When a client that is refused now may come again: where machines leave one at a time its next
    /// connection goes to another one, and where all leave at once, as likely to one of the other cohort
    /// as to this one. The second is refusing when the first comes back, which takes a while.
    pub fn retry_after(&self, cohort: Cohort, now: Duration) -> Duration {
        match cohort == Cohort::Second && now >= self.entry_notices() {
            true => self.reserve(),
            false => TRY_ANOTHER,
        }
    }

    /// By then all admitted work has been answered.
    pub fn work_ends(&self) -> Duration {
        self.began + self.grace - self.reserve()
    }

    /// By then the process has ended, connections or not: half of the reserve is left.
    pub fn process_ends(&self) -> Duration {
        self.work_ends() + self.reserve() / 2
    }

    fn reserve(&self) -> Duration {
        self.grace / RESERVE_PART
    }
}
