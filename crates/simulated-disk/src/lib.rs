//! Test support: a disk in memory that loses power at any step, keeps or loses each unsynced thing
//! by itself, gets full, and fails to sync.
#![deny(missing_docs)]
mod contents;
mod names;

use contents::{Change, Contents};
use names::{NameChange, Names};
use node_runtime::disk::{DiskFile, DiskOps};
use std::fmt::Display;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What may go wrong before power is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trouble {
    /// This many more steps are carried out; the one after them is cut short by a loss of power.
    pub steps_left: Option<u64>,
    /// This many more steps are carried out before the disk takes no more bytes.
    pub steps_until_full: Option<u64>,
    /// How many pauses after that the disk takes bytes again.
    pub pauses_until_free: u32,
    /// This many more steps are carried out before one sync fails.
    pub steps_until_sync_fails: Option<u64>,
    /// How many syncs fail after that one.
    pub more_failing_syncs: u32,
}

/// A disk in memory. Clones are the same disk.
///
/// Invariants: what a sync has covered is read back after any loss of power; of the rest each write
/// is kept, torn or lost by itself, and each made, renamed or removed name is kept or lost by itself
/// until its folder is synced. A failed sync forgets what it should have covered: some of it is
/// kept, and no later sync brings the rest to the disk.
#[derive(Clone, Default)]
pub struct SimulatedDisk {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    files: Vec<Contents>,
    names: Names,
    trouble: Trouble,
    steps: u64,
    dark: bool,
    random: fastrand::Rng,
}

/// What becomes of one step.
enum Step {
    Done,
    /// Power is lost in it: it may have begun.
    Cut,
}

fn power_lost() -> io::Error {
    io::Error::other("power was lost")
}

impl State {
    /// Counts a step that changes something.
    fn step(&mut self) -> io::Result<Step> {
        if self.dark {
            return Err(power_lost());
        }
        self.steps += 1;
        count_down(&mut self.trouble.steps_until_full);
        count_down(&mut self.trouble.steps_until_sync_fails);
        match &mut self.trouble.steps_left {
            Some(0) => {
                self.dark = true;
                Ok(Step::Cut)
            }
            Some(left) => {
                *left -= 1;
                Ok(Step::Done)
            }
            None => Ok(Step::Done),
        }
    }

    fn is_full(&self) -> bool {
        self.trouble.steps_until_full == Some(0)
    }

    fn sync_fails(&mut self) -> bool {
        let trouble = &mut self.trouble;
        if trouble.steps_until_sync_fails != Some(0) {
            return false;
        }
        match trouble.more_failing_syncs {
            0 => trouble.steps_until_sync_fails = None,
            more => trouble.more_failing_syncs = more - 1,
        }
        true
    }

    /// A step on names: done, or cut short with or without having begun.
    fn change_names(&mut self, change: NameChange) -> io::Result<()> {
        match self.step()? {
            Step::Done => {
                self.names.change(change);
                Ok(())
            }
            Step::Cut => {
                self.names.change(change);
                Err(power_lost())
            }
        }
    }

    fn found(&self, file: &Path) -> io::Result<usize> {
        if self.dark {
            return Err(power_lost());
        }
        self.names.get(file).ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }
}

fn count_down(steps: &mut Option<u64>) {
    if let Some(left) = steps {
        *left = left.saturating_sub(1);
    }
}

impl SimulatedDisk {
    /// An empty disk whose chances are drawn from `seed`.
    pub fn new(seed: u64) -> Self {
        let disk = SimulatedDisk::default();
        disk.lock().random = fastrand::Rng::with_seed(seed);
        disk
    }

    /// The disk as the disk layer takes it.
    pub fn handle(&self) -> Arc<dyn DiskOps> {
        Arc::new(self.clone())
    }

    /// Sets what goes wrong from now on.
    pub fn set_trouble(&self, trouble: Trouble) {
        self.lock().trouble = trouble;
    }

    /// How many steps have changed something, or tried to.
    pub fn steps(&self) -> u64 {
        self.lock().steps
    }

    /// Whether power is lost.
    pub fn is_dark(&self) -> bool {
        self.lock().dark
    }

    /// Loses power, if that has not happened yet, and gives it back: what wasn't synced is kept,
    /// torn or lost; at some losses all of it is lost. No trouble is left.
    pub fn restart(&self) {
        let mut state = self.lock();
        let state = &mut *state;
        let all_lost = state.random.u8(..4) == 0;
        for file in &mut state.files {
            file.lose_power(&mut state.random, all_lost);
        }
        state.names.lose_power(&mut state.random, all_lost);
        state.dark = false;
        state.trouble = Trouble::default();
    }

