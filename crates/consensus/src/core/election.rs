//! Elections: the pre-vote, votes, and a leader's named successor.
use super::leader::LeaderState;
use super::node::ConsensusNode;
use super::quorum::is_quorum;
use super::role::{RoleEvent, RoleState};
use super::types::{Effect, HardState};
use crate::prelude::*;

impl ConsensusNode {
    pub(super) fn tick(&mut self, now: Duration) {
        if self.leads() {
            self.lead_tick(now);
            return;
        }
        if now < self.deadline {
            return;
        }
        self.rest(now);
        self.leader = None;
        if !self.may_campaign() {
            self.go(RoleEvent::Yield);
            return;
        }
        self.go(RoleEvent::Silence);
        if !matches!(self.role(), RoleState::Asking {}) {
            // Already asking: ask again.
            self.go(RoleEvent::Yield);
            self.go(RoleEvent::Silence);
        }
        self.votes = BTreeSet::from([self.me]);
        let msg = Msg::PreVote { term: self.hard.term + 1, last: self.log.end() };
        self.send_to_voters(msg);
        self.count_votes(now);
    }

    /// Learners and cells outside the membership never campaign. A voter whose removal stands in its log
    /// and isn't known to be committed still does: the others may need its log to go on. It counts its
    /// own vote only where it is a voter.
    fn may_campaign(&self) -> bool {
        let agreed = self.log.membership_at(self.commit);
        self.log.membership().is_voter(self.me) || agreed.is_voter(self.me)
    }

    fn send_to_voters(&mut self, msg: Msg) {
        let membership = self.log.membership();
        let everybody = membership.all();
        let voters = everybody.iter().filter(|m| membership.is_voter(m.id) && m.id != self.me);
        for id in voters.map(|m| m.id).collect::<Vec<_>>() {
            self.send(id, msg.clone());
        }
    }

    fn stand(&mut self, now: Duration, forced: bool) {
        self.hard = HardState { term: self.hard.term + 1, voted: Some(self.me) };
        self.out.push(Effect::SaveHardState(self.hard));
        self.leader = None;
        self.votes = BTreeSet::from([self.me]);
        self.rest(now);
        let msg = Msg::Vote { term: self.hard.term, last: self.log.end(), forced };
        self.send_to_voters(msg);
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Duration) {
        if !is_quorum(self.log.membership(), &self.votes) {
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

    fn begin_lead(&mut self, now: Duration) {
        self.leader = Some(self.me);
        self.lead = Some(LeaderState::new(self.log.last() + 1, now));
        self.place(Body::Noop);
        self.contact(now);
        self.count(now);
    }

    /// Takes up a newer term, as a follower.
    pub(super) fn newer_term(&mut self, term: u64, now: Duration) {
        self.hard = HardState { term, voted: None };
        self.out.push(Effect::SaveHardState(self.hard));
        let was_leading = self.leads();
        self.go(RoleEvent::Yield);
        self.leader = None;
        if was_leading {
            self.rest(now);
        }
    }

    /// Whether a leader that is alive is known of: a follower heard it, or this cell leads and a majority
    /// answers. Such a cell helps nobody else to be elected.
    fn has_live_leader(&self, now: Duration) -> bool {
        let contact = match &self.lead {
            Some(l) => Some(l.majority_contact(self.me, self.log.membership(), now)),
            None => self.last_leader_contact,
        };
        contact.is_some_and(|at| now < at + self.tuning.election_low)
    }

    pub(super) fn on_pre_vote_request(
        &mut self,
        from: u64,
        term: u64,
        last: LogPosition,
        now: Duration,
    ) {
        let ahead = term > self.hard.term && last >= self.log.end();
        let granted = ahead && !self.has_live_leader(now);
        self.send(from, Msg::PreVoteReply { term: self.hard.term, granted });
    }

    pub(super) fn pre_vote_reply(&mut self, from: u64, term: u64, granted: bool, now: Duration) {
        if term > self.hard.term {
            self.newer_term(term, now);
        } else if granted && matches!(self.role(), RoleState::Asking {}) {
            self.votes.insert(from);
            self.count_votes(now);
        }
    }

    /// Answered by any cell that is asked, since a candidate asks only voters of its own log, and the
    /// entry that made this cell a voter may not have come here yet. It counts only at a candidate in
    /// whose log this cell is a voter.
    pub(super) fn on_vote_request(
        &mut self,
        from: u64,
        term: u64,
        last: LogPosition,
        forced: bool,
        now: Duration,
    ) {
        if term > self.hard.term {
            if !forced && self.has_live_leader(now) {
                return;
            }
            self.newer_term(term, now);
        }
        let free = self.hard.voted.is_none_or(|v| v == from) && !self.leads();
        let granted = term == self.hard.term && free && last >= self.log.end();
        if granted && self.hard.voted.is_none() {
            self.hard.voted = Some(from);
            self.out.push(Effect::SaveHardState(self.hard));
            self.rest(now);
        }
        self.send(from, Msg::VoteReply { term: self.hard.term, granted });
    }

    pub(super) fn vote_reply(&mut self, from: u64, term: u64, granted: bool, now: Duration) {
        if term > self.hard.term {
            self.newer_term(term, now);
            return;
        }
        let counts = term == self.hard.term && matches!(self.role(), RoleState::Candidate {});
        if granted && counts {
            self.votes.insert(from);
            self.count_votes(now);
        }
    }

    /// Only the leader of this very term names a successor, and only a voter takes it up.
    pub(super) fn named_successor(&mut self, from: u64, term: u64, now: Duration) {
        let by_leader = term == self.hard.term && self.leader == Some(from);
        if by_leader && self.log.membership().is_voter(self.me) && !self.leads() {
            self.go(RoleEvent::Named);
            self.stand(now, true);
        }
    }
}
