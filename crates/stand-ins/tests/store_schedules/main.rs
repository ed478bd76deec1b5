//! Schedules over the stores, the set and the answers to opens, all pure and over virtual time: stores are
//! down, cut off, frozen, wiped and gone for good, as many at once as are tolerated, and the next as soon as
//! one more may be; they are added, retired, rolled and replaced by plan, one by one and in bursts; leaders
//! change, all lose power; reports, sets and transfers take time. At no moment may the synced copies that
//! are left, less the losses that may still come, be under one, for any turn, claim or settlement that was
//! acknowledged. No acknowledged turn is ever called unknown, no open misses a reservation, no order to
//! retire is forgotten, and what a retired machine held lies with a majority before it goes.
mod clock;
mod closing;
mod copies;
mod healing;
mod leader;
mod losses;
mod opening;
mod planned;
mod plays;
mod prelude;
mod schedule;
mod store;
mod transfer;
mod troubles;
mod world;

use prelude::*;

/// `catchUpS` of the deployments that are known.
const CATCH_UP: [u64; 3] = [4100, 4200, 6000];

/// Plays schedules over some numbers of stores, each with a count of seeds.
fn play(tolerated: u32, shapes: &[(u64, u64)]) {
    for (n, schedules) in shapes {
        for seed in 0..*schedules {
            arbtest::arbtest(|u| {
                let zones = u.int_in_range(1..=5u64)?;
                let catch_up = ms(*u.choose(&CATCH_UP)?);
                let mut w = World::new(*n, zones, tolerated, catch_up, u.arbitrary()?);
                for _ in 0..u.int_in_range(5..=30)? {
                    w.happens_next(u, *n as usize)?;
                    w.pause(u)?;
                }
                w.closing_fault(u)?;
                w.heals();
                Ok(())
            })
            .seed((seed * 31 + n * 7 + u64::from(tolerated)) << 32 | 8192);
        }
    }
}

#[test]
fn nothing_acknowledged_is_lost_where_one_loss_is_tolerated() {
    play(1, &[(4, 60), (5, 40), (9, 6), (36, 1)]);
}

#[test]
fn nothing_acknowledged_is_lost_where_two_are() {
    play(2, &[(5, 40), (7, 16), (9, 5), (15, 1)]);
}

#[test]
fn nothing_acknowledged_is_lost_where_three_are() {
    play(3, &[(9, 12), (10, 10), (15, 2)]);
}

/// Absences overlap beyond what is tolerated, for longer than the leader waits, right after planned steps; no
/// more disks are lost than is tolerated. Service returns by itself, with all that was acknowledged.
#[test]
fn nothing_acknowledged_is_lost_where_absences_overlap_beyond_tolerance() {
    for (n, tolerated, schedules) in [(3, 1, 60), (4, 1, 120), (6, 1, 30), (5, 2, 60), (9, 2, 8)] {
        for seed in 0..schedules {
            arbtest::arbtest(|u| {
                let zones = u.int_in_range(1..=4u64)?;
                let catch_up = ms(*u.choose(&CATCH_UP)?);
                let mut w = World::new(n, zones, tolerated, catch_up, u.arbitrary()?);
                for _ in 0..u.int_in_range(2..=6)? {
                    w.planned_then_overlap(u, n as usize)?;
                }
                w.heals();
                Ok(())
            })
            .seed((seed * 37 + n * 11 + u64::from(tolerated)) << 32 | 8192);
        }
    }
}
