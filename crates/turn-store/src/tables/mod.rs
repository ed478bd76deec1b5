//! The store's tables: pure, fed by calls, telling what must be logged.
use crate::prelude::*;

/// What goes to the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Logged {
    #[serde(rename = "t")]
    Turn(TurnRecord),
    #[serde(rename = "l")]
    Ledger { program: String, entry: LedgerEntry },
}

struct TurnRow {
    record: TurnRecord,
    until: Duration,
}

struct Program {
    entries: Vec<LedgerEntry>,
    until: Duration,
}

/// Invariants: a settled entry never becomes unsettled, nor changes; a turn is here from the moment
/// its record was given until `until`, which is never before its retention has passed.
pub struct StoreTables {
    pub me: u64,
    pub set: StoreSet,
    turns: HashMap<String, TurnRow>,
    ledger: BTreeMap<String, Program>,
}

/// A ledger lasts longer than any program that goes on.
const LEDGER_KEPT: Duration = Duration::from_secs(240);
/// Clocks and answers under way: a turn is kept somewhat longer than promised.
const SLACK: Duration = Duration::from_secs(20);
const LEDGER_PAGE: usize = 400;

impl StoreTables {
    pub fn new(me: u64) -> Self {
        StoreTables { me, set: StoreSet::default(), turns: HashMap::new(), ledger: BTreeMap::new() }
    }

    pub fn counts(&self) -> (usize, usize) {
        (self.turns.len(), self.ledger.len())
    }

    pub fn records(&self) -> impl Iterator<Item = &TurnRecord> {
        self.turns.values().map(|r| &r.record)
    }

    pub fn keep_for(record: &TurnRecord) -> Duration {
        Duration::from_millis(record.keep_ms) + SLACK
    }

    /// Takes what the log held, or a call brought.
    pub fn take(&mut self, l: Logged, now: Duration) {
        match l {
            Logged::Turn(record) => {
                let until = now + Self::keep_for(&record);
                self.turns.insert(record.id.clone(), TurnRow { record, until });
            }
            Logged::Ledger { program, entry } => {
                self.enter(program, entry, now);
            }
        }
    }

    /// True when the ledger changed.
    fn enter(&mut self, program: String, entry: LedgerEntry, now: Duration) -> bool {
        let p = self.ledger.entry(program).or_insert(Program { entries: Vec::new(), until: now });
        p.until = now + LEDGER_KEPT;
        match p.entries.iter_mut().find(|e| e.req == entry.req) {
            Some(e) if e.settled || !entry.settled => false,
            Some(e) => {
                *e = entry;
                true
            }
            None => {
                p.entries.push(entry);
                true
            }
        }
    }

    fn stale(&self, serial: u64) -> Option<StoreReply> {
        (serial < self.set.serial).then(|| StoreReply::Stale(self.set.clone()))
    }

