//! The consensus disk under losses of power at every step: what is read back is, in every point, one
//! of the states between the last acknowledged one and the newest.
use arbtest::arbitrary::{Result as Drawn, Unstructured};
use consensus::core::TermLog;
use consensus::prelude::*;
use consensus::store::SnapshotWrite;
use simulated_disk::{SimulatedDisk, Trouble};

const DIR: &str = "/data/agreement";

#[derive(Clone, Debug)]
enum Op {
    /// A vote in this many terms on.
    Vote(u64),
    /// The log is cut this many entries before its end, and goes on with that many.
    Append {
        cut: u64,
        add: u64,
    },
    Sync,
    /// A snapshot of the own log, this many entries before its end.
    Compact {
        above: u64,
    },
    /// The same, to be written by `Write`, while the log goes on.
    BeginCompaction {
        above: u64,
    },
    Write,
    /// Another's snapshot, this far before or behind the end of the log, which is discarded.
    Install {
        before: u64,
        behind: u64,
    },
}

fn history(u: &mut Unstructured<'_>) -> Drawn<Vec<Op>> {
    let op = |u: &mut Unstructured<'_>| -> Drawn<Op> {
        Ok(match u.int_in_range(0..=11)? {
            0 => Op::Vote(u.int_in_range(1..=2)?),
            1..=3 => Op::Append { cut: u.int_in_range(0..=2)?, add: u.int_in_range(0..=3)? },
            4 | 5 => Op::Sync,
            6 => Op::Compact { above: u.int_in_range(0..=3)? },
            7 => Op::BeginCompaction { above: u.int_in_range(0..=3)? },
            8 | 9 => Op::Write,
            _ => Op::Install { before: u.int_in_range(0..=4)?, behind: u.int_in_range(0..=2)? },
        })
    };
    (0..u.int_in_range(3..=12)?).map(|_| op(u)).collect()
}

#[derive(Clone, Debug, Default)]
struct State {
    hard: HardState,
    log: TermLog,
    /// A snapshot of this log that may be in place or not.
    pending: Option<Snapshot>,
    /// Sets apart what different histories put at one index.
    stamp: u64,
}

impl State {
    fn same(&self, hard: HardState, log: &TermLog) -> bool {
        let is =
            |own: &TermLog| (self.hard, &own.snap, &own.entries) == (hard, &log.snap, &log.entries);
        is(&self.log) || is(&self.compacted().log)
    }

    /// The same with the pending snapshot in place.
    fn compacted(&self) -> State {
        let mut state = State { pending: None, ..self.clone() };
        if let Some(snap) = &self.pending {
            state.log.entries.retain(|e| e.index > snap.index);
            state.log.snap = snap.clone();
        }
        state
    }

    /// The index up to which the log stays as it is.
    fn settled(&self) -> u64 {
        self.pending.as_ref().map_or(self.log.snap.index, |snap| snap.index)
    }

    /// A snapshot of the own log, or of another's.
    fn snapshot(&mut self, index: u64, own: bool) -> Snapshot {
        let term = self.log.term_at(index).filter(|_| own).unwrap_or(self.hard.term + 1);
        Snapshot { index, term, data: self.body(), ..Snapshot::default() }
    }

    fn body(&mut self) -> ByteBuf {
        self.stamp += 1;
        ByteBuf::from(self.stamp.to_le_bytes().to_vec())
    }
}

/// Invariant: the last of `possible` is the newest state; the first is the last one acknowledged.
struct Player {
    disk: ConsensusDisk,
    possible: Vec<State>,
    write: Option<SnapshotWrite>,
}

impl Player {
    fn newest(&self) -> State {
        self.possible.last().cloned().unwrap_or_default()
    }

    fn play(&mut self, op: &Op) -> NodeResult<()> {
        let mut state = self.newest();
        match op {
            Op::Vote(terms) => {
                state.hard.term += terms;
                state.hard.voted = Some(state.hard.term % 5);
                self.disk.save_hard_state(state.hard);
                self.possible.push(state);
                return Ok(());
            }
            Op::Append { cut, add } => {
                let from = (state.log.last() + 1).saturating_sub(*cut).max(state.settled() + 1);
                let term = state.hard.term;
                let entries: Vec<Entry> = (0..*add)
                    .map(|i| Entry { index: from + i, term, body: Body::Command(state.body()) })
                    .collect();
                self.disk.save_entries(from, &entries);
                state.log.cut(from);
                state.log.entries.extend(entries);
                self.possible.push(state);
                return Ok(());
            }
            Op::Sync => self.disk.sync()?,
            Op::Compact { above } => {
                let index = state.log.last().saturating_sub(*above);
                if index <= state.settled() {
                    return Ok(());
                }
                self.put_snapshot(state, index, true)?;
            }
            Op::BeginCompaction { above } => {
                let index = state.log.last().saturating_sub(*above);
                if index <= state.settled() {
                    return Ok(());
                }
                state.pending = Some(state.snapshot(index, true));
                let write = self.disk.begin_snapshot(state.hard, &state.compacted().log)?;
                self.write = Some(write);
                self.possible = vec![state];
                return Ok(());
            }
            Op::Write => {
                let Some(mut write) = self.write.take() else {
                    return Ok(());
                };
                write.run()?;
                self.possible = self.possible.iter().map(State::compacted).collect();
                return self.disk.finish_snapshot(write);
            }
            Op::Install { before, behind } => {
                let index = (state.log.last() + behind).saturating_sub(*before);
                if index <= state.settled() {
                    return Ok(());
                }
                self.put_snapshot(state, index, false)?;
            }
        }
        self.possible = vec![self.newest()];
        Ok(())
    }

