//! Which engine: cost in ms of waiting, the index first.
use super::prior::SharedPrior;
use crate::prelude::*;

/// A probe is worth a detour.
const PROBE_MS: f64 = 1000.0;

impl Scheduler {
    fn tuning_of(&self, ask: &Ask) -> &SchedulerTuning {
        match (ask.policy, &self.trial) {
            (Policy::Trial, Some(t)) => t,
            _ => &self.tuning,
        }
    }

    /// The engine that costs the request least, if any may take it now.
    pub(super) fn choose(&self, ask: &Ask, now: Duration) -> Option<Grant> {
        self.elect_among(ask, now, false).or_else(|| {
            // Ejected engines are used when there is no other left, not when the others are full.
            let usable = |e: &EngineRow| !e.draining && !ask.tried.contains(&e.key);
            let none = !self.engines.of_service(&ask.service).any(|e| {
                usable(e) && self.evidence.weigh(e.key, true, false, now).0 != Admission::Closed
            });
            if none {
                self.elect_among(ask, now, true)
            } else {
                None
            }
        })
    }

    fn elect_among(&self, ask: &Ask, now: Duration, ejected_too: bool) -> Option<Grant> {
        let hits = match ask.is_turn {
            true => self.index.look_up(&ask.blocks, now),
            false => Vec::new(),
        };
        let holder =
            ask.session.as_ref().and_then(|s| self.index.holder_of(s)).or(ask.reported_holder);
        let held = |k: EngineKey| hits.iter().find(|(x, _)| *x == k).map_or(0, |(_, n)| *n);
        let prior = SharedPrior::of(&self.engines, ask, &hits, now);
        let idle_limit = self.evidence.idle_limit(&ask.service, false, now);
        let connected = self.connections.idle_to(idle_limit);
        let connect_ms = self.tuning_of(ask).connect_ms;
        let mut best: Option<(f64, &EngineRow, u32, u32)> = None;
        for e in self.engines.of_service(&ask.service) {
            if e.draining || ask.tried.contains(&e.key) || !self.has_room(e, ask, now) {
                continue;
            }
            // A line that is held elsewhere would be read anew for a probe.
            let fit = ask.may_probe && (!ask.is_turn || holder.is_none_or(|h| h == e.key));
            let (admission, fear) = self.evidence.weigh(e.key, fit, ask.is_turn, now);
            if admission == Admission::Closed && !ejected_too {
                continue;
            }
            // Nothing known of the line here, but its records name this engine: all but the newest
            // input is likely there.
            let mut hit = held(e.key);
            if ask.reported_holder == Some(e.key) && ask.is_turn {
                let before = ask.blocks.len().checked_sub(2).map_or(0, |i| ask.blocks[i].end);
                hit = hit.max(before);
            }
            let guessed = prior.tokens(e).saturating_sub(hit);
            let cost = self.cost(e, ask, hit + guessed, now)
                - if holder == Some(e.key) && hit > 0 { self.tuning_of(ask).stay_ms } else { 0.0 }
                + if connected.contains(&e.key) { 0.0 } else { connect_ms }
                + if admission == Admission::Probe { -PROBE_MS } else { fear };
            let better = match &best {
                None => true,
                Some((c, ..)) => cost < *c - 1e-9,
            };
            if better {
                best = Some((cost, e, hit, guessed));
            }
        }
        let (_, e, hit, guessed) = best?;
        let fresh = ask.prompt_tokens.saturating_sub(hit + guessed);
        let reason = match () {
            _ if !ask.is_turn => Reason::Plain,
            _ if holder == Some(e.key) && hit > 0 => Reason::Hit,
            _ if holder.is_some_and(|h| held(h) > hit) => Reason::Moved,
            _ if hit > 0 => Reason::SharedHit,
            _ => Reason::Miss,
        };
        Some(Grant {
            key: e.key,
            version: 0,
            id: e.id.clone(),
            service: e.service.clone(),
            addr: e.addr,
            hit,
            guessed,
            fresh: if ask.is_turn { fresh } else { 0 },
            memory: if ask.is_turn { u64::from(ask.prompt_tokens + ask.most_out) } else { 0 },
            memory_limit: ask.memory_limit,
            reason,
            expected_ms: match ask.is_turn {
                true => e.pace.base_ms + f64::from(fresh) * e.pace.read_ms,
                false => self.evidence.expected_work(&e.service).as_secs_f64() * 1e3,
            },
        })
    }

    fn has_room(&self, e: &EngineRow, ask: &Ask, now: Duration) -> bool {
        let busy = e.busy(now);
        if !ask.is_turn {
            return busy < f64::from(e.slots) * self.tuning.plain_depth;
        }
        let need = u64::from(ask.prompt_tokens + ask.most_out);
        busy < f64::from(e.slots)
            && (e.own == 0 || ask.memory_limit == 0 || e.memory + need <= ask.memory_limit)
    }

    fn cost(&self, e: &EngineRow, ask: &Ask, hit: u32, now: Duration) -> f64 {
        let mut c = 0.0;
        let tuning = self.tuning_of(ask);
        if *e.zone != *tuning.zone {
            c += tuning.far_ms;
        }
        let busy = e.busy(now);
        if ask.is_turn {
            let fresh = f64::from(ask.prompt_tokens.saturating_sub(hit));
            c += (fresh + e.reading as f64) * e.pace.read_ms + (e.pace.base_ms - 80.0);
            c += busy * tuning.beside_ms + e.waiting.min(busy) * tuning.behind_ms;
        } else {
            let slots = f64::from(e.slots.max(1));
            let over = (busy + 1.0 - slots).max(0.0);
            // A full engine makes a request wait for a turn of its slots; one nearly full may be
            // slower than it looks, since not every sender is seen.
            c += e.pace.work_ms * (0.25 + over / slots + 0.5 * (busy / slots).powi(2));
        }
        // Equal engines are not elected by all proxies at once.
        c * (1.0 + 0.06 * fastrand::f64()) + fastrand::f64()
    }
}
