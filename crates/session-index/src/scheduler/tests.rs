use crate::prelude::*;

pub(super) fn table(zone: &str, epoch: u64, engines: &[(&str, bool)]) -> ZoneTable {
    ZoneTable {
        zone: zone.into(),
        epoch,
        seq: 1,
        engines: engines
            .iter()
            .enumerate()
            .map(|(i, (id, draining))| EngineEntry {
                id: id.to_string(),
                service: "s".into(),
                addr: format!("10.0.0.{}:80", i + 1),
                zone: zone.into(),
                slots: 4,
                draining: *draining,
                cold_ms: 0,
            })
            .collect(),
    }
}

fn scheduler() -> Scheduler {
    let mut s = Scheduler::new(
        SchedulerTuning { zone: "a".into(), ..SchedulerTuning::default() },
        Arc::new(NoConnections),
    );
    s.learn(&table("a", 1, &[("x", false), ("y", false)]));
    s.learn(&table("b", 1, &[("z", false)]));
    s
}

pub(super) fn turn(line: &str, ids: &[&str]) -> Ask {
    let blocks = chain_blocks("m", ids.iter().map(|id| Part { id, tokens: 1000 }));
    Ask {
        service: "s".into(),
        prompt_tokens: 1000 * ids.len() as u32,
        blocks,
        session: Some(line.into()),
        reported_holder: None,
        most_out: 100,
        memory_limit: 0,
        is_turn: true,
        priority: 1,
        slack: Duration::from_millis(200),
        budget: Duration::from_secs(6),
        tried: Vec::new(),
        may_probe: false,
        policy: Policy::Current,
    }
}

fn plain(priority: u8, slack_ms: u64) -> Ask {
    Ask {
        blocks: Vec::new(),
        session: None,
        prompt_tokens: 0,
        is_turn: false,
        priority,
        slack: Duration::from_millis(slack_ms),
        ..turn("", &[])
    }
}

pub(super) const NOW: Duration = Duration::from_secs(10);
pub(super) const KEEP: Duration = Duration::from_secs(60);

pub(super) fn go(p: Placed) -> Grant {
    match p {
        Placed::Go(g) => g,
        p => panic!("{p:?}"),
    }
}

/// The index decides: the line goes where its parts are, though that engine is in another zone and
/// has more under way than any other.
#[test]
fn the_index_decides_not_the_load() {
    let mut s = scheduler();
    let z = EngineKey::of("z");
    let a = turn("l", &["p", "1"]);
    s.index.answered("l", z, &a.blocks, KEEP, NOW);
    if let Some(e) = s.engines.get_mut(z) {
        e.report_load(3, 0, 8, NOW);
    }
    for _ in 0..20 {
        let g = go(s.place(turn("l", &["p", "1", "2"]), NOW));
        assert_eq!((g.key, g.reason), (z, Reason::Hit));
        assert_eq!((g.hit, g.fresh), (2000, 1000));
        s.end(&g, false, NOW);
    }
    // Another line that shares the beginning goes there as well.
    let g = go(s.place(turn("k", &["p", "7"]), NOW));
    assert_eq!((g.key, g.reason, g.hit), (z, Reason::SharedHit, 1000));
}

#[test]
fn a_miss_is_read_where_it_is_cheapest_and_a_gone_holder_is_forgotten() {
    let mut s = scheduler();
    let z = EngineKey::of("z");
    let a = turn("l", &["p", "1"]);
    s.index.answered("l", z, &a.blocks, KEEP, NOW);
    s.learn(&table("b", 1, &[("z", true)]));
    let g = go(s.place(turn("l", &["p", "1", "2"]), NOW));
    assert_ne!(g.key, z);
    assert_eq!(g.reason, Reason::Moved);
    s.learn(&table("b", 2, &[]));
    let g = go(s.place(turn("l", &["p", "1", "2"]), NOW));
    assert_eq!((g.reason, g.hit), (Reason::Miss, 0));
}

#[test]
fn a_line_known_by_its_records_goes_to_the_engine_they_name() {
    let mut s = scheduler();
    let mut a = turn("l", &["p", "1", "2"]);
    a.reported_holder = Some(EngineKey::of("y"));
    let g = go(s.place(a, NOW));
    assert_eq!((g.key, g.reason, g.hit), (EngineKey::of("y"), Reason::Hit, 2000));
}

#[test]
fn urgent_requests_that_wait_go_first_and_by_slack() {
    let mut s = scheduler();
    let mut grants = Vec::new();
    let mut tickets = Vec::new();
    for _ in 0..24 {
        grants.push(go(s.place(plain(2, 500), NOW)));
    }
    for (p, slack) in [(2, 100), (0, 900), (2, 50), (0, 300)] {
        match s.place(plain(p, slack), NOW) {
            Placed::Wait(t) => tickets.push(t),
            p => panic!("{p:?}"),
        }
    }
    let mut order = Vec::new();
    for g in grants.iter().take(4) {
        order.extend(s.end(g, false, NOW).into_iter().map(|(t, _)| t));
    }
    assert_eq!(order, [tickets[3], tickets[1], tickets[2], tickets[0]]);
}

#[test]
fn what_can_t_be_met_is_refused_at_once() {
    let mut s = scheduler();
    for _ in 0..24 {
        go(s.place(plain(2, 500), NOW));
    }
    let mut late = plain(2, 10);
    late.budget = Duration::from_millis(20);
    assert!(matches!(s.place(late, NOW), Placed::Refused(_)));
    let mut none = plain(2, 10);
    none.service = "unknown".into();
    assert!(matches!(s.place(none, NOW), Placed::Refused(_)));
}

