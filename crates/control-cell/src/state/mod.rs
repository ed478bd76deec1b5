//! What the cells agree on: the same on every cell after the same entries.
mod canonical;
mod record;

pub use canonical::canonical_json;
pub use record::{order_digest, ConfirmedOrders, MOST_CONFIRMED};

use crate::prelude::*;

/// The newest configuration that was taken.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TakenConfig {
    /// The log index that brought it.
    pub index: u64,
    /// The operator's number for it.
    pub version: u64,
    /// Its text as it was sent.
    pub body: ByteBuf,
}

/// What the cells agree on.
///
/// Invariants: `config.version` only grows; `confirmed` names the configurations taken, so that one sent
/// again is known; `stores.version` grows by each change.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CellState {
    /// The newest configuration.
    pub config: Option<TakenConfig>,
    /// Missing in snapshots of before there was one.
    #[serde(default)]
    pub confirmed: ConfirmedOrders,
    /// The stores that count.
    pub stores: StoreSet,
    /// The log index that brought them.
    pub stores_index: u64,
    /// Which cell holds each zone.
    pub holders: BTreeMap<String, u64>,
    /// The log index at which a zone's holder was last named.
    pub epochs: BTreeMap<String, u64>,
    /// The routing trial that runs, or the last one, and the log index that brought it. Missing in
    /// snapshots older than trials.
    #[serde(default)]
    pub trial: Option<Box<TrialRecord>>,
    /// The log index that brought the trial.
    #[serde(default)]
    pub trial_index: u64,
}

impl CellState {
    /// The state that a snapshot holds; that of a log without one is empty. None when it can't be read.
    pub fn of_snapshot(snap: &Snapshot) -> Option<Self> {
        match snap.index {
            0 => Some(CellState::default()),
            _ => CellState::read(&snap.data),
        }
    }

    /// Reads a state as it is kept in snapshots.
    pub fn read(data: &[u8]) -> Option<Self> {
        let mut state: CellState = decode(data)?;
        if let Some(c) = state.config.as_ref().filter(|_| state.confirmed.is_empty()) {
            state.confirmed.add(c.version, order_digest(&c.body));
        }
        Some(state)
    }

    /// The newest configuration's version; 0 before the first.
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |c| c.version)
    }

    /// Applies the change of a log entry. It depends on nothing but the state and the entry.
    pub fn apply(&mut self, index: u64, change: Change) -> Outcome {
        match change {
            Change::PutConfig { base, version, sha256, body } => {
                self.put_config(base, TakenConfig { index, version, body }, sha256)
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

    fn put_config(&mut self, base: u64, new: TakenConfig, sha256: BodyDigest) -> Outcome {
        let digest = match sha256 == BodyDigest::default() {
            true => order_digest(&new.body),
            false => sha256,
        };
        let outcome = self.foresee(base, new.version, &digest);
        if outcome == Outcome::Taken {
            self.confirmed.add(new.version, digest);
            self.config = Some(new);
        }
        outcome
    }

    /// What an order would come to if it were the next entry.
    pub fn foresee(&self, base: u64, version: u64, digest: &BodyDigest) -> Outcome {
        if self.confirmed.has(version, digest) {
            return Outcome::TakenBefore;
        }
        // One that builds on its own version or a later one was never taken.
        if base < version && self.confirmed.has_forgotten(version) {
            return Outcome::Forgotten;
        }
        if base != self.config_version() {
            return Outcome::Conflict;
        }
        if version <= base {
            return Outcome::NotAbove;
        }
        Outcome::Taken
    }

    /// What a change that would leave the state as it is comes to. Served by a confirmed read it needs
    /// no entry of its own.
    pub fn decided(&self, change: &Change) -> Option<Outcome> {
        let Change::PutConfig { base, version, sha256, .. } = change else {
            return None;
        };
        let outcome = self.foresee(*base, *version, sha256);
        (outcome != Outcome::Taken).then_some(outcome)
    }
}
