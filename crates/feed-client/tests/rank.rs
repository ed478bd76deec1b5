//! Which cell a follower links to.
use feed_client::prelude::*;

fn names(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("10.0.0.{i}:1")).collect()
}

/// So many seeds of which every second one is a listed cell too.
fn seeds(n: usize, listed: &[String]) -> Vec<String> {
    (0..n).map(|i| if i % 2 == 1 { listed[0].clone() } else { format!("10.0.1.{i}:1") }).collect()
}

/// Any schedule of cells listed, links ended and time passing: a follower with a cell in its zone comes
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
        // Home first, then the others, then seeds that aren't listed: each once in a round.
        let seeds = seeds(u.int_in_range(0..=3)?, &all);
        r.use_seeds(&seeds);
        let listed: BTreeSet<_> = all.iter().cloned().collect();
        let every: BTreeSet<_> = all.iter().chain(&seeds).cloned().collect();
        let unlisted = every.len() - listed.len();
        assert_eq!(
            r.next().is_some_and(|a| !listed.contains(a)),
            unlisted > 0,
            "new seeds go first"
        );
        for _ in 0..unlisted {
            r.ended(false);
        }
        for round in 0..2 {
            let mut tried: Vec<String> = Vec::new();
            for _ in 0..every.len() {
                tried.extend(r.next().cloned());
                r.ended(false);
            }
            assert_eq!(tried.iter().cloned().collect::<BTreeSet<_>>(), every, "round {round}");
            assert_eq!(tried[..all.len()].iter().cloned().collect::<BTreeSet<_>>(), listed);
            let homes = all.iter().filter(|a| home(a)).count();
            assert!(tried[..homes].iter().all(home));
        }
        for _ in 0..u.int_in_range(1..=60)? {
            now += Duration::from_millis(u.int_in_range(0..=4000)?);
            let at = r.next().cloned().unwrap();
            if r.goes_home(&at, now) {
                assert!(any_home && !home(&at));
                left.push(now);
                r.ended(true);
                assert!(r.next().is_some_and(home));
            } else if u.arbitrary()? {
                r.ended(u.arbitrary()?);
            }
            // An older list changes nothing.
            r.learn(3, &names(1), &[]);
        }
        assert!(left.windows(2).all(|w| w[1] - w[0] >= Duration::from_secs(5)));
        Ok(())
    })
    .size_min(512);
}

/// Three seeds and no cell that answers: before, the sixth turn always fell on the same one of the three.
#[test]
fn every_seed_is_tried_when_no_listed_cell_answers() {
    let listed = names(4);
    let mut r = CellRank::new("front-1", "a", &listed[..1]);
    r.learn(4, &listed, &[]);
    let seeds: Vec<String> = (0..3).map(|i| format!("10.0.9.{i}:1")).collect();
    r.use_seeds(&seeds);
    let mut tried = BTreeSet::new();
    for _ in 0..7 {
        tried.extend(r.next().cloned());
        r.ended(false);
    }
    assert!(seeds.iter().all(|s| tried.contains(s)), "{tried:?}");
}

/// New seeds don't draw a follower away from cells that answer.
#[test]
fn new_seeds_wait_while_cells_answer() {
    let listed = names(4);
    let mut r = CellRank::new("front-1", "a", &listed[..1]);
    r.learn(4, &listed, &[]);
    r.ended(true);
    r.use_seeds(&["10.0.9.1:1".into()]);
    assert!(r.next().is_some_and(|a| listed.contains(a)));
}
