//! Which stores are placed, on traces.
use control_cell::duties::may_retire;
use control_cell::prelude::*;

fn status(id: u64, name: &str, fresh: bool) -> StoreStatus {
    StoreStatus {
        id,
        name: name.into(),
        addr: format!("{name}:1"),
        zone: format!("zone-{name}"),
        fresh,
        version: 1,
        caught_up: span(1, 1),
        ending: false,
        loss_counted: true,
    }
}

fn seen(list: &[(u64, &str, bool)]) -> Vec<StoreObservation> {
    list.iter()
        .map(|(id, n, f)| StoreObservation {
            status: status(*id, n, *f),
            silent: Duration::ZERO,
            known_for: LONG,
        })
        .collect()
}

fn founded() -> (StoreSet, Vec<StoreObservation>) {
    let s = seen(&[(1, "a", false), (2, "b", false), (3, "c", false), (4, "d", false)]);
    let set = next_stores(&StoreSet::default(), &s, Duration::from_secs(2), 1, &bounds()).unwrap();
    (set, s)
}

fn span(from: u64, to: u64) -> Option<VersionSpan> {
    Some(VersionSpan { from, to })
}

/// All tell that they are caught up under a set.
fn caught_up(s: &mut [StoreObservation], set: &StoreSet) {
    s.iter_mut().for_each(|x| x.status.caught_up = span(set.version, set.version));
}

const LONG: Duration = Duration::from_secs(60);

fn bounds() -> RecoveryBounds {
    RecoveryBounds::from_catch_up(Duration::from_secs(6))
}

fn due(set: &StoreSet, s: &[StoreObservation]) -> Option<StoreSet> {
    next_stores(set, s, LONG, 1, &bounds())
}

#[test]
fn founders_are_placed_at_once_and_nothing_more_is_due() {
    let (set, s) = founded();
    assert_eq!((set.version, set.placed(), set.quorum(), set.tolerated), (1, 4, 2, 1));
    assert!(due(&set, &s).is_none());
}

#[test]
fn a_wiped_store_takes_its_place_anew_at_once() {
    let (set, mut s) = founded();
    s[1] = seen(&[(9, "b", true)]).remove(0);
    s[1].status.caught_up = None;
    let next = due(&set, &s).unwrap();
    assert!(next.find(2).is_none() && next.find(9).is_some());
    assert_eq!(next.placed(), 4);
    caught_up(&mut s, &next);
    assert!(due(&next, &s).is_none());
}

#[test]
fn planned_steps_wait_until_all_are_caught_up() {
    let (set, mut s) = founded();
    s.extend(seen(&[(5, "e", true)]));
    s[2].status.caught_up = None;
    assert!(due(&set, &s).is_none());
    caught_up(&mut s, &set);
    let set = due(&set, &s).unwrap();
    assert_eq!((set.version, set.placed()), (2, 5));
    assert!(due(&set, &s).is_none());
    // While one is silent the newcomer may be the one that replaces it.
    caught_up(&mut s, &set);
    s.extend(seen(&[(6, "f", true)]));
    s[0].silent = Duration::from_secs(1);
    s[5].known_for = s[0].silent + bounds().heard_margin - Duration::from_millis(1);
    assert!(due(&set, &s).is_none());
    s[0].silent -= Duration::from_millis(1);
    assert_eq!(due(&set, &s).unwrap().placed(), 6);
    // It reported after the newcomer, and is away now: planned steps wait for it.
    (s[5].known_for, s[0].silent) = (LONG, bounds().replace_after);
    assert!(due(&set, &s).is_none());
}

#[test]
fn a_retired_store_goes_once_all_others_are_caught_up_without_it() {
    let (set, mut s) = founded();
    let set = set.begin_retirement("c");
    assert_eq!(set.placed(), 3);
    assert!(due(&set, &s).is_none());
    caught_up(&mut s, &set);
    s[0].status.caught_up = span(1, 1);
    assert!(due(&set, &s).is_none());
    caught_up(&mut s, &set);
    let set = due(&set, &s).unwrap();
    assert_eq!(set.retirement("c"), Some(Retirement::Completed));
    caught_up(&mut s, &set);
    assert!(due(&set, &s).is_none(), "it doesn't come back");
}

