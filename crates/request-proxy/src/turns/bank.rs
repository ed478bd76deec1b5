//! The proxy's side of the stores: turns are claimed and opened, marked, closed and settled. What the
//! stores' answers come to is decided by the dispatcher and `OpenLedger`.
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
    node: u64,
    /// This life of the node: greater than that of every life before it.
    incarnation: AtomicU64,
    settings: SharedSettings,
    began: Instant,
    /// Leases held here, and whose attempts they are.
    hold: Mutex<(Hold, HashMap<u64, String>)>,
}

#[derive(Clone)]
struct StoreLink {
    caller: Caller,
    /// It didn't answer in time lately: until then it is no first choice.
    suspect: Arc<Mutex<Option<Instant>>>,
}

/// An attempt that this node holds.
#[derive(Debug, Clone)]
pub struct Claim {
    pub program: String,
    pub req: u64,
    pub epoch: Epoch,
    /// The marker of the newest send.
    pub call: Option<Call>,
}

impl Claim {
    /// The terminal result. `stopped`: the execution was seen to stop, or nothing was sent.
    pub fn settle(&self, tokens: u32, stopped: bool) -> LedgerWrite {
        let call = self.call.clone().filter(|_| !stopped);
        LedgerWrite::Settle { req: self.req, epoch: Some(self.epoch), tokens, stopped, call }
    }
}

/// A claim on its way to a majority. It is settled at nothing unless it is granted: when the claim fails,
/// and when the client goes away while it is being made. Nothing was sent under it.
struct Claiming {
    bank: Arc<TurnBank>,
    claim: Option<Claim>,
}

impl Claiming {
    fn granted(mut self) -> Option<Claim> {
        self.claim.take()
    }
}

impl Drop for Claiming {
    fn drop(&mut self) {
        if let Some(c) = self.claim.take() {
            self.bank.settle(&c, 0, true);
        }
    }
}

/// A turn to be kept.
pub struct TurnClose {
    pub record: TurnRecord,
    /// The turns before it, where these were another program's.
    pub foreign: Vec<Arc<TurnRecord>>,
    pub tokens: u32,
    pub claim: Option<Claim>,
}

/// What a turn asks for when it is claimed.
pub struct ClaimAsk {
    pub line: u64,
    pub pinned: Pinned,
    pub most: u32,
    pub allowance: Option<u64>,
    /// Where the launch follows at once: the claim carries the marker.
    pub engine: Option<String>,
}

