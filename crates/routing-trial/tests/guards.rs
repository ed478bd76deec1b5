//! Guardrails.
mod support;

use routing_trial::prelude::*;
use support::*;

fn totals(f: impl FnOnce(&mut NodeReport)) -> Totals {
    let mut r = NodeReport::new(1, "n", 1);
    f(&mut r);
    let mut l = OutcomeLedger::new(1);
    r.seq = 1;
    l.take(r);
    l.totals()
}

#[test]
fn one_of_what_may_never_happen_is_enough_on_either_arm() {
    let s = spec();
    for arm in Arm::BOTH {
        let t = totals(|r| r.hole(arm, "dialogue", true));
        let want = Breach::Holes { route: "dialogue".into(), count: 1 };
        assert_eq!(judge(&s, &t).0, Verdict::Guardrail(want));
        let t = totals(|r| r.hole(arm, "chat", false));
        assert_eq!(judge(&s, &t).0, Verdict::Running, "not protected");
    }
    let t = totals(|r| r.doubles = 1);
    assert_eq!(judge(&s, &t).0, Verdict::Guardrail(Breach::Doubles { count: 1 }));
    let t = totals(|r| r.inversions = 1);
    assert_eq!(judge(&s, &t).0, Verdict::Guardrail(Breach::Inversions { count: 1 }));
    let mut some = s.clone();
    some.guard.inversions = 3;
    assert_eq!(judge(&some, &t).0, Verdict::Running);
}

#[test]
fn a_broken_stream_stops_at_once_where_none_is_allowed() {
    let mut s = spec();
    s.guard.broken = BrokenLimit::Zero;
    let one =
        |arm, protected| totals(|r| r.count(arm, 0, "dialogue", protected, Outcome::Broken, 0.3));
    assert!(matches!(
        judge(&s, &one(Arm::Candidate, true)).0,
        Verdict::Guardrail(Breach::Broken { .. })
    ));
    assert_eq!(judge(&s, &one(Arm::Control, true)).0, Verdict::Running);
    assert_eq!(judge(&s, &one(Arm::Candidate, false)).0, Verdict::Running);
    s.guard.broken = BrokenLimit::AsControl;
    assert_eq!(judge(&s, &one(Arm::Candidate, true)).0, Verdict::Running, "one may be chance");
    // Limits of single routes.
    s.guard.limits.insert("other".into(), BrokenLimit::Zero);
    assert_eq!(judge(&s, &one(Arm::Candidate, true)).0, Verdict::Running);
    s.guard.limits.insert("dialogue".into(), BrokenLimit::Zero);
    let want =
        Breach::Broken { route: Some("dialogue".into()), counts: [(0, 0), (1, 1)], evidence: 0.0 };
    assert_eq!(judge(&s, &one(Arm::Candidate, true)).0, Verdict::Guardrail(want));
    assert!(s.guard.protects("dialogue", 9) && !s.guard.protects("chat", 9));
    s.guard.broken = BrokenLimit::Zero;
    s.guard.limits.insert("dialogue".into(), BrokenLimit::AsControl);
    assert_eq!(judge(&s, &one(Arm::Candidate, true)).0, Verdict::Running, "its own limit holds");
}

/// Both arms break off alike: over 3000 trials looked at after each break, few may be stopped.
#[test]
fn equal_breaks_stop_at_most_alpha_of_trials() {
    let (runs, alpha) = (3000u64, 0.01);
    let mut wrong = 0;
    for seed in 0..runs {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut b, mut n) = ([0u64; 2], [0u64; 2]);
        for _ in 0..4000 {
            let i = usize::from(rng.bool());
            n[i] += 1;
            if rng.f64() < 0.02 {
                b[i] += 1;
                if excess_evidence(b[0], n[0], b[1], n[1]) >= 1.0 / alpha {
                    wrong += 1;
                    break;
                }
            }
        }
    }
    println!("false alarms: {wrong} of {runs}");
    assert!(wrong as f64 <= alpha * runs as f64, "{wrong}");
}

#[test]
fn more_breaks_on_the_candidate_are_seen_and_fewer_are_no_fault() {
    assert!(excess_evidence(0, 100, 9, 100) >= 100.0);
    assert!(excess_evidence(2, 1000, 20, 1000) >= 100.0);
    assert!(excess_evidence(20, 1000, 2, 1000) < 1.0);
    assert!(excess_evidence(50, 1000, 55, 1000) < 20.0);
    assert_eq!(excess_evidence(5, 100, 0, 100), 0.0);
    // Large counts neither overflow nor lose the sign.
    assert!(excess_evidence(1_000_000, 100_000_000, 2_000_000, 100_000_000) >= 100.0);
    assert!(excess_evidence(2_000_000, 100_000_000, 1_000_000, 100_000_000) < 1.0);
}

#[test]
fn the_text_names_the_breach_and_what_it_rests_on() {
    let s = spec();
    let t = totals(|r| {
        r.count(Arm::Candidate, 0, "dialogue", true, Outcome::InTime, 0.3);
        r.hole(Arm::Candidate, "dialogue", true);
    });
    let (v, e) = judge(&s, &t);
    let text = say(&s, &v, &e);
    assert!(
        text.contains("stopped by a guardrail: 1 answers on the protected route 'dialogue'"),
        "{text}"
    );
    assert!(text.contains("[protected]") && text.contains("not compared yet"), "{text}");
}
