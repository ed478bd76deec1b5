//! What the cells agree on: changes of the configuration.
use control_cell::prelude::*;
use control_cell::state::MOST_CONFIRMED;

fn put(base: u64, version: u64, digest: u64) -> Change {
    let body = ByteBuf::from(digest.to_string());
    Change::PutConfig { base, version, sha256: order_digest(&body), body }
}

#[test]
fn of_a_race_one_wins_and_a_resend_is_known() {
    let mut st = CellState::default();
    assert_eq!(st.apply(1, put(0, 3, 1)), Outcome::Taken);
    assert_eq!(st.apply(2, put(3, 5, 2)), Outcome::Taken);
    assert_eq!(st.apply(3, put(3, 6, 3)), Outcome::Conflict);
    assert_eq!(st.apply(4, put(3, 5, 2)), Outcome::TakenBefore);
    assert_eq!(st.apply(5, put(0, 3, 1)), Outcome::TakenBefore);
    assert_eq!(st.apply(6, put(5, 5, 9)), Outcome::NotAbove);
    assert_eq!(st.apply(7, put(3, 5, 9)), Outcome::Conflict);
    assert_eq!(st.config_version(), 5);
}

#[test]
fn a_recorded_trace_of_changes_ends_as_recorded() {
    let trace = r#"[[0,4,"Taken"],[4,9,"Taken"],[4,8,"Conflict"],[9,9,"NotAbove"],[9,2,"NotAbove"],[9,12,"Taken"]]"#;
    let rows: Vec<(u64, u64, String)> = serde_json::from_str(trace).unwrap();
    let mut st = CellState::default();
    for (i, (base, version, want)) in rows.into_iter().enumerate() {
        let got = st.apply(i as u64 + 1, put(base, version, 100 + i as u64));
        assert_eq!(format!("{got:?}"), want, "row {i}");
    }
    assert_eq!(st.config_version(), 12);
}

#[test]
fn digests_don_t_see_blanks_or_order() {
    assert_eq!(order_digest(b"{\"a\":1,\"b\":2}"), order_digest(b"{ \"b\": 2, \"a\": 1 }"));
    assert_ne!(order_digest(b"{\"a\":1}"), order_digest(b"{\"a\":2}"));
}

/// A day of 4,300 changes: the oldest that was taken is still acknowledged when it is sent again.
#[test]
fn an_order_of_a_long_day_ago_is_known_again() {
    let mut st = CellState::default();
    for v in 1..=4_300 {
        assert_eq!(st.apply(v, put(v - 1, v, v)), Outcome::Taken);
    }
    for v in 1..=4_300 {
        assert_eq!(st.apply(5_000 + v, put(v - 1, v, v)), Outcome::TakenBefore, "version {v}");
    }
}

#[test]
fn the_record_outlives_a_snapshot_and_is_bounded() {
    let mut st = CellState::default();
    let many = MOST_CONFIRMED as u64 + 10;
    for v in 1..=many {
        assert_eq!(st.apply(v, put(v - 1, v, v)), Outcome::Taken);
    }
    assert_eq!(st.confirmed.len(), MOST_CONFIRMED);
    let data = encode(&st);
    assert!(data.len() < MOST_CONFIRMED * 41, "{} bytes", data.len());
    let mut again = CellState::read(&data).unwrap();
    assert_eq!(again.confirmed, st.confirmed);
    assert_eq!(again.apply(many + 1, put(10, 11, 11)), Outcome::TakenBefore);
    // No longer known: neither refused nor confirmed. What was never taken is refused as ever.
    assert_eq!(again.apply(many + 2, put(9, 10, 10)), Outcome::Forgotten);
    assert_eq!(again.apply(many + 3, put(many, 10, 10)), Outcome::NotAbove);
    assert_eq!(again.apply(many + 4, put(many - 1, many, 1)), Outcome::Conflict);
}

/// An entry of before orders had a cryptographic digest.
#[test]
fn an_order_without_a_digest_is_known_by_its_body() {
    let mut st = CellState::default();
    let body = ByteBuf::from("{\"a\":1}");
    let old = Change::PutConfig { base: 0, version: 1, sha256: BodyDigest::default(), body };
    assert_eq!(st.apply(1, old), Outcome::Taken);
    let body = ByteBuf::from("{ \"a\": 1 }");
    let again = Change::PutConfig { base: 0, version: 1, sha256: order_digest(&body), body };
    assert_eq!(st.apply(2, again), Outcome::TakenBefore);
}
