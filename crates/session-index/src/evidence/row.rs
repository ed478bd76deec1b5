//! The evidence about one engine.
use super::pool::PoolEvidence;
use super::standing::LAST_STAGE;
use crate::prelude::*;

/// A send under way, for which nothing has been concluded unless `answered`.
#[derive(Debug, Clone, Copy)]
pub struct OpenSend {
    pub version: u64,
    pub at: Duration,
    /// Nothing received of it after this time is silence.
    pub patience: Duration,
    pub answered: bool,
}

impl OpenSend {
    pub fn is_overdue(&self, now: Duration) -> bool {
        now.saturating_sub(self.at) > self.patience
    }
}

/// Evidence fades: a proxy of a large fleet meets an engine every ten seconds or so, and troubles last
/// about as long.
pub const HALF: Duration = Duration::from_secs(6);
/// Ejections of one engine within this time lengthen each other.
const CALM: Duration = Duration::from_secs(30);
const FIRST_SPAN: Duration = Duration::from_secs(3);
const MOST_SPAN: Duration = Duration::from_secs(30);
const MANY_IN_ROW: u32 = 3;

/// Invariants: `failed` is the sum of `kinds` and never above `tries` by more than rounding; `open` holds
/// each send under way once.
pub struct EngineEvidence {
    pub service: Arc<str>,
    pub addr: SocketAddr,
    pub tries: DecayingCount,
    pub failed: DecayingCount,
    pub kinds: HashMap<FailureKind, DecayingCount>,
    /// Sums of the logarithms of measured over expected times, and how many.
    slow: DecayingCount,
    slow_seen: DecayingCount,
    in_row: u32,
    pub avoid: Duration,
    pub replaced: bool,
    pub ejections: DecayingCount,
    pub open: Vec<OpenSend>,
    pub standing: InitializedStateMachine<Standing>,
    due: Duration,
    span: Duration,
}

impl EngineEvidence {
    pub fn new(service: Arc<str>, addr: SocketAddr) -> Self {
        EngineEvidence {
            service,
            addr,
            tries: DecayingCount::new(HALF),
            failed: DecayingCount::new(HALF),
            kinds: HashMap::new(),
            slow: DecayingCount::new(HALF),
            slow_seen: DecayingCount::new(HALF),
            in_row: 0,
            avoid: Duration::ZERO,
            replaced: false,
            ejections: DecayingCount::new(CALM),
            open: Vec::new(),
            standing: Standing.uninitialized_state_machine().init(),
            due: Duration::ZERO,
            span: FIRST_SPAN,
        }
    }

    /// Takes an observation into the counts. The verdict tells whether a probe passed; none while it
    /// is still open.
    pub fn take(
        &mut self,
        p: &mut PoolEvidence,
        version: u64,
        o: Observation,
        now: Duration,
    ) -> Option<bool> {
        let open = self.open.iter_mut().find(|s| s.version == version);
        // What was sent before it was ejected says nothing of whether it is well again.
        let known = open.as_ref().is_some_and(|s| s.at >= self.due)
            && matches!(self.standing.state(), StandingState::Returning { .. });
        if let Some(s) = open {
            s.answered = true;
        }
        let ok = match o {
            Observation::Failed(kind) => {
                self.failure(p, kind, now);
                false
            }
            Observation::FirstEvent { took, fresh } => {
                let ratio = p.first_event_ratio(took, fresh);
                self.timed(p, ratio, 1.0, now);
                return (ratio > PROBE_SLOW && known).then_some(false);
            }
            Observation::Streamed { gap, longest, aim } => {
                let ratio = gap.map_or(1.0, |g| p.gap_ratio(g));
                self.timed(p, ratio, 2.0, now);
                if longest > aim && !aim.is_zero() {
                    self.failure(p, FailureKind::Silent, now);
                } else {
                    self.success(p, now);
                }
                ratio < PROBE_SLOW
            }
            Observation::Worked { took, route } => {
                let ratio = p.work_ratio(route, took);
                // Plain work varies by itself.
                self.timed(p, ratio, 0.5, now);
                self.success(p, now);
                ratio < 2.0 * PROBE_SLOW
            }
        };
        known.then_some(ok)
    }

    fn success(&mut self, p: &mut PoolEvidence, now: Duration) {
        self.in_row = 0;
        self.tries.add(1.0, now);
        p.tries.add(1.0, now);
    }

    fn failure(&mut self, p: &mut PoolEvidence, kind: FailureKind, now: Duration) {
        self.in_row += 1;
        for c in [&mut self.tries, &mut self.failed, &mut p.tries, &mut p.failed] {
            c.add(1.0, now);
        }
        self.kinds.entry(kind).or_insert_with(|| DecayingCount::new(HALF)).add(1.0, now);
    }

