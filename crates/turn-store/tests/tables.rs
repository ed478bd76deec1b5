//! A store's tables on traces and generated orders.
mod common;

use common::*;
use turn_store::prelude::*;

fn open(version: u64, req: u64, most: u32, prev: Option<&str>) -> StoreCall {
    StoreCall::Open(OpenCall {
        version,
        program: "p".into(),
        claim: Some(claim(attempt(req, most))),
        prev: prev.map(String::from),
        want: true,
    })
}

fn close(r: TurnRecord, earlier: Vec<TurnRecord>) -> StoreCall {
    StoreCall::Close { version: 1, record: r, earlier, settle: Some(settle(1, None, 5)) }
}

#[test]
fn a_recorded_turn_is_found_with_its_chain_until_its_time_is_over() {
    let mut t = tables(FOUNDER);
    let mut log = Vec::new();
    let at = Duration::from_secs;
    for (id, chain) in [("a", vec![]), ("b", vec!["a"]), ("c", vec!["a", "b"])] {
        let q = close(record("p", id, &chain), Vec::new());
        assert!(matches!(t.call(q, at(1), &mut log), StoreReply::Done));
    }
    let StoreReply::Open(o) = t.call(open(1, 9, 50, Some("c")), at(2), &mut log) else { panic!() };
    assert!(matches!(&o.lookup, TurnLookup::Found(ids) if ids == &["a", "b", "c"]));
    assert!(o.has_complete_history);
    assert_eq!(o.turns.len(), 3);
    assert!(matches!(o.outcome, Some(WriteOutcome::Claimed { .. })));
    assert_eq!((o.view.finished.0.len(), o.view.live.len()), (1, 1));
    t.expire(at(50));
    assert_eq!(t.counts().0, 3);
    t.expire(at(100));
    assert_eq!(t.counts().0, 0);
}

#[test]
fn older_and_newer_sets_are_fenced_and_an_empty_disk_s_word_doesn_t_count() {
    let mut t = tables(FOUNDER);
    let mut log = Vec::new();
    assert!(matches!(t.call(open(0, 1, 5, None), NOW, &mut log), StoreReply::Stale(_)));
    assert!(matches!(t.call(open(2, 1, 5, None), NOW, &mut log), StoreReply::Behind));
    assert!(log.is_empty());
    let mut t = tables(None);
    let StoreReply::Open(o) = t.call(open(1, 1, 5, Some("x")), NOW, &mut log) else { panic!() };
    assert!(!o.has_complete_history, "it takes the reservation, but can't speak for the program");
    assert_eq!(log.len(), 1);
    let find = StoreCall::Find { version: 1, id: "x".into() };
    assert!(matches!(t.call(find, NOW, &mut log), StoreReply::Found { caught_up: false, .. }));
}

/// An incident: after the closing fault a new program goes on from another program's turn, which was
/// looked for in the new program's group only and called unknown.
#[test]
fn a_turn_is_found_whichever_program_s_it_is_and_kept_with_those_that_go_on_from_it() {
    let mut t = tables(FOUNDER);
    let mut log = Vec::new();
    t.call(close(record("old", "a", &[]), Vec::new()), NOW, &mut log);
    let find = StoreCall::Find { version: 1, id: "a".into() };
    let StoreReply::Found { caught_up, lookup, turns } = t.call(find, NOW, &mut log) else {
        panic!()
    };
    assert!(caught_up && matches!(lookup, TurnLookup::Found(_)) && turns.len() == 1);
    // Another store, which only keeps the new program.
    let mut other = tables(FOUNDER);
    let mut log = Vec::new();
    other.call(close(record("new", "b", &["a"]), turns), NOW, &mut log);
    let mut again = tables(FOUNDER);
    log.into_iter().for_each(|l| again.replay(l, NOW));
    for t in [&mut other, &mut again] {
        let q = StoreCall::Sync(SyncCall { version: 1, me: 2, after: None });
        let StoreReply::Sync(s) = t.call(q, NOW, &mut Vec::new()) else { panic!() };
        let row = s.rows.iter().find(|r| r.program == "new").unwrap();
        assert_eq!(row.turns, ["a", "b"], "also after a restart");
    }
}

