//! Outcomes merged over generated schedules: reports lost, repeated, late; nodes restarted; the leader
//! changed. What is merged at the end equals what happened.
mod support;

use routing_trial::prelude::*;

const KEY: u64 = 9;

/// A proxy: what it counted in this life, and the last report of it that its agent keeps.
struct Node {
    name: String,
    report: NodeReport,
    life: u64,
}

#[derive(Default)]
struct Truth {
    turns: u64,
    worth: u64,
    firsts: u64,
}

fn count(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    n: &mut Node,
    t: &mut Truth,
) -> arbtest::arbitrary::Result<()> {
    let program = format!("p{}", u.int_in_range(0..=500u32)?);
    let (arm, bucket) = (arm_of(KEY, &program, 0.5), bucket_of(KEY, &program));
    if u.arbitrary()? {
        n.report.began(arm, bucket);
        t.firsts += 1;
    }
    let came = match u.int_in_range(0..=3u8)? {
        0 => Outcome::InTime,
        1 => Outcome::Late,
        2 => Outcome::Refused,
        _ => Outcome::Broken,
    };
    n.report.count(arm, bucket, "r", false, came, 0.3);
    t.turns += 1;
    t.worth += match came {
        Outcome::InTime => 1000,
        Outcome::Late => 300,
        _ => 0,
    };
    Ok(())
}

#[test]
fn merged_counts_equal_the_truth_over_generated_schedules() {
    for seed in 0..400u64 {
        arbtest::arbtest(|u| {
            let mut truth = Truth::default();
            let mut nodes: Vec<Node> = (0..u.int_in_range(1..=4usize)?)
                .map(|i| {
                    let name = format!("n{i}");
                    Node { report: NodeReport::new(KEY, &name, 1), name, life: 1 }
                })
                .collect();
            // Each node follows one cell; the leader is one of them.
            let mut cells: Vec<OutcomeLedger> = (0..3).map(|_| OutcomeLedger::new(KEY)).collect();
            let mut leader = 0usize;
            let mut under_way: Vec<(usize, NodeReport)> = Vec::new();
            for _ in 0..u.int_in_range(5..=60u32)? {
                let i = u.int_in_range(0..=nodes.len() - 1)?;
                match u.int_in_range(0..=9u8)? {
                    0..=3 => count(u, &mut nodes[i], &mut truth)?,
                    4 | 5 => {
                        nodes[i].report.seq += 1;
                        under_way.push((i % 3, nodes[i].report.clone()));
                    }
                    6 | 7 if !under_way.is_empty() => {
                        // Delivered, in any order, and perhaps again later.
                        let at = u.int_in_range(0..=under_way.len() - 1)?;
                        let (cell, r) = under_way[at].clone();
                        if u.arbitrary()? {
                            under_way.swap_remove(at);
                        }
                        cells[cell].take(r.clone());
                        cells[leader].take(r);
                    }
                    8 => {
                        // In order: the last report of this life is handed over before the next begins.
                        let n = &mut nodes[i];
                        n.report.seq += 1;
                        under_way.push((i % 3, n.report.clone()));
                        cells[i % 3].take(n.report.clone());
                        n.life += 1;
                        n.report = NodeReport::new(KEY, &n.name, n.life);
                    }
                    _ => {
                        // Another leader is told what each cell keeps.
                        leader = u.int_in_range(0..=2usize)?;
                        let all: Vec<NodeReport> =
                            cells.iter().flat_map(|c| c.reports().cloned()).collect();
                        for r in all {
                            cells[leader].take(r);
                        }
                    }
                }
                assert!(
                    cells[leader].totals().arms.iter().map(ArmSums::turns).sum::<u64>()
                        <= truth.turns
                );
            }
            // All is told in the end, and what is still under way comes late.
            for (i, n) in nodes.iter_mut().enumerate() {
                n.report.seq += 1;
                cells[i % 3].take(n.report.clone());
            }
            let kept: Vec<NodeReport> = cells.iter().flat_map(|c| c.reports().cloned()).collect();
            for r in kept.into_iter().chain(under_way.into_iter().map(|x| x.1)) {
                cells[leader].take(r);
            }
            let t = cells[leader].totals();
            let sum = |f: fn(&Bucket) -> u64| -> u64 {
                t.arms.iter().flat_map(|a| &a.buckets).map(f).sum()
            };
            assert_eq!(sum(|b| b.turns), truth.turns);
            assert_eq!(sum(|b| b.worth), truth.worth);
            assert_eq!(sum(|b| b.firsts), truth.firsts);
            assert_eq!((t.nodes, t.left_out), (nodes.len(), 0));
            Ok(())
        })
        .seed(seed << 32 | 4096);
    }
}

#[test]
fn reports_of_another_trial_or_out_of_shape_are_left_out() {
    let mut l = OutcomeLedger::new(KEY);
    assert!(!l.take(NodeReport::new(KEY + 1, "a", 1)));
    let mut odd = NodeReport::new(KEY, "a", 1);
    odd.arms[0].buckets = vec![Bucket::default(); BUCKETS + 1];
    assert!(!l.take(odd));
    let mut r = NodeReport::new(KEY, "a", 1);
    r.seq = 2;
    r.doubles = 1;
    assert!(l.take(r.clone()) && !l.take(r.clone()));
    r.seq = 1;
    assert!(!l.take(r));
    assert_eq!(l.totals().doubles, 1);
}

#[test]
fn a_report_stays_small_however_many_routes_there_are() {
    let mut r = NodeReport::new(KEY, "front-1", 1);
    for i in 0..500 {
        for arm in Arm::BOTH {
            r.count(arm, i % BUCKETS, &format!("route-{i:04}"), i < 100, Outcome::InTime, 0.3);
        }
    }
    assert!(r.arms.iter().all(|a| a.routes.len() <= 2 * MOST_ROUTES + 1));
    assert_eq!(r.arms[0].routes.values().map(|c| c.in_time).sum::<u64>(), 500);
    let mut bytes = Vec::new();
    ciborium::into_writer(&r, &mut bytes).unwrap();
    assert!(bytes.len() < 16_000, "{}", bytes.len());
}
