//! What the proxy's workers share.
mod feed;
mod trial;

pub use feed::{follow_agent, sweep_regularly};
pub use trial::{report_outcomes, Seat, TrialDesk};

use crate::prelude::*;

/// A configuration in force, ready for use.
pub struct Live {
    pub version: u64,
    pub routes: RouteTable,
    pub services: HashMap<String, Arc<Service>>,
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub idle_time: Duration,
}

/// The proxy's whole state, passed down by reference. Lock order: `live`, `life`, `sched`, `tickets`,
/// the pool's, the bank's, the trial's; none is held over a wait.
pub struct App {
    pub settings: SharedSettings,
    pub began: Instant,
    pub live: Mutex<Option<Arc<Live>>>,
    life: Mutex<InitializedStateMachine<Life>>,
    life_out: Mutex<Option<watch::Sender<LifeState>>>,
    pub sched: Mutex<Scheduler>,
    pub tickets: Mutex<HashMap<u64, oneshot::Sender<Grant>>>,
    pub pool: Pool,
    pub bank: Arc<TurnBank>,
    pub trial: TrialDesk,
}

/// A poisoned lock means a broken invariant: its holder has panicked, which ends the process.
pub fn locked<T>(m: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|p| p.into_inner())
}

impl App {
    pub fn new(shared: SharedSettings) -> Arc<Self> {
        let settings = shared.now();
        // A tenth of the memory is for chains that come back.
        let cache_bytes = (settings.limits.memory_mb << 20) as usize / 10;
        let tuning = SchedulerTuning { zone: settings.zone.clone(), ..SchedulerTuning::default() };
        Arc::new(App {
            began: Instant::now(),
            live: Mutex::new(None),
            life: Mutex::new(Life.uninitialized_state_machine().init()),
            life_out: Mutex::new(None),
            sched: Mutex::new(Scheduler::new(tuning)),
            tickets: Mutex::new(HashMap::new()),
            pool: Pool::new(),
            bank: Arc::new(TurnBank::new(&shared, cache_bytes)),
            trial: TrialDesk::new(&settings.node_name),
            settings: shared,
        })
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn live(&self) -> Option<Arc<Live>> {
        locked(&self.live).clone()
    }

    pub fn life(&self) -> LifeState {
        locked(&self.life).state().clone()
    }

    pub fn tell_life(&self, out: watch::Sender<LifeState>) {
        *locked(&self.life_out) = Some(out);
    }

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

    /// Waits until requests may be taken; false when that takes too long.
    pub async fn taken_up(&self, until: Instant) -> bool {
        let out = locked(&self.life_out).as_ref().map(watch::Sender::subscribe);
        let Some(mut life) = out else {
            return false;
        };
        let taken = life.wait_for(LifeState::takes);
        let got = tokio::time::timeout_at(until.into(), taken).await;
        matches!(got, Ok(Ok(_)))
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

    /// Tells operators which engines were ejected and which are back.
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
