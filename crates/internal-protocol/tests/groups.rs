//! Groups of stores: what a change of the placement may do to them, and who may speak for a program.
use internal_protocol::prelude::*;
use internal_protocol::stores::*;

const SIZES: [usize; 4] = [4, 5, 9, 15];
const TOLERANCES: [u32; 3] = [1, 2, 3];

fn entry(id: u64, name: &str, zone: u64) -> StoreEntry {
    StoreEntry {
        id,
        name: name.into(),
        addr: format!("{name}:1"),
        zone: format!("z{zone}"),
        state: StoreState::Placed,
        since: 1,
        rank: fnv64(name.as_bytes()),
        loss_counted: true,
    }
}

fn founded(n: usize, zones: u64, tolerated: u32) -> StoreSet {
    StoreSet::default().next(|s| {
        s.tolerated = tolerated;
        s.stores = (0..n as u64).map(|i| entry(i + 1, &format!("s{i}"), i % zones)).collect();
    })
}

#[test]
fn a_group_has_as_many_stores_as_the_tolerance_needs_and_spreads_over_zones() {
    for n in SIZES {
        for t in TOLERANCES {
            let set = founded(n, 4, t);
            for key in 0..200 {
                let g = set.group(key);
                assert_eq!(g.len(), n.min(2 * t as usize + 1));
                assert!(2 * set.quorum() > g.len(), "two majorities meet");
                let zones: BTreeSet<&str> =
                    g.iter().map(|id| set.find(*id).unwrap().zone.as_str()).collect();
                assert_eq!(zones.len(), g.len().min(4));
            }
        }
    }
}

/// Generated: whoever comes or goes, at most one store comes to any group, and one at most leaves it; a
/// wiped store takes the rank it had.
#[test]
fn a_change_of_one_store_changes_one_member_at_the_most() {
    for seed in 0..120u64 {
        arbtest::arbtest(|u| {
            let n = SIZES[u.int_in_range(0..=3usize)?];
            let t = TOLERANCES[u.int_in_range(0..=2usize)?];
            let zones = u.int_in_range(1..=5u64)?;
            let set = founded(n, zones, t);
            let hit = u.int_in_range(0..=n - 1)?;
            let kind = u.int_in_range(0..=3u8)?;
            let zone = u.int_in_range(0..=zones)?;
            let next = set.next(|s| match kind {
                0 => drop(s.stores.remove(hit)),
                1 => s.stores[hit].state = StoreState::Leaving,
                2 => s.stores.push(entry(99, "new", zone)),
                _ => s.stores[hit].id = 99,
            });
            for key in 0..100u64 {
                let (a, b) = (set.group(key), next.group(key));
                let came = b.iter().filter(|id| !a.contains(id)).count();
                let went = a.iter().filter(|id| !b.contains(id)).count();
                assert!(came <= 1 && went <= 1, "kind {kind}: {a:?} {b:?}");
                if kind == 3 {
                    let old = set.stores[hit].id;
                    let same: Vec<u64> =
                        a.iter().map(|id| if *id == old { 99 } else { *id }).collect();
                    assert_eq!(same, b, "the same rank");
                }
            }
            Ok(())
        })
        .seed(seed << 32 | 256);
    }
}

#[test]
fn who_gained_programs_must_ask_and_who_did_not_needn_t() {
    let set = founded(5, 5, 1);
    let span = Some(VersionSpan { from: 1, to: 1 });
    let wiped = set.next(|s| s.stores[0].id = 99);
    assert!(!wiped.may_lack_programs(2, span), "others keep what they kept");
    assert!(wiped.may_lack_programs(99, None));
    let less = set.next(|s| drop(s.stores.remove(0)));
    assert!(less.may_lack_programs(2, span));
    let more = set.next(|s| s.stores.push(entry(6, "s5", 5)));
    assert!(!more.may_lack_programs(2, span));
    // Gone and back between two looks: what was written meanwhile went by it.
    let back = less.next(|s| s.stores.push(entry(1, "s0", 0)));
    assert!(back.may_lack_programs(1, span));
    // The others kept all that they keep now under each placement between: they go on speaking for it. Those
    // that had the programs of the placement between needn't ask; the others must, since their span would
    // else cover what they lacked.
    let caught_up_between = Some(VersionSpan { from: 1, to: less.version });
    for id in 2..=5 {
        assert!(!back.may_lack_programs(id, caught_up_between));
        assert!(back.may_lack_programs(id, span));
        let kept = |set: &StoreSet, key| set.group(key).contains(&id);
        let none = BTreeMap::new();
        for key in (0..2000).filter(|key| kept(&back, *key)) {
            assert!(kept(&less, key) && kept(&set, key));
            assert!(back.has_complete_history(id, span, &none, key));
        }
    }
}

/// A store that came to a group speaks for it once a majority of the group before has given what it
/// knows, even when one of that group is lost in the same moment.
#[test]
fn a_newcomer_speaks_once_a_majority_of_those_before_it_gave() {
    let set = founded(5, 5, 1);
    let next = set.next(|s| s.stores[0].state = StoreState::Leaving);
    let span = Some(VersionSpan { from: 1, to: 1 });
    let mut seen = 0;
    for key in 0..400u64 {
        let (a, b) = (set.group(key), next.group(key));
        let Some(new) = b.iter().find(|id| !a.contains(id)) else { continue };
        seen += 1;
        let mut transfers = BTreeMap::new();
        assert!(!next.has_complete_history(*new, span, &transfers, key));
        transfers.insert(a[0], span);
        assert!(!next.has_complete_history(*new, span, &transfers, key));
        transfers.insert(a[1], span);
        assert!(next.has_complete_history(*new, span, &transfers, key));
        for id in b.iter().filter(|id| *id != new) {
            assert!(
                next.has_complete_history(*id, span, &BTreeMap::new(), key),
                "it was there before"
            );
        }
    }
    assert!(seen > 50);
}
