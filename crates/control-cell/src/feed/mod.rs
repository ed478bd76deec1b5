//! The feed publisher: the cell's numbered feed and those who follow it.
use crate::prelude::*;
use crate::state::TakenConfig;
use internal_protocol::feed_bounds::FeedBounds;
use node_runtime::settings::Bounds;

/// Encoded `FeedMsg::Items`.
pub type FeedReceiver = mpsc::Receiver<Bytes>;

/// Items kept for followers that come back.
pub const RETAINED_ITEMS: usize = 64;
/// Bytes of configurations among them: a few of the largest.
pub const RETAINED_BYTES: usize = 10 << 20;

/// The feed of one cell since it started.
///
/// Invariants: `no` is the newest number given; `recent` holds the newest items without a gap; a
/// follower that doesn't keep up is left out rather than waited for.
pub struct FeedLog {
    id: u64,
    no: u64,
    recent: VecDeque<Numbered>,
    followers: Vec<Follower>,
    /// The configuration published last, which the next one is published as a difference to.
    last_config: Option<TakenConfig>,
    next_heartbeats: [Instant; TOPICS.len()],
}

/// Followers get heartbeats by what they take.
const TOPICS: [Topics; 2] = [Topics::All, Topics::Stores];

struct Follower {
    request: FeedRequest,
    frames: mpsc::Sender<Bytes>,
}

impl Follower {
    /// It reads whole tables of zones only.
    fn is_older(&self) -> bool {
        !self.request.zone_changes
    }
}

/// What a follower takes.
#[derive(Debug, Clone, Copy)]
pub struct FeedRequest {
    /// The items it asks for.
    pub topics: Topics,
    /// It reads configurations as differences.
    pub patches: bool,
    /// It reads what has changed of a zone.
    pub zone_changes: bool,
}

/// Where a follower wants its feed to go on, and what it takes.
#[derive(Debug, Clone)]
pub struct FollowFrom {
    /// The feed it followed before.
    pub feed: u64,
    /// The newest number it has of it.
    pub no: u64,
    /// What it has of other feeds.
    pub holdings: Holdings,
    /// What it takes.
    pub request: FeedRequest,
}

/// A follower's feed, opened.
pub struct OpenedFeed {
    /// Frames from now on.
    pub items: FeedReceiver,
    /// The feed's identity.
    pub feed: u64,
}

impl Default for FeedLog {
    fn default() -> Self {
        FeedLog {
            id: fastrand::u64(1..),
            no: 0,
            recent: VecDeque::new(),
            last_config: None,
            followers: Vec::new(),
            next_heartbeats: [Instant::now(); TOPICS.len()],
        }
    }
}

impl FeedLog {
    /// How many follow.
    pub fn follower_count(&self) -> usize {
        self.followers.len()
    }

    /// The newest items, kept for followers that come back.
    pub fn recent(&self) -> impl DoubleEndedIterator<Item = &Numbered> {
        self.recent.iter()
    }

    /// Takes in a follower for what comes from now on.
    pub fn add_follower(&mut self, request: FeedRequest, frames: mpsc::Sender<Bytes>) {
        self.followers.push(Follower { request, frames });
    }

    /// Numbers an item and sends it to those who take it.
    pub fn publish(&mut self, item: FeedItem) {
        self.publish_either(item, None);
    }

    /// Publishes what has changed of a zone; followers that don't read changes are sent the whole table.
    pub fn publish_zone_change(&mut self, change: ZoneChange, table: &ZoneTable) {
        let has_older = self.followers.iter().any(Follower::is_older);
        let whole = has_older.then(|| FeedItem::Zone(table.clone()));
        self.publish_either(FeedItem::ZoneChange(change), whole);
    }

