//! The scheduler: for every turn it asks the index, for every call it weighs the engines; what can't
//! run now waits by priority and slack, and what can't be met is refused at once.
mod choose;
mod prior;
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// What a request wants.
#[derive(Debug, Clone)]
pub struct Ask {
    pub service: Arc<str>,
    /// Set on turns: blocks of the prompt and its line.
    pub blocks: Vec<Block>,
    pub session: Option<Arc<str>>,
    /// An engine that held the line as its records tell, when this proxy knows nothing of the line.
    pub reported_holder: Option<EngineKey>,
    pub prompt_tokens: u32,
    pub most_out: u32,
    pub memory_limit: u64,
    pub is_turn: bool,
    pub priority: u8,
    /// Time left until its aim and until it is of no use.
    pub slack: Duration,
    pub budget: Duration,
    /// Engines that already turned it away.
    pub tried: Vec<EngineKey>,
    /// It may be repeated or isn't pressing: fit to find out whether an ejected engine is well again.
    pub may_probe: bool,
    pub policy: Policy,
}

/// Under which tuning a request is placed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    #[default]
    Current,
    /// That of the routing trial, as long as there is one.
    Trial,
}

/// Why a turn was placed where it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The engine holds the line's parts.
    Hit,
    /// The engine holds a beginning that other lines share.
    SharedHit,
    /// Read anew where it is cheapest.
    Miss,
    /// It holds the line's parts, but reading anew elsewhere is cheaper by far.
    Moved,
    /// A call without a prompt.
    Plain,
}

#[derive(Debug, Clone)]
pub struct Grant {
    pub key: EngineKey,
    /// Names this send in the evidence.
    pub version: u64,
    pub id: Arc<str>,
    pub service: Arc<str>,
    pub addr: SocketAddr,
    pub hit: u32,
    /// Tokens beyond `hit` that other proxies' sends have likely left there.
    pub guessed: u32,
    pub fresh: u32,
    pub memory: u64,
    /// What the engine can hold.
    pub memory_limit: u64,
    pub reason: Reason,
    /// The wait for the first event that is expected, when nobody else is there.
    pub expected_ms: f64,
}

#[derive(Debug)]
pub enum Placed {
    Go(Grant),
    /// Wait for the grant under this ticket.
    Wait(u64),
    /// It can't be met: come back after.
    Refused(Duration),
}

#[derive(Debug, Clone)]
pub struct SchedulerTuning {
    pub zone: String,
    /// What a send to another zone costs, in ms of waiting.
    pub far_ms: f64,
    pub most_waiting: usize,
    /// Sends an engine may have per slot before requests wait here.
    pub plain_depth: f64,
    /// A line leaves the engine that holds it only for a gain, in ms of waiting, well above what
    /// reading anew may hide.
    pub stay_ms: f64,
    /// Each request that runs beside slows a turn a little.
    pub beside_ms: f64,
    /// A request that waits there delays more.
    pub behind_ms: f64,
    /// What a new connection costs, in ms of waiting: its handshake here, and a slot at the engine for a
    /// moment. Where engines are far from full, requests stay with those that are connected already, so
    /// that a proxy's connections follow its own traffic and not the number of engines.
    pub connect_ms: f64,
}

impl Default for SchedulerTuning {
    fn default() -> Self {
        SchedulerTuning {
            zone: String::new(),
            far_ms: 25.0,
            most_waiting: 2000,
            plain_depth: 2.0,
            stay_ms: 40.0,
            beside_ms: 2.0,
            behind_ms: 25.0,
            connect_ms: 12.0,
        }
    }
}

/// A full engine turned a request away; one wasn't reached.
const FULL: Duration = Duration::from_millis(120);
const UNREACHED: Duration = Duration::from_millis(600);
const TURN_PATIENCE: Duration = Duration::from_millis(1000);
const CALL_PATIENCE: Duration = Duration::from_millis(500);
const REPORT_EVERY: Duration = Duration::from_secs(10);

/// Invariants: every grant is ended exactly once; tickets in the ready queue are unknown elsewhere.
pub struct Scheduler {
    pub engines: EngineTable,
    pub evidence: EvidenceTable,
    pub index: CacheIndex,
    pub tuning: SchedulerTuning,
    /// The candidate of a routing trial: no more is changed by it than which engine is elected.
    pub trial: Option<Box<SchedulerTuning>>,
    /// While there is a trial: admissions of a request while a more urgent one of the same service
    /// waited. Each is a fault of this scheduler.
    pub inversions: u64,
    /// The connections that this proxy keeps.
    connections: Arc<dyn KeptConnections>,
    /// What may not run now, in the dispatcher's order.
    ready: ReadyQueue<Ask>,
    next_ticket: u64,
    next_version: u64,
}

