//! Makes configurations that came as differences whole again.
use crate::prelude::*;

/// Invariant: `last` is the configuration the followed feed sent last, by version.
#[derive(Debug, Default)]
pub struct PatchBase {
    last: Option<(u64, ByteBuf)>,
}

impl PatchBase {
    /// The item, with a difference made whole; none when it isn't one to what was sent last.
    pub fn whole(&mut self, item: FeedItem) -> Option<FeedItem> {
        match item {
            FeedItem::Config { version, ref body, .. } => {
                self.last = Some((version, body.clone()));
                Some(item)
            }
            FeedItem::ConfigPatch { index, version, base, patch } => {
                let (_, old) = self.last.as_ref().filter(|(s, _)| *s == base)?;
                let body = ByteBuf::from(patch.apply(old)?);
                self.last = Some((version, body.clone()));
                Some(FeedItem::Config { index, version, body })
            }
            _ => Some(item),
        }
    }
}
