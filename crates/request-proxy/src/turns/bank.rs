//! The proxy's side of the stores: opening, closing and settling turns.
use super::open::{OpenFault, OpenLedger, OpenStep, Opened};
use crate::app::locked;
use crate::prelude::*;

/// The newest store set known, and a link to each store. Invariant: the set's serial never goes back.
pub struct TurnBank {
    area: String,
    set: Mutex<Arc<StoreSet>>,
    links: Mutex<HashMap<String, StoreLink>>,
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
const KEEP: Duration = Duration::from_millis(150);
/// A majority that hasn't answered by then is helped by the other stores.
const SLOW: Duration = Duration::from_millis(30);
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
    pub fn new(area: String) -> Self {
        TurnBank {
            area,
            set: Mutex::new(Arc::new(StoreSet::default())),
            links: Mutex::new(HashMap::new()),
        }
    }

    pub fn learn(&self, set: StoreSet) {
        let mut cur = locked(&self.set);
        if set.serial > cur.serial {
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

    /// Stores from the nearest on: the own area first, then as rendezvous names them for the program.
    fn row<'a>(&self, set: &'a StoreSet, program: &str) -> Vec<&'a StoreEntry> {
        let rank = rank_by_rendezvous(fnv64(program.as_bytes()), set.counted().map(|e| e.id));
        let mut row: Vec<&StoreEntry> = rank.iter().filter_map(|id| set.find(*id)).collect();
        row.sort_by_key(|e| (self.link(&e.addr).suspected(), e.area != self.area));
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
            if set.counted().next().is_some() {
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
        let row = self.row(set, ask.program);
        let call = |i: usize, e: &StoreEntry| {
            let q = encode(&StoreCall::Open(OpenCall {
                serial: set.serial,
                program: ask.program.to_string(),
                req: ask.req,
                most: ask.most,
                prev: ask.previous.map(String::from),
                want: i == 0 && ask.previous.is_some(),
            }));
            let link = self.link(&e.addr);
            let id = e.id;
            async move { (id, link.call(q, CALL).await) }
        };
        // A majority is asked first, the nearest of it to bring the chain; the others only when one
        // of these fails, is slow, or doesn't know the turn.
        let mut work = FuturesUnordered::new();
        let mut rest: VecDeque<(usize, &StoreEntry)> = row.iter().copied().enumerate().collect();
        for (i, e) in rest.drain(..set.majority().min(row.len())) {
            work.push(call(i, e));
        }
        let slow = tokio::time::sleep(SLOW);
        tokio::pin!(slow);
        let ids: Vec<u64> = row.iter().map(|e| e.id).collect();
        let mut asked = vec![ids[0]];
        let mut heard: Vec<u64> = Vec::new();
        let mut ledger = OpenLedger::new(set, ask.req, ask.previous.is_some());
        loop {
            match ledger.step(&asked, &ids) {
                OpenStep::Ready => break,
                OpenStep::Fault(f) => {
                    info!(
                        "open under set {}: {:?} after {} no of {}, {} failed: turn {:?}",
                        set.serial, f, ledger.said_no, ledger.noes, ledger.failed, ask.previous
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
                    ledger.take(id, r);
                }
                Some((_, Ok(StoreReply::Stale(newer)))) => {
                    self.learn(newer);
                    return Ok(None);
                }
                Some(_) => {
                    ledger.fail();
                    work.extend(rest.drain(..).map(|(i, e)| call(i, e)));
                }
                None if rest.is_empty() => return Err(OpenFault::Unsure),
                None => {
                    // Those that keep the others waiting are asked last for a while.
                    for e in row.iter().take(set.majority()).filter(|e| !heard.contains(&e.id)) {
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
        Ok(Some(Opened { chain: ledger.chain() }))
    }

    /// Gives a reservation back: nothing was put out.
    pub fn release(&self, program: &str, req: u64) {
        self.settle(program, req, 0);
    }

    /// Settles a turn that doesn't count, at what was put out.
    pub fn settle(&self, program: &str, req: u64, tokens: u32) {
        let set = self.set();
        let q = StoreCall::Settle { program: program.to_string(), req, tokens };
        for e in set.counted() {
            self.link(&e.addr).caller.tell(&q);
        }
    }

    /// Keeps a turn on two stores in different areas and settles it; true once both have synced it.
    pub async fn close(&self, mut c: TurnClose, until: Instant) -> bool {
        let program = c.record.program.clone();
        for _ in 0..6 {
            let set = self.set();
            let row: Vec<&StoreEntry> = self
                .row(&set, &program)
                .into_iter()
                .filter(|e| e.state == StoreState::Ready)
                .collect();
            let Some(first) = row.first() else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let apart = row.iter().skip(1).find(|e| e.area != first.area);
            let Some(second) = apart.or(row.get(1)) else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            c.record.copies = vec![first.id, second.id];
            let q = encode(&StoreCall::Close {
                serial: set.serial,
                record: c.record.clone(),
                req: c.req,
                tokens: c.tokens,
            });
            if c.reserved {
                let settle =
                    StoreCall::Settle { program: program.clone(), req: c.req, tokens: c.tokens };
                for e in set.counted().filter(|e| e.id != first.id && e.id != second.id) {
                    self.link(&e.addr).caller.tell(&settle);
                }
            }
            let (a, b) = (self.link(&first.addr), self.link(&second.addr));
            let (ra, rb) = tokio::join!(a.call(q.clone(), KEEP), b.call(q, KEEP));
            let mut kept = 0;
            for r in [ra, rb] {
                match r {
                    Ok(StoreReply::Done) => kept += 1,
                    Ok(StoreReply::Stale(newer)) => self.learn(newer),
                    _ => {}
                }
            }
            if kept == 2 {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
        }
        false
    }
}
