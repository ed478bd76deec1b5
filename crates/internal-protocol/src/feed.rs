//! The numbered feed from a cell to agents and stores, and from an agent to its proxy.
use crate::patch::Patch;
use crate::prelude::*;
use crate::stores::{StoreSet, StoreStatus};
pub use crate::zones::{EngineEntry, ZoneChange, ZoneChangeOutcome, ZoneTable, ZoneVersion};

/// What the feed carries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FeedItem {
    /// The operator's configuration, as it was sent, by log index.
    Config {
        /// The log index that brought it.
        index: u64,
        /// The operator's number for it.
        version: u64,
        /// As it was sent.
        body: ByteBuf,
    },
    /// The same as a difference to the configuration `base` that this feed sent last.
    ConfigPatch {
        /// The log index that brought it.
        index: u64,
        /// The operator's number for it.
        version: u64,
        /// The version that the patch is made from.
        base: u64,
        /// What differs.
        patch: Patch,
    },
    /// The store set in force.
    Stores(StoreSet),
    /// The engines of one zone.
    Zone(ZoneTable),
    /// What has changed of one zone's engines. It follows on what this feed sent of the zone before.
    ZoneChange(ZoneChange),
    /// Addresses of the cells, by log index, and in the same order the zone of each ("" where it
    /// isn't known yet).
    Cells {
        /// The log index of the membership.
        index: u64,
        /// Where the cells answer.
        addrs: Vec<String>,
        /// Their zones, in the same order.
        #[serde(default)]
        zones: Vec<String>,
    },
    /// All that was sent before is confirmed current by a majority of the core.
    Current,
    /// The cell is still followed by, or follows, a majority.
    #[serde(rename = "Beat")]
    Heartbeat,
    /// The routing trial that runs, or the last one, by log index, without its evidence.
    Trial {
        /// The log index that brought it.
        index: u64,
        /// As agreed on.
        trial: Box<TrialRecord>,
    },
}

/// What a follower needs of the feed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Topics {
    /// Everything.
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

    /// Whether a follower that wants `topics` is sent this item.
    pub fn is_of(&self, topics: Topics) -> bool {
        topics == Topics::All
            || !matches!(
                self,
                FeedItem::Config { .. }
                    | FeedItem::ConfigPatch { .. }
                    | FeedItem::Zone(_)
                    | FeedItem::ZoneChange(_)
                    | FeedItem::Trial { .. }
            )
    }
}

/// One item with its number in this cell's feed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Numbered {
    /// Counts the items of one feed, without a gap.
    pub no: u64,
    /// The item.
    pub item: FeedItem,
}

/// What a follower has from the feeds that it followed before. Versions name contents, whichever cell sent
/// them, so a follower that moves to another cell needs no more than what is newer there.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Holdings {
    /// The log index of the configuration that it has.
    pub config: Option<u64>,
    /// The state that it has of each zone.
    pub zones: BTreeMap<String, ZoneVersion>,
}

impl Holdings {
    /// Whether the item is among them.
    pub fn contain(&self, item: &FeedItem) -> bool {
        match item {
            FeedItem::Config { index, .. } => self.config == Some(*index),
            FeedItem::Zone(table) => self.zones.get(&table.zone) == Some(&table.version()),
            _ => false,
        }
    }
}

/// What a follower says to the cell that it follows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum FollowMsg {
    /// Which cells there are, and in which zones, as far as this one knows without asking the others. Sent
    /// before `Follow` by one who knows no more than its seeds, so that it takes its snapshot from the cell
    /// that it will stay with. Answered by one `Items` with `Cells`.
    AskCells,
    /// Opens the feed: `feed` and `no` name the place to go on from, when the cell still has it.
    Follow {
        /// The follower's node name.
        name: String,
        /// The feed that it followed before; 0 for none.
        feed: u64,
        /// The last item that it has.
        no: u64,
        /// What it needs.
        #[serde(default)]
        topics: Topics,
        /// It reads `ConfigPatch`.
        #[serde(default)]
        patches: bool,
        /// It reads `ZoneChange`.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        zone_changes: bool,
        /// What a snapshot may leave out.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        holdings: Option<Holdings>,
    },
    /// A store's report about itself.
    Announce {
        /// The report.
        status: StoreStatus,
    },
    /// What proxies counted of a routing trial, the newest report of each life.
    Outcomes {
        /// By node and life.
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

/// What a cell says to its followers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum FeedMsg {
    /// The number of the feed: a new one each life of a cell.
    Open {
        /// The number.
        feed: u64,
    },
    /// Items in their order.
    Items(Vec<Numbered>),
}
