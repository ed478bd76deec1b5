//! Snapshots in chunks, entries kept below them, and what a member that was away needs.
mod model;

use consensus::core::{Event, Tuning};
use consensus::prelude::*;
use model::*;

fn chunks(sent: &[Flight], to: u64) -> Vec<u64> {
    let of = sent.iter().filter(|f| f.to == to);
    of.filter_map(|f| match &f.msg {
        Msg::Chunk { chunk, .. } => Some(chunk.offset),
        _ => None,
    })
    .collect()
}

/// A leader with a snapshot of five chunks, and a follower that was away meanwhile and needs it.
fn behind() -> (World, u64, u64) {
    let mut w = World::new(&[1, 2, 3]);
    w.settle();
    let leader = w.leader().unwrap();
    let away = (1..=3).find(|id| *id != leader).unwrap();
    w.isolate(away);
    for i in 0..20 {
        w.propose(command(i));
        w.run(1);
    }
    w.compact(leader);
    w.flight.clear();
    w.record = true;
    (w, leader, away)
}

/// Runs a world in which messages to and from `slow` take `delay` each.
fn run_slowly(w: &mut World, slow: u64, delay: Duration, steps: usize) {
    let mut held: VecDeque<(Duration, Flight)> = VecDeque::new();
    for _ in 0..steps {
        w.now += Duration::from_millis(20);
        w.tick_all();
        loop {
            let due = held.front().is_some_and(|(at, _)| *at <= w.now);
            if due {
                let (_, f) = held.pop_front().unwrap();
                w.step(f.to, Event::Received { from: f.from, msg: f.msg });
                continue;
            }
            if w.flight.is_empty() {
                break;
            }
            let f = w.flight.remove(0);
            if f.from == slow || f.to == slow {
                held.push_back((w.now + delay, f));
            } else {
                w.step(f.to, Event::Received { from: f.from, msg: f.msg });
            }
        }
    }
}

/// With answers that take long, but not too long, each chunk is sent once, and heartbeats go on.
#[test]
fn a_chunk_on_its_way_is_never_sent_again() {
    let (mut w, leader, away) = behind();
    w.cuts.clear();
    run_slowly(&mut w, away, Duration::from_millis(150), 400);
    let mut offsets = chunks(&w.sent, away);
    let sent = offsets.len();
    offsets.dedup();
    offsets.sort_unstable();
    offsets.dedup();
    assert!(sent >= 4, "several chunks: {sent}");
    assert_eq!(offsets.len(), sent, "each once");
    assert_eq!(w.node(away).commit, w.node(leader).commit);
    assert_eq!(w.nodes[&away].state.digest, w.nodes[&leader].state.digest);
}

/// Heartbeats are sent throughout a transfer whose answers never come, and the chunks that were sent
/// aren't repeated before their time is over, which grows.
#[test]
fn heartbeats_go_on_during_a_transfer_and_repeats_are_rare() {
    let (mut w, leader, away) = behind();
    w.cuts.clear();
    w.silence(away);
    // It is known to need the snapshot: its answer was the last thing that came through.
    let term = w.node(leader).hard.term;
    let reply = Msg::AppendReply { term, ok: false, matched: 1 };
    w.step(leader, Event::Received { from: away, msg: reply });
    w.sent.clear();
    let seconds = 6;
    run_slowly(&mut w, away, Duration::ZERO, seconds * 50);
    let beats = w.sent.iter().filter(|f| f.to == away && matches!(f.msg, Msg::Heartbeat { .. }));
    assert!(beats.count() >= seconds * 8, "a beat each 110 ms");
    let first = chunks(&w.sent, away).iter().filter(|offset| **offset == 0).count();
    assert!(first <= 4, "sent {first} times in {seconds} s");
    assert!(w.node(leader).leads());
}

/// A follower that is back is sent what it lacks at once, however often that was sent in vain before.
#[test]
fn a_follower_that_returns_is_sent_what_it_lacks_at_once() {
    for away_steps in 20..150 {
        let (mut w, leader, away) = behind();
        w.run(away_steps);
        w.cuts.clear();
        run_slowly(&mut w, away, Duration::ZERO, 30);
        let (reached, wanted) = (w.node(away).commit, w.node(leader).commit);
        assert_eq!(reached, wanted, "600 ms after {away_steps} steps away");
    }
}

/// Answers that take longer than the contact bound, each in its turn, are no return.
#[test]
fn slow_answers_are_no_return() {
    let (mut w, _, away) = behind();
    w.cuts.clear();
    run_slowly(&mut w, away, Duration::from_millis(450), 400);
    let offsets = chunks(&w.sent, away);
    let most = offsets.iter().map(|o| offsets.iter().filter(|p| *p == o).count()).max();
    assert!(most.is_some_and(|times| times <= 3), "a chunk was sent {most:?} times");
}

