//! The cell's regular duties, and the leader's.
use super::run::Actor;
use super::trial::running_trial;
use crate::prelude::*;
use node_runtime::settings::CELL_PORT;

impl Actor {
    pub fn duties(&mut self, now: Instant) -> bool {
        let vouches = self.driver.vouches();
        self.feed.heartbeat(now, vouches, &self.settings.now().bounds);
        self.orders.retain_readers(|r| !r.is_gone());
        for t in self.zones.due(now, self.orders.state(), self.driver.me.id) {
            self.send_change(t.newest(), t);
        }
        if self.ending.is_some() {
            self.members.leaves(self.driver.me.id);
        }
        if !self.driver.leads() {
            self.announce_leaving();
            self.request_membership(now);
            self.forward_outcomes(now);
            return true;
        }
        let all_agreed = self.driver.node.commit == self.driver.node.log.last();
        if !all_agreed || !self.driver.ready_to_serve() {
            // One thing at a time: what was proposed last isn't agreed on yet.
            return true;
        }
        let bounds = self.membership_bounds();
        self.members.forget_old(now, &bounds, self.driver.members());
        self.lead_duties(now) && self.hand_over()
    }

    /// A cell that is no member, or hears no leader, asks to be taken in.
    fn request_membership(&mut self, now: Instant) {
        let bounds = self.membership_bounds();
        if !self.members.join_due(now, &bounds) {
            return;
        }
        let in_contact = self.driver.contact_within(bounds.replace_after);
        let known = self.driver.membership_lists_me();
        if in_contact && known || self.ending.is_some() {
            return;
        }
        let settings = self.settings.now();
        let mut addrs: BTreeSet<String> = settings
            .seeds
            .iter()
            .map(|s| settings.inner_addr(&s.ip().to_string(), CELL_PORT))
            .collect();
        addrs.extend(self.driver.members().iter().map(|m| m.addr.clone()));
        addrs.remove(&self.driver.me.addr);
        for a in addrs {
            let member = self.driver.me.clone();
            let caller = self.links.caller(&a);
            tokio::spawn(async move {
                let asked = caller.call::<_, CellReply>(&CellCall::ReadIndex, bounds.replace_after);
                let index = asked.await;
                if let Ok(CellReply::Index(read_at)) = index {
                    caller.tell(&CellCall::Join { member, read_at });
                }
            });
        }
    }

    fn lead_duties(&mut self, now: Instant) -> bool {
        if let Some(end) = self.trial.judge(self.orders.state()) {
            return self.change(&end, None);
        }
        let bounds = self.membership_bounds();
        if let Some(next) = self.members.next(&self.driver, &self.policy(), &bounds, now) {
            return self.propose(Body::Membership(next), None);
        }
        if let Some(holders) = self.next_zone_holders(now) {
            return self.change(&Change::PutHolders { holders }, None);
        }
        let calm = self.members.led_for(now);
        let tolerated = self.settings.now().tolerated.stores();
        let bounds = RecoveryBounds::from_catch_up(self.settings.now().bounds.catch_up);
        let current = &self.orders.state().stores;
        if let Some(set) = self.stores.next(current, now, calm, tolerated, &bounds) {
            info!("store set {} with {} stores", set.version, set.stores.len());
            let change = Change::PutStores { base: self.orders.state().stores.version, set };
            return self.change(&change, None);
        }
        true
    }

    fn membership_bounds(&self) -> MembershipBounds {
        MembershipBounds::from_settings(&self.settings.now().bounds)
    }

    fn policy(&self) -> CorePolicy {
        let regions = self.settings.now().zones.clone().into_iter().collect();
        CorePolicy { tolerated: self.settings.now().tolerated, regions }
    }

    fn next_zone_holders(&self, now: Instant) -> Option<BTreeMap<String, u64>> {
        let zones: BTreeSet<String> = self.settings.now().zones.keys().cloned().collect();
        let holder_silent = self.membership_bounds().holder_silent;
        let alive = |id: u64| {
            !self.members.is_leaving(id)
                && self.members.silent(id, &self.driver, now) < holder_silent
        };
        next_holders(&self.orders.state().holders, &zones, self.driver.members(), alive)
    }

    /// A store's status report goes to the leader.
    pub fn announced(&mut self, status: StoreStatus) {
        if self.driver.leads() {
            self.stores.announced(status);
        } else if let Some(l) = self.leader_addr() {
            self.links.caller(&l).tell(&CellCall::Announce { status });
        }
    }

    /// Reports of nodes that follow this cell: they go to the leader, or from it to another cell.
    pub fn took_outcomes(&mut self, reports: Vec<NodeReport>) {
        let reports = self.trial.keep(self.orders.state(), reports);
        if reports.is_empty() {
            return;
        }
        let to = match self.driver.leads() {
            true => self.last_contacted(),
            false => self.leader_addr(),
        };
        if let Some(a) = to {
            self.links.caller(&a).tell(&CellCall::Outcomes { reports });
        }
    }

    /// The other member that this leader had contact with last.
    fn last_contacted(&self) -> Option<String> {
        let others = self.driver.members().iter().filter(|m| m.id != self.driver.me.id);
        others.max_by_key(|m| self.driver.node.last_contact_with(m.id)).map(|m| m.addr.clone())
    }

    fn forward_outcomes(&mut self, now: Instant) {
        let (Some(_), Some(id)) = (running_trial(self.orders.state()), self.driver.node.leader)
        else {
            return;
        };
        let Some(l) = self.leader_addr() else {
            return;
        };
        for reports in self.trial.due_to(id, now) {
            self.links.caller(&l).tell(&CellCall::Outcomes { reports });
        }
    }
}
