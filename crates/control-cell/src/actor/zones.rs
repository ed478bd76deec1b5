//! The engine tables of the zones, and which lists this cell reads.
use crate::listing::OwnedZones;
use crate::prelude::*;

/// How often a holder says again which state of its zones is the newest: a cell that has started since, or
/// missed a change, asks for the whole table then.
const SAY_AGAIN: Duration = Duration::from_millis(2500);

/// A newer state of a zone, as followers are told of it.
pub struct ZoneNews {
    /// What has changed since the state before; none where there was none.
    pub change: Option<ZoneChange>,
    /// The whole table.
    pub table: ZoneTable,
}

/// What became of a holder's change.
pub enum ZoneChangeTaken {
    /// It leads to a newer state.
    Applied(ZoneNews),
    /// That state, or a later one, was here.
    Known,
    /// It doesn't follow on the state here.
    TableNeeded,
}

/// The newest state of each zone that this cell knows. Invariant: a zone's table only goes on to a higher (epoch, sequence).
pub struct ZoneTables {
    /// Starts on this disk: what this cell numbers never goes back over a restart.
    starts: u64,
    tables: BTreeMap<String, ZoneTable>,
    owned: watch::Sender<OwnedZones>,
    next_table: Instant,
}

impl ZoneTables {
    /// No tables yet; `owned` is what the list's reader reads.
    pub fn new(starts: u64, owned: watch::Sender<OwnedZones>, now: Instant) -> Self {
        ZoneTables { starts, tables: BTreeMap::new(), owned, next_table: now }
    }

    /// The newest table of each zone.
    pub fn tables(&self) -> impl Iterator<Item = &ZoneTable> {
        self.tables.values()
    }

    /// How many engines a zone has.
    pub fn engine_count(&self, zone: &str) -> usize {
        self.tables.get(zone).map_or(0, |t| t.engines.len())
    }

    /// Reads from now on the lists of the zones that this cell holds.
    pub fn hold(&self, state: &CellState, me: u64) {
        let mine: OwnedZones = state
            .holders
            .iter()
            .filter(|(_, id)| **id == me)
            .map(|(a, _)| (a.clone(), state.epochs.get(a).copied().unwrap_or(0)))
            .collect();
        self.owned.send_if_modified(|h| {
            let other = *h != mine;
            if other {
                *h = mine;
            }
            other
        });
    }

    /// Takes a list that was read of a zone held here; none when it says nothing new.
    pub fn listed(
        &mut self,
        zone: String,
        epoch: u64,
        engines: Vec<EngineEntry>,
    ) -> Option<ZoneNews> {
        let first = self.starts << 32;
        let kept = self.tables.get(&zone);
        if kept.is_some_and(|t| t.epoch > epoch) {
            return None;
        }
        // A table of this cell's life before, or of another holder, is published anew whatever it says.
        let goes_on = kept.filter(|t| t.epoch == epoch && t.seq >= first);
        let seq = goes_on.map_or(first, |t| t.seq + 1);
        let must_publish = goes_on.is_none();
        let table = ZoneTable { zone, epoch, seq, engines };
        let change = kept.map(|t| t.change_to(&table));
        if !must_publish && change.as_ref().is_some_and(ZoneChange::is_empty) {
            return None;
        }
        Some(self.keep(table, change))
    }

    /// Keeps a table that is newer than the one kept, and says what it is to followers.
    pub fn take(&mut self, table: ZoneTable) -> Option<ZoneNews> {
        let kept = self.tables.get(&table.zone);
        if kept.is_some_and(|t| t.version() >= table.version()) {
            return None;
        }
        let change = kept.map(|t| t.change_to(&table));
        Some(self.keep(table, change))
    }

    fn keep(&mut self, table: ZoneTable, change: Option<ZoneChange>) -> ZoneNews {
        self.tables.insert(table.zone.clone(), table.clone());
        ZoneNews { change, table }
    }

    /// Takes what a holder says has changed of its zone.
    pub fn take_change(&mut self, change: ZoneChange) -> ZoneChangeTaken {
        let Some(table) = self.tables.get_mut(&change.zone) else {
            return ZoneChangeTaken::TableNeeded;
        };
        match table.apply(&change) {
            ZoneChangeOutcome::Known => ZoneChangeTaken::Known,
            ZoneChangeOutcome::OutOfStep => ZoneChangeTaken::TableNeeded,
            ZoneChangeOutcome::Applied => {
                let table = table.clone();
                ZoneChangeTaken::Applied(ZoneNews { change: Some(change), table })
            }
        }
    }

    /// The tables of the zones owned here whose newest state is due to be said again.
    pub fn due(&mut self, now: Instant, state: &CellState, me: u64) -> Vec<ZoneTable> {
        if now < self.next_table {
            return Vec::new();
        }
        self.next_table = now + SAY_AGAIN;
        self.tables().filter(|t| state.holders.get(&t.zone) == Some(&me)).cloned().collect()
    }
}