#[test]
fn a_store_back_from_a_freeze_is_kept_and_a_silent_one_gives_way_to_one_of_its_zone() {
    let (set, mut s) = founded();
    s[0].silent = bounds().remove_after;
    assert!(due(&set, &s).is_none());
    s[0].silent += Duration::from_millis(1);
    assert!(due(&set, &s).unwrap().find(1).is_none(), "the others keep its programs");
    s[0].silent = bounds().remove_after;
    s.push(StoreObservation {
        status: status(9, "n", true),
        silent: Duration::ZERO,
        known_for: LONG,
    });
    s[4].status.zone = "zone-a".into();
    let set = due(&set, &s).unwrap();
    assert!(set.find(1).is_none() && set.find(9).is_some());
}

/// An incident: a machine was replaced by another just when it fell silent; the newcomer was taken as
/// one more, waited for the dead one, which stayed placed while anybody wasn't caught up.
#[test]
fn a_dead_store_is_given_up_even_while_others_wait_for_it() {
    let (set, mut s) = founded();
    s.extend(seen(&[(5, "e", true)]));
    s[4].status.zone = "zone-a".into();
    s[0].silent = Duration::from_secs(1);
    s[4].known_for = Duration::from_millis(700);
    assert!(due(&set, &s).is_none(), "one more, or in its place? That will show");
    s[0].silent = Duration::from_secs(2);
    let next = due(&set, &s).unwrap();
    assert!(next.find(1).is_none() && next.find(5).is_some());
    let late = set.next(|n| n.stores.push(next.find(5).unwrap().clone()));
    s[4].status.caught_up = None;
    s[0].silent = Duration::from_secs(30);
    assert!(due(&late, &s).unwrap().find(1).is_none());
}

#[test]
fn too_few_are_told() {
    let (set, _) = founded();
    assert!(may_retire(&set));
    let less = set.next(|n| drop(n.stores.pop()));
    assert!(!may_retire(&less), "a whole group must stay");
    let strict = set.next(|n| n.tolerated = 2);
    assert!(!may_retire(&strict));
}

/// An incident: a store lost its disk while it was being retired. It came back with a new identity, was
/// given a place of its own, and the acknowledged order was forgotten: `GET /retire/NODE` said 404.
#[test]
fn a_retirement_outlives_the_disk_of_the_store_that_leaves() {
    let (set, mut s) = founded();
    let set = set.begin_retirement("c");
    assert_eq!(set.retirement("c"), Some(Retirement::Running));
    s[2] = seen(&[(9, "c", true)]).remove(0);
    s[2].status.caught_up = None;
    let next = due(&set, &s).unwrap();
    assert_eq!(next.retirement("c"), Some(Retirement::Running), "the order holds");
    assert!(next.find(3).is_none() && next.find(9).is_none(), "it isn't taken in anew");
    assert!(due(&next, &s).is_none(), "the others don't have its programs yet");
    caught_up(&mut s, &next);
    let done = due(&next, &s).unwrap();
    assert_eq!(done.retirement("c"), Some(Retirement::Completed));
    caught_up(&mut s, &done);
    assert!(due(&done, &s).is_none(), "it doesn't come back");
}

/// The same when another machine takes the place of the one that leaves, and when it stays silent.
#[test]
fn a_retirement_outlives_the_machine_of_the_store_that_leaves() {
    let (set, mut s) = founded();
    let set = set.begin_retirement("c");
    s[2].silent = Duration::from_secs(5);
    s.push(StoreObservation {
        status: status(9, "n", true),
        silent: Duration::ZERO,
        known_for: LONG,
    });
    s[4].status.zone = "zone-c".into();
    let next = due(&set, &s).unwrap();
    assert!(next.find(3).is_none() && next.find(9).is_some());
    assert_eq!(next.retirement("c"), Some(Retirement::Running));
    caught_up(&mut s, &next);
    let done = due(&next, &s).unwrap();
    assert_eq!(done.retirement("c"), Some(Retirement::Completed));
}

/// A store that is silent, and was never seen caught up without the one that leaves, may lack what only
/// that one holds: its silence is no proof, and `completed` would take the last copy away.
#[test]
fn a_silent_store_that_is_not_proved_to_be_caught_up_holds_a_retirement_up() {
    let (set, mut s) = founded();
    let set = set.begin_retirement("c");
    caught_up(&mut s, &set);
    s[0].status.caught_up = span(1, 1);
    s[0].silent = Duration::from_secs(3);
    assert!(due(&set, &s).is_none(), "within the tolerated losses, but not proved");
    s[0].status.caught_up = span(1, set.version);
    let done = due(&set, &s).unwrap();
    assert_eq!(done.retirement("c"), Some(Retirement::Completed), "proved, though silent now");
}

