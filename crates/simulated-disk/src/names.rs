//! The names of files: as programs see them, and as the disk holds them.
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// A change of names that isn't synced. `file` is where the bytes are kept.
#[derive(Clone, Debug)]
pub enum NameChange {
    /// A file was made.
    Make { name: PathBuf, file: usize },
    /// A file has another name, which another file may have had.
    Rename { from: PathBuf, to: PathBuf, file: usize },
    /// A file has no name any more.
    Remove { name: PathBuf },
}

impl NameChange {
    fn folder(&self) -> Option<&Path> {
        match self {
            NameChange::Make { name, .. } | NameChange::Remove { name } => name.parent(),
            NameChange::Rename { to, .. } => to.parent(),
        }
    }
}

/// Invariant: `durable` with all of `pending` applied is `current`. Renames stay in one folder.
#[derive(Clone, Debug, Default)]
pub struct Names {
    current: BTreeMap<PathBuf, usize>,
    durable: BTreeMap<PathBuf, usize>,
    pending: Vec<NameChange>,
}

impl Names {
    /// The file of a name.
    pub fn get(&self, name: &Path) -> Option<usize> {
        self.current.get(name).copied()
    }

    /// All names, in order.
    pub fn all(&self) -> Vec<PathBuf> {
        self.current.keys().cloned().collect()
    }

    /// The last parts of the names in a folder.
    pub fn in_folder(&self, dir: &Path) -> Vec<String> {
        let inside = self.current.keys().filter(|name| name.parent() == Some(dir));
        inside.filter_map(|name| Some(name.file_name()?.to_str()?.to_string())).collect()
    }

    /// Gives a file a name at once and durably.
    pub fn put(&mut self, name: &Path, file: usize) {
        self.current.insert(name.to_path_buf(), file);
        self.durable.insert(name.to_path_buf(), file);
    }

    /// Makes a change that waits for a sync of its folder.
    pub fn change(&mut self, change: NameChange) {
        apply(&mut self.current, &change);
        self.pending.push(change);
    }

    /// Brings the changes in a folder to the disk.
    pub fn sync(&mut self, dir: &Path) {
        for change in std::mem::take(&mut self.pending) {
            match change.folder() == Some(dir) {
                true => apply(&mut self.durable, &change),
                false => self.pending.push(change),
            }
        }
    }

    /// Keeps or loses each unsynced change by itself.
    pub fn lose_power(&mut self, random: &mut fastrand::Rng, all_lost: bool) {
        for change in self.pending.drain(..) {
            if !all_lost && random.bool() {
                apply(&mut self.durable, &change);
            }
        }
        self.current.clone_from(&self.durable);
    }
}

fn apply(names: &mut BTreeMap<PathBuf, usize>, change: &NameChange) {
    match change {
        NameChange::Make { name, file } => {
            names.insert(name.clone(), *file);
        }
        NameChange::Rename { from, to, file } => {
            if names.get(from) == Some(file) {
                names.remove(from);
            }
            names.insert(to.clone(), *file);
        }
        NameChange::Remove { name } => {
            names.remove(name);
        }
    }
}
