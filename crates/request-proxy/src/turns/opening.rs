//! Turns are claimed at a majority of their program's group and opened. What the stores' answers come to
//! is decided by the dispatcher and `OpenLedger`.
use super::bank::TurnBank;
use super::claim::{Claim, Claiming};
use super::open::{OpenFault, OpenLedger, OpenStep, Opened};
use super::store_link::CALL;
use super::AGAIN;
use crate::app::locked;
use crate::prelude::*;

/// How long an open may take at the most.
const OPEN: Duration = Duration::from_millis(1600);
/// A majority that hasn't answered an open by then is helped by the group's other stores.
const SLOW: Duration = Duration::from_millis(30);

/// What a turn asks for when it is claimed.
pub struct ClaimAsk {
    pub session: u64,
    pub pinned: Pinned,
    pub most: u32,
    pub allowance: Option<u64>,
    /// Where the launch follows at once: the claim carries the marker.
    pub engine: Option<String>,
}

pub struct OpenAsk<'a> {
    pub program: &'a str,
    pub req: u64,
    pub claim: Option<ClaimAsk>,
    pub previous: Option<&'a str>,
    /// The chain up to `previous`, where it is known here (`chain_here`).
    pub known: Option<Vec<Arc<TurnRecord>>>,
    /// No only for engines that were seen to leave the list.
    pub listed: &'a (dyn Fn(&str) -> bool + Send + Sync),
}

