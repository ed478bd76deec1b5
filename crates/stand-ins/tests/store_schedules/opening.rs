//! The proxies' side: a turn is claimed and opened at its program's group, under the set that the proxy
//! knows; while too few stores answer it is asked again.
use crate::closing::Close;
use crate::copies::{program_name, turn_id};
use crate::prelude::*;
use crate::world::PROGRAMS;

/// How long an open may take, and the pause before it is tried again (`request-proxy`, `turns`).
pub const OPEN: Duration = ms(1600);
const AGAIN: Duration = ms(50);
/// Between two turns of one proxy.
const BETWEEN: (Duration, Duration) = (ms(300), ms(2500));
/// Chains grow no longer than this.
const CHAIN: usize = 8;
const LEASE: Duration = Duration::from_secs(3600);

#[derive(Default)]
pub struct Proxy {
    pub set: StoreSet,
}

impl Proxy {
    pub fn learns(&mut self, set: &StoreSet) {
        if set.version > self.set.version {
            self.set = set.clone();
        }
    }
}

/// An acknowledged turn.
#[derive(Debug, Clone)]
pub struct Turn {
    pub program: u64,
    pub req: u64,
    /// The turns before it.
    pub chain: Vec<String>,
}

/// A turn that is to be opened.
#[derive(Debug, Clone)]
pub struct Ask {
    pub proxy: usize,
    pub program: u64,
    pub req: u64,
    pub previous: Option<Turn>,
    pub began: Time,
    /// It ends with the open.
    pub abandoned: bool,
}

/// What an open found: what others of the program may have put out, and the chain.
pub type Opened = (u64, Vec<TurnRecord>);

pub fn attempt(req: u64) -> NewAttempt {
    NewAttempt {
        req,
        session: req,
        number: 0,
        node: 1,
        incarnation: 1,
        consumed: None,
        pinned: Pinned::default(),
        most: 10,
        engine: None,
    }
}

impl World {
    pub fn turn_due(&mut self, proxy: usize) {
        if !self.traffic {
            return;
        }
        let wait = self.delay(BETWEEN.0, BETWEEN.1);
        self.clock.after(wait, Event::TurnDue { proxy });
        let mut program = self.any(PROGRAMS as usize) as u64;
        let mut previous = None;
        if !self.turns.is_empty() && !self.chance(5) {
            let place = self.any(self.turns.len());
            let turn = self.turns[place].clone();
            // Now and then another program goes on from it.
            program = if self.chance(8) { program } else { turn.program };
            previous = Some(turn);
        }
        let long = previous.as_ref().is_some_and(|t| t.chain.len() + 1 >= CHAIN);
        let abandoned = long || self.chance(6);
        let (req, began) = (self.request(), self.clock.now);
        self.opens(Ask { proxy, program, req, previous, began, abandoned });
    }

    pub fn request(&mut self) -> u64 {
        self.next_req += 1;
        self.next_req
    }

    pub fn opens(&mut self, ask: Ask) {
        let due: u32 = self.ledger[ask.program as usize].values().sum();
        let (spent, chain) = match self.open(&ask) {
            Ok(o) => o,
            Err(OpenFault::Unsure) => {
                if self.clock.now + AGAIN <= ask.began + OPEN {
                    self.clock.after(AGAIN, Event::Opens(Box::new(ask)));
                }
                return;
            }
            Err(f) => panic!("{:?} was acknowledged: {f:?}\n{}", ask.previous, self.trace()),
        };
        self.check_opened(&ask, due, spent, &chain);
        self.ledger[ask.program as usize].insert(ask.req, 10);
        self.acknowledge(&[Acknowledged::Claim(ask.req)]);
        if !ask.abandoned {
            self.begins_close(Close::new(&ask, chain));
        }
    }

    /// No reservation is missed, and the chain is whole and in order.
    pub fn check_opened(&self, ask: &Ask, due: u32, spent: u64, chain: &[TurnRecord]) {
        let same = ask.previous.as_ref().is_none_or(|t| t.program == ask.program);
        assert!(
            !same || spent >= u64::from(due),
            "{spent} of {due} known of {}\n{}",
            ask.program,
            self.trace()
        );
        if let Some(turn) = &ask.previous {
            let ids: Vec<&String> = chain.iter().map(|t| &t.id).collect();
            let own = turn_id(turn.req);
            let want: Vec<&String> = turn.chain.iter().chain([&own]).collect();
            assert_eq!(ids, want, "the whole chain, in order");
        }
    }

