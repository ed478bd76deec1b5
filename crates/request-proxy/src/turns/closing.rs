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
    /// The turns before it, where these were another program's.
    pub foreign: Vec<Arc<TurnRecord>>,
    pub tokens: u32,
    pub claim: Option<Claim>,
}

impl TurnBank {
    /// Keeps a turn with a majority of its program's group and settles it; true once all of these have
    /// synced it. Whoever is slow or away is helped by the group's others.
    pub async fn close(&self, c: TurnClose, until: Instant) -> bool {
        let TurnClose { record, foreign, tokens, claim } = c;
        let settle = claim.as_ref().map(|c| c.settle(tokens, true));
        if let Some(c) = &claim {
            self.let_go(c.req);
        }
        let program = record.program.clone();
        let record = Arc::new(record);
        loop {
            let set = self.set();
            if set.seated() > 0 {
                let q = StoreCall::Close {
                    version: set.version,
                    record: TurnRecord::clone(&record),
                    foreign: foreign.iter().map(|r| TurnRecord::clone(r)).collect(),
                    settle: settle.clone(),
                };
                let note =
                    settle.clone().map(|write| StoreCall::Note { program: program.clone(), write });
                if self.close_under(&set, &program, encode(&q), note.as_ref(), until).await {
                    locked(&self.cache).put(record, Some(Instant::now()));
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
        program: &str,
        q: Bytes,
        settle: Option<&StoreCall>,
        until: Instant,
    ) -> bool {
        let row = self.row(set, program);
        let quorum = set.quorum();
        let call = |e: &StoreEntry| {
            let (link, q, id) = (self.link(&e.addr), q.clone(), e.id);
            async move { (id, link.call(q, CALL).await) }
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
