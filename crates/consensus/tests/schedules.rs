//! Schedules of cuts, losses, crashes, wipes and member changes, generated and by hand.
mod model;

use arbtest::arbitrary::{Result as Generated, Unstructured};
use consensus::core::{Event, HardState, TermLog};
use consensus::prelude::*;
use model::*;

#[test]
fn one_cell_elects_itself_and_four_agree() {
    let mut w = World::new(&[1]);
    w.settle();
    assert_eq!(w.leader(), Some(1));
    let mut w = World::new(&[1, 2, 3, 4]);
    w.settle();
    w.propose(command(9));
    w.settle();
    for n in w.nodes.values() {
        assert!(n.applied.contains(&command(9)));
    }
}

#[test]
fn a_named_successor_leads_at_once() {
    let mut w = World::new(&[1, 2, 3]);
    w.settle();
    let old = w.leader().unwrap();
    w.step(old, Event::HandOver { leaving: BTreeSet::new() });
    assert!(!w.node(old).ready_to_serve(w.now), "its successor may lead already");
    w.deliver_all();
    let new = w.leader().unwrap();
    assert_ne!(new, old);
    assert!(!w.node(old).leads());
}

#[test]
fn a_leader_whose_successor_does_not_come_serves_again() {
    let mut w = World::new(&[1, 2, 3]);
    w.settle();
    let old = w.leader().unwrap();
    w.step(old, Event::HandOver { leaving: BTreeSet::new() });
    w.flight.retain(|f| !matches!(f.msg, Msg::TakeLead { .. }));
    w.settle();
    assert_eq!(w.leader(), Some(old));
    assert!(w.node(old).ready_to_serve(w.now));
}

#[test]
fn a_compacted_log_reaches_a_new_member_by_snapshot() {
    let mut w = World::new(&[1, 2, 3]);
    w.settle();
    for i in 0..9 {
        w.propose(command(i));
        w.settle();
    }
    let l = w.leader().unwrap();
    w.compact(l);
    w.start_empty(9);
    w.want(&[1, 2, 3], &[9]);
    w.settle();
    w.want(&[1, 2, 3, 9], &[]);
    w.settle();
    assert!(w.node(9).is_member());
    assert_eq!(w.node(9).applied, w.node(l).applied);
}

/// All three founders are cut off by themselves in a core of seven, then all restart.
#[test]
fn founders_on_the_small_side_decide_nothing() {
    let mut w = World::new(&[1, 2, 3]);
    w.settle();
    for id in 4..=7 {
        w.start_empty(id);
    }
    w.want(&[1, 2, 3], &[4, 5, 6, 7]);
    w.settle();
    w.want(&[1, 2, 3, 4, 5, 6, 7], &[]);
    w.settle();
    w.split(&[1, 2, 3]);
    w.run(SETTLE_STEPS);
    let leader = w.leader().unwrap();
    assert!(leader > 3, "the large side leads");
    assert!((1..=3).all(|id| !w.node(id).leads()));
    w.propose(command(1));
    w.run(10);
    for id in 1..=7 {
        w.crash(id);
    }
    w.run(SETTLE_STEPS);
    assert!(w.leader().unwrap() > 3);
    w.settle();
    w.assert_agreed();
    assert!(w.agreed.values().any(|(_, body)| *body == command(1)));
}

/// A cut heals while a change of members is under way.
#[test]
fn a_cut_that_heals_in_the_middle_of_a_change() {
    let mut w = World::new(&[1, 2, 3]);
    w.settle();
    let leader = w.leader().unwrap();
    w.start_empty(4);
    w.want(&[1, 2, 3], &[4]);
    w.settle();
    let gone = (1..=3).find(|id| *id != leader).unwrap();
    let stay: Vec<u64> = (1..=4).filter(|id| *id != gone).collect();
    w.isolate(leader);
    w.want(&stay, &[gone]);
    w.run(SETTLE_STEPS);
    assert!(!w.node(leader).leads());
    w.cuts.clear();
    w.settle();
    w.assert_agreed();
    assert!(!w.node(leader).log.membership().is_joint());
}

/// A generated schedule: what may come, one step at a time.
struct Schedule {
    world: World,
    fresh: u64,
    value: u8,
    wipes_left: usize,
}

impl Schedule {
    fn new(cells: u64, wipes: usize) -> Self {
        let ids: Vec<u64> = (1..=cells).collect();
        let mut world = World::new(&ids);
        world.settle();
        Schedule { world, fresh: 100, value: 0, wipes_left: wipes }
    }

    fn any_cell(&self, u: &mut Unstructured) -> Generated<u64> {
        let ids: Vec<u64> = self.world.nodes.keys().copied().collect();
        u.choose(&ids).copied()
    }

