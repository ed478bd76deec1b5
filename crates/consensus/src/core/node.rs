//! The state machine of one cell.
use super::incoming::IncomingSnapshot;
use super::leader::{LeaderHeartbeat, LeaderState};
use super::log::TermLog;
use super::progress::FollowerStatus;
use super::role::{Role, RoleEvent, RoleState};
use super::types::{Effect, Event, HardState, Tuning};
use crate::prelude::*;

/// Invariants: a vote is given once a term and saved before it is said; entries at or below `commit`
/// never change; `applied <= commit <= log.last()`; only a leader has `lead`.
pub struct ConsensusNode {
    /// This cell.
    pub me: u64,
    /// Term and vote.
    pub hard: HardState,
    /// The log.
    pub log: TermLog,
    /// Agreed on up to here.
    pub commit: u64,
    /// Handed to the driver up to here.
    pub applied: u64,
    /// Who leads `hard.term`, where that is known.
    pub leader: Option<u64>,
    /// Times and sizes.
    pub tuning: Tuning,
    pub(super) role: InitializedStateMachine<Role>,
    pub(super) lead: Option<LeaderState>,
    pub(super) incoming: IncomingSnapshot,
    pub(super) votes: BTreeSet<u64>,
    pub(super) deadline: Duration,
    pub(super) last_leader_contact: Option<Duration>,
    /// When this follower last held all that its leader said was committed.
    pub(super) caught_up_at: Option<Duration>,
    pub(super) clock: Duration,
    pub(super) seed: u64,
    pub(super) out: Vec<Effect>,
}

impl ConsensusNode {
    /// A cell that begins with what its disk held.
    pub fn new(me: u64, hard: HardState, log: TermLog, tuning: Tuning, seed: u64) -> Self {
        let commit = log.snap.index;
        let mut node = ConsensusNode {
            me,
            hard,
            commit,
            applied: commit,
            log,
            leader: None,
            tuning,
            role: Role.uninitialized_state_machine().init(),
            lead: None,
            incoming: IncomingSnapshot::default(),
            votes: BTreeSet::new(),
            deadline: Duration::ZERO,
            last_leader_contact: None,
            caught_up_at: None,
            clock: Duration::ZERO,
            seed,
            out: Vec::new(),
        };
        let spread = node.tuning.first_high - node.tuning.first_low;
        node.deadline = node.tuning.first_low + spread.mul_f64(node.chance());
        node
    }

    /// The role now.
    pub fn role(&self) -> &RoleState {
        self.role.state()
    }

    /// Whether this cell leads its term, as far as it knows.
    pub fn leads(&self) -> bool {
        matches!(self.role.state(), RoleState::Leader {})
    }

    /// Whether a leader may answer from its state and start duties: the first entry of its term is
    /// applied, so all that earlier terms agreed on is too; a majority answered a round sent within the
    /// contact bound; and no successor was named.
    pub fn ready_to_serve(&self, now: Duration) -> bool {
        let Some(lead) = &self.lead else { return false };
        let contact = lead.majority_contact(self.me, self.log.membership(), now);
        let in_contact = now <= contact + self.tuning.contact_bound();
        self.applied >= lead.first && in_contact && lead.successor_named.is_none()
    }

    /// The newest membership in the log is agreed on, as far as this node knows.
    pub fn membership_agreed(&self) -> bool {
        self.log.membership_index() <= self.commit
    }

    /// Whether this cell is in the membership, as a voter or a learner.
    pub fn is_member(&self) -> bool {
        self.log.membership().get(self.me).is_some()
    }

    /// The newest sign of a majority: a follower's leader, or the sending of a leader's answered round.
    pub fn last_contact(&self) -> Option<Duration> {
        match &self.lead {
            Some(l) => Some(l.majority_contact(self.me, self.log.membership(), self.clock)),
            None => self.last_leader_contact.filter(|_| self.leader.is_some()),
        }
    }

    /// The newest moment at which this cell is known to have held all that was committed: a leader's
    /// contact once the first entry of its term is applied, a follower's newest heartbeat whose
    /// committed index it had reached. A follower that hears its leader and isn't heard gets no entries,
    /// so contact alone proves nothing of its state.
    pub fn last_current(&self) -> Option<Duration> {
        match &self.lead {
            Some(l) if self.applied >= l.first => self.last_contact(),
            _ => self.caught_up_at,
        }
    }

