//! Leases this node holds.
use crate::prelude::*;

struct Lease {
    epoch: Epoch,
    lease: Duration,
    /// By the node's own clock, counted from when the last granted write was sent.
    until: Duration,
    next: Duration,
}

/// Invariant: `due` and `leases` hold the same requests, each once.
#[derive(Default)]
pub struct HeldLeases {
    leases: HashMap<u64, Lease>,
    due: BTreeSet<(Duration, u64)>,
}

impl HeldLeases {
    /// A claim or recovery sent at `sent` was granted by a majority.
    pub fn add(&mut self, req: u64, epoch: Epoch, lease: Duration, sent: Duration) {
        self.done(req);
        let next = sent + lease / 3;
        self.leases.insert(req, Lease { epoch, lease, until: sent + lease, next });
        self.due.insert((next, req));
    }

    /// The attempt has its terminal result, or was released. True when it was held.
    pub fn done(&mut self, req: u64) -> bool {
        let Some(l) = self.leases.remove(&req) else {
            return false;
        };
        self.due.remove(&(l.next, req))
    }

    /// The renewals to send now: each lease every third of its length.
    pub fn tick(&mut self, now: Duration) -> Vec<LedgerWrite> {
        let mut out = Vec::new();
        while let Some((at, req)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, req));
            if let Some(l) = self.leases.get_mut(&req) {
                l.next = now + l.lease / 3;
                self.due.insert((l.next, req));
                out.push(LedgerWrite::Renew { req, epoch: l.epoch, lease: l.lease });
            }
        }
        out
    }

    /// When `tick` has something to do.
    pub fn next(&self) -> Option<Duration> {
        self.due.first().map(|(at, _)| *at)
    }

    /// A majority granted the renewal sent at `sent`.
    pub fn renewed(&mut self, req: u64, sent: Duration) {
        if let Some(l) = self.leases.get_mut(&req) {
            l.until = l.until.max(sent + l.lease);
        }
    }

    /// A majority refused a renewal: authority is lost. True when it was held until now.
    pub fn refused(&mut self, req: u64) -> bool {
        self.done(req)
    }

    /// Attempts whose renewals found no majority for a whole lease: authority can't be presumed.
    pub fn expired(&mut self, now: Duration) -> Vec<u64> {
        let over = self.leases.iter().filter(|(_, l)| l.until <= now).map(|(r, _)| *r);
        let over: Vec<u64> = over.collect();
        for req in &over {
            self.done(*req);
        }
        over
    }

    pub fn epoch(&self, req: u64) -> Option<Epoch> {
        self.leases.get(&req).map(|l| l.epoch)
    }

    pub fn len(&self) -> usize {
        self.leases.len()
    }

    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }
}
