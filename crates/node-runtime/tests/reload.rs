//! What a running process makes of new readings of its settings file: comparison, classification and
//! refusal, without a file.
use node_runtime::prelude::*;
use node_runtime::settings::{
    compare_settings, parse_settings, take_at_once, Reading, Reloader, TakesEffect, FIELD_RULES,
};

/// Every field of the table, with values that differ from the defaults.
const WHOLE: &str = r#"nodeName = "n1"
machineClass = "front"
ipAddress = "10.1.0.30"
zone = "a"
internalPortRange = [7380, 7395]
seedAddresses = ["10.1.0.33:8144"]
firstStart = true
lossCounted = true
dataDirectory = "/d"
[zones]
a = "r"
b = "r"
[listenAddresses]
front = "10.1.0.30:8149"
readiness = "10.1.0.30:8141"
control = "10.1.0.30:8144"
[limits]
memoryMb = 260
fileDescriptors = 4100
diskMb = 100
[toleratedLosses]
machines = 2
zones = 1
regions = 1
[bounds]
contactMs = 2000
acknowledgeMs = 3000
catchUpS = 5
drainMs = 3100
gracePeriodS = 9
configApplyMs = 1500
reuseAfterS = 3
[cloudApi]
address = "10.200.0.100:8142"
ratePerS = 40.0
lagMs = 800
[dispatcher]
attemptsPerLine = 5
attemptsPerProgram = 6
leaseS = 50
"#;

/// For each field of the table, a line of the file and what it becomes.
const CHANGES: &[(&str, &str, &str)] = &[
    ("nodeName", "\"n1\"", "\"n2\""),
    ("machineClass", "\"front\"", "\"core\""),
    ("ipAddress", "\"10.1.0.30\"", "\"10.1.0.31\""),
    ("zone", "zone = \"a\"", "zone = \"b\""),
    ("zones", "b = \"r\"", "c = \"r\""),
    ("internalPortRange", "[7380, 7395]", "[7400, 7415]"),
    ("seedAddresses", "10.1.0.33:8144", "10.1.0.34:8144"),
    ("firstStart", "firstStart = true", "firstStart = false"),
    ("lossCounted", "lossCounted = true", "lossCounted = false"),
    ("dataDirectory", "\"/d\"", "\"/e\""),
    ("listenAddresses.front", ":8149", ":8150"),
    ("listenAddresses.readiness", ":8141", ":8151"),
    ("listenAddresses.control", "10.1.0.30:8144", "10.1.0.30:8152"),
    ("limits.memoryMb", "memoryMb = 260", "memoryMb = 300"),
    ("limits.fileDescriptors", "4100", "4000"),
    ("limits.diskMb", "diskMb = 100", "diskMb = 200"),
    ("toleratedLosses.machines", "machines = 2", "machines = 1"),
    ("toleratedLosses.zones", "zones = 1", "zones = 0"),
    ("toleratedLosses.regions", "regions = 1", "regions = 0"),
    ("bounds.contactMs", "contactMs = 2000", "contactMs = 2100"),
    ("bounds.acknowledgeMs", "acknowledgeMs = 3000", "acknowledgeMs = 3200"),
    ("bounds.catchUpS", "catchUpS = 5", "catchUpS = 6"),
    ("bounds.drainMs", "drainMs = 3100", "drainMs = 3300"),
    ("bounds.gracePeriodS", "gracePeriodS = 9", "gracePeriodS = 10"),
    ("bounds.configApplyMs", "configApplyMs = 1500", "configApplyMs = 1600"),
    ("bounds.reuseAfterS", "reuseAfterS = 3", "reuseAfterS = 4"),
    ("cloudApi", "10.200.0.100:8142", "10.200.0.101:8142"),
    ("dispatcher.attemptsPerLine", "attemptsPerLine = 5", "attemptsPerLine = 7"),
    ("dispatcher.attemptsPerProgram", "attemptsPerProgram = 6", "attemptsPerProgram = 8"),
    ("dispatcher.leaseS", "leaseS = 50", "leaseS = 40"),
];

fn parsed(text: &str) -> NodeSettings {
    parse_settings("f", text).unwrap()
}

/// Looks twice, as the watcher does, and gives the second look's reading.
fn settled(r: &mut Reloader, text: &str) -> Reading {
    let first = r.look(Ok(text.into()), false);
    assert!(matches!(first, Reading::Unsettled | Reading::Same), "{first:?}");
    r.look(Ok(text.into()), false)
}

