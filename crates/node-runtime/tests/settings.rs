//! What is read from a settings file, and which faults are told.
use node_runtime::settings::parse_settings;

const BASE: &str = "nodeName = \"n1\"\nipAddress = \"10.1.0.30\"\nzone = \"a\"\n\
    internalPortRange = [7380,7395]\nseedAddresses = [\"10.1.0.33:8144\"]\n";

#[test]
fn a_group_bears_the_greatest_of_what_may_be_lost_and_one_store_at_the_least() {
    for (text, want) in [
        ("", 1),
        ("[toleratedLosses]\nmachines = 0\nzones = 0\nregions = 0\n", 1),
        ("[toleratedLosses]\nmachines = 2\nzones = 0\nregions = 0\n", 2),
        ("[toleratedLosses]\nmachines = 0\nzones = 1\nregions = 0\n", 1),
        ("[toleratedLosses]\nmachines = 1\nzones = 2\n", 2),
    ] {
        let settings = parse_settings("f", &format!("{BASE}{text}")).unwrap();
        assert_eq!(settings.tolerated.stores(), want, "{text}");
    }
}

#[test]
fn the_dispatcher_s_settings_are_checked() {
    let settings = parse_settings("f", BASE).unwrap();
    assert_eq!(
        (settings.dispatcher.attempts_per_session, settings.dispatcher.lease.as_secs()),
        (4, 60)
    );
    let text = format!("{BASE}[dispatcher]\nattemptsPerLine = 7\nleaseS = 30\n");
    let settings = parse_settings("f", &text).unwrap();
    assert_eq!(
        (settings.dispatcher.attempts_per_session, settings.dispatcher.lease.as_secs()),
        (7, 30)
    );
    for (line, want) in [
        ("attemptsPerLine = 1.5", "f: dispatcher.attemptsPerLine: "),
        ("attemptsPerProgram = -1", "f: dispatcher.attemptsPerProgram: "),
        ("leaseS = 0", "f: dispatcher.leaseS: "),
    ] {
        let e = parse_settings("f", &format!("{BASE}[dispatcher]\n{line}\n")).unwrap_err();
        assert!(e.to_string().starts_with(want), "{e} / {want}");
    }
}

const GOOD: &str = r#"
nodeName = "n1"
machineClass = "front"
ipAddress = "10.1.0.30"
zone = "a"
internalPortRange = [7380,7395]
seedAddresses = ["10.1.0.33:8144"]
firstStart = true
newField = 3
[listenAddresses]
front = "10.1.0.30:8149"
[limits]
memoryMb = 260
[bounds]
drainMs = 3000
catchUpS = 4.1
"#;

#[test]
fn takes_a_good_file_and_ignores_unknown_fields() {
    let settings = parse_settings("f", GOOD).unwrap();
    assert_eq!(settings.node_name, "n1");
    assert_eq!(settings.bounds.catch_up.as_millis(), 4100);
    assert_eq!(settings.own_addr(3), "10.1.0.30:7383");
}

#[test]
fn names_file_field_and_reason() {
    for (from, to, want) in [
        ("\"10.1.0.30\"", "\"x\"", "f: ipAddress: "),
        ("[7380,7395]", "[7380,7381]", "f: internalPortRange: "),
        ("\"10.1.0.33:8144\"", "\"10.1.0.33\"", "f: seedAddresses: "),
        ("drainMs = 3000", "drainMs = 0", "f: bounds.drainMs: "),
        ("memoryMb = 260", "memoryMb = \"b\"", "f: limits.memoryMb: "),
        ("nodeName = \"n1\"", "", "f: nodeName: is missing"),
    ] {
        let e = parse_settings("f", &GOOD.replace(from, to)).unwrap_err();
        assert!(e.to_string().starts_with(want), "{e} / {want}");
    }
}