    /// Answers a call; what it changed is pushed to `log` and must be synced before the answer goes.
    pub fn call(
        &mut self,
        q: StoreCall,
        sure: bool,
        now: Duration,
        log: &mut Vec<Logged>,
    ) -> StoreReply {
        match q {
            StoreCall::Open(o) => {
                if !sure {
                    return StoreReply::Unable;
                }
                if let Some(s) = self.stale(o.serial) {
                    return s;
                }
                let entry = LedgerEntry { req: o.req, tokens: o.most, settled: false };
                if o.most > 0 && self.enter(o.program.clone(), entry, now) {
                    log.push(Logged::Ledger { program: o.program.clone(), entry });
                }
                let ledger =
                    self.ledger.get(&o.program).map_or_else(Vec::new, |p| p.entries.clone());
                let (held, turns) = match &o.prev {
                    None => (Held::No, Vec::new()),
                    Some(id) => self.chain(id, o.want, now),
                };
                StoreReply::Open(OpenReply { ledger, held, turns })
            }
            StoreCall::Fetch { ids } => {
                let got = ids.iter().filter_map(|i| self.turns.get(i)).map(|r| r.record.clone());
                StoreReply::Turns(got.collect())
            }
            StoreCall::Close { serial, record, req, tokens } => {
                if let Some(s) = self.stale(serial) {
                    return s;
                }
                if !sure && !self.is_filling() {
                    return StoreReply::Unable;
                }
                let entry = LedgerEntry { req, tokens, settled: true };
                let program = record.program.clone();
                if self.enter(program.clone(), entry, now) {
                    log.push(Logged::Ledger { program, entry });
                }
                log.push(Logged::Turn(record.clone()));
                self.take(Logged::Turn(record), now);
                StoreReply::Done
            }
            StoreCall::Settle { program, req, tokens } => {
                let entry = LedgerEntry { req, tokens, settled: true };
                if self.enter(program.clone(), entry, now) {
                    log.push(Logged::Ledger { program, entry });
                }
                StoreReply::Done
            }
            StoreCall::Keep { records } => {
                for r in records {
                    log.push(Logged::Turn(r.clone()));
                    self.take(Logged::Turn(r), now);
                }
                StoreReply::Done
            }
            StoreCall::Ledger { serial, after } => {
                if !sure || self.set.serial < serial {
                    return StoreReply::Unable;
                }
                let from = match after {
                    Some(a) => std::ops::Bound::Excluded(a),
                    None => std::ops::Bound::Unbounded,
                };
                let rows: Vec<(String, Vec<LedgerEntry>)> = self
                    .ledger
                    .range((from, std::ops::Bound::Unbounded))
                    .take(LEDGER_PAGE)
                    .map(|(k, p)| (k.clone(), p.entries.clone()))
                    .collect();
                let more =
                    (rows.len() == LEDGER_PAGE).then(|| rows.last().map(|r| r.0.clone())).flatten();
                StoreReply::Ledger { rows, more }
            }
            StoreCall::Tell => StoreReply::Told {
                name: String::new(),
                turns: self.turns.len() as u64,
                programs: self.ledger.len() as u64,
                serial: self.set.serial,
                disk_bytes: 0,
                fresh: !sure,
            },
        }
    }

    fn is_filling(&self) -> bool {
        self.set.find(self.me).is_some()
    }

    fn chain(&self, id: &str, want: bool, now: Duration) -> (Held, Vec<TurnRecord>) {
        let Some(row) = self.turns.get(id).filter(|r| r.until > now) else {
            return (Held::No, Vec::new());
        };
        let mut ids = row.record.chain.clone();
        ids.push(id.to_string());
        let turns = match want {
            true => {
                ids.iter().filter_map(|i| self.turns.get(i)).map(|r| r.record.clone()).collect()
            }
            false => Vec::new(),
        };
        (Held::Yes(ids), turns)
    }

    /// Rows of another store's ledger.
    pub fn merge(
        &mut self,
        rows: Vec<(String, Vec<LedgerEntry>)>,
        now: Duration,
        log: &mut Vec<Logged>,
    ) {
        for (program, entries) in rows {
            for entry in entries {
                if self.enter(program.clone(), entry, now) {
                    log.push(Logged::Ledger { program: program.clone(), entry });
                }
            }
        }
    }

