//! What the cells agree on: the same on every cell after the same entries.
use crate::prelude::*;

const MOST_TAKEN: usize = 512;

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TakenConfig {
    pub index: u64,
    pub serial: u64,
    pub digest: u64,
    pub body: ByteBuf,
}

/// Invariants: `config.serial` only grows; `taken` names every configuration taken, oldest first, so
/// that one sent again is known; `stores.version` grows by each change.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CellState {
    pub config: Option<TakenConfig>,
    pub taken: VecDeque<(u64, u64)>,
    pub stores: StoreSet,
    pub stores_index: u64,
    pub holders: BTreeMap<String, u64>,
    /// The log index at which an area's holder was last named.
    pub epochs: BTreeMap<String, u64>,
    /// The routing trial that runs, or the last one, and the log index that brought it. Missing in
    /// snapshots older than trials.
    #[serde(default)]
    pub trial: Option<Box<TrialRecord>>,
    #[serde(default)]
    pub trial_index: u64,
}

impl CellState {
    pub fn config_serial(&self) -> u64 {
        self.config.as_ref().map_or(0, |c| c.serial)
    }

    pub fn apply(&mut self, index: u64, change: Change) -> Outcome {
        match change {
            Change::PutConfig { base, serial, digest, body } => {
                if self.taken.contains(&(serial, digest)) {
                    return Outcome::TakenBefore;
                }
                let cur = self.config_serial();
                if base != cur {
                    return Outcome::Conflict;
                }
                if serial <= cur {
                    return Outcome::NotAbove;
                }
                self.taken.push_back((serial, digest));
                if self.taken.len() > MOST_TAKEN {
                    self.taken.pop_front();
                }
                self.config = Some(TakenConfig { index, serial, digest, body });
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
                for (area, id) in &holders {
                    if self.holders.get(area) != Some(id) {
                        self.epochs.insert(area.clone(), index);
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

#[cfg(test)]
mod tests {
    use super::*;

    fn put(base: u64, serial: u64, digest: u64) -> Change {
        Change::PutConfig { base, serial, digest, body: ByteBuf::from(vec![digest as u8]) }
    }

    #[test]
    fn of_a_race_one_wins_and_a_resend_is_known() {
        let mut st = CellState::default();
        assert_eq!(st.apply(1, put(0, 3, 1)), Outcome::Taken);
        assert_eq!(st.apply(2, put(3, 5, 2)), Outcome::Taken);
        assert_eq!(st.apply(3, put(3, 6, 3)), Outcome::Conflict);
        assert_eq!(st.apply(4, put(3, 5, 2)), Outcome::TakenBefore);
        assert_eq!(st.apply(5, put(0, 3, 1)), Outcome::TakenBefore);
        assert_eq!(st.apply(6, put(5, 5, 9)), Outcome::NotAbove);
        assert_eq!(st.apply(7, put(3, 5, 9)), Outcome::Conflict);
        assert_eq!(st.config_serial(), 5);
    }

    #[test]
    fn a_recorded_trace_of_changes_ends_as_recorded() {
        let trace = r#"[[0,4,"Taken"],[4,9,"Taken"],[4,8,"Conflict"],[9,9,"NotAbove"],[9,2,"NotAbove"],[9,12,"Taken"]]"#;
        let rows: Vec<(u64, u64, String)> = serde_json::from_str(trace).unwrap();
        let mut st = CellState::default();
        for (i, (base, serial, want)) in rows.into_iter().enumerate() {
            let got = st.apply(i as u64 + 1, put(base, serial, 100 + i as u64));
            assert_eq!(format!("{got:?}"), want, "row {i}");
        }
        assert_eq!(st.config_serial(), 12);
    }

    #[test]
    fn digests_don_t_see_blanks_or_order() {
        assert_eq!(digest_of(b"{\"a\":1,\"b\":2}"), digest_of(b"{ \"b\": 2, \"a\": 1 }"));
        assert_ne!(digest_of(b"{\"a\":1}"), digest_of(b"{\"a\":2}"));
    }
}
