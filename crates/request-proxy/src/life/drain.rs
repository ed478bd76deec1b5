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

/// The connection that a client opens next goes to another machine.
const TRY_ANOTHER: Duration = Duration::from_millis(100);
/// Machines that leave at the same time end one after the other: after this part of the grace things
/// have changed.
const RETRY_PART: u32 = 16;

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

    /// From here on nothing more is admitted, and the process ends with what is under way. Where all
    /// machines leave at once, each goes on getting work until its end; so that they don't all refuse and
    /// start anew at the same moment, each has a moment of its own: `share` (0 to 1) of the way between the
    /// earliest and the last at which work of the longest expected kind still fits.
    pub fn admits_until(&self, share: f64, longest: Duration) -> Duration {
        let earliest = self.entry_notices() + (self.work_ends() - self.entry_notices()) / 8;
        let last = self.work_ends().saturating_sub(longest).max(earliest);
        earliest + (last - earliest).mul_f64(share.clamp(0.0, 1.0))
    }

    /// When a client that is refused now may come again. At first its next connection goes to another
    /// machine; when the entry still sends here after it has noticed, the others are leaving too, and it
    /// takes a while until one of them is back.
    pub fn retry_after(&self, now: Duration) -> Duration {
        match now < self.entry_notices() {
            true => TRY_ANOTHER,
            false => self.grace / RETRY_PART,
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