impl TurnBank {
    /// Claims the turn at a majority of its program's group and brings the chain it goes on from. While
    /// too few stores answer it asks again, until `until`.
    pub async fn open(
        self: &Arc<Self>,
        ask: OpenAsk<'_>,
        until: Instant,
    ) -> Result<Opened, OpenFault> {
        let end = until.min(Instant::now() + OPEN);
        let attempt = ask.claim.as_ref().map(|c| NewAttempt {
            req: ask.req,
            session: c.session,
            number: 0,
            node: self.node,
            incarnation: self.incarnation.load(Ordering::Relaxed),
            consumed: ask.previous.map(|p| fnv64(p.as_bytes())),
            pinned: c.pinned.clone(),
            most: c.most,
            engine: c.engine.clone(),
        });
        let claim = attempt.as_ref().map(|a| {
            let epoch = a.epoch();
            let call = a.engine.clone().map(|engine| Call { at: CallPoint(epoch, 1), engine });
            Claim { program: ask.program.to_string(), req: ask.req, epoch, call }
        });
        let claiming = Claiming { bank: self.clone(), claim };
        let sent = self.now();
        let got = loop {
            let set = self.set();
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break Err(OpenFault::Unsure);
            }
            if set.placed() > 0 {
                let under = self.open_under(&set, &ask, attempt.as_ref());
                match tokio::time::timeout(left, under).await {
                    Ok(Ok(Some(o))) => break Ok(o),
                    // A store works under a newer set, which has been learnt.
                    Ok(Ok(None)) => continue,
                    Ok(Err(OpenFault::Unsure)) => {}
                    Ok(Err(f)) => break Err(f),
                    Err(_) => break Err(OpenFault::Unsure),
                }
            }
            tokio::time::sleep(AGAIN).await;
        };
        let o = got?;
        let claim = claiming.granted();
        if let Some(c) = &claim {
            let mut held = locked(&self.leases);
            held.0.add(c.req, c.epoch, self.limits().lease, sent);
            held.1.insert(c.req, c.program.clone());
        }
        Ok(Opened { claim, ..o })
    }

    async fn open_under(
        self: &Arc<Self>,
        set: &StoreSet,
        ask: &OpenAsk<'_>,
        attempt: Option<&NewAttempt>,
    ) -> Result<Option<Opened>, OpenFault> {
        let previous = if ask.known.is_some() { None } else { ask.previous };
        let row = self.row(set, ask.program);
        let quorum = set.quorum();
        let claim =
            attempt.map(|a| LedgerWrite::Claim { attempt: a.clone(), lease: self.limits().lease });
        let call = |i: usize, e: &StoreEntry, previous: Option<&str>| {
            let q = encode(&StoreCall::Open(OpenCall {
                version: set.version,
                program: ask.program.to_string(),
                claim: claim.clone(),
                prev: previous.map(String::from),
                want: i == 0 && previous.is_some(),
            }));
            let link = self.link(&e.addr);
            let id = e.id;
            async move { (id, link.call(q, CALL).await) }
        };
        // A majority is asked first, the nearest of it to bring the chain; the others only when one
        // of these fails, is slow, or doesn't know the program.
        let mut work = FuturesUnordered::new();
        let mut rest: VecDeque<(usize, &StoreEntry)> = row.iter().copied().enumerate().collect();
        for (i, e) in rest.drain(..quorum.min(row.len())) {
            work.push(call(i, e, previous));
        }
        let slow = tokio::time::sleep(SLOW);
        tokio::pin!(slow);
        let ids: Vec<u64> = row.iter().map(|e| e.id).collect();
        let mut heard: Vec<u64> = Vec::new();
        let mut elsewhere = None;
        let mut ledger = OpenLedger::new(row.len(), quorum, previous.is_some());
        let session = ask.claim.as_ref().map_or(0, |c| c.session);
        let mut tally = ClaimTally::new(quorum, ask.req, session, self.limits());
        loop {
            let others: Vec<u64> = heard.iter().chain(&ids).copied().collect();
            match ledger.step(&others) {
                OpenStep::Ready => break,
                OpenStep::Search => {
                    let Some(id) = previous else { return Err(OpenFault::NoTurn) };
                    match self.find_anywhere(set, id).await? {
                        Some(chain) => {
                            elsewhere = Some(chain);
                            break;
                        }
                        None => return Ok(None),
                    }
                }
                OpenStep::Fault(f) => {
                    info!(
                        "open under set {}: {:?} after {} no of {}, {} failed: turn {:?}",
                        set.version, f, ledger.said_no, ledger.quorum, ledger.failed, ask.previous
                    );
                    return Err(f);
                }
                OpenStep::Fetch(id, turns) => {
                    ledger.bring(self.fetch(set, id, turns).await);
                    continue;
                }
                OpenStep::Wait => {}
            }
            let next = tokio::select! {
                r = work.next() => r,
                _ = slow.as_mut(), if !rest.is_empty() => None,
            };
            match next {
                Some((id, Ok(StoreReply::Open(r)))) => {
                    heard.push(id);
                    self.hear_of(r.later);
                    let granted = r.outcome.as_ref().is_none_or(WriteOutcome::is_granted);
                    if let (true, Some(o)) = (r.has_complete_history, &r.outcome) {
                        tally.take(id, o, r.view);
                    }
                    let wanted = ids.first() == Some(&id);
                    ledger.take(id, r.has_complete_history && granted, wanted, (r.lookup, r.turns));
                    if !(r.has_complete_history && granted) {
                        work.extend(rest.drain(..).map(|(i, e)| call(i, e, previous)));
                    }
                }
                Some((_, Ok(StoreReply::Stale(newer)))) => {
                    self.learn(newer);
                    return Ok(None);
                }
                Some((id, got)) => {
                    if let Ok(StoreReply::Behind) = got {
                        self.teach(set, id);
                    }
                    ledger.fail();
                    work.extend(rest.drain(..).map(|(i, e)| call(i, e, previous)));
                }
                None if rest.is_empty() => return Err(OpenFault::Unsure),
                None => {
                    // Those that keep the others waiting are asked last for a while.
                    for e in row.iter().take(quorum).filter(|e| !heard.contains(&e.id)) {
                        self.link(&e.addr).suspect();
                    }
                    work.extend(rest.drain(..).map(|(i, e)| call(i, e, previous)));
                }
            }
        }
        if let Some(c) = &ask.claim {
            let decide = |t: &ClaimTally| t.decide(c.allowance, c.most, &ask.listed);
            let mut decision = decide(&tally);
            if decision == ClaimDecision::Recheck {
                // The same claim again: what a majority knows once a majority has granted it.
                let again = row.iter().map(|e| call(1, e, None));
                let mut work: FuturesUnordered<_> = again.collect();
                while decision == ClaimDecision::Recheck {
                    match work.next().await {
                        Some((id, Ok(StoreReply::Open(r)))) if r.has_complete_history => {
                            tally.recheck_reply(id, r.view);
                            decision = decide(&tally);
                        }
                        Some(_) => {}
                        None => return Err(OpenFault::Unsure),
                    }
                }
            }
            self.see_to(ask, &tally);
            match decision {
                ClaimDecision::Go { .. } => {}
                ClaimDecision::Spent => return Err(OpenFault::Spent),
                ClaimDecision::Capacity { in_use, limit, scope } => {
                    info!("{} of {} attempts of the {:?} hold a slot", in_use, limit, scope);
                    return Err(OpenFault::Capacity);
                }
                _ => return Err(OpenFault::Unsure),
            }
        }
        let chain = ask.known.clone().unwrap_or_else(|| {
            let chain = elsewhere.unwrap_or_else(|| ledger.chain());
            let chain: Vec<Arc<TurnRecord>> = chain.into_iter().map(Arc::new).collect();
            let mut cache = locked(&self.cache);
            chain.iter().for_each(|r| cache.put(r.clone(), None));
            chain
        });
        Ok(Some(Opened { chain, claim: None }))
    }
}
