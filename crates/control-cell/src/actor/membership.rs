//! The membership duty: who asks to come in, who leaves, and what the leader knows of silences.
use super::driver::ConsensusDriver;
use crate::prelude::*;

/// A cell that leaves says so with each of its duties; one that hasn't for so long has ended, and may be
/// back already.
const LEAVING_TTL: Duration = DUTY_EVERY.saturating_mul(3);

pub(super) struct MembershipManager {
    joiners: HashMap<u64, Request>,
    /// Since when this leader has known those who asked to come in.
    known_since: HashMap<u64, Instant>,
    leaving: HashMap<u64, Instant>,
    lead_since: Option<Instant>,
    /// Who led before this cell did.
    old_leader: Option<u64>,
    last_leader: Option<u64>,
    started: Instant,
    last_join: Option<Instant>,
}

struct Request {
    join: JoinRequest,
    at: Instant,
}

impl MembershipManager {
    pub fn new(now: Instant) -> Self {
        MembershipManager {
            joiners: HashMap::new(),
            known_since: HashMap::new(),
            leaving: HashMap::new(),
            lead_since: None,
            old_leader: None,
            last_leader: None,
            started: now,
            last_join: None,
        }
    }

    /// Notes whom this cell follows.
    pub fn follows(&mut self, leader: u64) {
        self.last_leader = Some(leader);
    }

    pub fn role_is(&mut self, leads: bool, me: u64) {
        self.lead_since = leads.then(Instant::now);
        if leads {
            self.old_leader = self.last_leader.filter(|l| *l != me);
        } else {
            self.joiners.clear();
        }
        self.known_since.clear();
    }

    pub fn joins(&mut self, join: JoinRequest) {
        let at = Instant::now();
        self.known_since.entry(join.member.id).or_insert(at);
        self.joiners.insert(join.member.id, Request { join, at });
    }

    pub fn leaves(&mut self, id: u64) {
        self.leaving.insert(id, Instant::now());
    }

    /// Those that are about to end.
    pub fn leaving(&self) -> BTreeSet<u64> {
        self.leaving.keys().copied().collect()
    }

    pub fn is_leaving(&self, id: u64) -> bool {
        self.leaving.contains_key(&id)
    }

    /// Forgets requests that weren't repeated.
    pub fn forget_old(&mut self, now: Instant, bounds: &MembershipBounds, members: &[Member]) {
        self.joiners.retain(|_, r| now < r.at + bounds.joiner_kept);
        let joiners = &self.joiners;
        let is_member = |id: &u64| members.iter().any(|m| m.id == *id);
        self.known_since.retain(|id, _| joiners.contains_key(id) || is_member(id));
        self.leaving.retain(|_, at| now < *at + LEAVING_TTL);
    }

    /// Whether this cell is due to ask to be taken in.
    pub fn join_due(&mut self, now: Instant, bounds: &MembershipBounds) -> bool {
        let due = match self.last_join {
            None => now >= self.started + bounds.first_join,
            Some(last) => now >= last + bounds.join_again,
        };
        if due {
            self.last_join = Some(now);
        }
        due
    }

    /// How long this cell has led.
    pub fn led_for(&self, now: Instant) -> Duration {
        self.lead_since.map_or(Duration::ZERO, |t| now.duration_since(t))
    }

    /// How long a member hasn't answered this leader, as far as its holding of zones goes.
    pub fn silent(&self, id: u64, driver: &ConsensusDriver, now: Instant) -> Duration {
        if id == driver.me.id {
            return Duration::ZERO;
        }
        let since = self.lead_since.map(|t| driver.on_clock(t));
        match driver.node.last_contact_with(id) {
            Some(t) if since.is_some_and(|s| t > s) => driver.elapsed().saturating_sub(t),
            // The leader before had been silent for this long when this one was elected.
            _ if self.old_leader == Some(id) => self.led_for(now) + driver.node.tuning.election_low,
            _ => self.led_for(now),
        }
    }

    /// How long a member hasn't answered. One that hasn't answered this leader yet may have been silent
    /// as long as the leader before.
    fn silent_as_voter(&self, id: u64, driver: &ConsensusDriver, now: Instant) -> Duration {
        let silent = self.silent(id, driver, now);
        match silent >= self.led_for(now) {
            true => self.led_for(now) + driver.node.tuning.election_low,
            false => silent,
        }
    }

    fn known_for(&self, id: u64, now: Instant) -> Duration {
        let since = self.known_since.get(&id);
        since.map_or(self.led_for(now), |t| now.duration_since(*t))
    }

    /// The next membership, if one is due.
    pub fn next(
        &self,
        driver: &ConsensusDriver,
        policy: &CorePolicy,
        bounds: &MembershipBounds,
        now: Instant,
    ) -> Option<Membership> {
        let current = driver.node.log.membership();
        if current.is_joint() {
            return None;
        }
        let named = |members: &[Member]| -> Vec<Member> {
            members.iter().map(|m| self.named(m, &driver.me)).collect()
        };
        let next = Membership {
            voters: named(&current.voters),
            outgoing: Vec::new(),
            learners: named(&current.learners),
        };
        if next != *current {
            return Some(next);
        }
        let joiners: Vec<JoinRequest> = self.joiners.values().map(|r| r.join.clone()).collect();
        let entry = driver.node.log.last() + 1;
        let observe = |id| MemberObservation {
            silent: match self.is_leaving(id) {
                true => Duration::MAX,
                false => self.silent_as_voter(id, driver, now),
            },
            known_for: self.known_for(id, now),
            caught_up: driver.node.follower(id).is_some_and(|f| f.caught_up),
        };
        next_membership(current, driver.me.id, &joiners, entry, policy, bounds, observe)
    }

    /// A founder's entry learns its name and zone when the cell itself tells them.
    fn named(&self, m: &Member, me: &Member) -> Member {
        let newest = match self.joiners.get(&m.id) {
            Some(r) => &r.join.member,
            None if m.id == me.id => me,
            None => m,
        };
        Member { incarnation: m.incarnation, ..newest.clone() }
    }
}
