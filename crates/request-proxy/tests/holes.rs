//! Events that are missing from an answer given as whole.
use request_proxy::prelude::*;

fn holes(ids: &[u64]) -> u32 {
    let mut r = EventReader::default();
    for id in ids {
        r.take(format!("id: {id}\ndata: x\n\n").as_bytes()).unwrap();
    }
    r.holes
}

#[test]
fn a_jump_of_the_ids_is_a_hole_an_even_step_is_none() {
    for (ids, want) in [
        (&[][..], 0),
        (&[7], 0),
        (&[1, 2, 3, 4], 0),
        (&[10, 20, 30], 0),
        (&[1, 2, 4, 5], 1),
        (&[1, 2, 4, 6], 2),
    ] {
        assert_eq!(holes(ids), want, "{ids:?}");
    }
}
