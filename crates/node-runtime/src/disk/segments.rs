//! A log in segments: records are appended, synced, and only then acknowledged.
use super::chain::{read_chain, segment_path, SegmentChain};
use super::format::{push_record, restamp_records, SegmentHeader, HEADER_LEN};
use super::retry::{io_error, Patience};
use crate::prelude::*;

/// Room that an emptied buffer keeps.
const KEPT_ROOM: usize = 1 << 20;

/// A log in one folder, open for appending.
///
/// Invariants: a segment is begun by its synced header, and its name is synced too, before a record
/// goes into it; only the newest segment is written; `synced <= written`; `unsynced` holds every
/// record since the last successful sync; a file whose write or sync failed is never written again,
/// its unsynced records go into a new segment.
pub struct SegmentLog {
    disk: Arc<dyn DiskOps>,
    dir: PathBuf,
    file: Box<dyn DiskFile>,
    number: u64,
    first: u64,
    has_beginning: bool,
    /// The greatest number that a file of this folder was made with.
    greatest: u64,
    synced: u64,
    unsynced: Vec<u8>,
}

impl SegmentLog {
    /// Opens the folder and hands every record, oldest first, to `on` with its segment's number.
    pub fn open(dir: &Path, on: impl FnMut(u64, &[u8])) -> NodeResult<Self> {
        SegmentLog::open_on(RealDisk::handle(), dir, on)
    }

    /// The same on a given disk.
    pub fn open_on(
        disk: Arc<dyn DiskOps>,
        dir: &Path,
        mut on: impl FnMut(u64, &[u8]),
    ) -> NodeResult<Self> {
        disk.create_folder(dir).map_err(|e| io_error(dir, e))?;
        let chain = read_chain(&*disk, dir, &mut on)?;
        for number in &chain.leftovers {
            let file = segment_path(dir, *number);
            disk.remove(&file).map_err(|e| io_error(&file, e))?;
        }
        let Some(number) = chain.segments.last().copied() else {
            return SegmentLog::begin_first(disk, dir, chain.greatest);
        };
        let moved = move_tail(&*disk, dir, number, &chain)?;
        let first = chain.segments[0];
        Ok(SegmentLog {
            disk,
            dir: dir.to_path_buf(),
            file: moved.file,
            number: chain.greatest + 1,
            first: if moved.replaces_first { chain.greatest + 1 } else { first },
            has_beginning: chain.has_beginning,
            greatest: chain.greatest + 1,
            synced: moved.len,
            unsynced: Vec::new(),
        })
    }

    fn begin_first(disk: Arc<dyn DiskOps>, dir: &Path, greatest: u64) -> NodeResult<Self> {
        let header = SegmentHeader { previous: 0, previous_end: 0 };
        let mut patience = Patience::default();
        let mut number = greatest;
        loop {
            number += 1;
            match begin_file(&*disk, dir, number, header) {
                Ok(file) => {
                    return Ok(SegmentLog {
                        disk,
                        dir: dir.to_path_buf(),
                        file,
                        number,
                        first: number,
                        has_beginning: true,
                        greatest: number,
                        synced: HEADER_LEN as u64,
                        unsynced: Vec::new(),
                    });
                }
                Err(e) => patience.spend(&*disk, e)?,
            }
        }
    }

    /// Adds a record; it is kept once `sync` has succeeded.
    pub fn append(&mut self, body: &[u8]) {
        push_record(&mut self.unsynced, body, self.synced);
    }

    /// Whether something waits for a sync.
    pub fn unsynced(&self) -> bool {
        !self.unsynced.is_empty()
    }

    /// Writes what was appended and syncs it; only then may it be acknowledged.
    ///
    /// Waits while the disk is full, and moves to a new segment when the file can't be relied on any
    /// more; an error means that nothing more can be done and the process must end.
    pub fn sync(&mut self) -> NodeResult<()> {
        let mut patience = Patience::default();
        while self.unsynced() {
            if let Err(e) = self.try_sync() {
                patience.spend(&*self.disk, e)?;
                self.begin_next(&mut patience)?;
            }
        }
        Ok(())
    }

    fn try_sync(&mut self) -> NodeResult<()> {
        self.file
            .write_at(self.synced, &self.unsynced)
            .and_then(|()| self.file.sync())
            .map_err(|e| io_error(&segment_path(&self.dir, self.number), e))?;
        self.synced += self.unsynced.len() as u64;
        self.unsynced.clear();
        self.unsynced.shrink_to(KEPT_ROOM);
        Ok(())
    }

