//! How often the platform's list is read.
use control_cell::listing::ListInterval;
use control_cell::prelude::*;

/// Any schedule of lists: short pauses after a change, half of the bound at most, and order is no news.
#[test]
fn a_change_is_followed_closely_and_calm_is_read_seldom() {
    arbtest::arbtest(|u| {
        let drain = Duration::from_millis(u.int_in_range(2500..=9000)?);
        let (mut p, mut now) = (ListInterval::new(drain), Duration::ZERO);
        let mut last: Vec<EngineEntry> = Vec::new();
        for _ in 0..u.int_in_range(1..=30)? {
            let mut list = Vec::new();
            for id in 0..u.int_in_range(1..=3)? {
                list.push(EngineEntry {
                    id: format!("i-{id}"),
                    service: "s".into(),
                    addr: format!("10.0.0.{id}:80"),
                    zone: "a".into(),
                    slots: 4,
                    draining: u.ratio(1, 6)?,
                    cold_ms: 0,
                });
            }
            p.read("a", &list, now);
            assert!(last == list || p.pause(now) == Duration::from_millis(1100));
            assert!(p.pause(now) <= drain / 2);
            now += p.pause(now);
            last = list;
        }
        last.reverse();
        now += Duration::from_secs(7);
        p.read("a", &last, now);
        assert!(p.pause(now) >= drain.mul_f64(0.44).min(Duration::from_millis(2200)));
        Ok(())
    })
    .size_min(256);
}