    fn step(&mut self, u: &mut Unstructured) -> Generated<()> {
        const FLIGHTS: usize = 1000;
        match u.int_in_range(0..=27)? {
            0..=11 => {
                let i = u.int_in_range(0..=FLIGHTS)?;
                self.world.deliver(i, false);
            }
            12 => {
                let i = u.int_in_range(0..=FLIGHTS)?;
                self.world.deliver(i, true);
            }
            13 if !self.world.flight.is_empty() => {
                let i = u.int_in_range(0..=self.world.flight.len() - 1)?;
                self.world.flight.remove(i);
            }
            14..=16 => {
                self.world.now += Duration::from_millis(u.int_in_range(10..=700)?);
                self.world.tick_all();
            }
            17 => {
                let id = self.any_cell(u)?;
                self.world.crash(id);
            }
            18 => {
                for id in self.world.nodes.keys().copied().collect::<Vec<_>>() {
                    self.world.crash(id);
                }
            }
            19 => {
                let id = self.any_cell(u)?;
                match u.int_in_range(0..=3)? {
                    0 => self.world.silence(id),
                    1 => self.world.deafen(id),
                    2 => self.world.isolate(id),
                    _ => self.world.cuts.clear(),
                }
            }
            20 => {
                let half: Vec<u64> = self.world.nodes.keys().copied().step_by(2).collect();
                self.world.split(&half);
            }
            21 if self.wipes_left > 0 => self.wipe(u)?,
            22 | 23 => self.change_members(u)?,
            24 => {
                let id = self.any_cell(u)?;
                self.world.compact(id);
            }
            25 => {
                let id = self.any_cell(u)?;
                self.world.read(id);
            }
            26 => {
                if let Some(leader) = self.world.leader() {
                    self.world.step(leader, Event::HandOver { leaving: BTreeSet::new() });
                }
            }
            _ => {
                self.value = self.value.wrapping_add(1);
                self.world.propose(command(self.value));
            }
        }
        Ok(())
    }

    /// A cell loses its disk and comes back as another, unless that would leave no majority of a
    /// membership that may be in force.
    fn wipe(&mut self, u: &mut Unstructured) -> Generated<()> {
        let id = self.any_cell(u)?;
        if !self.world.majorities_without(id) {
            return Ok(());
        }
        self.world.nodes.remove(&id);
        self.world.start_empty(self.fresh);
        self.fresh += 1;
        self.wipes_left -= 1;
        Ok(())
    }

    /// Admits a newcomer, or swaps caught-up learners for lost voters, or moves one voter.
    fn change_members(&mut self, u: &mut Unstructured) -> Generated<()> {
        let w = &mut self.world;
        let Some(leader) = w.leader() else { return Ok(()) };
        let membership = w.node(leader).log.membership().clone();
        let ids = |members: &[Member]| members.iter().map(|m| m.id).collect::<Vec<u64>>();
        let (mut voters, mut learners) = (ids(&membership.voters), ids(&membership.learners));
        let outside = w.nodes.keys().find(|id| membership.get(**id).is_none()).copied();
        let caught_up: Vec<u64> = learners
            .iter()
            .copied()
            .filter(|id| w.node(leader).follower(*id).is_some_and(|f| f.caught_up))
            .collect();
        match (outside, caught_up.is_empty(), u.ratio(2, 3)?) {
            (Some(id), _, _) => learners.push(id),
            (None, false, _) => {
                let lost: Vec<u64> =
                    voters.iter().copied().filter(|id| !w.nodes.contains_key(id)).collect();
                voters.retain(|id| !lost.contains(id));
                voters.extend(&caught_up);
                learners.retain(|id| !caught_up.contains(id));
            }
            (None, true, true) if voters.len() > 3 => {
                let i = u.int_in_range(0..=voters.len() - 1)?;
                let moved = voters.remove(i);
                learners.push(moved);
            }
            _ => {}
        }
        w.want(&voters, &learners);
        Ok(())
    }
}

/// One leader a term, agreed entries never change, no read is older than a confirmed write, no leader
/// serves an old state, only voters campaign; and within `SETTLE_STEPS` of calm (twice, where a wiped
/// cell must be left to the change of members) all agree and take proposals again.
#[test]
fn generated_schedules_keep_what_was_agreed() {
    const SEEDS: u64 = 500;
    for (cells, wipes) in [(4, 1), (5, 2)] {
        for seed in 0..SEEDS {
            arbtest::arbtest(|u| {
                let mut schedule = Schedule::new(cells, wipes);
                for _ in 0..u.int_in_range(20..=200)? {
                    schedule.step(u)?;
                }
                let w = &mut schedule.world;
                w.settle();
                w.settle();
                let before = w.agreed.len();
                w.propose(command(255));
                w.settle();
                assert!(w.agreed.len() > before, "calm returned and nothing is agreed on\n{w:?}");
                w.assert_agreed();
                Ok(())
            })
            .seed((seed * 8 + cells) << 32 | 4096);
        }
    }
}

/// Nothing of a wiped disk stays: its successor has another identity and can't vote as the old one.
#[test]
fn a_wiped_cell_is_a_new_member() {
    let mut w = World::new(&[1, 2, 3]);
    w.settle();
    let leader = w.leader().unwrap();
    let wiped = (1..=3).find(|id| *id != leader).unwrap();
    w.nodes.remove(&wiped);
    w.start(7, HardState::default(), TermLog::default());
    w.run(SETTLE_STEPS);
    assert!(!w.node(7).is_member());
    assert_eq!(w.node(7).hard.term, 0);
}
