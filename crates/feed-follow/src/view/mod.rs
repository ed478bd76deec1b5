//! The newest of everything the feed told.
use crate::prelude::*;

/// Invariant: no topic ever goes back: configurations, cells and trials by log index, the store set by
/// its version, an zone by (epoch, seq).
#[derive(Debug, Clone, Default)]
pub struct FeedView {
    pub config: Option<(u64, u64, ByteBuf)>,
    pub stores: StoreSet,
    pub zones: BTreeMap<String, ZoneTable>,
    pub cells: (u64, Vec<String>),
    /// The routing trial, by log index.
    pub trial: Option<(u64, Box<TrialRecord>)>,
    /// A majority has confirmed the view at least once.
    pub current: bool,
}

impl FeedView {
    /// True when the item is news.
    pub fn take(&mut self, item: &FeedItem) -> bool {
        match item {
            FeedItem::Config { index, version, body } => {
                let newer =
                    self.config.as_ref().is_none_or(|(i, s, _)| *index > *i && *version > *s);
                if newer {
                    self.config = Some((*index, *version, body.clone()));
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
            FeedItem::Cells { index, addrs, .. } => {
                let newer = *index > self.cells.0 || self.cells.1.is_empty();
                if newer {
                    self.cells = (*index, addrs.clone());
                }
                newer
            }
            // The link makes it whole; alone it says nothing.
            FeedItem::ConfigPatch { .. } => false,
            FeedItem::Current => !std::mem::replace(&mut self.current, true),
            FeedItem::Beat => false,
            FeedItem::Trial { index, trial } => {
                let newer = self.trial.as_ref().is_none_or(|(i, _)| index > i);
                if newer {
                    self.trial = Some((*index, trial.clone()));
                }
                newer
            }
        }
    }

    /// Everything, for one who begins.
    pub fn snapshot(&self) -> Vec<FeedItem> {
        let mut out = Vec::new();
        if let Some((index, version, body)) = &self.config {
            out.push(FeedItem::Config { index: *index, version: *version, body: body.clone() });
        }
        if self.stores.version > 0 {
            out.push(FeedItem::Stores(self.stores.clone()));
        }
        out.extend(self.zones.values().cloned().map(FeedItem::Zone));
        out.push(FeedItem::Cells {
            index: self.cells.0,
            addrs: self.cells.1.clone(),
            zones: Vec::new(),
        });
        if let Some((index, trial)) = &self.trial {
            out.push(FeedItem::Trial { index: *index, trial: trial.clone() });
        }
        out
    }
}
