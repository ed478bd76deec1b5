//! The state machine of one cell.
use super::lead::LeaderState;
use super::log::TermLog;
use super::role::{Role, RoleEvent, RoleState};
use crate::prelude::*;

/// What must be on disk before anything that follows from it is said.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    pub term: u64,
    pub voted: Option<u64>,
}

#[derive(Debug, Clone)]
pub struct Tuning {
    pub beat: Duration,
    pub election_low: Duration,
    pub election_high: Duration,
    /// The first wait after a start: when all begin together nobody has heard a leader, and a leader
    /// that lives is protected by the question asked before an election.
    pub first_low: Duration,
    pub first_high: Duration,
    pub most_batch: usize,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            beat: Duration::from_millis(110),
            election_low: Duration::from_millis(400),
            election_high: Duration::from_millis(700),
            first_low: Duration::from_millis(120),
            first_high: Duration::from_millis(360),
            most_batch: 6 << 20,
        }
    }
}

#[derive(Debug, Clone)]
pub enum Event {
    Tick,
    Received {
        from: u64,
        msg: Msg,
    },
    Propose {
        token: u64,
        body: Body,
    },
    /// Confirm leadership for a reader.
    Confirm {
        token: u64,
    },
    /// Hand the lead to the follower that is furthest on.
    HandOver,
    /// The owner has put everything up to `index` into `data`.
    Compact {
        index: u64,
        data: ByteBuf,
    },
}

/// Effects in the order they must be carried out: what is saved comes before what is sent.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    SaveHardState(HardState),
    /// The log from `from` on is replaced by these entries.
    SaveEntries {
        from: u64,
        entries: Vec<Entry>,
    },
    SaveSnapshot(Snapshot),
    Send {
        to: u64,
        msg: Msg,
    },
    Apply(Entry),
    Restore(Snapshot),
    /// A proposal's place in the log, or none when this cell can't take it.
    Appended {
        token: u64,
        at: Option<(u64, u64)>,
    },
    /// A read may be served once this index is applied; none when it can't be confirmed.
    Confirmed {
        token: u64,
        index: Option<u64>,
    },
    RoleIs(RoleState),
}

/// Invariants: a vote is given once a term and saved before it is said; entries at or below `commit`
/// never change; `applied <= commit <= log.last()`; only a leader has `lead`.
pub struct ConsensusNode {
    pub me: u64,
    pub hard: HardState,
    pub log: TermLog,
    pub commit: u64,
    pub applied: u64,
    pub leader: Option<u64>,
    pub tuning: Tuning,
    pub(super) role: InitializedStateMachine<Role>,
    pub(super) lead: Option<LeaderState>,
    pub(super) votes: BTreeSet<u64>,
    pub(super) deadline: Duration,
    pub(super) last_leader_contact: Option<Duration>,
    pub(super) seed: u64,
    pub(super) out: Vec<Effect>,
}

impl ConsensusNode {
    pub fn new(me: u64, hard: HardState, log: TermLog, tuning: Tuning, seed: u64) -> Self {
        let commit = log.snap.index;
        let mut a = ConsensusNode {
            me,
            hard,
            commit,
            applied: commit,
            log,
            leader: None,
            tuning,
            role: Role.uninitialized_state_machine().init(),
            lead: None,
            votes: BTreeSet::new(),
            deadline: Duration::ZERO,
            last_leader_contact: None,
            seed,
            out: Vec::new(),
        };
        let c = a.chance();
        a.deadline = a.tuning.first_low + (a.tuning.first_high - a.tuning.first_low).mul_f64(c);
        a
    }

    pub fn role(&self) -> &RoleState {
        self.role.state()
    }

    pub fn leads(&self) -> bool {
        matches!(self.role.state(), RoleState::Leader {})
    }

    pub fn is_member(&self) -> bool {
        self.log.members().iter().any(|m| m.id == self.me)
    }

    /// The newest sign of a majority: a follower's leader, or a leader's answered round.
    pub fn last_contact(&self) -> Option<Duration> {
        match &self.lead {
            Some(l) => l.majority_contact(self.me, self.log.members()),
            None => self.last_leader_contact.filter(|_| self.leader.is_some()),
        }
    }

    /// When each follower was last heard, on a leader.
    pub fn last_contact_with(&self, id: u64) -> Option<Duration> {
        self.lead.as_ref()?.peers.get(&id).map(|p| p.heard)
    }

    /// When `Tick` is next of use.
    pub fn next_tick(&self) -> Duration {
        match &self.lead {
            Some(l) => l.next_beat,
            None => self.deadline,
        }
    }

