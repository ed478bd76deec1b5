//! Generated schedules over the stores, the set and the answers to opens, all pure: stores are killed,
//! wiped (as many at once as are tolerated), added, emptied and taken away; proxies work under old
//! sets; copying comes in any order. No turn that was acknowledged is ever called unknown, and no open
//! misses a reservation that was acknowledged.
use control_cell::prelude::{next_stores, StoreObservation};
use dispatcher::prelude::{ClaimDecision, ClaimTally, NewAttempt, Pinned, Reread};
use request_proxy::prelude::{OpenFault, OpenLedger, OpenStep};
use stand_ins::prelude::*;
use turn_store::prelude::*;

struct Store {
    name: String,
    zone: String,
    id: u64,
    /// What is on disk.
    log: Vec<Logged>,
    caught_up: Option<VersionSpan>,
    tables: StoreTables,
    up: bool,
    /// It never comes back.
    dead: bool,
}

impl Store {
    fn new(i: u64, zones: u64, id: u64, caught_up: Option<VersionSpan>) -> Self {
        Store {
            name: format!("s{i}"),
            zone: format!("z{}", i % zones),
            id,
            log: Vec::new(),
            caught_up,
            tables: StoreTables::new(History::new(id, caught_up), Limits::default()),
            up: true,
            dead: false,
        }
    }

    fn restart(&mut self) {
        self.tables = StoreTables::new(History::new(self.id, self.caught_up), Limits::default());
        self.log.iter().for_each(|l| self.tables.take(l.clone(), NOW));
        self.up = true;
    }

    fn call(&mut self, q: StoreCall) -> Option<StoreReply> {
        if !self.up {
            return None;
        }
        let mut log = Vec::new();
        let r = self.tables.call(q, NOW, &mut log);
        self.log.extend(log);
        Some(r)
    }

    fn learn(&mut self, set: &StoreSet) {
        self.tables.history.learn(set.clone());
        self.caught_up = self.tables.history.caught_up;
    }

    fn is_caught_up(&self) -> bool {
        self.tables.history.is_caught_up()
    }
}

const NOW: Duration = Duration::from_secs(5);
const PROGRAMS: u64 = 6;

const LEASE: Duration = Duration::from_secs(60);

fn attempt(req: u64) -> NewAttempt {
    NewAttempt {
        req,
        line: req,
        number: 0,
        node: 1,
        incarnation: 1,
        consumed: None,
        pinned: Pinned::default(),
        most: 10,
        engine: None,
    }
}

struct World {
    tolerated: u32,
    zones: u64,
    set: StoreSet,
    /// A set that some proxy still works under.
    old: StoreSet,
    stores: Vec<Store>,
    next_id: u64,
    next_req: u64,
    /// Acknowledged turns: (program, id, chain).
    turns: Vec<(u64, String, Vec<String>)>,
    /// Acknowledged reservations and what they came to, by program.
    ledger: Vec<BTreeMap<u64, u32>>,
}

type Luck<'a, 'b> = &'a mut arbtest::arbitrary::Unstructured<'b>;
type Drawn<T> = arbtest::arbitrary::Result<T>;

fn shuffled(u: Luck, ids: &[u64]) -> Drawn<Vec<u64>> {
    let mut v = ids.to_vec();
    for i in 0..v.len() {
        let j = u.int_in_range(i..=v.len() - 1)?;
        v.swap(i, j);
    }
    Ok(v)
}

impl World {
    fn new(n: u64, zones: u64, tolerated: u32) -> Self {
        let stores = (0..n)
            .map(|i| Store::new(i, zones, i + 1, Some(VersionSpan { from: 1, to: 1 })))
            .collect();
        let mut w = World {
            tolerated,
            zones,
            set: StoreSet::default(),
            old: StoreSet::default(),
            stores,
            next_id: 1000,
            next_req: 1,
            turns: Vec::new(),
            ledger: vec![BTreeMap::new(); PROGRAMS as usize],
        };
        w.lead();
        w.old = w.set.clone();
        for s in &mut w.stores {
            s.learn(&w.set);
        }
        w
    }

    fn at(&mut self, id: u64) -> Option<&mut Store> {
        self.stores.iter_mut().find(|s| s.id == id)
    }

