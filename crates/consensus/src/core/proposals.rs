//! What a leader is asked for: entries, changes of members, reads, and handing over.
use super::leader::WaitingReader;
use super::node::ConsensusNode;
use super::types::Effect;
use crate::prelude::*;

impl ConsensusNode {
    pub(super) fn place(&mut self, body: Body) -> LogPosition {
        let entry = Entry { index: self.log.last() + 1, term: self.hard.term, body };
        let at = entry.position();
        self.log.entries.push(entry.clone());
        self.out.push(Effect::SaveEntries { from: at.index, entries: vec![entry] });
        at
    }

    pub(super) fn propose(&mut self, token: u64, body: Body, now: Duration) {
        let at = self.admit(body).map(|body| self.place(body));
        self.out.push(Effect::Appended { token, at });
        if at.is_ok() {
            self.send_all_logs(now);
            self.count(now);
        }
    }

    /// The entry to append, unless this cell can't take the proposal.
    fn admit(&self, body: Body) -> Result<Body, ProposalRefused> {
        if !self.leads() {
            return Err(ProposalRefused::NotLeading);
        }
        match body {
            Body::Membership(target) => self
                .change_towards(target)
                .map(Body::Membership)
                .ok_or(ProposalRefused::MembershipNotReady),
            other => self.has_room_for(&other).map(|()| other),
        }
    }

    /// While no majority answers, a leader's log would take whatever it is asked for until its memory is
    /// full; callers are turned away instead and come again.
    fn has_room_for(&self, body: &Body) -> Result<(), ProposalRefused> {
        let waiting = self.log.from(self.commit + 1).map(|entry| entry.body.size());
        let uncommitted: usize = waiting.sum();
        let bound = self.tuning.most_uncommitted;
        match uncommitted == 0 || uncommitted + body.size() <= bound {
            true => Ok(()),
            false => Err(ProposalRefused::Backlog { uncommitted, bound }),
        }
    }

    /// The entry with which a change to `target` begins: a joint one where voters change. None while
    /// another change is under way, before the first entry of this term is committed, or where a new
    /// voter is no learner that has caught up.
    fn change_towards(&self, target: Membership) -> Option<Membership> {
        let lead = self.lead.as_ref()?;
        let current = self.log.membership();
        let settled = !current.is_joint() && self.membership_agreed();
        if self.commit < lead.first || !settled || target.voters.is_empty() {
            return None;
        }
        let may_vote = |m: &Member| {
            let status = lead.status(m.id, self.log.last(), self.clock, &self.tuning);
            current.is_voter(m.id) || status.caught_up
        };
        let unique = target.voters.iter().all(|v| !target.learners.iter().any(|l| l.id == v.id));
        if !unique || !target.voters.iter().all(may_vote) {
            return None;
        }
        let ids = |members: &[Member]| members.iter().map(|m| m.id).collect::<BTreeSet<u64>>();
        let same = ids(&target.voters) == ids(&current.voters);
        let outgoing = if same { Vec::new() } else { current.voters.clone() };
        Some(Membership { outgoing, ..target })
    }

    pub(super) fn confirm(&mut self, token: u64, now: Duration) {
        let index = self.commit;
        let Some(lead) = &mut self.lead else {
            self.out.push(Effect::Confirmed { token, index: None });
            return;
        };
        let round = lead.round + 1;
        lead.readers.push(WaitingReader { token, round, index });
        self.contact(now);
        self.count(now);
    }

    /// Names the voter that is furthest on of those that stay, if it has everything.
    pub(super) fn hand_over(&mut self, leaving: &BTreeSet<u64>, now: Duration) {
        let last = self.log.last();
        let Some(lead) = &mut self.lead else { return };
        let staying = |m: &&Member| !leaving.contains(&m.id);
        let voters = self.log.membership().voters.iter().filter(staying);
        let followers = voters.filter_map(|m| lead.progress.get(&m.id).map(|p| (m.id, p)));
        let best = followers.max_by_key(|(_, p)| (p.matched, p.contact));
        match best.map(|(id, p)| (id, p.matched)) {
            Some((id, matched)) if matched == last => {
                lead.successor_named = Some(now);
                let term = self.hard.term;
                self.send(id, Msg::TakeLead { term });
            }
            _ => self.send_all_logs(now),
        }
    }
}
