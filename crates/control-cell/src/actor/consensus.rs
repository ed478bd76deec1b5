//! Carries out what the agreement decides: disk first, then what may be said.
use super::work::{Actor, Reader};
use crate::prelude::*;

/// Entries above the snapshot before the next one is made.
const SNAPSHOT_EVERY: u64 = 256;

impl Actor {
    /// False when the disk failed.
    pub fn agree_on(&mut self, ev: Event) -> bool {
        let now = self.began.elapsed();
        let effects = self.consensus.handle(ev, now);
        if self.consensus.leader.is_some() && !self.consensus.leads() {
            self.last_leader = self.consensus.leader;
        }
        self.carry_out(effects)
    }

    fn carry_out(&mut self, effects: Vec<Effect>) -> bool {
        let mut dirty = false;
        for e in &effects {
            match e {
                Effect::SaveHardState(h) => {
                    self.disk.save_hard_state(*h);
                    dirty = true;
                }
                Effect::SaveEntries { from, entries } => {
                    self.disk.save_entries(*from, entries);
                    dirty = true;
                }
                Effect::SaveSnapshot(_) => {
                    if let Err(e) =
                        self.disk.save_snapshot(self.consensus.hard, &self.consensus.log)
                    {
                        spdlog::error!("{}", e);
                        return false;
                    }
                    dirty = false;
                }
                _ => {}
            }
        }
        if dirty {
            if let Err(e) = self.disk.sync() {
                spdlog::error!("{}", e);
                return false;
            }
        }
        for e in effects {
            match e {
                Effect::Send { to, msg } => self.send(to, msg),
                Effect::Apply(entry) => {
                    let ok = self.apply(entry);
                    if !ok {
                        return false;
                    }
                }
                Effect::Restore(snap) => {
                    let Some(state) = decode(&snap.data) else {
                        spdlog::error!("the leader's snapshot can't be read: another version?");
                        return false;
                    };
                    self.state = state;
                    if !self.publish_state() {
                        return false;
                    }
                }
                Effect::Appended { token, at } => self.was_appended(token, at),
                Effect::Confirmed { token, index } => {
                    if let Some(r) = self.unconfirmed.remove(&token) {
                        self.confirmed(r, index);
                    }
                }
                Effect::RoleIs(role) => {
                    info!("role {:?} in term {}", role, self.consensus.hard.term);
                    self.lead_since = self.consensus.leads().then(Instant::now);
                    if self.consensus.leads() {
                        self.old_leader = self.last_leader.filter(|l| *l != self.me.id);
                        self.next_duty = Instant::now();
                    }
                    if !self.consensus.leads() {
                        for (_, (_, r)) in self.placed.drain() {
                            let _ = r.send(CellReply::Unable);
                        }
                        for (_, r) in self.proposals.drain() {
                            let _ = r.send(CellReply::Unable);
                        }
                        self.joiners.clear();
                    }
                }
                _ => {}
            }
        }
        true
    }

    fn send(&mut self, to: u64, msg: Msg) {
        let known =
            self.consensus.log.members().iter().find(|m| m.id == to).map(|m| m.addr.clone());
        let Some(addr) = known.or_else(|| self.addrs.get(&to).cloned()) else {
            return;
        };
        let call = CellCall::Agree { from: self.me.id, addr: self.me.addr.clone(), msg };
        self.caller(&addr).tell(&call);
    }

    pub fn propose(&mut self, body: Body, reply: Option<oneshot::Sender<CellReply>>) -> bool {
        self.token += 1;
        let token = self.token;
        if let Some(r) = reply {
            self.proposals.insert(token, r);
        }
        self.agree_on(Event::Propose { token, body })
    }

    fn was_appended(&mut self, token: u64, at: Option<(u64, u64)>) {
        let Some(r) = self.proposals.remove(&token) else {
            return;
        };
        match at {
            Some((index, term)) => {
                self.placed.insert(index, (term, r));
            }
            None => {
                let _ = r.send(CellReply::Unable);
            }
        }
    }

    fn apply(&mut self, entry: Entry) -> bool {
        let Entry { index, term, body } = entry;
        let outcome = match body {
            Body::Command(b) => match decode::<Change>(&b) {
                Some(change) => {
                    let was_config = matches!(change, Change::PutConfig { .. });
                    let was_stores = matches!(change, Change::PutStores { .. });
                    let was_trial = matches!(change, Change::PutTrial { .. });
                    let out = self.state.apply(index, change);
                    if out == Outcome::Taken {
                        if was_config {
                            self.publish_config();
                        } else if was_stores {
                            self.publish_stores();
                        } else if was_trial {
                            self.publish_trial();
                        } else {
                            self.hold_zones();
                        }
                    }
                    Some(out)
                }
                None => None,
            },
            Body::Members(_) => {
                self.publish_cells(index);
                None
            }
            Body::Noop => None,
        };
        if let Some((t, r)) = self.placed.remove(&index) {
            let ans = match outcome {
                Some(o) if t == term => CellReply::Outcome(o),
                _ => CellReply::Unable,
            };
            let _ = r.send(ans);
        }
        let ready: Vec<(u64, Reader)> = {
            let (ready, wait) = std::mem::take(&mut self.unapplied)
                .into_iter()
                .partition(|(need, _)| *need <= index);
            self.unapplied = wait;
            ready
        };
        for (_, r) in ready {
            self.serve_reader(r, index);
        }
        if index - self.consensus.log.snap.index >= SNAPSHOT_EVERY || self.disk.wants_snapshot() {
            let data = ByteBuf::from(encode(&self.state).to_vec());
            return self.agree_on(Event::Compact { index, data });
        }
        true
    }

    /// Asks a majority whether this cell's view is current.
    pub fn confirm_for(&mut self, r: Reader) -> bool {
        self.token += 1;
        let token = self.token;
        self.unconfirmed.insert(token, r);
        if self.consensus.leads() {
            return self.agree_on(Event::Confirm { token });
        }
        let Some(addr) = self.leader_addr() else {
            if let Some(r) = self.unconfirmed.remove(&token) {
                self.confirmed(r, None);
            }
            return true;
        };
        let c = self.caller(&addr);
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

    pub fn confirmed(&mut self, r: Reader, index: Option<u64>) {
        match index {
            None => match r {
                Reader::Config(tx) => {
                    let _ = tx.send(None);
                }
                Reader::Follow { reply, .. } => {
                    let _ = reply.send(None);
                }
                Reader::Index(tx) => {
                    let _ = tx.send(CellReply::Unable);
                }
            },
            Some(i) if i <= self.consensus.applied => self.serve_reader(r, i),
            Some(i) => self.unapplied.push((i, r)),
        }
    }

    fn serve_reader(&mut self, r: Reader, index: u64) {
        match r {
            Reader::Config(tx) => {
                let body = self.state.config.as_ref().map(|c| Bytes::from(c.body.to_vec()));
                let _ = tx.send(Some(body));
            }
            Reader::Follow { feed, no, wants, reply } => {
                let _ = reply.send(Some(self.open_feed(feed, no, wants)));
            }
            Reader::Index(tx) => {
                let _ = tx.send(CellReply::Index(index));
            }
        }
    }
}
