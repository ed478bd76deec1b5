//! A zone's table at its holder and at another cell, over a link that loses messages.
use control_cell::prelude::*;

fn engine(id: u8, draining: bool) -> EngineEntry {
    EngineEntry {
        id: format!("i-{id}"),
        service: "s".into(),
        addr: format!("10.0.0.{id}:80"),
        zone: "a".into(),
        slots: 4,
        draining,
        cold_ms: 0,
    }
}

fn cell() -> ZoneTables {
    ZoneTables::new(1, watch::channel(Default::default()).0, Instant::now())
}

fn table_of(cell: &ZoneTables) -> Option<ZoneTable> {
    cell.tables().next().cloned()
}

/// Ids and states, whatever their order.
fn listed(cell: &ZoneTables) -> BTreeMap<String, bool> {
    let table = table_of(cell);
    table.into_iter().flat_map(|t| t.engines).map(|e| (e.id, e.draining)).collect()
}

/// Any row of lists, with changes lost and another cell that starts anew: as soon as the holder says once
/// which state is the newest, and is answered, the other cell has it.
#[test]
fn a_cell_has_the_newest_state_once_it_has_answered() {
    arbtest::arbtest(|u| {
        let (mut holder, mut other) = (cell(), cell());
        for _ in 0..u.int_in_range(1..=12u8)? {
            let mut engines = Vec::new();
            for id in 0..8 {
                if u.ratio(1, 2)? {
                    engines.push(engine(id, u.ratio(1, 4)?));
                }
            }
            let news = holder.listed("a".into(), 3, engines);
            let lost = u.ratio(1, 3)?;
            if let Some(news) = news.filter(|_| !lost) {
                let change = news.change.unwrap_or_else(|| news.table.newest());
                if let ZoneChangeTaken::TableNeeded = other.take_change(change) {
                    let _ = other.take(news.table);
                }
                assert_eq!(listed(&other), listed(&holder));
            }
            if u.ratio(1, 6)? {
                other = cell();
            }
        }
        let newest = table_of(&holder);
        if let Some(table) = newest {
            if let ZoneChangeTaken::TableNeeded = other.take_change(table.newest()) {
                let _ = other.take(table);
            }
        }
        assert_eq!(listed(&other), listed(&holder));
        Ok(())
    })
    .size_min(512)
    .budget_ms(500);
}

#[test]
fn a_list_in_another_order_says_nothing_new() {
    let mut holder = cell();
    let engines = vec![engine(1, false), engine(2, true)];
    let first = holder.listed("a".into(), 3, engines.clone());
    assert!(first.is_some_and(|news| news.change.is_none()));
    let turned: Vec<EngineEntry> = engines.into_iter().rev().collect();
    assert!(holder.listed("a".into(), 3, turned).is_none());
    // A later holder's first list is published whatever it says, since it begins a new epoch.
    let news = holder.listed("a".into(), 4, vec![engine(1, false), engine(2, true)]).unwrap();
    assert!(news.change.is_some_and(|c| c.put.is_empty() && c.removed.is_empty()));
}