/// What the reports prove is agreed on with the step that they led to; placements are forgotten by that
/// and never by their number.
#[test]
fn placements_are_forgotten_by_proof_and_not_by_number() {
    let (mut set, mut s) = founded();
    s[3].status.caught_up = None;
    for id in 10..60 {
        s[0] = seen(&[(id, "a", true)]).remove(0);
        s[0].status.caught_up = None;
        set = due(&set, &s).unwrap();
    }
    assert_eq!(set.placements.len(), 51, "nobody has caught up: all of them may be needed");
    caught_up(&mut s, &set);
    s[0] = seen(&[(60, "a", true)]).remove(0);
    s[0].status.caught_up = None;
    let mut before = seen(&[(59, "a", true)]).remove(0);
    before.silent = LONG;
    before.status.caught_up = span(set.version, set.version);
    s.push(before);
    set = due(&set, &s).unwrap();
    assert_eq!(set.placements.len(), 2, "the last of them was complete");
}

/// An incident: a machine was replaced as planned by another of its name, which was up before the old
/// one went. Each was taken for the other's successor in turn, the set changed with every look, and
/// what the stores transferred never counted.
#[test]
fn a_machine_that_drains_beside_its_successor_leaves_and_does_not_take_the_place_back() {
    let (set, mut s) = founded();
    let mut newer = seen(&[(9, "b", true)]).remove(0);
    newer.status.addr = "elsewhere:1".into();
    newer.status.caught_up = None;
    s.push(newer);
    let next = due(&set, &s).unwrap();
    let state = |set: &StoreSet, id| set.find(id).map(|e| e.state);
    assert_eq!(state(&next, 2), Some(StoreState::Leaving), "it transfers what it holds");
    assert_eq!(state(&next, 9), Some(StoreState::Placed));
    let key = |e: &StoreSet, id| e.find(id).map(|e| e.rank);
    assert_eq!(key(&next, 9), key(&set, 2), "nobody else's programs move");
    assert!(due(&next, &s).is_none(), "and that is all");
    caught_up(&mut s, &next);
    let done = due(&next, &s).unwrap();
    assert!(done.find(2).is_none());
    assert!(due(&done, &s).is_none(), "the old one still reports, and stays out");
}

/// While a machine drains beside a successor of its name its disk is lost: what comes up there has its name
/// and is as new as the successor.
#[test]
fn a_machine_that_drains_and_loses_its_disk_does_not_take_the_place_back() {
    let (set, mut s) = founded();
    let mut newer = seen(&[(9, "b", true)]).remove(0);
    (newer.status.addr, newer.status.caught_up) = ("elsewhere:1".into(), None);
    s.push(newer);
    let next = due(&set, &s).unwrap();
    s[1] = seen(&[(10, "b", true)]).remove(0);
    s[1].status.caught_up = None;
    let next = due(&next, &s).unwrap();
    assert!(next.find(2).is_none() && next.find(10).is_none());
    assert_eq!(next.find(9).map(|e| e.state), Some(StoreState::Placed));
    caught_up(&mut s, &next);
    assert!(due(&next, &s).is_none(), "the machine still reports, and stays out");
}

/// The last report of a lost disk may be younger than the first of the disk that takes its place.
#[test]
fn a_late_report_of_a_lost_disk_does_not_take_the_place_back() {
    let (set, mut s) = founded();
    s.push(seen(&[(9, "b", true)]).remove(0));
    s[4].status.caught_up = None;
    let next = due(&set, &s).unwrap();
    assert!(next.find(2).is_none() && next.find(9).is_some());
    assert!(due(&next, &s).is_none());
}

