//! The agreement's disk: votes and entries in a segmented log, the snapshot beside it.
use crate::core::TermLog;
use crate::prelude::*;

const SNAPSHOT: &str = "snapshot";
const SEGMENT: u64 = 16 << 20;

#[derive(Serialize, Deserialize)]
enum Rec {
    HardState(HardState),
    Entries { from: u64, entries: Vec<Entry> },
}

pub struct AgreementDisk {
    dir: PathBuf,
    log: SegmentLog,
}

impl AgreementDisk {
    /// Reads what was saved. The disk was never used when the returned log and vote are empty.
    pub fn open(dir: &Path) -> NodeResult<(Self, HardState, TermLog)> {
        std::fs::create_dir_all(dir)
            .map_err(|e| NodeError::Io { what: dir.display().to_string(), source: e })?;
        let mut tl = TermLog::default();
        if let Some(b) = load_snapshot(dir, SNAPSHOT)? {
            tl.snap = decode(&b).ok_or_else(|| NodeError::Damaged {
                file: SNAPSHOT.into(),
                offset: 0,
                reason: "not a snapshot".into(),
            })?;
        }
        let mut hard = HardState::default();
        let mut bad = false;
        let log = SegmentLog::open(&dir.join("log"), |_, b| match decode::<Rec>(b) {
            Some(Rec::HardState(h)) => hard = h,
            Some(Rec::Entries { from, entries }) => {
                tl.cut(from);
                let next = tl.last() + 1;
                tl.entries.extend(entries.into_iter().filter(|e| e.index >= next));
            }
            None => bad = true,
        })?;
        let whole =
            tl.entries.iter().enumerate().all(|(i, e)| e.index == tl.snap.index + 1 + i as u64);
        if bad || !whole {
            return Err(NodeError::Damaged {
                file: dir.display().to_string(),
                offset: 0,
                reason: "the log doesn't join its snapshot".into(),
            });
        }
        let disk = AgreementDisk { dir: dir.to_path_buf(), log };
        Ok((disk, hard, tl))
    }

    pub fn save_hard_state(&mut self, hard: HardState) {
        self.log.append(&encode(&Rec::HardState(hard)));
    }

    pub fn save_entries(&mut self, from: u64, entries: &[Entry]) {
        let rec = Rec::Entries { from, entries: entries.to_vec() };
        self.log.append(&encode(&rec));
    }

    pub fn sync(&mut self) -> NodeResult<()> {
        self.log.sync()
    }

    /// Puts the snapshot in place, then begins a segment with the vote and the entries above it.
    pub fn save_snapshot(&mut self, hard: HardState, tl: &TermLog) -> NodeResult<()> {
        self.log.sync()?;
        save_snapshot(&self.dir, SNAPSHOT, &encode(&tl.snap))?;
        self.log.rotate()?;
        self.save_hard_state(hard);
        self.save_entries(tl.snap.index + 1, &tl.entries);
        self.log.sync()?;
        let no = self.log.segment_no();
        self.log.drop_below(no)
    }

    pub fn wants_snapshot(&self) -> bool {
        self.log.segment_len() > SEGMENT
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn gives_back_votes_entries_and_snapshot() {
        let d = std::env::temp_dir().join(format!("spokebank-agree-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&d);
        let entry = |index, term| Entry { index, term, body: Body::Noop };
        {
            let (mut disk, hard, tl) = AgreementDisk::open(&d).unwrap();
            assert_eq!((hard, tl.last()), (HardState::default(), 0));
            disk.save_hard_state(HardState { term: 1, voted: Some(7) });
            disk.save_entries(1, &[entry(1, 1), entry(2, 1), entry(3, 1)]);
            disk.save_entries(3, &[entry(3, 2)]);
            disk.sync().unwrap();
        }
        let (mut disk, hard, mut tl) = AgreementDisk::open(&d).unwrap();
        assert_eq!(hard.voted, Some(7));
        assert_eq!((tl.last(), tl.last_term()), (3, 2));
        tl.entries.drain(..2);
        tl.snap = Snapshot { index: 2, term: 1, ..Snapshot::default() };
        disk.save_snapshot(hard, &tl).unwrap();
        drop(disk);
        let (_, hard, tl) = AgreementDisk::open(&d).unwrap();
        assert_eq!(hard.term, 1);
        assert_eq!((tl.snap.index, tl.last(), tl.last_term()), (2, 3, 2));
        let _ = std::fs::remove_dir_all(&d);
    }
}
