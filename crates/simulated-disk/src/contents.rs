//! The bytes of one file: as programs see them, and as the disk holds them.

/// A change that isn't synced.
#[derive(Clone, Debug)]
pub enum Change {
    /// Bytes at a place.
    Write { at: usize, bytes: Vec<u8> },
    /// The file cut, or made longer with zeros.
    SetLen(usize),
}

/// Invariant: `current` is what programs see; `durable` with all of `pending` applied is the same,
/// unless a sync has failed since.
#[derive(Clone, Debug, Default)]
pub struct Contents {
    current: Vec<u8>,
    durable: Vec<u8>,
    pending: Vec<Change>,
}

impl Contents {
    /// A file whose bytes are on disk.
    pub fn synced(bytes: &[u8]) -> Self {
        Contents { current: bytes.to_vec(), durable: bytes.to_vec(), pending: Vec::new() }
    }

    /// The bytes as programs see them.
    pub fn current(&self) -> &[u8] {
        &self.current
    }

    /// Makes a change that waits for a sync.
    pub fn change(&mut self, change: Change) {
        apply(&mut self.current, &change);
        self.pending.push(change);
    }

    /// Brings all changes to the disk.
    pub fn sync(&mut self) {
        for change in self.pending.drain(..) {
            apply(&mut self.durable, &change);
        }
    }

    /// Fails to: some reach the disk, the others never will, and programs don't see which.
    pub fn fail_sync(&mut self, random: &mut fastrand::Rng) {
        for change in self.pending.drain(..) {
            keep_some(&mut self.durable, change, random);
        }
    }

    /// Keeps what is on disk, and of each other change all, a part or nothing.
    pub fn lose_power(&mut self, random: &mut fastrand::Rng, all_lost: bool) {
        for change in self.pending.drain(..) {
            if !all_lost {
                keep_some(&mut self.durable, change, random);
            }
        }
        self.current.clone_from(&self.durable);
    }
}

fn keep_some(durable: &mut Vec<u8>, change: Change, random: &mut fastrand::Rng) {
    match (random.u8(..3), change) {
        (0, _) => {}
        (1, Change::Write { at, mut bytes }) => {
            tear(&mut bytes, random);
            apply(durable, &Change::Write { at, bytes });
        }
        (_, change) => apply(durable, &change),
    }
}

/// Keeps the beginning, or spoils a stretch in the middle.
fn tear(bytes: &mut Vec<u8>, random: &mut fastrand::Rng) {
    if bytes.is_empty() {
        return;
    }
    let from = random.usize(..bytes.len());
    match random.bool() {
        true => bytes.truncate(from),
        false => {
            let to = random.usize(from..bytes.len());
            bytes[from..=to].fill(0);
        }
    }
}

fn apply(data: &mut Vec<u8>, change: &Change) {
    match change {
        Change::SetLen(len) => data.resize(*len, 0),
        Change::Write { at, bytes } => {
            let end = at + bytes.len();
            if data.len() < end {
                data.resize(end, 0);
            }
            data[*at..end].copy_from_slice(bytes);
        }
    }
}