/// An incident: a machine was replaced as planned, its successor up before it went. It stayed placed for
/// 20 s of silence, counted anew after each loss of power, and with one more store lost no store could
/// prove its history: the groups refused their programs long after everything was back.
#[test]
fn a_store_that_is_told_to_stop_leaves_before_it_goes() {
    let (set, mut s) = founded();
    s[3].status.ending = true;
    s[0].status.caught_up = None;
    assert!(due(&set, &s).is_none(), "a planned step");
    caught_up(&mut s, &set);
    let next = due(&set, &s).unwrap();
    assert_eq!(next.find(4).map(|e| e.state), Some(StoreState::Leaving));
    assert!(due(&next, &s).is_none(), "its programs are on their way");
    caught_up(&mut s, &next);
    let done = due(&next, &s).unwrap();
    assert!(done.find(4).is_none());
    assert!(due(&done, &s).is_none(), "while it ends it isn't taken in again");
    s[3].status.ending = false;
    caught_up(&mut s, &done);
    assert_eq!(due(&done, &s).unwrap().placed(), 4, "it was only restarted");
}

/// The same when it could not leave in time: its last report says that it was told to stop.
#[test]
fn a_store_that_ended_is_not_waited_for() {
    let (set, mut s) = founded();
    s[3].status.ending = true;
    s[3].silent = Duration::from_secs(2);
    s[0].status.caught_up = None;
    assert!(due(&set, &s).unwrap().find(4).is_none());
    s[3].status.ending = false;
    assert!(due(&set, &s).is_none(), "it may be back in a moment");
}

/// An incident: a store was lost for good, and its successor reported 0.3 s later. The silence of the one
/// was too short to tell, so that the other came in as one more; the lost one stayed placed for ten
/// seconds, and half of its programs had one copy fewer than tolerance asks for.
#[test]
fn a_successor_takes_its_place_whenever_it_comes() {
    for catch_up in [4100, 4200, 6000].map(Duration::from_millis) {
        let bounds = RecoveryBounds::from_catch_up(catch_up);
        for (gap, zone) in (0..30).flat_map(|n| [(n * 50, "zone-a"), (n * 50, "elsewhere")]) {
            let (set, mut s) = founded();
            let set = set.next(|n| drop(n.stores.pop()));
            caught_up(&mut s, &set);
            s[3] = seen(&[(9, "n", true)]).remove(0);
            s[3].status.zone = zone.into();
            s[3].status.caught_up = None;
            // The last report of the lost store came `gap` before the first of its successor.
            let gap = Duration::from_millis(gap);
            let took = (0..).map(|n| Duration::from_millis(n * 50)).find_map(|now| {
                (s[0].silent, s[3].known_for) = (gap + now, now);
                let next = next_stores(&set, &s, LONG, 1, &bounds)?;
                assert!(next.find(1).is_none() && next.find(9).is_some(), "one more: {gap:?}");
                Some(s[0].silent)
            });
            let bound = if zone == "zone-a" { bounds.replace_after } else { bounds.remove_after };
            assert!(took.unwrap() <= gap.max(bound + Duration::from_millis(50)));
        }
    }
}

/// Planned steps go on beside a dead store: it is taken out early wherever a group's worth stays.
#[test]
fn a_dead_store_holds_nothing_up_for_longer_than_its_silence_is_waited_out() {
    let (set, mut s) = founded();
    s.extend(seen(&[(5, "e", true)]));
    s[0].status.caught_up = None;
    s[0].silent = bounds().remove_after + Duration::from_millis(1);
    let less = due(&set, &s).unwrap();
    assert!(less.find(1).is_none() && less.find(5).is_none());
    caught_up(&mut s, &less);
    let more = due(&less, &s).unwrap();
    assert!(more.find(5).is_some());
    // A new leader hasn't heard of it: nobody is taken in or out until that says something.
    let others = &s[1..];
    let new_leader = |calm| next_stores(&set, others, calm, 1, &bounds());
    assert!(new_leader(bounds().remove_after).is_none());
    assert!(new_leader(bounds().remove_after + Duration::from_millis(1)).is_some());
}

/// More than may be lost are silent at once, as after a loss of power: they are waited for. One that was
/// taken out and returns with its disk comes in at once where the others can't prove their history.
#[test]
fn stores_that_are_silent_together_are_waited_for() {
    let (set, mut s) = founded();
    for x in &mut s[..2] {
        x.silent = bounds().give_up_after;
    }
    assert!(due(&set, &s).is_none());
    // One of them was told to stop: the other is alone.
    s[1].status.ending = true;
    s[1].silent = bounds().replace_after;
    assert!(due(&set, &s).unwrap().find(1).is_none());
    s[1].status.ending = false;
    let gone = set.next(|n| n.stores.retain(|e| e.id != 1));
    let gone = gone.next(|n| n.stores.retain(|e| e.id != 2));
    s[0].silent = Duration::ZERO;
    let next = due(&gone, &s).unwrap();
    assert!(next.find(1).is_some(), "nobody is caught up, nor can be without it");
    assert_eq!(next.find(1).unwrap().rank, set.find(1).unwrap().rank);
    assert!(!next.lacks_proof());
}