    /// Bytes of the newest segment, those not yet written included.
    pub fn segment_len(&self) -> u64 {
        self.synced + self.unsynced.len() as u64
    }

    /// The newest segment's number.
    pub fn segment_no(&self) -> u64 {
        self.number
    }

    /// The oldest segment's number.
    pub fn first_no(&self) -> u64 {
        self.first
    }

    /// Whether no segment was ever removed.
    pub fn has_beginning(&self) -> bool {
        self.has_beginning
    }

    /// Closes the segment and begins the next.
    pub fn rotate(&mut self) -> NodeResult<()> {
        self.sync()?;
        self.begin_next(&mut Patience::default())
    }

    /// Begins a segment after what is synced of this one; unsynced records go on into it.
    fn begin_next(&mut self, patience: &mut Patience) -> NodeResult<()> {
        let header = SegmentHeader { previous: self.number, previous_end: self.synced };
        loop {
            self.greatest += 1;
            match begin_file(&*self.disk, &self.dir, self.greatest, header) {
                Ok(file) => {
                    self.file = file;
                    self.number = self.greatest;
                    self.synced = HEADER_LEN as u64;
                    self.unsynced = restamp_records(&self.unsynced, self.synced);
                    return Ok(());
                }
                Err(e) => patience.spend(&*self.disk, e)?,
            }
        }
    }

    /// Removes closed segments below `number`.
    pub fn drop_below(&mut self, number: u64) -> NodeResult<()> {
        let end = number.min(self.number);
        if self.first >= end {
            return Ok(());
        }
        for n in self.first..end {
            let path = segment_path(&self.dir, n);
            match self.disk.remove(&path) {
                Err(e) if e.kind() != std::io::ErrorKind::NotFound => {
                    return Err(io_error(&path, e));
                }
                _ => {}
            }
        }
        self.first = end;
        self.has_beginning = false;
        self.disk.sync_folder(&self.dir).map_err(|e| io_error(&self.dir, e))
    }
}

/// The segment that a start begins.
struct MovedTail {
    file: Box<dyn DiskFile>,
    len: u64,
    /// The only segment before it held no record.
    replaces_first: bool,
}

/// Puts what may not be on disk into a new segment, which has its name only once it is synced whole.
/// It isn't synced where it stands: the sync of the process before may have failed, and then a sync
/// alone brings nothing to the disk; nor written again there, as a tear would harm what is.
fn move_tail(
    disk: &dyn DiskOps,
    dir: &Path,
    number: u64,
    chain: &SegmentChain,
) -> NodeResult<MovedTail> {
    let old = segment_path(dir, number);
    let place = segment_path(dir, chain.greatest + 1);
    let fresh = place.with_extension("new");
    let header = chain.surely_synced;
    let data = disk.read_start(&old, chain.last_end).map_err(|e| io_error(&old, e))?;
    let mut bytes = header.encode().to_vec();
    if header.previous == number {
        let tail = &data[header.previous_end as usize..];
        bytes.extend(restamp_records(tail, HEADER_LEN as u64));
    }
    let mut patience = Patience::default();
    let file = loop {
        let made = disk.open(&fresh).and_then(|mut file| {
            file.set_len(0)?;
            file.write_at(0, &bytes)?;
            file.sync()?;
            Ok(file)
        });
        match made {
            Ok(file) => break file,
            Err(e) => {
                let _ = disk.remove(&fresh);
                patience.spend(disk, io_error(&fresh, e))?;
            }
        }
    };
    disk.rename(&fresh, &place).map_err(|e| io_error(&place, e))?;
    disk.sync_folder(dir).map_err(|e| io_error(dir, e))?;
    let replaces_first = header.previous != number && chain.segments.len() == 1;
    Ok(MovedTail { file, len: bytes.len() as u64, replaces_first })
}

/// Makes a segment's file with its header; both the bytes and the name last. What a failure leaves
/// is removed if the disk lets it, and else at the next start.
fn begin_file(
    disk: &dyn DiskOps,
    dir: &Path,
    number: u64,
    header: SegmentHeader,
) -> NodeResult<Box<dyn DiskFile>> {
    let path = segment_path(dir, number);
    let begun = disk.open(&path).and_then(|mut file| {
        file.set_len(0)?;
        file.write_at(0, &header.encode())?;
        file.sync()?;
        disk.sync_folder(dir)?;
        Ok(file)
    });
    begun.map_err(|e| {
        let _ = disk.remove(&path);
        io_error(&path, e)
    })
}
