//! The proxy's side of the stores: the set it works under, a link to each store, and what it holds.
use super::cache::ChainCache;
use super::store_link::StoreLink;
use crate::app::locked;
use crate::prelude::*;

/// The newest store set known, and a link to each store. Invariant: the set's version never goes back.
pub struct TurnBank {
    pub(super) zone: String,
    pub(super) set: Mutex<Arc<StoreSet>>,
    pub(super) links: Mutex<HashMap<String, StoreLink>>,
    pub(super) cache: Mutex<ChainCache>,
    pub(super) node: u64,
    /// This life of the node: greater than that of every life before it.
    pub(super) incarnation: AtomicU64,
    pub(super) settings: SharedSettings,
    pub(super) began: Instant,
    /// Leases held here, and whose attempts they are.
    pub(super) leases: Mutex<(HeldLeases, HashMap<u64, String>)>,
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
            leases: Mutex::new((HeldLeases::default(), HashMap::new())),
            set: Mutex::new(Arc::new(StoreSet::default())),
            links: Mutex::new(HashMap::new()),
            cache: Mutex::new(ChainCache::new(cache_bytes)),
        }
    }

    /// The lease never changes while a process runs; the slots may.
    pub(super) fn limits(&self) -> Limits {
        let DispatcherSettings { attempts_per_session, attempts_per_program, lease } =
            self.settings.now().dispatcher;
        Limits {
            per_session: attempts_per_session,
            per_program: attempts_per_program,
            lease,
            ..Limits::default()
        }
    }

    pub fn learn(&self, set: StoreSet) {
        let mut cur = locked(&self.set);
        if set.version > cur.version {
            *cur = Arc::new(set);
        }
    }

    pub(super) fn set(&self) -> Arc<StoreSet> {
        locked(&self.set).clone()
    }

    pub(super) fn link(&self, addr: &str) -> StoreLink {
        locked(&self.links).entry(addr.to_string()).or_insert_with(|| StoreLink::new(addr)).clone()
    }

    /// The stores that keep a program, from the nearest on: those that don't keep others waiting first,
    /// then the own zone, then as rendezvous ranks them.
    pub(super) fn row<'a>(&self, set: &'a StoreSet, program: &str) -> Vec<&'a StoreEntry> {
        let group = set.group(StoreSet::key_of(program));
        let mut row: Vec<&StoreEntry> = group.iter().filter_map(|id| set.find(*id)).collect();
        row.sort_by_key(|e| (self.link(&e.addr).suspected(), e.zone != self.zone));
        row
    }

    pub(super) fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// The chain up to a turn that was closed here, if all of it is here.
    pub fn chain_here(&self, previous: Option<&str>) -> Option<Vec<Arc<TurnRecord>>> {
        match previous {
            None => Some(Vec::new()),
            Some(p) => locked(&self.cache).chain(p, Instant::now()),
        }
    }
}
