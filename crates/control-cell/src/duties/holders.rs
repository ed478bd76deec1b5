//! Who holds each zone: a cell of the zone itself if one is alive, else one named by rendezvous.
use crate::prelude::*;

/// The next holders of the zones, if they change.
pub fn next_holders(
    cur: &BTreeMap<String, u64>,
    zones: &BTreeSet<String>,
    members: &[Member],
    alive: impl Fn(u64) -> bool,
) -> Option<BTreeMap<String, u64>> {
    let live: Vec<&Member> = members.iter().filter(|m| alive(m.id)).collect();
    if live.is_empty() {
        return None;
    }
    let mut next = BTreeMap::new();
    for zone in zones {
        let had = cur.get(zone).filter(|id| live.iter().any(|m| m.id == **id));
        let home = live.iter().filter(|m| m.zone == *zone).map(|m| m.id).min();
        let at_home = had.is_some_and(|id| live.iter().any(|m| m.id == *id && m.zone == *zone));
        let id = match (had, home) {
            (Some(id), _) if at_home => *id,
            (_, Some(id)) => id,
            (Some(id), None) => *id,
            (None, None) => {
                rank_by_rendezvous(fnv64(zone.as_bytes()), live.iter().map(|m| m.id))[0]
            }
        };
        next.insert(zone.clone(), id);
    }
    (next != *cur).then_some(next)
}