impl Scheduler {
    /// A scheduler that knows no engine yet; `connections` are those of its proxy.
    pub fn new(tuning: SchedulerTuning, connections: Arc<dyn KeptConnections>) -> Self {
        let most_waiting = tuning.most_waiting;
        Scheduler {
            engines: EngineTable::default(),
            evidence: EvidenceTable::default(),
            index: CacheIndex::new(IndexTuning::default()),
            tuning,
            trial: None,
            inversions: 0,
            connections,
            ready: ReadyQueue::new(most_waiting),
            next_ticket: 0,
            next_version: 0,
        }
    }

    pub fn learn(&mut self, t: &ZoneTable) {
        let gone = self.engines.learn(t, &mut self.evidence);
        self.forget_engines(&gone);
    }

    /// Takes what has changed of a zone's engines.
    pub fn learn_change(&mut self, change: &ZoneChange) {
        let gone = self.engines.learn_change(change, &mut self.evidence);
        self.forget_engines(&gone);
    }

    fn forget_engines(&mut self, gone: &[EngineKey]) {
        for k in gone {
            self.index.forget_engine(*k);
        }
    }

    /// A grant, if the request may go at once.
    pub fn place_now(&mut self, ask: &Ask, now: Duration) -> Option<Grant> {
        if self.ready.is_waiting(&ask.service, ask.priority) {
            return None;
        }
        let g = self.choose(ask, now)?;
        Some(self.begin(ask, g, now))
    }

