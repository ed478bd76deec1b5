//! How long work of a route takes at this proxy, observed. Pure, and without a clock.
use crate::prelude::*;

/// A window's generation; the longest is that of the last one or two of them.
const GENERATION: u32 = 64;
/// Fewer observations than this are no measure.
const LEAST_OBSERVED: u32 = 8;
/// Size classes: powers of two of the tokens that a request may put out.
const CLASSES: usize = 33;
/// Routes that are remembered; beyond them it begins anew.
const MOST_ROUTES: usize = 2000;

/// What the time of a request depends on, as far as its head says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkSize {
    /// The hash of its route's name.
    pub route: u64,
    /// The most tokens it puts out; 0 where it puts out none.
    pub most_out: u32,
}

impl WorkSize {
    fn class(&self) -> usize {
        (u32::BITS - self.most_out.leading_zeros()) as usize
    }
}

/// The longest of the latest observations. Invariants: `current` is the longest of `observed` ones,
/// `observed < GENERATION`; `previous` is that of the full generation before, if there was one.
#[derive(Debug, Clone, Copy, Default)]
struct RecentMaximum {
    current: Duration,
    observed: u32,
    previous: Option<Duration>,
}

impl RecentMaximum {
    fn observe(&mut self, took: Duration) {
        self.current = self.current.max(took);
        self.observed += 1;
        if self.observed == GENERATION {
            *self = RecentMaximum { previous: Some(self.current), ..Default::default() };
        }
    }

    fn longest(&self) -> Option<Duration> {
        match self.previous {
            Some(before) => Some(before.max(self.current)),
            None => (self.observed >= LEAST_OBSERVED).then_some(self.current),
        }
    }
}

#[derive(Debug)]
struct RouteHistory {
    /// From admission to the first attempt: claims, chains and the queue.
    waits: RecentMaximum,
    /// From an attempt to the whole answer, by size class.
    runs: [RecentMaximum; CLASSES],
}

/// What was observed, by route.
#[derive(Debug, Default)]
pub struct WorkHistory {
    routes: HashMap<u64, RouteHistory>,
}

impl WorkHistory {
    /// A request waited so long between its admission and its first attempt.
    pub fn waited(&mut self, size: WorkSize, took: Duration) {
        self.route(size.route).waits.observe(took);
    }

    /// An attempt took so long until its answer was whole, or its time over.
    pub fn ran(&mut self, size: WorkSize, took: Duration) {
        self.route(size.route).runs[size.class()].observe(took);
    }

    /// The longest wait of late on this route; none while too few were observed.
    pub fn longest_wait(&self, size: WorkSize) -> Option<Duration> {
        self.routes.get(&size.route)?.waits.longest()
    }

    /// The longest run of late of requests of this size. A smaller request doesn't take longer than a
    /// larger one, and a class twice as large at most twice as long: a class without a measure of its own
    /// has that of the next larger one, else that of the next smaller one, doubled for each class between.
    pub fn longest_run(&self, size: WorkSize) -> Option<Duration> {
        let runs = &self.routes.get(&size.route)?.runs;
        let own = size.class();
        let as_large = runs[own..].iter().find_map(RecentMaximum::longest);
        as_large.or_else(|| {
            let smaller = (1..own).rev().find_map(|c| Some((c, runs[c].longest()?)));
            smaller.map(|(class, took)| took.saturating_mul(1 << (own - class)))
        })
    }

    fn route(&mut self, route: u64) -> &mut RouteHistory {
        if self.routes.len() >= MOST_ROUTES && !self.routes.contains_key(&route) {
            self.routes.clear();
        }
        self.routes.entry(route).or_insert_with(|| RouteHistory {
            waits: RecentMaximum::default(),
            runs: [RecentMaximum::default(); CLASSES],
        })
    }
}
