//! The stores, the set and the proxies' side, all pure and without a clock.
use control_cell::duties::may_retire;
use control_cell::prelude::{next_stores, RecoveryBounds, StoreObservation};
use dispatcher::prelude::{ClaimDecision, ClaimTally, NewAttempt, Pinned, Reread};
use request_proxy::prelude::{OpenFault, OpenLedger, OpenStep};
use stand_ins::prelude::*;
use turn_store::prelude::*;

struct Store {
    name: String,
    addr: String,
    zone: String,
    id: u64,
    /// What is on disk.
    log: Vec<Logged>,
    caught_up: Option<VersionSpan>,
    tables: StoreTables,
    up: bool,
    /// It never comes back.
    dead: bool,
    /// It was down or lost its disk, and has not caught up since: it counts as lost.
    lost: bool,
    /// It was told to stop; its successor may be there.
    ending: bool,
}

impl Store {
    fn new(i: u64, zones: u64, id: u64, caught_up: Option<VersionSpan>) -> Self {
        Store {
            name: format!("s{i}"),
            addr: format!("a{i}"),
            zone: format!("z{}", i % zones),
            id,
            log: Vec::new(),
            caught_up,
            tables: StoreTables::new(History::new(id, caught_up), Limits::default()),
            up: true,
            dead: false,
            lost: false,
            ending: false,
        }
    }

    fn restart(&mut self) {
        self.tables = StoreTables::new(History::new(self.id, self.caught_up), Limits::default());
        self.log.iter().for_each(|l| self.tables.take(l.clone(), NOW));
        (self.up, self.ending) = (true, false);
    }

    fn goes_down(&mut self) {
        (self.up, self.lost) = (false, true);
    }

