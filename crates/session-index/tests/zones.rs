//! What a scheduler knows of engines, by whole tables or by what has changed.
use session_index::prelude::*;

fn table(seq: u64, engines: &[(u8, bool)]) -> ZoneTable {
    let entry = |(id, draining): &(u8, bool)| EngineEntry {
        id: format!("i-{id}"),
        service: "s".into(),
        addr: format!("10.0.0.{id}:80"),
        zone: "a".into(),
        slots: 4,
        draining: *draining,
        cold_ms: 0,
    };
    let engines = engines.iter().map(entry).collect();
    ZoneTable { zone: "a".into(), epoch: 1, seq, engines }
}

fn known(scheduler: &Scheduler) -> BTreeMap<String, bool> {
    scheduler.engines.of_service("s").map(|e| (e.id.to_string(), e.draining)).collect()
}

/// Any row of tables: a scheduler that learns changes knows the same engines as one that learns tables, and
/// the same engines as gone.
#[test]
fn changes_teach_the_same_as_tables() {
    arbtest::arbtest(|u| {
        let scheduler = || Scheduler::new(SchedulerTuning::default(), Arc::new(NoConnections));
        let (mut by_tables, mut by_changes) = (scheduler(), scheduler());
        let mut last = table(1, &[(1, false), (2, false)]);
        by_tables.learn(&last);
        by_changes.learn(&last);
        for seq in 2..=u.int_in_range(2..=10u64)? {
            let mut engines = Vec::new();
            for id in 0..8 {
                // An engine that leaves doesn't come back to be ready.
                let leaves = last.engines.iter().any(|e| e.id == format!("i-{id}") && e.draining);
                if u.ratio(2, 3)? {
                    engines.push((id, leaves || u.ratio(1, 4)?));
                }
            }
            let next = table(seq, &engines);
            by_tables.learn(&next);
            by_changes.learn_change(&last.change_to(&next));
            assert_eq!(known(&by_tables), known(&by_changes));
            for id in 0..8u8 {
                let key = EngineKey::of(&format!("i-{id}"));
                assert_eq!(by_tables.engines.has_left(key), by_changes.engines.has_left(key));
            }
            last = next;
        }
        Ok(())
    })
    .size_min(256)
    .budget_ms(300);
}
