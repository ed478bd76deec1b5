//! Which work a proxy takes: all of it while it serves, and while it drains what is expected to end before
//! the process does. Pure: times count from the process's start.
//!
//! Invariants: work that arrived after `DrainClock::estimates_until` is admitted only if its own time is over
//! before the drain ends, so that it is never cut; earlier work is cut only if it takes longer than the
//! longest of late by over a quarter, and then at the very end of the grace, which RULES (LOST) excuses.
use super::drain::{Cohort, DrainClock};
use super::work::{WorkHistory, WorkSize};
use crate::prelude::*;

/// Where a request stands when it is asked whether its work may begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkStage {
    /// Read whole; nothing is claimed or queued.
    Arrived,
    /// About to be passed to an engine.
    Placed,
}

/// Work that asks to begin.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Its size.
    pub size: WorkSize,
    /// How far it has come.
    pub stage: WorkStage,
    /// When it was read whole.
    pub arrived: Duration,
    /// When its own time is over: by then it has been answered or given up, whatever it takes.
    pub over: Duration,
}

/// Whether work may begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It ends before the process does.
    Admit,
    /// It can't be expected to; another proxy may take it.
    Refuse {
        /// When its client may come again.
        retry_after: Duration,
    },
}

/// By so much work may take longer than the longest of late: others that leave at the same time send
/// theirs to the engines that this proxy uses.
fn with_margin(longest: Duration) -> Duration {
    longest + longest / 4
}

/// The admission rule, and what it is based on. Invariant: a drain that has begun is never taken back.
#[derive(Debug, Default)]
pub struct Admission {
    /// What work took here.
    pub history: WorkHistory,
    drain: Option<Drain>,
}

#[derive(Debug, Clone, Copy)]
struct Drain {
    clock: DrainClock,
    cohort: Cohort,
}

impl Admission {
    /// From now on only what ends by the clock's `work_ends` is admitted, and nothing from its
    /// `admits_until` on.
    pub fn begin_drain(&mut self, clock: DrainClock, cohort: Cohort) {
        self.drain.get_or_insert(Drain { clock, cohort });
    }

    /// Whether nothing that comes now or later is admitted.
    pub fn takes_no_more(&self, now: Duration) -> bool {
        self.drain.is_some_and(|d| now >= d.clock.admits_until(d.cohort))
    }

    /// Whether work may begin now.
    pub fn decide(&self, work: &Work, now: Duration) -> Verdict {
        let Some(drain) = self.drain else {
            return Verdict::Admit;
        };
        let may_estimate = work.arrived < drain.clock.estimates_until();
        let ends = match self.expected(work).filter(|_| may_estimate) {
            Some(takes) => work.over.min(now + takes),
            None => work.over,
        };
        let closed = work.stage == WorkStage::Arrived && self.takes_no_more(now);
        match !closed && ends <= drain.clock.work_ends() {
            true => Verdict::Admit,
            false => Verdict::Refuse { retry_after: drain.clock.retry_after(drain.cohort, now) },
        }
    }

    /// How long it takes from this stage on; none while too little was observed.
    fn expected(&self, work: &Work) -> Option<Duration> {
        let run = self.history.longest_run(work.size)?;
        let wait = match work.stage {
            WorkStage::Arrived => self.history.longest_wait(work.size)?,
            WorkStage::Placed => Duration::ZERO,
        };
        Some(with_margin(wait + run))
    }
}
