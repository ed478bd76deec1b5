//! The log and snapshots on a disk that loses power at every step of generated histories, gets full
//! and fails to sync; and on the real one.
use arbtest::arbitrary::{Result as Drawn, Unstructured};
use node_runtime::disk::{
    load_snapshot_on, save_snapshot_on, verify_segments, DiskOps, RealDisk, SegmentLog,
};
use node_runtime::prelude::{NodeError, NodeResult};
use simulated_disk::{SimulatedDisk, Trouble};
use std::path::{Path, PathBuf};

const DIR: &str = "/data/log";
const RESTARTS: usize = 3;

#[derive(Clone, Debug)]
enum Op {
    Append(usize),
    Sync,
    Rotate,
    /// Keeps this many segments.
    Drop(u64),
}

fn history(u: &mut Unstructured<'_>) -> Drawn<Vec<Op>> {
    (0..u.int_in_range(3..=14)?)
        .map(|_| {
            Ok(match u.int_in_range(0..=6)? {
                0..=2 => Op::Append(u.int_in_range(0..=60)?),
                3 | 4 => Op::Sync,
                5 => Op::Rotate,
                _ => Op::Drop(u.int_in_range(0..=2)?),
            })
        })
        .collect()
}

/// What has been appended, by the numbers in the records, and what must or may be read back.
#[derive(Clone, Debug, Default)]
struct Expected {
    appended: u64,
    /// Records up to this one were acknowledged.
    acknowledged: u64,
    /// Records up to this one have been dropped, or may have been.
    dropped: u64,
    /// Records with their segments, the last one of each segment among them.
    closed: Vec<(u64, u64)>,
}

impl Expected {
    fn play(&mut self, log: &mut SegmentLog, op: &Op) -> NodeResult<()> {
        match op {
            Op::Append(size) => {
                self.appended += 1;
                let mut body = self.appended.to_le_bytes().to_vec();
                body.resize(8 + size, 0x5a);
                log.append(&body);
                return Ok(());
            }
            Op::Sync => {
                log.sync()?;
                // A sync that failed at first has moved the records to a new segment.
                self.closed.push((log.segment_no(), self.appended));
            }
            Op::Rotate => {
                log.sync()?;
                self.acknowledged = self.appended;
                self.closed.push((log.segment_no(), self.appended));
                log.rotate()?;
            }
            Op::Drop(keep) => {
                let below = log.segment_no().saturating_sub(*keep);
                let gone = self.closed.iter().filter(|(number, _)| *number < below);
                self.dropped = gone.map(|(_, last)| *last).fold(self.dropped, u64::max);
                return log.drop_below(below);
            }
        }
        self.acknowledged = self.appended;
        Ok(())
    }

    /// What is read back is one stretch: all that was acknowledged and not dropped, no gap, and
    /// nothing that was never appended.
    fn check(&self, read: &[ReadRecord]) {
        let read: Vec<u64> = read.iter().map(|r| r.record).collect();
        assert!(read.windows(2).all(|w| w[1] == w[0] + 1), "a gap: {read:?}, {self:?}");
        let first = read.first().copied().unwrap_or(self.acknowledged + 1);
        let last = read.last().copied().unwrap_or(self.dropped);
        assert!(first <= self.dropped + 1, "lost at the front: {read:?}, {self:?}");
        assert!(last >= self.acknowledged, "acknowledged and lost: {read:?}, {self:?}");
        assert!(last <= self.appended, "never appended: {read:?}, {self:?}");
    }

    /// Goes on from what was read.
    fn restarted(&self, read: &[ReadRecord]) -> Expected {
        let last = read.last().map(|r| r.record);
        let appended = last.unwrap_or(self.dropped.max(self.acknowledged));
        let closed = read.iter().map(|r| (r.segment, r.record)).collect();
        Expected { appended, acknowledged: appended, dropped: self.dropped, closed }
    }
}

#[derive(Clone, Copy, Debug)]
struct ReadRecord {
    segment: u64,
    record: u64,
}

fn open(disk: &SimulatedDisk) -> NodeResult<(SegmentLog, Vec<ReadRecord>)> {
    let mut read = Vec::new();
    let log = SegmentLog::open_on(disk.handle(), Path::new(DIR), |segment, body| {
        let record = u64::from_le_bytes(body[..8].try_into().unwrap());
        read.push(ReadRecord { segment, record });
    })?;
    Ok((log, read))
}

/// Opens after a loss of power, which comes again while the log is opened.
fn recover(disk: &SimulatedDisk, cuts: &[u64]) -> (SegmentLog, Vec<ReadRecord>) {
    let opened = cuts.iter().find_map(|steps| disk.open_until_cut(*steps, || open(disk)));
    if let Some(opened) = opened {
        disk.set_trouble(Trouble::default());
        return opened;
    }
    disk.restart();
    open(disk).unwrap()
}

