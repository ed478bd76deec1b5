use super::SharedPrior;
use crate::prelude::*;

fn engines(n: usize) -> EngineTable {
    let mut t = EngineTable::default();
    for zone in ["a", "b"] {
        let engines = (0..n)
            .map(|i| EngineEntry {
                id: format!("{zone}{i}"),
                service: "s".into(),
                addr: format!("10.0.0.{}:80", i + 1),
                area: zone.into(),
                slots: 16,
                draining: false,
                cold_ms: 0,
            })
            .collect();
        let table = AreaTable { area: zone.into(), epoch: 1, seq: 1, engines };
        t.learn(&table, &mut EvidenceTable::default());
    }
    t
}

fn ask(line: &str, shared: &str) -> Ask {
    let parts = [Part { id: shared, tokens: 2560 }, Part { id: line, tokens: 1000 }];
    Ask {
        service: "s".into(),
        blocks: chain_blocks("m", parts),
        session: Some(line.into()),
        told_holder: None,
        prompt_tokens: 3560,
        most_out: 50,
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

const NOW: Duration = Duration::from_secs(10);

fn proxy(zone: &str, n: usize) -> Scheduler {
    let tuning = SchedulerTuning { area: zone.into(), ..SchedulerTuning::default() };
    Scheduler { engines: engines(n), ..Scheduler::new(tuning) }
}

fn go(p: Placed) -> Grant {
    match p {
        Placed::Go(g) => g,
        p => panic!("{p:?}"),
    }
}

/// Proxies that never talk come to a few engines of their own zone for the same shared part.
#[test]
fn proxies_come_to_the_same_few_engines() {
    let mut used = HashSet::new();
    for i in 0..40 {
        let mut s = proxy("a", 14);
        let g = go(s.place(ask(&format!("l{i}"), "p"), NOW));
        assert!(g.id.starts_with('a'));
        assert!(g.guessed > 0 && g.hit == 0 && g.reason == Reason::Miss);
        used.insert(g.key);
    }
    assert!(used.len() <= 4, "{}", used.len());
}

/// Which of them, depends on the part.
#[test]
fn other_parts_lie_elsewhere() {
    let best = |part: &str| {
        let t = engines(14);
        let p = SharedPrior::of(&t, &ask("l", part), &[], NOW);
        t.of_service("s").max_by_key(|e| p.tokens(e)).map(|e| e.key)
    };
    let all: HashSet<_> = (0..16).map(|i| best(&format!("p{i}"))).collect();
    assert!(all.len() >= 8, "{}", all.len());
}

/// Any schedule of loads: a better-ranked engine that is much busier than another is left, and what
/// the index knows goes before the guess.
#[test]
fn they_leave_under_load_and_the_index_decides() {
    arbtest::arbtest(|u| {
        let mut s = proxy("a", 6);
        let first = go(s.place(ask("l", "p"), NOW));
        s.end(&first, false, NOW);
        let busy: u32 = u.int_in_range(20..=60)?;
        if let Some(e) = s.engines.get_mut(first.key) {
            e.slots = 64;
            e.told(busy, 0, 64, NOW);
        }
        let second = go(s.place(ask("k", "p"), NOW));
        assert_ne!(first.key, second.key);
        s.end(&second, false, NOW);

        // What the index names decides, whatever the ranking says, until it is half full.
        let mut s = proxy("a", 6);
        let keys: Vec<EngineKey> =
            s.engines.of_service("s").filter(|e| *e.area == *"a").map(|e| e.key).collect();
        let at = *u.choose(&keys)?;
        s.index.answered("m", at, &ask("m", "p").blocks, Duration::from_secs(60), NOW);
        let load: u32 = u.int_in_range(0..=7)?;
        if let Some(e) = s.engines.get_mut(at) {
            e.told(load, 0, 16, NOW);
        }
        let g = go(s.place(ask("n", "p"), NOW));
        assert_eq!((g.key, g.hit, g.guessed, g.reason), (at, 2560, 0, Reason::SharedHit));
        Ok(())
    })
    .size_min(64);
}
