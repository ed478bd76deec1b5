//! A count that halves as time passes.
use crate::prelude::*;

/// Invariant: `value` stands as of `since`, which never goes back.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingCount {
    value: f64,
    since: Duration,
    half: f64,
}

impl DecayingCount {
    /// `half`: after this time, what was counted weighs half.
    pub fn new(half: Duration) -> Self {
        DecayingCount { value: 0.0, since: Duration::ZERO, half: half.as_secs_f64() }
    }

    pub fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.since).as_secs_f64();
        self.value * (-age / self.half.max(1e-3)).exp2()
    }

    /// A bound that needs no computing: it was never more since it was last added to.
    pub fn at_most(&self) -> f64 {
        self.value
    }

    pub fn add(&mut self, x: f64, now: Duration) {
        self.value = self.at(now) + x;
        self.since = self.since.max(now);
    }
}
