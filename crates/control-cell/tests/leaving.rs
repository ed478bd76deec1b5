//! Cells that end in order, over loopback: a planned step leaves no voter behind that is gone.
mod common;

use common::*;
use control_cell::prelude::*;

async fn status(cell: &CellHandle) -> CellStatus {
    match cell.answer(CellCall::Status).await {
        Some(CellReply::Status(status)) => *status,
        other => panic!("{other:?}"),
    }
}

/// The leader, and then a follower, is told to stop where another cell can vote in its place. Once it has
/// ended, it has no vote, and somebody else leads.
#[test]
fn a_cell_that_ends_has_no_vote_left() {
    for (test, leads) in [(18, true), (19, false)] {
        let place = Place::new(test);
        run(async {
            let (cells, _processes): (Vec<_>, Vec<_>) = (1..=4).map(|i| place.cell(i)).unzip();
            let leader = leader_at(&cells).await;
            until("four named members", async || {
                let status = status(&cells[leader]).await;
                status.members.iter().filter(|m| m.starts_with("core-")).count() == 4
            })
            .await;
            let voters = status(&cells[leader]).await.voters;
            let votes = |i: &usize| voters.contains(&format!("core-{}", i + 1));
            let ends = match leads {
                true => leader,
                false => (0..4).filter(votes).find(|i| *i != leader).unwrap(),
            };
            cells[ends].leave().await;
            let name = format!("core-{}", ends + 1);
            let others: Vec<&CellHandle> =
                (0..4).filter(|i| *i != ends).map(|i| &cells[i]).collect();
            let mut agreed = 0;
            for cell in others {
                let status = status(cell).await;
                assert_ne!(status.leader.as_ref(), Some(&name));
                agreed += usize::from(!status.voters.contains(&name));
            }
            assert!(agreed >= 2, "a majority knows it without {name}: {agreed}");
        });
    }
}

/// A cell that can't read who it was doesn't go on as somebody else with the log of its disk.
#[test]
fn a_cell_that_cannot_read_its_identity_does_not_start() {
    let place = Place::new(20);
    let settings = place.settings(1);
    let dir = settings.data_dir.clone().unwrap();
    std::fs::create_dir_all(&dir).unwrap();
    save_snapshot(&dir, "identity", &encode(&"of another version")).unwrap();
    run(async {
        let started = control_cell::actor::start(&Arc::new(settings));
        assert!(matches!(started, Err(NodeError::Damaged { .. })));
    });
}
