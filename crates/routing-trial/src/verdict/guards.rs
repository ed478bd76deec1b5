//! Guardrails, looked at before anything else.
use crate::prelude::*;
use statrs::function::beta::{beta_reg, ln_beta};

pub(super) fn find_breach(spec: &TrialSpec, t: &Totals) -> Option<Breach> {
    if t.doubles > 0 {
        return Some(Breach::Doubles { count: t.doubles });
    }
    for a in &t.arms {
        if let Some((route, c)) = a.routes.iter().find(|(_, c)| c.protected && c.holes > 0) {
            return Some(Breach::Holes { route: route.clone(), count: c.holes });
        }
    }
    if t.inversions > spec.guard.inversions {
        return Some(Breach::Inversions { count: t.inversions });
    }
    for (name, c) in &t.arms[1].routes {
        if c.protected && c.broken > 0 && spec.guard.broken_limit(name) == BrokenLimit::Zero {
            let o = t.arms[0].routes.get(name).copied().unwrap_or_default();
            let counts = [(o.broken, o.answered()), (c.broken, c.answered())];
            return Some(Breach::Broken { route: Some(name.clone()), counts, evidence: 0.0 });
        }
    }
    let compared = |name: &str, c: &RouteCounts| {
        c.protected && spec.guard.broken_limit(name) == BrokenLimit::AsControl
    };
    let counts = [0, 1].map(|i| {
        let routes = t.arms[i].routes.iter().filter(|(name, c)| compared(name, c));
        routes.fold((0, 0), |(b, n), (_, c)| (b + c.broken, n + c.answered()))
    });
    let [(b0, n0), (b1, n1)] = counts;
    let evidence = excess_evidence(b0, n0, b1, n1);
    let over = evidence >= 1.0 / spec.guard.alpha;
    over.then_some(Breach::Broken { route: None, counts, evidence })
}

/// Evidence that the candidate breaks more streams than the control: a mixture likelihood ratio over
/// all shares above the candidate's share of the answers. Under no excess it passes 1/alpha at any
/// look with a chance of at most alpha (Ville's inequality).
pub fn excess_evidence(broken0: u64, all0: u64, broken1: u64, all1: u64) -> f64 {
    if all0 == 0 || all1 == 0 || broken1 == 0 {
        return 0.0;
    }
    let share = all1 as f64 / (all0 + all1) as f64;
    let (k1, k0) = (broken1 as f64, broken0 as f64);
    // The uniform mixture over (share, 1) of p^k1 (1-p)^k0, against p = share.
    let above = beta_reg(k0 + 1.0, k1 + 1.0, 1.0 - share);
    if above <= 0.0 {
        return 0.0;
    }
    let log = ln_beta(k1 + 1.0, k0 + 1.0) + above.ln()
        - (1.0 - share).ln()
        - k1 * share.ln()
        - k0 * (1.0 - share).ln();
    log.min(700.0).exp()
}
