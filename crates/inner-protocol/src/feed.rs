//! The numbered feed from a cell to agents and stores, and from an agent to its proxy.
use crate::patch::Patch;
use crate::prelude::*;
use crate::stores::{StoreSet, StoreStatus};

/// An engine as the platform's list tells it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineEntry {
    pub id: String,
    pub service: String,
    pub addr: String,
    pub zone: String,
    pub slots: u32,
    pub draining: bool,
    pub cold_ms: u64,
}

/// All engines of an zone. Invariant: (`epoch`, `seq`) never goes back for an zone; `epoch` is the
/// log index that made the holder, `seq` counts that holder's tables.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneTable {
    pub zone: String,
    pub epoch: u64,
    pub seq: u64,
    pub engines: Vec<EngineEntry>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FeedItem {
    /// The operator's configuration, as it was sent, by log index.
    Config {
        index: u64,
        version: u64,
        body: ByteBuf,
    },
    /// The same as a difference to the configuration `base` that this feed told last.
    ConfigPatch {
        index: u64,
        version: u64,
        base: u64,
        patch: Patch,
    },
    Stores(StoreSet),
    Zone(ZoneTable),
    /// Addresses of the cells, by log index, and in the same order the zone of each ("" where it
    /// isn't known yet).
    Cells {
        index: u64,
        addrs: Vec<String>,
        #[serde(default)]
        zones: Vec<String>,
    },
    /// All that was sent before is confirmed current by a majority of the core.
    Current,
    /// The cell is still followed by, or follows, a majority.
    Beat,
    /// The routing trial that runs, or the last one, by log index, without its evidence.
    Trial {
        index: u64,
        trial: Box<TrialRecord>,
    },
}

/// What a follower needs of the feed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Topics {
    #[default]
    All,
    /// The store set and the cells: no configurations, no engines.
    Stores,
}

impl FeedItem {
    /// Bytes of a configuration's body; 0 for all else, which is small.
    pub fn body_bytes(&self) -> usize {
        match self {
            FeedItem::Config { body, .. } => body.len(),
            FeedItem::ConfigPatch { patch, .. } => patch.size(),
            _ => 0,
        }
    }

    /// Whether a follower that wants `topics` is told of this item.
    pub fn is_of(&self, topics: Topics) -> bool {
        topics == Topics::All
            || !matches!(
                self,
                FeedItem::Config { .. }
                    | FeedItem::ConfigPatch { .. }
                    | FeedItem::Zone(_)
                    | FeedItem::Trial { .. }
            )
    }
}

/// One item with its number in this cell's feed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Numbered {
    pub no: u64,
    pub item: FeedItem,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum FollowMsg {
    /// Opens the feed: `feed` and `no` name the place to go on from, when the cell still has it.
    Follow {
        name: String,
        feed: u64,
        no: u64,
        #[serde(default)]
        topics: Topics,
        /// It reads `ConfigPatch`.
        #[serde(default)]
        patches: bool,
    },
    Announce {
        status: StoreStatus,
    },
    /// What proxies counted of a routing trial, the newest report of each life.
    Outcomes {
        reports: Vec<NodeReport>,
    },
}

impl From<StoreStatus> for FollowMsg {
    fn from(status: StoreStatus) -> Self {
        FollowMsg::Announce { status }
    }
}

impl From<Vec<NodeReport>> for FollowMsg {
    fn from(reports: Vec<NodeReport>) -> Self {
        FollowMsg::Outcomes { reports }
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum FeedMsg {
    /// The number of the feed: a new one each life of a cell.
    Open {
        feed: u64,
    },
    Items(Vec<Numbered>),
}
