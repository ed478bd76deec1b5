//! Chains this proxy knows already: turns that were closed here, and those they went on from. Most lines
//! come back to the proxy that answered them last, and their history needn't cross the network again.
use crate::prelude::*;

struct Kept {
    record: Arc<TurnRecord>,
    /// When it was closed here; none for a turn brought from the stores.
    closed: Option<Instant>,
    stamp: u64,
}

/// Invariants: `bytes` sums what `turns` hold and stays below `most`; only turns that count are here,
/// and records never change.
pub struct ChainCache {
    turns: HashMap<String, Kept>,
    /// (stamp, id) in the order of use; one that isn't the kept one's stamp is out of date.
    order: VecDeque<(u64, String)>,
    bytes: usize,
    most: usize,
    next: u64,
}

fn size_of(r: &TurnRecord) -> usize {
    r.input.len() + r.output.len() + r.chain.len() * 40 + 400
}

impl ChainCache {
    /// `most` in bytes.
    pub fn new(most: usize) -> Self {
        ChainCache { turns: HashMap::new(), order: VecDeque::new(), bytes: 0, most, next: 0 }
    }

    pub fn put(&mut self, record: Arc<TurnRecord>, closed: Option<Instant>) {
        self.next += 1;
        let id = record.id.clone();
        let closed = closed.or_else(|| self.turns.get(&id).and_then(|k| k.closed));
        self.bytes += size_of(&record);
        self.order.push_back((self.next, id.clone()));
        if let Some(old) = self.turns.insert(id, Kept { record, closed, stamp: self.next }) {
            self.bytes -= size_of(&old.record);
        }
        while self.bytes > self.most || self.order.len() > 2 * self.turns.len() + 64 {
            let Some((stamp, id)) = self.order.pop_front() else { break };
            if self.turns.get(&id).is_some_and(|k| k.stamp == stamp) {
                if let Some(k) = self.turns.remove(&id) {
                    self.bytes -= size_of(&k.record);
                }
            }
        }
    }

    /// The whole chain up to `id`, oldest first, where that turn was closed here within its retention
    /// and nothing of it is missing. What is used stays longest.
    pub fn chain(&mut self, id: &str, now: Instant) -> Option<Vec<Arc<TurnRecord>>> {
        let last = self.turns.get(id)?;
        let kept = Duration::from_millis(last.record.keep_ms);
        if now.duration_since(last.closed?) >= kept {
            return None;
        }
        let ids = last.record.chain.iter().map(String::as_str).chain([id]);
        let chain: Option<Vec<Arc<TurnRecord>>> =
            ids.map(|i| self.turns.get(i).map(|k| k.record.clone())).collect();
        let chain = chain?;
        for r in &chain {
            self.next += 1;
            if let Some(k) = self.turns.get_mut(&r.id) {
                k.stamp = self.next;
                self.order.push_back((self.next, r.id.clone()));
            }
        }
        Some(chain)
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
