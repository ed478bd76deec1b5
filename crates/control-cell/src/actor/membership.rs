//! The membership duty: who asks to come in, who leaves, and what the leader knows of silences.
use super::driver::ConsensusDriver;
use crate::prelude::*;

const JOINER_KEPT: Duration = Duration::from_secs(2);
const LEAVING_KEPT: Duration = Duration::from_secs(6);
const FIRST_JOIN: Duration = Duration::from_millis(700);
const JOIN_AGAIN: Duration = Duration::from_millis(500);
/// The leader before was silent already when this one was elected.
const OLD_LEADER_SILENT: Duration = Duration::from_secs(1);

pub(super) struct MembershipDuty {
    joiners: HashMap<u64, Request>,
    leaving: HashMap<u64, Instant>,
    lead_since: Option<Instant>,
    /// Who led before this cell did.
    old_leader: Option<u64>,
    last_leader: Option<u64>,
    next_join: Instant,
}

struct Request {
    member: Member,
    at: Instant,
}

impl MembershipDuty {
    pub fn new(now: Instant) -> Self {
        MembershipDuty {
            joiners: HashMap::new(),
            leaving: HashMap::new(),
            lead_since: None,
            old_leader: None,
            last_leader: None,
            next_join: now + FIRST_JOIN,
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
    }

    pub fn joins(&mut self, member: Member) {
        self.joiners.insert(member.id, Request { member, at: Instant::now() });
    }

    pub fn leaves(&mut self, id: u64) {
        self.leaving.insert(id, Instant::now());
    }

    pub fn is_leaving(&self, id: u64) -> bool {
        self.leaving.contains_key(&id)
    }

    /// Forgets requests that weren't repeated.
    pub fn forget_old(&mut self, now: Instant) {
        self.joiners.retain(|_, r| now < r.at + JOINER_KEPT);
        self.leaving.retain(|_, at| now < *at + LEAVING_KEPT);
    }

    /// Whether this cell is due to ask to be taken in.
    pub fn join_due(&mut self, now: Instant) -> bool {
        let due = now >= self.next_join;
        if due {
            self.next_join = now + JOIN_AGAIN;
        }
        due
    }

    /// How long this cell has led.
    pub fn led_for(&self, now: Instant) -> Duration {
        self.lead_since.map_or(Duration::ZERO, |t| now.duration_since(t))
    }

    /// How long a member hasn't answered this leader.
    pub fn silent(&self, id: u64, driver: &ConsensusDriver, now: Instant) -> Duration {
        if id == driver.me.id {
            return Duration::ZERO;
        }
        let since = self.lead_since.map(|t| driver.on_clock(t));
        match driver.node.last_contact_with(id) {
            Some(t) if since.is_some_and(|s| t > s) => driver.elapsed().saturating_sub(t),
            _ if self.old_leader == Some(id) => self.led_for(now) + OLD_LEADER_SILENT,
            _ => self.led_for(now),
        }
    }

    /// The next member list, if one is due.
    pub fn next(&self, driver: &ConsensusDriver, now: Instant) -> Option<Vec<Member>> {
        let members = driver.members();
        let named: Vec<Member> = members.iter().map(|m| self.named(m, &driver.me)).collect();
        if named != members {
            return Some(named);
        }
        let joiners: Vec<Member> = self.joiners.values().map(|r| r.member.clone()).collect();
        next_members(members, driver.me.id, &joiners, |id| self.silent(id, driver, now))
    }

    /// A founder's entry learns its name and zone when the cell itself tells them.
    fn named(&self, m: &Member, me: &Member) -> Member {
        match self.joiners.get(&m.id) {
            Some(r) => r.member.clone(),
            None if m.id == me.id => me.clone(),
            None => m.clone(),
        }
    }
}