    fn publish_either(&mut self, item: FeedItem, whole: Option<FeedItem>) {
        self.no += 1;
        let n = Numbered { no: self.no, item };
        let whole = whole.map(|item| Numbered { no: self.no, item });
        self.send(&n, whole.as_ref());
        self.recent.push_back(n);
        let mut bytes: usize = self.recent.iter().map(|n| n.item.body_bytes()).sum();
        while self.recent.len() > RETAINED_ITEMS
            || (bytes > RETAINED_BYTES && self.recent.len() > 1)
        {
            let gone = self.recent.pop_front();
            bytes -= gone.map_or(0, |n| n.item.body_bytes());
        }
    }

    /// One frame for all followers: a large item isn't copied or encoded again for each. `whole` is for
    /// those that don't read changes of zones.
    fn send(&mut self, n: &Numbered, whole: Option<&Numbered>) {
        if self.followers.is_empty() {
            return;
        }
        let frame = frame_of(n);
        let whole = whole.map_or(frame.clone(), frame_of);
        let patch = matches!(n.item, FeedItem::ConfigPatch { .. });
        self.followers.retain(|f| match n.item.is_of(f.request.topics) {
            // One that reads no patches is let go, and begins anew from a snapshot.
            true if patch && !f.request.patches => false,
            true if f.is_older() => f.frames.try_send(whole.clone()).is_ok(),
            true => f.frames.try_send(frame.clone()).is_ok(),
            false => !f.frames.is_closed(),
        });
    }

    /// Publishes a configuration, as a difference to the one before where that is much smaller.
    pub fn publish_config(&mut self, config: &TakenConfig) {
        let TakenConfig { index, version, body } = config.clone();
        let last = self.last_config.replace(config.clone());
        let patch = last.map(|last| (last.version, Patch::between(&last.body, &body)));
        self.publish(match patch {
            Some((base, patch)) if patch.size() < body.len() / 2 => {
                FeedItem::ConfigPatch { index, version, base, patch }
            }
            _ => FeedItem::Config { index, version, body },
        });
    }

    /// Opens a follower's feed: from its place when it is still here, else from a `snapshot` without what it
    /// has already.
    pub fn open(
        &mut self,
        from: FollowFrom,
        snapshot: impl FnOnce() -> Vec<FeedItem>,
    ) -> OpenedFeed {
        let FollowFrom { feed, no, request, holdings } = from;
        let (tx, rx) = mpsc::channel(256);
        let oldest = self.recent.front().map_or(self.no + 1, |n| n.no);
        let mut items: Vec<Numbered> = Vec::new();
        let reads_recent = request.patches && request.zone_changes;
        if reads_recent && feed == self.id && no + 1 >= oldest && no <= self.no {
            items.extend(self.recent.iter().filter(|n| n.no > no).cloned());
        } else {
            let needed = snapshot().into_iter().filter(|item| !holdings.contain(item));
            items.extend(needed.map(|item| Numbered { no: self.no, item }));
        }
        items.push(Numbered { no: self.no, item: FeedItem::Current });
        items.retain(|n| n.item.is_of(request.topics));
        let _ = tx.try_send(encode(&FeedMsg::Items(items)));
        self.add_follower(request, tx);
        OpenedFeed { items: rx, feed: self.id }
    }

    /// Sends followers the heartbeats that are due: this cell still has a majority. Where it can't vouch for
    /// its state it lets them go at once.
    pub fn heartbeat(&mut self, now: Instant, vouches: bool, bounds: &Bounds) {
        if !vouches {
            self.followers.clear();
        }
        if self.followers.is_empty() {
            return;
        }
        for (topics, next) in TOPICS.into_iter().zip(&mut self.next_heartbeats) {
            // The clock of duties is coarse: one that is nearly due goes out now rather than late.
            if now + DUTY_EVERY / 2 < *next {
                continue;
            }
            *next = now + FeedBounds::from_settings(bounds, topics).heartbeat;
            let item = Numbered { no: self.no, item: FeedItem::Heartbeat };
            let frame = frame_of(&item);
            self.followers
                .retain(|f| f.request.topics != topics || f.frames.try_send(frame.clone()).is_ok());
        }
    }
}

/// One item as followers are sent it.
fn frame_of(item: &Numbered) -> Bytes {
    encode(&FeedMsg::Items(vec![item.clone()]))
}
