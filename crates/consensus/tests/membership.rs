//! Learners, joint changes, and cells that were removed.
mod model;

use consensus::core::Event;
use model::*;

fn led(ids: &[u64]) -> (World, u64) {
    let mut w = World::new(ids);
    w.settle();
    let leader = w.leader().unwrap();
    (w, leader)
}

/// A settled core of 1 to 3 with these learners, caught up.
fn with_learners(learners: &[u64]) -> (World, u64) {
    let (mut w, leader) = led(&[1, 2, 3]);
    for id in learners {
        w.start_empty(*id);
    }
    w.want(&[1, 2, 3], learners);
    w.settle();
    (w, leader)
}

fn last_appended(w: &mut World, voters: &[u64], learners: &[u64]) -> bool {
    let before = w.leader().map(|l| w.node(l).log.last());
    w.want(voters, learners);
    w.leader().map(|l| w.node(l).log.last()) != before
}

/// Neither counted nor campaigning: with two of three voters gone, two learners don't help.
#[test]
fn learners_never_count_and_never_campaign() {
    let (mut w, leader) = with_learners(&[4, 5]);
    let voters: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
    for id in &voters {
        w.isolate(*id);
    }
    let before = w.node(leader).commit;
    w.propose(command(1));
    let token = w.read(leader);
    w.run(SETTLE_STEPS);
    assert_eq!(w.confirmed.get(&token), Some(&None));
    assert_eq!(w.leader(), None);
    assert_eq!(w.node(4).commit, before);
    assert!([4, 5].iter().all(|id| !w.node(*id).leads()));
}

/// One that isn't near the end of the log, or isn't a learner, is refused as a voter.
#[test]
fn only_a_learner_that_has_caught_up_becomes_a_voter() {
    let (mut w, _) = led(&[1, 2, 3]);
    w.start_empty(4);
    assert!(!last_appended(&mut w, &[1, 2, 3, 4], &[]), "no learner");
    w.isolate(4);
    assert!(last_appended(&mut w, &[1, 2, 3], &[4]));
    w.run(5);
    assert!(!last_appended(&mut w, &[1, 2, 3, 4], &[]), "it has nothing yet");
    w.settle();
    assert!(last_appended(&mut w, &[1, 2, 3, 4], &[]));
    w.settle();
    assert_eq!(w.voters(4), [1, 2, 3, 4]);
    w.isolate(4);
    w.run(20);
    assert!(last_appended(&mut w, &[1, 2, 3], &[4]));
    w.run(20);
    assert!(!last_appended(&mut w, &[1, 2, 3, 4], &[]), "it answers no rounds");
}

/// Two members go and two come in one agreed step, and the joint state ends by itself.
#[test]
fn two_members_are_swapped_in_one_step() {
    let (mut w, leader) = with_learners(&[4, 5]);
    let stay = leader;
    w.want(&[stay, 4, 5], &[]);
    assert!(w.node(leader).log.membership().is_joint());
    assert!(!last_appended(&mut w, &[1, 2, 3], &[]), "one change at a time");
    w.settle();
    assert!(!w.node(leader).log.membership().is_joint());
    assert_eq!(w.voters(leader), [stay, 4, 5]);
    w.assert_agreed();
}

/// In the joint state a majority of the new voters alone decides nothing, nor one of the old.
#[test]
fn a_joint_state_needs_both_majorities() {
    for side in [[4, 5], [0, 0]] {
        let (mut w, leader) = with_learners(&[4, 5]);
        w.want(&[leader, 4, 5], &[]);
        let index = w.node(leader).log.last();
        let old: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
        let cut = if side == [4, 5] { old } else { vec![4, 5] };
        for id in cut {
            w.isolate(id);
        }
        let token = w.read(leader);
        w.run(SETTLE_STEPS);
        assert!(w.node(leader).commit < index);
        assert_eq!(w.confirmed.get(&token), Some(&None));
        assert_eq!(w.leader(), None);
        w.settle();
        w.assert_agreed();
    }
}

/// The leader dies as soon as the joint entry is agreed on: the next one ends the joint state.
#[test]
fn a_new_leader_ends_the_joint_state() {
    let (mut w, leader) = with_learners(&[4]);
    let stay: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
    w.want(&[stay[0], stay[1], 4], &[]);
    let joint = w.node(leader).log.last();
    while w.node(leader).commit < joint {
        w.deliver(0, false);
    }
    w.flight.retain(|f| f.from != leader);
    w.nodes.get_mut(&leader).unwrap().down = true;
    w.run(SETTLE_STEPS);
    let next = w.leader().unwrap();
    assert!(!w.node(next).log.membership().is_joint());
    assert_eq!(w.voters(next), [stay[0], stay[1], 4]);
}

