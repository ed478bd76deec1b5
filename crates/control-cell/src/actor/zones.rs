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

    /// The table that a list which was read makes; none when it says nothing new.
    pub fn listed(&self, zone: String, epoch: u64, engines: Vec<EngineEntry>) -> Option<ZoneTable> {
        let first = self.starts << 32;
        let table = |seq| ZoneTable { zone: zone.clone(), epoch, seq, engines };
        match self.tables.get(&zone) {
            Some(t) if t.epoch > epoch => None,
            Some(t) if t.epoch == epoch && t.seq >= first => {
                let next = table((t.seq + 1).max(first));
                let change = t.change_to(&next);
                let says_news = !change.put.is_empty() || !change.removed.is_empty();
                says_news.then_some(next)
            }
            // A table of this cell's life before, or of another holder, is published anew whatever it says.
            _ => Some(table(first)),
        }
    }

    /// Keeps a table that is newer than the one kept, and says what it is to followers.
    pub fn take(&mut self, table: ZoneTable) -> Option<ZoneNews> {
        let change = match self.tables.get(&table.zone) {
            Some(kept) if kept.version() >= table.version() => return None,
            Some(kept) => Some(kept.change_to(&table)),
            None => None,
        };
        self.tables.insert(table.zone.clone(), table.clone());
        Some(ZoneNews { change, table })
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