/// Plays a history until it ends or power is lost, then reads back; and goes on with it.
fn play_with_cut(seed: u64, ops: &[Op], trouble: Trouble, cuts: &[u64]) -> u64 {
    let disk = SimulatedDisk::new(seed);
    let mut expected = Expected::default();
    disk.set_trouble(trouble);
    for _ in 0..RESTARTS {
        let (mut log, read) = match open(&disk) {
            Ok(opened) => opened,
            Err(_) => recover(&disk, cuts),
        };
        expected.check(&read);
        expected = expected.restarted(&read);
        let failed = ops.iter().find_map(|op| expected.play(&mut log, op).err());
        assert!(failed.is_none() || disk.is_dark(), "{failed:?}");
        // Killed first: what the next process reads and acts on must outlast a loss of power.
        if seed.is_multiple_of(2) {
            disk.restart_process();
            let (_, read) = open(&disk).unwrap();
            expected.check(&read);
            expected = expected.restarted(&read);
        }
        let (_, read) = recover(&disk, cuts);
        expected.check(&read);
        expected = expected.restarted(&read);
        disk.set_trouble(trouble);
    }
    disk.steps()
}

#[test]
fn what_was_acknowledged_is_read_back_after_a_cut_at_any_step() {
    arbtest::arbtest(|u| {
        let ops = history(u)?;
        let seed = u.arbitrary()?;
        let cuts = [u.int_in_range(0..=4)?, u.int_in_range(0..=4)?];
        let steps = play_with_cut(seed, &ops, Trouble::default(), &[]) / RESTARTS as u64;
        for at in 0..=steps {
            let trouble = Trouble { steps_left: Some(at), ..Trouble::default() };
            play_with_cut(seed ^ at, &ops, trouble, &cuts);
        }
        Ok(())
    })
    .budget_ms(3000);
}

/// A failed sync, or a disk that is full for a while, ends in no loss and no early acknowledgement,
/// also when power is lost later.
#[test]
fn a_failed_sync_and_a_full_disk_are_survived() {
    arbtest::arbtest(|u| {
        let ops = history(u)?;
        let seed = u.arbitrary()?;
        let cuts = [u.int_in_range(0..=4)?];
        let steps = play_with_cut(seed, &ops, Trouble::default(), &[]) / RESTARTS as u64;
        for at in 0..=steps {
            let later = at + u.int_in_range(0..=8)?;
            let fails = Trouble { steps_until_sync_fails: Some(at), ..Trouble::default() };
            let full = Trouble {
                steps_until_full: Some(at),
                pauses_until_free: u.int_in_range(1..=5)?,
                ..Trouble::default()
            };
            for trouble in [fails, full] {
                play_with_cut(seed ^ at, &ops, trouble, &cuts);
                let cut = Trouble { steps_left: Some(later), ..trouble };
                play_with_cut(seed ^ at, &ops, cut, &cuts);
            }
        }
        Ok(())
    })
    .budget_ms(3000);
}

/// A disk whose syncs keep failing, or that stays full, ends in an error and no acknowledgement; what
/// was acknowledged before is still there.
#[test]
fn a_disk_that_stays_faulty_is_given_up() {
    let stays_faulty = Trouble {
        steps_until_sync_fails: Some(0),
        more_failing_syncs: u32::MAX,
        ..Trouble::default()
    };
    let stays_full =
        Trouble { steps_until_full: Some(0), pauses_until_free: u32::MAX, ..Trouble::default() };
    for (seed, trouble) in [(1, stays_faulty), (2, stays_full)] {
        let disk = SimulatedDisk::new(seed);
        let (mut log, _) = open(&disk).unwrap();
        log.append(&1u64.to_le_bytes());
        log.sync().unwrap();
        disk.set_trouble(trouble);
        log.append(&2u64.to_le_bytes());
        assert!(matches!(log.sync(), Err(NodeError::Io { .. })));
        assert!(save_snapshot_on(&*disk.handle(), Path::new(DIR), "s", b"x").is_err());
        let (_, read) = recover(&disk, &[]);
        assert_eq!(read.first().map(|r| r.record), Some(1));
    }
}

