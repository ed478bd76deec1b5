//! Virtual time, and the events that are due.
use crate::prelude::*;

/// Since the schedule began.
pub type Time = Duration;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Invariant: no event is due before `now`.
pub struct Clock {
    pub now: Time,
    due: BTreeMap<(Time, u64), Event>,
    next: u64,
}

impl Clock {
    pub fn new() -> Self {
        Clock { now: Time::ZERO, due: BTreeMap::new(), next: 0 }
    }

    /// An event is due at a time; those of one moment happen in the order in which they were set.
    pub fn at(&mut self, time: Time, event: Event) {
        assert!(time >= self.now, "an event in the past");
        self.next += 1;
        self.due.insert((time, self.next), event);
    }

    pub fn after(&mut self, wait: Duration, event: Event) {
        self.at(self.now + wait, event);
    }

    /// Moves on to the next event that is due by `until`, or to `until`.
    pub fn advance(&mut self, until: Time) -> Option<Event> {
        match self.due.first_key_value() {
            Some((&(time, _), _)) if time <= until => self.now = time,
            _ => {
                self.now = until;
                return None;
            }
        }
        self.due.pop_first().map(|(_, event)| event)
    }
}
