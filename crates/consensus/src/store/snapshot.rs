//! The snapshot's file, and its writing beside the log.
use super::SNAPSHOT;
use crate::prelude::*;
use std::sync::{MutexGuard, PoisonError};

/// What the file holds.
///
/// Invariant: segment `log_from` was synced with its first record before the file was put in place.
#[derive(Default, Serialize, Deserialize)]
pub struct StoredSnapshot {
    /// The segment from which the snapshot's log begins.
    pub log_from: u64,
    /// Everything up to its index.
    pub snapshot: Snapshot,
}

impl StoredSnapshot {
    /// Reads the file; none where there is none.
    pub fn load(disk: &dyn DiskOps, dir: &Path) -> NodeResult<Option<Self>> {
        let Some(body) = load_snapshot_on(disk, dir, SNAPSHOT)? else {
            return Ok(None);
        };
        match decode(&body) {
            Some(stored) => Ok(Some(stored)),
            None => Err(NodeError::Damaged {
                file: dir.join(SNAPSHOT).display().to_string(),
                offset: 0,
                reason: "not a consensus snapshot of this version".into(),
            }),
        }
    }
}

/// Keeps an older snapshot from taking the place of a newer one.
///
/// Invariant: a write holds the lock while it runs, and runs only while it is the newest.
#[derive(Default)]
pub struct WriteOrder {
    newest: Arc<Mutex<u64>>,
}

impl WriteOrder {
    /// The write of a snapshot; those before it are waited for, or will not be run.
    pub fn next_write(
        &mut self,
        disk: Arc<dyn DiskOps>,
        dir: PathBuf,
        stored: &StoredSnapshot,
    ) -> SnapshotWrite {
        *lock(&self.newest) = stored.log_from;
        SnapshotWrite {
            disk,
            dir,
            body: encode(stored),
            log_from: stored.log_from,
            newest: self.newest.clone(),
            in_place: false,
        }
    }
}

fn lock(newest: &Mutex<u64>) -> MutexGuard<'_, u64> {
    newest.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A snapshot that is to be written; may be run on another thread.
pub struct SnapshotWrite {
    disk: Arc<dyn DiskOps>,
    dir: PathBuf,
    body: Bytes,
    log_from: u64,
    newest: Arc<Mutex<u64>>,
    in_place: bool,
}

impl SnapshotWrite {
    /// Writes the snapshot and puts it in place, unless a newer one has been begun.
    pub fn run(&mut self) -> NodeResult<()> {
        let newest = lock(&self.newest);
        if *newest != self.log_from {
            return Ok(());
        }
        save_snapshot_on(&*self.disk, &self.dir, SNAPSHOT, &self.body)?;
        self.in_place = true;
        Ok(())
    }

    /// Where the log begins now, if this snapshot was put in place.
    pub(super) fn log_from_if_in_place(&self) -> Option<u64> {
        self.in_place.then_some(self.log_from)
    }
}
