//! Placement beside the connections that a proxy keeps: they follow its traffic, not the number of engines.
use session_index::prelude::*;
use std::sync::Mutex;

const NOW: Duration = Duration::from_secs(10);

/// Idle connections to the engines named.
#[derive(Default)]
struct Connected(Mutex<Vec<EngineKey>>);

impl KeptConnections for Connected {
    fn idle_to(&self, _limit: Duration) -> Vec<EngineKey> {
        self.0.lock().unwrap().clone()
    }
}

fn zone_of(engines: usize) -> ZoneTable {
    let entry = |i: usize| EngineEntry {
        id: format!("i-{i}"),
        service: "s".into(),
        addr: format!("10.0.{}.{}:80", i / 200, i % 200 + 1),
        zone: "a".into(),
        slots: 6,
        draining: false,
        cold_ms: 0,
    };
    ZoneTable { zone: "a".into(), epoch: 1, seq: 1, engines: (0..engines).map(entry).collect() }
}

fn proxy(engines: usize) -> (Scheduler, Arc<Connected>) {
    let connected = Arc::new(Connected::default());
    let tuning = SchedulerTuning { zone: "a".into(), ..SchedulerTuning::default() };
    let mut scheduler = Scheduler::new(tuning, connected.clone());
    scheduler.learn(&zone_of(engines));
    (scheduler, connected)
}

fn call() -> Ask {
    Ask {
        service: "s".into(),
        blocks: Vec::new(),
        session: None,
        reported_holder: None,
        prompt_tokens: 0,
        most_out: 0,
        memory_limit: 0,
        is_turn: false,
        priority: 2,
        slack: Duration::from_millis(200),
        budget: Duration::from_secs(3),
        tried: Vec::new(),
        may_probe: false,
        policy: Policy::Current,
    }
}

fn turn(session: &str, last: &str) -> Ask {
    let parts = ["p", last].map(|id| Part { id, tokens: 1000 });
    Ask {
        blocks: chain_blocks("m", parts),
        session: Some(session.into()),
        prompt_tokens: 2000,
        most_out: 100,
        is_turn: true,
        ..call()
    }
}

fn placed(scheduler: &mut Scheduler, ask: Ask) -> Grant {
    match scheduler.place(ask, NOW) {
        Placed::Go(grant) => grant,
        other => panic!("{other:?}"),
    }
}

/// New connections that one proxy opens for calls that come one after the other.
fn opened(engines: usize, calls: usize) -> usize {
    let (mut scheduler, connected) = proxy(engines);
    let mut opened = 0;
    for _ in 0..calls {
        let grant = placed(&mut scheduler, call());
        let mut idle = connected.0.lock().unwrap();
        if !idle.contains(&grant.key) {
            opened += 1;
            idle.push(grant.key);
        }
        drop(idle);
        // What it is taken for before anything is known: its pace makes it neither better nor worse.
        scheduler.worked(&grant, Duration::from_secs_f64(Pace::default().work_ms / 1e3), 1, NOW);
        scheduler.end(&grant, false, NOW);
    }
    opened
}

#[test]
fn new_connections_do_not_grow_with_the_number_of_engines() {
    for engines in [4, 20, 100] {
        assert!(opened(engines, 400) <= 4, "{engines} engines: {}", opened(engines, 400));
    }
}

#[test]
fn a_loaded_engine_is_left_for_a_free_one_though_it_is_connected() {
    let (mut scheduler, connected) = proxy(5);
    let first = EngineKey::of("i-0");
    connected.0.lock().unwrap().push(first);
    scheduler.engines.get_mut(first).unwrap().report_load(5, 0, 6, NOW);
    for _ in 0..20 {
        let grant = placed(&mut scheduler, call());
        assert_ne!(grant.key, first);
        scheduler.end(&grant, false, NOW);
    }
}

#[test]
fn a_burst_at_one_proxy_spreads_over_engines() {
    let (mut scheduler, connected) = proxy(5);
    connected.0.lock().unwrap().push(EngineKey::of("i-0"));
    let grants: Vec<Grant> = (0..20).map(|_| placed(&mut scheduler, call())).collect();
    for i in 0..5 {
        let key = EngineKey::of(&format!("i-{i}"));
        let here = grants.iter().filter(|g| g.key == key).count();
        assert!((2..=6).contains(&here), "i-{i} has {here} of 20");
    }
}

/// The session-cache index decides first: reading a prompt anew costs more than a connection.
#[test]
fn a_session_goes_to_the_engine_that_holds_its_blocks() {
    let (mut scheduler, connected) = proxy(5);
    let holder = EngineKey::of("i-3");
    scheduler.index.answered("l", holder, &turn("l", "1").blocks, Duration::from_secs(60), NOW);
    connected.0.lock().unwrap().push(EngineKey::of("i-0"));
    let grant = placed(&mut scheduler, turn("l", "1"));
    assert_eq!((grant.key, grant.reason), (holder, Reason::Hit));
}
