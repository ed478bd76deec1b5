//! The desk: the agreed state with the orders and reads that wait for it.
use super::pending::{ConfirmedRead, PendingOrders, PendingReads};
use crate::prelude::*;

/// `W` waits for an order, `R` for a read.
///
/// Invariants: `state` is what the log says up to `applied`. An order is answered with an outcome only by
/// the entry that is its own: same index, same term, applied. A read is served only once a majority has
/// confirmed it and its index is applied. Whatever else ends the wait is no clear answer.
pub struct OrderTracker<W, R> {
    state: CellState,
    applied: u64,
    orders: PendingOrders<W>,
    reads: PendingReads<R>,
}

/// What part of the agreed state a change that was taken touched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangedPart {
    /// The operator's configuration.
    Config,
    /// The set of stores.
    Stores,
    /// Who holds each zone.
    Holders,
    /// The routing trial.
    Trial,
}

/// What an effect of the agreement leads to.
#[derive(Debug, PartialEq, Eq)]
pub enum OrderEvent<W, R> {
    /// An order's wait ends; without an outcome nobody here can tell what becomes of it.
    Order {
        /// Who waited.
        waiting: W,
        /// What the order came to.
        outcome: Option<Outcome>,
    },
    /// A read's wait ends: it is served from the state as of now, or refused.
    Read {
        /// Who reads.
        reader: R,
        /// The confirmed index; none when no majority confirmed.
        index: Option<u64>,
    },
    /// A change was taken.
    Changed(ChangedPart),
    /// The members changed at this index.
    Members(u64),
    /// The whole state was replaced by a snapshot.
    Restored,
}

/// Something that was agreed on can't be read here.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("what was agreed on up to index {index} can't be read: of another version?"))]
pub struct UnreadableState {
    /// The entry's or the snapshot's index.
    pub index: u64,
}

impl<W, R> OrderTracker<W, R> {
    /// A desk for the state as of a log index.
    pub fn new(state: CellState, applied: u64) -> Self {
        let (orders, reads) = (PendingOrders::default(), PendingReads::default());
        OrderTracker { state, applied, orders, reads }
    }

    /// The agreed state as of `applied`.
    pub fn state(&self) -> &CellState {
        &self.state
    }

    /// The last index that the state contains.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The token to propose an order with.
    pub fn order(&mut self, waiting: Option<W>) -> u64 {
        self.orders.begin(waiting)
    }

    /// The token to confirm a read with.
    pub fn read(&mut self, reader: R) -> u64 {
        self.reads.begin(reader)
    }

    /// Takes an effect of the agreement that was saved already.
    pub fn take(&mut self, effect: Effect) -> Result<Vec<OrderEvent<W, R>>, UnreadableState> {
        match effect {
            Effect::Apply(entry) => self.apply(entry),
            Effect::Restore(snap) => self.restore(&snap),
            Effect::Appended { token, at } => {
                if let Err(ProposalRefused::Backlog { uncommitted, bound }) = at {
                    warn!("an order is turned away: no majority answers for the log", kv: {
                        uncommitted_bytes = uncommitted, bound_bytes = bound
                    });
                }
                let refused = self.orders.appended(token, at);
                Ok(refused.into_iter().map(unclear).collect())
            }
            Effect::Confirmed { token, index } => Ok(self.confirmed(token, index)),
            _ => Ok(Vec::new()),
        }
    }

    /// This cell leads no more: what becomes of its orders is decided elsewhere.
    pub fn stepped_down(&mut self) -> Vec<OrderEvent<W, R>> {
        self.orders.give_up().into_iter().map(unclear).collect()
    }

    /// A majority confirmed a read at an index, or couldn't be asked.
    pub fn confirmed(&mut self, token: u64, index: Option<u64>) -> Vec<OrderEvent<W, R>> {
        let Some(reader) = self.reads.take(token) else {
            return Vec::new();
        };
        match index {
            Some(index) if index > self.applied => {
                self.reads.wait(ConfirmedRead { index, reader });
                Vec::new()
            }
            index => vec![OrderEvent::Read { reader, index }],
        }
    }

    /// Forgets readers that are gone.
    pub fn retain_readers(&mut self, wanted: impl Fn(&R) -> bool) {
        self.reads.retain(wanted);
    }

    fn apply(&mut self, entry: Entry) -> Result<Vec<OrderEvent<W, R>>, UnreadableState> {
        let Entry { index, term, body } = entry;
        let mut events = Vec::new();
        let mut outcome = None;
        match body {
            Body::Command(b) => {
                let change = decode::<Change>(&b).ok_or(UnreadableState { index })?;
                let part = part_of(&change);
                let came_to = self.state.apply(index, change);
                if came_to == Outcome::Taken {
                    events.push(OrderEvent::Changed(part));
                }
                outcome = Some(came_to);
            }
            Body::Membership(_) => events.push(OrderEvent::Members(index)),
            Body::Noop => {}
        }
        self.applied = index;
        if let Some(settled) = self.orders.applied(index, term) {
            let outcome = outcome.filter(|_| settled.own);
            events.push(OrderEvent::Order { waiting: settled.reply, outcome });
        }
        events.extend(self.ready());
        Ok(events)
    }

    fn restore(&mut self, snap: &Snapshot) -> Result<Vec<OrderEvent<W, R>>, UnreadableState> {
        let index = snap.index;
        self.state = CellState::of_snapshot(snap).ok_or(UnreadableState { index })?;
        self.applied = index;
        let mut events = vec![OrderEvent::Restored];
        events.extend(self.ready());
        Ok(events)
    }

    fn ready(&mut self) -> Vec<OrderEvent<W, R>> {
        let ready = self.reads.ready(self.applied).into_iter();
        ready.map(|r| OrderEvent::Read { reader: r.reader, index: Some(r.index) }).collect()
    }
}

fn unclear<W, R>(waiting: W) -> OrderEvent<W, R> {
    OrderEvent::Order { waiting, outcome: None }
}

fn part_of(change: &Change) -> ChangedPart {
    match change {
        Change::PutConfig { .. } => ChangedPart::Config,
        Change::PutStores { .. } => ChangedPart::Stores,
        Change::PutHolders { .. } => ChangedPart::Holders,
        Change::PutTrial { .. } => ChangedPart::Trial,
    }
}
