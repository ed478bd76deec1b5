//! A snapshot is one file, put in place by a rename once it is synced. It begins with what it is,
//! its format's version, and a checksum of the rest.
use super::retry::{io_error, Patience};
use crate::prelude::*;

const MAGIC: u32 = 0x5b0c_54a9;
/// The format that this program writes and reads; another one is refused.
const VERSION: u32 = 1;
const HEAD: usize = 12;

/// Writes a snapshot and puts it in place of the one of that name; it lasts.
///
/// Waits while the disk is full. After an error either one may be in place.
pub fn save_snapshot(dir: &Path, name: &str, body: &[u8]) -> NodeResult<()> {
    save_snapshot_on(&RealDisk, dir, name, body)
}

/// The same on a given disk.
pub fn save_snapshot_on(disk: &dyn DiskOps, dir: &Path, name: &str, body: &[u8]) -> NodeResult<()> {
    let fresh = dir.join(format!("{name}.new"));
    let place = dir.join(name);
    let mut data = Vec::with_capacity(HEAD + body.len());
    data.extend_from_slice(&MAGIC.to_le_bytes());
    data.extend_from_slice(&VERSION.to_le_bytes());
    data.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    data.extend_from_slice(body);
    let mut patience = Patience::default();
    while let Err(e) = write_fresh(disk, &fresh, &data) {
        // A file whose sync failed isn't written again.
        let _ = disk.remove(&fresh);
        patience.spend(disk, io_error(&fresh, e))?;
    }
    disk.rename(&fresh, &place).map_err(|e| io_error(&place, e))?;
    disk.sync_folder(dir).map_err(|e| io_error(dir, e))
}

fn write_fresh(disk: &dyn DiskOps, path: &Path, data: &[u8]) -> std::io::Result<()> {
    let mut file = disk.open(path)?;
    file.set_len(0)?;
    file.write_at(0, data)?;
    file.sync()
}

/// Reads a snapshot; none where there is no file of that name.
pub fn load_snapshot(dir: &Path, name: &str) -> NodeResult<Option<Vec<u8>>> {
    load_snapshot_on(&RealDisk, dir, name)
}

/// The same on a given disk.
pub fn load_snapshot_on(disk: &dyn DiskOps, dir: &Path, name: &str) -> NodeResult<Option<Vec<u8>>> {
    let path = dir.join(name);
    let mut data = match disk.read_start(&path, u64::MAX) {
        Ok(data) => data,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(io_error(&path, e)),
    };
    let word =
        |at: usize| data.get(at..at + 4).map(|b| u32::from_le_bytes([b[0], b[1], b[2], b[3]]));
    let file = path.display().to_string();
    match (word(0), word(4)) {
        (Some(MAGIC), Some(VERSION)) => {}
        (Some(MAGIC), Some(version)) => return Err(NodeError::UnknownFormat { file, version }),
        _ => {
            let reason = "not a snapshot of a version that this program knows".into();
            return Err(NodeError::Damaged { file, offset: 0, reason });
        }
    }
    let checksum = word(8);
    if data.len() < HEAD || checksum != Some(crc32fast::hash(&data[HEAD..])) {
        let reason = "the snapshot's checksum is wrong".into();
        return Err(NodeError::Damaged { file, offset: 8, reason });
    }
    data.drain(..HEAD);
    Ok(Some(data))
}

/// Reads a snapshot that holds one value. One that can't be read as such is an error, never taken
/// for none: a process that forgets who it was may vote twice.
pub fn load_value<T: for<'a> Deserialize<'a>>(dir: &Path, name: &str) -> NodeResult<Option<T>> {
    load_value_on(&RealDisk, dir, name)
}

/// The same on a given disk.
pub fn load_value_on<T: for<'a> Deserialize<'a>>(
    disk: &dyn DiskOps,
    dir: &Path,
    name: &str,
) -> NodeResult<Option<T>> {
    let Some(body) = load_snapshot_on(disk, dir, name)? else {
        return Ok(None);
    };
    match decode(&body) {
        Some(value) => Ok(Some(value)),
        None => Err(NodeError::Damaged {
            file: dir.join(name).display().to_string(),
            offset: HEAD as u64,
            reason: "not a value of this version".into(),
        }),
    }
}
