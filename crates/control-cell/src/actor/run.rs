//! The actor: composes a cell's parts and works through its queue of commands.
use super::driver::{ConsensusDriver, OpenedCell};
use super::links::CellLinks;
use super::membership::MembershipManager;
use super::stores::StoreReports;
use super::trial::TrialReports;
use crate::listing::{read_lists, OwnedZones};
use crate::prelude::*;

/// Commands worked through before the disk, the clock and the duties have their turn again.
const COMMANDS_AT_ONCE: usize = 64;
/// Between two turns of a cell's duties.
pub const DUTY_EVERY: Duration = Duration::from_millis(200);

/// Whoever waits for an answer, of whatever kind.
trait WaitingCaller {
    fn is_gone(&self) -> bool;
    fn remaining(&self) -> Duration;
}

impl<T> WaitingCaller for Waiting<T> {
    fn is_gone(&self) -> bool {
        Waiting::is_gone(self)
    }

    fn remaining(&self) -> Duration {
        Waiting::remaining(self)
    }
}

/// Who waits for an order.
pub(super) enum Order {
    /// Answered with the outcome.
    Plain(Waiting<CellReply>),
    /// An order to empty a store.
    Retire(Waiting<CellReply>),
}

impl Order {
    pub fn is_gone(&self) -> bool {
        match self {
            Order::Plain(w) | Order::Retire(w) => w.is_gone(),
        }
    }

    /// Without an outcome, nobody here can tell what becomes of the order: no claim is made.
    pub fn answer(self, outcome: Option<Outcome>) {
        match (self, outcome) {
            (Order::Plain(w), Some(outcome)) => w.answer(CellReply::Outcome(outcome)),
            (Order::Retire(w), Some(Outcome::Taken)) => {
                w.answer(CellReply::Retire(RetireState::Running));
            }
            // Another change came between; sent again, the order finds what it led to.
            (Order::Plain(w) | Order::Retire(w), _) => w.answer(CellReply::Unable),
        }
    }
}

/// Whoever is served from the agreed state, once a majority has confirmed that it is current.
pub(super) enum Reader {
    Config(Waiting<Option<Option<Bytes>>>),
    Follow(FollowFrom, Waiting<Option<OpenedFeed>>),
    /// Another cell asks on behalf of its reader.
    Index(Waiting<CellReply>),
    /// An order that would change nothing, as far as is known here.
    Order {
        change: Change,
        waiting: Waiting<CellReply>,
    },
    Retire {
        store: String,
        query_only: bool,
        waiting: Waiting<CellReply>,
    },
    Trial {
        ask: TrialRequest,
        waiting: Waiting<CellReply>,
    },
}

impl Reader {
    /// No majority confirms that this cell is current.
    pub fn refuse(self) {
        match self {
            Reader::Config(w) => w.answer(None),
            Reader::Follow(_, w) => w.answer(None),
            Reader::Index(w) => w.answer(CellReply::Unable),
            Reader::Order { waiting, .. }
            | Reader::Retire { waiting, .. }
            | Reader::Trial { waiting, .. } => waiting.answer(CellReply::Unable),
        }
    }

    /// Whoever waits for the answer, of whatever kind it is.
    fn caller(&self) -> &dyn WaitingCaller {
        match self {
            Reader::Config(waiting) => waiting,
            Reader::Follow(_, waiting) => waiting,
            Reader::Index(waiting)
            | Reader::Order { waiting, .. }
            | Reader::Retire { waiting, .. }
            | Reader::Trial { waiting, .. } => waiting,
        }
    }

    /// How long the caller waits yet.
    pub fn remaining(&self) -> Duration {
        self.caller().remaining()
    }

    /// Nobody waits for the answer any more.
    pub fn is_gone(&self) -> bool {
        self.caller().is_gone()
    }
}

/// The end of a cell, which waits until its place is taken, and who waits for it.
pub(super) struct Ending {
    pub at: Instant,
    pub done: oneshot::Sender<()>,
}

impl Ending {
    pub fn end(self) {
        let _ = self.done.send(());
    }
}

/// Invariant: `due` is empty unless something is being carried out.
pub(super) struct Actor {
    pub settings: SharedSettings,
    pub queue: mpsc::Sender<CellCommand>,
    pub driver: ConsensusDriver,
    /// What the agreement is yet to be asked, in order.
    pub due: VecDeque<Event>,
    /// An effect of the agreement is being carried out.
    pub carrying_out: bool,
    pub orders: OrderTracker<Order, Reader>,
    pub links: CellLinks,
    pub feed: FeedLog,
    pub zones: ZoneTables,
    pub members: MembershipManager,
    pub stores: StoreReports,
    pub trial: TrialReports,
    pub next_duty: Instant,
    pub ending: Option<Ending>,
}

