//! What a follower does with its leader's messages, and the log's end at the commit.
use super::leader::LeaderHeartbeat;
use super::node::ConsensusNode;
use super::role::RoleEvent;
use super::types::Effect;
use crate::prelude::*;

impl ConsensusNode {
    /// True when `from` leads this term; answers an outdated leader.
    pub(super) fn follows(&mut self, from: u64, term: u64, now: Duration) -> bool {
        if term < self.hard.term {
            let reply = Msg::AppendReply { term: self.hard.term, ok: false, matched: 0 };
            self.send(from, reply);
            return false;
        }
        if term > self.hard.term {
            self.newer_term(term, now);
        } else {
            self.go(RoleEvent::Yield);
        }
        self.leader = Some(from);
        self.last_leader_contact = Some(now);
        self.rest(now);
        true
    }

    pub(super) fn heartbeat(&mut self, from: u64, heartbeat: LeaderHeartbeat, now: Duration) {
        let LeaderHeartbeat { term, commit, committed, round } = heartbeat;
        if !self.follows(from, term, now) {
            return;
        }
        self.send(from, Msg::HeartbeatReply { term, round });
        self.advance(commit);
        if self.applied >= committed {
            self.caught_up_at = Some(now);
        }
    }

    pub(super) fn append(
        &mut self,
        from: u64,
        prev: LogPosition,
        entries: Vec<Entry>,
        commit: u64,
    ) {
        let term = self.hard.term;
        let fits =
            prev.index <= self.log.snap.index || self.log.term_at(prev.index) == Some(prev.term);
        if !fits {
            let before = self.log.last().min(prev.index.saturating_sub(1));
            let hint = before.max(self.commit);
            self.send(from, Msg::AppendReply { term, ok: false, matched: hint });
            return;
        }
        let matched = (prev.index + entries.len() as u64).max(self.log.snap.index);
        self.keep_new(entries);
        self.send(from, Msg::AppendReply { term, ok: true, matched });
        self.advance(commit.min(matched));
    }

    /// Keeps those entries that aren't here yet, in the place of others that were never agreed on.
    fn keep_new(&mut self, entries: Vec<Entry>) {
        let held =
            |e: &Entry| e.index <= self.log.snap.index || self.log.term_at(e.index) == Some(e.term);
        let fresh: Vec<Entry> = entries.into_iter().skip_while(held).collect();
        let Some(from) = fresh.first().map(|e| e.index) else { return };
        self.log.cut(from);
        self.log.entries.extend(fresh.iter().cloned());
        self.out.push(Effect::SaveEntries { from, entries: fresh });
    }

    pub(super) fn take_chunk(&mut self, from: u64, chunk: SnapshotChunk) {
        let term = self.hard.term;
        let index = chunk.snapshot.index;
        if index <= self.commit {
            self.send(from, Msg::AppendReply { term, ok: true, matched: index });
            return;
        }
        self.incoming.take(term, &chunk);
        let Some(snap) = self.incoming.finish(&chunk) else {
            let received = self.incoming.received();
            let (snapshot, offset) = (chunk.snapshot, chunk.offset);
            self.send(from, Msg::ChunkReply { term, snapshot, offset, received });
            return;
        };
        self.log.install(snap.clone());
        self.commit = index;
        self.applied = index;
        self.out.push(Effect::SaveSnapshot(snap.clone()));
        self.out.push(Effect::Restore(snap));
        self.send(from, Msg::AppendReply { term, ok: true, matched: index });
    }

    /// Moves the commit on and hands out what it reached.
    pub(super) fn advance(&mut self, commit: u64) {
        self.commit = self.commit.max(commit.min(self.log.last()));
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else { return };
            self.applied += 1;
            self.out.push(Effect::Apply(entry));
        }
    }

    pub(super) fn compact(&mut self, index: u64, data: ByteBuf) {
        if index > self.applied || index <= self.log.snap.index {
            return;
        }
        let Some(term) = self.log.term_at(index) else { return };
        let membership = self.log.membership_at(index).clone();
        let snap = Snapshot { index, term, membership, data };
        let (entries, bytes) = (self.tuning.retained_entries, self.tuning.retained_bytes);
        self.log.compact(snap.clone(), entries, bytes);
        self.out.push(Effect::SaveSnapshot(snap));
    }
}
