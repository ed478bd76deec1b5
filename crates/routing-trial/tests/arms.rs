//! The arm of a conversation.
use routing_trial::prelude::*;

#[test]
fn an_arm_is_the_same_on_every_node_and_as_frequent_as_its_share() {
    for share in [0.1, 0.5, 0.9] {
        let n = 20_000;
        let mut candidates = 0;
        let mut groups = [0u32; BUCKETS];
        for i in 0..n {
            let program = format!("{i:06x}");
            let arm = arm_of(7, &program, share);
            assert_eq!(arm, arm_of(7, &program, share));
            if arm == Arm::Candidate {
                candidates += 1;
                groups[bucket_of(7, &program)] += 1;
            }
        }
        let got = f64::from(candidates) / f64::from(n);
        assert!((got - share).abs() < 0.015, "{share}: {got}");
        // Groups don't follow the arm: within an arm all are filled alike.
        let mean = f64::from(candidates) / BUCKETS as f64;
        assert!(
            groups.iter().all(|g| (f64::from(*g) - mean).abs() < 6.0 * mean.sqrt()),
            "{groups:?}"
        );
    }
}

#[test]
fn another_trial_draws_anew() {
    let same = (0..4000).filter(|i| {
        let p = format!("{i}");
        arm_of(1, &p, 0.5) == arm_of(2, &p, 0.5)
    });
    let n = same.count();
    assert!((1850..2150).contains(&n), "{n}");
}

#[test]
fn a_mark_comes_back_as_it_was_written() {
    for seed in 0..200u64 {
        arbtest::arbtest(|u| {
            let key: u64 = u.arbitrary()?;
            let arm = if u.arbitrary()? { Arm::Control } else { Arm::Candidate };
            let mark = Some(Mark { key, arm });
            let text = write_answered_by("i-7f3a", mark);
            assert_eq!(read_answered_by(&text), ("i-7f3a", mark));
            assert_eq!(read_answered_by(&write_answered_by("i-7f3a", None)), ("i-7f3a", None));
            // Anything at all may stand in a record: it is read without a fault.
            let any: String = u.arbitrary()?;
            let _ = read_answered_by(&any);
            let odd = format!("e\u{1f}{any}");
            assert_eq!(read_answered_by(&odd).0, "e");
            Ok(())
        })
        .seed(seed << 32 | 256);
    }
}
