//! Recorded traces and generated schedules. A trace row is a run of sends: from, to and every (ms),
//! engines, what they met, and how long it took.
use arbtest::arbtest;
use session_index::prelude::*;

const SERVICE: &str = "s";

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn key(n: u64) -> EngineKey {
    EngineKey(n)
}

fn addr(n: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 80))
}

fn table(engines: u64) -> EvidenceTable {
    let mut t = EvidenceTable::default();
    for n in 0..engines {
        t.add(key(n), &SERVICE.into(), addr(n));
    }
    t
}

/// Plays a trace from `at` on; gives back when it ends. Sends to engines that admit nothing aren't made.
fn play(t: &mut EvidenceTable, trace: &str, at: Duration) -> Duration {
    let rows: Vec<serde_json::Value> = serde_json::from_str(trace).unwrap();
    let mut steps = Vec::new();
    let mut version = at.as_millis() as u64 * 1000;
    for r in &rows {
        let n = |k: &str| r[k].as_u64().unwrap_or(0);
        for e in r["engines"].as_array().unwrap().iter().map(|e| e.as_u64().unwrap()) {
            for from in (n("from")..n("to")).step_by(n("every") as usize) {
                version += 1;
                steps.push((at + ms(from), true, version, e, r));
                steps.push((at + ms(from + n("ms")), false, version, e, r));
            }
        }
    }
    steps.sort_by_key(|s| (s.0, s.1, s.2));
    let mut under_way = BTreeSet::new();
    let mut last = at;
    for (now, begins, version, e, r) in steps {
        last = now;
        if begins {
            if admits(t, key(e), true, now) != Admission::Closed {
                t.begin(key(e), version, ms(500), now);
                under_way.insert(version);
            }
            continue;
        }
        if !under_way.remove(&version) {
            continue;
        }
        let took = ms(r["ms"].as_u64().unwrap());
        let failed = |k| Some(Observation::Failed(k));
        let met = match r["met"].as_str().unwrap() {
            "answer" => Some(Observation::Worked { took, route: 1 }),
            "reset" => failed(FailureKind::Reset),
            "server_error" => failed(FailureKind::ServerError),
            "refused" => failed(FailureKind::Refused),
            "nothing" => None,
            x => panic!("{x}"),
        };
        if let Some(o) = met {
            t.observe(key(e), version, o, now);
        }
        t.finish(key(e), version, now);
    }
    last
}

fn admits(t: &EvidenceTable, key: EngineKey, fit: bool, now: Duration) -> Admission {
    t.weigh(key, fit, true, now).0
}

fn cost(t: &EvidenceTable, key: EngineKey, is_turn: bool, now: Duration) -> f64 {
    t.weigh(key, true, is_turn, now).1
}

fn out(t: &EvidenceTable, n: u64) -> bool {
    t.standing(key(n)) != Some(&StandingState::Healthy {})
}

#[test]
fn an_engine_that_turns_slow_is_ejected_and_comes_back_by_steps() {
    let mut t = table(6);
    let at = play(
        &mut t,
        r#"[
      {"from": 0, "to": 4000, "every": 200, "engines": [0, 1, 2, 3, 4, 5], "met": "answer", "ms": 100}
    ]"#,
        ms(0),
    );
    let at = play(
        &mut t,
        r#"[
      {"from": 0, "to": 6000, "every": 200, "engines": [1, 2, 3, 4, 5], "met": "answer", "ms": 100},
      {"from": 0, "to": 3000, "every": 200, "engines": [0], "met": "answer", "ms": 900}
    ]"#,
        at,
    );
    assert!(out(&t, 0) && (1..6).all(|n| !out(&t, n)));
    // Well again: one request, then two at a time, then four, then as any other.
    let at = at + ms(30_000);
    let mut now = at;
    for stage in 0..3u64 {
        for i in 0..1 << stage {
            assert_ne!(admits(&t, key(0), true, now), Admission::Closed, "{stage} {i}");
            t.begin(key(0), 1 + stage * 10 + i, ms(500), now);
        }
        assert_eq!(admits(&t, key(0), true, now), Admission::Closed);
        now += ms(100);
        let o = Observation::Worked { took: ms(100), route: 1 };
        t.observe(key(0), 1 + stage * 10, o, now);
        for i in 0..1 << stage {
            t.finish(key(0), 1 + stage * 10 + i, now);
        }
    }
    assert!(!out(&t, 0));
    assert!(t.take_notes().iter().any(|n| n.kind == NoteKind::Returned));
}