    /// When a leader sent the newest round that this follower answered.
    pub fn last_contact_with(&self, id: u64) -> Option<Duration> {
        self.lead.as_ref()?.progress.get(&id)?.contact
    }

    /// How far a follower is, on its leader.
    pub fn follower(&self, id: u64) -> Option<FollowerStatus> {
        let lead = self.lead.as_ref()?;
        Some(lead.status(id, self.log.last(), self.clock, &self.tuning))
    }

    /// When `Tick` is next of use.
    pub fn next_tick(&self) -> Duration {
        match &self.lead {
            Some(l) => l.next_heartbeat,
            None => self.deadline,
        }
    }

    /// Takes one step.
    pub fn handle(&mut self, event: Event, now: Duration) -> Vec<Effect> {
        self.clock = self.clock.max(now);
        match event {
            Event::Tick => self.tick(now),
            Event::Received { from, msg } => self.received(from, msg, now),
            Event::Propose { token, body } => self.propose(token, body, now),
            Event::Confirm { token } => self.confirm(token, now),
            Event::HandOver { leaving } => self.hand_over(&leaving, now),
            Event::Compact { index, data } => self.compact(index, data),
        }
        std::mem::take(&mut self.out)
    }

    fn received(&mut self, from: u64, msg: Msg, now: Duration) {
        match msg {
            Msg::PreVote { term, last } => self.on_pre_vote_request(from, term, last, now),
            Msg::PreVoteReply { term, granted } => self.pre_vote_reply(from, term, granted, now),
            Msg::Vote { term, last, forced } => self.on_vote_request(from, term, last, forced, now),
            Msg::VoteReply { term, granted } => self.vote_reply(from, term, granted, now),
            Msg::TakeLead { term } => self.named_successor(from, term, now),
            Msg::Heartbeat { term, commit, committed, round } => {
                let heartbeat = LeaderHeartbeat { term, commit, committed, round };
                self.heartbeat(from, heartbeat, now);
            }
            Msg::Append { term, prev, entries, commit } => {
                if self.follows(from, term, now) {
                    self.append(from, prev, entries, commit);
                }
            }
            Msg::Chunk { term, chunk } => {
                if self.follows(from, term, now) {
                    self.take_chunk(from, chunk);
                }
            }
            Msg::HeartbeatReply { term, round } => {
                if self.answers_this_leader(term, now) {
                    self.heartbeat_reply(from, round, now);
                }
            }
            Msg::AppendReply { term, ok, matched } => {
                if self.answers_this_leader(term, now) {
                    self.append_reply(from, ok, matched, now);
                }
            }
            Msg::ChunkReply { term, snapshot, offset, received } => {
                if self.answers_this_leader(term, now) {
                    self.chunk_reply(from, snapshot, offset, received, now);
                }
            }
        }
    }

    fn answers_this_leader(&mut self, term: u64, now: Duration) -> bool {
        if term > self.hard.term {
            self.newer_term(term, now);
        }
        term == self.hard.term && self.leads()
    }

    pub(super) fn send(&mut self, to: u64, msg: Msg) {
        self.out.push(Effect::Send { to, msg });
    }

    pub(super) fn go(&mut self, event: RoleEvent) {
        let before = self.role.state().clone();
        self.role.handle(&event);
        let after = self.role.state().clone();
        if before == after {
            return;
        }
        if !self.leads() {
            for reader in self.lead.take().into_iter().flat_map(|l| l.readers) {
                self.out.push(Effect::Confirmed { token: reader.token, index: None });
            }
        }
        self.out.push(Effect::RoleIs(after));
    }

    fn chance(&mut self) -> f64 {
        const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
        const INCREMENT: u64 = 1_442_695_040_888_963_407;
        self.seed = self.seed.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        (self.seed >> 33) as f64 / (1u64 << 31) as f64
    }

    /// Sets the next election deadline.
    pub(super) fn rest(&mut self, now: Duration) {
        // Until a leader was heard once since the start, nobody is disturbed by asking soon again.
        let (low, high) = match self.last_leader_contact {
            None if !self.leads() => (self.tuning.first_low, self.tuning.first_high),
            _ => (self.tuning.election_low, self.tuning.election_high),
        };
        let chance = self.chance();
        self.deadline = now + low + (high - low).mul_f64(chance);
    }
}