/// A turn whose attempt was taken over isn't kept for the one that lost it; a later life of a node is
/// told to an earlier one, and its attempts lapse.
#[test]
fn a_close_under_an_epoch_that_lost_its_authority_keeps_nothing() {
    let mut t = tables(FOUNDER);
    let mut log = Vec::new();
    let old = attempt(1, 50);
    let epoch = old.epoch();
    t.call(open(1, 1, 50, None), NOW, &mut log);
    let write = |w| StoreCall::Write { version: 1, program: "p".into(), write: w };
    let (node, incarnation, session) = (6, 1, 7);
    let next = epoch.next(node, incarnation, 9);
    let lease = Duration::from_secs(60);
    let over = || LedgerWrite::Recover {
        req: 1,
        epoch: next,
        node,
        incarnation,
        session,
        most: 50,
        lease,
    };
    let StoreReply::Written { outcome, .. } = t.call(write(over()), NOW, &mut log) else {
        panic!()
    };
    assert_eq!(outcome, WriteOutcome::LeaseActive, "its lease runs");
    // The same node in a later life: what it held before has lapsed.
    t.call(open(1, 2, 50, None), NOW, &mut log);
    let StoreReply::Written { outcome, .. } = t.call(write(over()), NOW, &mut log) else {
        panic!()
    };
    assert!(matches!(outcome, WriteOutcome::Recovered { call: None, .. }));
    let (record, earlier) = (record("p", "a", &[]), Vec::new());
    let late =
        StoreCall::Close { version: 1, record, earlier, settle: Some(settle(1, Some(epoch), 5)) };
    let StoreReply::Written { outcome, .. } = t.call(late, NOW, &mut log) else { panic!() };
    assert!(matches!(outcome, WriteOutcome::Fenced { .. }));
    assert!(!t.has_turn("a"));
    let StoreReply::Open(o) = t.call(open(1, 1, 50, None), NOW, &mut log) else { panic!() };
    assert_eq!(o.later, Some(102), "its clock went back: a later life of it spoke before");
}

/// Whatever the order of claims, settlements and repeats, tables rebuilt from the log, or by another
/// store from this one, are the same.
#[test]
fn the_ledger_rebuilt_from_its_log_is_the_same() {
    for seed in 0..200u64 {
        arbtest::arbtest(|u| {
            let mut t = tables(FOUNDER);
            let mut log = Vec::new();
            let mut settled: HashMap<u64, u32> = HashMap::new();
            for _ in 0..u.int_in_range(1..=40)? {
                let req = u.int_in_range(1..=6u64)?;
                let tokens = u.int_in_range(1..=90u32)?;
                if u.arbitrary()? {
                    t.call(open(1, req, 90, None), NOW, &mut log);
                } else {
                    settled.entry(req).or_insert(tokens);
                    let write = settle(req, None, tokens);
                    t.call(StoreCall::Notify { program: "p".into(), write }, NOW, &mut log);
                }
            }
            let rows = |t: &mut StoreTables| {
                let q = StoreCall::Sync(SyncCall { version: 1, me: 2, after: None });
                match t.call(q, NOW, &mut Vec::new()) {
                    StoreReply::Sync(s) => s.rows,
                    r => panic!("{r:?}"),
                }
            };
            let mine = rows(&mut t);
            let mut again = tables(FOUNDER);
            log.into_iter().for_each(|l| again.replay(l, NOW));
            assert_eq!(mine, rows(&mut again));
            let mut filled = tables(None);
            for r in mine.clone() {
                assert!(filled.merge(r, NOW, &mut Vec::new()).is_empty());
            }
            assert_eq!(mine, rows(&mut filled));
            for e in mine.into_iter().flat_map(|r| r.ledger) {
                let tokens = e.is_settled().then(|| e.tokens());
                assert_eq!(tokens, settled.get(&e.req).copied());
            }
            Ok(())
        })
        .seed(seed << 32 | 512);
    }
}