const GREY: &str = r#"[
  {"from": 0, "to": 6000, "every": 250, "engines": [1, 2, 3, 4, 5], "met": "answer", "ms": 100, "health": "good"},
  {"from": 0, "to": 6000, "every": 500, "engines": [0], "met": "answer", "ms": 100, "health": "good"},
  {"from": 250, "to": 6000, "every": 500, "engines": [0], "met": "reset", "ms": 20, "health": "good"}
]"#;

/// A grey engine fails half of its requests; where only some callers meet that, the others keep it.
#[test]
fn a_grey_engine_is_ejected_by_those_it_fails_and_by_no_other() {
    let (mut met, mut spared) = (table(6), table(6));
    play(&mut met, GREY, ms(0));
    play(&mut spared, &GREY.replace("reset", "answer"), ms(0));
    assert!(out(&met, 0) && (1..6).all(|n| !out(&met, n)));
    assert!((0..6).all(|n| !out(&spared, n)));
    assert_eq!(admits(&met, key(0), true, ms(6000)), Admission::Closed);
    // Before it is out, it is already feared.
    let mut met = table(6);
    let at = play(&mut met, &GREY.replace("6000", "700"), ms(0));
    assert!(!out(&met, 0));
    assert!(cost(&met, key(0), true, at) > cost(&met, key(1), true, at) + 200.0);
}

/// One failure at an engine that is seldom met is enough to prefer its peers for a while, and no more.
#[test]
fn a_single_failure_costs_for_a_while() {
    let mut t = table(6);
    play(
        &mut t,
        r#"[{"from": 0, "to": 50, "every": 50, "engines": [0], "met": "reset", "ms": 10}]"#,
        ms(0),
    );
    let beyond = |at| cost(&t, key(0), true, ms(at)) - cost(&t, key(1), true, ms(at));
    assert!(beyond(100) > 300.0 && beyond(6000) > 100.0 && beyond(60_000) < 5.0);
    assert!(!out(&t, 0));
}

/// The health answer lies either way: what requests meet decides, with or without it.
#[test]
fn a_lying_health_answer_has_no_effect() {
    let trace = r#"[
      {"from": 0, "to": 5000, "every": 200, "engines": [2, 3, 4, 5], "met": "answer", "ms": 100, "health": "good"},
      {"from": 0, "to": 5000, "every": 200, "engines": [1], "met": "answer", "ms": 100, "health": "bad"},
      {"from": 0, "to": 5000, "every": 200, "engines": [0], "met": "server_error", "ms": 30, "health": "good"}
    ]"#;
    let status: [(&str, &str); 3] =
        [("", ""), ("\"good\"", "\"bad\""), (", \"health\": \"bad\"", "")];
    for (a, b) in status {
        let mut t = table(6);
        play(&mut t, &trace.replace(a, b), ms(0));
        assert!(out(&t, 0) && (1..6).all(|n| !out(&t, n)));
    }
}

/// Down and up by turns: each ejection lasts longer, and a calm time makes them short again.
#[test]
fn flapping_lengthens_ejections_and_calm_shortens_them() {
    let mut t = table(6);
    let down =
        r#"[{"from": 0, "to": 300, "every": 50, "engines": [0], "met": "refused", "ms": 5}]"#;
    let well = r#"[{"from": 0, "to": 3000, "every": 150, "engines": [0, 1, 2, 3, 4, 5], "met": "answer", "ms": 50}]"#;
    let mut spans = Vec::new();
    let mut at = ms(0);
    for gap in [0, 0, 0, 300_000] {
        at = play(&mut t, down, at + ms(gap));
        spans.extend(t.take_notes().into_iter().filter_map(|n| match n.kind {
            NoteKind::Ejected { span, .. } => Some(span.as_secs()),
            NoteKind::Returned => None,
        }));
        at = play(&mut t, well, at + Duration::from_secs(*spans.last().unwrap()));
        t.take_notes();
        assert!(!out(&t, 0));
    }
    assert_eq!(spans, [3, 6, 12, 3]);
    // Lives that end again and again at one address: the next one begins with a probe.
    for n in 10..13 {
        t.add(key(n), &SERVICE.into(), addr(50));
        assert_eq!(out(&t, n), n == 12);
        t.remove(key(n), true);
    }
}