    pub fn handle(&mut self, ev: Event, now: Duration) -> Vec<Effect> {
        match ev {
            Event::Tick => self.tick(now),
            Event::Received { from, msg } => self.heard(from, msg, now),
            Event::Propose { token, body } => self.propose(token, body, now),
            Event::Confirm { token } => self.confirm(token, now),
            Event::HandOver => self.hand_over(now),
            Event::Compact { index, data } => self.compact(index, data),
        }
        std::mem::take(&mut self.out)
    }

    fn chance(&mut self) -> f64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 33) as f64 / (1u64 << 31) as f64
    }

    pub(super) fn rest(&mut self, now: Duration) {
        // Until a leader was heard once since the start, nobody is disturbed by asking soon again.
        let (low, high) = match self.last_leader_contact {
            None if !self.leads() => (self.tuning.first_low, self.tuning.first_high),
            _ => (self.tuning.election_low, self.tuning.election_high),
        };
        let c = self.chance();
        self.deadline = now + low + (high - low).mul_f64(c);
    }

    pub(super) fn go(&mut self, ev: RoleEvent) {
        let before = self.role.state().clone();
        self.role.handle(&ev);
        let after = self.role.state().clone();
        if before != after {
            if !matches!(after, RoleState::Leader {}) {
                if let Some(l) = self.lead.take() {
                    for (token, _, _) in l.readers {
                        self.out.push(Effect::Confirmed { token, index: None });
                    }
                }
            }
            self.out.push(Effect::RoleIs(after));
        }
    }

    fn tick(&mut self, now: Duration) {
        if self.leads() {
            self.lead_tick(now);
            return;
        }
        if now < self.deadline {
            return;
        }
        self.rest(now);
        if !self.is_member() {
            self.leader = None;
            return;
        }
        self.leader = None;
        self.go(RoleEvent::Silence);
        if !matches!(self.role(), RoleState::Asking {}) {
            // Already asking: ask again.
            self.go(RoleEvent::Yield);
            self.go(RoleEvent::Silence);
        }
        self.votes = BTreeSet::from([self.me]);
        let msg = Msg::PreVote {
            term: self.hard.term + 1,
            last: self.log.last(),
            last_term: self.log.last_term(),
        };
        self.send_all(msg);
        self.count_votes(now);
    }

    pub(super) fn send_all(&mut self, msg: Msg) {
        for m in self.log.members() {
            if m.id != self.me {
                self.out.push(Effect::Send { to: m.id, msg: msg.clone() });
            }
        }
    }

    fn stand(&mut self, now: Duration, forced: bool) {
        self.hard = HardState { term: self.hard.term + 1, voted: Some(self.me) };
        self.out.push(Effect::SaveHardState(self.hard));
        self.leader = None;
        self.votes = BTreeSet::from([self.me]);
        self.rest(now);
        let msg = Msg::Vote {
            term: self.hard.term,
            last: self.log.last(),
            last_term: self.log.last_term(),
            forced,
        };
        self.send_all(msg);
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Duration) {
        let members = self.log.members();
        let won = members.iter().filter(|m| self.votes.contains(&m.id)).count() > members.len() / 2;
        if !won {
            return;
        }
        match self.role() {
            RoleState::Asking {} => {
                self.go(RoleEvent::PreVotesWon);
                self.stand(now, false);
            }
            RoleState::Candidate {} => {
                self.go(RoleEvent::VotesWon);
                self.begin_lead(now);
            }
            _ => {}
        }
    }

    /// Takes up a newer term, as a follower.
    fn newer_term(&mut self, term: u64, now: Duration) {
        self.hard = HardState { term, voted: None };
        self.out.push(Effect::SaveHardState(self.hard));
        let was_lead = self.leads();
        self.go(RoleEvent::Yield);
        self.leader = None;
        if was_lead {
            self.rest(now);
        }
    }

    fn up_to_date(&self, last: u64, last_term: u64) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last())
    }

    fn heard(&mut self, from: u64, msg: Msg, now: Duration) {
        match msg {
            Msg::PreVote { term, last, last_term } => {
                let calm = self.leads()
                    || self.last_leader_contact.is_some_and(|t| now < t + self.tuning.election_low);
                let granted = term > self.hard.term && !calm && self.up_to_date(last, last_term);
                let reply = Msg::PreVoteReply { term: self.hard.term, granted };
                self.out.push(Effect::Send { to: from, msg: reply });
            }
            Msg::PreVoteReply { term, granted } => {
                if term > self.hard.term {
                    self.newer_term(term, now);
                } else if granted && matches!(self.role(), RoleState::Asking {}) {
                    self.votes.insert(from);
                    self.count_votes(now);
                }
            }
            Msg::Vote { term, last, last_term, forced } => {
                let calm =
                    self.last_leader_contact.is_some_and(|t| now < t + self.tuning.election_low);
                if calm && !forced && term > self.hard.term {
                    return;
                }
                if term > self.hard.term {
                    self.newer_term(term, now);
                }
                let granted = term == self.hard.term
                    && self.hard.voted.is_none_or(|v| v == from)
                    && self.up_to_date(last, last_term)
                    && !self.leads();
                if granted && self.hard.voted.is_none() {
                    self.hard.voted = Some(from);
                    self.out.push(Effect::SaveHardState(self.hard));
                    self.rest(now);
                }
                let reply = Msg::VoteReply { term: self.hard.term, granted };
                self.out.push(Effect::Send { to: from, msg: reply });
            }
            Msg::VoteReply { term, granted } => {
                if term > self.hard.term {
                    self.newer_term(term, now);
                } else if granted
                    && term == self.hard.term
                    && matches!(self.role(), RoleState::Candidate {})
                {
                    self.votes.insert(from);
                    self.count_votes(now);
                }
            }
            Msg::Append { term, prev, prev_term, entries, commit, round } => {
                if !self.follow(from, term, round, now) {
                    return;
                }
                self.append(from, prev, prev_term, entries, commit, round);
            }
            Msg::Install { term, snap, round } => {
                if !self.follow(from, term, round, now) {
                    return;
                }
                self.install(from, snap, round);
            }
            Msg::AppendReply { term, ok, matched, round } => {
                if term > self.hard.term {
                    self.newer_term(term, now);
                } else if term == self.hard.term && self.leads() {
                    self.append_reply(from, ok, matched, round, now);
                }
            }
            Msg::TakeLead { term } => {
                if term == self.hard.term && self.is_member() && !self.leads() {
                    self.go(RoleEvent::Named);
                    self.stand(now, true);
                }
            }
        }
    }

    /// True when `from` leads this term; answers an outdated leader.
    fn follow(&mut self, from: u64, term: u64, round: u64, now: Duration) -> bool {
        if term < self.hard.term {
            let reply = Msg::AppendReply { term: self.hard.term, ok: false, matched: 0, round };
            self.out.push(Effect::Send { to: from, msg: reply });
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

    fn append(
        &mut self,
        from: u64,
        prev: u64,
        prev_term: u64,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        let term = self.hard.term;
        let reply = |ok, matched| Effect::Send {
            to: from,
            msg: Msg::AppendReply { term, ok, matched, round },
        };
        let fits = prev <= self.log.snap.index || self.log.term_at(prev) == Some(prev_term);
        if !fits {
            let hint = self.log.last().min(prev.saturating_sub(1)).max(self.commit);
            self.out.push(reply(false, hint));
            return;
        }
        let end = prev + entries.len() as u64;
        let fresh: Vec<Entry> = entries
            .into_iter()
            .skip_while(|e| {
                e.index <= self.log.snap.index || self.log.term_at(e.index) == Some(e.term)
            })
            .collect();
        if let Some(first) = fresh.first() {
            let at = first.index;
            self.log.cut(at);
            self.log.entries.extend(fresh.iter().cloned());
            self.out.push(Effect::SaveEntries { from: at, entries: fresh });
        }
        let matched = end.max(self.log.snap.index);
        self.out.push(reply(true, matched));
        self.advance(commit.min(matched));
    }

    fn install(&mut self, from: u64, snap: Snapshot, round: u64) {
        let index = snap.index;
        if index > self.commit {
            if self.log.term_at(index) == Some(snap.term) {
                let keep = self.log.from(index + 1).to_vec();
                self.log = TermLog { snap: snap.clone(), entries: keep };
            } else {
                self.log = TermLog { snap: snap.clone(), entries: Vec::new() };
            }
            self.commit = index;
            self.applied = index;
            self.out.push(Effect::SaveSnapshot(snap.clone()));
            self.out.push(Effect::Restore(snap));
        }
        let msg = Msg::AppendReply {
            term: self.hard.term,
            ok: true,
            matched: index.max(self.log.snap.index),
            round,
        };
        self.out.push(Effect::Send { to: from, msg });
    }

    pub(super) fn advance(&mut self, commit: u64) {
        self.commit = self.commit.max(commit.min(self.log.last()));
        while self.applied < self.commit {
            self.applied += 1;
            match self.log.get(self.applied) {
                Some(e) => self.out.push(Effect::Apply(e.clone())),
                None => return,
            }
        }
    }

    fn compact(&mut self, index: u64, data: ByteBuf) {
        if index > self.applied || index <= self.log.snap.index {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let snap = Snapshot { index, term, members: self.log.members_at(index), data };
        self.log.entries = self.log.from(index + 1).to_vec();
        self.log.snap = snap.clone();
        self.out.push(Effect::SaveSnapshot(snap));
    }
}
