//! Turns are looked for at every store, and fetched from those that hold them.
use super::bank::TurnBank;
use super::open::{OpenFault, OpenLedger, OpenStep};
use super::store_link::CALL;
use crate::prelude::*;

impl TurnBank {
    /// Looks for a turn at every store; none when the set has changed meanwhile.
    pub(super) async fn find_anywhere(
        &self,
        set: &StoreSet,
        id: &str,
    ) -> Result<Option<Vec<TurnRecord>>, OpenFault> {
        let q = encode(&StoreCall::Find { version: set.version, id: id.to_string() });
        let mut work: FuturesUnordered<_> = set
            .stores
            .iter()
            .map(|e| {
                let (link, q, id) = (self.link(&e.addr), q.clone(), e.id);
                async move { (id, link.call(q, CALL).await) }
            })
            .collect();
        let ids: Vec<u64> = set.stores.iter().map(|e| e.id).collect();
        let mut ledger = OpenLedger::search(set, ids.len());
        loop {
            match ledger.step(&ids) {
                OpenStep::Ready => return Ok(Some(ledger.chain())),
                OpenStep::Fault(f) => return Err(f),
                OpenStep::Fetch(at, turns) => {
                    ledger.bring(self.fetch(set, at, turns).await);
                    continue;
                }
                OpenStep::Wait | OpenStep::Search => {}
            }
            match work.next().await {
                Some((at, Ok(StoreReply::Found { caught_up, lookup, turns }))) => {
                    ledger.take(at, caught_up, true, (lookup, turns));
                }
                Some((_, Ok(StoreReply::Stale(newer)))) => {
                    self.learn(newer);
                    return Ok(None);
                }
                Some((at, got)) => {
                    if let Ok(StoreReply::Behind) = got {
                        self.teach(set, at);
                    }
                    ledger.fail();
                }
                None => return Err(OpenFault::Unsure),
            }
        }
    }

    /// What a store holds of these turns.
    pub(super) async fn fetch(&self, set: &StoreSet, at: u64, ids: Vec<String>) -> Vec<TurnRecord> {
        let Some(e) = set.find(at) else { return Vec::new() };
        let q = encode(&StoreCall::Fetch { ids });
        match self.link(&e.addr).call(q, CALL).await {
            Ok(StoreReply::Turns(t)) => t,
            _ => Vec::new(),
        }
    }

    /// Hands the set to a store that hasn't heard of it.
    pub(super) fn teach(&self, set: &StoreSet, id: u64) {
        if let Some(e) = set.find(id) {
            self.link(&e.addr).caller.tell(&StoreCall::Learn { set: set.clone() });
        }
    }
}
