//! Carries out what the agreement decides, after it was saved.
use super::run::{Actor, Order, Reader};
use super::stores::{retire_step, RetireStep};
use super::trial::TrialStep;
use crate::prelude::*;

type Settled = OrderEvent<Order, Reader>;

impl Actor {
    /// Hands an event to the agreement and carries out what follows. What is asked of the agreement
    /// meanwhile comes after, so that entries are applied in their order. False when the disk failed or
    /// what was agreed on can't be read: then nothing may be answered any more.
    pub fn agree_on(&mut self, ev: Event) -> bool {
        self.due.push_back(ev);
        if self.carrying {
            return true;
        }
        self.carrying = true;
        while let Some(ev) = self.due.pop_front() {
            if let Err(e) = self.carry(ev) {
                spdlog::error!("{}", e);
                return false;
            }
        }
        self.carrying = false;
        true
    }

    fn carry(&mut self, ev: Event) -> NodeResult<()> {
        let effects = self.driver.handle(ev)?;
        self.write_due_snapshot();
        if let Some(l) = self.driver.node.leader.filter(|_| !self.driver.leads()) {
            self.members.follows(l);
        }
        for effect in effects {
            self.carry_out(effect)?;
        }
        if self.driver.needs_snapshot(self.orders.applied()) {
            let data = encode_bytes(self.orders.state());
            self.due.push_back(Event::Compact { index: self.orders.applied(), data });
        }
        Ok(())
    }

    fn carry_out(&mut self, effect: Effect) -> NodeResult<()> {
        match effect {
            Effect::Send { to, msg } => self.send(to, msg),
            Effect::RoleIs(role) => {
                info!("role {:?} in term {}", role, self.driver.node.hard.term);
                self.role_changed();
            }
            other => {
                let events = self.orders.take(other).map_err(|e| unreadable(&e))?;
                events.into_iter().for_each(|e| self.settle(e));
            }
        }
        Ok(())
    }

    /// Writes a snapshot that was begun beside the actor, which goes on answering heartbeats.
    fn write_due_snapshot(&mut self) {
        let Some(mut write) = self.driver.take_due_write() else { return };
        let queue = self.queue.clone();
        tokio::task::spawn_blocking(move || {
            let written = write.run().map(|()| write);
            let _ = queue.blocking_send(CellCommand::SnapshotWritten(written));
        });
    }

    /// False when the snapshot couldn't be written.
    pub(super) fn snapshot_written(&mut self, written: NodeResult<SnapshotWrite>) -> bool {
        match written.and_then(|w| self.driver.snapshot_written(w)) {
            Ok(()) => true,
            Err(e) => {
                spdlog::error!("{}", e);
                false
            }
        }
    }

    fn role_changed(&mut self) {
        let leads = self.driver.leads();
        self.members.role_is(leads, self.driver.me.id);
        if leads {
            self.next_duty = Instant::now();
            return;
        }
        let events = self.orders.stepped_down();
        events.into_iter().for_each(|e| self.settle(e));
    }

    fn send(&mut self, to: u64, msg: Msg) {
        let known = self.driver.member_addr(to);
        let Some(addr) = known.or_else(|| self.links.addr_of(to)) else {
            return;
        };
        let me = &self.driver.me;
        let bulk = msg.is_bulk();
        let call = CellCall::Agree { from: me.id, addr: me.addr.clone(), msg };
        let caller = self.links.caller(&addr);
        match bulk {
            // One that is refused counts as lost: the node sends it again in its time.
            true => drop(caller.tell_bulk(&call)),
            false => caller.tell(&call),
        }
    }

    pub fn propose(&mut self, body: Body, order: Option<Order>) -> bool {
        let token = self.orders.order(order);
        self.agree_on(Event::Propose { token, body })
    }

    /// Proposes a change of the agreed state, unless whoever ordered it is gone.
    pub fn change(&mut self, change: &Change, order: Option<Order>) -> bool {
        if order.as_ref().is_some_and(Order::is_gone) {
            return true;
        }
        self.propose(Body::Command(encode_bytes(change)), order)
    }

