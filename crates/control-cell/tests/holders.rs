//! Which cell holds a zone.
use control_cell::prelude::*;

fn member(id: u64, zone: &str) -> Member {
    Member {
        id,
        name: String::new(),
        addr: String::new(),
        zone: zone.into(),
        incarnation: 0,
        loss_counted: true,
    }
}

#[test]
fn a_zone_goes_to_another_cell_and_comes_home() {
    let members = [member(1, "a"), member(2, "b")];
    let zones = BTreeSet::from(["a".to_string(), "b".to_string()]);
    let all = next_holders(&BTreeMap::new(), &zones, &members, |_| true).unwrap();
    assert_eq!((all["a"], all["b"]), (1, 2));
    let less = next_holders(&all, &zones, &members, |id| id == 1).unwrap();
    assert_eq!((less["a"], less["b"]), (1, 1));
    assert_eq!(next_holders(&less, &zones, &members, |_| true), Some(all));
}
