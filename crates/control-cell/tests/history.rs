//! Histories of orders and questions, up to eight at once over several cells, are as if one copy of the
//! configuration had answered them: under lost answers, sending again, freezes, cuts in one direction or both,
//! crashes, snapshots and restarts.
mod history_model;

use history_model::spec::{Config, GetAnswer, OneCopy, Op, Order, PutAnswer};
use history_model::World;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::linearizability::WGLChecker;

const SCHEDULES: u64 = 400;

#[test]
fn generated_schedules_have_linearizable_histories() {
    for seed in 0..SCHEDULES {
        arbtest::arbtest(|u| {
            let all = [1, 2, 3, 4, 5];
            let mut w = World::new(&all[..u.int_in_range(3..=5)?]);
            w.settle();
            for _ in 0..u.int_in_range(50..=500)? {
                w.trouble(u)?;
            }
            // As it stands, with calls that have no answer yet.
            w.check_history();
            w.settle();
            w.confirm_again();
            w.read_back();
            w.check_answers();
            w.check_history();
            Ok(())
        })
        .seed(seed << 32 | 8192);
    }
}

fn fits(ops: Vec<(usize, Action<Op>)>) -> bool {
    WGLChecker::<OneCopy>::is_linearizable(History::from_actions(ops))
}

fn put(base: u64, version: u64, body: u8, answer: PutAnswer) -> Op {
    Op::Put { order: Order { base, version, body }, answer }
}

fn one_by_one(ops: &[Op]) -> Vec<(usize, Action<Op>)> {
    let steps = ops.iter().enumerate();
    steps
        .flat_map(|(i, o)| [(i, Action::Call(o.clone())), (i, Action::Response(o.clone()))])
        .collect()
}

/// The check itself: it finds each of the faults that it is there for.
#[test]
fn faults_in_a_history_are_found() {
    use PutAnswer::{Acknowledged, NotAbove, OtherVersion, Unclear};
    let read =
        |version, body| Op::Get { answer: GetAnswer::Config(Some(Config { version, body })) };
    let first = put(0, 2, 1, Acknowledged);
    let good = [first.clone(), put(2, 3, 1, Unclear), read(2, 1), put(2, 3, 1, Acknowledged)];
    assert!(fits(one_by_one(&good[..1])));
    assert!(fits(one_by_one(&[first.clone(), put(0, 3, 1, OtherVersion), put(2, 2, 5, NotAbove)])));
    // An old configuration handed out, and an order that is refused when it comes again.
    let newer = put(2, 3, 1, Acknowledged);
    assert!(!fits(one_by_one(&[first.clone(), newer.clone(), read(2, 1)])));
    assert!(!fits(one_by_one(&[first.clone(), put(0, 2, 1, OtherVersion)])));
    // Two confirmed under one number; one that lost its race in force.
    assert!(!fits(one_by_one(&[first.clone(), put(0, 2, 2, Acknowledged)])));
    assert!(!fits(one_by_one(&[first.clone(), put(0, 4, 2, OtherVersion), read(4, 2)])));
    // Without an answer it may take effect late, or never.
    let mut late = vec![(9, Action::Call(put(0, 2, 1, Unclear)))];
    late.extend(one_by_one(&[Op::Get { answer: GetAnswer::Config(None) }, read(2, 1)]));
    late.push((9, Action::Response(put(0, 2, 1, Unclear))));
    assert!(fits(late));
}