pub struct OpenAsk<'a> {
    pub program: &'a str,
    pub req: u64,
    pub claim: Option<ClaimAsk>,
    pub previous: Option<&'a str>,
    /// The chain up to `previous`, where it is known here (`chain_here`).
    pub known: Option<Vec<Arc<TurnRecord>>>,
    /// No only for engines that were seen to leave the list.
    pub listed: &'a (dyn Fn(&str) -> bool + Send + Sync),
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
    pub fn new(shared: &SharedSettings, cache_bytes: usize) -> Self {
        let settings = shared.now();
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        TurnBank {
            zone: settings.zone.clone(),
            node: fnv64(settings.node_name.as_bytes()),
            incarnation: AtomicU64::new(unix.map_or(1, |d| d.as_millis() as u64)),
            settings: shared.clone(),
            began: Instant::now(),
            hold: Mutex::new((Hold::default(), HashMap::new())),
            set: Mutex::new(Arc::new(StoreSet::default())),
            links: Mutex::new(HashMap::new()),
            cache: Mutex::new(ChainCache::new(cache_bytes)),
        }
    }

    /// The lease never changes while a process runs; the slots may.
    fn limits(&self) -> Limits {
        self.settings.now().dispatcher
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

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// The chain up to a turn that was closed here, if all of it is here.
    pub fn chain_here(&self, previous: Option<&str>) -> Option<Vec<Arc<TurnRecord>>> {
        match previous {
            None => Some(Vec::new()),
            Some(p) => locked(&self.cache).chain(p, Instant::now()),
        }
    }

    /// Claims the turn at a majority of its program's group and brings the chain it goes on from. While
    /// too few stores answer it asks again, until `until`.
    pub async fn open(
        self: &Arc<Self>,
        ask: OpenAsk<'_>,
        until: Instant,
    ) -> Result<Opened, OpenFault> {
        let end = until.min(Instant::now() + OPEN);
        let attempt = ask.claim.as_ref().map(|c| NewAttempt {
            req: ask.req,
            line: c.line,
            number: 0,
            node: self.node,
            incarnation: self.incarnation.load(Ordering::Relaxed),
            consumed: ask.previous.map(|p| fnv64(p.as_bytes())),
            pinned: c.pinned.clone(),
            most: c.most,
            engine: c.engine.clone(),
        });
        let claim = attempt.as_ref().map(|a| {
            let epoch = a.epoch();
            let call = a.engine.clone().map(|engine| Call { at: CallPoint(epoch, 1), engine });
            Claim { program: ask.program.to_string(), req: ask.req, epoch, call }
        });
        let claiming = Claiming { bank: self.clone(), claim };
        let sent = self.now();
        let got = loop {
            let set = self.set();
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break Err(OpenFault::Unsure);
            }
            if set.seated() > 0 {
                let under = self.open_under(&set, &ask, attempt.as_ref());
                match tokio::time::timeout(left, under).await {
                    Ok(Ok(Some(o))) => break Ok(o),
                    // A store works under a newer set, which has been learnt.
                    Ok(Ok(None)) => continue,
                    Ok(Err(OpenFault::Unsure)) => {}
                    Ok(Err(f)) => break Err(f),
                    Err(_) => break Err(OpenFault::Unsure),
                }
            }
            tokio::time::sleep(AGAIN).await;
        };
        let o = got?;
        let claim = claiming.granted();
        if let Some(c) = &claim {
            let mut held = locked(&self.hold);
            held.0.add(c.req, c.epoch, self.limits().lease, sent);
            held.1.insert(c.req, c.program.clone());
        }
        Ok(Opened { claim, ..o })
    }

    async fn open_under(
        self: &Arc<Self>,
        set: &StoreSet,
        ask: &OpenAsk<'_>,
        attempt: Option<&NewAttempt>,
    ) -> Result<Option<Opened>, OpenFault> {
        let previous = if ask.known.is_some() { None } else { ask.previous };
        let row = self.row(set, ask.program);
        let quorum = set.quorum();
        let claim =
            attempt.map(|a| LedgerWrite::Claim { attempt: a.clone(), lease: self.limits().lease });
        let call = |i: usize, e: &StoreEntry, previous: Option<&str>| {
            let q = encode(&StoreCall::Open(OpenCall {
                version: set.version,
                program: ask.program.to_string(),
                claim: claim.clone(),
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
            work.push(call(i, e, previous));
        }
        let slow = tokio::time::sleep(SLOW);
        tokio::pin!(slow);
        let ids: Vec<u64> = row.iter().map(|e| e.id).collect();
        let mut heard: Vec<u64> = Vec::new();
        let mut elsewhere = None;
        let mut ledger = OpenLedger::new(row.len(), quorum, previous.is_some());
        let line = ask.claim.as_ref().map_or(0, |c| c.line);
        let mut tally = ClaimTally::new(quorum, ask.req, line, self.limits());
        loop {
            let others: Vec<u64> = heard.iter().chain(&ids).copied().collect();
            match ledger.step(&others) {
                OpenStep::Ready => break,
                OpenStep::Search => {
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
                    ledger.bring(self.fetch(set, id, turns).await);
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
                    self.hear_of(r.later);
                    let granted = r.outcome.as_ref().is_none_or(WriteOutcome::is_granted);
                    if let (true, Some(o)) = (r.knows, &r.outcome) {
                        tally.take(id, o, r.view);
                    }
                    let wanted = ids.first() == Some(&id);
                    ledger.take(id, r.knows && granted, wanted, (r.held, r.turns));
                    if !(r.knows && granted) {
                        work.extend(rest.drain(..).map(|(i, e)| call(i, e, previous)));
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
                    work.extend(rest.drain(..).map(|(i, e)| call(i, e, previous)));
                }
                None if rest.is_empty() => return Err(OpenFault::Unsure),
                None => {
                    // Those that keep the others waiting are asked last for a while.
                    for e in row.iter().take(quorum).filter(|e| !heard.contains(&e.id)) {
                        self.link(&e.addr).suspect();
                    }
                    work.extend(rest.drain(..).map(|(i, e)| call(i, e, previous)));
                }
            }
        }
        if let Some(c) = &ask.claim {
            let decide = |t: &ClaimTally| t.decide(c.allowance, c.most, &ask.listed);
            let mut decision = decide(&tally);
            if decision == ClaimDecision::Reread {
                // The same claim again: what a majority knows once a majority has granted it.
                let again = row.iter().map(|e| call(1, e, None));
                let mut work: FuturesUnordered<_> = again.collect();
                while decision == ClaimDecision::Reread {
                    match work.next().await {
                        Some((id, Ok(StoreReply::Open(r)))) if r.knows => {
                            tally.take_again(id, r.view);
                            decision = decide(&tally);
                        }
                        Some(_) => {}
                        None => return Err(OpenFault::Unsure),
                    }
                }
            }
            self.see_to(ask, &tally);
            match decision {
                ClaimDecision::Go { .. } => {}
                ClaimDecision::Spent => return Err(OpenFault::Spent),
                ClaimDecision::Capacity { in_use, limit, scope } => {
                    info!("{} of {} attempts of the {:?} hold a slot", in_use, limit, scope);
                    return Err(OpenFault::Capacity);
                }
                _ => return Err(OpenFault::Unsure),
            }
        }
        let chain = ask.known.clone().unwrap_or_else(|| {
            let chain = elsewhere.unwrap_or_else(|| ledger.chain());
            let chain: Vec<Arc<TurnRecord>> = chain.into_iter().map(Arc::new).collect();
            let mut cache = locked(&self.cache);
            chain.iter().for_each(|r| cache.put(r.clone(), None));
            chain
        });
        Ok(Some(Opened { chain, claim: None }))
    }

    /// A greater incarnation of this node was heard of: the clock went back between two lives.
    fn hear_of(&self, later: Option<u64>) {
        if let Some(n) = later {
            self.incarnation.fetch_max(n + 1, Ordering::Relaxed);
        }
    }

    /// What a claim showed of the program's other attempts: those whose holders have lost them are
    /// recovered, and stops that this node can vouch for are confirmed.
    fn see_to(self: &Arc<Self>, ask: &OpenAsk<'_>, tally: &ClaimTally) {
        for w in tally.stopped(&ask.listed) {
            self.note(ask.program, &w);
        }
        let incarnation = self.incarnation.load(Ordering::Relaxed);
        for w in tally.recoverable(self.node, incarnation) {
            let (bank, program) = (self.clone(), ask.program.to_string());
            tokio::spawn(async move { bank.recover(&program, w).await });
        }
    }

    /// Takes over an attempt that lapsed. Nobody waits for its answer any more: it is settled, at nothing
    /// where provably nothing was started, else at its most.
    async fn recover(&self, program: &str, w: LedgerWrite) {
        let LedgerWrite::Recover { req, epoch, .. } = w else { return };
        let mut tally = RecoverTally::new(self.set().quorum(), req, epoch);
        self.write(program, &w, |id, o| {
            tally.take(id, o);
            tally.decide() != RecoverDecision::NeedMore
        })
        .await;
        if let Some(s) = tally.settle() {
            info!("attempt recovered: {:?}", tally.decide());
            self.note(program, &s);
        }
    }

    /// The fenced write just before an engine is reached; true once a majority holds it.
    pub async fn mark(&self, claim: &mut Claim, engine: &str) -> bool {
        let send = claim.call.as_ref().map_or(0, |c| c.at.1) + 1;
        let at = CallPoint(claim.epoch, send);
        claim.call = Some(Call { at, engine: engine.to_string() });
        let engine = engine.to_string();
        let w = LedgerWrite::Mark { req: claim.req, epoch: claim.epoch, send, engine };
        self.granted(&claim.program, &w).await
    }

    /// True once a majority of the program's group has granted the write.
    async fn granted(&self, program: &str, w: &LedgerWrite) -> bool {
        let (quorum, mut n) = (self.set().quorum(), 0);
        let enough = |_: u64, o: &WriteOutcome| {
            n += usize::from(o.is_granted());
            n >= quorum
        };
        self.write(program, w, enough).await
    }

    /// Sends a write to all of the program's group until `on` has heard enough; false when it has not.
    async fn write(
        &self,
        program: &str,
        w: &LedgerWrite,
        mut on: impl FnMut(u64, &WriteOutcome) -> bool,
    ) -> bool {
        let set = self.set();
        let write = w.clone();
        let q = encode(&StoreCall::Write { version: set.version, program: program.into(), write });
        let asks = self.row(&set, program).into_iter().map(|e| {
            let (link, q, id) = (self.link(&e.addr), q.clone(), e.id);
            async move { (id, link.call(q, CALL).await) }
        });
        let mut work: FuturesUnordered<_> = asks.collect();
        while let Some((id, r)) = work.next().await {
            match r {
                Ok(StoreReply::Written { knows: true, outcome }) if on(id, &outcome) => {
                    return true
                }
                Ok(StoreReply::Stale(newer)) => self.learn(newer),
                Ok(StoreReply::Behind) => self.teach(&set, id),
                _ => {}
            }
        }
        false
    }

    /// Renews the leases that are due; called regularly.
    pub fn hold_on(self: &Arc<Self>) {
        let now = self.now();
        let mut held = locked(&self.hold);
        for w in held.0.tick(now) {
            let LedgerWrite::Renew { req, .. } = w else { continue };
            let Some(program) = held.1.get(&req).cloned() else { continue };
            let bank = self.clone();
            tokio::spawn(async move {
                if bank.granted(&program, &w).await {
                    locked(&bank.hold).0.renewed(req, now);
                }
            });
        }
        for req in held.0.expired(now) {
            held.1.remove(&req);
            warn!("a lease found no majority and is given up");
        }
    }

    /// Gives up all leases that are still held, so that others may recover what is left.
    pub fn release_all(&self) {
        let mut held = locked(&self.hold);
        let all: Vec<(u64, String)> = held.1.drain().collect();
        for (req, program) in all {
            if let Some(epoch) = held.0.epoch(req) {
                held.0.done(req);
                self.note(&program, &LedgerWrite::Release { req, epoch });
            }
        }
    }

    fn let_go(&self, req: u64) {
        let mut held = locked(&self.hold);
        held.0.done(req);
        held.1.remove(&req);
    }

    fn note(&self, program: &str, w: &LedgerWrite) {
        let set = self.set();
        let q = StoreCall::Note { program: program.to_string(), write: w.clone() };
        for e in self.row(&set, program) {
            self.link(&e.addr).caller.tell(&q);
        }
    }

    /// Settles a turn that doesn't count, at what was put out.
    pub fn settle(&self, claim: &Claim, tokens: u32, stopped: bool) {
        self.let_go(claim.req);
        self.note(&claim.program, &claim.settle(tokens, stopped));
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
        let mut ledger = OpenLedger::search(set, ids.len());
        loop {
            match ledger.step(&ids) {
                OpenStep::Ready => return Ok(Some(ledger.chain())),
                OpenStep::Fault(f) => return Err(f),
                OpenStep::Fetch(at, turns) => {
                    ledger.bring(self.fetch(set, at, turns).await);
                    continue;
                }
                OpenStep::Wait | OpenStep::Search => {}
            }
            match work.next().await {
                Some((at, Ok(StoreReply::Found { whole, held, turns }))) => {
                    ledger.take(at, whole, true, (held, turns));
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

    /// What a store holds of these turns.
    async fn fetch(&self, set: &StoreSet, at: u64, ids: Vec<String>) -> Vec<TurnRecord> {
        let Some(e) = set.find(at) else { return Vec::new() };
        let q = encode(&StoreCall::Fetch { ids });
        match self.link(&e.addr).call(q, CALL).await {
            Ok(StoreReply::Turns(t)) => t,
            _ => Vec::new(),
        }
    }

    /// Hands the set to a store that hasn't heard of it.
    fn teach(&self, set: &StoreSet, id: u64) {
        if let Some(e) = set.find(id) {
            self.link(&e.addr).caller.tell(&StoreCall::Learn { set: set.clone() });
        }
    }

    /// Keeps a turn with a majority of its program's group and settles it; true once all of these have
    /// synced it. Whoever is slow or away is helped by the group's others.
    pub async fn close(&self, c: TurnClose, until: Instant) -> bool {
        let TurnClose { record, foreign, tokens, claim } = c;
        let settle = claim.as_ref().map(|c| c.settle(tokens, true));
        if let Some(c) = &claim {
            self.let_go(c.req);
        }
        let program = record.program.clone();
        let record = Arc::new(record);
        loop {
            let set = self.set();
            if set.seated() > 0 {
                let q = StoreCall::Close {
                    version: set.version,
                    record: TurnRecord::clone(&record),
                    foreign: foreign.iter().map(|r| TurnRecord::clone(r)).collect(),
                    settle: settle.clone(),
                };
                let note =
                    settle.clone().map(|write| StoreCall::Note { program: program.clone(), write });
                if self.close_under(&set, &program, encode(&q), note.as_ref(), until).await {
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
