//! How far one follower is, as its leader knows.
use crate::prelude::*;

/// A follower's state, as its leader tells others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerStatus {
    /// Its log is the leader's up to here.
    pub matched: u64,
    /// When the newest round that it answered was sent; none before its first answer in this term.
    pub contact: Option<Duration>,
    /// Its log is within a small bound of the leader's end, and it answers rounds.
    pub caught_up: bool,
}

/// Entries on their way to a follower.
#[derive(Debug, Clone, Copy)]
pub struct InFlight {
    /// The last of them.
    pub through: u64,
    /// Sent again only after this.
    pub until: Duration,
}

/// A snapshot on its way to a follower.
/// Invariants: `acknowledged <= sent <= acknowledged + window`; the snapshot stays the same until it is
/// whole, whatever is compacted meanwhile.
#[derive(Debug, Clone)]
pub struct Transfer {
    /// What is sent.
    pub snapshot: Arc<Snapshot>,
    /// Bytes that the follower holds.
    pub acknowledged: usize,
    /// Bytes sent.
    pub sent: usize,
    /// What lies between is sent again only after this.
    pub until: Duration,
}

/// Invariants: `matched < next`; entries are sent only while nothing is under way, and a follower has
/// entries or a snapshot under way, never both.
#[derive(Debug, Clone)]
pub struct Progress {
    /// The next entry to send.
    pub next: u64,
    /// The follower's log is the leader's up to here.
    pub matched: u64,
    /// The newest round that it answered.
    pub round: u64,
    /// When that round was sent.
    pub contact: Option<Duration>,
    /// Entries under way.
    pub in_flight: Option<InFlight>,
    /// A snapshot under way.
    pub transfer: Option<Transfer>,
    /// Times in a row that something under way was given up.
    pub failures: u32,
}

impl Progress {
    /// A follower of which nothing is known but that entries may be tried from `next` on.
    pub fn from(next: u64) -> Self {
        Progress {
            next: next.max(1),
            matched: 0,
            round: 0,
            contact: None,
            in_flight: None,
            transfer: None,
            failures: 0,
        }
    }

    /// Gives up what has been under way for too long.
    pub fn expire(&mut self, now: Duration) {
        if self.in_flight.is_some_and(|f| now >= f.until) {
            self.in_flight = None;
            self.next = self.matched + 1;
            self.failures += 1;
        }
        if let Some(t) =
            self.transfer.as_mut().filter(|t| now >= t.until && t.sent > t.acknowledged)
        {
            t.sent = t.acknowledged;
            self.failures += 1;
        }
    }

    /// The follower is back: what was given up while it was away is sent again now, not after the pause
    /// that grew with each failure. True when something was given up.
    pub fn begin_anew(&mut self) -> bool {
        if self.failures == 0 {
            return false;
        }
        self.failures = 0;
        self.in_flight = None;
        self.next = self.matched + 1;
        if let Some(t) = &mut self.transfer {
            t.sent = t.acknowledged;
            t.until = Duration::ZERO;
        }
        true
    }

    /// The follower's log is the leader's up to `matched`.
    pub fn accept(&mut self, matched: u64) {
        self.matched = self.matched.max(matched);
        self.failures = 0;
        if self.in_flight.is_some_and(|f| self.matched >= f.through) {
            self.in_flight = None;
        }
        if self.transfer.as_ref().is_some_and(|t| self.matched >= t.snapshot.index) {
            self.transfer = None;
        }
        if self.in_flight.is_none() {
            self.next = self.matched + 1;
        }
    }

    /// What was sent didn't fit; `hint` is the place to try next.
    pub fn reject(&mut self, hint: u64) {
        self.in_flight = None;
        let back = (hint + 1).min(self.next.saturating_sub(1));
        self.next = back.max(self.matched + 1);
    }

    /// The follower holds `received` bytes of the snapshot after the chunk at `offset`.
    pub fn chunk_answered(&mut self, snapshot: LogPosition, offset: u64, received: u64) {
        let Some(t) = self.transfer.as_mut().filter(|t| t.snapshot.position() == snapshot) else {
            return;
        };
        let (offset, received) = (offset as usize, received as usize);
        let held = received.min(t.snapshot.data.len());
        if received < offset {
            // A chunk before this one is missing, unless this is an old answer.
            if offset >= t.acknowledged {
                t.acknowledged = held;
                t.sent = held;
            }
            return;
        }
        if held > t.acknowledged {
            t.acknowledged = held;
            t.sent = t.sent.max(held);
            self.failures = 0;
        }
    }
}
