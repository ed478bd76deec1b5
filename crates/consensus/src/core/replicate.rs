//! A leader's rounds of contact, what it sends, and what the answers add up to.
use super::node::ConsensusNode;
use super::progress::{InFlight, Progress, Transfer};
use super::role::RoleEvent;
use super::types::Effect;
use crate::prelude::*;

impl ConsensusNode {
    pub(super) fn lead_tick(&mut self, now: Duration) {
        let Some(lead) = &mut self.lead else { return };
        let contact = lead.majority_contact(self.me, self.log.membership(), now);
        if now > contact + self.tuning.contact_bound() {
            self.step_down(now);
            return;
        }
        let bound = self.tuning.contact_bound();
        if lead.successor_named.is_some_and(|at| now > at + bound) {
            // It didn't take the lead: this leader goes on.
            lead.successor_named = None;
        }
        if now >= lead.next_heartbeat {
            self.contact(now);
        }
    }

    fn step_down(&mut self, now: Duration) {
        self.leader = None;
        self.go(RoleEvent::Yield);
        self.rest(now);
    }

    /// A round of contact with every follower.
    pub(super) fn contact(&mut self, now: Duration) {
        let ids = self.followers();
        let (beat, term, committed) = (self.tuning.heartbeat_interval, self.hard.term, self.commit);
        let Some(lead) = &mut self.lead else { return };
        let round = lead.begin_round(now, beat);
        lead.progress.retain(|id, _| ids.contains(id));
        for id in ids {
            let matched = self.progress(id).map_or(0, |p| p.matched);
            let commit = committed.min(matched);
            self.send(id, Msg::Heartbeat { term, commit, committed, round });
            self.send_log(id, now);
        }
    }

    fn followers(&self) -> Vec<u64> {
        let everybody = self.log.membership().all();
        everybody.iter().map(|m| m.id).filter(|id| *id != self.me).collect()
    }

    fn progress(&mut self, id: u64) -> Option<&mut Progress> {
        let last = self.log.last();
        let lead = self.lead.as_mut()?;
        Some(lead.progress.entry(id).or_insert_with(|| Progress::from(last)))
    }

    /// Sends everybody what they lack.
    pub(super) fn send_all_logs(&mut self, now: Duration) {
        for id in self.followers() {
            self.send_log(id, now);
        }
    }

    /// Sends what a follower lacks, unless something is under way to it.
    fn send_log(&mut self, id: u64, now: Duration) {
        let Some(progress) = self.progress(id) else { return };
        progress.expire(now);
        if progress.in_flight.is_some() {
            return;
        }
        if progress.transfer.is_some() {
            self.send_chunks(id, now);
            return;
        }
        let (next, matched) = (progress.next, progress.matched);
        match self.log.term_at(next - 1) {
            Some(term) if next <= self.log.last() || matched == 0 => {
                self.send_entries(id, LogPosition { term, index: next - 1 }, now);
            }
            Some(_) => {}
            // The follower needs what only the snapshot holds.
            None => self.begin_transfer(id, now),
        }
    }

    fn send_entries(&mut self, id: u64, prev: LogPosition, now: Duration) {
        let (entries, bytes) = self.batch(prev.index + 1);
        let through = prev.index + entries.len() as u64;
        let tuning = self.tuning.clone();
        let (term, commit) = (self.hard.term, self.commit);
        let Some(progress) = self.progress(id) else { return };
        let until = now + tuning.resend_after(bytes, progress.failures);
        progress.in_flight = Some(InFlight { through, until });
        self.send(id, Msg::Append { term, prev, entries, commit });
    }

    /// Entries from an index on, as many as one message may hold.
    fn batch(&self, from: u64) -> (Vec<Entry>, usize) {
        let mut entries = Vec::new();
        let mut bytes = 0;
        for entry in self.log.from(from) {
            let size = entry.body.size();
            if bytes + size > self.tuning.most_batch && !entries.is_empty() {
                break;
            }
            bytes += size;
            entries.push(entry.clone());
        }
        (entries, bytes)
    }

