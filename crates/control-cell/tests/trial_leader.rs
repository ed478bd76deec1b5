//! A trial over three cells whose leader changes while outcomes come in.
mod common;

use common::*;
use control_cell::prelude::*;
use routing_trial::prelude::{check_spec, Arm, Breach, Outcome as Came};

async fn status(c: &CellHandle) -> Option<Box<TrialReport>> {
    match ask(c, TrialRequest::Report).await {
        Some(CellReply::Trial(t)) => t,
        _ => None,
    }
}

fn report(key: u64, node: usize, seq: u64, turns: usize) -> NodeReport {
    let mut r = NodeReport::new(key, &format!("front-{node}"), 1);
    r.seq = seq;
    for i in 0..turns {
        r.count(Arm::BOTH[i % 2], i, "talk", false, Came::InTime, 0.3);
    }
    r
}

async fn applied(c: &CellHandle) -> u64 {
    match c.answer(CellCall::Status).await {
        Some(CellReply::Status(t)) => t.applied,
        _ => 0,
    }
}

#[test]
fn what_nodes_counted_outlives_a_change_of_leader() {
    let place = Place::new(10);
    let (cells, stops) = place.three();
    run(play(cells, stops));
}

async fn play(mut cells: Vec<CellHandle>, mut stops: Vec<Process>) {
    let text = "id = \"t\"\nname = \"t\"\n[control]\nname = \"a\"\n[candidate]\nname = \"b\"\nstayMs = 1\n\
                [guardrail]\nprotectedPriority = 0\n";
    let spec = Box::new(check_spec(text).unwrap());
    until("a start", async || {
        let start = TrialRequest::Start { spec: spec.clone() };
        matches!(ask(&cells[0], start).await, Some(CellReply::Outcome(Outcome::Taken)))
    })
    .await;
    let key = status(&cells[0]).await.unwrap().record.key();
    until("the names", async || leader(&cells[0]).await.is_some_and(|n| n.starts_with("core-")))
        .await;

    // A cell keeps outcomes of a trial only once it knows of its start.
    let mut started = 0;
    for c in &cells {
        started = started.max(applied(c).await);
    }
    for c in &cells {
        until("the start at each cell", async || applied(c).await >= started).await;
    }

    // Each cell has a node. All nodes are gone after this: only the cells can tell what they counted.
    let turns = async |c: &CellHandle| status(c).await.map_or([0, 0], |t| t.evidence.turns);
    for (i, c) in cells.iter().enumerate() {
        c.outcomes(vec![report(key, i, 2, 10 * (i + 1))]);
        c.outcomes(vec![report(key, i, 1, 1)]);
    }
    until("all outcomes", async || turns(&cells[0]).await == [30, 30]).await;

    let before = leader(&cells[0]).await.unwrap();
    let at = before.trim_start_matches("core-").parse::<usize>().unwrap() - 1;
    cells.remove(at);
    drop(stops.remove(at));
    until("another leader", async || leader(&cells[0]).await.is_some_and(|l| l != before)).await;
    until("all outcomes again", async || turns(&cells[1]).await == [30, 30]).await;

    // Told again by another cell, and later than a newer one: counted once.
    cells[0].outcomes(vec![report(key, 0, 2, 10), report(key, 1, 3, 22)]);
    cells[1].outcomes(vec![report(key, 1, 3, 22), report(key, 1, 2, 20)]);
    until("the newer one", async || turns(&cells[0]).await == [31, 31]).await;

    let breach = NodeReport { doubles: 1, ..report(key, 0, 9, 10) };
    cells[1].outcomes(vec![breach]);
    let want = Verdict::Guardrail(Breach::Doubles { count: 1 });
    for c in &cells {
        until("the end", async || status(c).await.is_some_and(|t| t.verdict == want)).await;
    }
}
