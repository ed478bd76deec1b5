//! The core under its membership policy: machines are killed, wiped, replaced (also as a planned step) and
//! cut, as many at once as are tolerated, the next one as soon as the one before counts as back. The clock
//! moves by the smallest and largest steps that the bounds allow: a newcomer asks to be taken in as soon as
//! it started, before its predecessor's silence can be noticed, or late. At every step, as many further
//! losses as are still tolerated leave a majority and a copy of all that was agreed on; a loss that is over
//! is made good a margin before it stops counting.
#[path = "../../consensus/tests/model/mod.rs"]
mod model;

use arbtest::arbitrary::{Result as Generated, Unstructured};
use consensus::core::Event;
use control_cell::prelude::*;
use model::{World, STEP};
use node_runtime::settings::{Bounds, Tolerated};

/// How long a machine still counts as lost after it is back: the smallest value for which the waits leave
/// their margin, and others.
const CATCH_UPS: [u64; 4] = [3800, 4100, 4200, 6000];
/// Between two turns of duties at the most: they also take place whenever the lead changes.
const MOST_DUTY_STEPS: usize = 4;
const STEPS_PER_SNAPSHOT: usize = 50;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Kill,
    Wipe,
    Isolate,
    Silence,
    Deafen,
    Replace,
}

/// A machine that is told to stop once its successor has run for a while.
struct Planned {
    id: u64,
    told: Duration,
}

struct Machine {
    id: u64,
    name: u64,
    zone: u64,
    /// What ails it, and until when.
    trouble: Option<(Trouble, Duration)>,
    /// It counts as lost until then.
    lost_until: Duration,
    next_ask: Duration,
    asked: Option<u64>,
}

fn bounds(catch_up: u64) -> MembershipBounds {
    MembershipBounds::from_settings(&Bounds {
        contact: Duration::from_millis(3000),
        acknowledge: Duration::from_millis(4000),
        catch_up: Duration::from_millis(catch_up),
        drain: Duration::from_millis(3000),
        grace: Duration::from_secs(8),
        config_apply: Duration::from_millis(2000),
        reuse_after: Duration::from_secs(2),
    })
}

struct Core {
    world: World,
    machines: Vec<Machine>,
    tolerated: u32,
    catch_up: Duration,
    /// How long a newcomer waits before it first asks to be taken in.
    first_join: Duration,
    bounds: MembershipBounds,
    duty_steps: usize,
    planned: Vec<Planned>,
    leaving: BTreeMap<u64, Duration>,
    joiners: BTreeMap<u64, (JoinRequest, Duration)>,
    /// Since when the leader has known them.
    known_since: BTreeMap<u64, Duration>,
    /// Requests of starts that are over, still on their way.
    late: Vec<JoinRequest>,
    leader: Option<(u64, Duration)>,
    /// Until then absences overlap beyond what is tolerated: only disks count.
    overlap_until: Duration,
    fresh: u64,
    steps: usize,
}

impl Core {
    /// `start`: what share of the wait before its first request a newcomer has behind it when it starts.
    fn new(count: u64, tolerated: u32, catch_up: u64, start: f64) -> Self {
        let first_join = bounds(catch_up).first_join.mul_f64(1.0 - start);
        let founders: Vec<u64> = (1..=count.min(3)).collect();
        let mut core = Core {
            world: World::new(&founders),
            machines: Vec::new(),
            tolerated,
            catch_up: Duration::from_millis(catch_up),
            first_join,
            bounds: bounds(catch_up),
            duty_steps: MOST_DUTY_STEPS,
            known_since: BTreeMap::new(),
            planned: Vec::new(),
            leaving: BTreeMap::new(),
            joiners: BTreeMap::new(),
            late: Vec::new(),
            leader: None,
            overlap_until: Duration::ZERO,
            fresh: 100,
            steps: 0,
        };
        for id in 1..=count {
            if id > 3 {
                core.world.start_empty(id);
            }
            core.machines.push(Machine {
                id,
                name: id,
                zone: id % 4,
                trouble: None,
                lost_until: Duration::ZERO,
                next_ask: first_join,
                asked: None,
            });
        }
        core.run(100);
        core
    }

    fn policy(&self) -> CorePolicy {
        let tolerated = Tolerated { machines: self.tolerated, zones: 0, regions: 0 };
        CorePolicy { tolerated, regions: BTreeMap::new() }
    }

