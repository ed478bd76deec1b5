//! Who replicates the log, and whose answers count: one step at a time.
//!
//! Voters are the greatest odd number of the core's machines, so that any connected majority of the core
//! holds a majority of the voters; the machine left over is a standby. `docs/consensus.md` weighs this
//! against `2T + 1` voters. Only machines whose loss counts vote, as far as there are enough: any number of
//! others may go.
use crate::prelude::*;
use node_runtime::settings::Tolerated;

/// More voters than these only make each decision slower.
const MOST_VOTERS: usize = 9;
/// All voters up to here, whatever may be lost: fewer would hold fewer copies.
const FEWEST_VOTERS: usize = 3;

/// What may be lost at once, and what is lost together.
#[derive(Debug, Clone, Default)]
pub struct CorePolicy {
    /// Machines, zones and regions.
    pub tolerated: Tolerated,
    /// The region of each zone.
    pub regions: BTreeMap<String, String>,
}

/// A cell asks to be taken in.
#[derive(Debug, Clone)]
pub struct JoinRequest {
    /// Its `incarnation` is not looked at: the entry that takes it in makes it.
    pub member: Member,
    /// A log index that its life read, confirmed by a majority.
    pub read_at: u64,
}

/// What the leader observes of a member.
#[derive(Debug, Clone, Copy)]
pub struct MemberObservation {
    /// How long it hasn't answered.
    pub silent: Duration,
    /// How long this leader has known it: since its first request, or since this leader leads.
    pub known_for: Duration,
    /// Its log is near the leader's end.
    pub caught_up: bool,
}

impl CorePolicy {
    fn losses(&self) -> usize {
        let t = &self.tolerated;
        t.machines.max(t.zones).max(t.regions).max(1) as usize
    }

    fn floor(&self) -> usize {
        FEWEST_VOTERS.max(2 * self.losses() + 1)
    }

    /// How many of so many machines vote: all as far as they are needed, then an odd number.
    fn voters_of(&self, machines: usize) -> usize {
        match machines <= self.floor() {
            true => machines,
            false => (machines - 1 + machines % 2).min(MOST_VOTERS.max(self.floor())),
        }
    }

    /// What is lost together with a machine.
    fn domain(&self, m: &Member) -> String {
        let region = self.regions.get(&m.zone).filter(|_| self.tolerated.regions > 0);
        match region {
            Some(region) => region.clone(),
            None if m.zone.is_empty() => m.addr.clone(),
            None => m.zone.clone(),
        }
    }

    /// Whether a majority is left when the largest domains go that may be lost.
    fn bears_domains(&self, voters: &[&Member]) -> bool {
        let lost = self.tolerated.zones.max(self.tolerated.regions) as usize;
        let mut sizes: BTreeMap<String, usize> = BTreeMap::new();
        for m in voters {
            *sizes.entry(self.domain(m)).or_default() += 1;
        }
        let mut sizes: Vec<usize> = sizes.into_values().collect();
        sizes.sort_unstable_by(|a, b| b.cmp(a));
        let gone: usize = sizes.into_iter().take(lost).sum();
        voters.len() - gone > voters.len() / 2
    }
}

/// Two starts of one machine.
fn same_machine(a: &Member, b: &Member) -> bool {
    a.id != b.id && (a.addr == b.addr || (!a.name.is_empty() && a.name == b.name))
}

/// The next membership, if one is due. `entry` is the log index at which it will stand.
pub fn next_membership(
    current: &Membership,
    me: u64,
    joiners: &[JoinRequest],
    entry: u64,
    policy: &CorePolicy,
    bounds: &MembershipBounds,
    observe: impl Fn(u64) -> MemberObservation,
) -> Option<Membership> {
    if current.is_joint() {
        return None;
    }
    let planner = Planner { current, me, policy, bounds, observe };
    let mut next = planner.settled();
    next.learners.extend(planner.admitted(joiners, entry));
    (next != *current).then_some(next)
}

struct Planner<'a, F> {
    current: &'a Membership,
    me: u64,
    policy: &'a CorePolicy,
    bounds: &'a MembershipBounds,
    observe: F,
}

