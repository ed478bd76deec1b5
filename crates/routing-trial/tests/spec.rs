//! Trial files: each fault is told with its field, and what a start or an end may follow.
mod support;

use routing_trial::prelude::*;
use support::*;

#[test]
fn a_sound_file_is_read_whole() {
    let s = spec();
    assert_eq!((s.id.as_str(), s.share, s.candidate.stay_ms), ("stay-80", 0.5, Some(80.0)));
    assert_eq!((s.candidate.far_ms, s.guard.broken), (None, BrokenLimit::AsControl));
    assert_eq!((s.lead_in, s.drain), (Duration::from_secs(3), Duration::from_secs(600)));
    assert!(s.guard.protects("any", 0) && !s.guard.protects("any", 1));
}

#[test]
fn every_fault_is_told_with_its_field() {
    for (from, to, field) in [
        ("id = \"stay-80\"", "id = \"a b\"", "id"),
        ("name = \"lines stay longer\"", "", "name"),
        ("share = 0.5", "share = 1.5", "share"),
        ("share = 0.5", "share = 0.5\nextra = 1", "extra"),
        ("name = \"current\"", "name = \"current\"\nstayMs = 1.0", "control.stayMs"),
        ("stayMs = 80.0", "stayMs = -1.0", "candidate.stayMs"),
        ("stayMs = 80.0", "", "candidate.stayMs"),
        ("stayMs = 80.0", "stayMs = 80.0\nodd = 1", "candidate.odd"),
        ("name = \"stay 80\"", "name = \"current\"", "candidate.name"),
        ("lateWorth = 0.3", "lateWorth = \"x\"", "metric.lateWorth"),
        ("alpha = 0.05", "alpha = 0.7", "test.alpha"),
        ("leastConversations = 300", "leastConversations = 29", "test.leastConversations"),
        ("horizonConversations = 20000", "horizonConversations = 400", "test.horizonConversations"),
        ("protectedPriority = 0", "", "guardrail.protectedRoutes"),
        ("protectedPriority = 0", "protectedPriority = 0\nbroken = \"some\"", "guardrail.broken"),
        (
            "protectedPriority = 0",
            "protectedPriority = 0\n[guardrail.brokenByRoute]\ntalk = \"few\"",
            "guardrail.brokenByRoute.talk",
        ),
    ] {
        let text = FILE.replace(from, to);
        assert_ne!(text, FILE, "{from}");
        let faults = check_spec(&text).unwrap_err();
        assert!(faults.iter().any(|f| f.field == field), "{field}: {faults:?}");
    }
    assert_eq!(check_spec("id = ").unwrap_err()[0].field, "(file)");
    let faults = check_spec("").unwrap_err();
    assert!(faults.len() >= 5, "all at once: {faults:?}");
}

#[test]
fn a_recorded_row_of_starts_and_ends_is_taken_as_recorded() {
    let begin = |at| TrialRecord::begin(spec(), at);
    let one = begin(1_000);
    let end = |v| one.ended(v, 5_000, Evidence::default());
    assert!(one.may_follow(None));
    assert!(!end(Verdict::CandidateBetter).may_follow(None));
    assert!(!begin(2_000).may_follow(Some(&one)), "one runs");
    let done = end(Verdict::CandidateBetter);
    assert!(done.may_follow(Some(&one)) && done.keeps_arms());
    assert!(!done.may_follow(Some(&done)), "a verdict is final");
    assert!(!end(Verdict::ControlBetter).may_follow(Some(&begin(2_000))), "of another start");
    assert!(!begin(604_999).may_follow(Some(&done)), "not drained");
    assert!(begin(605_000).may_follow(Some(&done)));
    let breach = end(Verdict::Guardrail(Breach::Doubles { count: 1 }));
    assert!(!breach.keeps_arms());
    assert!(begin(5_000).may_follow(Some(&breach)));
    assert!(!end(Verdict::Stopped { at_once: true }).keeps_arms());
    assert!(end(Verdict::Stopped { at_once: false }).keeps_arms());
}

#[test]
fn the_operators_page_shows_a_sound_file() {
    let page = include_str!("../../../docs/operators/trial.md");
    let text: Vec<&str> = page
        .lines()
        .skip_while(|l| !l.starts_with("    id = "))
        .map_while(|l| l.strip_prefix("    "))
        .collect();
    let s = check_spec(&text.join("\n")).unwrap();
    assert_eq!(s.guard.limits.values().collect::<Vec<_>>(), [&BrokenLimit::Zero]);
}
