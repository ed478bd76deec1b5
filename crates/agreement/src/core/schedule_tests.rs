//! Generated schedules against the agreement: loss, delay, reordering, crashes that lose what wasn't
//! saved, wipes that come back as new members, cuts, member changes and proposals.
use super::log::TermLog;
use crate::prelude::*;

struct Node {
    consensus: ConsensusNode,
    /// What the disk holds: survives a crash.
    hard: HardState,
    disk: TermLog,
    applied: Vec<(u64, u64, Body)>,
    down: bool,
}

struct World {
    nodes: BTreeMap<u64, Node>,
    flight: Vec<(u64, u64, Msg)>,
    cut: BTreeSet<u64>,
    now: Duration,
    agreed: BTreeMap<u64, (u64, Body)>,
    leaders: BTreeMap<u64, u64>,
    acked: BTreeSet<u64>,
    token: u64,
}

fn member(id: u64) -> Member {
    Member { id, name: format!("n{id}"), addr: String::new(), zone: String::new() }
}

fn founders(ids: &[u64]) -> TermLog {
    TermLog {
        snap: Snapshot { members: ids.iter().map(|i| member(*i)).collect(), ..Snapshot::default() },
        entries: Vec::new(),
    }
}

impl World {
    fn new(ids: &[u64]) -> Self {
        let mut w = World {
            nodes: BTreeMap::new(),
            flight: Vec::new(),
            cut: BTreeSet::new(),
            now: Duration::ZERO,
            agreed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            acked: BTreeSet::new(),
            token: 0,
        };
        for id in ids {
            w.start(*id, HardState::default(), founders(ids));
        }
        w
    }

    fn start(&mut self, id: u64, hard: HardState, disk: TermLog) {
        let consensus =
            ConsensusNode::new(id, hard, disk.clone(), Tuning::default(), id * 77 + self.token);
        let n = Node { consensus, hard, disk, applied: Vec::new(), down: false };
        self.nodes.insert(id, n);
    }

