//! The engine tables of the zones, and which lists this cell reads.
use crate::listing::OwnedZones;
use crate::prelude::*;

/// How often a holder sends its tables again: messages get lost.
const SEND_AGAIN: Duration = Duration::from_millis(2500);

/// Invariant: a zone's table only goes on to a higher (epoch, sequence).
pub(super) struct ZoneTables {
    /// Starts on this disk: what this cell numbers never goes back over a restart.
    starts: u64,
    tables: BTreeMap<String, ZoneTable>,
    owned: watch::Sender<OwnedZones>,
    next_table: Instant,
}

impl ZoneTables {
    pub fn new(starts: u64, owned: watch::Sender<OwnedZones>, now: Instant) -> Self {
        ZoneTables { starts, tables: BTreeMap::new(), owned, next_table: now }
    }

    pub fn tables(&self) -> impl Iterator<Item = &ZoneTable> {
        self.tables.values()
    }

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
        let seq = match self.tables.get(&zone) {
            Some(t) if t.epoch > epoch => return None,
            Some(t) if t.epoch == epoch && t.seq >= first => {
                if says_the_same(&t.engines, &engines) {
                    return None;
                }
                (t.seq + 1).max(first)
            }
            // A table of this cell's life before, or of another holder, is published anew whatever it says.
            _ => first,
        };
        Some(ZoneTable { zone, epoch, seq, engines })
    }

    /// Keeps a table; true when it is newer than the one kept.
    pub fn take(&mut self, table: &ZoneTable) -> bool {
        let newer = self
            .tables
            .get(&table.zone)
            .is_none_or(|t| (table.epoch, table.seq) > (t.epoch, t.seq));
        if newer {
            self.tables.insert(table.zone.clone(), table.clone());
        }
        newer
    }

    /// The tables of the zones owned here that are due to be sent again.
    pub fn due(&mut self, now: Instant, state: &CellState, me: u64) -> Vec<ZoneTable> {
        if now < self.next_table {
            return Vec::new();
        }
        self.next_table = now + SEND_AGAIN;
        self.tables().filter(|t| state.holders.get(&t.zone) == Some(&me)).cloned().collect()
    }
}

/// Whether two lists differ in nothing but age.
fn says_the_same(had: &[EngineEntry], has: &[EngineEntry]) -> bool {
    had.len() == has.len()
        && had.iter().zip(has).all(|(a, b)| {
            a.id == b.id
                && a.addr == b.addr
                && a.draining == b.draining
                && a.service == b.service
                && (a.cold_ms == 0) == (b.cold_ms == 0)
        })
}
