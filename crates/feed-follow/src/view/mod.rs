//! The newest of everything the feed told.
use crate::prelude::*;

/// Invariant: no topic ever goes back: configurations and cells by log index, the store set by its
/// serial, an area by (epoch, seq).
#[derive(Debug, Clone, Default)]
pub struct FeedView {
    pub config: Option<(u64, u64, ByteBuf)>,
    pub stores: StoreSet,
    pub areas: BTreeMap<String, AreaTable>,
    pub cells: (u64, Vec<String>),
    /// A majority has confirmed the view at least once.
    pub current: bool,
}

impl FeedView {
    /// True when the item is news.
    pub fn take(&mut self, item: &FeedItem) -> bool {
        match item {
            FeedItem::Config { index, serial, body } => {
                let newer =
                    self.config.as_ref().is_none_or(|(i, s, _)| *index > *i && *serial > *s);
                if newer {
                    self.config = Some((*index, *serial, body.clone()));
                }
                newer
            }
            FeedItem::Stores(set) => {
                let newer = set.serial > self.stores.serial;
                if newer {
                    self.stores = set.clone();
                }
                newer
            }
            FeedItem::Area(t) => {
                let newer =
                    self.areas.get(&t.area).is_none_or(|o| (t.epoch, t.seq) > (o.epoch, o.seq));
                if newer {
                    self.areas.insert(t.area.clone(), t.clone());
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
        }
    }

    /// Everything, for one who begins.
    pub fn snapshot(&self) -> Vec<FeedItem> {
        let mut out = Vec::new();
        if let Some((index, serial, body)) = &self.config {
            out.push(FeedItem::Config { index: *index, serial: *serial, body: body.clone() });
        }
        if self.stores.serial > 0 {
            out.push(FeedItem::Stores(self.stores.clone()));
        }
        out.extend(self.areas.values().cloned().map(FeedItem::Area));
        out.push(FeedItem::Cells {
            index: self.cells.0,
            addrs: self.cells.1.clone(),
            zones: Vec::new(),
        });
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn config(index: u64, serial: u64) -> FeedItem {
        FeedItem::Config { index, serial, body: ByteBuf::new() }
    }

    fn area(epoch: u64, seq: u64) -> FeedItem {
        FeedItem::Area(AreaTable { area: "a".into(), epoch, seq, engines: Vec::new() })
    }

    /// A trace as two cells told it in turn, the second one behind the first.
    #[test]
    fn a_cell_that_is_behind_takes_nothing_back() {
        let mut v = FeedView::default();
        let trace = [
            (config(4, 10), true),
            (area(3, 7), true),
            (FeedItem::Current, true),
            (config(2, 6), false),
            (area(3, 6), false),
            (area(2, 99), false),
            (area(5, 1), true),
            (config(4, 10), false),
            (config(9, 12), true),
            (FeedItem::Current, false),
        ];
        for (i, (item, news)) in trace.iter().enumerate() {
            assert_eq!(v.take(item), *news, "row {i}");
        }
        assert_eq!(v.config.as_ref().map(|c| c.1), Some(12));
        let mut w = FeedView::default();
        for i in v.snapshot() {
            w.take(&i);
        }
        assert_eq!(w.areas, v.areas);
    }
}