    fn member(&self, m: &Machine) -> Member {
        Member {
            id: m.id,
            name: format!("n{}", m.name),
            addr: format!("a{}", m.name),
            zone: format!("z{}", m.zone),
            incarnation: 0,
            loss_counted: true,
        }
    }

    fn lost(&self, m: &Machine) -> bool {
        m.trouble.is_some() || self.world.now < m.lost_until
    }

    /// Lost, or back for so short that what it lost may still be missing.
    fn recovering(&self, m: &Machine) -> bool {
        m.trouble.is_some() || self.world.now + self.bounds.margin < m.lost_until
    }

    fn losses(&self) -> usize {
        self.machines.iter().filter(|m| self.lost(m)).count()
    }

    fn trouble(&mut self, i: usize, trouble: Trouble, lasts: Duration) {
        let until = self.world.now + lasts;
        let id = self.machines[i].id;
        self.machines[i].trouble = Some((trouble, until));
        match trouble {
            Trouble::Kill => self.world.nodes.get_mut(&id).unwrap().down = true,
            Trouble::Wipe | Trouble::Replace => {
                let request = self.joiners.remove(&id).map(|(r, _)| r);
                let life = JoinRequest { member: self.member(&self.machines[i]), read_at: 0 };
                self.late.push(request.unwrap_or(life));
                self.world.nodes.remove(&id);
            }
            Trouble::Isolate => self.world.isolate(id),
            Trouble::Silence => self.world.silence(id),
            Trouble::Deafen => self.world.deafen(id),
        }
    }

    fn end_troubles(&mut self) {
        let now = self.world.now;
        for i in 0..self.machines.len() {
            let Some((trouble, _)) = self.machines[i].trouble.filter(|(_, until)| now >= *until)
            else {
                continue;
            };
            let id = self.machines[i].id;
            match trouble {
                Trouble::Kill => self.world.crash(id),
                Trouble::Wipe | Trouble::Replace => {
                    self.fresh += 1;
                    let m = &mut self.machines[i];
                    m.id = self.fresh;
                    m.next_ask = now + self.first_join;
                    m.asked = None;
                    if trouble == Trouble::Replace {
                        m.name = self.fresh;
                    }
                    self.world.start_empty(self.fresh);
                }
                Trouble::Isolate | Trouble::Silence | Trouble::Deafen => {
                    self.world.cuts.retain(|(a, b)| *a != id && *b != id);
                }
            }
            self.machines[i].trouble = None;
            self.machines[i].lost_until = now + self.catch_up;
        }
    }

    /// A newcomer starts; the machine whose place it is to take is told to stop a while later.
    fn replace_as_planned(&mut self, i: usize, after: Duration) {
        let now = self.world.now;
        self.fresh += 1;
        self.world.start_empty(self.fresh);
        self.planned.push(Planned { id: self.machines[i].id, told: now + after });
        self.machines.push(Machine {
            id: self.fresh,
            name: self.fresh,
            zone: self.machines[i].zone,
            trouble: None,
            lost_until: now + self.catch_up,
            next_ask: now + self.first_join,
            asked: None,
        });
    }

    /// Machines that were told to stop end once the leader says that they vote no more, or in their time.
    fn end_as_planned(&mut self) {
        let now = self.world.now;
        let agreed = |id: u64| {
            let node = self.world.leader().map(|l| self.world.node(l));
            node.is_some_and(|n| {
                let settled = n.log.membership_index() <= n.commit;
                self.leaving.contains_key(&id) && settled && !n.log.membership().is_voter(id)
            })
        };
        let ends = |p: &Planned| agreed(p.id) || now >= p.told + self.bounds.leave_within;
        let ended: Vec<u64> = self.planned.iter().filter(|p| ends(p)).map(|p| p.id).collect();
        self.planned.retain(|p| !ended.contains(&p.id));
        self.machines.retain(|m| !ended.contains(&m.id));
        self.world.nodes.retain(|id, _| !ended.contains(id));
    }

    /// Machines that were told to stop tell the leader, which hands over to one that stays.
    fn announce_leaving(&mut self) {
        let now = self.world.now;
        let told = |p: &&Planned| now >= p.told;
        let told: Vec<u64> = self.planned.iter().filter(told).map(|p| p.id).collect();
        self.leaving.retain(|_, at| now < *at + DUTY_EVERY * 3);
        let Some(leader) = self.world.leader() else { return };
        let reaches = |id: &u64| !self.world.is_cut(*id, leader);
        self.leaving.extend(told.iter().filter(|id| reaches(id)).map(|id| (*id, now)));
        let node = self.world.node(leader);
        if told.contains(&leader) && node.commit == node.log.last() {
            let leaving = self.leaving.keys().copied().collect();
            self.world.step(leader, Event::HandOver { leaving });
        }
    }

