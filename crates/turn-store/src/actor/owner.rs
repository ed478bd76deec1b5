//! The tables with the disk that they rest on. No task and no clock of its own, so that tests run it on a
//! simulated disk that loses power at any step.
use super::segments::SegmentUses;
use crate::prelude::*;

/// Where the identity lies in the store's folder, and the folder of the log.
const IDENTITY: &str = "identity";
const LOG: &str = "log";
/// The first set that is ever agreed on: before it nothing was kept.
const FIRST_VERSION: u64 = 1;

/// Invariant: at all versions of `caught_up` this disk had the complete history of the store's programs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct StoreIdentity {
    /// Drawn once for each disk.
    pub id: u64,
    /// The versions at which the store was caught up.
    pub caught_up: Option<VersionSpan>,
}

impl StoreIdentity {
    /// The identity of an empty disk. At the system's first start it has lost nothing; later it can't say
    /// what it lacks.
    pub fn new(id: u64, first_start: bool) -> Self {
        let founding = VersionSpan { from: FIRST_VERSION, to: FIRST_VERSION };
        StoreIdentity { id, caught_up: first_start.then_some(founding) }
    }
}

/// Invariants: nothing that a call changed is answered before `commit` has written it; what the store vouches
/// for is in its identity file before anybody is told; a segment is removed only once its records are past
/// the time that they were written for, and what is owed for longer was written again and synced.
///
/// After an error nothing may be answered any more: the process must end.
pub struct StoreOwner {
    disk: Arc<dyn DiskOps>,
    dir: PathBuf,
    identity: StoreIdentity,
    /// The tables; what a call changes in them is to be committed.
    pub tables: StoreTables,
    log: SegmentLog,
    segments: SegmentUses,
    segment_bytes: u64,
}

impl StoreOwner {
    /// Reads what is on the disk; an empty one is given the identity `if_empty`. `segment_bytes` bounds a
    /// segment of the log.
    pub fn open(
        disk: Arc<dyn DiskOps>,
        dir: &Path,
        if_empty: StoreIdentity,
        limits: Limits,
        segment_bytes: u64,
    ) -> NodeResult<Self> {
        let identity = match load_value_on(&*disk, dir, IDENTITY)? {
            Some(identity) => identity,
            None => {
                save_snapshot_on(&*disk, dir, IDENTITY, &encode(&if_empty))?;
                if_empty
            }
        };
        let mut tables = StoreTables::new(History::new(identity.id, identity.caught_up), limits);
        let mut unreadable = 0u64;
        let read = |_: u64, bytes: &[u8]| match decode::<LogRecord>(bytes) {
            Some(record) => tables.replay(record, Duration::ZERO),
            None => unreadable += 1,
        };
        let log = SegmentLog::open_on(disk.clone(), &dir.join(LOG), read)?;
        if unreadable > 0 {
            return Err(NodeError::Damaged {
                file: dir.display().to_string(),
                offset: 0,
                reason: format!("{unreadable} records can't be read"),
            });
        }
        let segments = SegmentUses::found(log.first_no()..=log.segment_no());
        let dir = dir.to_path_buf();
        Ok(StoreOwner { disk, dir, identity, tables, log, segments, segment_bytes })
    }

    /// The identity as it is on the disk.
    pub fn identity(&self) -> StoreIdentity {
        self.identity
    }

    /// Bytes of the segment that is being written.
    pub fn segment_len(&self) -> u64 {
        self.log.segment_len()
    }

    /// Takes a set, perhaps a newer one, and what follows from it for this store.
    pub fn learn(&mut self, set: StoreSet) -> NodeResult<SetUpdate> {
        let update = self.tables.history.learn(set);
        self.save_identity()?;
        Ok(update)
    }

    /// Store `from` has transferred everything, which is committed; true when this one is caught up by that.
    pub fn transferred(
        &mut self,
        version: u64,
        from: u64,
        caught_up: Option<VersionSpan>,
    ) -> NodeResult<bool> {
        let completed = self.tables.transferred(version, from, caught_up);
        self.save_identity()?;
        Ok(completed)
    }

    fn save_identity(&mut self) -> NodeResult<()> {
        let caught_up = self.tables.history.caught_up;
        if self.identity.caught_up != caught_up {
            self.identity.caught_up = caught_up;
            save_snapshot_on(&*self.disk, &self.dir, IDENTITY, &encode(&self.identity))?;
        }
        Ok(())
    }

    /// Writes and syncs what calls have changed; only then may they be answered.
    pub fn commit(&mut self, records: &[LogRecord], now: Duration) -> NodeResult<()> {
        if records.is_empty() {
            return Ok(());
        }
        let kept = records.iter().filter_map(LogRecord::turn).map(StoreTables::retention_of).max();
        records.iter().for_each(|record| self.log.append(&encode(record)));
        self.log.sync()?;
        // A faulty file may have sent them to a new segment.
        self.segments.written(self.log.segment_no(), now, now + kept.unwrap_or_default() * 2);
        if self.log.segment_len() > self.segment_bytes {
            self.log.rotate()?;
        }
        Ok(())
    }

    /// Drops what is past its time, and the segments that hold nothing else.
    pub fn sweep(&mut self, now: Duration) -> NodeResult<()> {
        self.tables.expire(now);
        let Some(removal) = self.segments.removable(now, self.log.segment_no()) else {
            return Ok(());
        };
        let owed = self.tables.rewrite_written_until(removal.written_until, now);
        self.commit(&owed, now)?;
        if let Err(e) = self.log.drop_below(removal.below) {
            spdlog::error!("{}", e);
        }
        self.segments.removed(removal);
        Ok(())
    }
}
