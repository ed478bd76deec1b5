//! Turns are kept with a majority of their program's group and settled.
use super::bank::TurnBank;
use super::claim::Claim;
use super::store_link::CALL;
use super::AGAIN;
use crate::app::locked;
use crate::prelude::*;

/// A majority that hasn't answered a close by then is helped by the group's other stores: it waits for
/// disks.
const SLOW_CLOSE: Duration = Duration::from_millis(60);

/// A turn to be kept.
pub struct TurnClose {
    pub record: TurnRecord,
    /// The turns before it, oldest first, for stores that lack some of them.
    pub chain: Vec<Arc<TurnRecord>>,
    pub tokens: u32,
    pub claim: Option<Claim>,
}

/// A turn on its way to the stores.
struct KeptTurn<'a> {
    record: &'a TurnRecord,
    chain: &'a [Arc<TurnRecord>],
    settle: Option<&'a LedgerWrite>,
}

impl KeptTurn<'_> {
    fn call(&self, version: u64, earlier: Vec<TurnRecord>) -> StoreCall {
        StoreCall::Close {
            version,
            record: self.record.clone(),
            earlier,
            settle: self.settle.cloned(),
        }
    }

    /// Turns of the chain, by id.
    fn earlier(&self, ids: &[String]) -> Vec<TurnRecord> {
        let asked = self.chain.iter().filter(|turn| ids.contains(&turn.id));
        asked.map(|turn| TurnRecord::clone(turn)).collect()
    }
}

impl TurnBank {
    /// Keeps a turn with a majority of its program's group and settles it; true once all of these have
    /// synced it. Whoever is slow or away is helped by the group's others.
    pub async fn close(&self, c: TurnClose, until: Instant) -> bool {
        let TurnClose { record, chain, tokens, claim } = c;
        let settle = claim.as_ref().map(|c| c.settle(tokens, true));
        if let Some(c) = &claim {
            self.end_lease(c.req);
        }
        let program = record.program.clone();
        let record = Arc::new(record);
        let kept = KeptTurn { record: &record, chain: &chain, settle: settle.as_ref() };
        loop {
            let set = self.set();
            if set.placed() > 0 {
                let note = settle
                    .clone()
                    .map(|write| StoreCall::Notify { program: program.clone(), write });
                if self.close_under(&set, &kept, note.as_ref(), until).await {
                    locked(&self.cache).put(record.clone(), Some(Instant::now()));
                    return true;
                }
            }
            if Instant::now() >= until {
                return false;
            }
            tokio::time::sleep(AGAIN.min(until.saturating_duration_since(Instant::now()))).await;
        }
    }

    async fn close_under(
        &self,
        set: &StoreSet,
        turn: &KeptTurn<'_>,
        settle: Option<&StoreCall>,
        until: Instant,
    ) -> bool {
        let row = self.row(set, &turn.record.program);
        let quorum = set.quorum();
        let without_chain = encode(&turn.call(set.version, Vec::new()));
        let call = |e: &StoreEntry| {
            let (link, id) = (self.link(&e.addr), e.id);
            let (first, version) = (without_chain.clone(), set.version);
            async move {
                match link.call(first, CALL).await {
                    Ok(StoreReply::Lacks(ids)) => {
                        let whole = encode(&turn.call(version, turn.earlier(&ids)));
                        (id, link.call(whole, CALL).await)
                    }
                    reply => (id, reply),
                }
            }
        };
        let mut work = FuturesUnordered::new();
        let mut rest: VecDeque<&StoreEntry> = row.iter().copied().collect();
        for e in rest.drain(..quorum.min(row.len())) {
            work.push(call(e));
        }
        // The others learn what the turn came to, without the turn.
        if let Some(s) = settle {
            for e in &rest {
                self.link(&e.addr).caller.tell(s);
            }
        }
        let (mut kept, mut heard) = (0, Vec::new());
        let mut slow = Box::pin(tokio::time::sleep(SLOW_CLOSE));
        while kept < quorum {
            let next = tokio::select! {
                r = work.next() => r,
                _ = slow.as_mut(), if !rest.is_empty() => None,
                _ = tokio::time::sleep_until(until.into()) => return false,
            };
            match next {
                Some((id, Ok(StoreReply::Done))) => {
                    kept += 1;
                    heard.push(id);
                }
                Some((_, Ok(StoreReply::Stale(newer)))) => {
                    self.learn(newer);
                    return false;
                }
                Some((id, got)) => {
                    if let Ok(StoreReply::Behind) = got {
                        self.teach(set, id);
                    }
                    work.extend(rest.pop_front().map(call));
                }
                None if rest.is_empty() => return false,
                None => {
                    for e in row.iter().take(quorum).filter(|e| !heard.contains(&e.id)) {
                        self.link(&e.addr).suspect();
                    }
                    work.extend(rest.drain(..).map(call));
                }
            }
        }
        true
    }
}
