//! Who holds each area: a cell of the area itself if one is alive, else one named by rendezvous.
use crate::prelude::*;

pub fn next_holders(
    cur: &BTreeMap<String, u64>,
    areas: &BTreeSet<String>,
    members: &[Member],
    alive: impl Fn(u64) -> bool,
) -> Option<BTreeMap<String, u64>> {
    let live: Vec<&Member> = members.iter().filter(|m| alive(m.id)).collect();
    if live.is_empty() {
        return None;
    }
    let mut next = BTreeMap::new();
    for area in areas {
        let had = cur.get(area).filter(|id| live.iter().any(|m| m.id == **id));
        let home = live.iter().filter(|m| m.area == *area).map(|m| m.id).min();
        let at_home = had.is_some_and(|id| live.iter().any(|m| m.id == *id && m.area == *area));
        let id = match (had, home) {
            (Some(id), _) if at_home => *id,
            (_, Some(id)) => id,
            (Some(id), None) => *id,
            (None, None) => {
                rank_by_rendezvous(fnv64(area.as_bytes()), live.iter().map(|m| m.id))[0]
            }
        };
        next.insert(area.clone(), id);
    }
    (next != *cur).then_some(next)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_area_goes_to_another_cell_and_comes_home() {
        let m = |id, area: &str| Member {
            id,
            name: String::new(),
            addr: String::new(),
            area: area.into(),
        };
        let members = [m(1, "a"), m(2, "b")];
        let areas = BTreeSet::from(["a".to_string(), "b".to_string()]);
        let all = next_holders(&BTreeMap::new(), &areas, &members, |_| true).unwrap();
        assert_eq!((all["a"], all["b"]), (1, 2));
        let less = next_holders(&all, &areas, &members, |id| id == 1).unwrap();
        assert_eq!((less["a"], less["b"]), (1, 1));
        assert_eq!(next_holders(&less, &areas, &members, |_| true), Some(all));
    }
}
