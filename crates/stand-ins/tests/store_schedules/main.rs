//! Generated schedules over the stores, the set and the answers to opens, all pure: stores are killed,
//! wiped (as many at once as are tolerated), added, replaced, retired and taken away, one by one and in
//! bursts; all lose power; proxies work under old sets; transfers come in any order. No turn that was
//! acknowledged is ever called unknown, no open misses a reservation that was acknowledged, no order to
//! retire is forgotten, and what a retired machine held lies with a majority before it goes.
mod world;

use world::World;

const SHAPES: [(u64, u32); 9] =
    [(4, 1), (5, 1), (5, 2), (9, 1), (9, 2), (9, 3), (15, 1), (15, 2), (15, 3)];
const SCHEDULES: u64 = 60;

#[test]
fn nothing_acknowledged_is_lost_and_all_groups_answer_again() {
    let mut most = 0;
    for (n, tolerated) in SHAPES {
        for seed in 0..SCHEDULES {
            arbtest::arbtest(|u| {
                let zones = u.int_in_range(1..=5u64)?;
                let mut w = World::new(n, zones, tolerated);
                for _ in 0..u.int_in_range(20..=160)? {
                    w.step(u)?;
                }
                w.heal(u)?;
                most = most.max(w.rounds);
                Ok(())
            })
            .seed((seed * 31 + n * 7 + u64::from(tolerated)) << 32 | 8192);
        }
    }
    println!("all groups answered again within {most} rounds");
}
