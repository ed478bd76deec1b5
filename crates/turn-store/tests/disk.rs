//! A store's files under losses of power at every step: records, segments, and the identity that
//! vouches for what the records hold.
use arbtest::arbitrary::{Result as Drawn, Unstructured};
use node_runtime::disk::{load_snapshot_on, save_snapshot_on, SegmentLog};
use simulated_disk::{SimulatedDisk, Trouble};
use turn_store::prelude::*;

const DIR: &str = "/data";
const IDENTITY: &str = "identity";
const SEGMENT_BYTES: u64 = 400;

/// What the actor does with its files, in its order.
#[derive(Clone, Debug)]
enum Op {
    /// Turns that are written and synced together, and then answered.
    Write(usize),
    /// Turns of another store that are merged; then the identity vouches for them.
    Merge(usize),
    /// Segments are dropped but for this many.
    Sweep(u64),
}

fn history(u: &mut Unstructured<'_>) -> Drawn<Vec<Op>> {
    let op = |u: &mut Unstructured<'_>| -> Drawn<Op> {
        Ok(match u.int_in_range(0..=4)? {
            0..=2 => Op::Write(u.int_in_range(1..=3)?),
            3 => Op::Merge(u.int_in_range(0..=2)?),
            _ => Op::Sweep(u.int_in_range(0..=2)?),
        })
    };
    (0..u.int_in_range(3..=10)?).map(|_| op(u)).collect()
}

fn turn(number: u64) -> LogRecord {
    LogRecord::Turn(TurnRecord {
        id: format!("t{number}"),
        chain: vec![format!("t{}", number - 1)],
        program: "p".into(),
        input: ByteBuf::from(vec![number as u8; 20]),
        output: ByteBuf::from(b"out\n".to_vec()),
        engine: "i".into(),
        session_tokens: 1,
        keep_ms: 60_000,
    })
}

fn number_of(body: &[u8]) -> u64 {
    match decode::<LogRecord>(body) {
        Some(LogRecord::Turn(r)) => r.id[1..].parse().unwrap(),
        other => panic!("not what was written: {other:?}"),
    }
}

/// Invariants: turns have numbers from 1 on; those up to `answered` were answered, those up to
/// `swept` may be gone; the identity says at least `vouched`.
#[derive(Clone, Debug, Default)]
struct Known {
    written: u64,
    answered: u64,
    swept: u64,
    vouched: u64,
}

struct Store {
    disk: SimulatedDisk,
    log: SegmentLog,
    /// The last turn of each segment.
    ends: BTreeMap<u64, u64>,
}

impl Store {
    /// Opens as the actor does: the identity first, then the log.
    fn open(disk: &SimulatedDisk) -> NodeResult<(Store, u64, Vec<u64>)> {
        let dir = Path::new(DIR);
        let vouched = match load_snapshot_on(&*disk.handle(), dir, IDENTITY)? {
            Some(body) => u64::from_le_bytes(body[..].try_into().unwrap()),
            None => {
                save_snapshot_on(&*disk.handle(), dir, IDENTITY, &0u64.to_le_bytes())?;
                0
            }
        };
        let mut turns = Vec::new();
        let mut ends = BTreeMap::new();
        let log = SegmentLog::open_on(disk.handle(), &dir.join("log"), |segment, body| {
            turns.push(number_of(body));
            ends.insert(segment, number_of(body));
        })?;
        Ok((Store { disk: disk.clone(), log, ends }, vouched, turns))
    }

    fn write(&mut self, count: usize, known: &mut Known) -> NodeResult<()> {
        for _ in 0..count {
            known.written += 1;
            self.log.append(&encode(&turn(known.written)));
        }
        self.log.sync()?;
        known.answered = known.written;
        self.ends.insert(self.log.segment_no(), known.written);
        if self.log.segment_len() > SEGMENT_BYTES {
            self.log.rotate()?;
        }
        Ok(())
    }

    fn play(&mut self, op: &Op, known: &mut Known) -> NodeResult<()> {
        match op {
            Op::Write(count) => self.write(*count, known),
            Op::Merge(count) => {
                self.write(*count, known)?;
                let body = known.answered.to_le_bytes();
                save_snapshot_on(&*self.disk.handle(), Path::new(DIR), IDENTITY, &body)?;
                known.vouched = known.answered;
                Ok(())
            }
            Op::Sweep(keep) => {
                let below = self.log.segment_no().saturating_sub(*keep);
                let gone = self.ends.range(..below).map(|(_, last)| *last);
                known.swept = gone.fold(known.swept, u64::max);
                self.log.drop_below(below)
            }
        }
    }
}

fn recover(disk: &SimulatedDisk, known: &Known, cuts: &[u64]) -> (Store, Known) {
    for steps in cuts {
        drop(disk.open_until_cut(*steps, || Store::open(disk)));
    }
    disk.restart();
    let (store, vouched, turns) = Store::open(disk).unwrap();
    let last = turns.last().copied().unwrap_or(known.answered);
    assert!(turns.windows(2).all(|w| w[1] == w[0] + 1), "{turns:?}");
    assert!(turns.first().is_none_or(|first| *first <= known.swept + 1), "{turns:?} {known:?}");
    assert!(!turns.is_empty() || known.swept >= known.answered, "nothing left: {known:?}");
    assert!((known.answered..=known.written).contains(&last), "{turns:?} {known:?}");
    assert!(vouched >= known.vouched && vouched <= last, "{vouched} {turns:?} {known:?}");
    let known = Known { written: last, answered: last, swept: known.swept, vouched };
    (store, known)
}

fn play(seed: u64, ops: &[Op], trouble: Trouble, cuts: &[u64]) -> u64 {
    let disk = SimulatedDisk::new(seed);
    let (mut store, mut known) = recover(&disk, &Known::default(), cuts);
    for _ in 0..3 {
        disk.set_trouble(trouble);
        let failed = ops.iter().find_map(|op| store.play(op, &mut known).err());
        assert!(failed.is_none() || disk.is_dark(), "{failed:?}");
        (store, known) = recover(&disk, &known, cuts);
    }
    disk.steps()
}

#[test]
fn answered_turns_and_the_identity_outlast_a_cut_at_any_step() {
    arbtest::arbtest(|u| {
        let ops = history(u)?;
        let seed = u.arbitrary()?;
        let cuts = [u.int_in_range(0..=5)?, u.int_in_range(0..=5)?];
        let steps = play(seed, &ops, Trouble::default(), &[]);
        for at in 0..=steps / 3 + 1 {
            let cut = Trouble { steps_left: Some(at), ..Trouble::default() };
            play(seed ^ at, &ops, cut, &cuts);
            let fails = Trouble { steps_until_sync_fails: Some(at / 2), ..cut };
            play(seed ^ at, &ops, fails, &cuts);
            let full = Trouble { steps_until_full: Some(at / 2), pauses_until_free: 3, ..cut };
            play(seed ^ at, &ops, full, &cuts);
        }
        Ok(())
    })
    .budget_ms(3000);
}
