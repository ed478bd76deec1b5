//! The proxy's side of the stores: opening, closing and settling turns.
use super::cache::ChainCache;
use super::open::{OpenFault, OpenLedger, OpenStep, Opened};
use crate::app::locked;
use crate::prelude::*;

/// The newest store set known, and a link to each store. Invariant: the set's version never goes back.
pub struct TurnBank {
    zone: String,
    set: Mutex<Arc<StoreSet>>,
    links: Mutex<HashMap<String, StoreLink>>,
    cache: Mutex<ChainCache>,
}

#[derive(Clone)]
struct StoreLink {
    caller: Caller,
    /// It didn't answer in time lately: until then it is no first choice.
    suspect: Arc<Mutex<Option<Instant>>>,
}

/// A turn to be kept, or settled when it came to nothing.
pub struct TurnClose {
    pub record: TurnRecord,
    /// The turns before it, where these were another program's.
    pub foreign: Vec<Arc<TurnRecord>>,
    pub req: u64,
    pub tokens: u32,
    /// A reservation was made.
    pub reserved: bool,
}

pub struct OpenAsk<'a> {
    pub program: &'a str,
    pub req: u64,
    pub most: u32,
    pub allowance: Option<u64>,
    pub previous: Option<&'a str>,
}

const CALL: Duration = Duration::from_millis(900);
const OPEN: Duration = Duration::from_millis(1600);
const AGAIN: Duration = Duration::from_millis(70);
/// A majority that hasn't answered an open by then is helped by the group's other stores.
const SLOW: Duration = Duration::from_millis(30);
/// The same for a close, which waits for disks.
const SLOW_CLOSE: Duration = Duration::from_millis(60);
const SUSPECT: Duration = Duration::from_millis(800);

impl StoreLink {
    async fn call(&self, q: Bytes, within: Duration) -> LinkResult<StoreReply> {
        let r = self.caller.call_bytes(q, within).await;
        match &r {
            Ok(_) => *locked(&self.suspect) = None,
            Err(_) => self.suspect(),
        }
        r
    }

    fn suspect(&self) {
        *locked(&self.suspect) = Some(Instant::now() + SUSPECT);
    }

    fn suspected(&self) -> bool {
        locked(&self.suspect).is_some_and(|t| t > Instant::now())
    }
}

impl TurnBank {
    /// `cache_bytes` bounds the chains that are kept here.
    pub fn new(zone: String, cache_bytes: usize) -> Self {
        TurnBank {
            zone,
            set: Mutex::new(Arc::new(StoreSet::default())),
            links: Mutex::new(HashMap::new()),
            cache: Mutex::new(ChainCache::new(cache_bytes)),
        }
    }

    pub fn learn(&self, set: StoreSet) {
        let mut cur = locked(&self.set);
        if set.version > cur.version {
            *cur = Arc::new(set);
        }
    }

    fn set(&self) -> Arc<StoreSet> {
        locked(&self.set).clone()
    }

    fn link(&self, addr: &str) -> StoreLink {
        locked(&self.links)
            .entry(addr.to_string())
            .or_insert_with(|| StoreLink {
                caller: Caller::new(addr.to_string()),
                suspect: Arc::new(Mutex::new(None)),
            })
            .clone()
    }

