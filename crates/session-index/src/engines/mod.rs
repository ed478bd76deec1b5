//! The engines a proxy knows, what is under way on each, and how fast each has shown itself.
mod connections;
mod pace;

pub use connections::{KeptConnections, NoConnections};
pub use pace::Pace;

use crate::prelude::*;

/// An engine's life: the hash of its id, which is new at every start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineKey(pub u64);

impl EngineKey {
    pub fn of(id: &str) -> Self {
        EngineKey(fnv64(id.as_bytes()))
    }
}

/// Invariants: `own` counts this proxy's attempts under way, `reading` their tokens not yet read,
/// `memory` all their tokens; a draining engine is given nothing new.
#[derive(Debug, Clone)]
pub struct EngineRow {
    pub key: EngineKey,
    pub id: Arc<str>,
    pub service: Arc<str>,
    pub addr: SocketAddr,
    pub zone: Arc<str>,
    pub slots: u32,
    pub draining: bool,
    pub own: u32,
    pub reading: u64,
    pub memory: u64,
    /// What others have under way there, as last reported, and when.
    pub others: f64,
    pub reported: Duration,
    pub waiting: f64,
    /// When its own report may next be asked for.
    pub next_report: Duration,
    pub pace: Pace,
}

const FADE: f64 = 0.6;

impl EngineRow {
    /// What others are likely to have there now.
    pub fn others_now(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported).as_secs_f64();
        self.others * (-age / FADE).exp()
    }

    pub fn busy(&self, now: Duration) -> f64 {
        f64::from(self.own) + self.others_now(now)
    }

    /// A load as the engine tells it: running, waiting, slots.
    pub fn report_load(&mut self, running: u32, waiting: u32, slots: u32, now: Duration) {
        if slots > 0 {
            self.slots = slots;
        }
        self.others = (f64::from(running) + f64::from(waiting) - f64::from(self.own)).max(0.0);
        self.waiting = f64::from(waiting);
        self.reported = now;
    }
}

/// Engines by key, and by service.
#[derive(Default)]
pub struct EngineTable {
    rows: Slab<EngineRow>,
    by_key: HashMap<EngineKey, usize>,
    by_service: HashMap<Arc<str>, Vec<usize>>,
    /// Who is listed in each zone.
    zones: BTreeMap<String, HashSet<EngineKey>>,
    /// Lives that were on the list and have left it, oldest first, as many as are remembered.
    left: VecDeque<EngineKey>,
}

const LEFT_KEPT: usize = 4096;

impl EngineTable {
    pub fn get(&self, key: EngineKey) -> Option<&EngineRow> {
        self.by_key.get(&key).map(|i| &self.rows[*i])
    }

    pub fn get_mut(&mut self, key: EngineKey) -> Option<&mut EngineRow> {
        let i = *self.by_key.get(&key)?;
        Some(&mut self.rows[i])
    }

    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a EngineRow> + 'a {
        self.by_service.get(service).into_iter().flatten().map(|i| &self.rows[*i])
    }

    /// Takes a zone's table, and tells the evidence who has come and gone; gives back the engines that
    /// are gone.
    pub fn learn(&mut self, t: &ZoneTable, evidence: &mut EvidenceTable) -> Vec<EngineKey> {
        let listed: HashSet<EngineKey> = t.engines.iter().map(|e| EngineKey::of(&e.id)).collect();
        let before = self.zones.entry(t.zone.clone()).or_default();
        let gone: Vec<EngineKey> = before.difference(&listed).copied().collect();
        self.put(&t.zone, &t.engines, evidence);
        self.remove(&t.zone, &gone, evidence);
        gone
    }

    /// Takes what has changed of a zone, and gives back the engines that are gone.
    pub fn learn_change(
        &mut self,
        change: &ZoneChange,
        evidence: &mut EvidenceTable,
    ) -> Vec<EngineKey> {
        let gone: Vec<EngineKey> = change.removed.iter().map(|id| EngineKey::of(id)).collect();
        self.put(&change.zone, &change.put, evidence);
        self.remove(&change.zone, &gone, evidence);
        gone
    }

    fn put(&mut self, zone: &str, engines: &[EngineEntry], evidence: &mut EvidenceTable) {
        for e in engines {
            let Ok(addr) = e.addr.parse() else { continue };
            let key = EngineKey::of(&e.id);
            self.zones.entry(zone.to_string()).or_default().insert(key);
            match self.get_mut(key) {
                Some(r) => r.draining |= e.draining,
                None => {
                    self.add(e, key, addr);
                    evidence.add(key, &Arc::from(e.service.as_str()), addr);
                }
            }
        }
    }

    fn remove(&mut self, zone: &str, gone: &[EngineKey], evidence: &mut EvidenceTable) {
        for k in gone {
            if let Some(listed) = self.zones.get_mut(zone) {
                listed.remove(k);
            }
            self.left.push_back(*k);
            if self.left.len() > LEFT_KEPT {
                self.left.pop_front();
            }
            if let Some(i) = self.by_key.remove(k) {
                let r = self.rows.remove(i);
                evidence.remove(*k, !r.draining);
                if let Some(v) = self.by_service.get_mut(&r.service) {
                    v.retain(|x| *x != i);
                }
            }
        }
    }

    /// Whether a life was on the list and has left it.
    pub fn has_left(&self, key: EngineKey) -> bool {
        !self.by_key.contains_key(&key) && self.left.contains(&key)
    }

    fn add(&mut self, e: &EngineEntry, key: EngineKey, addr: SocketAddr) {
        let service: Arc<str> = e.service.as_str().into();
        let i = self.rows.insert(EngineRow {
            key,
            id: e.id.as_str().into(),
            service: service.clone(),
            addr,
            zone: e.zone.as_str().into(),
            slots: e.slots.max(1),
            draining: e.draining,
            own: 0,
            reading: 0,
            memory: 0,
            others: 0.0,
            reported: Duration::ZERO,
            waiting: 0.0,
            next_report: Duration::ZERO,
            pace: Pace::default(),
        });
        self.by_key.insert(key, i);
        self.by_service.entry(service).or_default().push(i);
    }
}
