//! The error rate under continuous looking, and that differences are found.
mod support;

use routing_trial::prelude::*;
use support::*;

/// The two arms are the same: over 2000 trials, each looked at after every 100 conversations, a
/// difference may be seen in alpha of them at most, less three standard errors of the count: the rate
/// keeps clear of alpha, it isn't just below it by luck.
#[test]
fn same_arms_are_told_apart_in_at_most_alpha_of_trials() {
    let mut spec = spec();
    spec.horizon = 6000;
    let all = play_many(&spec, 2000, 0.0, 100);
    let false_alarms = all.iter().filter(|(v, _)| is_difference(v)).count();
    println!("false alarms: {false_alarms} of {}", all.len());
    let n = all.len() as f64;
    let margin = 3.0 * (n * spec.alpha * (1.0 - spec.alpha)).sqrt();
    assert!((false_alarms as f64) < spec.alpha * n - margin, "{false_alarms}");
}

/// Turns of a conversation alike to the utmost: counting turns as if each were by itself would fail.
#[test]
fn alike_turns_don_t_raise_the_error_rate() {
    let mut spec = spec();
    spec.horizon = 4000;
    let runs = 600;
    let mut wrong = 0;
    for seed in 0..runs {
        let mut w = World::new(90_000 + seed, 0.0, 0.0);
        let mut r = NodeReport::new(seed, "n", 1);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut n = 0;
        loop {
            for _ in 0..100 {
                w.in_time = if rng.f64() < 0.85 { 1.0 } else { 0.0 };
                w.converse(&spec, &mut r);
            }
            n += 100;
            let t = Totals { arms: r.arms.clone(), ..Totals::default() };
            let (v, _) = judge(&spec, &t);
            if v != Verdict::Running || n >= spec.horizon {
                wrong += usize::from(is_difference(&v));
                break;
            }
        }
    }
    println!("false alarms: {wrong} of {runs}");
    assert!(wrong as f64 <= spec.alpha * runs as f64, "{wrong}");
}

#[test]
fn a_difference_is_found_on_the_right_side_and_sooner_the_larger_it_is() {
    let spec = spec();
    let mut last = u64::MAX;
    for effect in [0.05, 0.10] {
        let all = play_many(&spec, 60, effect, 100);
        let right = all.iter().filter(|(v, _)| *v == Verdict::CandidateBetter).count();
        assert!(right >= 57, "{effect}: {right}");
        let mut took: Vec<u64> = all.iter().map(|(_, n)| *n).collect();
        took.sort_unstable();
        assert!(took[30] < last, "{effect}");
        last = took[30];
    }
    let all = play_many(&spec, 60, -0.10, 100);
    assert!(all.iter().filter(|(v, _)| *v == Verdict::ControlBetter).count() >= 57);
}

#[test]
fn the_interval_holds_the_estimate_and_the_p_value_agrees_with_it() {
    for seed in 0..40 {
        let mut w = World::new(seed, 0.03, 0.1);
        let mut r = NodeReport::new(seed, "n", 1);
        for i in 0..2000 {
            w.converse(&spec(), &mut r);
            if i % 250 != 249 {
                continue;
            }
            let e = compare_arms(&r.arms, 0.05, 0.02).unwrap();
            assert!(e.low <= e.diff && e.diff <= e.high);
            let out = e.low > 0.0 || e.high < 0.0;
            assert_eq!(out, e.p < 0.05, "{e:?}");
        }
    }
}

#[test]
fn too_few_groups_or_all_alike_prove_nothing() {
    let mut r = NodeReport::new(1, "n", 1);
    for b in 0..15 {
        r.count(Arm::Control, b, "x", false, Outcome::InTime, 0.3);
        r.count(Arm::Candidate, b, "x", false, Outcome::Refused, 0.3);
    }
    assert!(compare_arms(&r.arms, 0.05, 0.02).is_none());
    let mut r = NodeReport::new(1, "n", 1);
    for b in 0..BUCKETS {
        for arm in Arm::BOTH {
            r.count(arm, b, "x", false, Outcome::InTime, 0.3);
        }
    }
    let e = compare_arms(&r.arms, 0.05, 0.02).unwrap();
    assert!(e.diff == 0.0 && e.high > 0.02, "{e:?}");
}
