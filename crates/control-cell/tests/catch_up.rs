//! A member that was away for hundreds of changes serves the newest in time, behind a slow link: real
//! consensus nodes and states, a modelled link and disk, all in virtual time.
mod slow_link;

use control_cell::prelude::*;
use slow_link::*;

/// A member counts as lost for this long after its return.
const CATCH_UP: Duration = Duration::from_secs(6);
const BYTES_PER_S: f64 = 1_500_000.0;
/// After the last change the member comes back at any moment of this time: longer than the longest
/// wait of a leader before it sends again what wasn't answered.
const RETURNS: Duration = Duration::from_secs(8);

fn three_hundred_changes() -> Absence {
    Absence {
        changes: 300,
        small: 8_000,
        large: 1_500_000,
        returns_after: Duration::ZERO,
        bytes_per_s: BYTES_PER_S,
        latency: Duration::from_millis(2),
        leader_lost: false,
        snapshot_every: 256,
        seed: 1,
    }
}

#[test]
fn a_member_that_was_away_for_300_changes_serves_the_newest_in_time_whenever_it_returns() {
    const STEP: Duration = Duration::from_millis(130);
    let mut worst = Duration::ZERO;
    for step in 0..RETURNS.div_duration_f64(STEP) as u32 {
        for snapshot_every in [32, 256] {
            let returns_after = STEP * step;
            let absence = Absence { returns_after, snapshot_every, ..three_hundred_changes() };
            let took = World::play(&absence);
            assert!(took.is_some_and(|t| t < CATCH_UP), "{took:?} instead of 6 s: {absence:?}");
            assert!(took >= Some(least(&absence)), "{took:?} is less than its bytes take");
            worst = worst.max(took.unwrap_or(CATCH_UP));
        }
    }
    println!("the slowest of all moments of return took {worst:?}");
}

/// What has to pass the link at least, with a part for frames and what is sent in vain, and a fixed time
/// for elections, contact and the disk.
fn allowed(absence: &Absence) -> Duration {
    const WASTE: f64 = 1.5;
    const FIXED: Duration = Duration::from_secs(2);
    let bytes = absence.changes as usize * absence.small + absence.large;
    FIXED + Duration::from_secs_f64(bytes as f64 * WASTE / absence.bytes_per_s)
}

/// The newest passed the link whole: nothing was served that wasn't carried.
fn least(absence: &Absence) -> Duration {
    Duration::from_secs_f64(absence.large as f64 / absence.bytes_per_s)
}

fn generated(seed: u64) -> Absence {
    let mut draw = fastrand::Rng::with_seed(seed);
    Absence {
        changes: draw.u64(1..=300),
        small: draw.usize(100..=16_000),
        large: draw.usize(100..=4_000_000),
        returns_after: Duration::from_millis(draw.u64(0..=8_000)),
        bytes_per_s: draw.u64(1_000_000..=20_000_000) as f64,
        latency: Duration::from_millis(draw.u64(0..=20)),
        leader_lost: draw.bool(),
        snapshot_every: draw.u64(8..=256),
        seed,
    }
}

#[test]
fn any_absence_ends_in_the_time_that_its_bytes_take() {
    const PLAYS: u64 = 150;
    for absence in (1..=PLAYS).map(generated) {
        let took = World::play(&absence);
        let most = allowed(&absence);
        assert!(took.is_some_and(|t| t < most), "{took:?} instead of {most:?}: {absence:?}");
        assert!(took >= Some(least(&absence)), "{took:?} is less than its bytes take");
    }
}
