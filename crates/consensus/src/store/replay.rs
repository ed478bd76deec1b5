//! Reads the log back onto its snapshot.
use super::snapshot::StoredSnapshot;
use crate::core::TermLog;
use crate::prelude::*;

/// What stands in the log.
#[derive(Serialize, Deserialize)]
pub enum Record {
    /// The newest term and vote.
    HardState(HardState),
    /// Entries that take the place of all from `from` on.
    Entries { from: u64, entries: Vec<Entry> },
    /// All that the log holds above a snapshot, as the snapshot's segment begins. It counts only
    /// once that snapshot is in place; the vote counts at any time.
    Begin { hard: HardState, entries: Vec<Entry> },
}

/// The state while the log is read.
pub struct Replay {
    begins_at: u64,
    has_snapshot: bool,
    /// The snapshot's segment has been read.
    begun: bool,
    unreadable: Option<u64>,
    hard: HardState,
    log: TermLog,
}

impl Replay {
    /// Begins from the snapshot in place, if there is one.
    pub fn from_snapshot(stored: Option<StoredSnapshot>) -> Self {
        let has_snapshot = stored.is_some();
        let StoredSnapshot { log_from, snapshot } = stored.unwrap_or_default();
        let mut replay = Replay {
            begins_at: log_from,
            has_snapshot,
            begun: !has_snapshot,
            unreadable: None,
            hard: HardState::default(),
            log: TermLog::default(),
        };
        replay.log.snap = snapshot;
        replay
    }

    /// The segment from which the log counts.
    pub fn begins_at(&self) -> u64 {
        self.begins_at
    }

    /// Takes the next record.
    pub fn take(&mut self, segment: u64, body: &[u8]) {
        if segment < self.begins_at {
            return;
        }
        match decode::<Record>(body) {
            Some(Record::HardState(hard)) => self.hard = hard,
            Some(Record::Entries { from, entries }) => {
                self.log.cut(from);
                let next = self.log.last() + 1;
                self.log.entries.extend(entries.into_iter().filter(|e| e.index >= next));
            }
            Some(Record::Begin { hard, entries }) => {
                self.hard = hard;
                // A start may have moved it to a later segment; it is the first one all the same.
                if self.has_snapshot && !self.begun {
                    self.log.entries = entries;
                    self.begun = true;
                }
            }
            None => self.unreadable = Some(segment),
        }
    }

    /// The vote and the log; an error where they aren't whole.
    pub fn finish(self, dir: &Path, has_beginning: bool) -> NodeResult<(HardState, TermLog)> {
        let damaged = |reason: String| {
            Err(NodeError::Damaged { file: dir.display().to_string(), offset: 0, reason })
        };
        if let Some(segment) = self.unreadable {
            return damaged(format!("segment {segment} holds a record of another version"));
        }
        if !self.begun {
            return damaged(format!(
                "segment {}, where the log begins, is missing",
                self.begins_at
            ));
        }
        if !self.has_snapshot && !has_beginning {
            return damaged("the snapshot before the oldest segment is missing".into());
        }
        let first = self.log.snap.index + 1;
        let whole = (first..).zip(&self.log.entries).all(|(index, e)| e.index == index);
        if !whole {
            return damaged("the log doesn't join its snapshot".into());
        }
        Ok((self.hard, self.log))
    }
}
