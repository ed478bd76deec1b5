//! A leader whose followers stand still takes no more than its bound, and goes on once they answer.
mod model;

use consensus::prelude::*;
use model::*;

const MB: usize = 1 << 20;

fn body(size: usize) -> Body {
    Body::Command(ByteBuf::from(vec![7u8; size]))
}

fn uncommitted(w: &World, leader: u64) -> usize {
    let node = w.node(leader);
    node.log.from(node.commit + 1).map(|entry| entry.body.size()).sum()
}

/// A settled group whose leader's messages are held up.
fn held_up() -> (World, u64) {
    let mut w = World::new(&[1, 2, 3]);
    w.settle();
    let leader = w.leader().unwrap();
    w.flight.clear();
    (w, leader)
}

#[test]
fn what_waits_for_a_majority_is_bounded_in_bytes() {
    let (mut w, leader) = held_up();
    let bound = w.tuning.most_uncommitted;
    for _ in 0..40 {
        w.propose(body(3 * MB));
        assert!(uncommitted(&w, leader) <= bound);
    }
    assert!(uncommitted(&w, leader) > bound - 3 * MB, "it takes what there is room for");
    let token = w.propose(body(3 * MB)).unwrap();
    let uncommitted = uncommitted(&w, leader);
    assert_eq!(w.refused.get(&token), Some(&ProposalRefused::Backlog { uncommitted, bound }));
}

#[test]
fn room_comes_back_once_followers_answer() {
    let (mut w, leader) = held_up();
    for _ in 0..40 {
        w.propose(body(3 * MB));
    }
    let last = w.node(leader).log.last();
    w.run(SETTLE_STEPS);
    let leader = w.leader().unwrap();
    assert!(w.node(leader).commit >= last, "what was taken is agreed on");
    assert_eq!(uncommitted(&w, leader), 0);
    w.propose(body(3 * MB));
    assert!(w.node(leader).log.last() > last);
}

/// The largest configuration is larger than no bound: it is taken where nothing else waits.
#[test]
fn a_single_larger_entry_is_taken_where_none_waits() {
    let (mut w, leader) = held_up();
    let bound = w.tuning.most_uncommitted;
    w.propose(body(bound + MB));
    assert!(uncommitted(&w, leader) > bound);
    w.propose(body(1));
    let kept = w.node(leader).log.entries.last().map(|entry| entry.body.size());
    assert_eq!(kept, Some(body(bound + MB).size()));
}
