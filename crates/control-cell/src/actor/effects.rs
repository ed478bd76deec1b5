//! Carries out the effects of consensus, after what they rest on was saved.
use super::run::{Actor, Order, Reader};
use crate::prelude::*;

type ActorEvent = OrderEvent<Order, Reader>;

impl Actor {
    /// Hands an event to the consensus node and carries out its effects. Events that come up
    /// meanwhile come after, so that entries are applied in their order. False when the disk failed or
    /// what was agreed on can't be read: then nothing may be answered any more.
    pub fn agree_on(&mut self, ev: Event) -> bool {
        self.due.push_back(ev);
        if self.carrying_out {
            return true;
        }
        self.carrying_out = true;
        while let Some(ev) = self.due.pop_front() {
            if let Err(e) = self.handle_event(ev) {
                spdlog::error!("{}", e);
                return false;
            }
        }
        self.carrying_out = false;
        true
    }

    fn handle_event(&mut self, ev: Event) -> NodeResult<()> {
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
                events.into_iter().for_each(|e| self.answer_event(e));
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
        events.into_iter().for_each(|e| self.answer_event(e));
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

    /// Answers whoever waited for an event, or publishes what it changed.
    pub(super) fn answer_event(&mut self, event: ActorEvent) {
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
}

fn encode_bytes<T: Serialize>(value: &T) -> ByteBuf {
    ByteBuf::from(Vec::from(encode(value)))
}

fn unreadable(e: &UnreadableState) -> NodeError {
    NodeError::Damaged { file: "agreement".into(), offset: e.index, reason: e.to_string() }
}
