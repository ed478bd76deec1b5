//! The always-valid confidence sequence of the difference in worth a turn.
//!
//! Turns of a conversation are alike, so they aren't counted as if each were by itself: the spread is
//! taken between groups of whole conversations (random groups). The bound is the normal mixture's
//! (Robbins; Howard, Ramdas, McAuliffe and Sekhon, 2021; in its asymptotic form Waudby-Smith, Arbour,
//! Sinha, Kennedy and Ramdas, 2021): it holds at all looks together. Since the spread itself is
//! estimated from few groups, quantiles are Student's of Welch's degrees of freedom.
use crate::prelude::*;
use statrs::distribution::{ContinuousCDF, Normal, StudentsT};

/// Candidate less control, in worth a turn. Invariant: `low` <= `diff` <= `high`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// By `Arm::index`.
    pub mean: [f64; 2],
    pub diff: f64,
    pub low: f64,
    pub high: f64,
    pub std_error: f64,
    /// Always-valid p-value of this look.
    pub p: f64,
}

/// Groups with turns that an arm must have.
const LEAST_GROUPS: usize = 16;

/// Mean worth a turn, the variance of that mean, and its degrees of freedom.
fn mean_of(a: &ArmSums) -> Option<(f64, f64, f64)> {
    let used: Vec<&Bucket> = a.buckets.iter().filter(|b| b.turns > 0).collect();
    if used.len() < LEAST_GROUPS {
        return None;
    }
    let groups = used.len() as f64;
    let turns: f64 = used.iter().map(|b| b.turns as f64).sum();
    let worth: f64 = used.iter().map(|b| b.worth as f64 / 1000.0).sum();
    let mean = worth / turns;
    let spread: f64 =
        used.iter().map(|b| (b.worth as f64 / 1000.0 - mean * b.turns as f64).powi(2)).sum();
    let var = groups / (groups - 1.0) * spread / (turns * turns);
    // All turns alike prove no certainty: at least the spread of one more of each kind.
    let like = (worth + 1.0) / (turns + 2.0);
    Some((mean, var.max(like * (1.0 - like) / (turns + 2.0)), groups - 1.0))
}

/// The mixture's weight: narrowest at the information at which a difference of `min_effect` shows.
fn weight(alpha: f64, min_effect: f64) -> f64 {
    let wanted = (3.5 / min_effect).powi(2);
    let l = -2.0 * alpha.ln();
    wanted / (l + l.ln().max(0.0) + 1.0)
}

/// None until both arms have enough groups.
pub fn compare_arms(arms: &[ArmSums; 2], alpha: f64, min_effect: f64) -> Option<Estimate> {
    let (m0, v0, f0) = mean_of(&arms[0])?;
    let (m1, v1, f1) = mean_of(&arms[1])?;
    let var = v0 + v1;
    let free = var * var / (v0 * v0 / f0 + v1 * v1 / f1);
    let student = StudentsT::new(0.0, 1.0, free).ok()?;
    let normal = Normal::new(0.0, 1.0).ok()?;
    let diff = m1 - m0;
    let std_error = var.sqrt();
    let info = 1.0 / var;
    let eta = weight(alpha, min_effect);
    let z = ((1.0 + eta / info) * ((info + eta) / (eta * alpha * alpha)).ln()).sqrt();
    let t = -student.inverse_cdf(normal.cdf(-z));
    let radius = t * std_error;
    // The same evidence as a normal statistic.
    let tail = student.cdf(-(diff / std_error).abs()).max(1e-300);
    let z_seen = normal.inverse_cdf(tail).abs();
    let p = ((info + eta) / eta).sqrt() * (-0.5 * z_seen * z_seen * info / (info + eta)).exp();
    Some(Estimate {
        mean: [m0, m1],
        diff,
        low: diff - radius,
        high: diff + radius,
        std_error,
        p: p.min(1.0),
    })
}
