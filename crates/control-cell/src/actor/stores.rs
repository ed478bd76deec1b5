//! The store duty: what stores report of themselves, and orders to retire one.
use crate::duties::may_retire;
use crate::prelude::*;

#[derive(Default)]
pub(super) struct StoreReports {
    reports: HashMap<u64, Report>,
}

struct Report {
    status: StoreStatus,
    first: Instant,
    last: Instant,
}

/// What an order to retire a store, or a question about one, leads to.
pub(super) enum RetireStep {
    Answer(RetireState),
    Propose(Change),
}

impl StoreReports {
    pub fn announced(&mut self, status: StoreStatus) {
        let last = Instant::now();
        let first = self.reports.get(&status.id).map_or(last, |r| r.first);
        self.reports.insert(status.id, Report { status, first, last });
    }

    /// The next store set, if one is due.
    pub fn next(
        &self,
        set: &StoreSet,
        now: Instant,
        calm: Duration,
        tolerated: u32,
        bounds: &RecoveryBounds,
    ) -> Option<StoreSet> {
        let seen: Vec<StoreObservation> = self
            .reports
            .values()
            .map(|r| StoreObservation {
                status: r.status.clone(),
                silent: now.duration_since(r.last),
                known_for: now.duration_since(r.first),
            })
            .collect();
        next_stores(set, &seen, calm, tolerated, bounds)
    }
}

pub(super) fn retire_step(set: &StoreSet, store: &str, query_only: bool) -> RetireStep {
    let known = set.stores.iter().any(|s| s.name == store);
    RetireStep::Answer(match set.retirement(store) {
        Some(Retirement::Running) => RetireState::Running,
        Some(Retirement::Completed) => RetireState::Completed,
        None if query_only || !known => RetireState::Unknown,
        None if !may_retire(set) => RetireState::TooFew,
        None => {
            let change = Change::PutStores { base: set.version, set: set.begin_retirement(store) };
            return RetireStep::Propose(change);
        }
    })
}