    /// Stores that are away or not whole yet: what is lost now.
    fn lost(&self) -> usize {
        let set = self.set.version;
        let ok = |s: &&Store| {
            s.up && s.is_caught_up()
                && s.tables.history.set.version == set
                && self.set.find(s.id).is_some()
        };
        self.stores.len() - self.stores.iter().filter(ok).count()
    }

    fn lead(&mut self) {
        let seen: Vec<StoreObservation> = self
            .stores
            .iter()
            .map(|s| StoreObservation {
                status: StoreStatus {
                    id: s.id,
                    name: s.name.clone(),
                    addr: s.name.clone(),
                    zone: s.zone.clone(),
                    fresh: s.caught_up.is_none(),
                    version: s.tables.history.set.version,
                    caught_up: s.caught_up,
                    ending: false,
                },
                silent: match (s.up, s.dead) {
                    (true, _) => Duration::ZERO,
                    (_, false) => Duration::from_secs(3),
                    _ => Duration::from_secs(30),
                },
            })
            .collect();
        let calm = Duration::from_secs(60);
        if let Some(next) = next_stores(&self.set, &seen, calm, self.tolerated) {
            self.old = std::mem::replace(&mut self.set, next);
            let set = self.set.clone();
            let stays = |s: &Store| !s.dead || set.find(s.id).is_some();
            let gone = |s: &Store| set.retirement(&s.name) == Some(Retirement::Completed);
            self.stores.retain(|s| !gone(s) && stays(s));
        }
    }

    /// Store `i` asks store `j` for all it doesn't know.
    fn sync(&mut self, i: usize, j: usize) {
        let (me, version) = (self.stores[i].id, self.stores[i].tables.history.set.version);
        // One that is whole asks nobody: it goes on without the turns that others kept.
        if i == j || !self.stores[i].up || self.stores[i].is_caught_up() {
            return;
        }
        let q = StoreCall::Sync(SyncCall { version, me, after: None });
        let Some(StoreReply::Sync(page)) = self.stores[j].call(q) else { return };
        let mut log = Vec::new();
        for row in page.rows {
            for (program, id) in self.stores[i].tables.merge(row, NOW, &mut log) {
                let q = StoreCall::Fetch { ids: vec![id] };
                let Some(StoreReply::Turns(t)) = self.stores[j].call(q) else { return };
                for record in t {
                    let l = match record.program == program {
                        true => Logged::Turn(record),
                        false => Logged::Foreign { program: program.clone(), record },
                    };
                    log.push(l.clone());
                    self.stores[i].tables.take(l, NOW);
                }
            }
        }
        let from = self.stores[j].id;
        let s = &mut self.stores[i];
        s.log.extend(log);
        s.tables.transferred(version, from, page.caught_up);
        s.caught_up = s.tables.history.caught_up;
    }

    /// Opens a turn with stores in a drawn order; gives back its chain, or why not.
    fn open(
        &mut self,
        u: Luck,
        set: &StoreSet,
        p: u64,
        req: u64,
        prev: Option<&str>,
    ) -> Drawn<Result<(u64, Vec<TurnRecord>), OpenFault>> {
        let program = format!("p{p}");
        let group = set.group(StoreSet::key_of(&program));
        let order = shuffled(u, &group)?;
        let mut l = OpenLedger::new(group.len(), set.quorum(), prev.is_some());
        let limits = Limits { per_line: 0, reread: Reread::Never, ..Limits::default() };
        let mut tally = ClaimTally::new(set.quorum(), req, req, limits);
        let mut rest = order.iter();
        loop {
            match l.step(&group) {
                OpenStep::Ready => {
                    let go = tally.decide(None, 10, &|_| true);
                    assert!(matches!(go, ClaimDecision::Go { .. }), "{go:?}");
                    return Ok(Ok((tally.spent(), l.chain())));
                }
                OpenStep::Search => return self.search(set, prev),
                OpenStep::Fault(f) => return Ok(Err(f)),
                OpenStep::Fetch(id, ids) => {
                    let got = self.at(id).and_then(|s| s.call(StoreCall::Fetch { ids }));
                    if let Some(StoreReply::Turns(t)) = got {
                        l.bring(t);
                    }
                    continue;
                }
                OpenStep::Wait => {}
            }
            let Some(id) = rest.next() else { return Ok(Err(OpenFault::Unsure)) };
            let want: bool = u.arbitrary()?;
            let q = StoreCall::Open(OpenCall {
                version: set.version,
                program: program.clone(),
                claim: Some(LedgerWrite::Claim { attempt: attempt(req), lease: LEASE }),
                prev: prev.map(String::from),
                want,
            });
            match self.at(*id).and_then(|s| s.call(q)) {
                Some(StoreReply::Open(r)) => {
                    let outcome = r.outcome.unwrap();
                    let counts = r.has_complete_history && outcome.is_granted();
                    if r.has_complete_history {
                        tally.take(*id, &outcome, r.view);
                    }
                    l.take(*id, counts, want, (r.held, r.turns));
                }
                _ => l.fail(),
            }
        }
    }

