//! Cells without disks and sockets: real consensus nodes and order desks, messages in a bag.
use super::spec::{Config, GetAnswer, Order, PutAnswer};
use consensus::core::TermLog;
use control_cell::prelude::*;

/// One attempt of a call: answers to older attempts find nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub call: usize,
    pub no: u64,
}

#[derive(Clone, Debug)]
pub enum Reader {
    Get(Attempt),
    /// An order that would change nothing, as far as was known where it came.
    Put(Attempt, Order),
    /// Another cell, in one of its starts, asks for its own reader.
    Index {
        cell: u64,
        life: u64,
        token: u64,
    },
}

#[derive(Clone, Debug)]
pub enum Packet {
    Agree { from: u64, to: u64, msg: Msg },
    Forward { from: u64, to: u64, attempt: Attempt, order: Order },
    AskIndex { from: u64, to: u64, life: u64, token: u64 },
    TellIndex { from: u64, to: u64, life: u64, token: u64, index: Option<u64> },
    PutAnswer { from: u64, attempt: Attempt, answer: PutAnswer },
    GetAnswer { from: u64, attempt: Attempt, answer: GetAnswer },
}

impl Packet {
    pub fn from(&self) -> u64 {
        match self {
            Packet::Agree { from, .. }
            | Packet::Forward { from, .. }
            | Packet::AskIndex { from, .. }
            | Packet::TellIndex { from, .. }
            | Packet::PutAnswer { from, .. }
            | Packet::GetAnswer { from, .. } => *from,
        }
    }

    /// The cell that it goes to; the operator's answers go to none.
    pub fn to(&self) -> Option<u64> {
        match self {
            Packet::Agree { to, .. }
            | Packet::Forward { to, .. }
            | Packet::AskIndex { to, .. }
            | Packet::TellIndex { to, .. } => Some(*to),
            Packet::PutAnswer { .. } | Packet::GetAnswer { .. } => None,
        }
    }
}

pub struct Cell {
    pub node: ConsensusNode,
    pub orders: OrderTracker<Attempt, Reader>,
    life: u64,
    /// What the disk holds: survives a crash.
    hard: HardState,
    disk: TermLog,
    /// Orders that are to be proposed after what is being carried out.
    later: Vec<(Attempt, Order)>,
    pub out: Vec<Packet>,
}

pub fn body_of(order: &Order) -> ByteBuf {
    ByteBuf::from(format!("{{\"configVersion\":{},\"body\":{}}}", order.version, order.body))
}

fn change(order: &Order) -> Change {
    let body = body_of(order);
    let (base, version) = (order.base, order.version);
    Change::PutConfig { base, version, sha256: order_digest(&body), body }
}

fn put_answer(outcome: Option<Outcome>) -> PutAnswer {
    match outcome {
        Some(Outcome::Taken | Outcome::TakenBefore) => PutAnswer::Acknowledged,
        Some(Outcome::Conflict) => PutAnswer::OtherVersion,
        Some(Outcome::NotAbove) => PutAnswer::NotAbove,
        Some(Outcome::Forgotten) | None => PutAnswer::Unclear,
    }
}

fn founders(ids: &[u64]) -> TermLog {
    let member = |id: &u64| Member {
        id: *id,
        name: String::new(),
        addr: String::new(),
        zone: String::new(),
        incarnation: 0,
        loss_counted: true,
    };
    let membership = Membership::of_voters(ids.iter().map(member).collect());
    TermLog::new(Snapshot { membership, ..Snapshot::default() }, Vec::new())
}

impl Cell {
    pub fn founder(id: u64, ids: &[u64]) -> Self {
        Cell::start(id, 1, HardState::default(), founders(ids))
    }

    fn start(id: u64, life: u64, hard: HardState, disk: TermLog) -> Self {
        let state = CellState::of_snapshot(&disk.snap).unwrap();
        let seed = id * 77 + life;
        let node = ConsensusNode::new(id, hard, disk.clone(), Tuning::default(), seed);
        let orders = OrderTracker::new(state, node.applied);
        Cell { node, orders, life, hard, disk, later: Vec::new(), out: Vec::new() }
    }

    /// The process dies and starts again: only the disk is left.
    pub fn crash(&mut self) {
        *self = Cell::start(self.node.me, self.life + 1, self.hard, self.disk.clone());
    }

    /// As the actor does: saved first, then carried out in order.
    pub fn step(&mut self, event: Event, now: Duration) {
        let effects = self.node.handle(event, now);
        effects.iter().for_each(|e| self.save(e));
        for effect in effects {
            match effect {
                Effect::Send { to, msg } => {
                    self.out.push(Packet::Agree { from: self.node.me, to, msg });
                }
                Effect::RoleIs(_) if !self.node.leads() => {
                    let events = self.orders.stepped_down();
                    events.into_iter().for_each(|e| self.settle(e));
                }
                other => {
                    let events = self.orders.take(other).unwrap();
                    events.into_iter().for_each(|e| self.settle(e));
                }
            }
        }
        for (attempt, order) in std::mem::take(&mut self.later) {
            self.propose(attempt, &order, now);
        }
    }