    fn step(&mut self, id: u64, ev: Event) {
        let Some(n) = self.nodes.get_mut(&id).filter(|n| !n.down) else { return };
        let now = self.now;
        for e in n.consensus.handle(ev, now) {
            match e {
                Effect::SaveHardState(h) => n.hard = h,
                Effect::SaveEntries { from, entries } => {
                    n.disk.cut(from);
                    n.disk.entries.extend(entries);
                }
                Effect::SaveSnapshot(s) => {
                    let keep = n.consensus.log.entries.clone();
                    n.disk = TermLog { snap: s, entries: keep };
                }
                Effect::Send { to, msg } => self.flight.push((id, to, msg)),
                Effect::Apply(e) => {
                    n.applied.push((e.index, e.term, e.body.clone()));
                    let had = self.agreed.entry(e.index).or_insert((e.term, e.body.clone()));
                    assert_eq!(*had, (e.term, e.body), "two entries agreed on at {}", e.index);
                }
                Effect::RoleIs(r) if format!("{r:?}").contains("Leader") => {
                    let was = *self.leaders.entry(n.hard.term).or_insert(id);
                    assert_eq!(was, id, "two leaders in term {}", n.hard.term);
                }
                Effect::Appended { at: Some((index, _)), .. } => {
                    self.acked.insert(index);
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, i: usize, keep: bool) {
        if self.flight.is_empty() {
            return;
        }
        let at = i % self.flight.len();
        let (from, to, msg) =
            if keep { self.flight[at].clone() } else { self.flight.swap_remove(at) };
        if self.cut.contains(&from) != self.cut.contains(&to) {
            return;
        }
        self.step(to, Event::Received { from, msg });
    }

    fn crash(&mut self, id: u64) {
        if let Some(n) = self.nodes.get_mut(&id) {
            let (hard, disk) = (n.hard, n.disk.clone());
            self.flight.retain(|(f, _, _)| *f != id);
            self.start(id, hard, disk);
        }
    }

    fn leader(&self) -> Option<u64> {
        self.nodes
            .iter()
            .filter(|(_, n)| !n.down && n.consensus.leads())
            .map(|(i, _)| *i)
            .next_back()
    }

    fn propose(&mut self, body: Body) {
        if let Some(l) = self.leader() {
            self.token += 1;
            let token = self.token;
            self.step(l, Event::Propose { token, body });
        }
    }

    /// Lets everything through until calm.
    fn settle(&mut self) {
        self.cut.clear();
        for _ in 0..60 {
            self.now += Duration::from_millis(60);
            let ids: Vec<u64> = self.nodes.keys().copied().collect();
            for id in ids {
                self.step(id, Event::Tick);
            }
            while !self.flight.is_empty() {
                self.deliver(0, false);
            }
        }
    }
}

#[test]
fn one_cell_elects_itself_and_four_agree() {
    let mut w = World::new(&[1]);
    w.settle();
    assert_eq!(w.leader(), Some(1));
    let mut w = World::new(&[1, 2, 3, 4]);
    w.settle();
    w.propose(Body::Command(ByteBuf::from(vec![9])));
    w.settle();
    for n in w.nodes.values() {
        assert!(n.applied.iter().any(|(_, _, b)| *b == Body::Command(ByteBuf::from(vec![9]))));
    }
}

#[test]
fn a_named_successor_leads_at_once() {
    let mut w = World::new(&[1, 2, 3]);
    w.settle();
    let old = w.leader().unwrap();
    w.step(old, Event::HandOver);
    while !w.flight.is_empty() {
        w.deliver(0, false);
    }
    let new = w.nodes.iter().find(|(i, n)| **i != old && n.consensus.leads());
    assert!(new.is_some());
    assert!(!w.nodes[&old].consensus.leads());
}

#[test]
fn a_cut_leader_steps_down_and_confirms_nothing() {
    let mut w = World::new(&[1, 2, 3]);
    w.settle();
    let old = w.leader().unwrap();
    w.cut.insert(old);
    let now = w.now;
    let n = w.nodes.get_mut(&old).unwrap();
    let out = n.consensus.handle(Event::Confirm { token: 5 }, now);
    assert!(!out.iter().any(|e| matches!(e, Effect::Confirmed { .. })));
    let out = n.consensus.handle(Event::Tick, now + Duration::from_secs(2));
    assert!(out.contains(&Effect::Confirmed { token: 5, index: None }));
    assert!(!n.consensus.leads());
}

#[test]
fn a_compacted_log_reaches_a_new_member_by_snapshot() {
    let mut w = World::new(&[1, 2, 3]);
    w.settle();
    for i in 0..5 {
        w.propose(Body::Command(ByteBuf::from(vec![i])));
        w.settle();
    }
    let l = w.leader().unwrap();
    let at = w.nodes[&l].consensus.applied;
    w.step(l, Event::Compact { index: at, data: ByteBuf::from(vec![1]) });
    w.start(9, HardState::default(), TermLog::default());
    w.propose(Body::Members([1, 2, 3, 9].map(member).to_vec()));
    w.settle();
    assert!(w.nodes[&9].consensus.is_member());
    assert_eq!(w.nodes[&9].consensus.applied, w.nodes[&l].consensus.applied);
}

/// Agreed entries never change, no term has two leaders, and when calm returns the cells agree and
/// take proposals again.
#[test]
fn generated_schedules_keep_what_was_agreed() {
    for seed in 0..600u64 {
        arbtest::arbtest(|u| {
            let mut w = World::new(&[1, 2, 3, 4]);
            w.settle();
            let mut fresh = 10;
            let mut val = 0u8;
            for _ in 0..u.int_in_range(20..=140)? {
                match u.int_in_range(0..=20)? {
                    0..=9 => {
                        let i = u.int_in_range(0..=1000)?;
                        w.deliver(i, false);
                    }
                    10 => {
                        let i = u.int_in_range(0..=1000)?;
                        w.deliver(i, true);
                    }
                    11 if !w.flight.is_empty() => {
                        let i = u.int_in_range(0..=w.flight.len() - 1)?;
                        w.flight.swap_remove(i);
                    }
                    12..=14 => {
                        w.now += Duration::from_millis(u.int_in_range(10..=700)?);
                        let ids: Vec<u64> = w.nodes.keys().copied().collect();
                        for id in ids {
                            w.step(id, Event::Tick);
                        }
                    }
                    15 => {
                        let ids: Vec<u64> = w.nodes.keys().copied().collect();
                        let id = *u.choose(&ids)?;
                        w.crash(id);
                    }
                    16 => {
                        let ids: Vec<u64> = w.nodes.keys().copied().collect();
                        let id = *u.choose(&ids)?;
                        if !w.cut.remove(&id) && w.cut.is_empty() {
                            w.cut.insert(id);
                        }
                    }
                    17 if fresh == 10 => {
                        // A member loses its disk: it comes back as another, and is taken in step by step.
                        let ids: Vec<u64> = w.nodes.keys().copied().collect();
                        let id = *u.choose(&ids)?;
                        w.nodes.remove(&id);
                        w.start(fresh, HardState::default(), TermLog::default());
                        fresh += 1;
                    }
                    18 => {
                        if let Some(l) = w.leader() {
                            let a = &w.nodes[&l].consensus;
                            let mut m = a.log.members().to_vec();
                            if let Some(i) = m.iter().position(|m| !w.nodes.contains_key(&m.id)) {
                                m.remove(i);
                            } else if let Some(id) =
                                w.nodes.keys().find(|i| !m.iter().any(|m| m.id == **i))
                            {
                                m.push(member(*id));
                            }
                            w.propose(Body::Members(m));
                        }
                    }
                    19 => {
                        if let Some(l) = w.leader() {
                            let at = w.nodes[&l].consensus.applied;
                            w.step(l, Event::Compact { index: at, data: ByteBuf::new() });
                        }
                    }
                    _ => {
                        val = val.wrapping_add(1);
                        w.propose(Body::Command(ByteBuf::from(vec![val])));
                    }
                }
            }
            w.settle();
            w.settle();
            let before = w.agreed.len();
            w.propose(Body::Command(ByteBuf::from(vec![255, 255])));
            w.settle();
            assert!(w.agreed.len() > before, "calm returned and nothing is agreed on");
            Ok(())
        })
        .seed(seed << 32 | 4096);
    }
}
