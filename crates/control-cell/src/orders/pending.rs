//! Orders and reads that wait for the cells' agreement.
use crate::prelude::*;

/// Orders proposed here. Invariant: `placed` holds those that are in this cell's log since it leads and
/// aren't applied yet.
pub(super) struct PendingOrders<R> {
    token: u64,
    proposed: HashMap<u64, R>,
    placed: HashMap<u64, LoggedOrder<R>>,
}

struct LoggedOrder<R> {
    term: u64,
    reply: R,
}

/// An order whose place in the log was applied.
pub(super) struct DecidedOrder<R> {
    pub reply: R,
    /// The entry that was applied is the order's own.
    pub own: bool,
}

impl<R> Default for PendingOrders<R> {
    fn default() -> Self {
        PendingOrders { token: 0, proposed: HashMap::new(), placed: HashMap::new() }
    }
}

impl<R> PendingOrders<R> {
    /// The token to propose an order with.
    pub fn begin(&mut self, reply: Option<R>) -> u64 {
        self.token += 1;
        if let Some(r) = reply {
            self.proposed.insert(self.token, r);
        }
        self.token
    }

    /// Notes an order's place in the log; gives the reply back when there is none.
    pub fn appended(&mut self, token: u64, at: Result<LogPosition, ProposalRefused>) -> Option<R> {
        let reply = self.proposed.remove(&token)?;
        let Ok(LogPosition { index, term }) = at else {
            return Some(reply);
        };
        self.placed.insert(index, LoggedOrder { term, reply });
        None
    }

    pub fn applied(&mut self, index: u64, term: u64) -> Option<DecidedOrder<R>> {
        let placed = self.placed.remove(&index)?;
        Some(DecidedOrder { own: placed.term == term, reply: placed.reply })
    }

    /// All that wait, when this cell leads no more: nobody here can tell what becomes of them.
    pub fn give_up(&mut self) -> Vec<R> {
        let placed = self.placed.drain().map(|(_, p)| p.reply);
        placed.chain(self.proposed.drain().map(|(_, r)| r)).collect()
    }
}

/// Reads that wait for a majority's confirmation, then for its index to be applied.
pub(super) struct PendingReads<R> {
    token: u64,
    unconfirmed: HashMap<u64, R>,
    unapplied: Vec<ConfirmedRead<R>>,
}

/// A read that may be served once `index` is applied.
pub(super) struct ConfirmedRead<R> {
    pub index: u64,
    pub reader: R,
}

impl<R> Default for PendingReads<R> {
    fn default() -> Self {
        PendingReads { token: 0, unconfirmed: HashMap::new(), unapplied: Vec::new() }
    }
}

impl<R> PendingReads<R> {
    pub fn begin(&mut self, reader: R) -> u64 {
        self.token += 1;
        self.unconfirmed.insert(self.token, reader);
        self.token
    }

    pub fn take(&mut self, token: u64) -> Option<R> {
        self.unconfirmed.remove(&token)
    }

    pub fn wait(&mut self, read: ConfirmedRead<R>) {
        self.unapplied.push(read);
    }

    /// Those whose index is applied now.
    pub fn ready(&mut self, applied: u64) -> Vec<ConfirmedRead<R>> {
        let all = std::mem::take(&mut self.unapplied);
        let (ready, wait) = all.into_iter().partition(|r| r.index <= applied);
        self.unapplied = wait;
        ready
    }

    /// Keeps those that are still wanted.
    pub fn retain(&mut self, wanted: impl Fn(&R) -> bool) {
        self.unconfirmed.retain(|_, r| wanted(r));
        self.unapplied.retain(|c| wanted(&c.reader));
    }
}
