//! Which cell a follower links to: one of its own zone if there is any, since bytes between zones are
//! priced, else one named by rendezvous.
use crate::prelude::*;

const LEAST_PAUSE: Duration = Duration::from_secs(5);
const MOST_PAUSE: Duration = Duration::from_secs(80);

/// Invariants: `cells` never goes back in its log index; of links that end one after the other, each cell
/// and each seed gets one in every round; a follower away from its own zone's cells tries them again at
/// most once in `pause`, which doubles until it stays.
pub struct CellRank {
    key: u64,
    zone: String,
    seeds: Vec<String>,
    /// Log index, and each cell's address and zone.
    cells: (u64, Vec<(String, String)>),
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
            cells: (0, Vec::new()),
            turn: 0,
            followed: false,
            pause: LEAST_PAUSE,
            next_home: Duration::ZERO,
        }
    }

    /// Takes the cells' addresses and zones as of a log index.
    pub fn learn(&mut self, index: u64, addrs: &[String], zones: &[String]) {
        if index < self.cells.0 || addrs.is_empty() {
            return;
        }
        let zone = |i: usize| zones.get(i).cloned().unwrap_or_default();
        let list = addrs.iter().enumerate().map(|(i, a)| (a.clone(), zone(i))).collect();
        self.cells = (index, list);
    }

    fn is_home(&self, addr: &str) -> bool {
        !self.zone.is_empty() && self.cells.1.iter().any(|(a, z)| a == addr && *z == self.zone)
    }

    /// Takes the settings' seeds as they are now. Where no cell answers, they are tried next.
    pub fn use_seeds(&mut self, seeds: &[String]) {
        if self.seeds == seeds {
            return;
        }
        self.seeds = seeds.to_vec();
        if !self.followed {
            self.turn = self.cells.1.len();
        }
    }

    fn is_told(&self, addr: &str) -> bool {
        self.cells.1.iter().any(|(a, _)| a == addr)
    }

    /// The cell to try now: the told ones, home first, then the seeds that aren't among them.
    pub fn next(&self) -> Option<&String> {
        let mut row: Vec<&String> = self.cells.1.iter().map(|(a, _)| a).collect();
        row.extend(self.seeds.iter().filter(|s| !self.is_told(s)));
        let rank = rank_by_rendezvous(self.key, row.iter().map(|a| fnv64(a.as_bytes())));
        row.sort_by_key(|a| {
            let place = rank.iter().position(|h| *h == fnv64(a.as_bytes()));
            (!self.is_told(a), !self.is_home(a), place)
        });
        row.get(self.turn % row.len().max(1)).copied()
    }

    /// The link to the cell that was next has ended, or didn't come about.
    pub fn ended(&mut self, followed: bool) {
        self.followed = followed;
        self.turn = self.turn.wrapping_add(1);
    }

    /// Linked to `addr` and told all: a link at home shows that home may be trusted again.
    pub fn following(&mut self, addr: &str) {
        if self.is_home(addr) {
            self.pause = LEAST_PAUSE;
        }
    }

    /// Whether to leave `addr` for a cell of the own zone now; true at most once a pause.
    pub fn goes_home(&mut self, addr: &str, now: Duration) -> bool {
        let has_home = self.cells.1.iter().any(|(a, _)| self.is_home(a));
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
