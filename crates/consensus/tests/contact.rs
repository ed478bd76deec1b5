//! Contact with a majority: counted from the sending of the round that was answered, and what a cell
//! without it does.
mod model;

use consensus::core::Event;
use consensus::prelude::*;
use model::*;

fn led(ids: &[u64]) -> (World, u64) {
    let mut w = World::new(ids);
    w.settle();
    let leader = w.leader().unwrap();
    (w, leader)
}

/// The answers to a round are held up for almost the whole bound: the contact is as old as the round.
#[test]
fn contact_counts_from_the_sending_of_the_round() {
    let (mut w, leader) = led(&[1, 2, 3]);
    w.flight.clear();
    let beat = w.node(leader).next_tick();
    w.now = beat;
    w.step(leader, Event::Tick);
    let sent = w.now;
    for id in (1..=3).filter(|id| *id != leader) {
        while let Some(at) = w.flight.iter().position(|f| f.to == id) {
            w.deliver(at, false);
        }
    }
    w.now = sent + w.tuning.contact_bound() - Duration::from_millis(1);
    w.deliver_all();
    assert_eq!(w.node(leader).last_contact(), Some(sent));
    let end = sent + w.tuning.contact_bound();
    assert!(w.node(leader).ready_to_serve(end));
    assert!(!w.node(leader).ready_to_serve(end + Duration::from_millis(1)));
}

#[test]
fn a_cut_leader_steps_down_after_the_bound_and_confirms_nothing() {
    let (mut w, leader) = led(&[1, 2, 3]);
    let last = w.node(leader).last_contact().unwrap();
    w.isolate(leader);
    let token = w.read(leader);
    w.deliver_all();
    w.now = last + w.tuning.contact_bound();
    w.step(leader, Event::Tick);
    assert!(w.node(leader).leads());
    w.now += Duration::from_millis(1);
    assert!(!w.node(leader).ready_to_serve(w.now));
    w.step(leader, Event::Tick);
    assert!(!w.node(leader).leads());
    assert_eq!(w.confirmed.get(&token), Some(&None));
}

/// Its messages don't get out, all others come in.
#[test]
fn a_leader_that_hears_and_is_not_heard_gives_way() {
    let (mut w, leader) = led(&[1, 2, 3]);
    w.silence(leader);
    let token = w.read(leader);
    w.run(SETTLE_STEPS / 2);
    assert!(!w.node(leader).leads());
    assert_eq!(w.confirmed.get(&token), Some(&None));
    let next = w.leader().unwrap();
    assert_ne!(next, leader);
    assert!(w.node(next).ready_to_serve(w.now));
    assert_eq!(w.node(leader).leader, Some(next), "it hears the new one");
}

/// It is heard, and hears nothing: the others would wait for it for ever if it didn't give way.
#[test]
fn a_leader_that_is_heard_and_hears_nothing_gives_way() {
    let (mut w, leader) = led(&[1, 2, 3]);
    w.deafen(leader);
    w.run(SETTLE_STEPS / 2);
    assert!(!w.node(leader).leads());
    let next = w.leader().unwrap();
    let term = w.node(next).hard.term;
    w.run(SETTLE_STEPS);
    assert_eq!(w.leader(), Some(next), "it disturbs nobody while it hears nothing");
    assert_eq!(w.node(next).hard.term, term);
}

/// A leader with a majority refuses pre-votes and ignores votes, whoever asks; one that was named by it
/// is voted for.
#[test]
fn a_leader_in_contact_keeps_its_term() {
    let (mut w, leader) = led(&[1, 2, 3]);
    let term = w.node(leader).hard.term;
    let last = LogPosition { term: term + 5, index: 1000 };
    for from in [2, 99] {
        let vote = Msg::Vote { term: term + 5, last, forced: false };
        let pre_vote = Msg::PreVote { term: term + 5, last };
        for id in 1..=3 {
            w.step(id, Event::Received { from, msg: vote.clone() });
            w.step(id, Event::Received { from, msg: pre_vote.clone() });
        }
    }
    assert!(w.node(leader).leads());
    assert!((1..=3).all(|id| w.node(id).hard.term == term));
    let granted = w.flight.iter().any(|f| matches!(f.msg, Msg::PreVoteReply { granted: true, .. }));
    assert!(!granted);
}

/// Nothing disturbs a leader in contact: not a late order to take the lead, and not one from others.
#[test]
fn only_the_leader_of_this_term_names_a_successor() {
    let (mut w, leader) = led(&[1, 2, 3]);
    let term = w.node(leader).hard.term;
    let other = (1..=3).find(|id| *id != leader).unwrap();
    for (from, named) in [(leader, term - 1), (99, term), (other, term)] {
        w.step(other, Event::Received { from, msg: Msg::TakeLead { term: named } });
    }
    w.deliver_all();
    assert!(w.node(leader).leads());
}

/// Asking for pre-votes, a follower changes no term; hearing its leader again, it follows on.
#[test]
fn a_follower_that_was_cut_comes_back_without_a_new_term() {
    let (mut w, leader) = led(&[1, 2, 3]);
    let term = w.node(leader).hard.term;
    let cut = (1..=3).find(|id| *id != leader).unwrap();
    for _ in 0..3 {
        w.isolate(cut);
        w.run(SETTLE_STEPS);
        w.settle();
    }
    assert_eq!(w.leader(), Some(leader));
    assert_eq!(w.node(leader).hard.term, term);
}