    /// Cells outside the membership, or without a leader, ask for an index and join with it.
    fn request_membership(&mut self) {
        let now = self.world.now;
        let Some(leader) = self.world.leader() else { return };
        for i in 0..self.machines.len() {
            let m = &self.machines[i];
            let id = m.id;
            let up = self.world.nodes.get(&id).is_some_and(|n| !n.down);
            let reaches = !self.world.is_cut(id, leader) && !self.world.is_cut(leader, id);
            if !up || !reaches {
                continue;
            }
            let confirmed = m.asked.and_then(|token| self.world.confirmed.get(&token).copied());
            if let Some(Some(read_at)) = confirmed {
                let request = JoinRequest { member: self.member(m), read_at };
                self.joiners.insert(id, (request, now));
                self.known_since.entry(id).or_insert(now);
                self.machines[i].asked = None;
            }
            let node = self.world.node(id);
            let heard = node.last_contact().is_some_and(|at| now < at + self.bounds.replace_after);
            let known = node.is_member() && heard;
            if !known && now >= self.machines[i].next_ask {
                self.machines[i].next_ask = now + self.bounds.join_again;
                self.machines[i].asked = Some(self.world.read(leader));
            }
        }
    }

    fn duties(&mut self) {
        let now = self.world.now;
        let Some(leader) = self.world.leader() else { return };
        let since = match self.leader {
            Some((id, since)) if id == leader => since,
            _ => {
                self.leader = Some((leader, now));
                self.joiners.clear();
                self.known_since.clear();
                self.leaving.clear();
                now
            }
        };
        self.joiners.retain(|_, (_, at)| now < *at + self.bounds.joiner_kept);
        let node = self.world.node(leader);
        if node.commit < node.log.last() || !node.ready_to_serve(now) {
            return;
        }
        let observe = |id: u64| {
            let led = now - since;
            let silent = match node.last_contact_with(id) {
                _ if id == leader => Duration::ZERO,
                _ if self.leaving.contains_key(&id) => Duration::MAX,
                Some(at) if at > since => now.saturating_sub(at),
                _ => led + node.tuning.election_low,
            };
            let caught_up = node.follower(id).is_some_and(|f| f.caught_up);
            let known_for = self.known_since.get(&id).map_or(led, |at| now - *at);
            MemberObservation { silent, known_for, caught_up }
        };
        let joiners: Vec<JoinRequest> = self.joiners.values().map(|(r, _)| r.clone()).collect();
        let entry = node.log.last() + 1;
        let current = node.log.membership();
        let (policy, bounds) = (self.policy(), &self.bounds);
        let next = next_membership(current, leader, &joiners, entry, &policy, bounds, observe);
        if let Some(next) = next {
            self.world.propose(Body::Membership(next));
        }
    }

    /// Losses that a set of voters bears beyond those of now.
    fn spare(&self, voters: &[Member]) -> i64 {
        let here = |v: &&Member| self.machines.iter().any(|m| m.id == v.id && !self.recovering(m));
        let alive = voters.iter().filter(here).count();
        alive as i64 - (voters.len() / 2 + 1) as i64
    }

    /// Machines with the newest entry that was agreed on, but those that are lost.
    fn copies(&self) -> i64 {
        let newest = self.world.agreed.keys().last().copied().unwrap_or(0);
        let holds = |m: &&Machine| {
            let node = self.world.nodes.get(&m.id);
            !self.recovering(m) && node.is_some_and(|n| n.disk.last() >= newest)
        };
        self.machines.iter().filter(holds).count() as i64
    }

    /// Whether the newest entry that was agreed on is on a disk, wherever that is just now.
    fn check_disks(&self) {
        let newest = self.world.agreed.keys().last().copied().unwrap_or(0);
        let holds = |m: &Machine| {
            self.world.nodes.get(&m.id).is_some_and(|node| node.disk.last() >= newest)
        };
        assert!(self.machines.iter().any(holds), "entry {newest} is gone at {:?}", self.world.now);
    }

