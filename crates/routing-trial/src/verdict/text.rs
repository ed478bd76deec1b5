//! A verdict in plain words.
use crate::prelude::*;

fn per_100(x: f64) -> String {
    format!("{:+.2}", x * 100.0)
}

/// Several lines for people who are no statisticians; docs/operators/trial.md explains each.
pub fn say(spec: &TrialSpec, v: &Verdict, e: &Evidence) -> String {
    let mut out = Vec::new();
    out.push(format!("trial {} ({})", spec.id, spec.name));
    out.push(format!("  control: {}    candidate: {}", spec.control, spec.candidate.name));
    out.push(match v {
        Verdict::Running => "verdict: none yet, the trial runs".into(),
        Verdict::CandidateBetter => {
            format!("verdict: the candidate '{}' is better", spec.candidate.name)
        }
        Verdict::ControlBetter => format!("verdict: the control '{}' is better", spec.control),
        Verdict::NoDifference { by_horizon: false } => {
            "verdict: no difference that matters".to_string()
        }
        Verdict::NoDifference { by_horizon: true } => {
            "verdict: no difference was found by the horizon".into()
        }
        Verdict::Stopped { at_once } => format!(
            "verdict: none, an operator ended the trial{}",
            if *at_once { " at once" } else { "" }
        ),
        Verdict::Guardrail(b) => format!("verdict: stopped by a guardrail: {}", breach(b)),
    });
    out.push(format!(
        "  conversations: {} control, {} candidate; turns: {} and {}; nodes: {}",
        e.conversations[0], e.conversations[1], e.turns[0], e.turns[1], e.nodes
    ));
    match &e.estimate {
        Some(s) => {
            out.push(format!(
                "  worth of 100 turns: control {:.2}, candidate {:.2}, difference {}",
                s.mean[0] * 100.0,
                s.mean[1] * 100.0,
                per_100(s.diff)
            ));
            out.push(format!(
                "  the true difference lies between {} and {} (wrong in at most {} of 100 trials, \
                 however often one looks)",
                per_100(s.low),
                per_100(s.high),
                spec.alpha * 100.0
            ));
        }
        None => {
            out.push(format!("  not compared yet: each side needs {} conversations", spec.least))
        }
    }
    for (name, c) in &e.routes[1] {
        let o = e.routes[0].get(name).copied().unwrap_or_default();
        out.push(format!(
            "  route {}{}: in time {}/{}, late {}/{}, refused {}/{}, broken off {}/{}, lacking events {}/{} \
             (control/candidate)",
            if name.is_empty() { "(others)" } else { name },
            if c.protected { " [protected]" } else { "" },
            o.in_time, c.in_time, o.late, c.late, o.refused, c.refused, o.broken, c.broken, o.holes, c.holes
        ));
    }
    out.push(format!("  urgent behind less urgent: {}; sent twice: {}", e.inversions, e.doubles));
    if e.left_out > 0 {
        out.push(format!("  partial: {} reports were left out, too many restarts", e.left_out));
    }
    out.join("\n")
}

fn breach(b: &Breach) -> String {
    match b {
        Breach::Holes { route, count } => {
            format!("{count} answers on the protected route '{route}' lacked events")
        }
        Breach::Broken { route, counts: [(b0, n0), (b1, n1)], .. } => format!(
            "streams on {} broke off: {b0} of {n0} on the control, {b1} of {n1} on the candidate",
            match route {
                Some(r) => format!("the protected route '{r}'"),
                None => "protected routes".into(),
            }
        ),
        Breach::Inversions { count } => {
            format!("{count} urgent requests waited behind less urgent ones")
        }
        Breach::Doubles { count } => {
            format!("{count} requests that can't be repeated were sent twice")
        }
    }
}