impl<F: Fn(u64) -> MemberObservation> Planner<'_, F> {
    fn silent(&self, m: &Member, over: Duration) -> bool {
        m.id != self.me && (self.observe)(m.id).silent > over
    }

    /// A standby that may vote from now on.
    fn ready(&self, m: &Member) -> bool {
        let in_touch = !self.silent(m, self.bounds.replace_after);
        self.may_vote(m) && (self.observe)(m.id).caught_up && in_touch
    }

    /// A machine whose loss doesn't count votes only where there is none whose loss does. A leader stays a
    /// voter until it has handed over.
    fn may_vote(&self, m: &Member) -> bool {
        m.loss_counted || m.id == self.me || !self.current.has_counted_voter()
    }

    /// The later life of a member's machine, if it is here.
    fn successor(&self, m: &Member) -> Option<&Member> {
        let mut later = self.current.all().into_iter();
        let later = later.find(|o| same_machine(m, o) && o.incarnation > m.incarnation);
        later.filter(|_| m.id != self.me)
    }

    /// Who may vote next: voters, unless a successor is ready or they are gone and can be spared, and
    /// standbys that are ready.
    fn pool(&self) -> Vec<&Member> {
        let replaced = |m: &Member| self.successor(m).is_some_and(|s| self.ready(s));
        let ready = self.current.learners.iter().filter(|m| self.ready(m));
        let ready = ready.filter(|m| self.successor(m).is_none());
        let staying = self.current.voters.iter().filter(|m| !replaced(m));
        let (gone, here): (Vec<&Member>, Vec<&Member>) =
            staying.partition(|m| self.silent(m, self.bounds.remove_after) || !self.may_vote(m));
        let mut pool: Vec<&Member> = here.into_iter().chain(ready).collect();
        let lacking = self.policy.floor().saturating_sub(pool.len());
        pool.extend(gone.into_iter().take(lacking));
        pool
    }

    /// So many of the pool: this cell, then those who answer, spread over domains, then those who vote
    /// already.
    fn choose<'p>(&self, pool: &[&'p Member], count: usize) -> Vec<&'p Member> {
        let mut chosen: Vec<&Member> = Vec::new();
        let mut left = pool.to_vec();
        while chosen.len() < count && !left.is_empty() {
            let rank = |m: &Member| {
                let domain = self.policy.domain(m);
                let beside = chosen.iter().filter(|c| self.policy.domain(c) == domain).count();
                let votes = self.current.voters.iter().any(|v| v.id == m.id);
                (m.id != self.me, self.silent(m, self.bounds.replace_after), beside, !votes, m.id)
            };
            let best = (0..left.len()).min_by_key(|i| rank(left[*i])).unwrap_or(0);
            chosen.push(left.swap_remove(best));
        }
        chosen
    }

    /// Whether this machine is alive and no newcomer is in its place: it answered a round that was sent
    /// after the last newcomer of the pool was known, and a short while ago.
    fn surely_here(&self, m: &Member, newest: Duration) -> bool {
        let silent = (self.observe)(m.id).silent;
        m.id == self.me || (silent <= self.bounds.doubt_after && silent < newest)
    }

    /// How many vote. Machines that may not be here any more never make more voters than there are:
    /// their successors may be among the others.
    fn voter_count(&self, pool: &[&Member]) -> usize {
        let coming = pool.iter().filter(|m| !self.current.is_voter(m.id));
        let newest = coming.map(|m| (self.observe)(m.id).known_for).min();
        let newest = newest.unwrap_or(Duration::MAX);
        let answering = pool.iter().filter(|m| self.surely_here(m, newest)).count();
        let machines = answering.max(pool.len().min(self.current.voters.len()));
        self.policy.voters_of(machines)
    }

    fn voters(&self) -> Vec<Member> {
        let pool = self.pool();
        let most = self.voter_count(&pool);
        let fewer = (FEWEST_VOTERS..=most).rev().filter(|n| *n == most || n % 2 == 1);
        let mut choices = fewer.map(|n| self.choose(&pool, n));
        let chosen = choices.find(|voters| self.policy.bears_domains(voters));
        let chosen = chosen.unwrap_or_else(|| self.choose(&pool, most));
        let is_chosen = |m: &&Member| chosen.iter().any(|c| c.id == m.id);
        // Those who vote already keep their order: nothing changes where nothing must.
        let staying = self.current.voters.iter().filter(is_chosen);
        let coming = self.current.learners.iter().filter(is_chosen);
        staying.chain(coming).cloned().collect()
    }

    /// The membership without newcomers: others than voters stay as standbys, unless they are long gone
    /// or a later life of their machine is here.
    fn settled(&self) -> Membership {
        let voters = self.voters();
        let is_voter = |m: &Member| voters.iter().any(|v| v.id == m.id);
        let keeps = |m: &&Member| {
            let replaced = self.successor(m).is_some();
            !is_voter(m) && !replaced && !self.silent(m, self.bounds.forget_after)
        };
        let learners = self.current.learners.iter().filter(keeps);
        let leaving = self.current.voters.iter().filter(keeps);
        let learners = learners.chain(leaving).cloned().collect();
        Membership { voters, outgoing: Vec::new(), learners }
    }

    /// Newcomers, each with the incarnation that this entry gives it. A request that was made before
    /// another life of its machine was taken in is of an older life.
    fn admitted(&self, joiners: &[JoinRequest], entry: u64) -> Vec<Member> {
        let mut admitted: Vec<Member> = Vec::new();
        for j in joiners {
            let others = self.current.all();
            let known = self.current.get(j.member.id).is_some();
            let outdated =
                others.iter().any(|o| same_machine(o, &j.member) && o.incarnation > j.read_at);
            let twice = joiners.iter().any(|o| {
                same_machine(&o.member, &j.member)
                    && (o.read_at, o.member.id) > (j.read_at, j.member.id)
            });
            if !known && !outdated && !twice {
                admitted.push(Member { incarnation: entry, ..j.member.clone() });
            }
        }
        admitted
    }
}
