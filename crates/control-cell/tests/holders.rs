//! Who holds each zone.
use control_cell::prelude::*;

#[test]
fn a_zone_goes_to_another_cell_and_comes_home() {
    let m =
        |id, zone: &str| Member { id, name: String::new(), addr: String::new(), zone: zone.into() };
    let members = [m(1, "a"), m(2, "b")];
    let zones = BTreeSet::from(["a".to_string(), "b".to_string()]);
    let all = next_holders(&BTreeMap::new(), &zones, &members, |_| true).unwrap();
    assert_eq!((all["a"], all["b"]), (1, 2));
    let less = next_holders(&all, &zones, &members, |id| id == 1).unwrap();
    assert_eq!((less["a"], less["b"]), (1, 1));
    assert_eq!(next_holders(&less, &zones, &members, |_| true), Some(all));
}