/// It leads, and knows nothing yet of what the term before agreed on.
#[test]
fn a_new_leader_serves_only_after_the_first_entry_of_its_term() {
    let (mut w, old) = led(&[1, 2, 3]);
    w.propose(command(1));
    // Everybody holds the entry, the leader alone knows that it is agreed on.
    let appends = w.flight.drain(..).collect::<Vec<_>>();
    for f in appends {
        w.step(f.to, Event::Received { from: f.from, msg: f.msg });
    }
    let replies = w.flight.drain(..).collect::<Vec<_>>();
    for f in replies {
        w.step(f.to, Event::Received { from: f.from, msg: f.msg });
    }
    w.flight.clear();
    w.isolate(old);
    let mut early = 0;
    for _ in 0..SETTLE_STEPS {
        w.now += Duration::from_millis(20);
        w.tick_all();
        while !w.flight.is_empty() {
            w.deliver(0, false);
            if let Some(new) = w.leader().filter(|l| *l != old) {
                let holds = w.nodes[&new].applied.contains(&command(1));
                if !holds {
                    assert!(!w.node(new).ready_to_serve(w.now));
                    early += 1;
                }
            }
        }
    }
    assert!(early > 0, "the new leader was seen before it had applied everything");
    let new = w.leader().unwrap();
    assert!(w.node(new).ready_to_serve(w.now));
}

/// Both sides of a cut restart: one leader a term, and what was confirmed stays.
#[test]
fn both_sides_of_a_cut_restart() {
    let (mut w, leader) = led(&[1, 2, 3, 4, 5]);
    w.propose(command(7));
    w.run(3);
    let beside = (1..=5).find(|id| *id != leader).unwrap();
    w.split(&[leader, beside]);
    w.propose(command(8));
    for id in 1..=5 {
        w.crash(id);
    }
    w.run(SETTLE_STEPS);
    let new = w.leader().unwrap();
    assert!(new != leader && new != beside);
    for id in 1..=5 {
        w.crash(id);
    }
    w.settle();
    w.assert_agreed();
    assert!(w.agreed.values().any(|(_, body)| *body == command(7)));
    assert!(!w.agreed.values().any(|(_, body)| *body == command(8)));
}

/// Entries of earlier terms are agreed on only together with one of the leader's own term: counted by
/// themselves, a majority of them could still be replaced.
#[test]
fn an_entry_of_an_earlier_term_is_not_agreed_on_by_itself() {
    let mut w = World::with(&[1, 2, 3], Tuning { most_batch: 1, ..small_tuning() });
    w.settle();
    let old = w.leader().unwrap();
    let next = (1..=3).find(|id| *id != old).unwrap();
    w.propose(command(1));
    let index = w.node(old).log.last();
    let append = |f: &Flight| f.to == next && matches!(f.msg, Msg::Append { .. });
    let at = w.flight.iter().position(append).unwrap();
    w.deliver(at, false);
    w.flight.clear();
    w.nodes.get_mut(&old).unwrap().down = true;
    let mut agreed = false;
    for _ in 0..SETTLE_STEPS {
        w.now += STEP;
        w.tick_all();
        while !w.flight.is_empty() {
            w.deliver(0, false);
            let node = w.node(next);
            if node.leads() && node.commit >= index {
                assert_eq!(node.log.term_at(node.commit), Some(node.hard.term));
                agreed = true;
            }
        }
    }
    assert!(agreed);
}

/// A follower that hears its leader, isn't heard by it, and lacks what only the snapshot holds: the first
/// chunks arrive again and again, the rest never. It is in contact; its state isn't current until it is
/// heard again.
#[test]
fn a_follower_that_is_not_heard_does_not_stay_current() {
    let mut w = World::with(&[1, 2, 3], small_tuning());
    w.settle();
    let leader = w.leader().unwrap();
    let unheard = (1..=3).find(|id| *id != leader).unwrap();
    w.isolate(unheard);
    for value in 0..200 {
        assert!(w.propose(command(value)).is_some());
        w.run(1);
    }
    w.compact(leader);
    w.cuts.clear();
    w.silence(unheard);
    w.run(SETTLE_STEPS);
    assert_eq!(w.leader(), Some(leader));
    let node = w.node(unheard);
    let bound = node.tuning.contact_bound();
    let current = node.last_current().unwrap();
    assert!(node.commit < w.node(leader).commit, "it lacks what was committed");
    assert!(w.now < node.last_contact().unwrap() + bound, "it hears its leader");
    assert!(w.now > current + bound * 2);
    w.settle();
    assert!(w.now < w.node(unheard).last_current().unwrap() + bound);
}

/// While a follower is away, the pause before something is sent to it again grows to several seconds. Once
/// it answers a round, it gets at once what it lacks, by entries or by snapshot.
#[test]
fn a_follower_that_is_back_gets_what_it_lacks_at_once() {
    for compacts in [false, true] {
        for away_steps in 20..120 {
            let mut w = World::new(&[1, 2, 3]);
            w.settle();
            let leader = w.leader().unwrap();
            let away = if leader == 3 { 2 } else { 3 };
            w.isolate(away);
            for i in 0..away_steps {
                w.propose(command(i));
                w.run(1);
                if compacts {
                    w.compact(leader);
                }
            }
            w.cuts.clear();
            w.run(6);
            assert_eq!(w.node(away).commit, w.node(leader).commit, "after {away_steps} steps");
        }
    }
}
