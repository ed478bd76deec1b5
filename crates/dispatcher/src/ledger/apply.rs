//! The writes, one by one.
use crate::prelude::*;

use super::has_lapsed;

fn refused(outcome: WriteOutcome) -> Applied {
    Applied { outcome, log: None }
}

fn settled(r: &AttemptRecord) -> Option<WriteOutcome> {
    let s = r.settlement.filter(|_| r.is_settled())?;
    Some(WriteOutcome::AlreadySettled {
        epoch: s.epoch,
        tokens: s.tokens,
        stopped: r.is_stopped(),
        call: r.call.clone(),
    })
}

impl ProgramLedger {
    /// Applies a write at this store's elapsed time `now`. Repeats change nothing. What `log` holds
    /// must be on disk before the outcome is told.
    pub fn apply(
        &mut self,
        w: &LedgerWrite,
        now: Duration,
        incarnations: &Incarnations,
    ) -> Applied {
        match w {
            LedgerWrite::Claim { attempt, lease } => self.claim(attempt, *lease, now),
            LedgerWrite::RecordCall { req, epoch, send, engine } => {
                self.mark(*req, CallPoint(*epoch, *send), engine, now)
            }
            LedgerWrite::Renew { req, epoch, lease } => {
                refused(self.renew(*req, *epoch, *lease, now))
            }
            LedgerWrite::Recover { req, epoch, node, incarnation, session, most, lease } => {
                let s = Segment {
                    epoch: *epoch,
                    node: *node,
                    incarnation: *incarnation,
                    called: false,
                    recovered: true,
                    relaunched: false,
                };
                let mut part = AttemptRecord::stub(*req);
                (part.session, part.most) = (*session, *most);
                self.recover(part, s, *lease, now, incarnations)
            }
            LedgerWrite::Release { req, epoch } => refused(self.release(*req, *epoch)),
            LedgerWrite::Settle { req, epoch, tokens, stopped, call } => {
                let call = call.as_ref().filter(|_| !*stopped);
                self.settle(*req, *epoch, *tokens, *stopped, call, now)
            }
            LedgerWrite::ConfirmStopped { req, expected_epoch, call } => {
                self.confirm_stopped(*req, *expected_epoch, *call, now)
            }
            LedgerWrite::Merge(part) => {
                let log = self.take_in(part, now, false).then(|| part.clone());
                Applied { outcome: WriteOutcome::Merged, log }
            }
        }
    }

    /// May this replica say "granted" to an epoch its record already has? Only when it granted it
    /// before, or surely never granted another one: a record that came from elsewhere, or of which a
    /// former life may have granted more, doesn't tell.
    fn regrants(&self, req: u64, epoch: Epoch) -> bool {
        self.rows.get(&req).is_some_and(|r| {
            let l = &r.local;
            l.granted == epoch || (l.granted == Epoch::NONE && !l.replayed)
        })
    }

    fn claim(&mut self, a: &NewAttempt, lease: Duration, now: Duration) -> Applied {
        let epoch = a.epoch();
        if let Some(row) = self.rows.get(&a.req) {
            if let Some(done) = settled(&row.record) {
                return refused(done);
            }
            if row.record.epoch() != epoch || !self.regrants(a.req, epoch) {
                return refused(WriteOutcome::Fenced { epoch: row.record.epoch() });
            }
        }
        let of_session = self.records().filter(|r| r.session == a.session && r.req != a.req);
        let next = of_session.map(|r| r.number).max().unwrap_or(0) + 1;
        let mut part = a.record();
        part.number = part.number.max(next);
        let had = self.record(a.req).map(|r| r.number);
        if let Some(n) = had.filter(|n| *n > 0) {
            part.number = n;
        }
        let changed = self.take_in(&part, now, false);
        let Some(row) = self.rows.get_mut(&a.req) else {
            return refused(WriteOutcome::Unknown);
        };
        if row.local.granted != epoch {
            row.local.granted = epoch;
            let copied = row.local.until.filter(|_| had.is_some());
            row.local.until = copied.max(Some(now + lease));
        }
        let outcome = WriteOutcome::Claimed { number: row.record.number };
        Applied { outcome, log: changed.then_some(part) }
    }

    fn mark(&mut self, req: u64, at: CallPoint, engine: &str, now: Duration) -> Applied {
        let Some(row) = self.rows.get(&req) else {
            return refused(WriteOutcome::Unknown);
        };
        let r = &row.record;
        if at.0 < r.epoch() {
            return refused(WriteOutcome::Fenced { epoch: r.epoch() });
        }
        if let Some(done) = settled(r) {
            return refused(done);
        }
        let Some(mut s) = r.segments.last().copied().filter(|s| s.epoch == at.0) else {
            return refused(WriteOutcome::Unknown);
        };
        s.relaunched |= s.recovered && r.call.as_ref().is_none_or(|c| c.at.0 < at.0);
        s.called = true;
        let mut part = r.part();
        part.call = Some(Call { at, engine: engine.to_string() });
        part.segment(s);
        let changed = self.take_in(&part, now, false);
        Applied { outcome: WriteOutcome::CallRecorded, log: changed.then_some(part) }
    }