/// Everything fails at once: nobody stands out, a third at most is out, and none is feared much.
#[test]
fn a_herd_of_failures_does_not_eject_everything() {
    let mut t = table(9);
    play(
        &mut t,
        r#"[
      {"from": 0, "to": 4000, "every": 100, "engines": [0, 1, 2, 3, 4, 5, 6, 7, 8], "met": "reset", "ms": 5}
    ]"#,
        ms(0),
    );
    assert!((0..9).filter(|n| out(&t, *n)).count() <= 3);
    let worst =
        (0..9).filter(|n| !out(&t, *n)).map(|n| cost(&t, key(n), true, ms(4200)) as u64).max();
    assert!(worst < Some(100), "{worst:?}");
    // Two engines, both failing: both stay in use.
    let mut t = table(2);
    play(
        &mut t,
        r#"[{"from": 0, "to": 4000, "every": 100, "engines": [0, 1], "met": "reset", "ms": 5}]"#,
        ms(0),
    );
    assert!(!out(&t, 0) && !out(&t, 1));
}

#[test]
fn silence_is_seen_while_it_lasts_and_early_leavers_say_nothing() {
    let mut t = table(6);
    t.begin(key(0), 1, ms(500), ms(0));
    t.begin(key(1), 2, ms(500), ms(0));
    assert_eq!(cost(&t, key(0), true, ms(400)), cost(&t, key(2), true, ms(400)));
    t.finish(key(1), 2, ms(400));
    assert!(cost(&t, key(0), true, ms(600)) > 500.0);
    t.finish(key(0), 1, ms(900));
    assert!(cost(&t, key(0), true, ms(900)) > 300.0);
    assert_eq!(cost(&t, key(1), true, ms(900)), cost(&t, key(2), true, ms(900)));
}

/// Connections are forgotten after some 900 ms of being idle.
#[test]
fn idle_resets_count_against_the_idle_time_and_not_the_engine() {
    let mut t = table(3);
    let first = t.idle_limit(SERVICE, false, ms(0));
    assert_eq!(first, t.idle_limit(SERVICE, true, ms(0)));
    for i in 0..40u64 {
        for idle in [0, 60, 300, 800, 1500, 3000] {
            t.idle_ended(SERVICE, ms(idle), idle > 900, ms(i * 50));
        }
    }
    assert_eq!(t.idle_limit(SERVICE, true, ms(2000)), ms(1000));
    assert_eq!(t.idle_limit(SERVICE, false, ms(2000)), ms(1000));
    assert!((0..3).all(|n| !out(&t, n) && cost(&t, key(n), true, ms(2000)) == 0.0));
    assert_eq!(t.idle_limit("other", false, ms(2000)), first);
    assert_eq!(t.idle_limit(SERVICE, false, ms(120_000)), first);
    // A few resets: what may be sent again still uses them, what may not doesn't.
    for i in 0..3 {
        t.idle_ended("other", ms(1500), true, ms(2000 + i));
    }
    assert_eq!(t.idle_limit("other", false, ms(2100)), ms(1000));
    assert_eq!(t.idle_limit("other", true, ms(2100)), first);
}

/// Engines that reset whatever they are sent say nothing of idle times.
#[test]
fn resets_at_all_idle_times_alike_leave_the_limit() {
    let mut t = table(3);
    for i in 0..60u64 {
        for idle in [0, 100, 300, 800, 1500, 3000] {
            t.idle_ended(SERVICE, ms(idle), i % 3 == 0, ms(i * 50));
        }
    }
    assert_eq!(t.idle_limit(SERVICE, false, ms(3000)), t.idle_limit("other", false, ms(3000)));
}

