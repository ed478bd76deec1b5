//! Second sends are at most a share of first ones, so that a sick pool isn't hit harder.
use crate::prelude::*;

/// A token bucket. Invariant: `0 <= tokens <= MOST`; every second send takes a whole token.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
    since: Duration,
}

impl RetryBudget {
    /// Second sends for each first one.
    pub const SHARE: f64 = 0.2;
    /// Earned each second whatever the traffic, so that a quiet service may repeat too.
    pub const FLOOR_PER_S: f64 = 1.0;
    pub const MOST: f64 = 10.0;

    pub fn first_send(&mut self, now: Duration) {
        self.pass(now);
        self.tokens = (self.tokens + Self::SHARE).min(Self::MOST);
    }

    pub fn take(&mut self, now: Duration) -> bool {
        self.pass(now);
        let has = self.tokens >= 1.0;
        if has {
            self.tokens -= 1.0;
        }
        has
    }

    fn pass(&mut self, now: Duration) {
        let age = now.saturating_sub(self.since).as_secs_f64();
        self.since = self.since.max(now);
        self.tokens = (self.tokens + age * Self::FLOOR_PER_S).min(Self::MOST);
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: Self::MOST, since: Duration::ZERO }
    }
}
