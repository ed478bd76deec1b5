//! What the stores' answers to an open come to.
use request_proxy::prelude::*;

fn turn(id: &str, chain: &[&str]) -> TurnRecord {
    TurnRecord {
        id: id.to_string(),
        chain: chain.iter().map(|s| s.to_string()).collect(),
        program: "p".into(),
        input: ByteBuf::from(vec![1; 500]),
        output: ByteBuf::new(),
        engine: String::new(),
        session_tokens: 0,
        keep_ms: 1000,
    }
}

fn no(l: &mut OpenLedger, store: u64, counts: bool) {
    l.take(store, counts, false, (TurnLookup::Missing, Vec::new()));
}

fn yes(ids: &[&str]) -> TurnLookup {
    TurnLookup::Found(ids.iter().map(|s| s.to_string()).collect())
}

#[test]
fn not_found_takes_a_majority_that_knows_unsure_otherwise() {
    let mut l = OpenLedger::new(5, 3, true);
    no(&mut l, 1, true);
    no(&mut l, 2, false);
    assert_eq!(l.step(&[]), OpenStep::Wait, "one that doesn't know says nothing");
    no(&mut l, 3, true);
    assert_eq!(l.step(&[]), OpenStep::Wait);
    no(&mut l, 4, true);
    assert_eq!(l.step(&[]), OpenStep::Search, "it may be another program's");
    let mut l = OpenLedger::new(5, 3, true);
    no(&mut l, 1, true);
    no(&mut l, 2, true);
    no(&mut l, 3, false);
    l.fail();
    assert_eq!(l.step(&[]), OpenStep::Wait);
    l.fail();
    assert_eq!(l.step(&[]), OpenStep::Fault(OpenFault::Unsure));
    let mut l = OpenLedger::new(3, 2, false);
    l.fail();
    l.fail();
    assert_eq!(l.step(&[]), OpenStep::Fault(OpenFault::Unsure));
}

/// An incident: a store of the new program's group held another program's turn, and no store of the group
/// the turn before it; that was called unsure, again and again.
#[test]
fn a_chain_that_the_group_holds_in_part_is_searched_at_every_store() {
    let mut l = OpenLedger::new(3, 2, true);
    l.take(1, true, true, (yes(&["a", "b"]), vec![turn("b", &["a"])]));
    no(&mut l, 2, true);
    assert_eq!(l.step(&[1, 2, 3]), OpenStep::Fetch(2, vec!["a".into()]));
    no(&mut l, 3, true);
    assert_eq!(l.step(&[1, 2, 3]), OpenStep::Fetch(3, vec!["a".into()]));
    assert_eq!(l.step(&[1, 2, 3]), OpenStep::Search);
}

/// The same incident's other half: the store that was to bring the chain said no to the turn, held the one
/// before it, and was taken as asked.
#[test]
fn a_store_that_said_no_is_still_asked_for_the_turns_before() {
    let mut l = OpenLedger::new(3, 2, true);
    l.take(1, true, true, (TurnLookup::Missing, Vec::new()));
    l.take(3, true, false, (yes(&["a", "b"]), Vec::new()));
    assert_eq!(l.step(&[1, 2, 3]), OpenStep::Fetch(3, vec!["a".into(), "b".into()]));
    l.bring(vec![turn("b", &["a"])]);
    assert_eq!(l.step(&[1, 2, 3]), OpenStep::Fetch(1, vec!["a".into()]));
    l.bring(vec![turn("a", &[])]);
    assert_eq!(l.step(&[1, 2, 3]), OpenStep::Ready);
}

/// A set in which two may be lost at once.
fn placed_stores(count: u64) -> StoreSet {
    StoreSet::default().next(|s| {
        s.tolerated = 2;
        s.stores = (1..=count)
            .map(|id| StoreEntry {
                id,
                name: format!("s{id}"),
                addr: String::new(),
                zone: String::new(),
                state: StoreState::Placed,
                since: 1,
                rank: id,
                loss_counted: true,
            })
            .collect();
    })
}

/// With fewer stores than a group a quorum is smaller: one no of three leaves two that may hold the turn.
#[test]
fn a_search_over_fewer_stores_than_a_group_needs_more_than_one_no() {
    let mut l = OpenLedger::search(&placed_stores(3), 3);
    no(&mut l, 1, true);
    assert_eq!(l.step(&[]), OpenStep::Wait);
    no(&mut l, 2, true);
    assert_eq!(l.step(&[]), OpenStep::Fault(OpenFault::NoTurn));
}

/// A search over all stores: nowhere only when all but the tolerated losses say no.
#[test]
fn a_search_says_no_only_when_no_majority_of_any_group_can_hold_the_turn() {
    let set = placed_stores(9);
    let mut l = OpenLedger::search(&set, 9);
    for s in 1..=6 {
        no(&mut l, s, true);
        assert_eq!(l.step(&[]), OpenStep::Wait);
    }
    l.fail();
    no(&mut l, 8, false);
    assert_eq!(l.step(&[]), OpenStep::Wait);
    no(&mut l, 9, true);
    assert_eq!(l.step(&[]), OpenStep::Fault(OpenFault::NoTurn));
    let mut l = OpenLedger::search(&set, 9);
    l.take(1, false, true, (yes(&["a"]), vec![turn("a", &[])]));
    assert_eq!(l.step(&[]), OpenStep::Ready, "one that holds it is enough");
}

#[test]
fn a_chain_is_gathered_from_several_stores_in_order() {
    let mut l = OpenLedger::new(3, 2, true);
    l.take(1, true, true, (yes(&["a", "b", "c"]), vec![turn("c", &[]), turn("b", &[])]));
    no(&mut l, 2, true);
    assert_eq!(l.step(&[1, 2, 3]), OpenStep::Fetch(2, vec!["a".into()]));
    l.bring(vec![turn("a", &[])]);
    assert_eq!(l.step(&[1, 2, 3]), OpenStep::Ready);
    let ids: Vec<String> = l.chain().into_iter().map(|t| t.id).collect();
    assert_eq!(ids, ["a", "b", "c"]);
}

#[test]
fn a_chain_closed_here_is_known_here_within_its_retention_and_its_bound() {
    let t0 = Instant::now();
    let mut c = ChainCache::new(10_000);
    c.put(Arc::new(turn("a", &[])), Some(t0));
    c.put(Arc::new(turn("b", &["a"])), Some(t0));
    let ids = |v: Option<Vec<Arc<TurnRecord>>>| -> Option<Vec<String>> {
        v.map(|v| v.iter().map(|t| t.id.clone()).collect())
    };
    assert_eq!(ids(c.chain("b", t0)), Some(vec!["a".into(), "b".into()]));
    assert!(c.chain("b", t0 + Duration::from_millis(1000)).is_none(), "past its retention");
    c.put(Arc::new(turn("d", &["c"])), Some(t0));
    assert!(c.chain("d", t0).is_none(), "a turn before it isn't here");
    c.put(Arc::new(turn("c", &[])), None);
    assert!(c.chain("c", t0).is_none(), "brought, not closed here: the stores must be asked");
    assert_eq!(ids(c.chain("d", t0)), Some(vec!["c".into(), "d".into()]));
    // The bound: what was used last stays.
    for i in 0..40 {
        c.put(Arc::new(turn(&format!("x{i}"), &[])), Some(t0));
        assert!(c.chain("b", t0).is_some());
        assert!(c.bytes() <= 10_000);
    }
    assert!(c.chain("x1", t0).is_none() && c.chain("x39", t0).is_some());
}
