//! What the proxy's workers share.
#![deny(missing_docs)]
mod feed;
mod trial;

pub use feed::{follow_agent, sweep_regularly};
pub use trial::{report_outcomes, TrialDesk, TrialPlacement};

use crate::prelude::*;

/// A configuration in force, ready for use.
pub struct Live {
    /// Its version.
    pub version: u64,
    /// Its routes by host and prefix.
    pub routes: RouteTable,
    /// Its services by name.
    pub services: HashMap<String, Arc<Service>>,
    /// The largest head a client may send.
    pub header_bytes: usize,
    /// The largest body a client may send.
    pub body_bytes: usize,
    /// How long a head may take.
    pub header_time: Duration,
    /// How long a client's connection may rest.
    pub idle_time: Duration,
}

/// The proxy's whole state, passed down by reference. Lock order: `live`, `life`, `sched`, `tickets`,
/// the pool's, the bank's, the trial's, `admission`, the accounts'; none is held over a wait.
pub struct App {
    /// The settings of this process.
    pub settings: SharedSettings,
    /// When it started; `now` counts from here.
    pub began: Instant,
    /// The configuration in force.
    pub live: Mutex<Option<Arc<Live>>>,
    life: Mutex<InitializedStateMachine<Life>>,
    life_out: Mutex<Option<watch::Sender<LifeState>>>,
    /// Engines, the index and the queue.
    pub sched: Mutex<Scheduler>,
    /// Those that wait in the queue, by ticket.
    pub tickets: Mutex<HashMap<u64, oneshot::Sender<Grant>>>,
    /// Kept connections to engines.
    pub pool: Arc<Pool>,
    /// Turns and claims at the stores.
    pub bank: Arc<TurnBank>,
    /// The routing trial, as far as this node has a part in it.
    pub trial: TrialDesk,
    /// How many requests were read, and how each ended.
    pub accounts: RequestAccounts,
    /// Which work may begin, once the proxy is leaving.
    pub admission: Mutex<Admission>,
}

/// A poisoned lock means a broken invariant: its holder has panicked, which ends the process.
pub fn locked<T>(m: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|p| p.into_inner())
}

impl App {
    /// The state of a proxy that has learned nothing yet.
    pub fn new(shared: SharedSettings) -> Arc<Self> {
        let settings = shared.now();
        // A tenth of the memory is for chains that come back.
        let cache_bytes = (settings.limits.memory_mb << 20) as usize / 10;
        let tuning = SchedulerTuning { zone: settings.zone.clone(), ..SchedulerTuning::default() };
        let pool = Arc::new(Pool::new());
        Arc::new(App {
            began: Instant::now(),
            live: Mutex::new(None),
            life: Mutex::new(Life.uninitialized_state_machine().init()),
            life_out: Mutex::new(None),
            sched: Mutex::new(Scheduler::new(tuning, pool.clone())),
            tickets: Mutex::new(HashMap::new()),
            pool,
            bank: Arc::new(TurnBank::new(&shared, cache_bytes)),
            trial: TrialDesk::new(&settings.node_name),
            accounts: RequestAccounts::default(),
            admission: Mutex::new(Admission::default()),
            settings: shared,
        })
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// A time since the start as a moment that tasks can sleep until.
    pub fn at(&self, since_start: Duration) -> tokio::time::Instant {
        (self.began + since_start).into()
    }

    /// A moment as a time since the start.
    pub fn since_start(&self, moment: Instant) -> Duration {
        moment.saturating_duration_since(self.began)
    }

    /// The configuration in force.
    pub fn live(&self) -> Option<Arc<Live>> {
        locked(&self.live).clone()
    }

    /// The state of its life.
    pub fn life(&self) -> LifeState {
        locked(&self.life).state().clone()
    }

    /// Changes of the life go here from now on.
    pub fn tell_life(&self, out: watch::Sender<LifeState>) {
        *locked(&self.life_out) = Some(out);
    }

    /// Something happened to its life.
    pub fn live_on(&self, ev: LifeEvent) {
        let state = {
            let mut m = locked(&self.life);
            m.handle(&ev);
            m.state().clone()
        };
        if let Some(out) = &*locked(&self.life_out) {
            out.send_if_modified(|s| {
                let other = *s != state;
                *s = state.clone();
                other
            });
        }
    }

    /// Waits until requests are admitted; false when that takes too long, or when the life has ended.
    pub async fn admitted(&self, until: Instant) -> bool {
        let Some(mut life) = self.follow_life() else {
            return false;
        };
        let started = life.wait_for(|state| !state.starting_now());
        let got = tokio::time::timeout_at(until.into(), started).await;
        matches!(got, Ok(Ok(state)) if state.admits())
    }

    /// Nothing is under way, and nothing that may still come would be admitted.
    pub fn drained(&self) -> bool {
        locked(&self.admission).takes_no_more(self.now()) && self.accounts.in_flight() == 0
    }

    /// Waits until the life has ended.
    pub async fn life_ended(&self) {
        if let Some(mut life) = self.follow_life() {
            if life.wait_for(LifeState::ended_now).await.is_ok() {
                return;
            }
        }
        // Nobody is left to end it.
        std::future::pending().await
    }

    fn follow_life(&self) -> Option<watch::Receiver<LifeState>> {
        locked(&self.life_out).as_ref().map(watch::Sender::subscribe)
    }

    /// Ends a grant and hands what becomes free to those that wait.
    pub fn end_grant(&self, g: &Grant, was_read: bool) {
        let next = locked(&self.sched).end(g, was_read, self.now());
        self.hand_out(next);
    }

    /// No only for an engine that was seen to leave the list.
    pub fn listed(&self, engine: &str) -> bool {
        !locked(&self.sched).engines.has_left(EngineKey::of(engine))
    }

    /// Logs which engines were ejected and which are back.
    pub fn tell_notes(&self) {
        let mut sched = locked(&self.sched);
        for n in sched.evidence.take_notes() {
            let id = sched.engines.get(n.key).map_or("gone", |e| &e.id);
            let service = &*n.service;
            match n.kind {
                NoteKind::Ejected { why, span } => {
                    let ms = span.as_millis() as u64;
                    info!("engine ejected: {}", why, kv: { engine = id, service = service, for_ms = ms });
                }
                NoteKind::Returned => {
                    info!("engine returned", kv: { engine = id, service = service });
                }
            }
        }
    }

    /// Hands engines that have room to those that wait.
    pub fn pump(&self) {
        let next = locked(&self.sched).pump(self.now());
        self.hand_out(next);
    }

    fn hand_out(&self, mut next: Vec<(u64, Grant)>) {
        while let Some((ticket, g)) = next.pop() {
            let tx = locked(&self.tickets).remove(&ticket);
            let back = match tx {
                Some(tx) => tx.send(g).err(),
                None => Some(g),
            };
            if let Some(g) = back {
                next.extend(locked(&self.sched).end(&g, false, self.now()));
            }
        }
    }
}
