//! What the feed tells of the agreed state.
use crate::prelude::*;

pub(super) fn config_item(state: &CellState) -> Option<FeedItem> {
    state.config.as_ref().map(|c| FeedItem::Config {
        index: c.index,
        version: c.version,
        body: c.body.clone(),
    })
}

pub(super) fn stores_item(state: &CellState) -> Option<FeedItem> {
    (state.stores.version > 0).then(|| FeedItem::Stores(state.stores.clone()))
}

pub(super) fn cells_item(index: u64, members: &[Member]) -> FeedItem {
    FeedItem::Cells {
        index,
        addrs: members.iter().map(|m| m.addr.clone()).collect(),
        zones: members.iter().map(|m| m.zone.clone()).collect(),
    }
}

pub(super) fn trial_item(state: &CellState) -> Option<FeedItem> {
    let trial = state.trial.as_ref()?.for_nodes();
    Some(FeedItem::Trial { index: state.trial_index, trial: Box::new(trial) })
}
