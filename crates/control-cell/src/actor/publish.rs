//! Publishes the agreed state and the zones' tables on the feed.
use super::items::{cells_item, config_item, stores_item, trial_item};
use super::run::Actor;
use crate::prelude::*;

impl Actor {
    pub fn publish_state(&mut self) {
        self.publish_config();
        self.publish_stores();
        self.publish_cells(self.driver.node.log.membership_index());
        self.publish_trial();
        self.hold_zones();
    }

    pub fn publish_config(&mut self) {
        if let Some(c) = &self.orders.state().config {
            self.feed.publish_config(c);
        }
    }

    pub fn publish_stores(&mut self) {
        if let Some(item) = stores_item(self.orders.state()) {
            self.feed.publish(item);
        }
    }

    pub fn publish_cells(&mut self, index: u64) {
        self.feed.publish(cells_item(index, self.driver.members()));
    }

    pub fn publish_trial(&mut self) {
        if let Some(item) = trial_item(self.orders.state()) {
            self.trial.follow(self.orders.state());
            self.feed.publish(item);
        }
    }

    pub fn hold_zones(&mut self) {
        self.zones.hold(self.orders.state(), self.driver.me.id);
    }

    pub fn open_feed(&mut self, from: FollowFrom) -> OpenedFeed {
        let Actor { orders, driver, zones, .. } = self;
        let state = orders.state();
        self.feed.open(from, || {
            let mut items: Vec<FeedItem> = Vec::new();
            items.extend(config_item(state));
            items.extend(stores_item(state));
            items.push(cells_item(driver.node.log.membership_index(), driver.members()));
            items.extend(trial_item(state));
            items.extend(zones.tables().cloned().map(FeedItem::Zone));
            items
        })
    }

    pub fn listed(&mut self, zone: String, epoch: u64, engines: Vec<EngineEntry>) {
        if let Some(table) = self.zones.listed(zone, epoch, engines) {
            self.take_table(table.clone());
            self.send_table(&table);
        }
    }

    pub fn take_table(&mut self, table: ZoneTable) {
        if self.zones.take(&table) {
            self.feed.publish(FeedItem::Zone(table));
        }
    }

    pub fn send_table(&mut self, table: &ZoneTable) {
        for m in self.driver.members() {
            if m.addr != self.driver.me.addr {
                self.links.caller(&m.addr).tell(&CellCall::Table { table: table.clone() });
            }
        }
    }
}