    /// Loses power and gives it back, and opens what lies on the disk; power is lost again after `steps`
    /// of that. None when this came before the end.
    pub fn open_until_cut<T, E: Display>(
        &self,
        steps: u64,
        open: impl FnOnce() -> Result<T, E>,
    ) -> Option<T> {
        self.restart();
        self.set_trouble(Trouble { steps_left: Some(steps), ..Trouble::default() });
        match open() {
            Ok(opened) => Some(opened),
            Err(e) => {
                assert!(self.is_dark(), "{e}");
                None
            }
        }
    }

    /// The process was killed and starts again; power stayed on, so that all it wrote is still seen,
    /// synced or not. No trouble is left.
    pub fn restart_process(&self) {
        let mut state = self.lock();
        state.dark = false;
        state.trouble = Trouble::default();
    }

    /// The bytes of a file, as a program would read them now.
    pub fn contents(&self, file: &Path) -> Option<Vec<u8>> {
        let state = self.lock();
        state.names.get(file).map(|at| state.files[at].current().to_vec())
    }

    /// Puts bytes into a file, durably: damage, or a file of another program.
    pub fn put(&self, file: &Path, bytes: &[u8]) {
        let mut state = self.lock();
        state.files.push(Contents::synced(bytes));
        let at = state.files.len() - 1;
        state.names.put(file, at);
    }

    /// All files there are, in order.
    pub fn files(&self) -> Vec<PathBuf> {
        self.lock().names.all()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DiskOps for SimulatedDisk {
    fn create_folder(&self, _dir: &Path) -> io::Result<()> {
        Ok(())
    }

    fn list(&self, dir: &Path) -> io::Result<Vec<String>> {
        let state = self.lock();
        if state.dark {
            return Err(power_lost());
        }
        Ok(state.names.in_folder(dir))
    }

    fn read_start(&self, file: &Path, most: u64) -> io::Result<Vec<u8>> {
        let state = self.lock();
        let data = state.files[state.found(file)?].current();
        let end = data.len().min(usize::try_from(most).unwrap_or(usize::MAX));
        Ok(data[..end].to_vec())
    }

    fn open(&self, file: &Path) -> io::Result<Box<dyn DiskFile>> {
        let mut state = self.lock();
        let at = match state.found(file) {
            Ok(at) => at,
            Err(e) if e.kind() == io::ErrorKind::NotFound => {
                state.files.push(Contents::default());
                let at = state.files.len() - 1;
                state.change_names(NameChange::Make { name: file.to_path_buf(), file: at })?;
                at
            }
            Err(e) => return Err(e),
        };
        Ok(Box::new(SimulatedFile { disk: self.clone(), at }))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.lock();
        let file = state.found(from)?;
        let (from, to) = (from.to_path_buf(), to.to_path_buf());
        state.change_names(NameChange::Rename { from, to, file })
    }

    fn remove(&self, file: &Path) -> io::Result<()> {
        let mut state = self.lock();
        state.found(file)?;
        state.change_names(NameChange::Remove { name: file.to_path_buf() })
    }

    fn sync_folder(&self, dir: &Path) -> io::Result<()> {
        let mut state = self.lock();
        match state.step()? {
            Step::Cut => Err(power_lost()),
            Step::Done => {
                state.names.sync(dir);
                Ok(())
            }
        }
    }

    fn pause(&self, _time: Duration) {
        let mut state = self.lock();
        let trouble = &mut state.trouble;
        if trouble.steps_until_full != Some(0) {
            return;
        }
        trouble.pauses_until_free = trouble.pauses_until_free.saturating_sub(1);
        if trouble.pauses_until_free == 0 {
            trouble.steps_until_full = None;
        }
    }
}

struct SimulatedFile {
    disk: SimulatedDisk,
    at: usize,
}

impl SimulatedFile {
    fn change(&mut self, change: Change) -> io::Result<()> {
        let mut state = self.disk.lock();
        match state.step()? {
            Step::Done => {
                state.files[self.at].change(change);
                Ok(())
            }
            Step::Cut => {
                state.files[self.at].change(change);
                Err(power_lost())
            }
        }
    }
}

impl DiskFile for SimulatedFile {
    fn write_at(&mut self, at: u64, bytes: &[u8]) -> io::Result<()> {
        let full = self.disk.lock().is_full();
        if !full {
            return self.change(Change::Write { at: at as usize, bytes: bytes.to_vec() });
        }
        // A full disk takes part of the bytes.
        let part = self.disk.lock().random.usize(..=bytes.len());
        self.change(Change::Write { at: at as usize, bytes: bytes[..part].to_vec() })?;
        Err(io::Error::from(io::ErrorKind::StorageFull))
    }

    fn set_len(&mut self, len: u64) -> io::Result<()> {
        self.change(Change::SetLen(len as usize))
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.lock();
        let state = &mut *state;
        if let Step::Cut = state.step()? {
            return Err(power_lost());
        }
        if state.sync_fails() {
            state.files[self.at].fail_sync(&mut state.random);
            return Err(io::Error::other("the sync failed"));
        }
        state.files[self.at].sync();
        Ok(())
    }
}
