//! The store duty: what stores tell of themselves, and orders to empty one.
use crate::duties::may_retire;
use crate::prelude::*;

#[derive(Default)]
pub(super) struct StoreDuty {
    reports: HashMap<u64, Report>,
}

struct Report {
    status: StoreStatus,
    at: Instant,
}

/// What an order to empty a store, or a question about one, leads to.
pub(super) enum RetireStep {
    Answer(RetireState),
    Propose(Change),
}

impl StoreDuty {
    pub fn announced(&mut self, status: StoreStatus) {
        self.reports.insert(status.id, Report { status, at: Instant::now() });
    }

    /// The next store set, if one is due.
    pub fn next(
        &self,
        set: &StoreSet,
        now: Instant,
        calm: Duration,
        tolerated: u32,
    ) -> Option<StoreSet> {
        let seen: Vec<StoreObservation> = self
            .reports
            .values()
            .map(|r| StoreObservation {
                status: r.status.clone(),
                silent: now.duration_since(r.at),
            })
            .collect();
        next_stores(set, &seen, calm, tolerated)
    }
}

pub(super) fn retire_step(set: &StoreSet, store: &str, ask_only: bool) -> RetireStep {
    let found = set.stores.iter().find(|s| s.name == store).map(|s| s.state);
    let known = set.emptied.iter().any(|n| n == store);
    RetireStep::Answer(match found {
        Some(StoreState::Leaving) => RetireState::Running,
        Some(_) if ask_only => RetireState::Unknown,
        Some(_) if !may_retire(set) => RetireState::TooFew,
        Some(_) => return RetireStep::Propose(leave(set, store)),
        None if known => RetireState::Completed,
        None => RetireState::Unknown,
    })
}

fn leave(set: &StoreSet, store: &str) -> Change {
    let base = set.version;
    let next = set.next(|n| {
        for s in n.stores.iter_mut().filter(|s| s.name == store) {
            s.state = StoreState::Leaving;
            s.since = base + 1;
        }
    });
    Change::PutStores { base, set: next }
}
