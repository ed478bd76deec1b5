//! What a node writes of its attempts: launch intents, renewals, settlements, and recovery of others'.
use super::bank::TurnBank;
use super::claim::Claim;
use super::opening::OpenAsk;
use super::store_link::CALL;
use crate::app::locked;
use crate::prelude::*;

impl TurnBank {
    /// A greater incarnation of this node was heard of: the clock went back between two lives.
    pub(super) fn hear_of(&self, later: Option<u64>) {
        if let Some(n) = later {
            self.incarnation.fetch_max(n + 1, Ordering::Relaxed);
        }
    }

    /// What a claim showed of the program's other attempts: those whose holders have lost them are
    /// recovered, and stops that this node can vouch for are confirmed.
    pub(super) fn see_to(self: &Arc<Self>, ask: &OpenAsk<'_>, tally: &ClaimTally) {
        for w in tally.stopped(&ask.listed) {
            self.note(ask.program, &w);
        }
        let incarnation = self.incarnation.load(Ordering::Relaxed);
        for w in tally.recoverable(self.node, incarnation) {
            let (bank, program) = (self.clone(), ask.program.to_string());
            tokio::spawn(async move { bank.recover(&program, w).await });
        }
    }

    /// Takes over an attempt that lapsed. Nobody waits for its answer any more: it is settled, at nothing
    /// where provably nothing was started, else at its most.
    async fn recover(&self, program: &str, w: LedgerWrite) {
        let LedgerWrite::Recover { req, epoch, .. } = w else { return };
        let mut tally = RecoverTally::new(self.set().quorum(), req, epoch);
        self.write(program, &w, |id, o| {
            tally.take(id, o);
            tally.decide() != RecoverDecision::NeedMore
        })
        .await;
        if let Some(s) = tally.settle() {
            info!("attempt recovered: {:?}", tally.decide());
            self.note(program, &s);
        }
    }

    /// The fenced write just before an engine is reached; true once a majority holds it.
    pub async fn record_call(&self, claim: &mut Claim, engine: &str) -> bool {
        let send = claim.call.as_ref().map_or(0, |c| c.at.1) + 1;
        let at = CallPoint(claim.epoch, send);
        claim.call = Some(Call { at, engine: engine.to_string() });
        let engine = engine.to_string();
        let w = LedgerWrite::RecordCall { req: claim.req, epoch: claim.epoch, send, engine };
        self.granted(&claim.program, &w).await
    }

    /// True once a majority of the program's group has granted the write.
    async fn granted(&self, program: &str, w: &LedgerWrite) -> bool {
        let (quorum, mut n) = (self.set().quorum(), 0);
        let enough = |_: u64, o: &WriteOutcome| {
            n += usize::from(o.is_granted());
            n >= quorum
        };
        self.write(program, w, enough).await
    }

    /// Sends a write to all of the program's group until `on` has heard enough; false when it has not.
    async fn write(
        &self,
        program: &str,
        w: &LedgerWrite,
        mut on: impl FnMut(u64, &WriteOutcome) -> bool,
    ) -> bool {
        let set = self.set();
        let write = w.clone();
        let q = encode(&StoreCall::Write { version: set.version, program: program.into(), write });
        let asks = self.row(&set, program).into_iter().map(|e| {
            let (link, q, id) = (self.link(&e.addr), q.clone(), e.id);
            async move { (id, link.call(q, CALL).await) }
        });
        let mut work: FuturesUnordered<_> = asks.collect();
        while let Some((id, r)) = work.next().await {
            match r {
                Ok(StoreReply::Written { has_complete_history: true, outcome })
                    if on(id, &outcome) =>
                {
                    return true
                }
                Ok(StoreReply::Stale(newer)) => self.learn(newer),
                Ok(StoreReply::Behind) => self.teach(&set, id),
                _ => {}
            }
        }
        false
    }

    /// Renews the leases that are due; called regularly.
    pub fn renew_leases(self: &Arc<Self>) {
        let now = self.now();
        let mut held = locked(&self.leases);
        for w in held.0.tick(now) {
            let LedgerWrite::Renew { req, .. } = w else { continue };
            let Some(program) = held.1.get(&req).cloned() else { continue };
            let bank = self.clone();
            tokio::spawn(async move {
                if bank.granted(&program, &w).await {
                    locked(&bank.leases).0.renewed(req, now);
                }
            });
        }
        for req in held.0.expired(now) {
            held.1.remove(&req);
            warn!("a lease found no majority and is given up");
        }
    }

    /// Gives up all leases that are still held, so that others may recover what is left.
    pub fn release_leases(&self) {
        let mut held = locked(&self.leases);
        let all: Vec<(u64, String)> = held.1.drain().collect();
        for (req, program) in all {
            if let Some(epoch) = held.0.epoch(req) {
                held.0.done(req);
                self.note(&program, &LedgerWrite::Release { req, epoch });
            }
        }
    }

    pub(super) fn end_lease(&self, req: u64) {
        let mut held = locked(&self.leases);
        held.0.done(req);
        held.1.remove(&req);
    }

    pub(super) fn note(&self, program: &str, w: &LedgerWrite) {
        let set = self.set();
        let q = StoreCall::Notify { program: program.to_string(), write: w.clone() };
        for e in self.row(&set, program) {
            self.link(&e.addr).caller.tell(&q);
        }
    }

    /// Settles a turn that doesn't count, at what was put out.
    pub fn settle(&self, claim: &Claim, tokens: u32, stopped: bool) {
        self.end_lease(claim.req);
        self.note(&claim.program, &claim.settle(tokens, stopped));
    }
}
