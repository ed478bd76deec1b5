//! Programs that last longer than one turn is kept, or than a segment of the log: as long as the newest
//! turn of a chain is owed, all turns before it are, and what their attempts came to counts.
mod common;

use common::*;
use turn_store::prelude::*;

const RETENTION: Duration = Duration::from_secs(60);

fn close_call(record: TurnRecord, earlier: Vec<TurnRecord>) -> StoreCall {
    StoreCall::Close { version: 1, record, earlier, settle: None }
}

fn holds_whole_chain(tables: &mut StoreTables, id: &str, now: Duration) -> bool {
    let find = StoreCall::Find { version: 1, id: id.into() };
    let StoreReply::Found { lookup, turns, .. } = tables.call(find, now, &mut Vec::new()) else {
        return false;
    };
    matches!(lookup, TurnLookup::Found(ids) if ids.len() == turns.len())
}

/// Two turns of one program were kept by different stores of its group. The first was forgotten by the one
/// that didn't have the second, and the store with the second had never had the first.
#[test]
fn a_store_keeps_a_turn_only_with_its_whole_chain() {
    let mut tables = tables(FOUNDER);
    let mut log = Vec::new();
    let (first, second) = (record("p", "a", &[]), record("p", "b", &["a"]));
    let refused = tables.call(close_call(second.clone(), Vec::new()), NOW, &mut log);
    assert!(matches!(refused, StoreReply::Lacks(ids) if ids == ["a"]));
    assert!(log.is_empty() && !tables.has_turn("b"), "nothing was kept");
    let kept = tables.call(close_call(second, vec![first]), NOW, &mut log);
    assert!(matches!(kept, StoreReply::Done));
    assert!(holds_whole_chain(&mut tables, "b", NOW));
    let mut again = common::tables(FOUNDER);
    log.into_iter().for_each(|l| again.replay(l, NOW));
    assert!(holds_whole_chain(&mut again, "b", NOW), "also after a restart");
}

#[test]
fn a_chain_is_kept_as_long_as_its_newest_turn() {
    let mut tables = tables(FOUNDER);
    let mut now = NOW;
    let mut chain: Vec<String> = Vec::new();
    for number in 0..12 {
        let id = format!("t{number}");
        let before: Vec<&str> = chain.iter().map(String::as_str).collect();
        let call = close_call(record("p", &id, &before), Vec::new());
        assert!(matches!(tables.call(call, now, &mut Vec::new()), StoreReply::Done));
        chain.push(id.clone());
        // Just before the retention ends the program goes on.
        now += RETENTION - Duration::from_millis(1);
        tables.expire(now);
        assert!(holds_whole_chain(&mut tables, &id, now), "{id}");
    }
}

/// What the log holds once segments were removed gives everything that is owed again, whenever the store
/// is restarted: turns with their chains, and what the program's attempts came to.
#[test]
fn what_is_owed_outlives_the_segments_it_was_written_in() {
    for seed in 0..60u64 {
        arbtest::arbtest(|u| {
            let mut world = World::new();
            for _ in 0..u.int_in_range(40..=160)? {
                world.now += Duration::from_millis(u.int_in_range(1..=25_000)?);
                match u.int_in_range(0..=4u8)? {
                    0..=2 => world.turn(u.int_in_range(0..=1)?),
                    3 => world.rotate(),
                    _ => world.sweep(),
                }
                world.check();
            }
            Ok(())
        })
        .seed(seed << 32 | 4096);
    }
}

/// A store with its log, and what it acknowledged.
struct World {
    now: Duration,
    tables: StoreTables,
    uses: SegmentUses,
    /// What each segment holds.
    segments: BTreeMap<u64, Vec<LogRecord>>,
    newest: u64,
    programs: [Program; 2],
    next: u64,
}

/// What is owed to one program.
#[derive(Default)]
struct Program {
    name: String,
    chain: Vec<String>,
    /// When its newest turn was answered.
    at: Duration,
    /// What its attempts have put out.
    tokens: u32,
}

impl World {
    fn new() -> Self {
        World {
            now: NOW,
            tables: tables(FOUNDER),
            uses: SegmentUses::default(),
            segments: BTreeMap::from([(1, Vec::new())]),
            newest: 1,
            programs: Default::default(),
            next: 1,
        }
    }

    fn write(&mut self, log: Vec<LogRecord>) {
        let until = log.iter().filter_map(LogRecord::turn).map(StoreTables::retention_of).max();
        let until = self.now + until.unwrap_or_default() * 2;
        self.uses.written(self.newest, self.now, until);
        self.segments.entry(self.newest).or_default().extend(log);
    }

    fn turn(&mut self, program: usize) {
        let (number, now) = (self.next, self.now);
        let program = &mut self.programs[program];
        if program.chain.is_empty() || now.saturating_sub(program.at) >= RETENTION {
            // Nothing is owed any more; the next turn begins another program.
            *program = Program { name: format!("p{number}"), ..Program::default() };
        }
        let id = format!("t{number}");
        let before: Vec<&str> = program.chain.iter().map(String::as_str).collect();
        let settle = Some(settle(number, None, 3));
        let record = record(&program.name, &id, &before);
        program.chain.push(id);
        program.at = now;
        program.tokens += 3;
        let call = StoreCall::Close { version: 1, record, earlier: Vec::new(), settle };
        let mut log = Vec::new();
        assert!(matches!(self.tables.call(call, self.now, &mut log), StoreReply::Done));
        self.next += 1;
        self.write(log);
    }

    fn rotate(&mut self) {
        self.newest += 1;
    }

    fn sweep(&mut self) {
        self.tables.expire(self.now);
        if let Some(removal) = self.uses.removable(self.now, self.newest) {
            let owed = self.tables.rewrite_written_until(removal.written_until, self.now);
            self.write(owed);
            self.segments.retain(|number, _| *number >= removal.below);
            self.uses.removed(removal);
        }
    }

    /// A restart at this moment has all that is owed.
    fn check(&self) {
        let mut again = tables(FOUNDER);
        let records = self.segments.values().flatten();
        records.for_each(|l| again.replay(l.clone(), Duration::ZERO));
        for program in &self.programs {
            let owed = self.now.saturating_sub(program.at) < RETENTION;
            if let Some(id) = program.chain.last().filter(|_| owed) {
                assert!(holds_whole_chain(&mut again, id, Duration::ZERO), "{id}");
                assert_eq!(spent(&mut again, &program.name), program.tokens, "{}", program.name);
            }
        }
    }
}

/// What a store knows of a program's attempts.
fn spent(tables: &mut StoreTables, program: &str) -> u32 {
    let call = StoreCall::Sync(SyncCall { version: 1, me: 2, after: None });
    let StoreReply::Sync(page) = tables.call(call, Duration::ZERO, &mut Vec::new()) else {
        return 0;
    };
    let rows = page.rows.iter().filter(|row| row.program == program);
    rows.flat_map(|row| &row.ledger).map(AttemptRecord::tokens).sum()
}
