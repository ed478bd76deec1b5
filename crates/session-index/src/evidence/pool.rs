//! What a service's engines show together: the measure for each of them.
use super::row::{EngineEvidence, HALF};
use crate::prelude::*;

/// Invariants: `restricted <= most_restricted()`; totals are decayed as the rows are.
pub struct PoolEvidence {
    pub engines: usize,
    pub restricted: usize,
    pub tries: DecayingCount,
    pub failed: DecayingCount,
    pub slow: DecayingCount,
    pub slow_seen: DecayingCount,
    pub idle: IdleLife,
    pub budget: RetryBudget,
    pace: Pace,
    /// Logarithms of the ms between events, and of each route's work; the ms of any work.
    gap: Mean,
    routes: HashMap<u64, Mean>,
    work_ms: Mean,
}

impl Default for PoolEvidence {
    fn default() -> Self {
        let none = DecayingCount::new(HALF);
        PoolEvidence {
            engines: 0,
            restricted: 0,
            tries: none,
            failed: none,
            slow: none,
            slow_seen: none,
            idle: IdleLife::default(),
            budget: RetryBudget::default(),
            pace: Pace::default(),
            gap: Mean::default(),
            routes: HashMap::new(),
            // As if five calls had taken so long: the first one to come isn't the measure of all.
            work_ms: Mean { mean: 100.0, seen: 5 },
        }
    }
}

const LEAN: f64 = 0.03;
const MOST_ROUTES: usize = 2000;
/// Failures at this rate are expected of any engine.
const USUAL: f64 = 0.01;
const USUAL_WEIGHT: f64 = 10.0;

/// A mean of what was seen, and of the latest few dozen once there were as many.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    mean: f64,
    seen: u32,
}

impl Mean {
    fn add(&mut self, x: f64) {
        self.seen = self.seen.saturating_add(1);
        self.mean += (x - self.mean) * (1.0 / f64::from(self.seen)).max(LEAN);
    }

    /// How far `x`, a logarithm, is from what was seen before, as a factor; then takes it in.
    fn ratio(&mut self, x: f64) -> f64 {
        let beyond = if self.seen == 0 { 0.0 } else { x - self.mean };
        self.add(x);
        beyond.exp()
    }
}

impl PoolEvidence {
    /// Never more than a third, and so never the last two.
    pub fn most_restricted(&self) -> usize {
        self.engines / 3
    }

    /// How often the engines beside this one fail.
    pub fn failure_rate_beside(&self, r: &EngineEvidence, now: Duration) -> f64 {
        let n = (self.tries.at(now) - r.tries.at(now)).max(0.0);
        let f = (self.failed.at(now) - r.failed.at(now)).clamp(0.0, n);
        (f + USUAL * USUAL_WEIGHT) / (n + USUAL_WEIGHT)
    }

    pub fn first_event_ratio(&mut self, took: Duration, fresh: u32) -> f64 {
        let ms = took.as_secs_f64() * 1e3;
        let expected = self.pace.base_ms + f64::from(fresh) * self.pace.read_ms;
        let first = self.pace.seen == 0;
        self.pace.first_event(took, fresh);
        if first {
            1.0
        } else {
            ms / expected.max(1.0)
        }
    }

    pub fn gap_ratio(&mut self, gap: Duration) -> f64 {
        self.gap.ratio((gap.as_secs_f64() * 1e3).max(0.5).ln())
    }

    pub fn work_ratio(&mut self, route: u64, took: Duration) -> f64 {
        let ms = (took.as_secs_f64() * 1e3).max(0.5);
        self.work_ms.add(ms);
        if self.routes.len() >= MOST_ROUTES && !self.routes.contains_key(&route) {
            self.routes.clear();
        }
        self.routes.entry(route).or_default().ratio(ms.ln())
    }

    pub fn work_ms(&self) -> f64 {
        self.work_ms.mean.clamp(1.0, 20_000.0)
    }
}
