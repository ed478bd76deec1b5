//! One member change at a time.
use crate::prelude::*;

/// Silence after which a member is replaced when another cell asks to come in at its zone.
const REPLACED: Duration = Duration::from_millis(1500);
/// Silence after which a member is left out with nobody in its place.
const GONE: Duration = Duration::from_secs(20);

/// The next member list. `silent` tells how long a member hasn't answered.
pub fn next_members(
    cur: &[Member],
    me: u64,
    joiners: &[Member],
    silent: impl Fn(u64) -> Duration,
) -> Option<Vec<Member>> {
    let without = |id: u64| -> Vec<Member> { cur.iter().filter(|m| m.id != id).cloned().collect() };
    for j in joiners {
        if cur.iter().any(|m| m.id == j.id) {
            continue;
        }
        // A cell that lost its disk, or stands in for one that is gone: the old one leaves first.
        let old = cur.iter().find(|m| {
            m.id != me
                && (m.name == j.name
                    || m.addr == j.addr
                    || (m.zone == j.zone && silent(m.id) > REPLACED))
        });
        if let (Some(m), true) = (old, cur.len() > 1) {
            return Some(without(m.id));
        }
        let mut next = cur.to_vec();
        next.push(j.clone());
        return Some(next);
    }
    if cur.len() > 3 {
        if let Some(m) = cur.iter().find(|m| m.id != me && silent(m.id) > GONE) {
            return Some(without(m.id));
        }
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    fn m(id: u64, name: &str, zone: &str) -> Member {
        Member { id, name: name.into(), addr: format!("{name}:1"), zone: zone.into() }
    }

    #[test]
    fn a_wiped_cell_is_left_out_before_it_comes_in_anew() {
        let cur = vec![m(1, "a", "x"), m(2, "b", "y"), m(3, "c", "z")];
        let j = [m(9, "b", "y")];
        let calm = |_| Duration::ZERO;
        let next = next_members(&cur, 1, &j, calm).unwrap();
        assert_eq!(next.iter().map(|m| m.id).collect::<Vec<_>>(), [1, 3]);
        let next = next_members(&next, 1, &j, calm).unwrap();
        assert_eq!(next.iter().map(|m| m.id).collect::<Vec<_>>(), [1, 3, 9]);
        assert!(next_members(&next, 1, &j, calm).is_none());
    }

    #[test]
    fn a_silent_one_gives_way_to_a_newcomer_of_its_zone_only() {
        let cur = vec![m(1, "a", "x"), m(2, "b", "y"), m(3, "c", "z")];
        let silent = |id| if id == 2 { Duration::from_secs(3) } else { Duration::ZERO };
        let next = next_members(&cur, 1, &[m(9, "n", "y")], silent).unwrap();
        assert_eq!(next.len(), 2);
        let next = next_members(&cur, 1, &[m(9, "n", "z")], silent).unwrap();
        assert_eq!(next.len(), 4);
    }
}