    fn timed(&mut self, p: &mut PoolEvidence, ratio: f64, weight: f64, now: Duration) {
        let x = ratio.clamp(0.1, 20.0).ln() * weight;
        self.slow.add(x, now);
        self.slow_seen.add(weight, now);
        p.slow.add(x, now);
        p.slow_seen.add(weight, now);
    }

    /// Neither failures nor slowness that could cost anything.
    pub fn is_calm(&self) -> bool {
        // Both decay alike, so their ratio stands still. The pool's mean is near 0.
        self.failed.at_most() < 0.02 && self.slow.at_most() < 0.1 * self.slow_seen.at_most()
    }

    pub fn overdue(&self, now: Duration) -> usize {
        self.open.iter().filter(|s| !s.answered && s.is_overdue(now)).count()
    }

    /// How often it has been slower than its peers, as a factor; few measurements count for little.
    pub fn slower_than(&self, p: &PoolEvidence, now: Duration) -> f64 {
        let n = self.slow_seen.at(now);
        (self.slower_ln(p, now) * n / (n + 3.0)).exp()
    }

    fn slower_ln(&self, p: &PoolEvidence, now: Duration) -> f64 {
        let (s, n) = (self.slow.at(now), self.slow_seen.at(now));
        if n < 1e-3 {
            return 0.0;
        }
        let peers = (p.slow_seen.at(now) - n).max(0.0);
        let common = if peers < 1.0 { 0.0 } else { (p.slow.at(now) - s) / peers };
        s / n - common
    }

    /// Whether it stands out from its peers so far that it is to be ejected.
    pub fn outlier(&self, p: &PoolEvidence, now: Duration) -> Option<&'static str> {
        let common = p.failure_rate_beside(self, now);
        let (n, f) = (self.tries.at(now), self.failed.at(now));
        let often = n >= 2.5 && f >= 1.6 && f / n > (3.0 * common).max(0.25);
        if (self.in_row >= MANY_IN_ROW && common < 0.3) || often {
            return Some("fails more than its peers");
        }
        let sure = self.slow_seen.at(now) >= 4.0;
        (sure && self.slower_ln(p, now) >= SLOW_OUT.ln()).then_some("slower than its peers")
    }

    /// Out for a time that grows with each ejection; gives back how long.
    pub fn eject(&mut self, now: Duration) -> Duration {
        let before = self.ejections.at(now).round().clamp(0.0, 6.0) as u32;
        self.ejections.add(1.0, now);
        self.span = (FIRST_SPAN * 2u32.pow(before)).min(MOST_SPAN);
        self.due = now + self.span;
        self.in_row = 0;
        self.standing.handle(&StandingEvent::Eject);
        self.span
    }

    /// Back in full: probes have answered for it, so the old counts no longer do.
    pub fn forget(&mut self, p: &mut PoolEvidence, now: Duration) {
        p.tries.add(-self.tries.at(now), now);
        p.failed.add(-self.failed.at(now), now);
        p.slow.add(-self.slow.at(now), now);
        p.slow_seen.add(-self.slow_seen.at(now), now);
        for c in [&mut self.tries, &mut self.failed, &mut self.slow, &mut self.slow_seen] {
            *c = DecayingCount::new(HALF);
        }
        self.kinds.clear();
        self.in_row = 0;
    }

    pub fn is_restricted(&self) -> bool {
        !matches!(self.standing.state(), StandingState::Healthy {})
    }

    pub fn due(&self) -> Duration {
        self.due
    }

    /// Steps still to go until it is back in full; none unless it is returning.
    pub fn steps_left(&self) -> Option<u32> {
        match self.standing.state() {
            StandingState::Returning { stage } => Some(LAST_STAGE.saturating_sub(*stage)),
            _ => None,
        }
    }

    pub fn admits(&self, fit: bool, now: Duration) -> Admission {
        // A probe is to be repeatable or of low priority; when none such comes, any is taken.
        let taken = now >= self.due && (fit || now >= self.due + self.span);
        match self.standing.state() {
            StandingState::Healthy {} => Admission::Open,
            StandingState::Ejected {} if taken => Admission::Probe,
            StandingState::Ejected {} => Admission::Closed,
            StandingState::Returning { stage } if self.open.len() >= 1 << *stage => {
                Admission::Closed
            }
            StandingState::Returning { stage: 0 } if taken => Admission::Probe,
            StandingState::Returning { stage: 0 } => Admission::Closed,
            StandingState::Returning { .. } => Admission::Open,
        }
    }
}

/// So much slower than its peers: out.
const SLOW_OUT: f64 = 3.0;
/// A probe that takes so much longer than expected hasn't passed.
const PROBE_SLOW: f64 = 2.5;