fn refused(r: &mut Reloader, text: &str) -> String {
    match settled(r, text) {
        Reading::Refused(e) => e.to_string(),
        other => panic!("{other:?}"),
    }
}

/// Each row of the table has a change here, and the change touches that row alone: a field that no row
/// reached, or two rows reached, would show.
#[test]
fn each_field_is_reported_alone_and_takes_effect_as_its_row_says() {
    let names: Vec<&str> = FIELD_RULES.iter().map(|r| r.name).collect();
    let changed: Vec<&str> = CHANGES.iter().map(|c| c.0).collect();
    assert_eq!(names, changed);
    let old = parsed(WHOLE);
    for ((field, from, to), rule) in CHANGES.iter().zip(FIELD_RULES) {
        let text = WHOLE.replacen(from, to, 1);
        assert_ne!(text, WHOLE, "{field}");
        let new = parsed(&text);
        let found = compare_settings(&old, &new);
        let fields: Vec<&str> = found.iter().map(|c| c.field).collect();
        assert_eq!(fields, [*field]);
        assert_eq!(found[0].effect, rule.effect);
        assert_ne!(found[0].old, found[0].new);
        let taken = take_at_once(&old, &new);
        let (at_once, kept) = (compare_settings(&taken, &new), compare_settings(&taken, &old));
        match rule.effect {
            TakesEffect::AtOnce => assert!(at_once.is_empty() && kept.len() == 1, "{field}"),
            _ => assert!(at_once.len() == 1 && kept.is_empty(), "{field}"),
        }
    }
}

/// The debug text of the whole struct names each field; with all rows taken over, nothing differs.
#[test]
fn the_table_reaches_every_field_of_the_settings() {
    let old = parsed(WHOLE);
    let mut text = WHOLE.to_string();
    for (_, from, to) in CHANGES.iter().filter(|c| c.0 != "zone") {
        text = text.replacen(from, to, 1);
    }
    let new = parsed(&text);
    let told = compare_settings(&old, &new).len();
    assert_eq!(told, FIELD_RULES.len() - 1);
    let NodeSettings {
        node_name: _,
        machine_class: _,
        ip: _,
        zone: _,
        zones: _,
        internal_ports: _,
        seeds: _,
        first_start: _,
        loss_counted: _,
        data_dir: _,
        listen: ListenSettings { front: _, readiness: _, control: _ },
        limits: LimitSettings { memory_mb: _, descriptors: _, disk_mb: _ },
        tolerated: Tolerated { machines: _, zones: _, regions: _ },
        bounds:
            Bounds {
                contact: _,
                acknowledge: _,
                catch_up: _,
                drain: _,
                grace: _,
                config_apply: _,
                reuse_after: _,
            },
        cloud: _,
        dispatcher:
            DispatcherSettings { attempts_per_session: _, attempts_per_program: _, lease: _ },
    } = new;
    // `nodeName` to `leaseS` above are 30 rows.
    assert_eq!(FIELD_RULES.len(), 30);
}

#[test]
fn a_change_is_judged_once_two_looks_agree() {
    let mut r = Reloader::new("f", WHOLE).unwrap();
    assert!(matches!(r.look(Ok(WHOLE.into()), false), Reading::Same));
    let one = WHOLE.replace("10.1.0.33:8144", "10.1.0.34:8144");
    let two = WHOLE.replace("10.1.0.33:8144", "10.1.0.35:8144");
    assert!(matches!(r.look(Ok(one), true), Reading::Unsettled));
    assert!(matches!(r.look(Ok(two.clone()), true), Reading::Unsettled));
    let Reading::Taken { settings, taken, waiting } = r.look(Ok(two.clone()), true) else {
        panic!("not taken")
    };
    assert_eq!(settings.seeds[0].to_string(), "10.1.0.35:8144");
    assert_eq!((taken.len(), waiting.len()), (1, 0));
    assert!(matches!(r.look(Ok(two.clone()), false), Reading::Same));
    // Asked again with nothing new: judged again, and nothing changes.
    let Reading::Taken { taken, .. } = r.look(Ok(two), true) else { panic!("not taken") };
    assert!(taken.is_empty());
}