    /// Its disk is gone; it comes back with another identity.
    fn wiped(&mut self, id: u64) {
        (self.id, self.caught_up, self.lost) = (id, None, true);
        self.log.clear();
        self.restart();
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

    /// It is on its disk, whether the store is up or not.
    fn holds(&self, turn: &str) -> bool {
        self.log.iter().any(|l| match l {
            Logged::Turn(r) | Logged::Foreign { record: r, .. } => r.id == turn,
            Logged::Attempt { .. } => false,
        })
    }

    fn is_caught_up(&self) -> bool {
        self.tables.history.is_caught_up()
    }
}

const NOW: Duration = Duration::from_secs(5);
const PROGRAMS: u64 = 6;

/// Rounds in which all groups answer again, once everything is back and quiet.
const HEALED_WITHIN: u32 = 4;
/// Rounds in which the leader has taken all steps: each store that comes or goes by plan takes two.
const QUIET_WITHIN: u32 = 60;

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

pub struct World {
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
    /// Acknowledged orders to retire a machine, by its name.
    orders: BTreeSet<String>,
    /// The most rounds that it took until all groups answered again.
    pub rounds: u32,
}

pub type Luck<'a, 'b> = &'a mut arbtest::arbitrary::Unstructured<'b>;
pub type Drawn<T> = arbtest::arbitrary::Result<T>;

fn shuffled(u: Luck, ids: &[u64]) -> Drawn<Vec<u64>> {
    let mut v = ids.to_vec();
    for i in 0..v.len() {
        let j = u.int_in_range(i..=v.len() - 1)?;
        v.swap(i, j);
    }
    Ok(v)
}

impl World {
    pub fn new(n: u64, zones: u64, tolerated: u32) -> Self {
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
            orders: BTreeSet::new(),
            rounds: 0,
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

    /// Every placed store is up and caught up under the newest set.
    fn settled(&self) -> bool {
        let placed = self.set.placement().map_or(&[][..], |p| &p.stores);
        let ok = |id: u64| self.stores.iter().any(|s| s.id == id && self.caught_up(s));
        placed.iter().all(|p| ok(p.id))
    }

    fn caught_up(&self, s: &Store) -> bool {
        s.up && s.is_caught_up() && s.tables.history.set.version == self.set.version
    }

    /// What is lost now: a store that was down or lost its disk until it has caught up; one that is
    /// gone for good, or that isn't placed any more, until all that are placed have.
    fn count_losses(&mut self) -> usize {
        let settled = self.settled();
        let placed: Vec<u64> =
            self.set.placement().map_or(Vec::new(), |p| p.stores.iter().map(|s| s.id).collect());
        for i in 0..self.stores.len() {
            let s = &self.stores[i];
            let over = match placed.contains(&s.id) {
                true => self.caught_up(s),
                false => settled && (s.up || s.dead),
            };
            if over {
                self.stores[i].lost = false;
            }
        }
        let set = &self.set;
        self.stores.retain(|s| !s.dead || s.lost || set.find(s.id).is_some());
        self.stores.iter().filter(|s| s.lost).count()
    }

    /// One more may be lost.
    fn spare(&mut self) -> bool {
        self.count_losses() < self.tolerated as usize
    }

    fn lead(&mut self) {
        let seen: Vec<StoreObservation> = self
            .stores
            .iter()
            .map(|s| StoreObservation {
                status: StoreStatus {
                    id: s.id,
                    name: s.name.clone(),
                    addr: s.addr.clone(),
                    zone: s.zone.clone(),
                    fresh: s.caught_up.is_none(),
                    version: s.tables.history.set.version,
                    caught_up: s.caught_up,
                    ending: s.ending,
                },
                silent: match (s.up, s.dead) {
                    (true, _) => Duration::ZERO,
                    (_, false) => Duration::from_secs(3),
                    _ => Duration::from_secs(30),
                },
                known_for: Duration::from_secs(60),
            })
            .collect();
        let calm = Duration::from_secs(60);
        let bounds = RecoveryBounds::from_catch_up(Duration::from_secs(6));
        if let Some(next) = next_stores(&self.set, &seen, calm, self.tolerated, &bounds) {
            self.old = std::mem::replace(&mut self.set, next);
            self.check_orders();
        }
    }

    /// An acknowledged order is never forgotten; what a machine held that may be taken away lies with a
    /// majority of the group that keeps it now, less those whose disks were lost just then.
    fn check_orders(&mut self) {
        let before = self.old.clone();
        for name in &self.orders {
            assert!(self.set.retirement(name).is_some(), "the order to retire {name} is forgotten");
            let was = before.retirement(name);
            assert!(was != Some(Retirement::Completed) || self.set.retirement(name) == was);
        }
        let of = |set: &StoreSet, name: &str| set.retirement(name) == Some(Retirement::Completed);
        let done = |name: &str| of(&self.set, name) && !of(&before, name);
        if self.stores.iter().any(|s| done(&s.name)) {
            self.check_copies();
        }
        let set = self.set.clone();
        for s in self.stores.iter_mut().filter(|s| of(&set, &s.name)) {
            (s.up, s.dead) = (false, true);
        }
        self.stores.retain(|s| !of(&set, &s.name));
    }

    fn check_copies(&self) {
        for (p, id, _) in &self.turns {
            let group = self.set.group(StoreSet::key_of(&format!("p{p}")));
            let at = |g: &&u64| self.stores.iter().find(|s| s.id == **g);
            let holders = group.iter().filter(|g| at(g).is_some_and(|s| s.holds(id))).count();
            let wiped = group.iter().filter(|g| at(g).is_none()).count();
            assert!(holders + wiped >= self.set.quorum(), "{id}: {holders} copies, {wiped} wiped");
            assert!(holders > 0, "{id}: no copy is left");
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
            for MissingTurn { program, id } in self.stores[i].tables.merge(row, NOW, &mut log) {
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
        assert!(!same || spent >= u64::from(due), "{spent} of {due} known: {:?}", self.states());
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
            let close = |earlier: Vec<TurnRecord>| StoreCall::Close {
                version: set.version,
                record: record.clone(),
                earlier,
                settle: Some(settle.clone()),
            };
            let mut reply = self.at(s).and_then(|s| s.call(close(Vec::new())));
            if let Some(StoreReply::Lacks(ids)) = reply {
                let asked = chain.iter().filter(|t| ids.contains(&t.id)).cloned().collect();
                reply = self.at(s).and_then(|s| s.call(close(asked)));
            }
            if let Some(StoreReply::Done) = reply {
                kept += 1;
            }
            if kept == set.quorum() {
                self.turns.push((p, id, ids));
                break;
            }
        }
        Ok(())
    }

    pub fn step(&mut self, u: Luck) -> Drawn<()> {
        let i = u.int_in_range(0..=self.stores.len() - 1)?;
        match u.int_in_range(0..=29u8)? {
            0..=6 => self.turn(u)?,
            7..=8 => self.tell(i),
            9..=12 => {
                let j = u.int_in_range(0..=self.stores.len() - 1)?;
                self.sync(i, j);
            }
            13..=14 => self.lead(),
            15 => self.lose(i, false),
            16 => self.comes_back(i),
            17 => self.lose(i, true),
            18 => self.add(),
            19 => self.retire(i),
            20 => self.replace_as_planned(i, u.arbitrary()?),
            21 => self.ends(i),
            22 => self.power_loss(),
            23..=24 => self.burst(u)?,
            25..=26 => self.retire_beside_a_loss(u, i)?,
            _ => self.round(),
        }
        Ok(())
    }

    /// One is away while another is retired and the rest take over: it may be the one that lacks what
    /// only the retired one has.
    fn retire_beside_a_loss(&mut self, u: Luck, i: usize) -> Drawn<()> {
        let away = u.int_in_range(0..=self.stores.len() - 1)?;
        self.lose(away, false);
        self.retire(i);
        self.round();
        self.lead();
        Ok(())
    }

    /// Several changes one right after the other, with nothing transferred between them.
    fn burst(&mut self, u: Luck) -> Drawn<()> {
        for _ in 0..u.int_in_range(2..=6)? {
            let i = u.int_in_range(0..=self.stores.len() - 1)?;
            match u.int_in_range(0..=6u8)? {
                0 => self.add(),
                1 => self.retire(i),
                2 => self.replace_as_planned(i, u.arbitrary()?),
                3 => self.ends(i),
                4 => self.power_loss(),
                _ => self.lose(i, true),
            }
            if u.arbitrary()? {
                self.lead();
            }
            if u.arbitrary()? {
                (0..self.stores.len()).for_each(|i| self.tell(i));
            }
        }
        Ok(())
    }

    fn tell(&mut self, i: usize) {
        let set = self.set.clone();
        if self.stores[i].up {
            self.stores[i].learn(&set);
        }
    }

    /// It goes down, or loses its disk; what is down already may lose its disk as well.
    fn lose(&mut self, i: usize, disk: bool) {
        let i = i % self.stores.len();
        if self.stores[i].dead || !(self.spare() || self.at_lost(i)) {
            return;
        }
        let Some(s) = self.stores.get_mut(i) else { return };
        match disk {
            true => {
                self.next_id += 1;
                s.wiped(self.next_id);
            }
            false => s.goes_down(),
        }
    }

    fn at_lost(&self, i: usize) -> bool {
        self.stores.get(i).is_some_and(|s| s.lost && !s.up)
    }

    fn comes_back(&mut self, i: usize) {
        if !self.stores[i].up && !self.stores[i].dead {
            self.stores[i].restart();
        }
    }

    /// All stores lose power at once, and are back with their disks.
    fn power_loss(&mut self) {
        self.stores.iter_mut().filter(|s| !s.dead).for_each(Store::restart);
    }

    /// One more, or one at another address in the place of one that is away for good.
    fn add(&mut self) {
        if self.stores.len() >= 16 {
            return;
        }
        self.next_id += 1;
        let mut s = Store::new(self.next_id, self.zones, self.next_id, None);
        if let Some(old) = self.stores.iter_mut().find(|s| !s.up && !s.dead) {
            s.zone.clone_from(&old.zone);
            old.dead = true;
        }
        self.stores.push(s);
    }

    fn retire(&mut self, i: usize) {
        let i = i % self.stores.len();
        let (id, name) = (self.stores[i].id, self.stores[i].name.clone());
        let placed = self.set.placement().is_some_and(|p| p.has(id));
        if placed && may_retire(&self.set) {
            let next = self.set.begin_retirement(&name);
            self.old = std::mem::replace(&mut self.set, next);
            self.orders.insert(name);
        }
    }

    /// Another machine is up, in its zone and at times of its name, and it is told to stop.
    fn replace_as_planned(&mut self, i: usize, same_name: bool) {
        let i = i % self.stores.len();
        if self.stores.len() >= 16 || self.stores[i].ending || self.stores[i].dead {
            return;
        }
        self.next_id += 1;
        let mut s = Store::new(self.next_id, self.zones, self.next_id, None);
        s.zone.clone_from(&self.stores[i].zone);
        if same_name {
            s.name.clone_from(&self.stores[i].name);
        }
        self.stores[i].ending = true;
        self.stores.push(s);
    }

    /// One that was told to stop does: once nothing depends on it, else as a loss.
    fn ends(&mut self, i: usize) {
        let i = i % self.stores.len();
        if !self.stores[i].ending || self.stores[i].dead {
            return;
        }
        let free = self.set.find(self.stores[i].id).is_none() && self.settled();
        if free || self.spare() {
            if let Some(s) = self.stores.get_mut(i).filter(|s| s.ending) {
                (s.up, s.dead, s.lost) = (false, true, !free);
            }
        }
    }

    /// Name, identity, whether it is up, dead and ending, the span in which it is caught up, and the
    /// version of its set.
    fn states(&self) -> Vec<String> {
        let state = |s: &Store| {
            let set = s.tables.history.set.version;
            format!(
                "{} {} up {} dead {} ending {} {:?} set {set}",
                s.name, s.id, s.up, s.dead, s.ending, s.caught_up
            )
        };
        self.stores.iter().map(state).collect()
    }

    /// Everybody learns the set, asks everybody, and the leader looks once.
    fn round(&mut self) {
        self.exchange();
        self.lead();
    }

    fn exchange(&mut self) {
        (0..self.stores.len()).for_each(|i| self.tell(i));
        for i in 0..self.stores.len() {
            (0..self.stores.len()).for_each(|j| self.sync(i, j));
        }
    }

    /// Everybody comes back; within `HEALED_WITHIN` rounds all must be caught up, and every turn is
    /// found and no reservation missed, whoever is asked.
    pub fn heal(&mut self, u: Luck) -> Drawn<()> {
        for s in self.stores.iter_mut().filter(|s| !s.up && !s.dead) {
            s.restart();
        }
        for round in 1.. {
            let before = self.set.version;
            self.exchange();
            let dead = self.stores.iter().any(|s| s.dead && self.set.find(s.id).is_some());
            let answering = self.settled() || dead;
            if answering && self.rounds == 0 {
                self.rounds = round;
            }
            assert!(self.rounds > 0 || round < HEALED_WITHIN, "no answers: {:?}", self.states());
            self.lead();
            let open = self.set.retirements.values().any(|r| *r == Retirement::Running);
            if before == self.set.version && (dead || answering && !open) {
                break;
            }
            assert!(round < QUIET_WITHIN, "not quiet: {:?}", self.states());
        }
        let set = self.set.clone();
        for s in self.stores.iter().filter(|s| set.placement().is_some_and(|p| p.has(s.id))) {
            assert!(s.dead || s.is_caught_up(), "{} isn't caught up", s.name);
        }
        for (p, id, _) in self.turns.clone() {
            self.next_req += 1;
            let got = self.open(u, &set, p, self.next_req, Some(&id))?;
            assert!(got.is_ok(), "{id} of p{p}: {got:?}");
            let due: u32 = self.ledger[p as usize].values().sum();
            assert!(got.is_ok_and(|(spent, _)| spent >= u64::from(due)), "budget of p{p} is freed");
            // Another program may go on from it as well.
            self.next_req += 1;
            let got = self.open(u, &set, (p + 1) % PROGRAMS, self.next_req, Some(&id))?;
            assert!(got.is_ok(), "{id} of p{p} from another: {got:?}");
        }
        Ok(())
    }
}
