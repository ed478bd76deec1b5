use super::ListPace;
use crate::prelude::*;

fn entry(id: u32, draining: bool) -> EngineEntry {
    EngineEntry {
        id: format!("i-{id}"),
        service: "s".into(),
        addr: format!("10.0.0.{id}:80"),
        area: "a".into(),
        slots: 4,
        draining,
        cold_ms: 0,
    }
}

/// Any schedule of lists: the pause never exceeds half of the bound, and after a change it is short.
#[test]
fn a_change_is_followed_closely_and_calm_is_read_seldom() {
    arbtest::arbtest(|u| {
        let drain = Duration::from_millis(u.int_in_range(2500..=9000)?);
        let mut p = ListPace::new(drain);
        let mut now = Duration::ZERO;
        let mut last: Option<Vec<EngineEntry>> = None;
        for _ in 0..u.int_in_range(1..=30)? {
            let mut list: Vec<EngineEntry> = Vec::new();
            for id in 0..u.int_in_range(1..=3)? {
                list.push(entry(id, u.ratio(1, 6)?));
            }
            p.read("a", &list, now);
            if last.as_ref() != Some(&list) {
                assert_eq!(p.pause(now), Duration::from_millis(1100));
            }
            assert!(p.pause(now) <= drain / 2);
            last = Some(list);
            now += p.pause(now);
        }
        let list = last.unwrap();
        let mut back = list.clone();
        back.reverse();
        now += Duration::from_secs(7);
        p.read("a", &back, now);
        assert!(
            p.pause(now)
                >= Duration::from_millis(1100)
                    .max(drain.mul_f64(0.44).min(Duration::from_millis(2200)))
        );
        Ok(())
    })
    .size_min(256);
}
