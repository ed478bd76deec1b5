//! What became of earlier lives at an address.
use crate::prelude::*;

const CALM: Duration = Duration::from_secs(20);
const MOST: usize = 4096;

/// Invariant: at most `MOST` addresses.
#[derive(Default)]
pub struct AddressHistory {
    ends: HashMap<SocketAddr, DecayingCount>,
}

impl AddressHistory {
    /// A life ended there without draining first.
    pub fn crashed(&mut self, addr: SocketAddr, now: Duration) {
        if self.ends.len() >= MOST {
            self.ends.retain(|_, c| c.at(now) > 0.25);
        }
        if self.ends.len() < MOST {
            self.ends.entry(addr).or_insert_with(|| DecayingCount::new(CALM)).add(1.0, now);
        }
    }

    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    pub fn crashes(&self, addr: SocketAddr, now: Duration) -> f64 {
        self.ends.get(&addr).map_or(0.0, |c| c.at(now))
    }
}