    pub fn place(&mut self, ask: Ask, now: Duration) -> Placed {
        if self.engines.of_service(&ask.service).next().is_none() {
            return Placed::Refused(Duration::from_millis(300));
        }
        if let Some(g) = self.place_now(&ask, now) {
            return Placed::Go(g);
        }
        let wait = self.expected_wait(&ask, now);
        let refused =
            Placed::Refused(wait.clamp(Duration::from_millis(50), Duration::from_secs(2)));
        if wait > ask.budget / 2 {
            return refused;
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let turn = ReadyTurn {
            pool: ask.service.clone(),
            session: ask.session.as_ref().map(|s| fnv64(s.as_bytes())),
            priority: ask.priority,
            begin_by: now + ask.slack,
        };
        match self.ready.add(ticket, turn, ask) {
            Ok(()) => Placed::Wait(ticket),
            Err(_) => refused,
        }
    }

    fn begin(&mut self, ask: &Ask, mut g: Grant, now: Duration) -> Grant {
        let more_urgent = ask.priority.checked_sub(1);
        let passed = more_urgent.is_some_and(|p| self.ready.is_waiting(&ask.service, p));
        if self.trial.is_some() && passed {
            self.inversions += 1;
        }
        self.next_version += 1;
        g.version = self.next_version;
        self.ready.begin(&ask.service);
        // Plain work varies more by itself than the time to a first event does; that grows under load,
        // and a line that leaves its engine for it is read anew.
        let (times, least) = if ask.is_turn { (4.0, TURN_PATIENCE) } else { (5.0, CALL_PATIENCE) };
        let patience = Duration::from_secs_f64(g.expected_ms * times / 1e3).max(least);
        self.evidence.begin(g.key, g.version, patience, now);
        if let Some(e) = self.engines.get_mut(g.key) {
            e.own += 1;
            e.reading += u64::from(g.fresh);
            e.memory += g.memory;
        }
        if let Some(s) = &ask.session {
            self.index.sent(s);
        }
        g
    }

    /// The prompt was read: the first event came.
    pub fn read(&mut self, g: &Grant, took: Duration, now: Duration, alone: bool) -> bool {
        let first = Observation::FirstEvent { took, fresh: g.fresh };
        self.evidence.observe(g.key, g.version, first, now);
        let Some(e) = self.engines.get_mut(g.key) else {
            return true;
        };
        e.reading = e.reading.saturating_sub(u64::from(g.fresh));
        let ms = took.as_secs_f64() * 1e3;
        // Far beyond what the held parts explain, on an engine that wasn't busy: it read them anew.
        let anew = f64::from(g.hit) * e.pace.read_ms;
        let believed = !(alone
            && e.pace.seen > 8
            && g.hit > 1500
            && ms > g.expected_ms + 0.75 * anew
            && ms > 1.6 * g.expected_ms
            && e.busy(now) < 4.0);
        // A guess tells nothing of the engine's pace: it may have read those tokens or not.
        if believed && g.guessed == 0 {
            e.pace.first_event(took, g.fresh);
        }
        believed
    }

    /// A grant ends. `fresh_left` tells that its prompt was never read.
    pub fn end(&mut self, g: &Grant, was_read: bool, now: Duration) -> Vec<(u64, Grant)> {
        self.evidence.finish(g.key, g.version, now);
        self.ready.end(&g.service);
        if let Some(e) = self.engines.get_mut(g.key) {
            e.own = e.own.saturating_sub(1);
            e.memory = e.memory.saturating_sub(g.memory);
            if !was_read {
                e.reading = e.reading.saturating_sub(u64::from(g.fresh));
            }
        }
        self.pump(now)
    }

    /// Grants to those that wait, most pressing first.
    pub fn pump(&mut self, now: Duration) -> Vec<(u64, Grant)> {
        let mut out = Vec::new();
        let mut stuck: HashSet<Arc<str>> = HashSet::new();
        while let Some((ticket, ask)) = self.ready.next(&stuck).map(|(t, a)| (t, a.clone())) {
            match self.choose(&ask, now) {
                Some(g) => {
                    let g = self.begin(&ask, g, now);
                    self.ready.remove(ticket);
                    out.push((ticket, g));
                }
                None => {
                    stuck.insert(ask.service.clone());
                }
            }
        }
        out
    }

    /// Whether an engine whose records were disproved is to be asked for its own report: seldom, since
    /// reports are priced.
    pub fn wants_report(&mut self, key: EngineKey, now: Duration) -> Option<SocketAddr> {
        let e = self.engines.get_mut(key)?;
        if now < e.next_report {
            return None;
        }
        e.next_report = now + REPORT_EVERY;
        Some(e.addr)
    }

    /// An engine's own report: its load, and how much of its memory can't give way. What is believed
    /// held beyond the rest of its memory is no longer believed.
    pub fn reported(
        &mut self,
        key: EngineKey,
        load: (u32, u32),
        used: u64,
        total: u64,
        now: Duration,
    ) {
        let Some(e) = self.engines.get_mut(key) else {
            return;
        };
        e.report_load(load.0, load.1, 0, now);
        if total > 0 {
            // Lines that run now are counted as used, and may be among the records.
            let keeps = total.saturating_sub(used) + e.memory.min(used);
            self.index.fit(key, keeps.max(1));
        }
    }

    pub fn give_up(&mut self, ticket: u64) {
        self.ready.remove(ticket);
    }

    /// An attempt didn't run: another engine lives there, the engine turned it away, or wasn't reached.
    pub fn not_run(&mut self, g: &Grant, reached: bool, elsewhere: bool, now: Duration) {
        match (elsewhere, reached) {
            (true, _) => self.replaced(g.key, now),
            (false, true) => self.turned_away(g, now),
            (false, false) => {
                self.evidence.avoid(g.key, UNREACHED, now);
                self.failed(g, FailureKind::Refused, now);
            }
        }
    }

    fn turned_away(&mut self, g: &Grant, now: Duration) {
        let Some(e) = self.engines.get_mut(g.key) else { return };
        let had_room = e.busy(now) < 0.6 * f64::from(e.slots);
        self.evidence.avoid(g.key, FULL, now);
        if had_room {
            self.evidence.observe(g.key, g.version, Observation::Failed(FailureKind::Refused), now);
            return;
        }
        e.others = e.others.max(f64::from(e.slots));
        e.reported = now;
    }

    /// A send to it failed, or it can't be reached.
    pub fn failed(&mut self, g: &Grant, kind: FailureKind, now: Duration) {
        self.evidence.observe(g.key, g.version, Observation::Failed(kind), now);
    }

    /// A plain call's whole answer came.
    pub fn worked(&mut self, g: &Grant, took: Duration, route: u64, now: Duration) {
        if let Some(e) = self.engines.get_mut(g.key) {
            e.pace.worked(took);
        }
        self.evidence.observe(g.key, g.version, Observation::Worked { took, route }, now);
    }

    /// A stream came whole.
    pub fn streamed(
        &mut self,
        g: &Grant,
        gap: Option<Duration>,
        longest: Duration,
        aim: Duration,
        now: Duration,
    ) {
        let o = Observation::Streamed { gap, longest, aim };
        self.evidence.observe(g.key, g.version, o, now);
    }

    /// Another engine answers at this address.
    fn replaced(&mut self, key: EngineKey, now: Duration) {
        self.evidence.replaced(key, now);
        if let Some(e) = self.engines.get_mut(key) {
            e.draining = true;
        }
        self.index.forget_engine(key);
    }

    fn expected_wait(&self, ask: &Ask, now: Duration) -> Duration {
        let mut room = 0.0;
        let mut work = 0.0;
        for e in self.engines.of_service(&ask.service).filter(|e| !e.draining) {
            room += f64::from(e.slots);
            work += e.busy(now) * e.pace.work_ms.max(20.0);
        }
        if room <= 0.0 {
            return Duration::from_millis(300);
        }
        let queued = self.ready.of_pool(&ask.service) as f64;
        let mean = self
            .engines
            .of_service(&ask.service)
            .map(|e| e.pace.work_ms)
            .fold(0.0, f64::max)
            .max(20.0);
        Duration::from_secs_f64(((work + queued * mean) / room / 1e3).min(30.0))
    }
}
