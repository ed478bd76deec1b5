//! What the agent keeps and tells, both ways.
use feed_agent::prelude::*;
use routing_trial::prelude::{check_spec, Evidence, NodeReport, TrialRecord, Verdict};

fn keeper() -> (Keeper, watch::Receiver<Option<Vec<NodeReport>>>) {
    let (tx, rx) = watch::channel(None);
    (Keeper::new(tx), rx)
}

#[test]
fn a_proxy_is_told_current_only_after_a_cell_said_so() {
    let mut k = keeper().0;
    let mut early = k.open();
    let first = early.try_recv().unwrap();
    assert!(!first.iter().any(|n| n.item == FeedItem::Current));
    let cfg = FeedItem::Config { index: 1, version: 3, body: ByteBuf::new() };
    k.take(vec![cfg.clone(), FeedItem::Current, cfg.clone()]);
    assert_eq!(early.try_recv().unwrap()[0].item, cfg);
    assert_eq!(early.try_recv().unwrap()[0].item, FeedItem::Current);
    assert!(early.try_recv().is_err(), "nothing is told twice");
    let late = k.open().try_recv().unwrap();
    assert_eq!(late.last().unwrap().item, FeedItem::Current);
    assert!(late.iter().any(|n| n.item == cfg));
}

fn trial() -> TrialRecord {
    let text = "id = \"t\"\nname = \"t\"\n[control]\nname = \"a\"\n[candidate]\nname = \"b\"\nstayMs = 1\n\
                [guardrail]\nprotectedPriority = 0\n";
    TrialRecord::begin(check_spec(text).unwrap(), 5)
}

fn report(key: u64, incarnation: u64, seq: u64) -> NodeReport {
    NodeReport { seq, ..NodeReport::new(key, "n", incarnation) }
}

#[test]
fn outcomes_are_told_only_while_their_trial_runs_the_newest_of_each_life() {
    let (mut k, word) = keeper();
    let t = trial();
    let key = t.key();
    k.count(report(key, 1, 1));
    assert!(word.borrow().is_none(), "no trial runs");
    k.take(vec![FeedItem::Trial { index: 4, trial: Box::new(t.clone()) }]);
    k.count(report(key, 1, 3));
    k.count(report(key, 1, 2));
    k.count(report(key, 2, 1));
    k.count(report(key + 1, 3, 1));
    let status = word.borrow().clone().unwrap();
    let lives: Vec<(u64, u64)> = status.iter().map(|r| (r.incarnation, r.seq)).collect();
    assert_eq!(lives, [(1, 3), (2, 1)]);
    for life in 4..20 {
        k.count(report(key, life, 1));
    }
    assert_eq!(word.borrow().as_ref().unwrap().len(), 4);
    let done = t.ended(Verdict::Stopped { at_once: false }, 9, Evidence::default());
    k.take(vec![FeedItem::Trial { index: 7, trial: Box::new(done) }]);
    assert!(word.borrow().is_none());
    k.count(report(key, 20, 1));
    assert!(word.borrow().is_none());
}
