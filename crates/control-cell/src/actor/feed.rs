//! The cell's numbered feed.
#[cfg(test)]
mod tests;

use super::handle::FeedReceiver;
use super::work::Actor;
use crate::prelude::*;

const KEPT: usize = 64;
/// Bytes of configurations among them: a few of the largest.
const KEPT_BYTES: usize = 10 << 20;

/// Invariants: `no` is the newest number given; `recent` holds the newest items without a gap; a
/// follower that doesn't keep up is left out rather than waited for.
pub(super) struct FeedBook {
    pub id: u64,
    pub no: u64,
    pub recent: VecDeque<Numbered>,
    pub followers: Vec<(Wants, mpsc::Sender<Bytes>)>,
    /// The configuration told last, which the next one is told as a difference to.
    pub told_config: Option<(u64, ByteBuf)>,
    pub next_beat: Instant,
}

/// What a follower takes.
#[derive(Debug, Clone, Copy)]
pub struct Wants {
    pub topics: Topics,
    pub patches: bool,
}

impl Default for FeedBook {
    fn default() -> Self {
        FeedBook {
            id: fastrand::u64(1..),
            no: 0,
            recent: VecDeque::new(),
            told_config: None,
            followers: Vec::new(),
            next_beat: Instant::now(),
        }
    }
}

impl FeedBook {
    pub fn publish(&mut self, item: FeedItem) {
        self.no += 1;
        let n = Numbered { no: self.no, item };
        self.send(&n);
        self.recent.push_back(n);
        let mut bytes: usize = self.recent.iter().map(|n| n.item.body_bytes()).sum();
        while self.recent.len() > KEPT || (bytes > KEPT_BYTES && self.recent.len() > 1) {
            let gone = self.recent.pop_front();
            bytes -= gone.map_or(0, |n| n.item.body_bytes());
        }
    }

    /// One frame for all followers: a large item isn't copied or encoded again for each.
    fn send(&mut self, n: &Numbered) {
        if self.followers.is_empty() {
            return;
        }
        let frame = encode(&FeedMsg::Items(vec![n.clone()]));
        let patch = matches!(n.item, FeedItem::ConfigPatch { .. });
        self.followers.retain(|(wants, f)| match n.item.is_of(wants.topics) {
            // One that reads no patches is let go, and begins anew from a snapshot.
            true if patch && !wants.patches => false,
            true => f.try_send(frame.clone()).is_ok(),
            false => !f.is_closed(),
        });
    }
}

impl Actor {
    pub fn publish_state(&mut self) -> bool {
        self.publish_config();
        self.publish_stores();
        let index = self.consensus.log.members_index();
        self.publish_cells(index);
        self.publish_trial();
        self.hold_zones();
        true
    }

    fn config_item(&self) -> Option<FeedItem> {
        self.state.config.as_ref().map(|c| FeedItem::Config {
            index: c.index,
            version: c.version,
            body: c.body.clone(),
        })
    }

    pub fn publish_config(&mut self) {
        let Some(c) = &self.state.config else {
            return;
        };
        let (index, version, body) = (c.index, c.version, c.body.clone());
        let patch =
            self.feed.told_config.take().map(|(base, old)| (base, Patch::between(&old, &body)));
        self.feed.told_config = Some((version, body.clone()));
        self.feed.publish(match patch {
            Some((base, patch)) if patch.size() < body.len() / 2 => {
                FeedItem::ConfigPatch { index, version, base, patch }
            }
            _ => FeedItem::Config { index, version, body },
        });
    }

    pub fn publish_stores(&mut self) {
        if self.state.stores.version > 0 {
            self.feed.publish(FeedItem::Stores(self.state.stores.clone()));
        }
    }

    pub fn publish_cells(&mut self, index: u64) {
        let item = self.cells_item(index);
        self.feed.publish(item);
    }

    fn cells_item(&self, index: u64) -> FeedItem {
        let members = self.consensus.log.members();
        FeedItem::Cells {
            index,
            addrs: members.iter().map(|m| m.addr.clone()).collect(),
            zones: members.iter().map(|m| m.zone.clone()).collect(),
        }
    }

