//! Where a prompt's first part likely lies already, by other proxies' sends: all proxies rank the
//! engines of a zone alike for it, so they come to the same few without talking.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Belief in the best-ranked engine: below what the index knows, which therefore decides.
const FIRST: f64 = 0.95;
/// Belief lost a rank: a request beside on the better one and the next is as good, so the set in use
/// grows with the load.
const LESS: f64 = 0.015;
/// Ranks beyond are believed to hold nothing.
const MOST: usize = 6;

/// Invariant: `ranked` holds at most `MOST` engines of each zone, none of them draining.
pub struct SharedPrior {
    ranked: HashMap<EngineKey, usize>,
    part: f64,
}

impl SharedPrior {
    /// Nothing where the index names an engine that isn't half full: then that is what counts.
    pub fn of(engines: &EngineTable, ask: &Ask, hits: &[(EngineKey, u32)], now: Duration) -> Self {
        let mut out = SharedPrior { ranked: HashMap::new(), part: 0.0 };
        let Some(first) = ask.blocks.first().filter(|_| ask.is_turn) else {
            return out;
        };
        let free = |k: &EngineKey| {
            engines.get(*k).is_some_and(|e| !e.draining && e.busy(now) < f64::from(e.slots) / 2.0)
        };
        if ask.reported_holder.iter().chain(hits.iter().map(|(k, _)| k)).any(free) {
            return out;
        }
        let mut zones: HashMap<&str, Vec<u64>> = HashMap::new();
        for e in engines.of_service(&ask.service).filter(|e| !e.draining) {
            zones.entry(&e.zone).or_default().push(e.key.0);
        }
        for keys in zones.into_values() {
            let best = rank_by_rendezvous(first.hash, keys).into_iter().take(MOST);
            out.ranked.extend(best.enumerate().map(|(i, k)| (EngineKey(k), i)));
        }
        out.part = f64::from(first.end);
        out
    }

    /// Tokens of the prompt's beginning that are likely held there.
    pub fn tokens(&self, e: &EngineRow) -> u32 {
        let rank = self.ranked.get(&e.key);
        rank.map_or(0, |r| (self.part * (FIRST - LESS * *r as f64)) as u32)
    }
}
