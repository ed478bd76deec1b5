//! Makes configurations that came as differences whole again.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Invariant: `last` is the configuration the followed feed told last, by serial.
#[derive(Debug, Default)]
pub struct PatchBase {
    last: Option<(u64, ByteBuf)>,
}

impl PatchBase {
    /// The item, with a difference made whole; none when it isn't one to what was told last.
    pub fn whole(&mut self, item: FeedItem) -> Option<FeedItem> {
        match item {
            FeedItem::Config { serial, ref body, .. } => {
                self.last = Some((serial, body.clone()));
                Some(item)
            }
            FeedItem::ConfigPatch { index, serial, base, patch } => {
                let (_, old) = self.last.as_ref().filter(|(s, _)| *s == base)?;
                let body = ByteBuf::from(patch.apply(old)?);
                self.last = Some((serial, body.clone()));
                Some(FeedItem::Config { index, serial, body })
            }
            _ => Some(item),
        }
    }
}
