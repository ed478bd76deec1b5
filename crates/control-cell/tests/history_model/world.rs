//! The cells, the network between them, and operators who send again until they are answered.
use super::cells::{body_of, Attempt, Cell, Packet};
use super::spec::{Config, GetAnswer, OneCopy, Op, Order, PutAnswer};
use arbtest::arbitrary::{Result, Unstructured};
use control_cell::prelude::*;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::linearizability::WGLChecker;

/// Orders and questions under way at once.
const OPERATORS: usize = 8;

#[derive(Clone, Debug)]
struct Call {
    op: Op,
    attempt: u64,
    ended: bool,
}

pub struct World {
    cells: BTreeMap<u64, Cell>,
    flight: Vec<Packet>,
    /// Directions (from, to) in which nothing gets through.
    cuts: BTreeSet<(u64, u64)>,
    /// Cells that stand still: their clocks don't tick, what reaches them waits.
    frozen: BTreeSet<u64>,
    now: Duration,
    calls: Vec<Call>,
    history: Vec<(usize, Action<Op>)>,
}

impl World {
    pub fn new(ids: &[u64]) -> Self {
        let cells = ids.iter().map(|id| (*id, Cell::founder(*id, ids))).collect();
        World {
            cells,
            flight: Vec::new(),
            cuts: BTreeSet::new(),
            frozen: BTreeSet::new(),
            now: Duration::ZERO,
            calls: Vec::new(),
            history: Vec::new(),
        }
    }

    fn ids(&self) -> Vec<u64> {
        self.cells.keys().copied().collect()
    }

    fn at(&mut self, id: u64, act: impl FnOnce(&mut Cell, Duration)) {
        let now = self.now;
        let cell = self.cells.get_mut(&id).unwrap();
        let was_current = cell.node.ready_to_serve(now);
        act(cell, now);
        self.flight.append(&mut cell.out);
        if !was_current && cell.node.ready_to_serve(now) {
            self.check_new_leader(id);
        }
    }

    /// A leader whose state counts as current knows all that was acknowledged in earlier terms.
    fn check_new_leader(&self, id: u64) {
        let leader = &self.cells[&id];
        let newest_term = self.cells.values().map(|c| c.node.hard.term).max();
        if newest_term != Some(leader.node.hard.term) {
            return;
        }
        for order in self.acknowledged() {
            let digest = order_digest(&body_of(&order));
            let known = leader.orders.state().confirmed.has(order.version, &digest);
            assert!(known, "a new leader doesn't know {order:?}");
        }
    }

    pub fn tick(&mut self, by: Duration) {
        self.now += by;
        for id in self.ids() {
            if !self.frozen.contains(&id) {
                self.at(id, |c, now| c.step(Event::Tick, now));
            }
        }
    }

    // Operators.

    fn open(&self) -> Vec<usize> {
        (0..self.calls.len()).filter(|i| !self.calls[*i].ended).collect()
    }

    pub fn start(&mut self, op: Op, cell: u64) -> usize {
        let call = self.calls.len();
        self.calls.push(Call { op: op.clone(), attempt: 0, ended: false });
        self.history.push((call, Action::Call(op)));
        self.send(call, cell);
        call
    }

    /// Sends a call, for the first time or again as it was.
    fn send(&mut self, call: usize, cell: u64) {
        self.calls[call].attempt += 1;
        let attempt = Attempt { call, no: self.calls[call].attempt };
        match self.calls[call].op {
            Op::Put { order, .. } => self.at(cell, |c, now| c.put(attempt, order, now)),
            Op::Get { .. } => self.at(cell, |c, now| c.get(attempt, now)),
        }
    }

    fn end(&mut self, attempt: Attempt, op: Op) {
        let call = &mut self.calls[attempt.call];
        if call.ended || call.attempt != attempt.no {
            return;
        }
        call.ended = true;
        call.op = op.clone();
        self.history.push((attempt.call, Action::Response(op)));
    }

    fn answered(&mut self, packet: &Packet) {
        match packet {
            Packet::PutAnswer { attempt, answer, .. } if *answer != PutAnswer::Unclear => {
                if let Op::Put { order, .. } = self.calls[attempt.call].op {
                    self.end(*attempt, Op::Put { order, answer: *answer });
                }
            }
            Packet::GetAnswer { attempt, answer, .. } if *answer != GetAnswer::Unclear => {
                self.end(*attempt, Op::Get { answer: *answer });
            }
            _ => {}
        }
    }

    fn ended(&self) -> impl Iterator<Item = &Op> {
        self.calls.iter().filter(|c| c.ended).map(|c| &c.op)
    }

