//! Publishes the agreed state and the zones' tables on the feed.
use super::items::{cells_item, config_item, stores_item, trial_item};
use super::run::Actor;
use crate::prelude::*;

/// A change of a zone that isn't answered within this is followed by the whole table.
const CHANGE_WITHIN: Duration = Duration::from_millis(500);

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

    /// The cells as this one knows them.
    pub fn cells(&self) -> FeedItem {
        cells_item(self.driver.node.log.membership_index(), self.driver.members())
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
        let cells = self.cells();
        let Actor { orders, zones, .. } = self;
        let state = orders.state();
        self.feed.open(from, || {
            let mut items: Vec<FeedItem> = Vec::new();
            items.extend(config_item(state));
            items.extend(stores_item(state));
            items.push(cells);
            items.extend(trial_item(state));
            items.extend(zones.tables().cloned().map(FeedItem::Zone));
            items
        })
    }

    pub fn listed(&mut self, zone: String, epoch: u64, engines: Vec<EngineEntry>) {
        if let Some(news) = self.zones.listed(zone, epoch, engines) {
            self.publish_zone(&news);
            let change = news.change.unwrap_or_else(|| news.table.newest());
            self.send_change(change, news.table);
        }
    }

    /// A holder's whole table.
    pub fn take_table(&mut self, table: ZoneTable) {
        if let Some(news) = self.zones.take(table) {
            self.publish_zone(&news);
        }
    }

    /// What a holder says has changed of its zone.
    pub fn take_zone_change(&mut self, change: ZoneChange) -> CellReply {
        match self.zones.take_change(change) {
            ZoneChangeTaken::Known => CellReply::Done,
            ZoneChangeTaken::TableNeeded => CellReply::TableNeeded,
            ZoneChangeTaken::Applied(news) => {
                self.publish_zone(&news);
                CellReply::Done
            }
        }
    }

    fn publish_zone(&mut self, news: &ZoneNews) {
        match &news.change {
            Some(change) => self.feed.publish_zone_change(change.clone(), &news.table),
            None => self.feed.publish(FeedItem::Zone(news.table.clone())),
        }
    }

    /// Brings the other cells to a zone's newest state: by the change, or by the whole `table` where that
    /// doesn't follow on what a cell has, or isn't answered.
    pub fn send_change(&mut self, change: ZoneChange, table: ZoneTable) {
        let change = encode(&CellCall::TableChange { change });
        let table = Arc::new(table);
        for m in self.driver.members() {
            if m.addr == self.driver.me.addr {
                continue;
            }
            let caller = self.links.caller(&m.addr);
            let (change, table) = (change.clone(), table.clone());
            tokio::spawn(async move {
                let answer = caller.call_bytes::<CellReply>(change, CHANGE_WITHIN).await;
                if !matches!(answer, Ok(CellReply::Done)) {
                    caller.tell(&CellCall::Table { table: ZoneTable::clone(&table) });
                }
            });
        }
    }
}
