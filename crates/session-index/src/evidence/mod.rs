//! Failure detection: one table of evidence for each engine. It is fed by what real requests met and by
//! nothing else; a health answer is no observation here. See docs/failure-detection.md.
mod budget;
mod decay;
mod history;
mod idle;
mod notes;
mod observation;
mod pool;
mod row;
mod standing;

pub use budget::RetryBudget;
pub use decay::DecayingCount;
pub use idle::IdleLife;
pub use notes::{Note, NoteKind};
pub use observation::{FailureKind, Observation};
pub use standing::{Standing, StandingEvent, StandingState};

use crate::prelude::*;
use history::AddressHistory;
use notes::Notes;
use pool::PoolEvidence;
use row::{EngineEvidence, OpenSend};

/// May the request go there?
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    Open,
    /// The engine is ejected or coming back, and this request would be its probe.
    Probe,
    Closed,
}

/// Invariants: at any moment at most a third of a service's engines are restricted (not `Healthy`);
/// pools' totals are the sums of their rows' counts and of those of rows that are gone, decayed alike;
/// time never goes back.
#[derive(Default)]
pub struct EvidenceTable {
    rows: HashMap<EngineKey, EngineEvidence>,
    pools: HashMap<Arc<str>, PoolEvidence>,
    history: AddressHistory,
    notes: Notes,
    clock: Duration,
}

/// Lost time when a send fails, in ms of waiting: a client's retry, or a second send.
const FAIL_MS: f64 = 2000.0;
/// A send that is silent for well beyond what was expected.
const OVERDUE_MS: f64 = 600.0;
/// Turned away or unreached a moment ago.
const AVOID_MS: f64 = 4000.0;
/// Each lately ended life at the address, while the new one hasn't shown itself.
const CAUTION_MS: f64 = 150.0;
const RETURNING_MS: f64 = 100.0;
/// What a failure weighs on engines nothing is known of: so many sends at the pool's own rate.
const PRIOR: f64 = 2.0;
/// Slower than its peers by less is noise.
const SLOW_FREE: f64 = 1.5;

impl EvidenceTable {
    /// An engine has come onto the list: a clean slate, but caution at an address whose lives end again
    /// and again.
    pub fn add(&mut self, key: EngineKey, service: &Arc<str>, addr: SocketAddr) {
        let now = self.clock;
        let caution = self.history.crashes(addr, now);
        self.rows.insert(key, EngineEvidence::new(service.clone(), addr));
        self.pools.entry(service.clone()).or_default().engines += 1;
        if caution >= 1.5 && self.has_place(service) {
            if let Some(r) = self.rows.get_mut(&key) {
                r.standing.handle(&StandingEvent::Caution);
                self.count_restricted(service, 1);
            }
        }
    }

    /// An engine has gone. `crashed` says that it wasn't draining.
    pub fn remove(&mut self, key: EngineKey, crashed: bool) {
        let Some(r) = self.rows.remove(&key) else { return };
        if crashed {
            self.history.crashed(r.addr, self.clock);
        }
        if let Some(p) = self.pools.get_mut(&r.service) {
            p.engines = p.engines.saturating_sub(1);
            p.restricted = p.restricted.saturating_sub(usize::from(r.is_restricted()));
        }
        self.trim(&r.service);
    }

    /// Another life answers at its address.
    pub fn replaced(&mut self, key: EngineKey, now: Duration) {
        self.clock = now.max(self.clock);
        if let Some(r) = self.rows.get_mut(&key) {
            if !std::mem::replace(&mut r.replaced, true) {
                self.history.crashed(r.addr, now);
            }
        }
    }

    /// An attempt begins; when nothing is received of it for `patience`, it is silent.
    pub fn begin(&mut self, key: EngineKey, version: u64, patience: Duration, now: Duration) {
        self.clock = now.max(self.clock);
        if let Some(r) = self.rows.get_mut(&key) {
            r.standing.handle(&StandingEvent::Probe);
            r.open.push(OpenSend { version, at: now, patience, answered: false });
        }
    }

    /// What a send met. `version` names it; 0 for what belongs to no send.
    pub fn observe(&mut self, key: EngineKey, version: u64, o: Observation, now: Duration) {
        self.clock = now.max(self.clock);
        let Some(r) = self.rows.get_mut(&key) else { return };
        let p = self.pools.entry(r.service.clone()).or_default();
        let was_probe = r.steps_left().is_some();
        let verdict = r.take(p, version, o, now);
        if was_probe {
            match verdict {
                Some(true) => self.passed(key, now),
                Some(false) => self.eject(key, now, "failed its probe"),
                None => {}
            }
        } else if r.is_restricted() {
            // Out: sent before it was ejected.
        } else if let Some(why) = r.outlier(p, now) {
            self.eject(key, now, why);
        }
    }

    /// An attempt is over, however it ended. One of which nothing was received for long counts as silence: its
    /// time was over, or the client went away.
    pub fn finish(&mut self, key: EngineKey, version: u64, now: Duration) {
        let Some(r) = self.rows.get_mut(&key) else { return };
        let Some(i) = r.open.iter().position(|s| s.version == version) else { return };
        let silent = !r.open[i].answered && r.open[i].is_overdue(now);
        if silent {
            self.observe(key, version, Observation::Failed(FailureKind::Silent), now);
        }
        if let Some(r) = self.rows.get_mut(&key) {
            r.open.retain(|s| s.version != version);
        }
    }

    /// It turned a request away or wasn't reached: a last choice until then.
    pub fn avoid(&mut self, key: EngineKey, span: Duration, now: Duration) {
        if let Some(r) = self.rows.get_mut(&key) {
            r.avoid = r.avoid.max(now + span);
        }
    }

