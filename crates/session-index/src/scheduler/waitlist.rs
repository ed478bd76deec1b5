//! The waitlist: by priority, then by the moment a request must begin to be in time.
use crate::prelude::*;

/// Invariant: `order` and `asks` hold the same tickets.
#[derive(Default)]
pub struct Waitlist {
    order: BTreeSet<(u8, Duration, u64)>,
    asks: HashMap<u64, (u8, Duration, Ask)>,
}

impl Waitlist {
    pub fn add(&mut self, ticket: u64, ask: Ask, now: Duration) {
        let begin = now + ask.slack;
        self.order.insert((ask.priority, begin, ticket));
        self.asks.insert(ticket, (ask.priority, begin, ask));
    }

    pub fn remove(&mut self, ticket: u64) {
        if let Some((p, b, _)) = self.asks.remove(&ticket) {
            self.order.remove(&(p, b, ticket));
        }
    }

    /// The most pressing one of a service that isn't stuck.
    pub fn next(&self, stuck: &HashSet<Arc<str>>) -> Option<(u64, Ask)> {
        self.order.iter().find_map(|(_, _, t)| {
            let (_, _, ask) = self.asks.get(t)?;
            (!stuck.contains(&ask.service)).then(|| (*t, ask.clone()))
        })
    }

    pub fn len(&self) -> usize {
        self.asks.len()
    }

    pub fn of_service(&self, service: &str) -> usize {
        self.asks.values().filter(|(_, _, a)| *a.service == *service).count()
    }

    /// Someone more urgent waits for the same engines.
    pub fn more_urgent(&self, service: &str, priority: u8) -> bool {
        let before = self.order.range(..(priority, Duration::ZERO, 0));
        before.filter_map(|(_, _, t)| self.asks.get(t)).any(|(_, _, a)| *a.service == *service)
    }

    /// Someone at least as pressing waits for the same engines.
    pub fn is_waiting(&self, service: &str, priority: u8) -> bool {
        self.asks.values().any(|(p, _, a)| *p <= priority && *a.service == *service)
    }
}