#[test]
fn what_needs_a_restart_stays_and_is_reported() {
    let mut r = Reloader::new("f", WHOLE).unwrap();
    let text = WHOLE.replace("\"n1\"", "\"n2\"").replace("machines = 2", "machines = 3");
    let Reading::Taken { settings, taken, waiting } = settled(&mut r, &text) else {
        panic!("not taken")
    };
    assert_eq!((settings.node_name.as_str(), settings.tolerated.machines), ("n1", 3));
    assert_eq!((taken[0].field, waiting[0].field), ("toleratedLosses.machines", "nodeName"));
    assert_eq!((waiting[0].old.as_str(), waiting[0].new.as_str()), ("\"n1\"", "\"n2\""));
}

#[test]
fn a_first_start_that_is_over_asks_for_nothing() {
    let mut r = Reloader::new("f", WHOLE).unwrap();
    for text in [
        WHOLE.replace("firstStart = true", "firstStart = false"),
        WHOLE.replace("firstStart = true\n", ""),
    ] {
        let Reading::Taken { taken, waiting, .. } = settled(&mut r, &text) else {
            panic!("not taken")
        };
        assert!(taken.is_empty() && waiting.is_empty());
    }
}

#[test]
fn bad_files_are_refused_with_file_field_and_reason_and_the_old_settings_stay() {
    let mut r = Reloader::new("f", WHOLE).unwrap();
    for (text, want) in [
        (String::new(), "f: (file): is empty"),
        (" \n".into(), "f: (file): is empty"),
        (WHOLE.replace("drainMs = 3100", "drainMs = 0"), "f: bounds.drainMs: "),
        (WHOLE.replace("\"10.1.0.33:8144\"", ""), "f: seedAddresses: names no node"),
        (WHOLE.replace("\"10.1.0.33:8144\"", "\"x\""), "f: seedAddresses: "),
        (WHOLE.replace("[cloudApi]", "[cloudApi"), "f: (file): "),
        (WHOLE.replace("machines = 2\n", ""), "f: toleratedLosses.machines: was given before"),
        (WHOLE.trim_end().into(), "f: (file): ends in the middle of a line"),
    ] {
        let told = refused(&mut r, &text);
        assert!(told.starts_with(want), "{told} / {want}");
        assert!(matches!(r.look(Ok(text.clone()), false), Reading::Same), "told once");
        assert!(matches!(r.look(Ok(text), true), Reading::Refused(_)), "and when asked again");
    }
    r.look(Err("no such file".into()), false);
    let Reading::Refused(e) = r.look(Err("no such file".into()), false) else { panic!("taken") };
    assert_eq!(e.to_string(), "f: (file): no such file");
    assert!(compare_settings(r.settings(), &parsed(WHOLE)).is_empty());
    // Mended, also by putting the old file back.
    let Reading::Taken { taken, .. } = settled(&mut r, WHOLE) else { panic!("not taken") };
    assert!(taken.is_empty());
}

/// Cut at any byte, a file with new values is never taken: neither whole nor in part.
#[test]
fn a_file_cut_at_any_byte_is_refused() {
    let mut text = WHOLE.to_string();
    for (_, from, to) in CHANGES.iter().filter(|c| c.0 != "firstStart") {
        text = text.replacen(from, to, 1);
    }
    for cut in 0..text.len() {
        let mut r = Reloader::new("f", WHOLE).unwrap();
        refused(&mut r, &text[..cut]);
        assert!(compare_settings(r.settings(), &parsed(WHOLE)).is_empty(), "{cut}");
        assert!(matches!(settled(&mut r, &text), Reading::Taken { .. }), "{cut}");
    }
}

/// The page for operators says the same as the table.
#[test]
fn the_operators_page_says_what_the_table_says() {
    let page = include_str!("../../../docs/operators/settings.md");
    for rule in FIELD_RULES {
        let says = match rule.effect {
            TakesEffect::AtOnce => "at once",
            TakesEffect::AfterRestart => "restart",
            TakesEffect::FirstStartOnly => "first start only",
        };
        let row = format!("| `{}` | {says} |", rule.name);
        assert!(page.contains(&row), "settings.md lacks: {row}");
    }
    let rows = page.lines().filter(|l| {
        ["| at once |", "| restart |", "| first start only |"].iter().any(|e| l.contains(e))
    });
    assert_eq!(rows.count(), FIELD_RULES.len(), "a row for each field and no other");
}
