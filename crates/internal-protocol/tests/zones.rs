//! Tables of zones, and what takes one state to the next.
use arbtest::arbitrary::{Result, Unstructured};
use internal_protocol::feed::{EngineEntry, ZoneChangeOutcome, ZoneTable};
use internal_protocol::prelude::*;

fn engine(id: u8, draining: bool, cold_ms: u64) -> EngineEntry {
    EngineEntry {
        id: format!("i-{id}"),
        service: "s".into(),
        addr: format!("10.0.0.{id}:80"),
        zone: "a".into(),
        slots: 4,
        draining,
        cold_ms,
    }
}

fn table(seq: u64, engines: Vec<EngineEntry>) -> ZoneTable {
    ZoneTable { zone: "a".into(), epoch: 1, seq, engines }
}

/// Some of twelve engines, each once, in any order that the platform may choose.
fn any_table(u: &mut Unstructured<'_>, seq: u64) -> Result<ZoneTable> {
    let mut engines = Vec::new();
    for id in 0..12 {
        if u.ratio(2, 3)? {
            engines.push(engine(id, u.ratio(1, 4)?, u.int_in_range(0..=2)?));
        }
    }
    if u.ratio(1, 2)? {
        engines.reverse();
    }
    Ok(table(seq, engines))
}

fn says_the_same(a: &ZoneTable, b: &ZoneTable) -> bool {
    let found = |e: &EngineEntry| b.engines.iter().any(|o| o.says_the_same(e));
    a.version() == b.version() && a.engines.len() == b.engines.len() && a.engines.iter().all(found)
}

/// Any row of tables: a follower that applies each change has what the platform lists, and one that missed
/// a change notices at the next.
#[test]
fn changes_lead_to_the_same_table_and_a_missed_one_is_noticed() {
    arbtest::arbtest(|u| {
        let mut listed = any_table(u, 1)?;
        let mut follower = listed.clone();
        for seq in 2..=u.int_in_range(2..=12u64)? {
            let next = any_table(u, seq)?;
            let change = listed.change_to(&next);
            let in_step = follower.version() == listed.version();
            listed = next;
            if u.ratio(1, 5)? {
                continue;
            }
            let before = follower.clone();
            let outcome = follower.apply(&change);
            if in_step {
                assert_eq!(outcome, ZoneChangeOutcome::Applied);
                assert!(says_the_same(&follower, &listed));
            } else {
                assert_eq!(outcome, ZoneChangeOutcome::OutOfStep);
                assert_eq!(follower, before);
            }
        }
        Ok(())
    })
    .size_min(512)
    .budget_ms(500);
}

#[test]
fn a_change_that_comes_again_or_late_changes_nothing() {
    let first = table(1, vec![engine(1, false, 0)]);
    let second = table(2, vec![engine(2, false, 0)]);
    let change = first.change_to(&second);
    let mut follower = first.clone();
    assert_eq!(follower.apply(&change), ZoneChangeOutcome::Applied);
    assert_eq!(follower.apply(&change), ZoneChangeOutcome::Known);
    assert_eq!(follower, second);
    assert_eq!(follower.apply(&first.newest()), ZoneChangeOutcome::Known);
    // What says no more than which state is the newest is enough to notice that one was missed.
    let mut behind = first.clone();
    assert_eq!(behind.apply(&second.newest()), ZoneChangeOutcome::OutOfStep);
    assert_eq!(behind, first);
}

/// What is sent for a change follows the change and not the number of engines.
#[test]
fn the_size_of_a_change_does_not_grow_with_the_zone() {
    let sizes = [10u32, 100, 500].map(|engines| {
        let entry = |n: u32| EngineEntry { id: format!("i-{n:04}"), ..engine(1, false, 0) };
        let before = table(1, (0..engines).map(entry).collect());
        let mut after = ZoneTable { seq: 2, ..before.clone() };
        after.engines[3].draining = true;
        after.engines.remove(7);
        encode(&before.change_to(&after)).len()
    });
    assert_eq!(sizes[0], sizes[2]);
    assert!(sizes[2] < 400, "{sizes:?}");
}

#[test]
fn a_warm_up_that_goes_on_is_no_change() {
    let before = table(1, vec![engine(1, false, 900)]);
    let later = table(2, vec![engine(1, false, 300)]);
    let over = table(3, vec![engine(1, false, 0)]);
    assert!(before.change_to(&later).put.is_empty());
    assert_eq!(later.change_to(&over).put.len(), 1);
}
