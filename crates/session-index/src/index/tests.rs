use crate::prelude::*;

const A: EngineKey = EngineKey(1);
const B: EngineKey = EngineKey(2);
const KEEP: Duration = Duration::from_secs(60);

fn blocks(ids: &[&str]) -> Vec<Block> {
    chain_blocks("m", ids.iter().map(|id| Part { id, tokens: 100 }))
}

fn at(s: u64) -> Duration {
    Duration::from_secs(s)
}

#[test]
fn a_hit_needs_everything_before_it() {
    let mut ix = CacheIndex::new(IndexTuning::default());
    ix.answered("l", A, &blocks(&["s", "1", "2"]), KEEP, at(1));
    ix.answered("k", B, &blocks(&["s", "9"]), KEEP, at(1));
    let mut got = ix.look_up(&blocks(&["s", "1", "2", "3"]), at(2));
    got.sort();
    assert_eq!(got, [(A, 300), (B, 100)]);
    assert_eq!(ix.look_up(&blocks(&["1", "2"]), at(2)), []);
    assert_eq!(ix.holder_of("l"), Some(A));
}

#[test]
fn a_shared_block_is_loose_only_when_no_line_holds_it() {
    let mut ix = CacheIndex::new(IndexTuning::default());
    let (l, k) = (blocks(&["s", "1"]), blocks(&["s", "2"]));
    ix.answered("l", A, &l, KEEP, at(0));
    ix.answered("k", A, &k, KEEP, at(30));
    let shared = l[0].hash;
    let r = ix.record(shared, A).unwrap();
    assert_eq!((r.ref_count, r.eviction_priority), (2, 80));
    ix.sweep(at(61));
    assert_eq!(ix.record(shared, A).unwrap().ref_count, 1);
    assert_eq!(ix.record(l[1].hash, A).unwrap().ref_count, 0);
    ix.sweep(at(95));
    assert_eq!(ix.record(shared, A).unwrap().eviction_priority, 10);
    ix.sweep(at(400));
    assert!(ix.record(shared, A).is_none());
    assert_eq!(ix.held_by(A), 0);
}

#[test]
fn a_pause_for_tools_changes_neither_references_nor_priority_and_a_turn_renews_the_time() {
    let mut ix = CacheIndex::new(IndexTuning::default());
    let b = blocks(&["s", "1"]);
    ix.answered("l", A, &b, KEEP, at(0));
    let before = ix.record(b[1].hash, A).unwrap().clone();
    ix.sweep(at(50));
    let after = ix.record(b[1].hash, A).unwrap();
    assert_eq!(
        (before.ref_count, before.eviction_priority),
        (after.ref_count, after.eviction_priority)
    );
    ix.sent("l");
    ix.sweep(at(70));
    assert_eq!(ix.holder_of("l"), Some(A), "an answer under way keeps its line");
    ix.answered("l", A, &blocks(&["s", "1", "2"]), KEEP, at(71));
    ix.sweep(at(130));
    assert_eq!(ix.holder_of("l"), Some(A));
}

#[test]
fn what_an_engine_disproves_or_can_t_hold_is_no_longer_believed() {
    let mut ix = CacheIndex::new(IndexTuning::default());
    let b = blocks(&["s", "1"]);
    ix.answered("l", A, &b, KEEP, at(0));
    ix.answered("k", A, &blocks(&["t", "2"]), KEEP, at(5));
    ix.disproved(A, &b, "l", at(6));
    assert!(ix.look_up(&b, at(6)).is_empty());
    assert_eq!(ix.holder_of("l"), None);
    assert_eq!(ix.held_by(A), 200);
    ix.answered("j", A, &blocks(&["t", "3"]), KEEP, at(7));
    ix.fit(A, 200);
    assert!(ix.held_by(A) <= 200);
    assert_eq!(ix.look_up(&blocks(&["t"]), at(7)), [(A, 100)], "the shared part goes last");
    ix.forget_engine(A);
    assert_eq!((ix.held_by(A), ix.counts().0), (0, 0));
}

/// Generated: references always equal the lines that name a block, sums always match the records.
#[test]
fn references_and_sums_hold_under_any_order() {
    for seed in 0..150u64 {
        arbtest::arbtest(|u| {
            let mut ix =
                CacheIndex::new(IndexTuning { most_records: 30, ..IndexTuning::default() });
            let mut now = 0;
            for _ in 0..u.int_in_range(1..=60)? {
                now += u.int_in_range(0..=20)?;
                let line = format!("l{}", u.int_in_range(0..=5)?);
                let key = EngineKey(u.int_in_range(1..=3)?);
                let n = u.int_in_range(1..=5)?;
                let mut ids = vec!["s".to_string()];
                for i in 0..n {
                    ids.push(format!("{line}-{i}"));
                }
                let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
                match u.int_in_range(0..=6)? {
                    0..=3 => ix.answered(&line, key, &blocks(&ids), KEEP, at(now)),
                    4 => ix.disproved(key, &blocks(&ids), &line, at(now)),
                    5 => ix.forget_engine(key),
                    _ => ix.sweep(at(now)),
                }
                ix.fit(key, 1500);
                assert!(ix.held_by(key) <= 1500);
                assert_eq!(ix.sum_of(key), ix.held_by(key));
            }
            ix.sweep(at(now));
            assert!(ix.counts().0 <= 30);
            Ok(())
        })
        .seed(seed << 32 | 1024);
    }
}
