//! The store's tables: pure, fed by calls, telling what must be logged.
use crate::prelude::*;

/// What goes to the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Logged {
    /// A turn that counts.
    #[serde(rename = "t")]
    Turn(TurnRecord),
    /// What is known of an attempt.
    #[serde(rename = "l")]
    Attempt {
        /// Whose it is.
        program: String,
        /// Its newest state.
        record: AttemptRecord,
    },
    /// A turn that a program goes on from, kept with it though it is another program's.
    #[serde(rename = "f")]
    Foreign {
        /// The program that goes on from it.
        program: String,
        /// The turn, with the program that it was made for.
        record: TurnRecord,
    },
}

struct TurnRow {
    record: TurnRecord,
    until: Duration,
}

/// Invariant: `turns` names the turns of the program that are here.
struct Program {
    ledger: ProgramLedger,
    turns: Vec<String>,
    until: Duration,
}

/// Invariants: `lives` is what this process has heard; a turn is here from the moment
/// its record was given until `until`, which is never before its retention has passed.
pub struct StoreTables {
    /// What this store may speak for.
    pub history: History,
    turns: HashMap<String, TurnRow>,
    programs: BTreeMap<String, Program>,
    limits: Limits,
    lives: Lives,
}

/// A ledger lasts longer than any program that goes on.
const LEDGER_KEPT: Duration = Duration::from_secs(240);
/// Clocks and answers under way: a turn is kept somewhat longer than promised.
const SLACK: Duration = Duration::from_secs(20);
/// Programs in one answer to a store that asks for what others hold.
const SYNC_PAGE: usize = 300;

impl StoreTables {
    /// Of `limits`, the lease and the slack are used here.
    pub fn new(history: History, limits: Limits) -> Self {
        StoreTables {
            history,
            turns: HashMap::new(),
            programs: BTreeMap::new(),
            limits,
            lives: Lives::default(),
        }
    }

    fn program(&mut self, name: &str) -> &mut Program {
        let limits = self.limits;
        self.programs.entry(name.to_string()).or_insert_with(|| Program {
            ledger: ProgramLedger::new(limits),
            turns: Vec::new(),
            until: Duration::ZERO,
        })
    }

    /// Turns and programs here.
    pub fn counts(&self) -> (usize, usize) {
        (self.turns.len(), self.programs.len())
    }

    /// Whether a turn is here.
    pub fn has_turn(&self, id: &str) -> bool {
        self.turns.contains_key(id)
    }

    /// How long a turn is kept from when it is given.
    pub fn keep_for(record: &TurnRecord) -> Duration {
        Duration::from_millis(record.keep_ms) + SLACK
    }

    /// Takes what the log held, or a call brought.
    pub fn take(&mut self, l: Logged, now: Duration) {
        match l {
            Logged::Turn(record) => {
                let program = record.program.clone();
                self.keep(program, record, now);
            }
            Logged::Foreign { program, record } => self.keep(program, record, now),
            Logged::Attempt { program, record } => {
                let p = self.program(&program);
                p.until = p.until.max(now + LEDGER_KEPT);
                p.ledger.replay(&record, now);
            }
        }
    }

    fn keep(&mut self, program: String, record: TurnRecord, now: Duration) {
        let until = now + Self::keep_for(&record);
        let p = self.program(&program);
        p.until = p.until.max(until);
        if !p.turns.contains(&record.id) {
            p.turns.push(record.id.clone());
        }
        let row = self.turns.entry(record.id.clone()).or_insert(TurnRow { record, until });
        row.until = row.until.max(until);
    }

    /// Applies a write of the dispatcher; what it changed is logged before its outcome is told.
    fn write(
        &mut self,
        program: &str,
        w: &LedgerWrite,
        now: Duration,
        log: &mut Vec<Logged>,
    ) -> WriteOutcome {
        let lives = std::mem::take(&mut self.lives);
        let p = self.program(program);
        p.until = p.until.max(now + LEDGER_KEPT);
        let done = p.ledger.apply(w, now, &lives);
        self.lives = lives;
        if let Some(record) = done.log {
            log.push(Logged::Attempt { program: program.to_string(), record });
        }
        done.outcome
    }

    /// A node spoke; gives back a later life of it, if one is known.
    fn hear(&mut self, claim: &Option<LedgerWrite>) -> Option<u64> {
        let Some(LedgerWrite::Claim { attempt, .. }) = claim else { return None };
        self.lives.saw(attempt.node, attempt.incarnation);
        self.lives.newest(attempt.node).filter(|n| *n > attempt.incarnation)
    }

    /// A store has transferred all it holds; true when this one is caught up by that.
    pub fn transferred(&mut self, version: u64, from: u64, caught_up: Option<VersionSpan>) -> bool {
        self.history.transferred(version, from, caught_up);
        self.history.complete()
    }

    /// Refuses what was made under another set than the one in force here, and all as long as the set
    /// doesn't have this store: the call was meant for the disk that was at this address before.
    fn fenced(&self, version: u64) -> Option<StoreReply> {
        let set = &self.history.set;
        match version.cmp(&set.version) {
            std::cmp::Ordering::Less => Some(StoreReply::Stale(set.clone())),
            std::cmp::Ordering::Greater => Some(StoreReply::Behind),
            std::cmp::Ordering::Equal if set.find(self.history.me).is_none() => {
                Some(StoreReply::Unable)
            }
            std::cmp::Ordering::Equal => None,
        }
    }

