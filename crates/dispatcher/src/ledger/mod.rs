//! One program's attempts at one store.
mod apply;
mod incarnations;

use crate::prelude::*;
pub use incarnations::Incarnations;

/// What a replica knows by itself, in its own elapsed time; neither logged nor copied.
struct Local {
    /// The greatest epoch it granted in this life.
    granted: Epoch,
    /// The record came from the log: grants of an earlier life aren't known.
    replayed: bool,
    /// The lease's end; `None` after a release.
    until: Option<Duration>,
    /// When the attempt was first seen here.
    seen: Duration,
}

struct Row {
    record: AttemptRecord,
    local: Local,
}

/// Invariants: records only grow by `join`; an epoch older than a record's is refused; a lease's end
/// is never moved forward in time except by its holder's release or by a later epoch; `now` is the
/// time since this process began, and never wall time.
pub struct ProgramLedger {
    limits: Limits,
    rows: BTreeMap<u64, Row>,
}

impl ProgramLedger {
    /// Of `limits`, `lease` is what an unfinished attempt gets after a restart or a copy, `slack` what
    /// is added to pinned deadlines.
    pub fn new(limits: Limits) -> Self {
        ProgramLedger { limits, rows: BTreeMap::new() }
    }

    /// Takes what this store's own log held.
    pub fn replay(&mut self, part: &AttemptRecord, now: Duration) {
        self.take_in(part, now, true);
    }

    pub fn records(&self) -> impl Iterator<Item = &AttemptRecord> {
        self.rows.values().map(|r| &r.record)
    }

    pub fn record(&self, req: u64) -> Option<&AttemptRecord> {
        self.rows.get(&req).map(|r| &r.record)
    }

    /// Tokens put out, and those that may be yet.
    pub fn spent(&self) -> u64 {
        self.records().map(|r| u64::from(r.tokens())).sum()
    }

    /// What a reply to a claim carries.
    pub fn view(&self, now: Duration, incarnations: &Incarnations) -> ProgramView {
        let mut v = ProgramView::default();
        for row in self.rows.values() {
            let r = &row.record;
            // Only what surely covers all sends: this store may have missed some.
            let all = r.stop.is_some_and(|s| s.1 == u32::MAX && s.0.round() <= 1);
            let first = r.settlement.is_some_and(|s| s.epoch.round() <= 1);
            if all && first && r.is_settled() && r.is_stopped() && r.epoch().round() <= 1 {
                v.finished.0.push((r.req, r.tokens()));
                continue;
            }
            v.live.push(AttemptView {
                req: r.req,
                session: r.session,
                number: r.number,
                epoch: r.epoch(),
                most: r.most,
                call: r.call.clone(),
                settlement: r.settlement,
                stop: r.stop,
                lapsed: !r.is_settled() && has_lapsed(row, now, incarnations),
                passed: self.has_passed(row, now),
            });
        }
        v
    }

    /// Engines cease work at the deadline they are handed, nodes send nothing after it, and recovery
    /// keeps it. The client's time ran from before the claim, so nothing of it runs by now.
    fn has_passed(&self, row: &Row, now: Duration) -> bool {
        let d = Duration::from_millis(row.record.pinned.deadline_ms);
        !d.is_zero() && now >= row.local.seen + d + self.limits.slack
    }

    fn take_in(&mut self, part: &AttemptRecord, now: Duration, replayed: bool) -> bool {
        let lease = self.limits.lease;
        match self.rows.get_mut(&part.req) {
            None => {
                let local =
                    Local { granted: Epoch::NONE, replayed, until: Some(now + lease), seen: now };
                self.rows.insert(part.req, Row { record: part.clone(), local });
                true
            }
            Some(row) => {
                let epoch = row.record.epoch();
                let changed = row.record.join(part);
                row.local.replayed |= replayed;
                if row.record.epoch() != epoch {
                    row.local.until = Some(row.local.until.unwrap_or(now).max(now + lease));
                }
                changed
            }
        }
    }
}

/// Expired, released, or its node is known in a later life.
fn has_lapsed(row: &Row, now: Duration, incarnations: &Incarnations) -> bool {
    let ended = row.record.holder().is_some_and(|(n, i)| incarnations.has_ended(n, i));
    ended || row.local.until.is_none_or(|u| now >= u)
}