    fn propose(&mut self, attempt: Attempt, order: &Order, now: Duration) {
        let token = self.orders.order(Some(attempt));
        let body = Body::Command(ByteBuf::from(encode(&change(order)).to_vec()));
        self.step(Event::Propose { token, body }, now);
    }

    fn save(&mut self, effect: &Effect) {
        match effect {
            Effect::SaveHardState(h) => self.hard = *h,
            Effect::SaveEntries { from, entries } => {
                self.disk.cut(*from);
                self.disk.entries.extend(entries.iter().cloned());
            }
            Effect::SaveSnapshot(s) => {
                let entries = self.node.log.entries.clone();
                self.disk = TermLog::new(s.clone(), entries);
            }
            _ => {}
        }
    }

    pub fn compact(&mut self, now: Duration) {
        let data = ByteBuf::from(encode(self.orders.state()).to_vec());
        let index = self.orders.applied();
        self.step(Event::Compact { index, data }, now);
    }

    fn settle(&mut self, event: OrderEvent<Attempt, Reader>) {
        let from = self.node.me;
        let packet = match event {
            OrderEvent::Order { waiting: attempt, outcome } => {
                Packet::PutAnswer { from, attempt, answer: put_answer(outcome) }
            }
            OrderEvent::Read { reader: Reader::Put(attempt, order), index } => {
                let decided = self.orders.state().decided(&change(&order));
                if index.is_some() && decided.is_none() {
                    // Carried out after what is being carried out, as in the actor.
                    self.later.push((attempt, order));
                    return;
                }
                let outcome = decided.filter(|_| index.is_some());
                Packet::PutAnswer { from, attempt, answer: put_answer(outcome) }
            }
            OrderEvent::Read { reader: Reader::Get(attempt), index } => {
                let answer = match index {
                    Some(_) => GetAnswer::Config(self.config()),
                    None => GetAnswer::Unclear,
                };
                Packet::GetAnswer { from, attempt, answer }
            }
            OrderEvent::Read { reader: Reader::Index { cell, life, token }, index } => {
                Packet::TellIndex { from, to: cell, life, token, index }
            }
            OrderEvent::Changed(_) | OrderEvent::Members(_) | OrderEvent::Restored => return,
        };
        self.out.push(packet);
    }

    pub fn config(&self) -> Option<Config> {
        let c = self.orders.state().config.as_ref()?;
        let v: Value = serde_json::from_slice(&c.body).unwrap();
        assert_eq!(v["configVersion"], c.version, "a body under another's version");
        Some(Config { version: c.version, body: v["body"].as_u64().unwrap() as u8 })
    }

    fn leader(&self) -> Option<u64> {
        self.node.leader.filter(|l| *l != self.node.me)
    }

    pub fn put(&mut self, attempt: Attempt, order: Order, now: Duration) {
        let from = self.node.me;
        if self.node.leads() {
            if self.orders.state().decided(&change(&order)).is_some() {
                let token = self.orders.read(Reader::Put(attempt, order));
                return self.step(Event::Confirm { token }, now);
            }
            return self.propose(attempt, &order, now);
        }
        self.out.push(match self.leader() {
            Some(to) => Packet::Forward { from, to, attempt, order },
            None => Packet::PutAnswer { from, attempt, answer: PutAnswer::Unclear },
        });
    }

    pub fn get(&mut self, attempt: Attempt, now: Duration) {
        let from = self.node.me;
        if !self.node.leads() && self.leader().is_none() {
            self.out.push(Packet::GetAnswer { from, attempt, answer: GetAnswer::Unclear });
            return;
        }
        let token = self.orders.read(Reader::Get(attempt));
        match self.leader() {
            Some(to) if !self.node.leads() => {
                self.out.push(Packet::AskIndex { from, to, life: self.life, token });
            }
            _ => self.step(Event::Confirm { token }, now),
        }
    }

    pub fn receive(&mut self, packet: Packet, now: Duration) {
        match packet {
            Packet::Agree { from, msg, .. } => self.step(Event::Received { from, msg }, now),
            Packet::Forward { attempt, order, .. } => self.put(attempt, order, now),
            Packet::AskIndex { from, life, token, .. } if self.node.leads() => {
                let token = self.orders.read(Reader::Index { cell: from, life, token });
                self.step(Event::Confirm { token }, now);
            }
            Packet::AskIndex { from, life, token, .. } => {
                let (me, index) = (self.node.me, None);
                // Passed on to the leader, as the actor does.
                self.out.push(match self.node.leader.filter(|l| *l != me && *l != from) {
                    Some(to) => Packet::AskIndex { from, to, life, token },
                    None => Packet::TellIndex { from: me, to: from, life, token, index },
                });
            }
            Packet::TellIndex { life, token, index, .. } if life == self.life => {
                let events = self.orders.confirmed(token, index);
                events.into_iter().for_each(|e| self.settle(e));
            }
            _ => {}
        }
    }
}