    fn put_snapshot(&mut self, mut state: State, index: u64, keeps: bool) -> NodeResult<()> {
        let snap = state.snapshot(index, keeps);
        let entries = match keeps {
            true => state.log.entries.iter().filter(|e| e.index > index).cloned().collect(),
            false => Vec::new(),
        };
        state.pending = None;
        state.log = TermLog::default();
        state.log.snap = snap;
        state.log.entries = entries;
        self.possible.push(state.clone());
        self.disk.save_snapshot(state.hard, &state.log)
    }
}

fn open(disk: &SimulatedDisk) -> NodeResult<(ConsensusDisk, HardState, TermLog)> {
    ConsensusDisk::open_on(disk.handle(), Path::new(DIR))
}

/// Opens after a loss of power, which comes again while the disk is opened; what is found is one of
/// the possible states.
fn recover(disk: &SimulatedDisk, possible: &[State], cuts: &[u64]) -> Player {
    let opened = cuts.iter().find_map(|steps| disk.open_until_cut(*steps, || open(disk)));
    disk.restart();
    drop(opened);
    let (disk, hard, log) = open(disk).unwrap();
    let found = possible.iter().find(|state| state.same(hard, &log));
    let found = found.unwrap_or_else(|| panic!("found {hard:?} {log:?}\nof {possible:#?}"));
    let mut found = found.clone();
    found.pending = None;
    found.log = log;
    let stamp = possible.last().map_or(0, |state| state.stamp);
    Player { disk, possible: vec![State { stamp, ..found }], write: None }
}

/// Plays a history, loses power where `trouble` says or at its end, reads back, and goes on.
fn play(seed: u64, ops: &[Op], trouble: Trouble, cuts: &[u64]) -> u64 {
    let disk = SimulatedDisk::new(seed);
    let mut player = recover(&disk, &[State::default()], cuts);
    for _ in 0..3 {
        disk.set_trouble(trouble);
        let failed = ops.iter().find_map(|op| player.play(op).err());
        assert!(failed.is_none() || disk.is_dark(), "{failed:?}");
        player = recover(&disk, &player.possible, cuts);
    }
    disk.steps()
}

#[test]
fn votes_entries_and_snapshots_are_read_back_after_a_cut_at_any_step() {
    arbtest::arbtest(|u| {
        let ops = history(u)?;
        let seed = u.arbitrary()?;
        let cuts = [u.int_in_range(0..=5)?, u.int_in_range(0..=5)?];
        let steps = play(seed, &ops, Trouble::default(), &[]);
        for at in 0..=steps / 3 + 1 {
            let trouble = Trouble { steps_left: Some(at), ..Trouble::default() };
            play(seed ^ at, &ops, trouble, &cuts);
        }
        Ok(())
    })
    .budget_ms(4000);
}

/// A sync that fails and a disk that is full for a while, and power lost some steps later.
#[test]
fn a_failed_sync_and_a_full_disk_cost_nothing_that_was_acknowledged() {
    arbtest::arbtest(|u| {
        let ops = history(u)?;
        let seed = u.arbitrary()?;
        let steps = play(seed, &ops, Trouble::default(), &[]);
        for at in 0..=steps / 3 + 1 {
            let steps_left = Some(at + u.int_in_range(0..=10)?);
            let fails = Trouble { steps_until_sync_fails: Some(at), ..Trouble::default() };
            let full = Trouble {
                steps_until_full: Some(at),
                pauses_until_free: u.int_in_range(1..=4)?,
                ..Trouble::default()
            };
            play(seed ^ at, &ops, full, &[]);
            play(seed ^ at, &ops, Trouble { steps_left, ..full }, &[]);
            play(seed ^ at, &ops, Trouble { steps_left, ..fails }, &[]);
        }
        Ok(())
    })
    .budget_ms(4000);
}