    fn begin_transfer(&mut self, id: u64, now: Duration) {
        let snapshot = Arc::new(self.log.snap.clone());
        let Some(progress) = self.progress(id) else { return };
        progress.transfer = Some(Transfer { snapshot, acknowledged: 0, sent: 0, until: now });
        self.send_chunks(id, now);
    }

    /// Fills the window of a running transfer.
    fn send_chunks(&mut self, id: u64, now: Duration) {
        let tuning = self.tuning.clone();
        let term = self.hard.term;
        loop {
            let Some(progress) = self.progress(id) else { return };
            let failures = progress.failures;
            let Some(t) = &mut progress.transfer else { return };
            let total = t.snapshot.data.len();
            let window = match failures {
                0 => tuning.chunk * tuning.chunk_window,
                _ => tuning.chunk,
            };
            // An empty snapshot is one empty chunk.
            let first = total == 0 && now >= t.until;
            let more = t.sent < total && t.sent < t.acknowledged + window;
            if !first && !more {
                return;
            }
            let end = total.min(t.sent + tuning.chunk);
            let chunk = SnapshotChunk {
                snapshot: t.snapshot.position(),
                membership: t.snapshot.membership.clone(),
                offset: t.sent as u64,
                total: total as u64,
                data: ByteBuf::from(&t.snapshot.data[t.sent..end]),
            };
            t.sent = end;
            t.until = now + tuning.resend_after(end - t.acknowledged, failures);
            self.send(id, Msg::Chunk { term, chunk });
        }
    }

    pub(super) fn heartbeat_reply(&mut self, from: u64, round: u64, now: Duration) {
        let bound = self.tuning.contact_bound();
        let Some(lead) = &mut self.lead else { return };
        let back = lead.round_answered(from, round, bound);
        self.count(now);
        if back {
            self.send_log(from, now);
        }
    }

    pub(super) fn append_reply(&mut self, from: u64, ok: bool, matched: u64, now: Duration) {
        let last = self.log.last();
        let Some(progress) = self.lead.as_mut().and_then(|l| l.progress.get_mut(&from)) else {
            return;
        };
        match ok {
            true => progress.accept(matched.min(last)),
            false => progress.reject(matched),
        }
        self.count(now);
        self.send_log(from, now);
    }

    pub(super) fn chunk_reply(
        &mut self,
        from: u64,
        snapshot: LogPosition,
        offset: u64,
        received: u64,
        now: Duration,
    ) {
        let Some(progress) = self.lead.as_mut().and_then(|l| l.progress.get_mut(&from)) else {
            return;
        };
        progress.chunk_answered(snapshot, offset, received);
        self.send_log(from, now);
    }

    /// Moves the commit on, ends a joint state, and confirms readers.
    pub(super) fn count(&mut self, now: Duration) {
        let last = self.log.last();
        let Some(lead) = &self.lead else { return };
        let reach = lead.majority_matched(self.me, self.log.membership(), last);
        if reach > self.commit && self.log.term_at(reach) == Some(self.hard.term) {
            self.advance(reach);
            // Followers apply a change as soon as it is agreed on.
            self.contact(now);
            if self.membership_committed(now) {
                return;
            }
        }
        self.confirm_readers();
    }

    /// Goes on with a change of members once its entry is committed. True when this leader was removed
    /// by it and has stepped down.
    fn membership_committed(&mut self, now: Duration) -> bool {
        if !self.membership_agreed() {
            return false;
        }
        let membership = self.log.membership();
        if membership.is_joint() {
            let settled = Membership { outgoing: Vec::new(), ..membership.clone() };
            self.place(Body::Membership(settled));
            self.send_all_logs(now);
            self.count(now);
            return !self.leads();
        }
        if !membership.is_voter(self.me) {
            self.step_down(now);
            return true;
        }
        false
    }

    fn confirm_readers(&mut self) {
        let commit = self.commit;
        let Some(lead) = &mut self.lead else { return };
        if commit < lead.first {
            return;
        }
        let round = lead.majority_round(self.me, self.log.membership());
        let first = lead.first;
        for reader in lead.take_confirmed(round) {
            let index = Some(reader.index.max(first));
            self.out.push(Effect::Confirmed { token: reader.token, index });
        }
    }
}
