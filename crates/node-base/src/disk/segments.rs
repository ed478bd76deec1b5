//! A log in segments. A record is `magic, length, checksum, synced`, then its bytes; `synced` tells
//! how much of the segment was surely on disk when the record was written.
use crate::prelude::*;
use std::fs::{File, OpenOptions};
use std::io::{Seek, SeekFrom, Write};

const MAGIC: u32 = 0x5b0c_e5e9;
const HEAD: usize = 20;

/// Invariants: only the last segment may end in unsynced bytes; a segment is synced whole before the
/// next begins; `synced <= written`.
pub struct SegmentLog {
    dir: PathBuf,
    file: File,
    no: u64,
    first: u64,
    written: u64,
    synced: u64,
    buf: Vec<u8>,
}

fn io_err(what: &Path, e: std::io::Error) -> NodeError {
    NodeError::Io { what: what.display().to_string(), source: e }
}

fn seg_path(dir: &Path, no: u64) -> PathBuf {
    dir.join(format!("segment-{no:010}.log"))
}

pub fn sync_dir(dir: &Path) -> NodeResult<()> {
    let f = File::open(dir).map_err(|e| io_err(dir, e))?;
    f.sync_all().map_err(|e| io_err(dir, e))
}

enum Parsed<'a> {
    Record { body: &'a [u8], synced: u64, len: usize },
    End,
    Bad,
}

fn parse_at(data: &[u8], at: usize) -> Parsed<'_> {
    let rest = &data[at..];
    if rest.is_empty() {
        return Parsed::End;
    }
    if rest.len() < HEAD {
        return Parsed::Bad;
    }
    let word = |i: usize| u32::from_le_bytes([rest[i], rest[i + 1], rest[i + 2], rest[i + 3]]);
    let len = word(4) as usize;
    if word(0) != MAGIC || rest.len() - HEAD < len {
        return Parsed::Bad;
    }
    if crc32fast::hash(&rest[12..HEAD + len]) != word(8) {
        return Parsed::Bad;
    }
    let synced = u64::from(word(12)) | (u64::from(word(16)) << 32);
    Parsed::Record { body: &rest[HEAD..HEAD + len], synced, len: HEAD + len }
}

/// Where the sound part of the bytes ends; an error when bytes known to be synced are damaged.
fn sound_end(file: &Path, data: &[u8], last: bool, on: &mut dyn FnMut(&[u8])) -> NodeResult<u64> {
    let mut at = 0;
    loop {
        match parse_at(data, at) {
            Parsed::Record { body, len, .. } => {
                on(body);
                at += len;
            }
            Parsed::End => return Ok(at as u64),
            Parsed::Bad => break,
        }
    }
    let damaged = |reason: &str| {
        Err(NodeError::Damaged {
            file: file.display().to_string(),
            offset: at as u64,
            reason: reason.into(),
        })
    };
    if !last {
        return damaged("a bad record in a closed segment");
    }
    for p in at + 1..data.len().saturating_sub(HEAD) {
        if data[p..p + 4] != MAGIC.to_le_bytes() {
            continue;
        }
        if let Parsed::Record { synced, .. } = parse_at(data, p) {
            if synced > at as u64 {
                return damaged("a bad record before the last sync");
            }
        }
    }
    Ok(at as u64)
}

