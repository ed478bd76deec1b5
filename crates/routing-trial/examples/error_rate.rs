//! Prints the tables of docs/routing-trial.md: `cargo run --release -p routing-trial --example error_rate`.
#[path = "../tests/support/mod.rs"]
mod support;

use routing_trial::prelude::{TrialSpec, Verdict};
use support::*;

fn main() {
    let spec = spec();
    println!(
        "alpha {}, least difference {}, horizon {}",
        spec.alpha, spec.min_effect, spec.horizon
    );
    println!("arms the same, 4000 trials, a look after every");
    for step in [20, 100, 1000] {
        let all = play_many(&spec, 4000, 0.0, step);
        let wrong = all.iter().filter(|(v, _)| is_difference(v)).count();
        let horizon = Verdict::NoDifference { by_horizon: true };
        let late = all.iter().filter(|(v, _)| *v == horizon).count();
        println!(
            "{step} conversations: {wrong} false alarms ({:.4}), {late} at the horizon",
            wrong as f64 / 4000.0
        );
    }
    println!("arms the same, 4000 trials, a look after every 20 conversations");
    for (share, least, min_effect) in
        [(0.1, 300, 0.02), (0.5, 100, 0.02), (0.5, 100, 0.1), (0.5, 30, 0.1)]
    {
        let spec = TrialSpec { share, least, min_effect, ..spec.clone() };
        let all = play_many(&spec, 4000, 0.0, 20);
        let wrong = all.iter().filter(|(v, _)| is_difference(v)).count();
        println!(
            "share {share}, least {least}, least difference {min_effect}: {wrong} false alarms ({:.4})",
            wrong as f64 / 4000.0
        );
    }
    println!("arms differ, 1000 trials, a look after every 100 conversations");
    println!("effect, candidate better, control better, no difference, median conversations, nine in ten");
    for effect in [0.01, 0.02, 0.03, 0.05, 0.10, -0.05] {
        let all = play_many(&spec, 1000, effect, 100);
        let of = |w: fn(&Verdict) -> bool| all.iter().filter(|(v, _)| w(v)).count();
        let mut took: Vec<u64> = all.iter().map(|(_, n)| *n).collect();
        took.sort_unstable();
        println!(
            "{effect:+.2}, {}, {}, {}, {}, {}",
            of(|v| *v == Verdict::CandidateBetter),
            of(|v| *v == Verdict::ControlBetter),
            of(|v| matches!(v, Verdict::NoDifference { .. })),
            took[500],
            took[900]
        );
    }
}
