//! What the agent keeps and tells, both ways.
use feed_agent::{owner, prelude::*};
use routing_trial::prelude::{check_spec, Evidence, NodeReport, TrialRecord, Verdict};

fn feed_owner() -> (FeedOwner, watch::Receiver<Option<Vec<NodeReport>>>) {
    let (tx, rx) = watch::channel(None);
    (FeedOwner::new(tx), rx)
}

#[test]
fn a_proxy_is_told_current_only_after_a_cell_said_so() {
    let mut k = feed_owner().0;
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
    let (mut k, word) = feed_owner();
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

/// The proxy that ends beside the agent is fed to its end; the one that is started in its place doesn't
/// hold the agent, and is fed meanwhile.
#[tokio::test(start_paused = true)]
async fn a_leaving_agent_stays_for_the_proxies_that_leave_with_it() {
    let (updates, from_cells) = mpsc::channel(8);
    let (open, opens) = mpsc::channel(8);
    let (_counted, reports) = mpsc::channel(8);
    let (leave, leaving) = watch::channel(false);
    let kept = tokio::spawn(owner::run_owner(feed_owner().0, from_cells, opens, reports, leaving));
    let ask = async || {
        let (reply, fed) = oneshot::channel();
        open.send(reply).await.unwrap();
        fed.await.unwrap().0
    };
    let old = ask().await;
    leave.send(true).unwrap();
    // Virtual time: it passes once the agent has taken note.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut new = ask().await;
    assert!(new.recv().await.is_some(), "its snapshot");
    updates.send(FeedUpdate::Items(vec![FeedItem::Current])).await.unwrap();
    assert_eq!(new.recv().await.unwrap()[0].item, FeedItem::Current);
    assert!(!kept.is_finished(), "the old proxy is still there");
    drop(old);
    let ended = tokio::time::timeout(Duration::from_secs(1), kept).await;
    assert!(ended.is_ok(), "held by a proxy that came later");
}