impl Actor {
    pub fn open(shared: SharedSettings, queue: mpsc::Sender<CellCommand>) -> NodeResult<Self> {
        let OpenedCell { driver, state, starts } = ConsensusDriver::open(&shared.now())?;
        let (owned, watch_owned) = watch::channel(OwnedZones::new());
        tokio::spawn(read_lists(shared.clone(), watch_owned, queue.clone()));
        let now = Instant::now();
        Ok(Actor {
            settings: shared,
            queue,
            orders: OrderTracker::new(state, driver.node.applied),
            driver,
            due: VecDeque::new(),
            carrying_out: false,
            links: CellLinks::default(),
            feed: FeedLog::default(),
            zones: ZoneTables::new(starts, owned, now),
            members: MembershipManager::new(now),
            stores: StoreReports::default(),
            trial: TrialReports::default(),
            next_duty: now,
            ending: None,
        })
    }

    /// Works until the disk can't be written, or what was agreed on can't be read: nothing may be said then.
    /// What failed is logged where it did.
    pub async fn run(mut self, mut rx: mpsc::Receiver<CellCommand>) -> NodeError {
        self.publish_state();
        let mut ok = true;
        while ok {
            let wake = self.driver.next_tick().min(self.next_duty).max(Instant::now());
            tokio::select! {
                cmd = rx.recv() => match cmd {
                    Some(c) => ok = self.commands(c, &mut rx),
                    None => return NodeError::Other { reason: "the cell's queue is gone".into() },
                },
                _ = tokio::time::sleep_until(wake.into()) => {}
            }
            ok = ok && self.timers(Instant::now());
        }
        let reason = "the cell can't rely on its disk any more".into();
        NodeError::DiskFailed { cause: Box::new(NodeError::Other { reason }) }
    }

    /// What came together is worked through together.
    fn commands(&mut self, first: CellCommand, rx: &mut mpsc::Receiver<CellCommand>) -> bool {
        let mut ok = self.command(first);
        for _ in 0..COMMANDS_AT_ONCE {
            match rx.try_recv() {
                Ok(c) if ok => ok = self.command(c),
                _ => break,
            }
        }
        ok
    }

    fn timers(&mut self, now: Instant) -> bool {
        let mut ok = true;
        if now >= self.driver.next_tick() {
            ok = self.agree_on(Event::Tick);
        }
        if ok && now >= self.next_duty {
            self.next_duty = now + DUTY_EVERY;
            ok = self.duties(now);
        }
        if let Some(e) = self.ending.take_if(|e| now >= e.at) {
            e.end();
        }
        ok
    }

    fn command(&mut self, cmd: CellCommand) -> bool {
        match cmd {
            CellCommand::OneWay(call) => return self.one_way(call),
            CellCommand::Outcomes(reports) => self.took_outcomes(reports),
            CellCommand::Call(call, waiting) => return self.called(call, waiting),
            CellCommand::Listed { zone, epoch, engines } => self.listed(zone, epoch, engines),
            CellCommand::Cells(waiting) => waiting.answer(self.cells()),
            CellCommand::Follow(from, waiting) => {
                return self.confirm_for(Reader::Follow(from, waiting));
            }
            CellCommand::ReadConfig(waiting) => return self.confirm_for(Reader::Config(waiting)),
            CellCommand::ForwardConfirmed { token, index } => {
                let events = self.orders.confirmed(token, index);
                events.into_iter().for_each(|e| self.answer_event(e));
            }
            CellCommand::SnapshotWritten(write) => return self.snapshot_written(write),
            CellCommand::Leave(done) => return self.leave(done),
            CellCommand::Replaced => self.replaced(),
        }
        true
    }

    fn one_way(&mut self, call: CellCall) -> bool {
        match call {
            CellCall::Agree { from, addr, msg } => {
                self.links.received_from(from, addr);
                return self.agree_on(Event::Received { from, msg });
            }
            CellCall::Table { table } => self.take_table(table),
            CellCall::Announce { status } => self.announced(status),
            CellCall::Outcomes { reports } => {
                self.trial.keep(self.orders.state(), reports);
            }
            _ => {}
        }
        true
    }
}
