//! The consensus disk: votes and entries in a segmented log, the snapshot beside it. What holds
//! after a loss of power at each step stands in `docs/disk.md`.
#![deny(missing_docs)]
mod replay;
mod snapshot;

pub use snapshot::SnapshotWrite;

use crate::core::TermLog;
use crate::prelude::*;
use replay::{Record, Replay};
use snapshot::{StoredSnapshot, WriteOrder};

const SNAPSHOT: &str = "snapshot";
/// A log of more bytes than this is to be made into a snapshot.
const SEGMENT: u64 = 16 << 20;

/// Votes, entries and the snapshot of one member.
///
/// Invariants: the snapshot in place names the segment from which its log begins, and that segment
/// begins with all that the log held then; segments before it don't count and may be removed. A
/// snapshot is put in place after its segment is synced, and segments are removed after the snapshot
/// is.
pub struct ConsensusDisk {
    disk: Arc<dyn DiskOps>,
    dir: PathBuf,
    log: SegmentLog,
    order: WriteOrder,
}

impl ConsensusDisk {
    /// Reads what was saved. The disk was never used when the returned log and vote are empty.
    pub fn open(dir: &Path) -> NodeResult<(Self, HardState, TermLog)> {
        ConsensusDisk::open_on(RealDisk::handle(), dir)
    }

    /// The same on a given disk.
    pub fn open_on(disk: Arc<dyn DiskOps>, dir: &Path) -> NodeResult<(Self, HardState, TermLog)> {
        disk.create_folder(dir)
            .map_err(|e| NodeError::Io { what: dir.display().to_string(), source: e })?;
        let stored = StoredSnapshot::load(&*disk, dir)?;
        let mut replay = Replay::from_snapshot(stored);
        let folder = dir.join("log");
        let mut log = SegmentLog::open_on(disk.clone(), &folder, |segment, body| {
            replay.take(segment, body);
        })?;
        let begins_at = replay.begins_at();
        let (hard, term_log) = replay.finish(&folder, log.has_beginning())?;
        log.drop_below(begins_at)?;
        let order = WriteOrder::default();
        Ok((ConsensusDisk { disk, dir: dir.to_path_buf(), log, order }, hard, term_log))
    }

    /// Appends a term and vote; they last after the next sync.
    pub fn save_hard_state(&mut self, hard: HardState) {
        self.log.append(&encode(&Record::HardState(hard)));
    }

    /// Appends entries that take the place of all from `from` on; they last after the next sync.
    pub fn save_entries(&mut self, from: u64, entries: &[Entry]) {
        let record = Record::Entries { from, entries: entries.to_vec() };
        self.log.append(&encode(&record));
    }

    /// Brings what was appended to the disk; only then may it be acknowledged.
    pub fn sync(&mut self) -> NodeResult<()> {
        self.log.sync()
    }

    /// Puts the log's snapshot in place; what stands above it goes on. Nothing was acknowledged of
    /// an installed snapshot unless this has succeeded.
    pub fn save_snapshot(&mut self, hard: HardState, log: &TermLog) -> NodeResult<()> {
        let mut write = self.begin_snapshot(hard, log)?;
        write.run()?;
        self.finish_snapshot(write)
    }

    /// Begins the segment that belongs to a snapshot of the own log. The caller runs the write,
    /// perhaps on another thread, and then calls `finish_snapshot`; meanwhile the log goes on. A
    /// snapshot that was installed is put in place by `save_snapshot` only, because what follows it
    /// doesn't join the log before it.
    pub fn begin_snapshot(&mut self, hard: HardState, log: &TermLog) -> NodeResult<SnapshotWrite> {
        self.log.rotate()?;
        let begin = Record::Begin { hard, entries: log.entries.clone() };
        self.log.append(&encode(&begin));
        self.log.sync()?;
        let stored = StoredSnapshot { log_from: self.log.segment_no(), snapshot: log.snap.clone() };
        Ok(self.order.next_write(self.disk.clone(), self.dir.clone(), &stored))
    }

    /// Removes the segments that a written snapshot replaces.
    pub fn finish_snapshot(&mut self, write: SnapshotWrite) -> NodeResult<()> {
        match write.log_from_if_in_place() {
            Some(number) => self.log.drop_below(number),
            None => Ok(()),
        }
    }

    /// Whether the log has grown enough to be made into a snapshot.
    pub fn needs_snapshot(&self) -> bool {
        self.log.segment_len() > SEGMENT
    }
}