    fn acknowledged(&self) -> Vec<Order> {
        let order = |op: &Op| match op {
            Op::Put { order, answer: PutAnswer::Acknowledged } => Some(*order),
            _ => None,
        };
        self.ended().filter_map(order).collect()
    }

    /// The newest version that an operator was told of.
    fn newest(&self) -> u64 {
        let version = |op: &Op| match op {
            Op::Put { order, answer: PutAnswer::Acknowledged } => order.version,
            Op::Get { answer: GetAnswer::Config(Some(c)) } => c.version,
            _ => 0,
        };
        self.ended().map(version).max().unwrap_or(0)
    }

    // Schedules.

    fn deliver(&mut self, at: usize) {
        let packet = self.flight.swap_remove(at);
        let from = packet.from();
        match packet.to() {
            Some(to) if self.cuts.contains(&(from, to)) => {}
            Some(to) if self.frozen.contains(&to) => self.flight.push(packet),
            Some(to) => self.at(to, |c, now| c.receive(packet, now)),
            None => self.answered(&packet),
        }
    }

    /// Time passes in small steps, in which what was sent arrives.
    fn pass(&mut self, steps: u64) {
        for _ in 0..steps {
            self.tick(Duration::from_millis(60));
            for packet in std::mem::take(&mut self.flight) {
                self.flight.push(packet);
                self.deliver(self.flight.len() - 1);
            }
        }
    }

    /// Cuts some cells off from the others; each side stays whole.
    fn cut(&mut self, side: &[u64], hears: bool, is_heard: bool) {
        let ids = self.ids();
        let other_side = ids.iter().filter(|i| !side.contains(i));
        for (here, there) in other_side.flat_map(|o| side.iter().map(move |s| (*s, *o))) {
            if !is_heard {
                self.cuts.insert((here, there));
            }
            if !hears {
                self.cuts.insert((there, here));
            }
        }
    }

    fn crash(&mut self, id: u64, sent_too: bool) {
        if sent_too {
            self.flight.retain(|p| p.from() != id);
        }
        self.cells.get_mut(&id).unwrap().crash();
    }

    fn next_op(&self, u: &mut Unstructured) -> Result<Op> {
        let kind = u.int_in_range(0..=9)?;
        let again = self.acknowledged();
        if kind < 3 {
            return Ok(Op::Get { answer: GetAnswer::Unclear });
        }
        let newest = self.newest();
        let order = match kind {
            3 if !again.is_empty() => *u.choose(&again)?,
            // Not above what it builds on.
            4 => Order {
                base: newest,
                version: newest.saturating_sub(u.int_in_range(0..=2)?),
                body: 9,
            },
            _ => {
                let base = newest.saturating_sub(u64::from(u.ratio(1, 8)?));
                // Rivals pick the same numbers.
                let version = newest + u.int_in_range(1..=2)?;
                Order { base, version, body: u.int_in_range(0..=3)? }
            }
        };
        Ok(Op::Put { order, answer: PutAnswer::Unclear })
    }

    pub fn trouble(&mut self, u: &mut Unstructured) -> Result<()> {
        let ids = self.ids();
        match u.int_in_range(0..=39)? {
            0..=9 => {
                for _ in 0..u.int_in_range(1..=12)? {
                    if !self.flight.is_empty() {
                        let at = u.choose_index(self.flight.len())?;
                        self.deliver(at);
                    }
                }
            }
            10..=12 => self.pass(u.int_in_range(1..=8)?),
            13 if !self.flight.is_empty() => {
                let at = u.choose_index(self.flight.len())?;
                self.flight.swap_remove(at);
            }
            14 if !self.flight.is_empty() => {
                // An agreement message may come twice.
                let twice = u.choose(&self.flight)?.clone();
                if matches!(twice, Packet::Agree { .. }) {
                    self.flight.push(twice);
                }
            }
            15..=17 => self.tick(Duration::from_millis(u.int_in_range(10..=300)?)),
            18 => self.crash(*u.choose(&ids)?, u.arbitrary()?),
            19 => {
                // Rather one that leads.
                let leads = ids.iter().copied().find(|i| self.cells[i].node.leads());
                let cut =
                    leads.filter(|_| u.ratio(2, 3).unwrap_or(false)).unwrap_or(*u.choose(&ids)?);
                self.cut(&[cut], u.arbitrary()?, u.arbitrary()?);
            }
            20 => self.cuts.clear(),
            21 => drop(self.frozen.insert(*u.choose(&ids)?)),
            22..=23 => self.frozen.clear(),
            24 => {
                let id = *u.choose(&ids)?;
                self.at(id, |c, now| c.compact(now));
            }
            25..=33 if self.open().len() < OPERATORS => {
                let op = self.next_op(u)?;
                self.start(op, *u.choose(&ids)?);
            }
            34..=37 if !self.open().is_empty() => {
                let call = *u.choose(&self.open())?;
                self.send(call, *u.choose(&ids)?);
            }
            38 => {
                // Several on one side, the smaller or the larger.
                let side = &ids[..u.int_in_range(2..=ids.len() - 1)?];
                self.cut(side, u.ratio(1, 4)?, u.ratio(1, 4)?);
            }
            39 if u.ratio(1, 3)? => ids.iter().for_each(|id| self.crash(*id, true)),
            _ => {}
        }
        Ok(())
    }