#[test]
fn an_engine_that_read_anew_what_it_was_believed_to_hold_is_found_out() {
    let mut s = scheduler();
    let x = EngineKey::of("x");
    for _ in 0..10 {
        if let Some(e) = s.engines.get_mut(x) {
            e.pace.first_event(Duration::from_millis(90), 200);
        }
    }
    let a = turn("l", &["p", "1", "2"]);
    s.index.answered("l", x, &a.blocks, KEEP, NOW);
    let g = go(s.place(turn("l", &["p", "1", "2", "3"]), NOW));
    assert_eq!(g.hit, 3000);
    assert!(s.read(&g, Duration::from_millis(130), NOW, true));
    let g = go(s.place(turn("l", &["p", "1", "2", "3"]), NOW));
    assert!(!s.read(&g, Duration::from_millis(420), NOW, true));
}

#[test]
fn an_engine_s_own_report_bounds_what_is_believed_and_is_seldom_asked_for() {
    let mut s = scheduler();
    let x = EngineKey::of("x");
    for (line, part) in [("a", "1"), ("b", "2"), ("c", "3")] {
        s.index.answered(line, x, &turn(line, &["p", part]).blocks, KEEP, NOW);
    }
    assert_eq!(s.index.held_by(x), 4000);
    assert!(s.wants_report(x, NOW).is_some());
    assert!(s.wants_report(x, NOW + Duration::from_secs(5)).is_none());
    s.reported(x, (3, 1), 7500, 10_000, NOW);
    assert!(s.index.held_by(x) <= 2500);
    assert_eq!(s.engines.get(x).map(|e| e.others), Some(4.0));
    assert!(s.wants_report(x, NOW + Duration::from_secs(11)).is_some());
}

/// A recorded trace: events one a row, and the engine each turn was placed on.
#[test]
fn a_recorded_trace_places_turns_as_recorded() {
    let trace = r#"[
      {"line": "a", "parts": ["p", "1"], "on": "x", "answered": true},
      {"line": "b", "parts": ["q", "2"], "on": "y", "answered": true},
      {"line": "a", "parts": ["p", "1", "3"], "hit": 2000, "is": "x"},
      {"line": "b", "parts": ["q", "2", "4"], "hit": 2000, "is": "y"},
      {"line": "c", "parts": ["q", "9"], "hit": 1000, "is": "y"}
    ]"#;
    let rows: Vec<serde_json::Value> = serde_json::from_str(trace).unwrap();
    let mut s = scheduler();
    for r in rows {
        let parts: Vec<&str> =
            r["parts"].as_array().unwrap().iter().filter_map(|p| p.as_str()).collect();
        let line = r["line"].as_str().unwrap();
        let ask = turn(line, &parts);
        if let Some(on) = r["on"].as_str() {
            s.index.answered(line, EngineKey::of(on), &ask.blocks, KEEP, NOW);
            continue;
        }
        let g = go(s.place(ask, NOW));
        assert_eq!(&*g.id, r["is"].as_str().unwrap(), "{r}");
        assert_eq!(u64::from(g.hit), r["hit"].as_u64().unwrap(), "{r}");
    }
}

#[test]
fn only_requests_of_the_candidate_are_placed_by_its_tuning() {
    let mut s = scheduler();
    // Far engines cost nothing under the candidate, and its zone is theirs.
    let far = SchedulerTuning { zone: "b".into(), far_ms: 5000.0, ..SchedulerTuning::default() };
    let ask = |policy| Ask { policy, ..turn("", &["a"]) };
    let zone =
        |g: Grant| if g.addr.to_string() == "10.0.0.1:80" && *g.id == *"z" { "b" } else { "a" };
    for (trial, policy, want) in [
        (None, Policy::Trial, "a"),
        (Some(far.clone()), Policy::Current, "a"),
        (Some(far.clone()), Policy::Trial, "b"),
        (None, Policy::Trial, "a"),
    ] {
        s.trial = trial.map(Box::new);
        let g = go(s.place(ask(policy), NOW));
        assert_eq!(zone(g.clone()), want, "{policy:?}");
        s.end(&g, true, NOW);
    }
}

#[test]
fn an_admission_past_a_more_urgent_one_is_counted_while_a_trial_runs() {
    let mut s = scheduler();
    s.trial = Some(Box::new(SchedulerTuning::default()));
    let mut grants = Vec::new();
    let waiting = loop {
        match s.place(plain(0, 100), NOW) {
            Placed::Go(g) => grants.push(g),
            Placed::Wait(t) => break t,
            Placed::Refused(_) => panic!("no wait"),
        }
    };
    // By itself the scheduler lets nobody past: a less urgent one waits as well, and goes after.
    assert!(matches!(s.place(plain(2, 1), NOW), Placed::Wait(_)));
    let next = s.end(&grants.pop().unwrap(), true, NOW);
    assert_eq!((next.len(), next[0].0, s.inversions), (1, waiting, 0));
    // One let past all the same is seen.
    assert!(matches!(s.place(plain(0, 100), NOW), Placed::Wait(_)));
    s.begin(&plain(2, 1), grants[0].clone(), NOW);
    assert_eq!(s.inversions, 1);
    s.begin(&plain(0, 1), grants[0].clone(), NOW);
    assert_eq!(s.inversions, 1, "as urgent");
    s.trial = None;
    s.begin(&plain(2, 1), grants[0].clone(), NOW);
    assert_eq!(s.inversions, 1, "no trial");
}
