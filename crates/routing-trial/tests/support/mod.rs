//! Simulated conversations, for the tests and for the example that prints the tables of the docs.
#![allow(dead_code)]
use routing_trial::prelude::*;

pub const FILE: &str = r#"
id = "stay-80"
name = "lines stay longer"
share = 0.5
[control]
name = "current"
[candidate]
name = "stay 80"
stayMs = 80.0
[metric]
lateWorth = 0.3
[test]
alpha = 0.05
minEffect = 0.02
leastConversations = 300
horizonConversations = 20000
[guardrail]
protectedPriority = 0
"#;

pub fn spec() -> TrialSpec {
    check_spec(FILE).unwrap()
}

/// A day in which turns of a conversation are alike: each conversation draws its own chance of being in
/// time, and every turn of it is drawn with that.
pub struct World {
    rng: fastrand::Rng,
    key: u64,
    next: u64,
    pub in_time: f64,
    /// Spread of a conversation's own chance.
    pub alike: f64,
    /// Added to the chance of being in time on the candidate.
    pub effect: f64,
}

impl World {
    pub fn new(seed: u64, effect: f64, alike: f64) -> Self {
        World {
            rng: fastrand::Rng::with_seed(seed),
            key: seed,
            next: 0,
            in_time: 0.85,
            alike,
            effect,
        }
    }

    /// One conversation, counted whole.
    pub fn converse(&mut self, spec: &TrialSpec, r: &mut NodeReport) {
        self.next += 1;
        let program = format!("p{}", self.next);
        let arm = arm_of(self.key, &program, spec.share);
        let bucket = bucket_of(self.key, &program);
        r.began(arm, bucket);
        let own = self.alike * (2.0 * self.rng.f64() - 1.0);
        let more = if arm == Arm::Candidate { self.effect } else { 0.0 };
        let chance = self.in_time + own + more;
        for _ in 0..self.rng.u32(1..=7) {
            let x = self.rng.f64();
            let came = if x < chance {
                Outcome::InTime
            } else if x < chance + 0.7 * (1.0 - chance) {
                Outcome::Late
            } else {
                Outcome::Refused
            };
            r.count(arm, bucket, "talk", false, came, spec.late_worth);
        }
    }
}

/// Runs a trial to its verdict, looking after every `step` conversations; gives the verdict and how many
/// conversations it took.
pub fn play(spec: &TrialSpec, seed: u64, effect: f64, step: u64) -> (Verdict, u64) {
    let mut w = World::new(seed, effect, 0.15);
    let mut r = NodeReport::new(seed, "n", 1);
    let mut n = 0;
    loop {
        for _ in 0..step {
            w.converse(spec, &mut r);
        }
        n += step;
        let t = Totals { arms: r.arms.clone(), ..Totals::default() };
        let (v, _) = judge(spec, &t);
        if v != Verdict::Running {
            return (v, n);
        }
    }
}

/// Runs on several threads: verdicts with the conversations each took.
pub fn play_many(spec: &TrialSpec, runs: u64, effect: f64, step: u64) -> Vec<(Verdict, u64)> {
    let parts = 3;
    std::thread::scope(|s| {
        let work: Vec<_> = (0..parts)
            .map(|p| {
                s.spawn(move || {
                    let mine = (0..runs).filter(move |i| i % parts == p);
                    mine.map(|i| play(spec, 1000 + i, effect, step)).collect::<Vec<_>>()
                })
            })
            .collect();
        work.into_iter().flat_map(|w| w.join().unwrap()).collect()
    })
}

pub fn is_difference(v: &Verdict) -> bool {
    matches!(v, Verdict::CandidateBetter | Verdict::ControlBetter)
}