/// Machines whose loss isn't counted may go in any number: none of them is placed beside ones whose loss is.
#[test]
fn a_machine_whose_loss_is_not_counted_is_not_placed() {
    let mut founders = seen(&[(1, "a", false), (2, "b", false), (3, "c", false), (4, "d", false)]);
    founders[3].status.loss_counted = false;
    let first = Duration::from_secs(2);
    let set = next_stores(&StoreSet::default(), &founders, first, 1, &bounds()).unwrap();
    assert_eq!(set.stores.iter().map(|e| e.id).collect::<Vec<_>>(), [1, 2, 3]);
    caught_up(&mut founders, &set);
    assert!(due(&set, &founders).is_none(), "nor later");
    // Not even in the place of a dead one.
    founders[0].silent = LONG;
    assert!(due(&set, &founders).is_none());
}

#[test]
fn a_placed_machine_that_is_not_counted_any_more_leaves_by_plan() {
    let (set, mut s) = founded();
    caught_up(&mut s, &set);
    s[1].status.loss_counted = false;
    let next = due(&set, &s).unwrap();
    assert_eq!(next.find(2).map(|e| e.state), Some(StoreState::Leaving));
    caught_up(&mut s, &next);
    let gone = due(&next, &s).unwrap();
    assert!(gone.find(2).is_none() && gone.placed() == 3);
    caught_up(&mut s, &gone);
    assert!(due(&gone, &s).is_none());
}

#[test]
fn where_no_loss_is_counted_all_are_placed() {
    let mut founders = seen(&[(1, "a", false), (2, "b", false), (3, "c", false)]);
    founders.iter_mut().for_each(|s| s.status.loss_counted = false);
    let first = Duration::from_secs(2);
    let set = next_stores(&StoreSet::default(), &founders, first, 1, &bounds()).unwrap();
    assert_eq!(set.placed(), 3);
}

/// A store that left the set, for whatever reason, transfers again while the others can't prove what it had.
#[test]
fn a_store_that_is_needed_comes_back_to_transfer() {
    let (founded, s) = founded();
    // Of four, "b" drained beside its successor and was cut off, and the disk of "c" was lost meanwhile.
    let replaced = founded.next(|n| {
        n.superseded.insert(2);
        n.stores.retain(|e| e.id != 2 && e.id != 3);
        let placed = |id, name: &str, rank| StoreEntry {
            id,
            name: name.into(),
            addr: format!("{name}:2"),
            rank,
            ..founded.stores[1].clone()
        };
        n.stores.push(placed(12, "b", founded.stores[1].rank));
        n.stores.push(placed(13, "c", founded.stores[2].rank));
    });
    assert!(replaced.lacks_proof());
    let mut here = vec![s[0].clone(), s[3].clone(), s[1].clone()];
    here.extend(seen(&[(12, "b", true), (13, "c", true)]));
    here[3..].iter_mut().for_each(|s| s.status.caught_up = None);
    for reason in ["superseded", "ending", "retired"] {
        let mut set = replaced.clone();
        let mut back = here.clone();
        match reason {
            "ending" => {
                set.superseded.clear();
                back[2].status.ending = true;
            }
            "retired" => {
                set.superseded.clear();
                set.retirements.insert("b".into(), Retirement::Running);
            }
            _ => {}
        }
        let next = due(&set, &back).unwrap();
        let state = next.find(2).map(|e| e.state);
        assert_eq!(state, Some(StoreState::Leaving), "{reason}");
        assert_eq!(next.placement(), set.placement(), "{reason}: nobody's place changes");
        // Once all are caught up it goes again.
        caught_up(&mut back, &next);
        let gone = due(&next, &back).unwrap();
        assert!(gone.find(2).is_none() && !gone.lacks_proof(), "{reason}");
        caught_up(&mut back, &gone);
        assert!(due(&gone, &back).is_none(), "{reason}");
    }
}