#[test]
fn a_removed_leader_steps_down_once_that_is_agreed() {
    let (mut w, leader) = with_learners(&[4]);
    let stay: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
    w.want(&[stay[0], stay[1], 4], &[]);
    w.run(SETTLE_STEPS);
    assert!(!w.node(leader).leads());
    let next = w.leader().unwrap();
    assert_ne!(next, leader);
    let term = w.node(next).hard.term;
    w.run(2 * SETTLE_STEPS);
    assert_eq!((w.leader(), w.node(next).hard.term), (Some(next), term), "it disturbs nobody");
}

/// It was cut off as it was removed, so that it doesn't know; it asks and asks.
#[test]
fn a_removed_member_that_does_not_know_disturbs_nobody() {
    let (mut w, leader) = with_learners(&[4]);
    let gone = (1..=3).find(|id| *id != leader).unwrap();
    let stay: Vec<u64> = (1..=4).filter(|id| *id != gone).collect();
    w.isolate(gone);
    w.want(&stay, &[]);
    w.run(20);
    let term = w.node(leader).hard.term;
    w.settle();
    w.run(2 * SETTLE_STEPS);
    assert_eq!(w.leader(), Some(leader));
    assert_eq!(w.node(leader).hard.term, term);
    assert!(w.voters(gone).contains(&gone), "it still believes to be a voter");
}

/// A voter that hasn't got the entry which made it one votes all the same, or two of three would stand
/// still for want of its vote.
#[test]
fn a_new_voter_without_its_own_entry_votes() {
    let (mut w, leader) = with_learners(&[4]);
    let other = (1..=3).find(|id| *id != leader).unwrap();
    w.deafen(4);
    w.want(&[leader, other, 4], &[]);
    w.run(10);
    assert!(!w.node(leader).log.membership().is_joint());
    assert!(!w.node(4).log.membership().voters.iter().any(|m| m.id == 4));
    w.cuts.clear();
    w.flight.clear();
    w.nodes.get_mut(&leader).unwrap().down = true;
    w.run(SETTLE_STEPS);
    assert_eq!(w.leader(), Some(other));
}

/// A change is refused before the first entry of the term is agreed on.
#[test]
fn a_change_waits_for_the_first_entry_of_the_term() {
    let mut w = World::new(&[1, 2, 3]);
    w.start_empty(4);
    while w.leader().is_none() {
        if w.flight.is_empty() {
            w.now += STEP;
            w.tick_all();
        }
        w.deliver(0, false);
    }
    assert!(!last_appended(&mut w, &[1, 2, 3], &[4]));
    w.run(5);
    assert!(last_appended(&mut w, &[1, 2, 3], &[4]));
}

/// The membership survives restarts and snapshots, in the middle of a change too.
#[test]
fn restarts_and_snapshots_carry_the_membership() {
    let (mut w, leader) = with_learners(&[4, 5]);
    w.want(&[leader, 4], &[5]);
    w.run(5);
    for id in 1..=5 {
        w.compact(id);
    }
    for id in 1..=5 {
        w.crash(id);
    }
    w.settle();
    let next = w.leader().unwrap();
    assert_eq!(w.voters(next), [leader, 4]);
    assert_eq!(w.node(next).log.membership().learners, members(&[5]));
    assert_eq!(w.node(next).log.snap.membership.voters.len(), 2);

    // The joint state itself in a snapshot: the whole core restarts from it and ends the change.
    let (mut w, leader) = with_learners(&[4, 5]);
    w.want(&[leader, 4, 5], &[]);
    let joint = w.node(leader).log.last();
    while w.node(leader).applied < joint {
        w.deliver(0, false);
    }
    w.flight.clear();
    w.compact(leader);
    for id in 1..=5 {
        w.crash(id);
    }
    w.settle();
    assert_eq!(w.voters(w.leader().unwrap()), [leader, 4, 5]);
}

#[test]
fn a_learner_that_was_left_out_campaigns_no_more_than_before() {
    let (mut w, leader) = with_learners(&[4]);
    w.want(&[1, 2, 3], &[]);
    w.settle();
    w.step(4, Event::Tick);
    w.run(SETTLE_STEPS);
    assert!(!w.node(4).leads());
    assert_eq!(w.leader(), Some(leader));
}
