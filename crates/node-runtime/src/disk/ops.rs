//! What the disk layer asks of a file system, and the real one. Tests put a simulated one in its
//! place, which loses power at any step.
use crate::prelude::*;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};

/// The operations on files and folders that the disk layer uses, and no others.
pub trait DiskOps: Send + Sync {
    /// Makes a folder and those above it; it lasts.
    fn create_folder(&self, dir: &Path) -> io::Result<()>;
    /// The names of the files in a folder.
    fn list(&self, dir: &Path) -> io::Result<Vec<String>>;
    /// The first `most` bytes of a file, or all if it is shorter.
    fn read_start(&self, file: &Path, most: u64) -> io::Result<Vec<u8>>;
    /// Opens a file for writing and makes it where it is missing.
    fn open(&self, file: &Path) -> io::Result<Box<dyn DiskFile>>;
    /// Gives a file another name; it lasts once the folder has been synced.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file; it lasts once the folder has been synced.
    fn remove(&self, file: &Path) -> io::Result<()>;
    /// Syncs the names in a folder.
    fn sync_folder(&self, dir: &Path) -> io::Result<()>;
    /// Waits before something is tried again.
    fn pause(&self, time: Duration);
}

/// A file that is open for writing.
pub trait DiskFile: Send {
    /// Writes all bytes at a place.
    fn write_at(&mut self, at: u64, bytes: &[u8]) -> io::Result<()>;
    /// Cuts the file, or makes it longer.
    fn set_len(&mut self, len: u64) -> io::Result<()>;
    /// Syncs the file. After an error nothing written since the last success may be relied on, also
    /// when a later sync succeeds.
    fn sync(&mut self) -> io::Result<()>;
}

/// The machine's own file system.
pub struct RealDisk;

impl RealDisk {
    /// A handle as the disk layer takes it.
    pub fn handle() -> Arc<dyn DiskOps> {
        Arc::new(RealDisk)
    }
}

impl DiskOps for RealDisk {
    fn create_folder(&self, dir: &Path) -> io::Result<()> {
        if dir.is_dir() {
            return Ok(());
        }
        let above = dir.parent().filter(|p| !p.as_os_str().is_empty());
        if let Some(above) = above {
            self.create_folder(above)?;
        }
        match std::fs::create_dir(dir) {
            Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(e),
            _ => {}
        }
        above.map_or(Ok(()), |above| self.sync_folder(above))
    }

    fn list(&self, dir: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(dir)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        Ok(names)
    }

    fn read_start(&self, file: &Path, most: u64) -> io::Result<Vec<u8>> {
        let mut data = Vec::new();
        File::open(file)?.take(most).read_to_end(&mut data)?;
        Ok(data)
    }

    fn open(&self, file: &Path) -> io::Result<Box<dyn DiskFile>> {
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(file)?;
        Ok(Box::new(RealFile(file)))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }

    fn remove(&self, file: &Path) -> io::Result<()> {
        std::fs::remove_file(file)
    }

    fn sync_folder(&self, dir: &Path) -> io::Result<()> {
        File::open(dir)?.sync_all()
    }

    fn pause(&self, time: Duration) {
        std::thread::sleep(time);
    }
}

struct RealFile(File);

impl DiskFile for RealFile {
    fn write_at(&mut self, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.0.seek(SeekFrom::Start(at))?;
        self.0.write_all(bytes)
    }

    fn set_len(&mut self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_data()
    }
}
