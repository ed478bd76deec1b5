//! Which stores have seats. From one seating to the next at most one store comes to a program's group,
//! and a planned step is taken only once all that are at work are whole under the one before.
use crate::prelude::*;

/// What the leader has seen of a store: its newest word, and how long ago.
#[derive(Debug, Clone)]
pub struct StoreObservation {
    /// What it told of itself last.
    pub status: StoreStatus,
    /// How long ago that was.
    pub silent: Duration,
}

/// Silence after which a newcomer of its zone takes its place.
const REPLACED: Duration = Duration::from_millis(1500);
/// Silence after which a store is given up with nobody in its place.
const GONE: Duration = Duration::from_secs(20);
/// A store is at work when it was heard within this.
const AT_WORK: Duration = Duration::from_millis(1500);
/// A store may be added only while every other was heard within this: one that is silent for longer may
/// be the one that the newcomer replaces.
const ALL_HEARD: Duration = Duration::from_millis(900);
/// How long the first leader waits for stores before it founds the set.
const FOUNDING: Duration = Duration::from_millis(1500);

fn entry(s: &StoreStatus, since: u64) -> StoreEntry {
    StoreEntry {
        id: s.id,
        name: s.name.clone(),
        addr: s.addr.clone(),
        zone: s.zone.clone(),
        state: StoreState::Seated,
        since,
    }
}

/// The next set, if one is due. `calm` is how long this leader has led and heard everybody; `tolerated`
/// how many stores may be lost at once.
pub fn next_stores(
    set: &StoreSet,
    seen: &[StoreObservation],
    calm: Duration,
    tolerated: u32,
) -> Option<StoreSet> {
    let since = set.version + 1;
    if set.stores.is_empty() && set.version == 0 {
        let founders: Vec<&StoreObservation> = seen.iter().filter(|s| !s.status.fresh).collect();
        if founders.is_empty() || calm < FOUNDING {
            return None;
        }
        return Some(set.next(|n| {
            n.tolerated = tolerated;
            n.stores = founders.iter().map(|s| entry(&s.status, since)).collect();
            n.stores.sort_by(|a, b| a.name.cmp(&b.name));
        }));
    }
    let sight = |id: u64| seen.iter().find(|s| s.status.id == id);
    let silent = |id: u64| sight(id).map_or(calm, |s| s.silent.min(calm));
    let settled = all_whole(set, seen, calm);

    for s in seen.iter().filter(|s| s.silent < AT_WORK) {
        let st = &s.status;
        if set.find(st.id).is_some() || set.emptied.contains(&st.name) {
            continue;
        }
        // A store that lost its disk takes its own seat anew; one at another address that of a silent
        // one in its zone.
        let old =
            set.stores.iter().find(|e| e.name == st.name || e.addr == st.addr).or_else(|| {
                set.stores.iter().find(|e| e.zone == st.zone && silent(e.id) > REPLACED)
            });
        let heard = set.stores.iter().all(|e| silent(e.id) < ALL_HEARD);
        if old.is_none() && !(settled && heard) {
            continue;
        }
        let gone = old.map(|e| e.id);
        return Some(set.next(|n| {
            n.stores.retain(|e| Some(e.id) != gone);
            n.stores.push(entry(st, since));
        }));
    }
    if set.seated() > set.group_size() {
        if let Some(e) = set.stores.iter().find(|e| silent(e.id) > GONE) {
            return Some(set.next(|n| n.stores.retain(|x| x.id != e.id)));
        }
    }
    // Emptied: whatever it kept is whole with others.
    if let Some(e) = set.stores.iter().find(|e| settled && e.state == StoreState::Leaving) {
        return Some(set.next(|n| {
            n.stores.retain(|x| x.id != e.id);
            n.emptied.push(e.name.clone());
        }));
    }
    None
}

/// All stores at work are whole under this set; those that are silent are no more than may be lost.
fn all_whole(set: &StoreSet, seen: &[StoreObservation], calm: Duration) -> bool {
    let mut missing = 0;
    for e in set.stores.iter().filter(|e| e.state == StoreState::Seated) {
        match seen.iter().find(|s| s.status.id == e.id) {
            Some(s) if s.silent < AT_WORK => {
                if s.status.whole < set.version {
                    return false;
                }
            }
            _ => missing += 1,
        }
    }
    missing <= set.tolerated && (missing == 0 || calm > AT_WORK)
}

/// Whether a store may be emptied: a whole group must stay.
pub fn may_retire(set: &StoreSet) -> bool {
    set.seated() > set.group_size()
}
