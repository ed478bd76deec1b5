//! Carries out what the agreement decides, after it was saved.
use super::pending::ConfirmedRead;
use super::run::{Actor, Reader};
use crate::prelude::*;

impl Actor {
    /// False when the disk failed.
    pub fn agree_on(&mut self, ev: Event) -> bool {
        let effects = match self.driver.handle(ev) {
            Ok(effects) => effects,
            Err(e) => {
                spdlog::error!("{}", e);
                return false;
            }
        };
        if let Some(l) = self.driver.node.leader.filter(|_| !self.driver.leads()) {
            self.members.follows(l);
        }
        effects.into_iter().all(|e| self.carry_out(e))
    }

    fn carry_out(&mut self, effect: Effect) -> bool {
        match effect {
            Effect::Send { to, msg } => self.send(to, msg),
            Effect::Apply(entry) => return self.apply(entry),
            Effect::Restore(snap) => return self.restore(&snap),
            Effect::Appended { token, at } => {
                if let Some(r) = self.orders.appended(token, at) {
                    let _ = r.send(CellReply::Unable);
                }
            }
            Effect::Confirmed { token, index } => {
                if let Some(r) = self.reads.take(token) {
                    self.confirmed(r, index);
                }
            }
            Effect::RoleIs(role) => {
                info!("role {:?} in term {}", role, self.driver.node.hard.term);
                self.role_changed();
            }
            Effect::SaveHardState(_) | Effect::SaveEntries { .. } | Effect::SaveSnapshot(_) => {}
        }
        true
    }

    fn role_changed(&mut self) {
        let leads = self.driver.leads();
        self.members.role_is(leads, self.driver.me.id);
        if leads {
            self.next_duty = Instant::now();
            return;
        }
        for r in self.orders.give_up() {
            let _ = r.send(CellReply::Unable);
        }
    }

    fn send(&mut self, to: u64, msg: Msg) {
        let known = self.driver.member_addr(to);
        let Some(addr) = known.or_else(|| self.links.addr_of(to)) else {
            return;
        };
        let me = &self.driver.me;
        let call = CellCall::Agree { from: me.id, addr: me.addr.clone(), msg };
        self.links.caller(&addr).tell(&call);
    }

    pub fn propose(&mut self, body: Body, reply: Option<oneshot::Sender<CellReply>>) -> bool {
        let token = self.orders.begin(reply);
        self.agree_on(Event::Propose { token, body })
    }

    /// Proposes a change of the agreed state.
    pub fn change(&mut self, change: &Change, reply: Option<oneshot::Sender<CellReply>>) -> bool {
        let body = Body::Command(ByteBuf::from(encode(change).to_vec()));
        self.propose(body, reply)
    }

    fn restore(&mut self, snap: &Snapshot) -> bool {
        let Some(state) = decode(&snap.data) else {
            spdlog::error!("the leader's snapshot can't be read: another version?");
            return false;
        };
        self.state = state;
        self.publish_state();
        true
    }

    fn apply(&mut self, entry: Entry) -> bool {
        let Entry { index, term, body } = entry;
        let outcome = match body {
            Body::Command(b) => decode::<Change>(&b).map(|c| self.apply_change(index, c)),
            Body::Membership(_) => {
                self.publish_cells(index);
                None
            }
            Body::Noop => None,
        };
        if let Some(settled) = self.orders.applied(index, term) {
            let ans = match outcome {
                Some(o) if settled.own => CellReply::Outcome(o),
                _ => CellReply::Unable,
            };
            let _ = settled.reply.send(ans);
        }
        for read in self.reads.ready(index) {
            self.serve_reader(ConfirmedRead { index, reader: read.reader });
        }
        if !self.driver.wants_snapshot(index) {
            return true;
        }
        let data = ByteBuf::from(encode(&self.state).to_vec());
        self.agree_on(Event::Compact { index, data })
    }

    fn apply_change(&mut self, index: u64, change: Change) -> Outcome {
        let publish = match &change {
            Change::PutConfig { .. } => Actor::publish_config,
            Change::PutStores { .. } => Actor::publish_stores,
            Change::PutTrial { .. } => Actor::publish_trial,
            Change::PutHolders { .. } => Actor::hold_zones,
        };
        let outcome = self.state.apply(index, change);
        if outcome == Outcome::Taken {
            publish(self);
        }
        outcome
    }

    /// Asks a majority whether this cell's view is current.
    pub fn confirm_for(&mut self, r: Reader) -> bool {
        let token = self.reads.begin(r);
        if self.driver.leads() {
            return self.agree_on(Event::Confirm { token });
        }
        let Some(addr) = self.leader_addr() else {
            if let Some(r) = self.reads.take(token) {
                self.confirmed(r, None);
            }
            return true;
        };
        let c = self.links.caller(&addr);
        let q = self.queue.clone();
        tokio::spawn(async move {
            let within = Duration::from_millis(1200);
            let index = match c.call::<_, CellReply>(&CellCall::Confirm, within).await {
                Ok(CellReply::Index(i)) => Some(i),
                _ => None,
            };
            let _ = q.send(CellCommand::ForwardConfirmed { token, index }).await;
        });
        true
    }

    /// A read's index is known, or that it can't be confirmed.
    pub fn confirmed(&mut self, reader: Reader, index: Option<u64>) {
        match index {
            None => reader.refuse(),
            Some(index) if index <= self.driver.node.applied => {
                self.serve_reader(ConfirmedRead { index, reader });
            }
            Some(index) => self.reads.wait(ConfirmedRead { index, reader }),
        }
    }

    fn serve_reader(&mut self, read: ConfirmedRead<Reader>) {
        match read.reader {
            Reader::Config(tx) => {
                let body = self.state.config.as_ref().map(|c| Bytes::from(c.body.to_vec()));
                let _ = tx.send(Some(body));
            }
            Reader::Follow { feed, no, wants, reply } => {
                let _ = reply.send(Some(self.open_feed(feed, no, wants)));
            }
            Reader::Index(tx) => {
                let _ = tx.send(CellReply::Index(read.index));
            }
        }
    }
}
