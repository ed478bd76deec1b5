//! The proxies' side: a turn is kept with a majority of its group, each store by a call of its own, and
//! settled; it is acknowledged once all of these have synced it.
use crate::copies::{program_name, turn_id};
use crate::opening::{attempt, Ask, Turn};
use crate::prelude::*;

/// The pause before a close is tried again, and how long one that says nothing is waited for until the
/// others are asked (`request-proxy`, `turns`).
const AGAIN: Duration = ms(50);
const SLOW: Duration = ms(60);
/// A close is given up after this.
const GIVEN_UP: Duration = ms(2500);
/// What one call takes at the most.
const CALL: Duration = ms(40);

pub struct Close {
    proxy: usize,
    req: u64,
    turn: Turn,
    record: TurnRecord,
    /// The turns before it, for stores that lack some of them.
    chain: Vec<TurnRecord>,
    until: Time,
    /// The set of this try, which try it is, who is left to be asked, and how many are asked just now.
    set: StoreSet,
    attempt: u64,
    rest: VecDeque<u64>,
    asked: usize,
    kept: usize,
}

impl Close {
    /// The turn that was opened by `ask`, going on from `chain`.
    pub fn new(ask: &Ask, chain: Vec<TurnRecord>) -> Self {
        let program = program_name(ask.program);
        let ids: Vec<String> = chain.iter().map(|t| t.id.clone()).collect();
        let record = TurnRecord {
            id: turn_id(ask.req),
            chain: ids.clone(),
            program,
            input: ByteBuf::from(vec![ask.req as u8]),
            output: ByteBuf::new(),
            engine: String::new(),
            session_tokens: 0,
            keep_ms: 3_600_000,
        };
        Close {
            proxy: ask.proxy,
            req: ask.req,
            turn: Turn { program: ask.program, req: ask.req, chain: ids },
            record,
            chain,
            until: ask.began + GIVEN_UP,
            set: StoreSet::default(),
            attempt: 0,
            rest: VecDeque::new(),
            asked: 0,
            kept: 0,
        }
    }

    fn settle(&self) -> LedgerWrite {
        let epoch = Some(attempt(self.req).epoch());
        LedgerWrite::Settle { req: self.req, epoch, tokens: 4, stopped: true, call: None }
    }

    fn call(&self, lacking: &[String]) -> StoreCall {
        let earlier = self.chain.iter().filter(|turn| lacking.contains(&turn.id));
        StoreCall::Close {
            version: self.set.version,
            record: self.record.clone(),
            earlier: earlier.cloned().collect(),
            settle: Some(self.settle()),
        }
    }
}

impl World {
    pub fn begins_close(&mut self, close: Close) {
        // From here on four tokens are what was put out, whoever learns of it.
        self.ledger[close.turn.program as usize].insert(close.req, 4);
        self.closes.push(close);
        self.close_again(self.closes.len() - 1);
    }

    pub fn close_again(&mut self, close: usize) {
        let set = self.proxies[self.closes[close].proxy].set.clone();
        let mut group = set.group(StoreSet::key_of(&self.closes[close].record.program));
        self.shuffle(&mut group);
        let c = &mut self.closes[close];
        let quorum = set.quorum();
        (c.rest, c.set, c.attempt) = (group.into(), set, c.attempt + 1);
        (c.asked, c.kept) = (0, 0);
        (0..quorum).for_each(|_| self.asks_one(close));
        let c = &self.closes[close];
        let (program, write) = (c.record.program.clone(), c.settle());
        for store in c.rest.clone() {
            let (program, write) = (program.clone(), write.clone());
            let wait = self.delay(ms(1), CALL);
            self.clock.after(wait, Event::Noted { store, program, write });
        }
    }

    /// One more store of the group is asked to keep the turn.
    fn asks_one(&mut self, close: usize) {
        let Some(store) = self.closes[close].rest.pop_front() else { return };
        self.closes[close].asked += 1;
        let answers = self.machine_of(store).is_some_and(|i| self.stores[i].answers());
        let wait = if answers { self.delay(ms(1), CALL) } else { SLOW };
        let attempt = self.closes[close].attempt;
        self.clock.after(wait, Event::Closes { close, attempt, store });
    }

    pub fn closes_at(&mut self, close: usize, attempt: u64, store: u64) {
        let c = &self.closes[close];
        if c.attempt != attempt || c.kept == c.set.quorum() {
            return;
        }
        let (proxy, set, q) = (c.proxy, c.set.clone(), c.call(&[]));
        let mut reply = self.call_under(proxy, &set, store, q);
        if let Some(StoreReply::Lacks(ids)) = &reply {
            let whole = self.closes[close].call(ids);
            reply = self.call_under(proxy, &set, store, whole);
        }
        self.closes[close].asked -= 1;
        match reply {
            Some(StoreReply::Done) => self.kept_by_one(close),
            Some(StoreReply::Stale(_)) => self.closes[close].rest.clear(),
            _ => self.asks_one(close),
        }
        let c = &self.closes[close];
        let over = c.kept == c.set.quorum() || c.asked > 0;
        if !over && self.clock.now + AGAIN <= c.until {
            self.clock.after(AGAIN, Event::CloseAgain { close });
        }
    }

    fn kept_by_one(&mut self, close: usize) {
        let c = &mut self.closes[close];
        c.kept += 1;
        if c.kept == c.set.quorum() {
            let (turn, req) = (c.turn.clone(), c.req);
            self.turns.push(turn);
            self.acknowledge(&[Acknowledged::Turn(req), Acknowledged::Settlement(req)]);
        }
    }
}
