//! Which cell a follower links to: one of its own zone if there is any, since bytes between zones are
//! priced, else one named by rendezvous.
use crate::prelude::*;

const LEAST_PAUSE: Duration = Duration::from_secs(5);
const MOST_PAUSE: Duration = Duration::from_secs(80);

struct ListedCell {
    addr: String,
    zone: String,
}

/// Ranks a follower's cells. Invariants: `cells` are those of log index `index`, which never goes back; of links that end one after the other, each cell
/// and each seed gets one in every round; a follower away from its own zone's cells tries them again at
/// most once in `pause`, which doubles until it stays.
pub struct CellRank {
    key: u64,
    zone: String,
    seeds: Vec<String>,
    index: u64,
    cells: Vec<ListedCell>,
    turn: usize,
    /// The link that ended last was one of use.
    followed: bool,
    pause: Duration,
    next_home: Duration,
}

impl CellRank {
    /// `zone` is empty for a follower that has nowhere else to link to.
    pub fn new(name: &str, zone: &str, seeds: &[String]) -> Self {
        CellRank {
            key: fnv64(name.as_bytes()),
            zone: zone.to_string(),
            seeds: seeds.to_vec(),
            index: 0,
            cells: Vec::new(),
            turn: 0,
            followed: false,
            pause: LEAST_PAUSE,
            next_home: Duration::ZERO,
        }
    }

    /// Takes the cells' addresses and zones as of a log index.
    pub fn learn(&mut self, index: u64, addrs: &[String], zones: &[String]) {
        if index < self.index || addrs.is_empty() {
            return;
        }
        let zone = |i: usize| zones.get(i).cloned().unwrap_or_default();
        let cell = |(i, addr): (usize, &String)| ListedCell { addr: addr.clone(), zone: zone(i) };
        self.cells = addrs.iter().enumerate().map(cell).collect();
        self.index = index;
    }

    /// Nothing is known of the cells but addresses, and there is a zone to look for.
    pub fn needs_zones(&self) -> bool {
        !self.zone.is_empty() && self.cells.iter().all(|c| c.zone.is_empty())
    }

    fn is_home(&self, addr: &str) -> bool {
        !self.zone.is_empty() && self.cells.iter().any(|c| c.addr == addr && c.zone == self.zone)
    }

    /// Takes the settings' seeds as they are now. Where no cell answers, they are tried next.
    pub fn use_seeds(&mut self, seeds: &[String]) {
        if self.seeds == seeds {
            return;
        }
        self.seeds = seeds.to_vec();
        if !self.followed {
            self.turn = self.cells.len();
        }
    }

    fn is_listed(&self, addr: &str) -> bool {
        self.cells.iter().any(|c| c.addr == addr)
    }

    /// The cell to try now: the listed ones, home first, then the seeds that aren't among them.
    pub fn next(&self) -> Option<&String> {
        let mut row: Vec<&String> = self.cells.iter().map(|c| &c.addr).collect();
        row.extend(self.seeds.iter().filter(|s| !self.is_listed(s)));
        let rank = rank_by_rendezvous(self.key, row.iter().map(|a| fnv64(a.as_bytes())));
        row.sort_by_key(|a| {
            let place = rank.iter().position(|h| *h == fnv64(a.as_bytes()));
            (!self.is_listed(a), !self.is_home(a), place)
        });
        row.get(self.turn % row.len().max(1)).copied()
    }

    /// The link to the cell that was next has ended, or didn't come about.
    pub fn ended(&mut self, followed: bool) {
        self.followed = followed;
        self.turn = self.turn.wrapping_add(1);
    }

    /// Linked to `addr` and sent everything: a link at home shows that home may be trusted again.
    pub fn following(&mut self, addr: &str) {
        if self.is_home(addr) {
            self.pause = LEAST_PAUSE;
        }
    }

    /// Whether to leave `addr` for a cell of the own zone now; true at most once a pause.
    pub fn goes_home(&mut self, addr: &str, now: Duration) -> bool {
        let has_home = self.cells.iter().any(|c| self.is_home(&c.addr));
        if !has_home || self.is_home(addr) || now < self.next_home {
            return false;
        }
        self.next_home = now + self.pause;
        self.pause = (self.pause * 2).min(MOST_PAUSE);
        // The caller ends the link, which makes this the first of the row.
        self.turn = usize::MAX;
        true
    }
}