    /// Answers a call; what it changed is pushed to `log` and must be synced before the answer goes.
    pub fn call(&mut self, q: StoreCall, now: Duration, log: &mut Vec<Logged>) -> StoreReply {
        match q {
            StoreCall::Open(o) => {
                if let Some(r) = self.fenced(o.version) {
                    return r;
                }
                let later = self.hear(&o.claim);
                let outcome = o.claim.as_ref().map(|w| self.write(&o.program, w, now, log));
                let view = match outcome {
                    None => ProgramView::default(),
                    Some(_) => self
                        .programs
                        .get(&o.program)
                        .map_or_else(ProgramView::default, |p| p.ledger.view(now, &self.lives)),
                };
                let (held, turns) = match &o.prev {
                    None => (Held::No, Vec::new()),
                    Some(id) => self.chain(id, o.want, now),
                };
                let key = StoreSet::key_of(&o.program);
                let has_complete_history = self.history.has_complete_history(key);
                StoreReply::Open(OpenReply {
                    has_complete_history,
                    outcome,
                    view,
                    later,
                    held,
                    turns,
                })
            }
            StoreCall::Fetch { ids } => {
                let got = ids.iter().filter_map(|i| self.turns.get(i)).map(|r| r.record.clone());
                StoreReply::Turns(got.collect())
            }
            StoreCall::Find { version, id } => {
                if let Some(r) = self.fenced(version) {
                    return r;
                }
                let (held, turns) = self.chain(&id, true, now);
                let caught_up = self.history.is_caught_up();
                StoreReply::Found { caught_up, held, turns }
            }
            StoreCall::Close { version, record, foreign, settle } => {
                if let Some(r) = self.fenced(version) {
                    return r;
                }
                // Under an epoch that has lost its authority nothing is kept.
                if let Some(w) = settle {
                    let outcome = self.write(&record.program, &w, now, log);
                    if !outcome.is_granted() {
                        return StoreReply::Written { has_complete_history: true, outcome };
                    }
                }
                for f in foreign {
                    let l = Logged::Foreign { program: record.program.clone(), record: f };
                    log.push(l.clone());
                    self.take(l, now);
                }
                log.push(Logged::Turn(record.clone()));
                self.take(Logged::Turn(record), now);
                StoreReply::Done
            }
            StoreCall::Write { version, program, write } => {
                if let Some(r) = self.fenced(version) {
                    return r;
                }
                let outcome = self.write(&program, &write, now, log);
                StoreReply::Written {
                    has_complete_history: self
                        .history
                        .has_complete_history(StoreSet::key_of(&program)),
                    outcome,
                }
            }
            StoreCall::Note { program, write } => {
                self.write(&program, &write, now, log);
                StoreReply::Done
            }
            StoreCall::Sync(q) => self.sync(q),
            // The owner takes it.
            StoreCall::Learn { .. } => StoreReply::Done,
            StoreCall::Tell => StoreReply::Status {
                name: String::new(),
                turns: self.turns.len() as u64,
                programs: self.programs.len() as u64,
                version: self.history.set.version,
                disk_bytes: 0,
                fresh: self.history.caught_up.is_none(),
                beyond_proof: self.history.is_beyond_proof(),
            },
        }
    }

    /// A page of what this store holds of the programs that the asking one keeps.
    fn sync(&self, q: SyncCall) -> StoreReply {
        if let Some(r) = self.fenced(q.version) {
            return r;
        }
        let from = match q.after {
            Some(a) => std::ops::Bound::Excluded(a),
            None => std::ops::Bound::Unbounded,
        };
        let mut rows = Vec::new();
        let mut more = None;
        for (program, p) in self.programs.range((from, std::ops::Bound::Unbounded)) {
            if !self.history.keeps(q.me, StoreSet::key_of(program)) {
                continue;
            }
            if rows.len() == SYNC_PAGE {
                more = rows.last().map(|r: &SyncRow| r.program.clone());
                break;
            }
            let (ledger, turns) = (p.ledger.records().cloned().collect(), p.turns.clone());
            rows.push(SyncRow { program: program.clone(), ledger, turns });
        }
        StoreReply::Sync(SyncReply { caught_up: self.history.caught_up, rows, more })
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

    /// Takes another store's ledger of a program; tells which of its turns, as (program, id),
    /// are not here.
    pub fn merge(
        &mut self,
        row: SyncRow,
        now: Duration,
        log: &mut Vec<Logged>,
    ) -> Vec<(String, String)> {
        // Turns held for another program already are kept for this one as well.
        for id in &row.turns {
            let known = self.programs.get(&row.program).is_some_and(|p| p.turns.contains(id));
            let here = self.turns.get(id).map(|r| r.record.clone());
            if let (false, Some(record)) = (known, here) {
                let l = Logged::Foreign { program: row.program.clone(), record };
                log.push(l.clone());
                self.take(l, now);
            }
        }
        for record in row.ledger {
            self.write(&row.program, &LedgerWrite::Merge(record), now, log);
        }
        let lacking = row.turns.into_iter().filter(|t| !self.turns.contains_key(t));
        lacking.map(|t| (row.program.clone(), t)).collect()
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
        let turns = &self.turns;
        for p in self.programs.values_mut() {
            p.turns.retain(|t| turns.contains_key(t));
        }
        self.programs.retain(|_, p| p.until > now || !p.turns.is_empty());
    }
}