/// A chunk is lost: the transfer goes on from it, and begins not anew.
#[test]
fn a_lost_chunk_is_sent_again_and_nothing_else() {
    let (mut w, _, away) = behind();
    w.cuts.clear();
    let mut lost = 0;
    for _ in 0..200 {
        w.now += Duration::from_millis(20);
        w.tick_all();
        while !w.flight.is_empty() {
            let second = matches!(&w.flight[0].msg, Msg::Chunk { chunk, .. } if chunk.offset == 96);
            if second && lost == 0 {
                lost += 1;
                w.flight.remove(0);
            } else {
                w.deliver(0, false);
            }
        }
    }
    let offsets = chunks(&w.sent, away);
    assert_eq!(offsets.iter().filter(|o| **o == 0).count(), 1);
    assert_eq!(offsets.iter().filter(|o| **o == 96).count(), 2);
    assert_eq!(w.node(away).commit, w.node(w.leader().unwrap()).commit);
}

/// A reset loses all that is under way: the transfer goes on from what was acknowledged.
#[test]
fn a_transfer_goes_on_after_a_reset() {
    let (mut w, leader, away) = behind();
    w.cuts.clear();
    let mut resets = 0;
    for _ in 0..400 {
        w.now += Duration::from_millis(20);
        w.tick_all();
        while !w.flight.is_empty() {
            let third = matches!(&w.flight[0].msg, Msg::Chunk { chunk, .. } if chunk.offset == 144);
            if third && resets == 0 {
                resets += 1;
                w.flight.retain(|f| f.from != away && f.to != away);
            } else {
                w.deliver(0, false);
            }
        }
    }
    assert_eq!(resets, 1);
    let offsets = chunks(&w.sent, away);
    assert_eq!(offsets.iter().filter(|o| **o == 0).count(), 1, "{offsets:?}");
    assert_eq!(w.node(away).commit, w.node(leader).commit);
}

/// The follower restarts in the middle and has nothing: the transfer begins anew.
#[test]
fn a_follower_that_restarts_in_a_transfer_gets_it_whole() {
    let (mut w, leader, away) = behind();
    w.cuts.clear();
    let mut crashed = false;
    for _ in 0..400 {
        w.now += Duration::from_millis(20);
        w.tick_all();
        while !w.flight.is_empty() {
            let third = matches!(&w.flight[0].msg, Msg::Chunk { chunk, .. } if chunk.offset == 144);
            if third && !crashed {
                crashed = true;
                w.crash(away);
            }
            w.deliver(0, false);
        }
    }
    assert!(crashed);
    assert_eq!(w.node(away).commit, w.node(leader).commit);
    assert_eq!(w.nodes[&away].state.digest, w.nodes[&leader].state.digest);
}

/// The leader makes newer snapshots while one is on its way: it arrives, and the rest follows.
#[test]
fn a_transfer_outlasts_newer_snapshots() {
    let (mut w, leader, away) = behind();
    w.cuts.clear();
    for i in 0..60 {
        run_slowly(&mut w, away, Duration::from_millis(40), 5);
        w.propose(command(i));
        w.compact(leader);
    }
    run_slowly(&mut w, away, Duration::from_millis(40), 100);
    w.flight.clear();
    w.run(5);
    assert_eq!(w.node(away).commit, w.node(leader).commit);
}

/// A new leader's snapshot at the same place may be other bytes: pieces of two are never joined.
#[test]
fn pieces_of_two_leaders_are_not_mixed() {
    let mut w = World::new(&[1, 2, 3]);
    w.start_empty(9);
    let chunk = |offset: u64, byte: u8| SnapshotChunk {
        snapshot: LogPosition { term: 1, index: 5 },
        membership: Membership::of_voters(members(&[1, 2, 3])),
        offset,
        total: 4,
        data: ByteBuf::from(vec![byte; 2]),
    };
    w.record = true;
    let first = Msg::Chunk { term: 2, chunk: chunk(0, 1) };
    w.step(9, Event::Received { from: 1, msg: first });
    let second = Msg::Chunk { term: 3, chunk: chunk(2, 2) };
    w.step(9, Event::Received { from: 2, msg: second });
    assert_eq!(w.node(9).log.snap.index, 0);
    let answered = matches!(&w.sent[1].msg, Msg::ChunkReply { received: 0, .. });
    assert!(answered, "{:?}", w.sent[1].msg);
}

