//! Until when each segment of the log is needed, and what must be written again before one is removed.
use crate::prelude::*;

/// How long a segment's records may matter at the least.
pub const SEGMENT_RETENTION: Duration = Duration::from_secs(240);

/// What is known of one segment.
#[derive(Debug, Clone, Copy)]
struct SegmentUse {
    /// When the last record was written into it.
    last_write: Duration,
    /// When its records are past the time that they were written for.
    until: Duration,
}

/// Segments that may be removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Removal {
    /// All segments below this one.
    pub below: u64,
    /// Their records were written up to here. What is still kept of them is owed for longer than was
    /// known when it was written, and is written again before the segments go.
    pub written_until: Duration,
}

/// Invariant: segments are in the order in which they were written.
#[derive(Debug, Default)]
pub struct SegmentUses(BTreeMap<u64, SegmentUse>);

impl SegmentUses {
    /// Segments that were there at the start: nothing is known of when they were written.
    pub fn found(numbers: impl Iterator<Item = u64>) -> Self {
        let found = SegmentUse { last_write: Duration::ZERO, until: SEGMENT_RETENTION };
        SegmentUses(numbers.map(|number| (number, found)).collect())
    }

    /// Records that are needed until `until` go into a segment.
    pub fn written(&mut self, number: u64, now: Duration, until: Duration) {
        let until = until.max(now + SEGMENT_RETENTION);
        let used = self.0.entry(number).or_insert(SegmentUse { last_write: now, until });
        used.last_write = now;
        used.until = used.until.max(until);
    }

    /// Which segments may be removed; never `newest`, which is being written.
    pub fn removable(&self, now: Duration, newest: u64) -> Option<Removal> {
        let needed = self.0.iter().find(|(_, used)| used.until > now);
        let below = needed.map_or(newest, |(number, _)| *number).min(newest);
        let written_until = self.0.range(..below).map(|(_, used)| used.last_write).max()?;
        Some(Removal { below, written_until })
    }

    /// They are gone.
    pub fn removed(&mut self, removal: Removal) {
        self.0.retain(|number, _| *number >= removal.below);
    }
}