    /// The stores that keep a program, from the nearest on: those that don't keep others waiting first,
    /// then the own zone, then as rendezvous ranks them.
    fn row<'a>(&self, set: &'a StoreSet, program: &str) -> Vec<&'a StoreEntry> {
        let group = set.group(StoreSet::key_of(program));
        let mut row: Vec<&StoreEntry> = group.iter().filter_map(|id| set.find(*id)).collect();
        row.sort_by_key(|e| (self.link(&e.addr).suspected(), e.zone != self.zone));
        row
    }

    /// Reserves the turn's most tokens on a majority and brings the chain it goes on from. While too
    /// few stores answer it asks again, until `until`.
    pub async fn open(&self, ask: OpenAsk<'_>, until: Instant) -> Result<Opened, OpenFault> {
        let end = until.min(Instant::now() + OPEN);
        loop {
            let set = self.set();
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            if set.seated() > 0 {
                match tokio::time::timeout(left, self.open_under(&set, &ask)).await {
                    Ok(Ok(Some(o))) => return Ok(o),
                    // A store works under a newer set, which has been learnt.
                    Ok(Ok(None)) => continue,
                    Ok(Err(OpenFault::Unsure)) => {}
                    Ok(Err(f)) => {
                        self.release(ask.program, ask.req);
                        return Err(f);
                    }
                    Err(_) => break,
                }
            }
            tokio::time::sleep(AGAIN).await;
        }
        self.release(ask.program, ask.req);
        Err(OpenFault::Unsure)
    }

    async fn open_under(
        &self,
        set: &StoreSet,
        ask: &OpenAsk<'_>,
    ) -> Result<Option<Opened>, OpenFault> {
        let known = ask.previous.and_then(|p| locked(&self.cache).chain(p, Instant::now()));
        let previous = if known.is_some() { None } else { ask.previous };
        let row = self.row(set, ask.program);
        let quorum = set.quorum();
        let call = |i: usize, e: &StoreEntry| {
            let q = encode(&StoreCall::Open(OpenCall {
                version: set.version,
                program: ask.program.to_string(),
                req: ask.req,
                most: ask.most,
                prev: previous.map(String::from),
                want: i == 0 && previous.is_some(),
            }));
            let link = self.link(&e.addr);
            let id = e.id;
            async move { (id, link.call(q, CALL).await) }
        };
        // A majority is asked first, the nearest of it to bring the chain; the others only when one
        // of these fails, is slow, or doesn't know the program.
        let mut work = FuturesUnordered::new();
        let mut rest: VecDeque<(usize, &StoreEntry)> = row.iter().copied().enumerate().collect();
        for (i, e) in rest.drain(..quorum.min(row.len())) {
            work.push(call(i, e));
        }
        let slow = tokio::time::sleep(SLOW);
        tokio::pin!(slow);
        let ids: Vec<u64> = row.iter().map(|e| e.id).collect();
        let mut asked: Vec<u64> = ids.first().copied().into_iter().collect();
        let mut heard: Vec<u64> = Vec::new();
        let mut elsewhere = None;
        let mut ledger = OpenLedger::new(row.len(), quorum, ask.req, previous.is_some());
        loop {
            let others: Vec<u64> = heard.iter().chain(&ids).copied().collect();
            match ledger.step(&asked, &others) {
                OpenStep::Ready => break,
                OpenStep::Fault(OpenFault::NoTurn) => {
                    // It may be another program's.
                    let Some(id) = previous else { return Err(OpenFault::NoTurn) };
                    match self.find_anywhere(set, id).await? {
                        Some(chain) => {
                            elsewhere = Some(chain);
                            break;
                        }
                        None => return Ok(None),
                    }
                }
                OpenStep::Fault(f) => {
                    info!(
                        "open under set {}: {:?} after {} no of {}, {} failed: turn {:?}",
                        set.version, f, ledger.said_no, ledger.quorum, ledger.failed, ask.previous
                    );
                    return Err(f);
                }
                OpenStep::Fetch(id, turns) => {
                    asked.push(id);
                    if let Some(e) = set.find(id) {
                        let q = encode(&StoreCall::Fetch { ids: turns });
                        if let Ok(StoreReply::Turns(t)) = self.link(&e.addr).call(q, CALL).await {
                            ledger.bring(t);
                        }
                    }
                    continue;
                }
                OpenStep::Wait => {}
            }
            let next = tokio::select! {
                r = work.next() => r,
                _ = slow.as_mut(), if !rest.is_empty() => None,
            };
            match next {
                Some((id, Ok(StoreReply::Open(r)))) => {
                    heard.push(id);
                    let knows = r.knows;
                    ledger.take(id, r);
                    if !knows {
                        work.extend(rest.drain(..).map(|(i, e)| call(i, e)));
                    }
                }
                Some((_, Ok(StoreReply::Stale(newer)))) => {
                    self.learn(newer);
                    return Ok(None);
                }
                Some((id, got)) => {
                    if let Ok(StoreReply::Behind) = got {
                        self.teach(set, id);
                    }
                    ledger.fail();
                    work.extend(rest.drain(..).map(|(i, e)| call(i, e)));
                }
                None if rest.is_empty() => return Err(OpenFault::Unsure),
                None => {
                    // Those that keep the others waiting are asked last for a while.
                    for e in row.iter().take(quorum).filter(|e| !heard.contains(&e.id)) {
                        self.link(&e.addr).suspect();
                    }
                    work.extend(rest.drain(..).map(|(i, e)| call(i, e)));
                }
            }
        }
        if let Some(a) = ask.allowance {
            if ledger.spent() + u64::from(ask.most) > a {
                return Err(OpenFault::Spent);
            }
        }
        let chain = known.unwrap_or_else(|| {
            let chain = elsewhere.unwrap_or_else(|| ledger.chain());
            let chain: Vec<Arc<TurnRecord>> = chain.into_iter().map(Arc::new).collect();
            let mut cache = locked(&self.cache);
            chain.iter().for_each(|r| cache.put(r.clone(), None));
            chain
        });
        Ok(Some(Opened { chain }))
    }

    /// Looks for a turn at every store; none when the set has changed meanwhile.
    async fn find_anywhere(
        &self,
        set: &StoreSet,
        id: &str,
    ) -> Result<Option<Vec<TurnRecord>>, OpenFault> {
        let q = encode(&StoreCall::Find { version: set.version, id: id.to_string() });
        let mut work: FuturesUnordered<_> = set
            .stores
            .iter()
            .map(|e| {
                let (link, q, id) = (self.link(&e.addr), q.clone(), e.id);
                async move { (id, link.call(q, CALL).await) }
            })
            .collect();
        let ids: Vec<u64> = set.stores.iter().map(|e| e.id).collect();
        let mut asked: Vec<u64> = Vec::new();
        let mut ledger = OpenLedger::search(set, ids.len());
        loop {
            match ledger.step(&asked, &ids) {
                OpenStep::Ready => return Ok(Some(ledger.chain())),
                OpenStep::Fault(f) => return Err(f),
                OpenStep::Fetch(at, turns) => {
                    asked.push(at);
                    if let Some(e) = set.find(at) {
                        let q = encode(&StoreCall::Fetch { ids: turns });
                        if let Ok(StoreReply::Turns(t)) = self.link(&e.addr).call(q, CALL).await {
                            ledger.bring(t);
                        }
                    }
                    continue;
                }
                OpenStep::Wait => {}
            }
            match work.next().await {
                Some((at, Ok(StoreReply::Found { whole, held, turns }))) => {
                    let r = OpenReply { knows: whole, ledger: Vec::new(), held, turns };
                    ledger.take(at, r);
                }
                Some((_, Ok(StoreReply::Stale(newer)))) => {
                    self.learn(newer);
                    return Ok(None);
                }
                Some((at, got)) => {
                    if let Ok(StoreReply::Behind) = got {
                        self.teach(set, at);
                    }
                    ledger.fail();
                }
                None => return Err(OpenFault::Unsure),
            }
        }
    }

    /// Hands the set to a store that hasn't heard of it.
    fn teach(&self, set: &StoreSet, id: u64) {
        if let Some(e) = set.find(id) {
            self.link(&e.addr).caller.tell(&StoreCall::Learn { set: set.clone() });
        }
    }

    /// Gives a reservation back: nothing was put out.
    pub fn release(&self, program: &str, req: u64) {
        self.settle(program, req, 0);
    }

    /// Settles a turn that doesn't count, at what was put out.
    pub fn settle(&self, program: &str, req: u64, tokens: u32) {
        let set = self.set();
        let q = StoreCall::Settle { program: program.to_string(), req, tokens };
        for e in self.row(&set, program) {
            self.link(&e.addr).caller.tell(&q);
        }
    }

    /// Keeps a turn with a majority of its program's group and settles it; true once all of these have
    /// synced it. Whoever is slow or away is helped by the group's others.
    pub async fn close(&self, c: TurnClose, until: Instant) -> bool {
        let TurnClose { record, foreign, req, tokens, reserved } = c;
        let program = record.program.clone();
        let record = Arc::new(record);
        loop {
            let set = self.set();
            if set.seated() > 0 {
                let q = StoreCall::Close {
                    version: set.version,
                    record: TurnRecord::clone(&record),
                    foreign: foreign.iter().map(|r| TurnRecord::clone(r)).collect(),
                    req,
                    tokens,
                };
                let settle = StoreCall::Settle { program: program.clone(), req, tokens };
                let settle = reserved.then_some(&settle);
                if self.close_under(&set, &program, encode(&q), settle, until).await {
                    locked(&self.cache).put(record, Some(Instant::now()));
                    return true;
                }
            }
            if Instant::now() >= until {
                return false;
            }
            tokio::time::sleep(AGAIN.min(until.saturating_duration_since(Instant::now()))).await;
        }
    }

    async fn close_under(
        &self,
        set: &StoreSet,
        program: &str,
        q: Bytes,
        settle: Option<&StoreCall>,
        until: Instant,
    ) -> bool {
        let row = self.row(set, program);
        let quorum = set.quorum();
        let call = |e: &StoreEntry| {
            let (link, q, id) = (self.link(&e.addr), q.clone(), e.id);
            async move { (id, link.call(q, CALL).await) }
        };
        let mut work = FuturesUnordered::new();
        let mut rest: VecDeque<&StoreEntry> = row.iter().copied().collect();
        for e in rest.drain(..quorum.min(row.len())) {
            work.push(call(e));
        }
        // The others learn what the turn came to, without the turn.
        if let Some(s) = settle {
            for e in &rest {
                self.link(&e.addr).caller.tell(s);
            }
        }
        let (mut kept, mut heard) = (0, Vec::new());
        let mut slow = Box::pin(tokio::time::sleep(SLOW_CLOSE));
        while kept < quorum {
            let next = tokio::select! {
                r = work.next() => r,
                _ = slow.as_mut(), if !rest.is_empty() => None,
                _ = tokio::time::sleep_until(until.into()) => return false,
            };
            match next {
                Some((id, Ok(StoreReply::Done))) => {
                    kept += 1;
                    heard.push(id);
                }
                Some((_, Ok(StoreReply::Stale(newer)))) => {
                    self.learn(newer);
                    return false;
                }
                Some((id, got)) => {
                    if let Ok(StoreReply::Behind) = got {
                        self.teach(set, id);
                    }
                    work.extend(rest.pop_front().map(call));
                }
                None if rest.is_empty() => return false,
                None => {
                    for e in row.iter().take(quorum).filter(|e| !heard.contains(&e.id)) {
                        self.link(&e.addr).suspect();
                    }
                    work.extend(rest.drain(..).map(call));
                }
            }
        }
        true
    }
}