/// Away for a few changes, during which a snapshot was made: the entries kept below it are enough.
#[test]
fn a_short_absence_needs_no_snapshot() {
    let mut w = World::new(&[1, 2, 3]);
    w.settle();
    let leader = w.leader().unwrap();
    let away = (1..=3).find(|id| *id != leader).unwrap();
    w.isolate(away);
    for i in 0..3 {
        w.propose(command(i));
        w.run(1);
    }
    w.compact(leader);
    w.record = true;
    w.settle();
    assert!(chunks(&w.sent, away).is_empty());
    w.assert_agreed();
}

/// What is kept below a snapshot is bounded in number and in bytes.
#[test]
fn what_is_kept_is_bounded() {
    let retained_bytes = 3000;
    let tuning = Tuning { retained_entries: 10, retained_bytes, ..small_tuning() };
    let mut w = World::with(&[1], tuning);
    w.settle();
    for _ in 0..40 {
        w.propose(command(1));
        w.compact(1);
    }
    let log = &w.node(1).log;
    let kept = (1..=log.snap.index).filter(|i| log.get(*i).is_some()).count();
    assert_eq!(kept, 10);
    for _ in 0..4 {
        w.propose(Body::Command(ByteBuf::from(vec![0; 1000])));
        w.compact(1);
    }
    let log = &w.node(1).log;
    let kept = (1..=log.snap.index).filter_map(|i| log.get(i)).map(|e| e.body.size());
    assert!(kept.sum::<usize>() <= retained_bytes);
}

/// Away for 300 changes, with snapshots made meanwhile.
#[test]
fn a_member_that_was_away_for_300_changes_follows_again() {
    let tuning = Tuning { retained_entries: 32, chunk: 48, ..Tuning::default() };
    let mut w = World::with(&[1, 2, 3], tuning);
    w.settle();
    let leader = w.leader().unwrap();
    let away = (1..=3).find(|id| *id != leader).unwrap();
    w.isolate(away);
    for i in 0..300 {
        w.propose(command((i % 251) as u8));
        w.run(1);
        if i % 64 == 0 {
            w.compact(leader);
        }
    }
    w.settle();
    w.assert_agreed();
    assert_eq!(w.leader(), Some(leader));
}

/// One message holds a bounded batch, or a single entry that is larger; large ones are bulk.
#[test]
fn batches_are_bounded_and_large_ones_are_bulk() {
    let mut w = World::new(&[1, 2, 3]);
    w.settle();
    let leader = w.leader().unwrap();
    let away = (1..=3).find(|id| *id != leader).unwrap();
    w.isolate(away);
    for _ in 0..3 {
        w.propose(Body::Command(ByteBuf::from(vec![0; 700 << 10])));
        w.run(1);
    }
    w.propose(Body::Command(ByteBuf::from(vec![0; 4 << 20])));
    w.record = true;
    w.settle();
    let entries = |msg: &Msg| match msg {
        Msg::Append { entries, .. } => entries.len(),
        _ => 0,
    };
    let large = w.sent.iter().filter(|f| f.to == away && f.msg.is_bulk());
    assert!(large.clone().count() >= 4);
    assert!(large.map(|f| entries(&f.msg)).all(|n| n == 1));
    let beats = w.sent.iter().filter(|f| matches!(f.msg, Msg::Heartbeat { .. }));
    assert!(beats.clone().count() > 0 && beats.map(|f| &f.msg).all(|m| !m.is_bulk()));
    w.assert_agreed();
}

/// A large entry on its way over a slow link isn't sent again meanwhile.
#[test]
fn a_large_entry_on_its_way_is_not_sent_again() {
    let mut w = World::new(&[1, 2, 3]);
    w.settle();
    let leader = w.leader().unwrap();
    let slow = (1..=3).find(|id| *id != leader).unwrap();
    w.record = true;
    w.propose(Body::Command(ByteBuf::from(vec![0; 4 << 20])));
    let large = |f: &Flight| f.to == slow && f.msg.is_bulk();
    // The bulk connection takes 2 s for it; what is small passes.
    let held = w.flight.iter().position(large).map(|at| w.flight.remove(at)).unwrap();
    run_slowly(&mut w, slow, Duration::from_millis(20), 100);
    w.step(slow, Event::Received { from: held.from, msg: held.msg });
    run_slowly(&mut w, slow, Duration::from_millis(20), 20);
    assert_eq!(w.sent.iter().filter(|f| large(f)).count(), 1);
    assert_eq!(w.leader(), Some(leader));
    assert_eq!(w.node(slow).commit, w.node(leader).commit);
}
