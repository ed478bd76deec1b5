use doctor::prelude::*;

fn settings() -> NodeSettings {
    node_runtime::settings::parse_settings(
        "f",
        "nodeName = \"n\"\nipAddress = \"10.0.0.1\"\nzone = \"a\"\ninternalPortRange = [7000,7015]\n\
         seedAddresses = [\"10.0.0.2:80\"]\n",
    )
    .unwrap()
}

fn sound() -> Facts {
    let cell = |name: &str| CellFact {
        addr: format!("{name}:1"),
        status: Some(CellStatus {
            name: name.into(),
            leader: Some("c1".into()),
            applied: 9,
            config_version: 4,
            members: vec!["c1".into(), "c2".into(), "c3".into()],
            voters: vec!["c1".into(), "c2".into(), "c3".into()],
            zones: vec![ZoneSummary { zone: "a".into(), holder: Some("c1".into()), engines: 2 }],
            ..CellStatus::default()
        }),
        clock_off: Duration::ZERO,
    };
    let store = |name: &str| StoreFact {
        summary: StoreSummary { name: name.into(), state: StoreState::Placed, addr: String::new() },
        answer: Some(StoreAnswer { version: 1, fresh: false, turns: 7, beyond_proof: false }),
    };
    Facts {
        cells: ["c1", "c2", "c3"].map(cell).to_vec(),
        stores: ["s1", "s2", "s3"].map(store).to_vec(),
        disk: Some(DiskFact { limit: 100, used: 10, ..DiskFact::default() }),
        listed: BTreeMap::from([("a".to_string(), Some(2))]),
    }
}

#[test]
fn a_sound_system_has_no_findings() {
    assert_eq!(find_faults(&settings(), &sound()), []);
}

#[test]
fn each_common_fault_is_found_with_a_remedy() {
    type Break = fn(&mut Facts);
    let rows: [(Break, &str); 16] = [
        (|f| f.cells[2].status = None, "no cell answers"),
        (|f| f.cells[1].clock_off = Duration::from_secs(9), "time of day"),
        (
            |f| f.cells.iter_mut().for_each(|c| c.status.as_mut().unwrap().leader = None),
            "no cell knows a leader",
        ),
        (|f| f.cells[0].status.as_mut().unwrap().leader = Some("c2".into()), "several leaders"),
        (|f| f.cells[1].status.as_mut().unwrap().config_version = 3, "configuration 3 of 4"),
        (
            |f| f.cells.iter_mut().for_each(|c| c.status.as_mut().unwrap().zones[0].holder = None),
            "no living cell",
        ),
        (
            |f| {
                f.listed.insert("a".into(), Some(5));
            },
            "5 are listed",
        ),
        (
            |f| {
                f.listed.insert("a".into(), None);
            },
            "list can't be read",
        ),
        (|f| f.stores[0].answer = None, "doesn't answer"),
        (|f| f.stores[0].answer.as_mut().unwrap().fresh = true, "lost its disk"),
        (|f| f.stores[0].answer.as_mut().unwrap().beyond_proof = true, "can't prove the history"),
        (|f| f.stores[0].summary.state = StoreState::Leaving, "assigned to 2 stores"),
        (|f| f.stores[0].summary.state = StoreState::Leaving, "is being emptied"),
        (|f| f.stores[0].answer.as_mut().unwrap().version = 0, "works under store set 0"),
        (|f| f.disk.as_mut().unwrap().damage.push("bad record".into()), "bad record"),
        (|f| f.disk.as_mut().unwrap().used = 90, "MB are used"),
    ];
    for (break_it, want) in rows {
        let mut f = sound();
        break_it(&mut f);
        let found = find_faults(&settings(), &f);
        assert!(
            found.iter().any(|x| x.fault.contains(want) && !x.remedy.is_empty()),
            "{want}: {found:?}"
        );
    }
}
