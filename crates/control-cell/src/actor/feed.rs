//! The feed publisher: the cell's numbered feed and those who follow it.
#[cfg(test)]
mod tests;

use crate::prelude::*;
use crate::state::TakenConfig;

/// Encoded `FeedMsg::Items`.
pub type FeedReceiver = mpsc::Receiver<Bytes>;

/// How often followers are told that this cell still has a majority.
const BEAT: Duration = Duration::from_millis(400);
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

    /// Tells a configuration, as a difference to the one told before where that is much smaller.
    pub fn publish_config(&mut self, config: &TakenConfig) {
        let (index, version, body) = (config.index, config.version, config.body.clone());
        let patch = self.told_config.take().map(|(base, old)| (base, Patch::between(&old, &body)));
        self.told_config = Some((version, body.clone()));
        self.publish(match patch {
            Some((base, patch)) if patch.size() < body.len() / 2 => {
                FeedItem::ConfigPatch { index, version, base, patch }
            }
            _ => FeedItem::Config { index, version, body },
        });
    }

    /// Opens a follower's feed: from its place when it is still here, else from `whole`.
    pub fn open(
        &mut self,
        feed: u64,
        no: u64,
        wants: Wants,
        whole: impl FnOnce() -> Vec<FeedItem>,
    ) -> (FeedReceiver, u64) {
        let (tx, rx) = mpsc::channel(256);
        let oldest = self.recent.front().map_or(self.no + 1, |n| n.no);
        let mut items: Vec<Numbered> = Vec::new();
        if wants.patches && feed == self.id && no + 1 >= oldest && no <= self.no {
            items.extend(self.recent.iter().filter(|n| n.no > no).cloned());
        } else {
            items.extend(whole().into_iter().map(|item| Numbered { no: self.no, item }));
        }
        items.push(Numbered { no: self.no, item: FeedItem::Current });
        items.retain(|n| n.item.is_of(wants.topics));
        let _ = tx.try_send(encode(&FeedMsg::Items(items)));
        self.followers.push((wants, tx));
        (rx, self.id)
    }

    /// Tells followers that this cell still has a majority, or lets them go.
    pub fn beat(&mut self, now: Instant, in_contact: bool) {
        if !in_contact {
            self.followers.clear();
        }
        if now < self.next_beat || self.followers.is_empty() {
            return;
        }
        self.next_beat = now + BEAT;
        self.send(&Numbered { no: self.no, item: FeedItem::Beat });
    }
}