/// A snapshot is the old or the new one, whole, and the new one once the call has succeeded.
#[test]
fn a_snapshot_is_whole_after_a_cut_at_any_step() {
    let dir = Path::new("/data");
    let load = |disk: &SimulatedDisk| load_snapshot_on(&*disk.handle(), dir, "s").unwrap();
    for seed in 0..600u64 {
        let disk = SimulatedDisk::new(seed);
        let mut in_place = None;
        for round in 0..4u8 {
            let body = vec![round; 40 + round as usize];
            let steps_left = (round > 0).then_some(seed % 7);
            let steps_until_sync_fails = (seed % 3 == 0).then_some(seed % 5);
            disk.set_trouble(Trouble { steps_left, steps_until_sync_fails, ..Trouble::default() });
            let saved = save_snapshot_on(&*disk.handle(), dir, "s", &body);
            disk.restart();
            let read = load(&disk);
            match saved {
                Ok(()) => assert_eq!(read.as_ref(), Some(&body)),
                Err(_) => assert!(read == in_place || read.as_ref() == Some(&body)),
            }
            in_place = read;
        }
    }
}

/// Data of another version and damage are refused with the file's name and the reason.
#[test]
fn foreign_and_damaged_files_are_refused_aloud() {
    let disk = SimulatedDisk::new(1);
    let dir = Path::new(DIR);
    let segment = dir.join("segment-0000000001.log");
    let (mut log, _) = open(&disk).unwrap();
    for n in 1..=3u64 {
        log.append(&n.to_le_bytes());
        log.sync().unwrap();
    }
    let sound = disk.contents(&segment).unwrap();
    let refused = |bytes: &[u8]| {
        disk.put(&segment, bytes);
        open(&disk).err().map(|e| e.to_string()).unwrap_or_default()
    };
    let mut foreign = sound.clone();
    foreign[4] = 9;
    let check = crc32fast::hash(&foreign[..8]);
    foreign[8..12].copy_from_slice(&check.to_le_bytes());
    let said = refused(&foreign);
    assert!(said.contains("segment-0000000001.log") && said.contains("version 9"), "{said}");
    // Segments of the first programs had no header.
    let said = refused(&sound[32..60]);
    assert!(said.contains("segment-0000000001.log") && said.contains("version 0"), "{said}");
    for at in [4, 20, 40, 70] {
        let mut spoilt = sound.clone();
        spoilt[at] ^= 1;
        let said = refused(&spoilt);
        assert!(
            said.contains("segment-0000000001.log: ") || said.contains("damaged data in"),
            "{said}"
        );
    }
    disk.put(&segment, &sound);
    let read: Vec<u64> = open(&disk).unwrap().1.iter().map(|r| r.record).collect();
    assert_eq!(read, [1, 2, 3]);

    save_snapshot_on(&*disk.handle(), dir, "s", b"body").unwrap();
    let sound = disk.contents(&dir.join("s")).unwrap();
    for (at, want) in
        [(0, "not a snapshot"), (4, "format version"), (9, "checksum"), (13, "checksum")]
    {
        let mut spoilt = sound.clone();
        spoilt[at] ^= 8;
        disk.put(&dir.join("s"), &spoilt);
        let said = load_snapshot_on(&*disk.handle(), dir, "s").unwrap_err().to_string();
        assert!(said.contains("/data/log/s") && said.contains(want), "{said}");
    }
}

fn temporary(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("spokebank-disk-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

/// The real disk: order over segments, old ones dropped, a torn tail cut off, damage told.
#[test]
fn the_real_disk_keeps_order_and_tells_damage() {
    let dir = temporary("order").join("deep");
    let read = || {
        let mut read = Vec::new();
        SegmentLog::open(&dir, |_, body| read.push(body.to_vec())).map(|_| read)
    };
    let mut log = SegmentLog::open(&dir, |_, _| {}).unwrap();
    for i in 0..10u8 {
        log.append(&[i; 5]);
        if i % 4 == 3 {
            log.rotate().unwrap();
        }
    }
    log.sync().unwrap();
    assert_eq!(read().unwrap().len(), 10);
    log.drop_below(2).unwrap();
    assert_eq!(read().unwrap().len(), 6);
    log = SegmentLog::open(&dir, |_, _| {}).unwrap();
    let last = dir.join(format!("segment-{:010}.log", log.segment_no()));
    let sound = std::fs::read(&last).unwrap();
    std::fs::write(&last, &sound[..sound.len() - 1]).unwrap();
    assert_eq!(verify_segments(&dir), Vec::<String>::new());
    assert_eq!(read().unwrap().len(), 5);
    log = SegmentLog::open(&dir, |_, _| {}).unwrap();
    let last = dir.join(format!("segment-{:010}.log", log.segment_no()));
    log.append(b"more");
    log.sync().unwrap();
    assert_eq!(read().unwrap().last().unwrap(), b"more");
    let mut spoilt = std::fs::read(&last).unwrap();
    spoilt[55] ^= 1;
    std::fs::write(&last, &spoilt).unwrap();
    assert_eq!(verify_segments(&dir).len(), 1);
    assert!(matches!(read(), Err(NodeError::Damaged { .. })));
    RealDisk.remove(&last).unwrap();
    let _ = std::fs::remove_dir_all(dir.parent().unwrap());
}