/// A store that is being retired gets no new turns: its no to a search says nothing, and what it missed
/// before it was told to leave it never learns.
#[test]
fn a_leaving_store_speaks_only_for_what_it_had() {
    let set = set_of(&[1, 2, 3, 4]);
    let mut h = History::new(1, FOUNDER);
    h.learn(set.clone());
    assert!(h.is_caught_up());
    // Store 2 goes, and before this one has taken over its share it is to leave.
    let less = set.next(|s| s.stores.retain(|e| e.id != 2));
    assert_eq!(h.learn(less.clone()), SetUpdate::TransferDue);
    let leaving = less.next(|s| s.stores[0].state = StoreState::Leaving);
    assert_eq!(h.learn(leaving.clone()), SetUpdate::Unassigned);
    assert_eq!(h.caught_up, FOUNDER);
    assert!(!h.is_caught_up() && h.missing().is_empty());
    assert!(!h.complete());
    // Nor does another count it for the programs that it gained and never received.
    let mut other = History::new(3, None);
    other.learn(leaving.clone());
    other.transferred(leaving.version, 1, h.caught_up);
    let gained = |k: &u64| !set.group(*k).contains(&1) && less.group(*k).contains(&1);
    let key = (0..1000).find(|k| gained(k) && leaving.group(*k).contains(&3)).unwrap();
    assert!(!other.has_complete_history(key));
}

/// Seen in a trial: a store came back without its disk and, until the set had its new identity, answered
/// for the old one, which then counted as having transferred all that it had held.
#[test]
fn a_store_that_the_set_does_not_have_answers_for_nobody() {
    let mut h = History::new(9, None);
    h.learn(set_of(&[1, 2, 3]));
    let mut t = StoreTables::new(h, Limits::default());
    let mut log = Vec::new();
    let calls = [
        StoreCall::Sync(SyncCall { version: 1, me: 2, after: None }),
        close(record("p", "a", &[]), Vec::new()),
        open(1, 1, 5, None),
        StoreCall::Find { version: 1, id: "a".into() },
    ];
    for q in calls {
        let got = t.call(q, NOW, &mut log);
        assert!(matches!(got, StoreReply::Unable), "{got:?}");
    }
    assert!(log.is_empty());
}

/// An incident: a store whose group had lost more than may be lost was caught up as soon as nobody was
/// missing, and called turns unknown that it can't know of. Generated: each of the stores is as before, gone
/// (its place free or taken by an empty disk), or silent. One is caught up only where every program's group
/// has a majority that transferred; within tolerance it always is.
#[test]
fn what_is_beyond_proof_is_not_vouched_for() {
    let (mut proved, mut refused) = (0, 0);
    for seed in 0..400u64 {
        arbtest::arbtest(|u| {
            let tolerated = u.int_in_range(1..=2u32)?;
            let count = u.int_in_range(2..=7u64)?;
            let ids: Vec<u64> = (1..=count).collect();
            let first = set_of(&ids).next(|s| s.tolerated = tolerated);
            let span = Some(VersionSpan { from: 1, to: first.version });
            let (mut set, mut lost, mut silent) = (first.clone(), Vec::new(), Vec::new());
            for id in 2..=count {
                match u.int_in_range(0..=6u8)? {
                    0 if set.placed() > set.group_size() => {
                        lost.push(id);
                        set = set.next(|s| s.stores.retain(|e| e.id != id));
                    }
                    1 => {
                        lost.push(id);
                        let renew = |e: &mut StoreEntry| e.id += if e.id == id { 100 } else { 0 };
                        set = set.next(|s| s.stores.iter_mut().for_each(renew));
                    }
                    2 => silent.push(id),
                    _ => {}
                }
            }
            let mut h = History::new(1, span);
            h.learn(set.clone());
            for e in set.stores.iter().filter(|e| e.id != 1 && !silent.contains(&e.id)) {
                h.transferred(set.version, e.id, if e.id < 100 { span } else { None });
                h.complete();
            }
            let away = lost.len() + silent.len();
            let borne = first.quorum() - 1;
            assert!(h.is_caught_up() || away > borne, "{lost:?} {silent:?}");
            let gone = |id: &&u64| lost.contains(id) || silent.contains(id);
            let sound = (0..300u64).map(|n| StoreSet::key_of(&format!("p{n}"))).all(|key| {
                let known = first.group(key).iter().filter(|id| !gone(id)).count();
                let always =
                    set.placements.iter().all(|p| p.group(key, set.group_size()).contains(&1));
                !set.group(key).contains(&1)
                    || always
                    || known + first.quorum() > first.group(key).len()
            });
            assert!(!h.is_caught_up() || sound, "{lost:?} {silent:?}");
            assert_eq!(h.is_beyond_proof(), !h.is_caught_up() && silent.is_empty());
            match h.is_caught_up() {
                true => proved += 1,
                false => refused += 1,
            }
            Ok(())
        })
        .seed(seed << 32 | 256);
    }
    assert!(proved > 50 && refused > 50, "{proved} {refused}");
}