    fn renew(&mut self, req: u64, epoch: Epoch, lease: Duration, now: Duration) -> WriteOutcome {
        let Some(row) = self.rows.get_mut(&req) else {
            return WriteOutcome::Unknown;
        };
        match settled(&row.record) {
            _ if epoch < row.record.epoch() => WriteOutcome::Fenced { epoch: row.record.epoch() },
            Some(done) => done,
            _ if epoch > row.record.epoch() => WriteOutcome::Unknown,
            _ => match row.local.until.filter(|u| now < *u) {
                None => WriteOutcome::Expired,
                Some(u) => {
                    row.local.until = Some(u.max(now + lease));
                    WriteOutcome::Renewed
                }
            },
        }
    }

    fn recover(
        &mut self,
        mut part: AttemptRecord,
        s: Segment,
        lease: Duration,
        now: Duration,
        incarnations: &Incarnations,
    ) -> Applied {
        let req = part.req;
        if let Some(row) = self.rows.get(&req) {
            let r = &row.record;
            if let Some(done) = settled(r) {
                return refused(done);
            }
            let again = s.epoch == r.epoch() && self.regrants(req, s.epoch);
            if s.epoch <= r.epoch() && !again {
                return refused(WriteOutcome::Fenced { epoch: r.epoch() });
            }
            if !again && !has_lapsed(row, now, incarnations) {
                return refused(WriteOutcome::LeaseActive);
            }
            part.join(r);
        }
        let (call, most) = (part.call.clone(), part.most);
        part.segment(s);
        let changed = self.take_in(&part, now, false);
        if let Some(row) = self.rows.get_mut(&req).filter(|r| r.local.granted != s.epoch) {
            row.local.granted = s.epoch;
            row.local.until = Some(now + lease);
        }
        Applied { outcome: WriteOutcome::Recovered { call, most }, log: changed.then_some(part) }
    }

    fn release(&mut self, req: u64, epoch: Epoch) -> WriteOutcome {
        match self.rows.get_mut(&req) {
            None => WriteOutcome::Unknown,
            Some(row) if epoch != row.record.epoch() => {
                WriteOutcome::Fenced { epoch: row.record.epoch() }
            }
            Some(row) => {
                row.local.until = None;
                WriteOutcome::Released
            }
        }
    }

    fn settle(
        &mut self,
        req: u64,
        epoch: Option<Epoch>,
        tokens: u32,
        stopped: bool,
        call: Option<&Call>,
        now: Duration,
    ) -> Applied {
        let epoch = epoch.unwrap_or(Epoch::ANY_FIRST);
        let mut part = AttemptRecord::stub(req);
        let mut had = None;
        if let Some(r) = self.record(req) {
            // The claim's holder has lost its authority: the attempt is the recoverer's to settle.
            if epoch < r.epoch() {
                return refused(WriteOutcome::Fenced { epoch: r.epoch() });
            }
            part = r.part();
            if let Outcome::Settled { tokens } = r.outcome() {
                had = Some(tokens);
            }
            let s = r.segments.last().copied().filter(|s| s.recovered && tokens == 0);
            if let Some(s) = s.filter(|_| r.call.is_none() && had.is_none()) {
                part.segment(Segment { relaunched: true, ..s });
            }
        }
        if had.is_none() {
            part.settlement = Some(Settlement { epoch, tokens });
            part.call = call.cloned();
        }
        if stopped {
            part.stop = Some(CallPoint::all_of(epoch));
        }
        let changed = self.take_in(&part, now, false);
        let outcome = WriteOutcome::Settled { tokens: had.unwrap_or(tokens) };
        Applied { outcome, log: changed.then_some(part) }
    }

    fn confirm_stopped(
        &mut self,
        req: u64,
        epoch: Epoch,
        call: CallPoint,
        now: Duration,
    ) -> Applied {
        let Some(r) = self.record(req) else {
            return refused(WriteOutcome::Unknown);
        };
        if epoch != r.epoch() {
            return refused(WriteOutcome::Fenced { epoch: r.epoch() });
        }
        let mut part = r.part();
        part.stop = Some(call);
        let changed = self.take_in(&part, now, false);
        Applied { outcome: WriteOutcome::Stopped, log: changed.then_some(part) }
    }
}
