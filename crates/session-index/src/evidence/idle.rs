//! How long a service's engines keep idle connections, learned from those found reset.
use crate::prelude::*;

/// Idle times by class: each ends here. The last one leaves it to what `Keep-Alive` tells.
const ENDS: [Duration; 6] = [
    Duration::from_millis(200),
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(4),
    Duration::from_secs(60),
];
const HALF: Duration = Duration::from_secs(10);
/// So many sends that went well are imagined for each class.
const PRIOR: f64 = 10.0;
/// Resets beyond those of connections just used, as a share of sends, that are worth a new connection:
/// little for what may not be sent twice, much for what is simply sent again.
const ONCE: f64 = 0.08;
const AGAIN: f64 = 0.3;

/// Invariant: each class's resets are among its uses. New connections and those used a moment ago are
/// the first class: a reset there is the engine's doing, and the measure for the others.
#[derive(Debug, Clone)]
pub struct IdleLife {
    used: [DecayingCount; 6],
    reset: [DecayingCount; 6],
}

impl Default for IdleLife {
    fn default() -> Self {
        let none = [DecayingCount::new(HALF); 6];
        IdleLife { used: none, reset: none }
    }
}

impl IdleLife {
    /// How long a connection may have been idle and still be used.
    pub fn limit(&self, repeatable: bool, now: Duration) -> Duration {
        let most = self.rate(0, now) + if repeatable { AGAIN } else { ONCE };
        let bad = (1..ENDS.len()).find(|i| self.rate(*i, now) > most);
        bad.map_or(ENDS[ENDS.len() - 1], |i| ENDS[i - 1])
    }

    /// A connection that had been idle was used, and found reset or not.
    pub fn used_after(&mut self, idle: Duration, reset: bool, now: Duration) {
        let i = ENDS.iter().position(|e| idle <= *e).unwrap_or(ENDS.len() - 1);
        self.used[i].add(1.0, now);
        if reset {
            self.reset[i].add(1.0, now);
        }
    }

    fn rate(&self, i: usize, now: Duration) -> f64 {
        self.reset[i].at(now) / (self.used[i].at(now) + PRIOR)
    }
}