/// Two stores are lost at once, and their ranks are gone. Whoever catches up first has a span without gaps:
/// the others still prove their history by it. So a store is given what it kept under any placement that is
/// remembered.
#[test]
fn the_first_to_catch_up_after_two_losses_holds_up_nobody() {
    let first = set_of(&[1, 2, 3, 4, 5, 6, 7, 8]).next(|s| s.tolerated = 2);
    let less = first.next(|s| s.stores.retain(|e| e.id != 7));
    let last = less.next(|s| s.stores.retain(|e| e.id != 8));
    // Back as an empty disk with a rank of its own: some programs of the placement between move on.
    let last =
        last.next(|s| s.stores.push(StoreEntry { id: 9, rank: 99, ..first.stores[6].clone() }));
    let span = Some(VersionSpan { from: 1, to: first.version });
    let history = |id: u64| {
        let mut h = History::new(id, span.filter(|_| id != 9));
        h.learn(last.clone());
        h
    };
    let mut stores: Vec<History> = [1, 2, 3, 4, 5, 6, 9].map(history).into();
    for i in 0..stores.len() {
        for j in 0..stores.len() {
            let (id, span) = (stores[j].me, stores[j].caught_up);
            stores[i].transferred(last.version, id, span);
            stores[i].complete();
        }
        assert!(stores[i].is_caught_up(), "store {} after {i} others", stores[i].me);
    }
    let moved = |key: &u64| less.group(*key).contains(&1) && !last.group(*key).contains(&1);
    let key = (0..5000).map(|n| StoreSet::key_of(&format!("p{n}"))).find(moved).unwrap();
    assert!(stores[1].keeps(1, key), "it vouches for that placement as well");
}

/// One store's disk is lost while another is away, is taken out of the set and comes back before anybody had
/// the programs that it left. Who lacked some of them in between vouches for nothing there: otherwise the new
/// disk would count as caught up without what lies only with the store that was away, and say no to it.
#[test]
fn a_span_never_covers_a_placement_whose_programs_the_store_lacked() {
    let first = set_of(&[1, 2, 3, 4]);
    let wiped = first.next(|s| s.stores[2].id = 9);
    let without = wiped.next(|s| s.stores.retain(|e| e.id != 4));
    let back = without.next(|s| s.stores.push(first.stores[3].clone()));
    let span = Some(VersionSpan { from: 1, to: first.version });
    let learns_all = |id: u64, span| {
        let mut history = History::new(id, span);
        for set in [&wiped, &without, &back] {
            history.learn(set.clone());
        }
        history
    };
    let [one, two] = [1, 2].map(|id| learns_all(id, span));
    assert!(!one.is_caught_up(), "it was given programs in between and never had them");
    let mut straight = History::new(1, span);
    straight.learn(wiped.clone());
    assert_eq!(straight.learn(back.clone()), SetUpdate::TransferDue, "nor by the last set alone");

    let mut new_disk = learns_all(9, None);
    for other in [&one, &two] {
        new_disk.transferred(back.version, other.me, other.caught_up);
    }
    let on_lost_and_away = |key: &u64| {
        let group = first.group(*key);
        group.contains(&3) && group.contains(&4) && back.group(*key).contains(&9)
    };
    let mut keys = (0..500).map(|n| StoreSet::key_of(&format!("p{n}")));
    let key = keys.find(on_lost_and_away).unwrap();
    assert!(!new_disk.complete() && !new_disk.has_complete_history(key), "without the one away");
    let away = History::new(4, span);
    new_disk.transferred(back.version, 4, away.caught_up);
    assert!(new_disk.complete() && new_disk.has_complete_history(key));
}
