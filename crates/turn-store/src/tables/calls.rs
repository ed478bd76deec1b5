//! Answering the calls of proxies, cells and other stores.
use super::StoreTables;
use crate::prelude::*;

impl StoreTables {
    /// Answers a call; what it changed is pushed to `log` and must be synced before the answer goes.
    pub fn call(&mut self, call: StoreCall, now: Duration, log: &mut Vec<LogRecord>) -> StoreReply {
        let made_under = match &call {
            StoreCall::Open(open) => Some(open.version),
            StoreCall::Find { version, .. }
            | StoreCall::Close { version, .. }
            | StoreCall::Write { version, .. } => Some(*version),
            _ => None,
        };
        if let Some(refusal) = made_under.and_then(|v| self.refuse_other_version(v)) {
            return refusal;
        }
        match call {
            StoreCall::Open(open) => self.open(open, now, log),
            StoreCall::Fetch { ids } => StoreReply::Turns(self.records(&ids)),
            StoreCall::Find { id, .. } => {
                let (lookup, turns) = self.chain(&id, true, now);
                let caught_up = self.history.is_caught_up();
                StoreReply::Found { caught_up, lookup, turns }
            }
            StoreCall::Close { record, earlier, settle, .. } => {
                self.close(record, earlier, settle, now, log)
            }
            StoreCall::Write { program, write, .. } => {
                let outcome = self.write(&program, &write, now, log);
                let has_complete_history = self.has_complete_history(&program);
                StoreReply::Written { has_complete_history, outcome }
            }
            StoreCall::Notify { program, write } => {
                self.write(&program, &write, now, log);
                StoreReply::Done
            }
            StoreCall::Sync(sync) => self.sync(sync),
            // The owner takes it.
            StoreCall::Learn { .. } => StoreReply::Done,
            StoreCall::Status => self.status(),
        }
    }

    /// Refuses what was made under another set than the one in force here, and all as long as the set
    /// doesn't have this store: the call was meant for the disk that was at this address before.
    pub(super) fn refuse_other_version(&self, version: u64) -> Option<StoreReply> {
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

    fn open(&mut self, call: OpenCall, now: Duration, log: &mut Vec<LogRecord>) -> StoreReply {
        let later = self.observe_incarnation(&call.claim);
        let outcome = call.claim.as_ref().map(|claim| self.write(&call.program, claim, now, log));
        let view = match outcome {
            None => ProgramView::default(),
            Some(_) => self
                .programs
                .get(&call.program)
                .map_or_else(ProgramView::default, |p| p.ledger.view(now, &self.incarnations)),
        };
        let (lookup, turns) = match &call.prev {
            None => (TurnLookup::Missing, Vec::new()),
            Some(id) => self.chain(id, call.want, now),
        };
        let has_complete_history = self.has_complete_history(&call.program);
        StoreReply::Open(OpenReply { has_complete_history, outcome, view, later, lookup, turns })
    }

    /// Keeps a turn with its whole chain, or nothing: a store that kept a turn without those before it
    /// would count as a copy of what it can't give back. Under an epoch that has lost its authority
    /// nothing is kept either.
    fn close(
        &mut self,
        record: TurnRecord,
        earlier: Vec<TurnRecord>,
        settle: Option<LedgerWrite>,
        now: Duration,
        log: &mut Vec<LogRecord>,
    ) -> StoreReply {
        let brought = |id: &String| earlier.iter().any(|turn| turn.id == *id);
        let lacks = |id: &&String| !self.turns.contains_key(*id) && !brought(id);
        let lacking: Vec<String> = record.chain.iter().filter(lacks).cloned().collect();
        if !lacking.is_empty() {
            return StoreReply::Lacks(lacking);
        }
        if let Some(write) = settle {
            let outcome = self.write(&record.program, &write, now, log);
            if !outcome.is_granted() {
                return StoreReply::Written { has_complete_history: true, outcome };
            }
        }
        for turn in earlier {
            self.record(LogRecord::turn_of(record.program.clone(), turn), now, log);
        }
        self.link_chain(&record, now, log);
        self.record(LogRecord::Turn(record), now, log);
        StoreReply::Done
    }

    /// Turns of the chain that are here for another program are kept for this one as well, and all of
    /// them as long as the turn.
    fn link_chain(&mut self, record: &TurnRecord, now: Duration, log: &mut Vec<LogRecord>) {
        let until = now + Self::retention_of(record);
        let program = self.programs.get(&record.program);
        let stored: HashSet<&str> =
            program.into_iter().flat_map(|p| &p.turns).map(|turn| turn.id.as_str()).collect();
        let mut unlinked = Vec::new();
        for id in &record.chain {
            let Some(row) = self.turns.get_mut(id) else { continue };
            row.until = row.until.max(until);
            if !stored.contains(id.as_str()) {
                unlinked.push(LogRecord::turn_of(record.program.clone(), row.record.clone()));
            }
        }
        for earlier in unlinked {
            self.record(earlier, now, log);
        }
    }

    /// Takes note of a claiming node's incarnation; gives back a later one of it, if one is known.
    fn observe_incarnation(&mut self, claim: &Option<LedgerWrite>) -> Option<u64> {
        let Some(LedgerWrite::Claim { attempt, .. }) = claim else { return None };
        self.incarnations.saw(attempt.node, attempt.incarnation);
        self.incarnations.newest(attempt.node).filter(|n| *n > attempt.incarnation)
    }

    fn has_complete_history(&self, program: &str) -> bool {
        self.history.has_complete_history(StoreSet::key_of(program))
    }

    fn records(&self, ids: &[String]) -> Vec<TurnRecord> {
        ids.iter().filter_map(|id| self.turns.get(id)).map(|row| row.record.clone()).collect()
    }

    /// Whether a turn is here, and its chain's turns where they are wanted.
    fn chain(&self, id: &str, want: bool, now: Duration) -> (TurnLookup, Vec<TurnRecord>) {
        let Some(row) = self.turns.get(id).filter(|row| row.until > now) else {
            return (TurnLookup::Missing, Vec::new());
        };
        let mut ids = row.record.chain.clone();
        ids.push(id.to_string());
        let turns = match want {
            true => self.records(&ids),
            false => Vec::new(),
        };
        (TurnLookup::Found(ids), turns)
    }

    fn status(&self) -> StoreReply {
        StoreReply::Status {
            name: String::new(),
            turns: self.turns.len() as u64,
            programs: self.programs.len() as u64,
            version: self.history.set.version,
            disk_bytes: 0,
            fresh: self.history.caught_up.is_none(),
            beyond_proof: self.history.is_beyond_proof(),
        }
    }
}
