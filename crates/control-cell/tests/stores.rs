//! Which stores have seats, on traces.
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
        whole: 1,
    }
}

fn seen(list: &[(u64, &str, bool)]) -> Vec<StoreObservation> {
    list.iter()
        .map(|(id, n, f)| StoreObservation { status: status(*id, n, *f), silent: Duration::ZERO })
        .collect()
}

fn founded() -> (StoreSet, Vec<StoreObservation>) {
    let s = seen(&[(1, "a", false), (2, "b", false), (3, "c", false), (4, "d", false)]);
    let set = next_stores(&StoreSet::default(), &s, Duration::from_secs(2), 1).unwrap();
    (set, s)
}

fn whole(s: &mut [StoreObservation], version: u64) {
    s.iter_mut().for_each(|x| x.status.whole = version);
}

const LONG: Duration = Duration::from_secs(60);

fn due(set: &StoreSet, s: &[StoreObservation]) -> Option<StoreSet> {
    next_stores(set, s, LONG, 1)
}

#[test]
fn founders_have_seats_at_once_and_nothing_more_is_due() {
    let (set, s) = founded();
    assert_eq!((set.version, set.seated(), set.quorum(), set.tolerated), (1, 4, 2, 1));
    assert!(due(&set, &s).is_none());
}

#[test]
fn a_wiped_store_takes_its_seat_anew_at_once() {
    let (set, mut s) = founded();
    s[1] = seen(&[(9, "b", true)]).remove(0);
    s[1].status.whole = 0;
    let next = due(&set, &s).unwrap();
    assert!(next.find(2).is_none() && next.find(9).is_some());
    assert_eq!(next.seated(), 4);
    whole(&mut s, 2);
    assert!(due(&next, &s).is_none());
}

#[test]
fn planned_steps_wait_until_all_at_work_are_whole() {
    let (set, mut s) = founded();
    s.extend(seen(&[(5, "e", true)]));
    s[2].status.whole = 0;
    assert!(due(&set, &s).is_none());
    whole(&mut s, 1);
    let set = due(&set, &s).unwrap();
    assert_eq!((set.version, set.seated()), (2, 5));
    assert!(due(&set, &s).is_none());
    // While one is silent the newcomer may be the one that replaces it.
    whole(&mut s, 2);
    s.extend(seen(&[(6, "f", true)]));
    s[0].silent = Duration::from_secs(1);
    assert!(due(&set, &s).is_none());
    s[0].silent = Duration::ZERO;
    assert_eq!(due(&set, &s).unwrap().seated(), 6);
}

#[test]
fn a_leaving_store_goes_once_the_others_are_whole_without_it() {
    let (set, mut s) = founded();
    let set = set.next(|n| n.stores[2].state = StoreState::Leaving);
    assert_eq!(set.seated(), 3);
    assert!(due(&set, &s).is_none());
    whole(&mut s, 2);
    s[0].status.whole = 1;
    assert!(due(&set, &s).is_none());
    whole(&mut s, 2);
    let set = due(&set, &s).unwrap();
    assert_eq!(set.emptied, ["c"]);
    whole(&mut s, 3);
    assert!(due(&set, &s).is_none(), "it doesn't come back");
}

#[test]
fn a_store_back_from_a_freeze_is_kept_and_a_silent_one_gives_way_to_one_of_its_zone() {
    let (set, mut s) = founded();
    s[0].silent = Duration::from_secs(5);
    assert!(due(&set, &s).is_none());
    s.push(StoreObservation { status: status(9, "n", true), silent: Duration::ZERO });
    s[4].status.zone = "zone-a".into();
    let set = due(&set, &s).unwrap();
    assert!(set.find(1).is_none() && set.find(9).is_some());
}

/// An incident: a machine was replaced by another just when it fell silent; the newcomer was taken as
/// one more, waited for the dead one, and the dead one's seat was kept while anybody wasn't whole.
#[test]
fn a_dead_store_is_given_up_even_while_others_wait_for_it() {
    let (set, mut s) = founded();
    s.extend(seen(&[(5, "e", true)]));
    s[4].status.zone = "zone-a".into();
    s[0].silent = Duration::from_secs(1);
    assert!(due(&set, &s).is_none(), "one more, or in its place? That will show");
    s[0].silent = Duration::from_secs(2);
    let next = due(&set, &s).unwrap();
    assert!(next.find(1).is_none() && next.find(5).is_some());
    let late = set.next(|n| n.stores.push(next.find(5).unwrap().clone()));
    s[4].status.whole = 0;
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
