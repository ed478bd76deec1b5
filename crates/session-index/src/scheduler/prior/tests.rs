use super::super::tests::{go, table, turn, KEEP, NOW};
use super::SharedPrior;
use crate::prelude::*;

const IDS: [&str; 8] = ["0", "1", "2", "3", "4", "5", "6", "7"];

fn proxy() -> Scheduler {
    let mut s = Scheduler::new(
        SchedulerTuning { zone: "a".into(), ..SchedulerTuning::default() },
        Arc::new(NoConnections),
    );
    s.learn(&table("a", 1, &IDS.map(|id| (id, false))));
    s.learn(&table("b", 1, &[("z", false)]));
    s
}

/// Proxies that never talk come to a few engines of their own zone for a part, to others for another.
#[test]
fn proxies_come_to_the_same_few_engines() {
    let mut all = HashSet::new();
    for part in ["p", "q", "r", "s", "t", "u"] {
        let mut used = HashSet::new();
        for _ in 0..40 {
            let g = go(proxy().place(turn("l", &[part, "1"]), NOW));
            assert!(g.guessed > 0 && g.hit == 0 && g.reason == Reason::Miss && &*g.id != "z");
            used.insert(g.key);
        }
        assert!(used.len() <= 6, "{}", used.len());
        all.extend(used);
    }
    assert!(all.len() > 6, "{}", all.len());
}

/// Any load: a much busier engine is left for the next, and what the index names decides until it is
/// half full, whatever the ranking says.
#[test]
fn they_leave_under_load_and_the_index_decides() {
    arbtest::arbtest(|u| {
        let (mut s, ask) = (proxy(), turn("l", &["p", "1"]));
        let first = go(s.place(ask.clone(), NOW)).key;
        if let Some(e) = s.engines.get_mut(first) {
            e.report_load(u.int_in_range(30..=60)?, 0, 64, NOW);
        }
        assert_ne!(go(s.place(ask.clone(), NOW)).key, first);

        let (mut s, at) = (proxy(), EngineKey::of(u.choose(&IDS)?));
        s.index.answered("m", at, &turn("m", &["p", "2"]).blocks, KEEP, NOW);
        let busy = u.int_in_range(0..=16)?;
        if let Some(e) = s.engines.get_mut(at) {
            e.report_load(busy, 0, 16, NOW);
        }
        let hits = s.index.look_up(&ask.blocks, NOW);
        let prior = SharedPrior::of(&s.engines, &ask, &hits, NOW);
        assert_eq!(s.engines.of_service("s").any(|e| prior.tokens(e) > 0), busy >= 8);
        assert!(s.engines.of_service("s").all(|e| prior.tokens(e) < 1000));
        let g = go(s.place(ask, NOW));
        assert!(busy >= 8 || (g.key, g.hit, g.guessed) == (at, 1000, 0));
        Ok(())
    })
    .size_min(64);
}
