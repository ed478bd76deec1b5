//! The routing trial in what the cells agree on.
use control_cell::prelude::*;
use routing_trial::prelude::{check_spec, Breach};

fn trial(at: u64) -> TrialRecord {
    let text = "id = \"t\"\nname = \"t\"\n[control]\nname = \"a\"\n[candidate]\nname = \"b\"\nstayMs = 1\n\
                [test]\ndrainS = 0\n[guardrail]\nprotectedPriority = 0\n";
    TrialRecord::begin(check_spec(text).unwrap(), at)
}

fn put(base: u64, trial: &TrialRecord) -> Change {
    Change::PutTrial { base, trial: Box::new(trial.clone()) }
}

/// As recorded: two operators start, a verdict and an operator's stop meet, a leader proposes again.
#[test]
fn of_starts_and_ends_that_meet_one_is_taken() {
    let mut st = CellState::default();
    let (one, two) = (trial(10), trial(20));
    let breach =
        one.ended(Verdict::Guardrail(Breach::Doubles { count: 1 }), 30, Evidence::default());
    let stop = one.ended(Verdict::Stopped { at_once: false }, 31, Evidence::default());
    let rows = [
        (put(0, &stop), Outcome::Conflict),
        (put(0, &one), Outcome::Taken),
        (put(0, &two), Outcome::Conflict),
        (put(2, &two), Outcome::Conflict),
        (put(2, &breach), Outcome::Taken),
        (put(2, &breach), Outcome::Conflict),
        (put(5, &stop), Outcome::Conflict),
        (put(5, &one), Outcome::Conflict),
        (put(5, &trial(29)), Outcome::Conflict),
        (put(5, &trial(30)), Outcome::Taken),
    ];
    for (i, (change, want)) in rows.into_iter().enumerate() {
        assert_eq!(st.apply(i as u64 + 1, change), want, "row {i}");
    }
    assert_eq!(st.trial_index, 10);
}

#[derive(Serialize)]
struct ConfigBefore {
    index: u64,
    version: u64,
    digest: u64,
    body: ByteBuf,
}

/// The state as it was kept before there were trials, and a record of orders with digests of 32 bytes.
#[derive(Serialize)]
struct Before {
    config: Option<ConfigBefore>,
    taken: Vec<(u64, u64)>,
    stores: StoreSet,
    stores_index: u64,
    holders: BTreeMap<String, u64>,
    epochs: BTreeMap<String, u64>,
}

#[test]
fn a_snapshot_older_than_trials_is_read() {
    let before = Before {
        config: Some(ConfigBefore { index: 2, version: 3, digest: 4, body: ByteBuf::from("{}") }),
        taken: vec![(3, 4)],
        stores: StoreSet { version: 7, ..StoreSet::default() },
        stores_index: 5,
        holders: BTreeMap::from([("a".into(), 1)]),
        epochs: BTreeMap::from([("a".into(), 2)]),
    };
    let mut st = CellState::read(&encode(&before)).unwrap();
    assert_eq!((st.stores.version, st.confirmed.len(), st.trial.is_none()), (7, 1, true));
    let body = ByteBuf::from("{}");
    let again = Change::PutConfig { base: 0, version: 3, sha256: order_digest(&body), body };
    assert_eq!(st.apply(8, again), Outcome::TakenBefore);
    st.apply(9, put(0, &trial(10)));
    let again: CellState = decode(&encode(&st)).unwrap();
    assert_eq!((again.trial, again.trial_index), (st.trial, 9));
}