    fn search(
        &mut self,
        set: &StoreSet,
        prev: Option<&str>,
    ) -> Drawn<Result<(u64, Vec<TurnRecord>), OpenFault>> {
        let ids: Vec<u64> = set.stores.iter().map(|e| e.id).collect();
        let mut l = OpenLedger::search(set, ids.len());
        for id in &ids {
            let q = StoreCall::Find { version: set.version, id: prev.unwrap_or("").into() };
            match self.at(*id).and_then(|s| s.call(q)) {
                Some(StoreReply::Found { caught_up, held, turns }) => {
                    l.take(*id, caught_up, true, (held, turns));
                }
                _ => l.fail(),
            }
        }
        loop {
            match l.step(&ids) {
                OpenStep::Ready => return Ok(Ok((0, l.chain()))),
                OpenStep::Fetch(id, turns) => {
                    let got = self.at(id).and_then(|s| s.call(StoreCall::Fetch { ids: turns }));
                    if let Some(StoreReply::Turns(t)) = got {
                        l.bring(t);
                    }
                }
                OpenStep::Fault(f) => return Ok(Err(f)),
                OpenStep::Wait | OpenStep::Search => return Ok(Err(OpenFault::Unsure)),
            }
        }
    }

    /// One turn from open to close, through a proxy that may work under an older set.
    fn turn(&mut self, u: Luck) -> Drawn<()> {
        let set = if u.ratio(1, 5)? { self.old.clone() } else { self.set.clone() };
        let mut p = u.int_in_range(0..=PROGRAMS - 1)?;
        let mut prev = None;
        if !self.turns.is_empty() && u.ratio(4, 5)? {
            let t = &self.turns[u.int_in_range(0..=self.turns.len() - 1)?];
            // Now and then another program goes on from it.
            p = if u.ratio(1, 8)? { p } else { t.0 };
            prev = Some(t.clone());
        }
        let req = self.next_req;
        self.next_req += 1;
        let before = prev.as_ref().map(|t| t.1.as_str());
        let opened = self.open(u, &set, p, req, before)?;
        let (spent, chain) = match opened {
            Ok(o) => o,
            Err(f) => {
                assert_ne!(f, OpenFault::NoTurn, "turn {prev:?} was acknowledged");
                return Ok(());
            }
        };
        let due: u32 = self.ledger[p as usize].values().sum();
        let same = prev.as_ref().is_none_or(|t| t.0 == p);
        assert!(!same || spent >= u64::from(due), "{spent} of {due} known");
        self.ledger[p as usize].insert(req, 10);
        let ids: Vec<String> = chain.iter().map(|t| t.id.clone()).collect();
        if let Some((_, id, before)) = &prev {
            let mut want = before.clone();
            want.push(id.clone());
            assert_eq!(ids, want, "the whole chain, in order");
        }
        if u.ratio(1, 6)? {
            return Ok(());
        }
        // The close goes to the group in a drawn order, until a majority has it.
        let program = format!("p{p}");
        let set = if u.ratio(1, 5)? { self.set.clone() } else { set };
        let group = shuffled(u, &set.group(StoreSet::key_of(&program)))?;
        let id = format!("t{req}");
        let foreign = match chain.last() {
            Some(l) if l.program != program => chain,
            _ => Vec::new(),
        };
        let record = TurnRecord {
            id: id.clone(),
            chain: ids.clone(),
            program,
            input: ByteBuf::from(vec![req as u8]),
            output: ByteBuf::new(),
            engine: String::new(),
            line_tokens: 0,
            keep_ms: 60_000,
        };
        // From here on four tokens are what was put out, whoever hears of it.
        self.ledger[p as usize].insert(req, 4);
        let epoch = Some(attempt(req).epoch());
        let settle = LedgerWrite::Settle { req, epoch, tokens: 4, stopped: true, call: None };
        let mut kept = 0;
        for s in group {
            let q = StoreCall::Close {
                version: set.version,
                record: record.clone(),
                foreign: foreign.clone(),
                settle: Some(settle.clone()),
            };
            if let Some(StoreReply::Done) = self.at(s).and_then(|s| s.call(q)) {
                kept += 1;
            }
            if kept == set.quorum() {
                self.turns.push((p, id, ids));
                break;
            }
        }
        Ok(())
    }