    // Checks.

    /// Whole and calm again: everything gets through, and open calls are sent until they are answered.
    pub fn settle(&mut self) {
        self.cuts.clear();
        self.frozen.clear();
        for round in 0..80 {
            self.tick(Duration::from_millis(60));
            while !self.flight.is_empty() {
                self.deliver(0);
            }
            let ids = self.ids();
            if round % 5 == 4 {
                for call in self.open() {
                    self.send(call, ids[round % ids.len()]);
                }
            }
        }
        assert!(self.open().is_empty(), "calm returned and a call isn't answered");
    }

    fn finish(&mut self, op: Op, cell: u64) -> Op {
        let call = self.start(op, cell);
        for _ in 0..20 {
            while !self.flight.is_empty() {
                self.deliver(0);
            }
            self.tick(Duration::from_millis(60));
        }
        self.calls[call].op.clone()
    }

    /// The newest that was confirmed comes again, with nothing between: it is confirmed again, by all.
    pub fn confirm_again(&mut self) {
        let newest = self.newest();
        let last = self.acknowledged().into_iter().find(|o| o.version == newest);
        let logged = self.logged();
        for id in self.ids() {
            let Some(order) = last else { return };
            let answer = self.finish(Op::Put { order, answer: PutAnswer::Unclear }, id);
            assert_eq!(answer, Op::Put { order, answer: PutAnswer::Acknowledged });
        }
        assert_eq!(self.logged(), logged, "an order that is known is written again");
    }

    fn logged(&self) -> u64 {
        self.cells.values().map(|c| c.node.log.last()).max().unwrap_or(0)
    }

    /// So is every other that ever was, and all cells hold the same.
    pub fn read_back(&mut self) {
        for order in self.acknowledged() {
            let answer = self.finish(Op::Put { order, answer: PutAnswer::Unclear }, self.ids()[0]);
            assert_eq!(answer, Op::Put { order, answer: PutAnswer::Acknowledged });
        }
        let mut read: Vec<Op> = Vec::new();
        for id in self.ids() {
            read.push(self.finish(Op::Get { answer: GetAnswer::Unclear }, id));
        }
        assert!(read.iter().all(|r| *r == read[0]), "{read:?}");
    }

    /// Under one version one body is confirmed at most; what was refused is nowhere in force.
    pub fn check_answers(&self) {
        let mut bodies: BTreeMap<u64, u8> = BTreeMap::new();
        for o in self.acknowledged() {
            let had = *bodies.entry(o.version).or_insert(o.body);
            assert_eq!(had, o.body, "two bodies confirmed under version {}", o.version);
        }
        for op in self.ended() {
            let Op::Put { order, answer } = op else { continue };
            let refused = *answer != PutAnswer::Acknowledged;
            let confirmed = bodies.get(&order.version) == Some(&order.body);
            for cell in self.cells.values().filter(|_| refused && !confirmed) {
                let config = Some(Config { version: order.version, body: order.body });
                assert_ne!(cell.config(), config, "refused and in force");
                let digest = order_digest(&body_of(order));
                let known = cell.orders.state().confirmed.has(order.version, &digest);
                assert!(!known, "refused and on record: {order:?}");
            }
        }
    }

    pub fn check_history(&self) {
        let mut history = self.history.clone();
        // A call without an answer may take effect at any time, or never.
        for call in self.open() {
            history.push((call, Action::Response(self.calls[call].op.clone())));
        }
        if history.is_empty() {
            return;
        }
        let shown = format!("{history:#?}");
        let fits = WGLChecker::<OneCopy>::is_linearizable(History::from_actions(history));
        assert!(fits, "no order of these explains their answers: {shown}");
    }
}