impl SegmentLog {
    /// Opens the folder and hands every sound record, oldest first, to `on` with its segment's number.
    pub fn open(dir: &Path, mut on: impl FnMut(u64, &[u8])) -> NodeResult<Self> {
        std::fs::create_dir_all(dir).map_err(|e| io_err(dir, e))?;
        let mut nos: Vec<u64> = Vec::new();
        for ent in std::fs::read_dir(dir).map_err(|e| io_err(dir, e))? {
            let ent = ent.map_err(|e| io_err(dir, e))?;
            let name = ent.file_name().to_string_lossy().to_string();
            if let Some(n) = name
                .strip_prefix("segment-")
                .and_then(|s| s.strip_suffix(".log"))
                .and_then(|s| s.parse().ok())
            {
                nos.push(n);
            }
        }
        nos.sort_unstable();
        let mut end = 0;
        // A freshly made last segment may be empty; then the one before it is still closed whole.
        for (i, no) in nos.iter().enumerate() {
            let p = seg_path(dir, *no);
            let data = std::fs::read(&p).map_err(|e| io_err(&p, e))?;
            let last = i + 1 == nos.len();
            end = sound_end(&p, &data, last, &mut |b| on(*no, b))?;
        }
        let no = nos.last().copied().unwrap_or(1);
        let first = nos.first().copied().unwrap_or(1);
        let p = seg_path(dir, no);
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(&p)
            .map_err(|e| io_err(&p, e))?;
        file.set_len(end).map_err(|e| io_err(&p, e))?;
        file.seek(SeekFrom::Start(end)).map_err(|e| io_err(&p, e))?;
        file.sync_all().map_err(|e| io_err(&p, e))?;
        sync_dir(dir)?;
        Ok(SegmentLog {
            dir: dir.to_path_buf(),
            file,
            no,
            first,
            written: end,
            synced: end,
            buf: Vec::new(),
        })
    }

    pub fn append(&mut self, body: &[u8]) {
        let start = self.buf.len();
        self.buf.extend_from_slice(&MAGIC.to_le_bytes());
        self.buf.extend_from_slice(&(body.len() as u32).to_le_bytes());
        self.buf.extend_from_slice(&[0; 4]);
        self.buf.extend_from_slice(&self.synced.to_le_bytes());
        self.buf.extend_from_slice(body);
        let crc = crc32fast::hash(&self.buf[start + 12..]);
        self.buf[start + 8..start + 12].copy_from_slice(&crc.to_le_bytes());
    }

    pub fn unsynced(&self) -> bool {
        !self.buf.is_empty() || self.written > self.synced
    }

    /// Writes what was appended and syncs it; only then may it be acknowledged.
    pub fn sync(&mut self) -> NodeResult<()> {
        if !self.unsynced() {
            return Ok(());
        }
        let p = seg_path(&self.dir, self.no);
        if !self.buf.is_empty() {
            self.file.write_all(&self.buf).map_err(|e| io_err(&p, e))?;
            self.written += self.buf.len() as u64;
            self.buf.clear();
            self.buf.shrink_to(1 << 20);
        }
        self.file.sync_data().map_err(|e| io_err(&p, e))?;
        self.synced = self.written;
        Ok(())
    }

    pub fn segment_len(&self) -> u64 {
        self.written + self.buf.len() as u64
    }

    pub fn segment_no(&self) -> u64 {
        self.no
    }

    pub fn first_no(&self) -> u64 {
        self.first
    }

    /// Closes the segment and begins the next.
    pub fn rotate(&mut self) -> NodeResult<()> {
        self.sync()?;
        self.no += 1;
        let p = seg_path(&self.dir, self.no);
        self.file = OpenOptions::new()
            .create(true)
            .truncate(true)
            .read(true)
            .write(true)
            .open(&p)
            .map_err(|e| io_err(&p, e))?;
        self.file.sync_all().map_err(|e| io_err(&p, e))?;
        self.written = 0;
        self.synced = 0;
        sync_dir(&self.dir)
    }

    /// Removes closed segments below `no`.
    pub fn drop_below(&mut self, no: u64) -> NodeResult<()> {
        let end = no.min(self.no);
        if self.first >= end {
            return Ok(());
        }
        for n in self.first..end {
            let p = seg_path(&self.dir, n);
            match std::fs::remove_file(&p) {
                Ok(()) => {}
                Err(e) if e.kind() == std::io::ErrorKind::NotFound => {}
                Err(e) => return Err(io_err(&p, e)),
            }
        }
        self.first = end;
        sync_dir(&self.dir)
    }
}