    fn check(&self) {
        if self.world.now < self.overlap_until {
            return self.check_disks();
        }
        assert!(self.losses() <= self.tolerated as usize);
        let losses = self.machines.iter().filter(|m| self.recovering(m)).count();
        let want = i64::from(self.tolerated) - losses as i64;
        assert!(self.copies() > want, "{} copies at {:?}", self.copies(), self.world.now);
        for m in self.world.memberships_in_force() {
            let spare = match m.is_joint() {
                true => self.spare(&m.voters).min(self.spare(&m.outgoing)),
                false => self.spare(&m.voters),
            };
            assert!(spare >= want, "{spare} of {want} at {:?}\n{m:?}", self.world.now);
        }
    }

    fn step(&mut self) {
        self.steps += 1;
        self.world.now += STEP;
        self.end_troubles();
        self.end_as_planned();
        self.world.tick_all();
        self.world.deliver_all();
        self.request_membership();
        self.world.deliver_all();
        if self.steps.is_multiple_of(self.duty_steps) {
            self.announce_leaving();
            self.world.deliver_all();
            self.duties();
            self.world.propose(model::command((self.steps % 250) as u8));
            self.world.deliver_all();
        }
        if self.steps.is_multiple_of(STEPS_PER_SNAPSHOT) {
            let ids: Vec<u64> = self.world.nodes.keys().copied().collect();
            ids.into_iter().for_each(|id| self.world.compact(id));
        }
        if self.steps > 100 {
            self.check();
        }
    }

    fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
        }
    }

    /// One trouble more, if one more is tolerated now.
    fn disturb(&mut self, u: &mut Unstructured) -> Generated<()> {
        let well: Vec<usize> =
            (0..self.machines.len()).filter(|i| !self.lost(&self.machines[*i])).collect();
        if self.losses() >= self.tolerated as usize || well.is_empty() {
            return Ok(());
        }
        let leaves = |i: &usize| self.planned.iter().any(|p| p.id == self.machines[*i].id);
        let well: Vec<usize> = well.into_iter().filter(|i| !leaves(i)).collect();
        let leader = self.world.leader();
        let leads = well.iter().copied().find(|i| Some(self.machines[*i].id) == leader);
        let any = *u.choose(&well)?;
        let i = match u.ratio(1, 3)? {
            true => leads.unwrap_or(any),
            false => any,
        };
        if u.ratio(1, 5)? {
            let after = Duration::from_millis(*u.choose(&[200, 500, 1000, 2000])?);
            self.replace_as_planned(i, after);
            return Ok(());
        }
        let trouble = *u.choose(&[
            Trouble::Kill,
            Trouble::Wipe,
            Trouble::Isolate,
            Trouble::Silence,
            Trouble::Deafen,
            Trouble::Replace,
        ])?;
        let lasts = Duration::from_millis(*u.choose(&[100, 200, 600, 1500, 3000, 6000, 25_000])?);
        self.trouble(i, trouble, lasts);
        Ok(())
    }

    /// Machines are away beyond what is tolerated, perhaps all of them, each for its time, and as many disks
    /// are lost meanwhile as may be. All are back long enough before the next trouble comes.
    fn overlap(&mut self, u: &mut Unstructured) -> Generated<()> {
        while self.losses() > 0 || !self.planned.is_empty() {
            self.step();
        }
        let longest = *u.choose(&[600, 3000, 25_000])?;
        let mut last = self.world.now;
        for i in 0..self.machines.len() {
            if u.ratio(1, 3)? {
                continue;
            }
            let trouble =
                *u.choose(&[Trouble::Kill, Trouble::Isolate, Trouble::Silence, Trouble::Deafen])?;
            let lasts = Duration::from_millis(u.int_in_range(100..=longest)?);
            self.trouble(i, trouble, lasts);
            last = last.max(self.world.now + lasts);
        }
        self.overlap_until = last + self.catch_up * 2;
        for _ in 0..u.int_in_range(0..=self.tolerated)? {
            self.run(u.int_in_range(0..=longest as usize / STEP.as_millis() as usize)?);
            let well = |i: &usize| self.machines[*i].trouble.is_none();
            let well: Vec<usize> = (0..self.machines.len()).filter(well).collect();
            if !well.is_empty() {
                let restart = Duration::from_millis(200);
                self.trouble(*u.choose(&well)?, Trouble::Wipe, restart);
                let whole_again = self.world.now + restart + self.catch_up * 2;
                self.overlap_until = self.overlap_until.max(whole_again);
            }
        }
        while self.world.now < self.overlap_until {
            self.step();
        }
        Ok(())
    }

    /// A request of a life that is over arrives at last.
    fn deliver_late(&mut self, u: &mut Unstructured) -> Generated<()> {
        if !self.late.is_empty() {
            let i = u.int_in_range(0..=self.late.len() - 1)?;
            let request = self.late[i].clone();
            self.known_since.entry(request.member.id).or_insert(self.world.now);
            self.joiners.insert(request.member.id, (request, self.world.now));
        }
        Ok(())
    }

    fn assert_calm(&mut self) {
        // The last commit reaches all with the next beat.
        self.world.run(5);
        self.world.assert_agreed();
        let leader = self.world.leader().expect("a leader");
        let membership = self.world.node(leader).log.membership();
        let count = self.machines.len();
        let most = match count <= 2 * self.tolerated as usize + 1 {
            true => count,
            false => count - 1 + count % 2,
        };
        assert_eq!(membership.voters.len(), most, "{membership:?}");
        let alive = |m: &Member| self.machines.iter().any(|machine| machine.id == m.id);
        assert!(membership.voters.iter().all(alive), "{membership:?}");
    }
}