    pub(super) fn settle(&mut self, event: Settled) {
        match event {
            OrderEvent::Order { waiting, outcome } => waiting.answer(outcome),
            OrderEvent::Read { reader, index: Some(index) } => self.serve_reader(reader, index),
            OrderEvent::Read { reader, index: None } => reader.refuse(),
            OrderEvent::Changed(ChangedPart::Config) => self.publish_config(),
            OrderEvent::Changed(ChangedPart::Stores) => self.publish_stores(),
            OrderEvent::Changed(ChangedPart::Trial) => self.publish_trial(),
            OrderEvent::Changed(ChangedPart::Holders) => self.hold_zones(),
            OrderEvent::Members(index) => self.publish_cells(index),
            OrderEvent::Restored => self.publish_state(),
        }
    }

    /// Asks a majority whether this cell's view is current.
    pub fn confirm_for(&mut self, reader: Reader) -> bool {
        if self.driver.leads() {
            let token = self.orders.read(reader);
            return self.agree_on(Event::Confirm { token });
        }
        let Some(addr) = self.leader_addr() else {
            reader.refuse();
            return true;
        };
        let within = reader.remaining();
        let token = self.orders.read(reader);
        let c = self.links.caller(&addr);
        let q = self.queue.clone();
        tokio::spawn(async move {
            let call = within_call(within, CellCall::ReadIndex);
            let index = match c.call::<_, CellReply>(&call, within).await {
                Ok(CellReply::Index(i)) => Some(i),
                _ => None,
            };
            let _ = q.send(CellCommand::ForwardConfirmed { token, index }).await;
        });
        true
    }

    /// Serves a read whose index is applied and was confirmed after the read began.
    fn serve_reader(&mut self, reader: Reader, index: u64) {
        match reader {
            Reader::Config(w) => {
                let config = self.orders.state().config.as_ref();
                let body = config.map(|c| Bytes::from(c.body.to_vec()));
                w.answer(Some(body));
            }
            Reader::Follow(from, w) => {
                let opened = self.open_feed(from);
                w.answer(Some(opened));
            }
            Reader::Index(w) => w.answer(CellReply::Index(index)),
            Reader::Order { change, waiting } => match self.orders.state().decided(&change) {
                Some(outcome) => waiting.answer(CellReply::Outcome(outcome)),
                None => drop(self.change(&change, Some(Order::Plain(waiting)))),
            },
            Reader::Retire { store, query_only, waiting } => {
                self.retire(&store, query_only, waiting)
            }
            Reader::Trial { ask, waiting } => self.asked_of_trial(ask, waiting),
        }
    }

    fn retire(&mut self, store: &str, query_only: bool, waiting: Waiting<CellReply>) {
        match retire_step(&self.orders.state().stores, store, query_only) {
            RetireStep::Answer(state) => waiting.answer(CellReply::Retire(state)),
            RetireStep::Propose(change) => {
                self.change(&change, Some(Order::Retire(waiting)));
            }
        }
    }

    fn asked_of_trial(&mut self, ask: TrialRequest, waiting: Waiting<CellReply>) {
        match self.trial.step(self.orders.state(), ask) {
            TrialStep::Answer(answer) => waiting.answer(answer),
            TrialStep::Propose(change) => {
                self.change(&change, Some(Order::Plain(waiting)));
            }
        }
    }
}

/// A call to be answered while its caller waits.
pub(super) fn within_call(within: Duration, call: CellCall) -> CellCall {
    CellCall::Within { ms: within.as_millis() as u64, call: Box::new(call) }
}

fn encode_bytes<T: Serialize>(value: &T) -> ByteBuf {
    ByteBuf::from(Vec::from(encode(value)))
}

fn unreadable(e: &UnreadableState) -> NodeError {
    NodeError::Damaged { file: "agreement".into(), offset: e.index, reason: e.to_string() }
}
