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
    /// Mean logarithms of the ms between events, and of a route's work.
    gap: Option<f64>,
    routes: HashMap<u64, f64>,
    work_ms: Option<f64>,
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
            gap: None,
            routes: HashMap::new(),
            work_ms: None,
        }
    }
}

const LEAN: f64 = 0.03;
const MOST_ROUTES: usize = 2000;
/// Failures at this rate are expected of any engine.
const USUAL: f64 = 0.01;
const USUAL_WEIGHT: f64 = 10.0;

fn lean(old: &mut f64, x: f64) {
    *old += (x - *old) * LEAN;
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
        let x = (gap.as_secs_f64() * 1e3).max(0.5).ln();
        let mean = self.gap.get_or_insert(x);
        let ratio = (x - *mean).exp();
        lean(mean, x);
        ratio
    }

    pub fn work_ratio(&mut self, route: u64, took: Duration) -> f64 {
        let ms = (took.as_secs_f64() * 1e3).max(0.5);
        lean(self.work_ms.get_or_insert(ms), ms);
        if self.routes.len() >= MOST_ROUTES && !self.routes.contains_key(&route) {
            self.routes.clear();
        }
        let mean = self.routes.entry(route).or_insert(ms.ln());
        let ratio = (ms.ln() - *mean).exp();
        lean(mean, ms.ln());
        ratio
    }

    pub fn work_ms(&self) -> f64 {
        self.work_ms.unwrap_or(100.0).clamp(1.0, 20_000.0)
    }
}