    /// Drops what is past its time. A turn others go on from is renewed with its whole chain.
    pub fn expire(&mut self, now: Duration) {
        let mut renew: Vec<(String, Duration)> = Vec::new();
        for r in self.turns.values().filter(|r| r.until > now) {
            renew.extend(r.record.chain.iter().map(|i| (i.clone(), r.until)));
        }
        for (id, until) in renew {
            if let Some(r) = self.turns.get_mut(&id) {
                r.until = r.until.max(until);
            }
        }
        self.turns.retain(|_, r| r.until > now);
        self.ledger.retain(|_, p| p.until > now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(id: &str, chain: &[&str]) -> TurnRecord {
        TurnRecord {
            id: id.into(),
            chain: chain.iter().map(|s| s.to_string()).collect(),
            program: "p".into(),
            input: ByteBuf::from(b"in".to_vec()),
            output: ByteBuf::from(b"out\n".to_vec()),
            engine: "i".into(),
            line_tokens: 1,
            keep_ms: 60_000,
            copies: vec![1, 2],
        }
    }

    fn open(serial: u64, req: u64, most: u32, prev: Option<&str>) -> StoreCall {
        StoreCall::Open(OpenCall {
            serial,
            program: "p".into(),
            req,
            most,
            prev: prev.map(String::from),
            want: true,
        })
    }

    #[test]
    fn a_recorded_turn_is_found_with_its_chain_until_its_time_is_over() {
        let mut t = StoreTables::new(1);
        let mut log = Vec::new();
        let at = Duration::from_secs;
        for (id, chain) in [("a", vec![]), ("b", vec!["a"]), ("c", vec!["a", "b"])] {
            let q = StoreCall::Close { serial: 0, record: record(id, &chain), req: 1, tokens: 5 };
            assert!(matches!(t.call(q, true, at(1), &mut log), StoreReply::Done));
        }
        let StoreReply::Open(o) = t.call(open(0, 9, 50, Some("c")), true, at(2), &mut log) else {
            panic!()
        };
        assert!(matches!(&o.held, Held::Yes(ids) if ids == &["a", "b", "c"]));
        assert_eq!(o.turns.len(), 3);
        assert_eq!(o.ledger.len(), 2);
        t.expire(at(50));
        assert_eq!(t.counts().0, 3);
        t.expire(at(100));
        assert_eq!(t.counts().0, 0);
    }

    #[test]
    fn an_older_set_is_fenced_and_an_unsure_store_says_nothing() {
        let mut t = StoreTables::new(1);
        t.set.serial = 4;
        let mut log = Vec::new();
        let now = Duration::ZERO;
        assert!(matches!(t.call(open(3, 1, 5, None), true, now, &mut log), StoreReply::Stale(_)));
        assert!(matches!(t.call(open(4, 1, 5, None), false, now, &mut log), StoreReply::Unable));
        assert!(log.is_empty());
    }

    /// Whatever the order of reservations, settlements, repeats and merges, a settled entry stays,
    /// and tables rebuilt from the log are the same.
    #[test]
    fn the_ledger_rebuilt_from_its_log_is_the_same() {
        for seed in 0..200u64 {
            arbtest::arbtest(|u| {
                let mut t = StoreTables::new(1);
                let mut log = Vec::new();
                let mut settled: HashMap<u64, u32> = HashMap::new();
                let now = Duration::ZERO;
                for _ in 0..u.int_in_range(1..=40)? {
                    let req = u.int_in_range(1..=6u64)?;
                    let tokens = u.int_in_range(1..=90u32)?;
                    if u.arbitrary()? {
                        t.call(open(0, req, tokens, None), true, now, &mut log);
                    } else {
                        settled.entry(req).or_insert(tokens);
                        let q = StoreCall::Settle { program: "p".into(), req, tokens };
                        t.call(q, true, now, &mut log);
                    }
                }
                let mut again = StoreTables::new(1);
                for l in log {
                    again.take(l, now);
                }
                let rows = |t: &mut StoreTables| match t.call(
                    StoreCall::Ledger { serial: 0, after: None },
                    true,
                    now,
                    &mut Vec::new(),
                ) {
                    StoreReply::Ledger { rows, .. } => rows,
                    _ => Vec::new(),
                };
                let mine = rows(&mut t);
                assert_eq!(mine, rows(&mut again));
                for (_, entries) in mine {
                    for e in entries {
                        assert_eq!(e.settled.then_some(e.tokens), settled.get(&e.req).copied());
                    }
                }
                Ok(())
            })
            .seed(seed << 32 | 512);
        }
    }
}
