//! A snapshot is one file, put in place by a rename once it is synced.
use super::segments::sync_dir;
use crate::prelude::*;
use std::io::Write;

pub fn save_snapshot(dir: &Path, name: &str, body: &[u8]) -> NodeResult<()> {
    let tmp = dir.join(format!("{name}.new"));
    let fin = dir.join(name);
    let what = fin.display().to_string();
    let put = || -> std::io::Result<()> {
        let mut f = std::fs::File::create(&tmp)?;
        f.write_all(&crc32fast::hash(body).to_le_bytes())?;
        f.write_all(body)?;
        f.sync_all()?;
        std::fs::rename(&tmp, &fin)
    };
    put().map_err(|e| NodeError::Io { what, source: e })?;
    sync_dir(dir)
}

pub fn load_snapshot(dir: &Path, name: &str) -> NodeResult<Option<Vec<u8>>> {
    let p = dir.join(name);
    let data = match std::fs::read(&p) {
        Ok(d) => d,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(NodeError::Io { what: p.display().to_string(), source: e }),
    };
    if data.len() < 4 || crc32fast::hash(&data[4..]).to_le_bytes() != data[..4] {
        return Err(NodeError::Damaged {
            file: p.display().to_string(),
            offset: 0,
            reason: "the snapshot's checksum is wrong".into(),
        });
    }
    Ok(Some(data[4..].to_vec()))
}