    fn step(&mut self, u: Luck) -> Drawn<()> {
        let i = u.int_in_range(0..=self.stores.len() - 1)?;
        let spare = self.lost() < self.tolerated as usize;
        match u.int_in_range(0..=19u8)? {
            0..=6 => self.turn(u)?,
            7..=8 => {
                let set = self.set.clone();
                if self.stores[i].up {
                    self.stores[i].learn(&set);
                }
            }
            9..=12 => {
                let j = u.int_in_range(0..=self.stores.len() - 1)?;
                self.sync(i, j);
            }
            13..=14 => self.lead(),
            15 if spare => self.stores[i].up = false,
            16 if !self.stores[i].up && !self.stores[i].dead => self.stores[i].restart(),
            // Its disk is gone. What is away already may lose its disk as well.
            17 if (spare || !self.stores[i].up) && !self.stores[i].dead => {
                self.next_id += 1;
                let id = self.next_id;
                let s = &mut self.stores[i];
                (s.id, s.caught_up) = (id, None);
                s.log.clear();
                s.restart();
            }
            // One more, or one at another address in the place of one that is away for good.
            18 if self.stores.len() < 16 => {
                self.next_id += 1;
                let mut s = Store::new(self.next_id, self.zones, self.next_id, None);
                if let Some(old) = self.stores.iter_mut().find(|s| !s.up && !s.dead) {
                    s.zone.clone_from(&old.zone);
                    old.dead = true;
                }
                self.stores.push(s);
            }
            19 if spare && self.set.placed() > self.set.group_size() => {
                let id = self.stores[i].id;
                let name = self.stores[i].name.clone();
                if self.set.find(id).is_some_and(|e| e.state == StoreState::Placed) {
                    let next = self.set.begin_retirement(&name);
                    self.old = std::mem::replace(&mut self.set, next);
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Everybody comes back; then all must be whole and every turn be found, whoever is asked.
    fn heal(&mut self, u: Luck) -> Drawn<()> {
        for s in self.stores.iter_mut().filter(|s| !s.up && !s.dead) {
            s.restart();
        }
        for _ in 0..40 {
            let set = self.set.clone();
            self.stores.iter_mut().for_each(|s| s.learn(&set));
            for i in 0..self.stores.len() {
                for j in 0..self.stores.len() {
                    self.sync(i, j);
                }
            }
            let before = self.set.version;
            self.lead();
            let dead = self.stores.iter().filter(|s| s.dead).count();
            if before == self.set.version && self.lost() == dead {
                break;
            }
        }
        let set = self.set.clone();
        for s in self.stores.iter().filter(|s| !s.dead) {
            assert!(s.is_caught_up(), "{} isn't whole again", s.name);
        }
        for (p, id, _) in self.turns.clone() {
            self.next_req += 1;
            let got = self.open(u, &set, p, self.next_req, Some(&id))?;
            assert!(got.is_ok(), "{id} of p{p}: {got:?}");
            // Another program may go on from it as well.
            self.next_req += 1;
            let got = self.open(u, &set, (p + 1) % PROGRAMS, self.next_req, Some(&id))?;
            assert!(got.is_ok(), "{id} of p{p} from another: {got:?}");
        }
        Ok(())
    }
}

#[test]
fn no_acknowledged_turn_is_unknown_and_no_reservation_is_missed() {
    for (n, tolerated) in
        [(4, 1), (5, 1), (5, 2), (9, 1), (9, 2), (9, 3), (15, 1), (15, 2), (15, 3)]
    {
        for seed in 0..60u64 {
            arbtest::arbtest(|u| {
                let zones = u.int_in_range(1..=5u64)?;
                let mut w = World::new(n, zones, tolerated);
                for _ in 0..u.int_in_range(20..=160)? {
                    w.step(u)?;
                }
                w.heal(u)
            })
            .seed((seed * 31 + n * 7 + u64::from(tolerated)) << 32 | 4096);
        }
    }
}
