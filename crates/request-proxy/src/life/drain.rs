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
