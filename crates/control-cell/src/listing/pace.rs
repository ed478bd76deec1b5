//! How often the platform's list is read: its calls are priced and their rate is bounded, so calm zones
//! are read no more often than the order of leaving engines needs, and changing ones at once again.
use crate::prelude::*;

const QUICK: Duration = Duration::from_millis(1100);
/// Changes come in rows: for this long after one the zone is read quickly.
const LIVELY: Duration = Duration::from_secs(6);

/// Invariant: `calm` leaves, after the longest pause, more than half of the time in which leaving
/// engines are to be left alone for the change to travel and for one lost reader to be replaced.
pub struct ListInterval {
    calm: Duration,
    /// Of each zone what its last list said, and until when it is read quickly.
    zones: BTreeMap<String, LastList>,
}

struct LastList {
    said: u64,
    quick_until: Duration,
}

impl ListInterval {
    /// `drain`: the time from the list's showing that an engine leaves to the last send to it.
    pub fn new(drain: Duration) -> Self {
        ListInterval { calm: calm_pause(drain), zones: BTreeMap::new() }
    }

    /// The settings give another time to drain in.
    pub fn set_drain(&mut self, drain: Duration) {
        self.calm = calm_pause(drain);
    }

    /// A zone's list was read.
    pub fn read(&mut self, zone: &str, engines: &[EngineEntry], now: Duration) {
        let said = engines.iter().fold(0u64, |h, e| {
            // Any order of the same entries is the same list.
            h.wrapping_add(fnv64(format!("{}|{}|{}", e.id, e.addr, e.draining).as_bytes()))
        });
        match self.zones.get_mut(zone) {
            Some(last) if last.said == said => {}
            _ => {
                let last = LastList { said, quick_until: now + LIVELY };
                self.zones.insert(zone.to_string(), last);
            }
        }
    }

    /// The pause before the held zones are read again.
    pub fn pause(&self, now: Duration) -> Duration {
        match self.zones.values().any(|last| now < last.quick_until) {
            true => QUICK,
            false => self.calm,
        }
    }
}

fn calm_pause(drain: Duration) -> Duration {
    drain.mul_f64(0.45).clamp(QUICK, QUICK * 2)
}