    /// Opens a turn with the group's stores in any order; gives what was found, or why not.
    pub fn open(&mut self, ask: &Ask) -> Result<Opened, OpenFault> {
        let set = self.proxies[ask.proxy].set.clone();
        let program = program_name(ask.program);
        let group = set.group(StoreSet::key_of(&program));
        let mut order = group.clone();
        self.shuffle(&mut order);
        let previous = ask.previous.as_ref().map(|t| turn_id(t.req));
        let mut ledger = OpenLedger::new(group.len(), set.quorum(), previous.is_some());
        let limits = Limits { per_session: 0, recheck: Recheck::Never, ..Limits::default() };
        let mut tally = ClaimTally::new(set.quorum(), ask.req, ask.req, limits);
        let mut rest = order.iter();
        loop {
            match ledger.step(&group) {
                OpenStep::Ready => {
                    let go = tally.decide(None, 10, &|_| true);
                    assert!(matches!(go, ClaimDecision::Go { .. }), "{go:?}");
                    return Ok((tally.spent(), ledger.chain()));
                }
                OpenStep::Search => return self.search(ask.proxy, &set, previous.as_deref()),
                OpenStep::Fault(f) => return Err(f),
                OpenStep::Fetch(id, ids) => {
                    if let Some(StoreReply::Turns(t)) = self.call(id, StoreCall::Fetch { ids }) {
                        ledger.bring(t);
                    }
                    continue;
                }
                OpenStep::Wait => {}
            }
            let Some(id) = rest.next() else { return Err(OpenFault::Unsure) };
            let want = self.chance(2);
            let claim = LedgerWrite::Claim { attempt: attempt(ask.req), lease: LEASE };
            let q = StoreCall::Open(OpenCall {
                version: set.version,
                program: program.clone(),
                claim: Some(claim),
                prev: previous.clone(),
                want,
            });
            match self.call_under(ask.proxy, &set, *id, q) {
                Some(StoreReply::Open(r)) => {
                    let outcome = r.outcome.unwrap();
                    let counts = r.has_complete_history && outcome.is_granted();
                    if r.has_complete_history {
                        tally.take(*id, &outcome, r.view);
                    }
                    ledger.take(*id, counts, want, (r.lookup, r.turns));
                }
                _ => ledger.fail(),
            }
        }
    }

    /// A call under a proxy's set: whichever of the two has the older one is given the newer.
    pub fn call_under(
        &mut self,
        proxy: usize,
        set: &StoreSet,
        id: u64,
        q: StoreCall,
    ) -> Option<StoreReply> {
        let reply = self.call(id, q);
        match &reply {
            Some(StoreReply::Stale(newer)) => self.proxies[proxy].learns(newer),
            Some(StoreReply::Behind) => {
                let (wait, set) = (self.delay(ms(1), ms(20)), Rc::new(set.clone()));
                if let Some(store) = self.machine_of(id) {
                    let life = self.stores[store].life;
                    self.clock.after(wait, Event::Learns { store, life, set });
                }
            }
            _ => {}
        }
        reply
    }

    fn search(
        &mut self,
        proxy: usize,
        set: &StoreSet,
        previous: Option<&str>,
    ) -> Result<Opened, OpenFault> {
        let ids: Vec<u64> = set.stores.iter().map(|e| e.id).collect();
        let mut ledger = OpenLedger::search(set, ids.len());
        for id in &ids {
            let q = StoreCall::Find { version: set.version, id: previous.unwrap_or("").into() };
            match self.call_under(proxy, set, *id, q) {
                Some(StoreReply::Found { caught_up, lookup, turns }) => {
                    ledger.take(*id, caught_up, true, (lookup, turns));
                }
                _ => ledger.fail(),
            }
        }
        loop {
            match ledger.step(&ids) {
                // A turn of the same program is never found by a search alone.
                OpenStep::Ready => return Ok((0, ledger.chain())),
                OpenStep::Fetch(id, turns) => {
                    let q = StoreCall::Fetch { ids: turns };
                    if let Some(StoreReply::Turns(t)) = self.call(id, q) {
                        ledger.bring(t);
                    }
                }
                OpenStep::Fault(f) => return Err(f),
                OpenStep::Wait | OpenStep::Search => return Err(OpenFault::Unsure),
            }
        }
    }
}