#[test]
fn never_more_than_a_third_of_a_service_is_restricted() {
    arbtest(|u| {
        let mut t = table(u.int_in_range(1..=12)?);
        let mut now = ms(0);
        let mut live: BTreeSet<u64> = (0..t.restricted(SERVICE).0 as u64).collect();
        for version in 1..u.int_in_range(1..=300u64)? {
            now += ms(u.int_in_range(0..=3000)?);
            let n = u.int_in_range(0..=14u64)?;
            match u.int_in_range(0..=9u32)? {
                0 if live.insert(n) => t.add(key(n), &SERVICE.into(), addr(n % 3)),
                1 if live.remove(&n) => t.remove(key(n), u.arbitrary()?),
                2 => t.replaced(key(n), now),
                m if live.contains(&n) => {
                    t.begin(key(n), version, ms(500), now);
                    now += ms(u.int_in_range(1..=2000)?);
                    let took = ms(u.int_in_range(1..=3000)?);
                    let o = match m {
                        3 => Observation::Worked { took, route: 1 },
                        4 => Observation::FirstEvent { took, fresh: 500 },
                        5 => Observation::Streamed {
                            gap: Some(took / 9),
                            longest: took,
                            aim: ms(900),
                        },
                        _ => Observation::Failed(FailureKind::Reset),
                    };
                    t.observe(key(n), version, o, now);
                    t.finish(key(n), version, now);
                }
                _ => {}
            }
            let restricted = live.iter().filter(|n| out(&t, **n)).count();
            assert_eq!(t.restricted(SERVICE), (live.len(), restricted));
            assert!(restricted <= live.len() / 3);
            assert!(live
                .iter()
                .all(|n| cost(&t, key(*n), u.arbitrary().unwrap_or(true), now).is_finite()));
        }
        Ok(())
    });
}

#[test]
fn second_sends_are_a_share_of_first_ones() {
    arbtest(|u| {
        let mut b = RetryBudget::default();
        let (mut now, mut first, mut second) = (ms(0), 0, 0);
        for _ in 0..u.int_in_range(1..=400u32)? {
            now += ms(u.int_in_range(0..=200)?);
            if u.arbitrary()? {
                b.first_send(now);
                first += 1;
            }
            second += u32::from(b.take(now));
            let most = RetryBudget::MOST
                + RetryBudget::SHARE * f64::from(first)
                + RetryBudget::FLOOR_PER_S * now.as_secs_f64();
            assert!(f64::from(second) <= most + 1e-6);
        }
        Ok(())
    });
}

/// An ejected engine is used only when there is no other, and probed first by what may be repeated.
#[test]
fn elections_leave_ejected_engines_to_probes_and_to_need() {
    let mut s = Scheduler::new(
        SchedulerTuning { zone: "a".into(), ..SchedulerTuning::default() },
        Arc::new(NoConnections),
    );
    let engine = |n: u32| EngineEntry {
        id: n.to_string(),
        service: SERVICE.into(),
        addr: format!("10.0.0.{n}:80"),
        zone: "a".into(),
        slots: 4,
        draining: false,
        cold_ms: 0,
    };
    let engines = (1..4).map(engine).collect();
    s.learn(&ZoneTable { zone: "a".into(), epoch: 1, seq: 1, engines });
    let ask = |may_probe: bool, tried: &[&str]| Ask {
        service: SERVICE.into(),
        blocks: Vec::new(),
        session: None,
        reported_holder: None,
        prompt_tokens: 0,
        most_out: 0,
        memory_limit: 0,
        is_turn: false,
        priority: 1,
        slack: ms(100),
        budget: ms(1000),
        tried: tried.iter().map(|id| EngineKey::of(id)).collect(),
        may_probe,
        policy: Policy::Current,
    };
    let place = |s: &mut Scheduler, a: Ask, at: u64| match s.place(a, ms(at)) {
        Placed::Go(g) => g,
        p => panic!("{p:?}"),
    };
    for at in 0..3 {
        let g = place(&mut s, ask(false, &["2", "3"]), at);
        s.failed(&g, FailureKind::ServerError, ms(at));
        s.end(&g, false, ms(at));
    }
    for at in 10..60 {
        let g = place(&mut s, ask(true, &[]), at);
        assert_ne!(&*g.id, "1");
        s.end(&g, false, ms(at));
    }
    let g = place(&mut s, ask(false, &["2", "3"]), 70);
    assert_eq!(&*g.id, "1");
    s.end(&g, false, ms(71));
    // Its time is over: not by what may run once only, but at once by what may be repeated.
    let g = place(&mut s, ask(false, &[]), 3100);
    assert_ne!(&*g.id, "1");
    let g = place(&mut s, ask(true, &[]), 3100);
    assert_eq!(&*g.id, "1");
}