    /// Opens a follower's feed: from its place when it is still here, else from a snapshot.
    pub fn open_feed(&mut self, feed: u64, no: u64, wants: Wants) -> (FeedReceiver, u64) {
        let (tx, rx) = mpsc::channel(256);
        let oldest = self.feed.recent.front().map_or(self.feed.no + 1, |n| n.no);
        let mut items: Vec<Numbered> = Vec::new();
        if wants.patches && feed == self.feed.id && no + 1 >= oldest && no <= self.feed.no {
            items.extend(self.feed.recent.iter().filter(|n| n.no > no).cloned());
        } else {
            let mut list: Vec<FeedItem> = Vec::new();
            list.extend(self.config_item());
            if self.state.stores.version > 0 {
                list.push(FeedItem::Stores(self.state.stores.clone()));
            }
            list.push(self.cells_item(self.consensus.log.members_index()));
            list.extend(self.trial_item());
            list.extend(self.tables.values().cloned().map(FeedItem::Zone));
            items.extend(list.into_iter().map(|item| Numbered { no: self.feed.no, item }));
        }
        items.push(Numbered { no: self.feed.no, item: FeedItem::Current });
        items.retain(|n| n.item.is_of(wants.topics));
        let _ = tx.try_send(encode(&FeedMsg::Items(items)));
        self.feed.followers.push((wants, tx));
        (rx, self.feed.id)
    }

    /// Tells followers that this cell still has a majority, or lets them go.
    pub fn beat_feed(&mut self, now: Instant) {
        if now < self.feed.next_beat || self.feed.followers.is_empty() {
            return;
        }
        let touch = self.consensus.last_contact();
        let fresh = touch.is_some_and(|t| self.began.elapsed() < t + Duration::from_millis(700));
        if !fresh {
            self.feed.followers.clear();
            return;
        }
        self.feed.next_beat = now + Duration::from_millis(400);
        let n = Numbered { no: self.feed.no, item: FeedItem::Beat };
        self.feed.send(&n);
    }

    // Zones.

    /// Which lists this cell reads.
    pub fn hold_zones(&mut self) {
        let mine = self
            .state
            .holders
            .iter()
            .filter(|(_, id)| **id == self.me.id)
            .map(|(a, _)| (a.clone(), self.state.epochs.get(a).copied().unwrap_or(0)))
            .collect();
        self.held.send_if_modified(|h| {
            let other = *h != mine;
            if other {
                *h = mine;
            }
            other
        });
    }

    pub fn listed(&mut self, zone: String, epoch: u64, engines: Vec<EngineEntry>) {
        let first = self.lives << 32;
        let seq = match self.tables.get(&zone) {
            Some(t) if t.epoch > epoch => return,
            Some(t) if t.epoch == epoch && t.seq >= first => {
                // What merely ages is no news.
                let same = t.engines.len() == engines.len()
                    && t.engines.iter().zip(&engines).all(|(a, b)| {
                        a.id == b.id
                            && a.addr == b.addr
                            && a.draining == b.draining
                            && a.service == b.service
                            && (a.cold_ms == 0) == (b.cold_ms == 0)
                    });
                if same {
                    return;
                }
                (t.seq + 1).max(first)
            }
            // A table of this cell's life before, or of another holder, is told anew whatever it says.
            _ => first,
        };
        let table = ZoneTable { zone, epoch, seq, engines };
        self.take_table(table.clone());
        self.tell_table(&table);
    }

    pub fn tell_table(&mut self, table: &ZoneTable) {
        let addrs: Vec<String> =
            self.consensus.log.members().iter().map(|m| m.addr.clone()).collect();
        for a in addrs {
            if a != self.me.addr {
                self.caller(&a).tell(&CellCall::Table { table: table.clone() });
            }
        }
    }

    pub fn take_table(&mut self, table: ZoneTable) {
        let newer = self
            .tables
            .get(&table.zone)
            .is_none_or(|t| (table.epoch, table.seq) > (t.epoch, t.seq));
        if newer {
            self.feed.publish(FeedItem::Zone(table.clone()));
            self.tables.insert(table.zone.clone(), table);
        }
    }
}
