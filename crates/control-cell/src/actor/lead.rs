//! The cell's regular duties, and the leader's.
use super::work::Actor;
use crate::duties::may_retire;
use crate::prelude::*;
use node_base::settings::CELL_PORT;

const JOINER_KEPT: Duration = Duration::from_secs(2);
const LEAVING_KEPT: Duration = Duration::from_secs(6);

/// A holder that hasn't answered for this long gives its zones to another: the platform's list must be
/// read well within the time in which leaving engines are to be left alone.
const HOLDER_SILENT: Duration = Duration::from_millis(600);

impl Actor {
    fn lead_since_elapsed(&self) -> Option<Duration> {
        Some(self.lead_since?.duration_since(self.began))
    }

    pub fn duties(&mut self, now: Instant) -> bool {
        self.beat_feed(now);
        if now >= self.next_table {
            self.next_table = now + Duration::from_millis(2500);
            let mine: Vec<ZoneTable> = self
                .tables
                .values()
                .filter(|t| self.state.holders.get(&t.zone) == Some(&self.me.id))
                .cloned()
                .collect();
            for t in mine {
                self.tell_table(&t);
            }
        }
        if !self.consensus.leads() {
            self.ask_to_join(now);
            self.tell_leader_all(now);
            return true;
        }
        if self.consensus.commit < self.consensus.log.last() {
            // One thing at a time: what was proposed last isn't agreed on yet.
            return true;
        }
        self.joiners.retain(|_, (_, at)| now < *at + JOINER_KEPT);
        self.leaving.retain(|_, at| now < *at + LEAVING_KEPT);
        self.lead_duties(now)
    }

    /// A cell that is no member, or hears no leader, asks to be taken in.
    fn ask_to_join(&mut self, now: Instant) {
        if now < self.next_join {
            return;
        }
        self.next_join = now + Duration::from_millis(500);
        let heard = self
            .consensus
            .last_contact()
            .is_some_and(|t| self.began.elapsed() < t + Duration::from_millis(1500));
        let known = self.consensus.log.members().contains(&self.me);
        if heard && known || self.ending.is_some() {
            return;
        }
        let mut addrs: BTreeSet<String> = self
            .settings
            .seeds
            .iter()
            .map(|s| self.settings.inner_addr(&s.ip().to_string(), CELL_PORT))
            .collect();
        addrs.extend(self.consensus.log.members().iter().map(|m| m.addr.clone()));
        addrs.remove(&self.me.addr);
        for a in addrs {
            self.caller(&a).tell(&CellCall::Join { member: self.me.clone() });
        }
    }

    fn lead_duties(&mut self, now: Instant) -> bool {
        if let Some(end) = self.judge_trial() {
            return self.change(end);
        }
        let calm = self.lead_since.map_or(Duration::ZERO, |t| now.duration_since(t));
        let elapsed = self.began.elapsed();
        let silent = |id: u64| -> Duration {
            if id == self.me.id {
                return Duration::ZERO;
            }
            // The leader before was silent already when this one was elected.
            let before = match self.old_leader {
                Some(old) if old == id => Duration::from_secs(1),
                _ => Duration::ZERO,
            };
            match self.consensus.last_contact_with(id) {
                Some(t) if self.lead_since_elapsed().is_some_and(|s| t > s) => {
                    elapsed.saturating_sub(t)
                }
                _ => calm + before,
            }
        };
        let members = self.consensus.log.members().to_vec();

        // A founder's entry learns its name and zone when the cell itself tells them.
        let named: Vec<Member> = members
            .iter()
            .map(|m| match self.joiners.get(&m.id) {
                Some((j, _)) => j.clone(),
                None if m.id == self.me.id => self.me.clone(),
                None => m.clone(),
            })
            .collect();
        if named != members {
            return self.propose(Body::Members(named), None);
        }
        let joiners: Vec<Member> = self.joiners.values().map(|(m, _)| m.clone()).collect();
        if let Some(next) = next_members(&members, self.me.id, &joiners, silent) {
            return self.propose(Body::Members(next), None);
        }

        let zones: BTreeSet<String> = self.settings.zones.keys().cloned().collect();
        let alive = |id: u64| !self.leaving.contains_key(&id) && silent(id) < HOLDER_SILENT;
        if let Some(holders) = next_holders(&self.state.holders, &zones, &members, alive) {
            return self.change(Change::PutHolders { holders });
        }

        let seen: Vec<StoreObservation> = self
            .store_reports
            .values()
            .map(|(s, at)| StoreObservation { status: s.clone(), silent: now.duration_since(*at) })
            .collect();
        if let Some(set) =
            next_stores(&self.state.stores, &seen, calm, self.settings.tolerated.stores())
        {
            info!("store set {} with {} stores", set.version, set.stores.len());
            return self.change(Change::PutStores { base: self.state.stores.version, set });
        }
        true
    }

    fn change(&mut self, change: Change) -> bool {
        let body = Body::Command(ByteBuf::from(encode(&change).to_vec()));
        self.propose(body, None)
    }

    /// A store's word about itself goes to the leader.
    pub fn announced(&mut self, status: StoreStatus) {
        if self.consensus.leads() {
            self.store_reports.insert(status.id, (status, Instant::now()));
        } else if let Some(l) = self.leader_addr() {
            self.caller(&l).tell(&CellCall::Announce { status });
        }
    }

    pub fn retire(
        &mut self,
        store: String,
        ask_only: bool,
        reply: oneshot::Sender<CellReply>,
    ) -> bool {
        let set = &self.state.stores;
        let known = set.stores.iter().any(|s| s.name == store);
        let state = match set.retirement(&store) {
            Some(Retirement::Running) => RetireState::Running,
            Some(Retirement::Completed) => RetireState::Completed,
            None if ask_only || !known => RetireState::Unknown,
            None if !may_retire(set) => RetireState::TooFew,
            None => {
                let (base, next) = (set.version, set.begin_retirement(&store));
                let change = Change::PutStores { base, set: next };
                let body = Body::Command(ByteBuf::from(encode(&change).to_vec()));
                let (tx, rx) = oneshot::channel();
                tokio::spawn(async move {
                    let ans = match rx.await {
                        Ok(CellReply::Outcome(Outcome::Taken)) => {
                            CellReply::Retire(RetireState::Running)
                        }
                        _ => CellReply::Unable,
                    };
                    let _ = reply.send(ans);
                });
                return self.propose(body, Some(tx));
            }
        };
        let _ = reply.send(CellReply::Retire(state));
        true
    }
}