/// Looks through a folder's segments without changing anything; tells what is damaged. A torn end of
/// the last segment is no damage: it is cut off at the next start.
pub fn verify_segments(dir: &Path) -> Vec<String> {
    let mut out = Vec::new();
    let list = match std::fs::read_dir(dir) {
        Ok(l) => l,
        Err(e) => return vec![format!("{}: {e}", dir.display())],
    };
    let mut files: Vec<PathBuf> = list
        .flatten()
        .map(|e| e.path())
        .filter(|p| p.extension().is_some_and(|x| x == "log"))
        .collect();
    files.sort();
    for (i, p) in files.iter().enumerate() {
        match std::fs::read(p) {
            Err(e) => out.push(format!("{}: {e}", p.display())),
            Ok(data) => {
                let last = i + 1 == files.len();
                if let Err(e) = sound_end(p, &data, last, &mut |_| {}) {
                    out.push(e.to_string());
                }
            }
        }
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    fn tmp(name: &str) -> PathBuf {
        let d = std::env::temp_dir().join(format!("spokebank-seg-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&d);
        d
    }

    fn read_all(dir: &Path) -> NodeResult<Vec<Vec<u8>>> {
        let mut got = Vec::new();
        SegmentLog::open(dir, |_, b| got.push(b.to_vec()))?;
        Ok(got)
    }

    #[test]
    fn keeps_order_over_segments_and_drops_old_ones() {
        let d = tmp("order");
        let mut log = SegmentLog::open(&d, |_, _| {}).unwrap();
        for i in 0..10u8 {
            log.append(&[i; 5]);
            if i % 4 == 3 {
                log.rotate().unwrap();
            }
        }
        log.sync().unwrap();
        assert_eq!(read_all(&d).unwrap().len(), 10);
        log.drop_below(2).unwrap();
        assert_eq!(read_all(&d).unwrap().len(), 6);
        let _ = std::fs::remove_dir_all(&d);
    }

    /// Torn, missing or garbled bytes after the last sync are cut off, whatever they are; damage
    /// before it is said aloud.
    #[test]
    fn cuts_torn_tails_and_tells_damage() {
        let d = tmp("torn");
        for seed in 0..150u64 {
            arbtest::arbtest(|u| {
                let _ = std::fs::remove_dir_all(&d);
                let mut log = SegmentLog::open(&d, |_, _| {}).unwrap();
                let keep = u.int_in_range(1..=6)?;
                for i in 0..keep {
                    log.append(&vec![i as u8; u.int_in_range(0..=40)?]);
                    log.sync().unwrap();
                }
                let sure = log.segment_len() as usize;
                for _ in 0..u.int_in_range(1..=3)? {
                    log.append(&[7; 30]);
                }
                log.sync().unwrap();
                let p = seg_path(&d, 1);
                let mut data = std::fs::read(&p).unwrap();
                let hit = u.int_in_range(sure..=data.len() - 1)?;
                if u.arbitrary()? {
                    data.truncate(hit);
                } else {
                    data[hit] ^= 0x41;
                }
                std::fs::write(&p, &data).unwrap();
                let got = read_all(&d).unwrap();
                assert!(got.len() >= keep);
                // Opened again, the cut log is whole and takes more.
                let mut log = SegmentLog::open(&d, |_, _| {}).unwrap();
                log.append(b"more");
                log.sync().unwrap();
                assert_eq!(read_all(&d).unwrap().last().unwrap(), b"more");
                Ok(())
            })
            .seed(seed << 32 | 512);
        }
        let mut log = {
            let _ = std::fs::remove_dir_all(&d);
            SegmentLog::open(&d, |_, _| {}).unwrap()
        };
        for _ in 0..3 {
            log.append(&[1; 20]);
            log.sync().unwrap();
        }
        let p = seg_path(&d, 1);
        let mut data = std::fs::read(&p).unwrap();
        data[25] ^= 1;
        std::fs::write(&p, &data).unwrap();
        assert_eq!(verify_segments(&d).len(), 1);
        assert!(matches!(read_all(&d), Err(NodeError::Damaged { .. })));
        let _ = std::fs::remove_dir_all(&d);
    }
}
