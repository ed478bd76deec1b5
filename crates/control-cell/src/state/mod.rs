//! What the cells agree on: the same on every cell after the same entries.
use crate::prelude::*;

const MOST_TAKEN: usize = 512;

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TakenConfig {
    pub index: u64,
    pub version: u64,
    pub digest: u64,
    pub body: ByteBuf,
}

/// Invariants: `config.version` only grows; `taken` names every configuration taken, oldest first, so
/// that one sent again is known; `stores.version` grows by each change.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CellState {
    pub config: Option<TakenConfig>,
    pub taken: VecDeque<(u64, u64)>,
    pub stores: StoreSet,
    pub stores_index: u64,
    pub holders: BTreeMap<String, u64>,
    /// The log index at which an zone's holder was last named.
    pub epochs: BTreeMap<String, u64>,
    /// The routing trial that runs, or the last one, and the log index that brought it. Missing in
    /// snapshots older than trials.
    #[serde(default)]
    pub trial: Option<Box<TrialRecord>>,
    #[serde(default)]
    pub trial_index: u64,
}

impl CellState {
    /// Reads the state from a snapshot; that of a cell that never had one is empty.
    pub fn read(data: &[u8]) -> Option<Self> {
        match data.is_empty() {
            true => Some(CellState::default()),
            false => decode(data),
        }
    }

    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |c| c.version)
    }

    pub fn apply(&mut self, index: u64, change: Change) -> Outcome {
        match change {
            Change::PutConfig { base, version, digest, body } => {
                if self.taken.contains(&(version, digest)) {
                    return Outcome::TakenBefore;
                }
                let cur = self.config_version();
                if base != cur {
                    return Outcome::Conflict;
                }
                if version <= cur {
                    return Outcome::NotAbove;
                }
                self.taken.push_back((version, digest));
                if self.taken.len() > MOST_TAKEN {
                    self.taken.pop_front();
                }
                self.config = Some(TakenConfig { index, version, digest, body });
                Outcome::Taken
            }
            Change::PutStores { base, mut set } => {
                if base != self.stores.version {
                    return Outcome::Conflict;
                }
                set.version = base + 1;
                self.stores = set;
                self.stores_index = index;
                Outcome::Taken
            }
            Change::PutHolders { holders } => {
                for (zone, id) in &holders {
                    if self.holders.get(zone) != Some(id) {
                        self.epochs.insert(zone.clone(), index);
                    }
                }
                self.holders = holders;
                Outcome::Taken
            }
            Change::PutTrial { base, trial } => {
                if base != self.trial_index || !trial.may_follow(self.trial.as_deref()) {
                    return Outcome::Conflict;
                }
                self.trial = Some(trial);
                self.trial_index = index;
                Outcome::Taken
            }
        }
    }
}

/// The same for two texts that say the same: keys are sorted, blanks left out.
pub fn digest_of(body: &[u8]) -> u64 {
    match serde_json::from_slice::<Value>(body) {
        Ok(v) => fnv64(v.to_string().as_bytes()),
        Err(_) => fnv64(body),
    }
}
