//! What the stores' replies to a claim come to.
use crate::prelude::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    Session,
    Program,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    Go {
        number: u32,
    },
    /// The allowance has no room for the most of this turn.
    Spent,
    /// Too many attempts hold a slot.
    Capacity {
        in_use: u32,
        limit: u32,
        scope: Scope,
    },
    /// There is room by what was told, and a majority holds the claim: ask a majority once more what it
    /// knows now (`recheck_reply`), by the marker or by the same claim again.
    Recheck,
    /// A majority refused: another life holds the attempt, or it is settled.
    Refused,
    NeedMore,
}

/// What the stores told of one attempt.
struct ObservedAttempt {
    view: AttemptView,
    /// Stores at which nobody holds it any more: the lease has lapsed, or it is settled.
    lapsed: usize,
    seen: usize,
}

/// Invariant: each store counts once; `attempts` joins all that any of them told.
pub struct ClaimTally {
    quorum: usize,
    req: u64,
    session: u64,
    limits: Limits,
    stores: BTreeSet<u64>,
    granted: usize,
    number: u32,
    recheck: BTreeSet<u64>,
    attempts: BTreeMap<u64, ObservedAttempt>,
}

impl ClaimTally {
    /// `quorum` is the majority of the program's stores, T+1 of 2T+1.
    pub fn new(quorum: usize, req: u64, session: u64, limits: Limits) -> Self {
        ClaimTally {
            quorum,
            req,
            session,
            limits,
            stores: BTreeSet::new(),
            granted: 0,
            number: 0,
            recheck: BTreeSet::new(),
            attempts: BTreeMap::new(),
        }
    }

    /// A store's outcome of the claim, with its view taken after it. A recovery that may be launched
    /// anew is tallied alike: others may have been given its room in the meantime.
    pub fn take(&mut self, store: u64, outcome: &WriteOutcome, view: ProgramView) {
        if !self.stores.insert(store) {
            return;
        }
        match outcome {
            WriteOutcome::Claimed { number } => {
                self.granted += 1;
                self.number = self.number.max(*number);
            }
            WriteOutcome::Recovered { .. } => self.granted += 1,
            _ => {}
        }
        self.observe(view);
    }

    /// A store's view, asked for after a majority had granted.
    pub fn recheck_reply(&mut self, store: u64, view: ProgramView) {
        if self.granted >= self.quorum && self.recheck.insert(store) {
            self.observe(view);
        }
    }

    fn observe(&mut self, view: ProgramView) {
        let first = self.recheck.is_empty();
        let done = view.finished.0.into_iter().map(|(r, t)| AttemptView::finished(r, t));
        for v in done.chain(view.live) {
            let lapsed = usize::from(v.lapsed || v.is_settled());
            match self.attempts.get_mut(&v.req) {
                None => {
                    let (lapsed, seen) = if first { (lapsed, 1) } else { (0, 0) };
                    self.attempts.insert(v.req, ObservedAttempt { view: v, lapsed, seen });
                }
                Some(k) => {
                    k.view.join(v);
                    if first {
                        k.lapsed += lapsed;
                        k.seen += 1;
                    }
                }
            }
        }
    }

    fn others(&self) -> impl Iterator<Item = &AttemptView> {
        self.attempts.values().map(|k| &k.view).filter(|v| v.req != self.req)
    }

    /// Tokens that all other attempts put out, or may yet.
    pub fn spent(&self) -> u64 {
        self.others().map(|v| u64::from(v.tokens())).sum()
    }

    /// `allowance`: the program's token budget; `most`: of this turn. `engine_listed` must answer no
    /// only for an engine that this node saw in the list and then saw leave it: an id it has not heard
    /// of yet proves nothing.
    pub fn decide(
        &self,
        allowance: Option<u64>,
        most: u32,
        engine_listed: &dyn Fn(&str) -> bool,
    ) -> ClaimDecision {
        if self.granted < self.quorum {
            return match self.stores.len() - self.granted >= self.quorum {
                true => ClaimDecision::Refused,
                false => ClaimDecision::NeedMore,
            };
        }
        let slots: Vec<&AttemptView> =
            self.others().filter(|v| holds_slot(v, engine_listed)).collect();
        let of_session =
            slots.iter().filter(|v| v.session == self.session || v.session == 0).count() as u32;
        let program = slots.len() as u32;
        let mut near = false;
        for (in_use, limit, scope) in [
            (of_session, self.limits.per_session, Scope::Session),
            (program, self.limits.per_program, Scope::Program),
        ] {
            near |= limit > 0 && 2 * in_use + 1 > limit;
            if limit > 0 && in_use >= limit {
                return ClaimDecision::Capacity { in_use, limit, scope };
            }
        }
        let (spent, most) = (self.spent(), u64::from(most));
        near |= allowance.is_some_and(|a| 2 * spent + most > a);
        let few = |n: u32| allowance.is_some_and(|a| spent + most * (1 + u64::from(n)) > a);
        if allowance.is_some_and(|a| spent + most > a) {
            return ClaimDecision::Spent;
        }
        let recheck = match self.limits.recheck {
            Recheck::Always => true,
            Recheck::NearLimit => near,
            Recheck::Within(n) => few(n),
            Recheck::Never => false,
        };
        if recheck && self.recheck.len() < self.quorum {
            return ClaimDecision::Recheck;
        }
        ClaimDecision::Go { number: self.number }
    }

    /// Takes over attempts that lapsed at a majority of the stores that answered; a store that never
    /// saw one doesn't speak against it.
    /// Each write's epoch is of this claim alone.
    pub fn recoverable(&self, node: u64, incarnation: u64) -> Vec<LedgerWrite> {
        let lease = self.limits.lease;
        let lapsed = self.attempts.values().filter(|k| {
            let unseen = self.stores.len() - k.seen;
            let open = !k.view.is_settled() && k.view.req != self.req;
            open && k.lapsed > 0 && k.lapsed + unseen >= self.quorum
        });
        lapsed
            .map(|k| LedgerWrite::Recover {
                req: k.view.req,
                epoch: k.view.epoch.next(node, incarnation, self.req),
                node,
                incarnation,
                session: k.view.session,
                most: k.view.most,
                lease,
            })
            .collect()
    }

    /// Confirms the stop of attempts whose engine is gone.
    pub fn stopped(&self, engine_listed: &dyn Fn(&str) -> bool) -> Vec<LedgerWrite> {
        if self.stores.len() < self.quorum {
            return Vec::new();
        }
        let gone = self.others().filter(|v| !v.is_stopped()).filter_map(|v| {
            let c = v.call.as_ref().filter(|c| !engine_listed(&c.engine))?;
            Some(LedgerWrite::ConfirmStopped {
                req: v.req,
                expected_epoch: v.epoch,
                // Once it is settled, nothing more is sent under its epoch.
                call: if v.is_settled() { CallPoint::all_of(v.epoch) } else { c.at },
            })
        });
        gone.collect()
    }
}

/// A slot is held while an attempt is unfinished, since its holder may still send, and after that until
/// its execution has stopped; not beyond its deadline. The stores' replies are of different moments: that
/// no marker was seen proves nothing, but a settlement brings along the last.
fn holds_slot(v: &AttemptView, engine_listed: &dyn Fn(&str) -> bool) -> bool {
    match &v.call {
        _ if v.passed => false,
        _ if !v.is_settled() => true,
        _ if v.is_stopped() => false,
        None => true,
        Some(c) => engine_listed(&c.engine),
    }
}
