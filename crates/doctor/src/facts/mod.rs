//! What was seen, with nothing made of it.
use crate::prelude::*;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Debug, Clone)]
pub struct CellFact {
    pub addr: String,
    pub status: Option<CellStatus>,
    /// How far its time of day is from here.
    pub clock_off: Duration,
}

/// What a store says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreAnswer {
    /// The version of the set that it works under.
    pub version: u64,
    /// It lost its disk, and hasn't caught up since.
    pub fresh: bool,
    /// How many it holds.
    pub turns: u64,
    /// It can't prove the history of all its programs: more was lost than may be.
    pub beyond_proof: bool,
}

/// What was seen of a store.
#[derive(Debug, Clone)]
pub struct StoreFact {
    /// What the cells say of it.
    pub summary: StoreSummary,
    /// None when it didn't answer.
    pub answer: Option<StoreAnswer>,
}

#[derive(Debug, Clone, Default)]
pub struct DiskFact {
    pub dir: String,
    pub used: u64,
    pub limit: u64,
    pub damage: Vec<String>,
}

#[derive(Debug, Clone, Default)]
pub struct Facts {
    pub cells: Vec<CellFact>,
    pub stores: Vec<StoreFact>,
    pub disk: Option<DiskFact>,
    /// Engines on the platform's list by zone; none when it couldn't be read.
    pub listed: BTreeMap<String, Option<usize>>,
}

const WITHIN: Duration = Duration::from_millis(1500);

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

pub async fn gather(settings: &NodeSettings) -> Facts {
    let mut f = Facts::default();
    let mut todo: VecDeque<String> = settings
        .seeds
        .iter()
        .map(|s| settings.inner_addr(&s.ip().to_string(), CELL_PORT))
        .collect();
    let mut seen: BTreeSet<String> = todo.iter().cloned().collect();
    let mut stores: BTreeMap<String, StoreSummary> = BTreeMap::new();
    while let Some(addr) = todo.pop_front() {
        let before = unix_ms();
        let status = match Caller::new(addr.clone()).call(&CellCall::Status, WITHIN).await {
            Ok(CellReply::Status(t)) => Some(*t),
            _ => None,
        };
        let mid = (before + unix_ms()) / 2;
        let mut clock_off = Duration::ZERO;
        if let Some(t) = &status {
            clock_off = Duration::from_millis(t.unix_ms.abs_diff(mid));
            for a in &t.cells {
                if seen.insert(a.clone()) {
                    todo.push_back(a.clone());
                }
            }
            stores.extend(t.stores.iter().map(|s| (s.name.clone(), s.clone())));
        }
        f.cells.push(CellFact { addr, status, clock_off });
    }
    for summary in stores.into_values() {
        let caller = Caller::new(summary.addr.clone());
        let answer = match caller.call(&StoreCall::Status, WITHIN).await {
            Ok(StoreReply::Status { version, fresh, turns, beyond_proof, .. }) => {
                Some(StoreAnswer { version, fresh, turns, beyond_proof })
            }
            _ => None,
        };
        f.stores.push(StoreFact { summary, answer });
    }
    if let Some(cloud) = &settings.cloud {
        for zone in settings.zones.keys() {
            let n = list_zone(cloud.address, zone, WITHIN).await.ok().map(|l| l.len());
            f.listed.insert(zone.clone(), n);
        }
    }
    f.disk = settings.data_dir.as_deref().map(|d| look_at_disk(d, settings.limits.disk_mb << 20));
    f
}

fn look_at_disk(dir: &Path, limit: u64) -> DiskFact {
    let mut fact = DiskFact { dir: dir.display().to_string(), limit, ..DiskFact::default() };
    let mut todo = vec![dir.to_path_buf()];
    while let Some(d) = todo.pop() {
        let Ok(list) = std::fs::read_dir(&d) else {
            fact.damage.push(format!("{} can't be read", d.display()));
            continue;
        };
        let mut has_segments = false;
        for e in list.flatten() {
            let p = e.path();
            if p.is_dir() {
                todo.push(p);
                continue;
            }
            fact.used += e.metadata().map_or(0, |m| m.len());
            has_segments |= p.extension().is_some_and(|x| x == "log");
        }
        if has_segments {
            fact.damage.extend(verify_segments(&d));
        }
    }
    fact
}