#[test]
fn as_many_further_losses_are_borne_as_are_still_tolerated() {
    const SEEDS: u64 = 10;
    /// Of calm, the longest trouble and the time until a member counts as gone among them, after which
    /// all machines of the core have their places again.
    const CALM_STEPS: usize = 900;
    for (machines, tolerated) in [(3, 1), (4, 1), (5, 1), (5, 2), (6, 2), (8, 2)] {
        for seed in 0..SEEDS {
            arbtest::arbtest(|u| {
                let start = *u.choose(&[0.0, 0.3, 0.8, 1.0])?;
                let mut core = Core::new(machines, tolerated, *u.choose(&CATCH_UPS)?, start);
                core.duty_steps = u.int_in_range(1..=MOST_DUTY_STEPS)?;
                for _ in 0..u.int_in_range(5..=60)? {
                    core.run(u.int_in_range(1..=40)?);
                    match u.ratio(1, 4)? {
                        true => core.deliver_late(u)?,
                        false => core.disturb(u)?,
                    }
                }
                core.run(CALM_STEPS);
                core.assert_calm();
                Ok(())
            })
            .seed((seed * 64 + machines * 4 + u64::from(tolerated)) << 32 | 1024);
        }
    }
}

/// The cell that was lost first is wiped, comes back, and the moment it counts as back the next is lost,
/// through the whole core and more.
#[test]
fn a_second_loss_right_after_each_replacement() {
    for (machines, tolerated) in [(3, 1), (4, 1), (5, 1), (5, 2), (6, 2), (8, 2)] {
        for trouble in [Trouble::Wipe, Trouble::Replace] {
            let slow = MOST_DUTY_STEPS;
            for (start, apart, duty_steps) in
                [(1.0, 0, 1), (1.0, 0, slow), (0.0, 0, slow), (1.0, 1000, 1), (0.0, 1000, slow)]
            {
                let mut core = Core::new(machines, tolerated, CATCH_UPS[1], start);
                core.duty_steps = duty_steps;
                for i in 0..12 {
                    let first = i % core.machines.len();
                    for also in 0..tolerated as usize {
                        let at = (first + also) % core.machines.len();
                        core.trouble(at, trouble, Duration::from_millis(200));
                        core.run(apart / 60);
                    }
                    while core.losses() > 0 {
                        core.step();
                    }
                }
                core.run(450);
                core.assert_calm();
            }
        }
    }
}

/// Absences overlap beyond what is tolerated, with no more disks lost than that allows: nothing that was
/// agreed on is lost, and the core is whole again by itself.
#[test]
fn absences_beyond_tolerance_cost_nothing_that_was_agreed() {
    const SEEDS: u64 = 8;
    const CALM_STEPS: usize = 900;
    for (machines, tolerated) in [(3, 1), (4, 1), (5, 2), (6, 2), (8, 2)] {
        for seed in 0..SEEDS {
            arbtest::arbtest(|u| {
                let start = *u.choose(&[0.0, 0.3, 1.0])?;
                let mut core = Core::new(machines, tolerated, *u.choose(&CATCH_UPS)?, start);
                for _ in 0..u.int_in_range(1..=4)? {
                    if u.arbitrary()? {
                        core.disturb(u)?;
                        core.run(u.int_in_range(1..=40)?);
                    }
                    core.overlap(u)?;
                }
                core.run(CALM_STEPS);
                core.assert_calm();
                Ok(())
            })
            .seed((seed * 64 + machines * 4 + u64::from(tolerated)) << 32 | 1024);
        }
    }
}
