use crate::prelude::*;

fn names(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("10.0.0.{i}:1")).collect()
}

/// Any schedule of cells told, links ended and time passing: a follower with a cell in its zone comes
/// to it, doesn't leave it by itself, and away from home tries it at most once a pause.
#[test]
fn a_follower_comes_home_and_does_not_flap() {
    arbtest::arbtest(|u| {
        let all = names(u.int_in_range(1..=9)?);
        let mut zones = Vec::new();
        for _ in &all {
            zones.push(u.choose(&["a", "b", "c", ""])?.to_string());
        }
        let mut r = CellRank::new("front-1", "a", &all[..1]);
        assert_eq!(r.next(), all.first());
        r.learn(4, &all, &zones);
        let home = |a: &String| all.iter().position(|x| x == a).is_some_and(|i| zones[i] == "a");
        let any_home = zones.iter().any(|z| z == "a");
        assert_eq!(r.next().is_some_and(home), any_home);
        let mut now = Duration::ZERO;
        let mut left = Vec::new();
        // Home first, then the others, the seeds each sixth time.
        let mut tried: Vec<String> = Vec::new();
        for _ in 0..6 {
            tried.extend(r.next().cloned());
            r.ended();
        }
        assert_eq!(tried.last(), all.first());
        let others: BTreeSet<_> = tried[..5].iter().collect();
        assert_eq!(others.len(), all.len().min(5));
        for _ in 0..u.int_in_range(1..=60)? {
            now += Duration::from_millis(u.int_in_range(0..=4000)?);
            let at = r.next().cloned().unwrap();
            if r.goes_home(&at, now) {
                assert!(any_home && !home(&at));
                left.push(now);
                r.ended();
                assert!(r.next().is_some_and(home));
            } else if u.arbitrary()? {
                r.ended();
            }
            // An older list changes nothing.
            r.learn(3, &names(1), &[]);
        }
        assert!(left.windows(2).all(|w| w[1] - w[0] >= Duration::from_secs(5)));
        Ok(())
    })
    .size_min(512);
}
