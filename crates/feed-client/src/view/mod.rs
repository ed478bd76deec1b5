//! The newest of everything that the feed sent.
use crate::prelude::*;

/// The operator's configuration, as the feed brought it.
#[derive(Debug, Clone, PartialEq)]
pub struct ViewedConfig {
    /// Where it stands in the cells' log.
    pub index: u64,
    /// The operator's number for it.
    pub version: u64,
    /// The operator's text.
    pub body: ByteBuf,
}

/// The cells, as the feed brought them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ViewedCells {
    /// Where the list stands in the cells' log.
    pub index: u64,
    /// Each cell's address.
    pub addrs: Vec<String>,
}

/// The routing trial, as the feed brought it.
#[derive(Debug, Clone, PartialEq)]
pub struct ViewedTrial {
    /// Where its newest change stands in the cells' log.
    pub index: u64,
    /// The trial.
    pub record: Box<TrialRecord>,
}

/// Invariant: no topic ever goes back: configurations, cells and trials by log index, the store set by
/// its version, a zone by (epoch, seq).
#[derive(Debug, Clone, Default)]
pub struct FeedView {
    /// The newest configuration.
    pub config: Option<ViewedConfig>,
    /// The newest store set.
    pub stores: StoreSet,
    /// The newest table of each zone.
    pub zones: BTreeMap<String, ZoneTable>,
    /// The newest list of cells.
    pub cells: ViewedCells,
    /// The newest state of the routing trial.
    pub trial: Option<ViewedTrial>,
    /// A majority has confirmed the view at least once.
    pub current: bool,
}

impl FeedView {
    /// True when the item is newer than what is here.
    pub fn take(&mut self, item: &FeedItem) -> bool {
        match item {
            FeedItem::Config { index, version, body } => {
                let old = self.config.as_ref();
                let newer = old.is_none_or(|o| *index > o.index && *version > o.version);
                if newer {
                    let (index, version, body) = (*index, *version, body.clone());
                    self.config = Some(ViewedConfig { index, version, body });
                }
                newer
            }
            FeedItem::Stores(set) => {
                let newer = set.version > self.stores.version;
                if newer {
                    self.stores = set.clone();
                }
                newer
            }
            FeedItem::Zone(t) => {
                let newer =
                    self.zones.get(&t.zone).is_none_or(|o| (t.epoch, t.seq) > (o.epoch, o.seq));
                if newer {
                    self.zones.insert(t.zone.clone(), t.clone());
                }
                newer
            }
            FeedItem::ZoneChange(change) => {
                let table = self.zones.get_mut(&change.zone);
                table.is_some_and(|t| t.apply(change) == ZoneChangeOutcome::Applied)
            }
            FeedItem::Cells { index, addrs, .. } => {
                let newer = *index > self.cells.index || self.cells.addrs.is_empty();
                if newer {
                    self.cells = ViewedCells { index: *index, addrs: addrs.clone() };
                }
                newer
            }
            // The link makes it whole; alone it says nothing.
            FeedItem::ConfigPatch { .. } => false,
            FeedItem::Current => !std::mem::replace(&mut self.current, true),
            FeedItem::Heartbeat => false,
            FeedItem::Trial { index, trial } => {
                let newer = self.trial.as_ref().is_none_or(|o| *index > o.index);
                if newer {
                    self.trial = Some(ViewedTrial { index: *index, record: trial.clone() });
                }
                newer
            }
        }
    }

    /// Everything, for one who begins.
    pub fn snapshot(&self) -> Vec<FeedItem> {
        let mut out = Vec::new();
        if let Some(ViewedConfig { index, version, body }) = self.config.clone() {
            out.push(FeedItem::Config { index, version, body });
        }
        if self.stores.version > 0 {
            out.push(FeedItem::Stores(self.stores.clone()));
        }
        out.extend(self.zones.values().cloned().map(FeedItem::Zone));
        out.push(FeedItem::Cells {
            index: self.cells.index,
            addrs: self.cells.addrs.clone(),
            zones: Vec::new(),
        });
        if let Some(ViewedTrial { index, record }) = self.trial.clone() {
            out.push(FeedItem::Trial { index, trial: record });
        }
        out
    }
}
