//! What only a leader does: rounds of contact, counting, reads, member changes, handing over.
use super::machine::{ConsensusNode, Effect};
use super::role::RoleEvent;
use crate::prelude::*;

#[derive(Debug, Clone)]
pub struct Peer {
    /// The next entry to send.
    pub next: u64,
    pub matched: u64,
    /// The newest round it answered.
    pub round: u64,
    pub heard: Duration,
    /// Entries up to here are under way since then.
    pub sent: Option<(u64, Duration)>,
}

/// Invariants: a reader is confirmed only by answers to a round that began after it came, and only
/// once an entry of this term is committed (`first` is the term's first entry).
#[derive(Debug, Clone)]
pub struct LeaderState {
    pub peers: BTreeMap<u64, Peer>,
    pub round: u64,
    pub first: u64,
    pub next_beat: Duration,
    pub began: Duration,
    /// (token, round that must be answered, index to read at).
    pub readers: Vec<(u64, u64, u64)>,
}

impl LeaderState {
    /// The newest moment at which a majority had been heard.
    pub fn majority_contact(&self, me: u64, members: &[Member]) -> Option<Duration> {
        let mut at: Vec<Duration> = members
            .iter()
            .map(|m| match self.peers.get(&m.id) {
                _ if m.id == me => Duration::MAX,
                Some(p) => p.heard,
                None => Duration::ZERO,
            })
            .collect();
        at.sort_unstable_by(|a, b| b.cmp(a));
        let need = members.len() / 2;
        at.get(need).map(|t| if *t == Duration::MAX { self.next_beat } else { *t })
    }
}

const RESEND: Duration = Duration::from_millis(600);

impl ConsensusNode {
    pub(super) fn begin_lead(&mut self, now: Duration) {
        self.leader = Some(self.me);
        let last = self.log.last();
        self.lead = Some(LeaderState {
            peers: BTreeMap::new(),
            round: 0,
            first: last + 1,
            next_beat: now,
            began: now,
            readers: Vec::new(),
        });
        self.place(Body::Noop);
        self.contact(now);
        self.count(now);
    }

    fn others(&self) -> Vec<u64> {
        self.log.members().iter().map(|m| m.id).filter(|i| *i != self.me).collect()
    }

    fn place(&mut self, body: Body) -> (u64, u64) {
        let e = Entry { index: self.log.last() + 1, term: self.hard.term, body };
        let at = (e.index, e.term);
        self.log.entries.push(e.clone());
        self.out.push(Effect::SaveEntries { from: e.index, entries: vec![e] });
        at
    }

    pub(super) fn lead_tick(&mut self, now: Duration) {
        let high = self.tuning.election_high;
        let members = self.log.members().to_vec();
        let me = self.me;
        let Some(lead) = &self.lead else { return };
        let heard = lead.majority_contact(me, &members).unwrap_or(Duration::ZERO).max(lead.began);
        if members.len() > 1 && now > heard + high {
            self.leader = None;
            self.go(RoleEvent::Yield);
            self.rest(now);
            return;
        }
        if now >= lead.next_beat {
            self.contact(now);
        }
    }

    /// A round of contact with every follower.
    pub(super) fn contact(&mut self, now: Duration) {
        let beat = self.tuning.beat;
        let Some(lead) = &mut self.lead else { return };
        lead.round += 1;
        lead.next_beat = now + beat;
        let ids = self.others();
        if let Some(lead) = &mut self.lead {
            lead.peers.retain(|id, _| ids.contains(id));
        }
        for id in ids {
            self.send_to(id, now, true);
        }
    }

    fn send_to(&mut self, id: u64, now: Duration, always: bool) {
        let last = self.log.last();
        let most = self.tuning.most_batch;
        let Some(lead) = &mut self.lead else { return };
        let (round, began) = (lead.round, lead.began);
        let p = lead.peers.entry(id).or_insert(Peer {
            next: last.max(1),
            matched: 0,
            round: 0,
            heard: began,
            sent: None,
        });
        if let Some((_, at)) = p.sent {
            if now >= at + RESEND {
                p.sent = None;
                p.next = p.matched + 1;
            }
        }
        let busy = p.sent.is_some();
        if busy && !always {
            return;
        }
        let (term, commit) = (self.hard.term, self.commit);
        let Some(prev_term) = self.log.term_at(p.next - 1) else {
            // The follower needs what only the snapshot holds.
            let msg = if busy {
                let prev = self.log.snap.index;
                let prev_term = self.log.snap.term;
                Msg::Append { term, prev, prev_term, entries: Vec::new(), commit: 0, round }
            } else {
                p.sent = Some((self.log.snap.index, now));
                Msg::Install { term, snap: self.log.snap.clone(), round }
            };
            self.out.push(Effect::Send { to: id, msg });
            return;
        };
        let mut entries = Vec::new();
        if !busy {
            let mut size = 0;
            for e in self.log.from(p.next) {
                size += match &e.body {
                    Body::Command(c) => c.len(),
                    _ => 64,
                };
                if size > most && !entries.is_empty() {
                    break;
                }
                entries.push(e.clone());
            }
            if !entries.is_empty() {
                p.sent = Some((p.next + entries.len() as u64 - 1, now));
            }
        }
        let prev = p.next - 1;
        // Under way or not, a beat claims only what the follower is known to hold.
        let msg = Msg::Append { term, prev, prev_term, entries, commit, round };
        self.out.push(Effect::Send { to: id, msg });
    }

