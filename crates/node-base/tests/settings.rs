//! Settings that say what may be lost, and how attempts are held.
use node_base::settings::parse_settings;

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
    assert_eq!((settings.dispatcher.per_line, settings.dispatcher.lease.as_secs()), (4, 60));
    let text = format!("{BASE}[dispatcher]\nattemptsPerLine = 7\nleaseS = 30\n");
    let settings = parse_settings("f", &text).unwrap();
    assert_eq!((settings.dispatcher.per_line, settings.dispatcher.lease.as_secs()), (7, 30));
    for (line, want) in [
        ("attemptsPerLine = 1.5", "f: dispatcher.attemptsPerLine: "),
        ("attemptsPerProgram = -1", "f: dispatcher.attemptsPerProgram: "),
        ("leaseS = 0", "f: dispatcher.leaseS: "),
    ] {
        let e = parse_settings("f", &format!("{BASE}[dispatcher]\n{line}\n")).unwrap_err();
        assert!(e.to_string().starts_with(want), "{e} / {want}");
    }
}
