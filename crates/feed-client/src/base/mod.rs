//! Makes configurations that came as differences whole again, and watches that changes of zones follow on.
use crate::prelude::*;

/// Invariant: `last` is the configuration the followed feed sent last.
#[derive(Debug, Default)]
pub struct PatchBase {
    last: Option<LastConfig>,
}

#[derive(Debug)]
struct LastConfig {
    index: u64,
    version: u64,
    body: ByteBuf,
}

impl PatchBase {
    /// The item, with a difference made whole; none when it isn't one to what was sent last.
    pub fn whole(&mut self, item: FeedItem) -> Option<FeedItem> {
        match item {
            FeedItem::Config { index, version, ref body } => {
                self.last = Some(LastConfig { index, version, body: body.clone() });
                Some(item)
            }
            FeedItem::ConfigPatch { index, version, base, patch } => {
                let old = self.last.as_ref().filter(|last| last.version == base)?;
                let body = ByteBuf::from(patch.apply(&old.body)?);
                self.last = Some(LastConfig { index, version, body: body.clone() });
                Some(FeedItem::Config { index, version, body })
            }
            _ => Some(item),
        }
    }

    /// The log index of the configuration sent last.
    pub fn index(&self) -> Option<u64> {
        self.last.as_ref().map(|last| last.index)
    }
}

/// Invariant: `at` holds, for each zone, the latest state that the follower was brought to. It outlives
/// links, as the follower's view does.
#[derive(Debug, Default)]
pub struct ZoneSteps {
    at: HashMap<String, ZoneVersion>,
}

impl ZoneSteps {
    /// The latest state of each zone that the follower was brought to.
    pub fn reached(&self) -> BTreeMap<String, ZoneVersion> {
        self.at.iter().map(|(zone, version)| (zone.clone(), *version)).collect()
    }

    /// Whether the follower can take the item: false for a change of a zone that doesn't follow on what it
    /// was brought to before.
    pub fn follows(&mut self, item: &FeedItem) -> bool {
        match item {
            FeedItem::Zone(table) => {
                let at = self.at.entry(table.zone.clone()).or_insert_with(|| table.version());
                *at = table.version().max(*at);
                true
            }
            FeedItem::ZoneChange(change) => match self.at.get_mut(&change.zone) {
                Some(at) if *at >= change.version => true,
                Some(at) if *at == change.base => {
                    *at = change.version;
                    true
                }
                _ => false,
            },
            _ => true,
        }
    }
}