    pub(super) fn append_reply(
        &mut self,
        from: u64,
        ok: bool,
        matched: u64,
        round: u64,
        now: Duration,
    ) {
        let last = self.log.last();
        let Some(lead) = &mut self.lead else { return };
        let Some(p) = lead.peers.get_mut(&from) else {
            return;
        };
        p.heard = now;
        p.round = p.round.max(round);
        if ok {
            p.matched = p.matched.max(matched.min(last));
            if p.sent.is_some_and(|(end, _)| p.matched >= end) {
                p.sent = None;
            }
            if p.sent.is_none() {
                p.next = p.matched + 1;
            }
        } else {
            p.sent = None;
            p.next = (matched + 1).min(p.next.saturating_sub(1)).max(p.matched + 1).max(1);
        }
        let more = p.next <= last && p.sent.is_none();
        self.count(now);
        if more {
            self.send_to(from, now, false);
        }
    }

    /// Moves the commit on and confirms readers.
    pub(super) fn count(&mut self, now: Duration) {
        let members = self.log.members().to_vec();
        let me = self.me;
        let last = self.log.last();
        let Some(lead) = &self.lead else { return };
        let nth = |mut v: Vec<u64>| -> u64 {
            v.sort_unstable_by(|a, b| b.cmp(a));
            v.get(members.len() / 2).copied().unwrap_or(0)
        };
        let reach = nth(members
            .iter()
            .map(|m| if m.id == me { last } else { lead.peers.get(&m.id).map_or(0, |p| p.matched) })
            .collect());
        let round =
            nth(members
                .iter()
                .map(|m| {
                    if m.id == me {
                        u64::MAX
                    } else {
                        lead.peers.get(&m.id).map_or(0, |p| p.round)
                    }
                })
                .collect());
        let round = if round == u64::MAX { lead.round } else { round };
        if reach > self.commit && self.log.term_at(reach) == Some(self.hard.term) {
            self.advance(reach);
            // Followers apply a change as soon as it is agreed on.
            self.contact(now);
            if !self.is_member() {
                self.leader = None;
                self.go(RoleEvent::Yield);
                return;
            }
        }
        let commit = self.commit;
        let Some(lead) = &mut self.lead else { return };
        if commit < lead.first {
            return;
        }
        let mut done = Vec::new();
        lead.readers.retain(|(token, need, index)| {
            let ready = round >= *need;
            if ready {
                done.push((*token, (*index).max(lead.first)));
            }
            !ready
        });
        for (token, index) in done {
            self.out.push(Effect::Confirmed { token, index: Some(index) });
        }
    }

    pub(super) fn propose(&mut self, token: u64, body: Body, now: Duration) {
        // One member change at a time, and none before this term's first entry is committed.
        let early = match (&body, &self.lead) {
            (_, None) => true,
            (Body::Members(_), Some(l)) => {
                self.commit < l.first || self.log.members_index() > self.commit
            }
            _ => false,
        };
        if early {
            self.out.push(Effect::Appended { token, at: None });
            return;
        }
        let at = self.place(body);
        self.out.push(Effect::Appended { token, at: Some(at) });
        let ids = self.others();
        for id in ids {
            self.send_to(id, now, false);
        }
        self.count(now);
    }

    pub(super) fn confirm(&mut self, token: u64, now: Duration) {
        let commit = self.commit;
        match &mut self.lead {
            None => self.out.push(Effect::Confirmed { token, index: None }),
            Some(l) => {
                l.readers.push((token, l.round + 1, commit));
                self.contact(now);
                self.count(now);
            }
        }
    }

    pub(super) fn hand_over(&mut self, now: Duration) {
        let Some(lead) = &self.lead else { return };
        let best = self
            .log
            .members()
            .iter()
            .filter_map(|m| lead.peers.get(&m.id).map(|p| (p.matched, p.heard, m.id)))
            .max();
        if let Some((matched, _, id)) = best {
            if matched == self.log.last() {
                let msg = Msg::TakeLead { term: self.hard.term };
                self.out.push(Effect::Send { to: id, msg });
            } else {
                self.send_to(id, now, false);
            }
        }
    }
}
