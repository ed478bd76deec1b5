//! What the cells agree on: changes of the configuration.
use control_cell::prelude::*;
use control_cell::state::digest_of;

fn put(base: u64, version: u64, digest: u64) -> Change {
    Change::PutConfig { base, version, digest, body: ByteBuf::from(vec![digest as u8]) }
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
    assert_eq!(digest_of(b"{\"a\":1,\"b\":2}"), digest_of(b"{ \"b\": 2, \"a\": 1 }"));
    assert_ne!(digest_of(b"{\"a\":1}"), digest_of(b"{\"a\":2}"));
}
