//! Cells that lost their majority, over loopback: they make no claim about what is in force.
mod common;

use common::*;
use control_cell::prelude::*;
use routing_trial::prelude::check_spec;

const SPEC: &str = "id = \"t\"\nname = \"t\"\n[control]\nname = \"a\"\n[candidate]\nname = \"b\"\n\
                    stayMs = 1\n[guardrail]\nprotectedPriority = 0\n";

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

/// The leader of three cells whose two others were just killed.
async fn cut_leader(place: &Place) -> (CellHandle, Process) {
    let (mut cells, mut stops) = place.three();
    let at = leader_at(&cells).await;
    let start = || TrialRequest::Start { spec: Box::new(check_spec(SPEC).unwrap()) };
    until("a start", async || {
        matches!(ask(&cells[at], start()).await, Some(CellReply::Outcome(Outcome::Taken)))
    })
    .await;
    let (cell, stop) = (cells.remove(at), stops.remove(at));
    drop(stops);
    (cell, stop)
}

#[test]
fn a_cut_leader_says_nothing_of_a_retirement() {
    let place = Place::new(11);
    run(async {
        let (cell, _stop) = cut_leader(&place).await;
        for query_only in [true, false] {
            let answer = cell.retire("storage-1".into(), query_only, deadline()).await;
            assert!(matches!(answer, CellReply::Unable), "{answer:?}");
        }
    });
}

#[test]
fn a_cut_leader_says_nothing_of_a_trial() {
    let place = Place::new(12);
    run(async {
        let (cell, _stop) = cut_leader(&place).await;
        let again = TrialRequest::Start { spec: Box::new(check_spec(SPEC).unwrap()) };
        for asked in [TrialRequest::Report, again] {
            let answer = ask(&cell, asked).await;
            assert!(matches!(answer, Some(CellReply::Unable)), "{answer:?}");
        }
    });
}

fn put(base: u64, version: u64) -> CellCall {
    let body = ByteBuf::from(vec![version as u8]);
    CellCall::Propose {
        change: Change::PutConfig { base, version, sha256: order_digest(&body), body },
    }
}

#[test]
fn an_order_is_not_proposed_once_its_caller_is_gone() {
    let place = Place::new(13);
    run(async {
        let (cells, _stops) = place.three();
        leader_at(&cells).await;
        for (i, cell) in cells.iter().enumerate() {
            let late = CellCall::Within { ms: 0, call: Box::new(put(0, 10 + i as u64)) };
            let answer = cell.answer(late).await;
            assert!(matches!(answer, Some(CellReply::Unable)), "{answer:?}");
        }
        // Had one of them been proposed, this would find another version in place.
        let answer = cells[0].answer(put(0, 1)).await;
        assert!(matches!(answer, Some(CellReply::Outcome(Outcome::Taken))), "{answer:?}");
    });
}

fn any() -> FollowFrom {
    FollowFrom {
        feed: 0,
        no: 0,
        request: FeedRequest { topics: Topics::All, patches: true, zone_changes: true },
        holdings: Holdings::default(),
    }
}

/// Opens a feed at a cell, kills the others, and waits for the feed to end.
async fn feed_ends_without_majority(place: &Place, at_leader: bool) {
    let (mut cells, mut processes) = place.three();
    // On a busy machine the lead may pass on between the question and the feed: then both again.
    let mut opened = None;
    let mut at = 0;
    until("a feed at a cell in its role", async || {
        let leader = leader_at(&cells).await;
        at = if at_leader { leader } else { (leader + 1) % 3 };
        opened = cells[at].follow(any()).await;
        opened.is_some() && leader_at(&cells).await == leader
    })
    .await;
    let (cell, _process) = (cells.remove(at), processes.remove(at));
    let mut opened = opened.unwrap();
    drop(processes);
    until("the end of the feed", async || opened.items.recv().await.is_none()).await;
    assert!(cell.follow(any()).await.is_none(), "opened without a majority");
}

#[test]
fn a_cut_leader_ends_its_feeds_and_opens_none() {
    let place = Place::new(14);
    run(feed_ends_without_majority(&place, true));
}

#[test]
fn a_cut_follower_ends_its_feeds_and_opens_none() {
    let place = Place::new(15);
    run(feed_ends_without_majority(&place, false));
}

/// The leader stands still just when a follower hands it an order: the caller is answered all the same,
/// without a claim, and the order sent again is acknowledged, whatever became of the first.
#[test]
fn an_order_handed_to_a_frozen_leader_ends_with_its_deadline() {
    let place = Place::new(16);
    run(async {
        let (cells, processes) = place.three();
        let leader = leader_at(&cells).await;
        let follower = &cells[(leader + 1) % 3];
        let CellCall::Propose { change } = put(0, 1) else { unreachable!() };
        let thaw = processes[leader].freeze().await;
        let second_of_silence = Instant::now() + Duration::from_secs(1);
        let deadline = Instant::now() + Duration::from_millis(300);
        let answer = follower.propose(change.clone(), deadline).await;
        assert!(matches!(answer, CellReply::Unable), "{answer:?}");
        assert!(Instant::now() < second_of_silence);
        drop(thaw);
        until("an acknowledgement", async || {
            let deadline = Instant::now() + Duration::from_secs(1);
            match follower.propose(change.clone(), deadline).await {
                CellReply::Outcome(Outcome::Taken | Outcome::TakenBefore) => true,
                CellReply::Unable => false,
                other => panic!("refused: {other:?}"),
            }
        })
        .await;
    });
}

fn store(i: u64) -> StoreStatus {
    StoreStatus {
        id: i,
        name: format!("storage-{i}"),
        addr: format!("storage-{i}:1"),
        zone: "a".into(),
        fresh: false,
        version: 1,
        caught_up: Some(VersionSpan { from: 1, to: 1 }),
        ending: false,
        loss_counted: true,
    }
}

/// A retirement that was acknowledged is known to every cell, also once the leader that said so is gone.
#[test]
fn an_acknowledged_retirement_outlives_its_leader() {
    let place = Place::new(17);
    run(async {
        let (mut cells, mut processes) = place.three();
        let at = leader_at(&cells).await;
        let deadline = || Instant::now() + Duration::from_secs(1);
        until("a set of stores, and an order taken", async || {
            (1..=5).for_each(|i| cells[at].announce(store(i)));
            let answer = cells[(at + 1) % 3].retire("storage-2".into(), false, deadline()).await;
            matches!(answer, CellReply::Retire(RetireState::Running))
        })
        .await;
        drop((cells.remove(at), processes.remove(at)));
        for cell in &cells {
            until("the retirement", async || {
                match cell.retire("storage-2".into(), true, deadline()).await {
                    CellReply::Retire(RetireState::Running) => true,
                    CellReply::Unable => false,
                    other => panic!("{other:?}"),
                }
            })
            .await;
        }
    });
}
