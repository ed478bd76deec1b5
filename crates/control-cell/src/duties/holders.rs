//! Who holds each zone: a cell of the zone itself if one is alive, else one named by rendezvous.
use crate::prelude::*;

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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_zone_goes_to_another_cell_and_comes_home() {
        let m = |id, zone: &str| Member {
            id,
            name: String::new(),
            addr: String::new(),
            zone: zone.into(),
        };
        let members = [m(1, "a"), m(2, "b")];
        let zones = BTreeSet::from(["a".to_string(), "b".to_string()]);
        let all = next_holders(&BTreeMap::new(), &zones, &members, |_| true).unwrap();
        assert_eq!((all["a"], all["b"]), (1, 2));
        let less = next_holders(&all, &zones, &members, |id| id == 1).unwrap();
        assert_eq!((less["a"], less["b"]), (1, 1));
        assert_eq!(next_holders(&less, &zones, &members, |_| true), Some(all));
    }
}