    /// Whether a request may go there, and what is to be feared beyond the engine's peers, in ms of
    /// waiting. Asked for each engine of a service at each election, so a calm row costs one look.
    pub fn weigh(
        &self,
        key: EngineKey,
        fit: bool,
        is_turn: bool,
        now: Duration,
    ) -> (Admission, f64) {
        let Some(r) = self.rows.get(&key) else { return (Admission::Open, 0.0) };
        let admission = r.admits(fit, now);
        if admission != Admission::Open {
            return (admission, 0.0);
        }
        let mut c = 0.0;
        if r.avoid > now {
            c += AVOID_MS;
        }
        c += r.overdue(now) as f64 * OVERDUE_MS;
        if let Some(steps) = r.steps_left() {
            // Its probes answer for it, one step at a time.
            return (admission, c + f64::from(steps) * RETURNING_MS);
        }
        if !self.history.is_empty() && r.tries.at(now) < 1.0 {
            c += self.history.crashes(r.addr, now) * CAUTION_MS;
        }
        if !r.is_calm() {
            if let Some(p) = self.pools.get(&r.service) {
                c += Self::fear(r, p, is_turn, now);
            }
        }
        (admission, c)
    }

    fn fear(r: &EngineEvidence, p: &PoolEvidence, is_turn: bool, now: Duration) -> f64 {
        let common = p.failure_rate_beside(r, now);
        let (n, f) = (r.tries.at(now), r.failed.at(now));
        let failing = ((f + PRIOR * common) / (n + PRIOR) - 1.5 * common).max(0.0) * FAIL_MS;
        let slower = r.slower_than(p, now);
        if slower <= SLOW_FREE {
            return failing;
        }
        let work = if is_turn { 250.0 } else { p.work_ms() };
        failing + (slower - SLOW_FREE).min(8.0) * work
    }

    /// What a plain call on this service is expected to take.
    pub fn expected_work(&self, service: &str) -> Duration {
        let ms = self.pools.get(service).map_or(100.0, PoolEvidence::work_ms);
        Duration::from_secs_f64(ms / 1e3)
    }

    /// How long a connection of this service may have been idle and still be used.
    pub fn idle_limit(&self, service: &str, repeatable: bool, now: Duration) -> Duration {
        let unseen = IdleLife::default();
        self.pools.get(service).map_or(&unseen, |p| &p.idle).limit(repeatable, now)
    }

    /// A connection was found reset, or served, after it had been idle; a new one was idle for no time.
    pub fn idle_ended(&mut self, service: &str, idle: Duration, reset: bool, now: Duration) {
        self.pool(service).idle.used_after(idle, reset, now);
    }

    /// A request's first send: it earns a share of a second one.
    pub fn first_send(&mut self, service: &str, now: Duration) {
        self.pool(service).budget.first_send(now);
    }

    /// Takes a second send out of the budget.
    pub fn may_repeat(&mut self, service: &str, now: Duration) -> bool {
        self.pool(service).budget.take(now)
    }

    pub fn take_notes(&mut self) -> Vec<Note> {
        self.notes.take()
    }

    pub fn standing(&self, key: EngineKey) -> Option<&StandingState> {
        self.rows.get(&key).map(|r| r.standing.state())
    }

    /// Engines of a service, and how many of them are restricted.
    pub fn restricted(&self, service: &str) -> (usize, usize) {
        self.pools.get(service).map_or((0, 0), |p| (p.engines, p.restricted))
    }

    fn pool(&mut self, service: &str) -> &mut PoolEvidence {
        if !self.pools.contains_key(service) {
            self.pools.insert(service.into(), PoolEvidence::default());
        }
        self.pools.entry(service.into()).or_default()
    }

    fn has_place(&self, service: &str) -> bool {
        self.pools.get(service).is_some_and(|p| p.restricted < p.most_restricted())
    }

    fn count_restricted(&mut self, service: &str, by: usize) {
        self.pool(service).restricted += by;
    }

    fn eject(&mut self, key: EngineKey, now: Duration, why: &'static str) {
        let Some((service, restricted)) =
            self.rows.get(&key).map(|r| (r.service.clone(), r.is_restricted()))
        else {
            return;
        };
        if !restricted && !self.has_place(&service) {
            return;
        }
        let Some(r) = self.rows.get_mut(&key) else { return };
        let span = r.eject(now);
        if !restricted {
            self.count_restricted(&service, 1);
        }
        self.notes.add(Note { key, service, kind: NoteKind::Ejected { why, span } }, now);
    }

    fn passed(&mut self, key: EngineKey, now: Duration) {
        let Some(r) = self.rows.get_mut(&key) else { return };
        r.standing.handle(&StandingEvent::Passed);
        if r.is_restricted() {
            return;
        }
        let service = r.service.clone();
        if let Some(p) = self.pools.get_mut(&service) {
            r.forget(p, now);
            p.restricted = p.restricted.saturating_sub(1);
        }
        self.notes.add(Note { key, service, kind: NoteKind::Returned }, now);
    }

    /// The pool has shrunk: those that are due first come back.
    fn trim(&mut self, service: &str) {
        while self.pools.get(service).is_some_and(|p| p.restricted > p.most_restricted()) {
            let next = self
                .rows
                .iter()
                .filter(|(_, r)| *r.service == *service && r.is_restricted())
                .min_by_key(|(k, r)| (r.due(), k.0))
                .map(|(k, _)| *k);
            let Some(r) = next.and_then(|k| self.rows.get_mut(&k)) else { return };
            r.standing.handle(&StandingEvent::Restore);
            if let Some(p) = self.pools.get_mut(service) {
                p.restricted -= 1;
            }
        }
    }
}
