//! The actor: composes a cell's parts and works through its queue of commands.
use super::driver::{ConsensusDriver, OpenedCell};
use super::feed::{FeedBook, FeedReceiver};
use super::links::CellLinks;
use super::membership::MembershipDuty;
use super::pending::{PendingOrders, PendingReads};
use super::stores::StoreDuty;
use super::trial::TrialDesk;
use super::zones::ZoneDesk;
use crate::listing::{read_lists, Held};
use crate::prelude::*;

/// Commands worked through before the disk, the clock and the duties have their turn again.
const COMMANDS_AT_ONCE: usize = 64;
const DUTY_EVERY: Duration = Duration::from_millis(200);
/// How long a leader that ends stays to hand its lead over.
const HAND_OVER: Duration = Duration::from_millis(1200);
/// How long a follower that ends stays so that its word gets out.
const LEAVE_WORD: Duration = Duration::from_millis(300);

pub(super) enum Reader {
    Config(oneshot::Sender<Option<Option<Bytes>>>),
    Follow {
        feed: u64,
        no: u64,
        wants: Wants,
        reply: oneshot::Sender<Option<(FeedReceiver, u64)>>,
    },
    /// Another cell asks on behalf of its reader.
    Index(oneshot::Sender<CellReply>),
}

impl Reader {
    /// No majority confirms that this cell is current.
    pub fn refuse(self) {
        match self {
            Reader::Config(tx) => drop(tx.send(None)),
            Reader::Follow { reply, .. } => drop(reply.send(None)),
            Reader::Index(tx) => drop(tx.send(CellReply::Unable)),
        }
    }
}

/// A cell that was told to end, and who waits for it.
pub(super) struct Ending {
    at: Instant,
    done: oneshot::Sender<()>,
}

/// Invariants: `state` is what the log says up to the node's `applied`; a reader is served only when its
/// index is applied.
pub(super) struct Actor {
    pub settings: Arc<NodeSettings>,
    pub queue: mpsc::Sender<CellCommand>,
    pub driver: ConsensusDriver,
    pub state: CellState,
    pub links: CellLinks,
    pub orders: PendingOrders<oneshot::Sender<CellReply>>,
    pub reads: PendingReads<Reader>,
    pub feed: FeedBook,
    pub zones: ZoneDesk,
    pub members: MembershipDuty,
    pub stores: StoreDuty,
    pub trial: TrialDesk,
    pub next_duty: Instant,
    pub ending: Option<Ending>,
}

impl Actor {
    pub fn open(settings: Arc<NodeSettings>, queue: mpsc::Sender<CellCommand>) -> NodeResult<Self> {
        let OpenedCell { driver, state, lives } = ConsensusDriver::open(&settings)?;
        let (held, watch_held) = watch::channel(Held::new());
        if let Some(cloud) = settings.cloud.clone() {
            tokio::spawn(read_lists(cloud, settings.bounds.drain, watch_held, queue.clone()));
        }
        let now = Instant::now();
        Ok(Actor {
            settings,
            queue,
            driver,
            state,
            links: CellLinks::default(),
            orders: PendingOrders::default(),
            reads: PendingReads::default(),
            feed: FeedBook::default(),
            zones: ZoneDesk::new(lives, held, now),
            members: MembershipDuty::new(now),
            stores: StoreDuty::default(),
            trial: TrialDesk::default(),
            next_duty: now,
            ending: None,
        })
    }

    pub async fn run(mut self, mut rx: mpsc::Receiver<CellCommand>) {
        self.publish_state();
        let mut ok = true;
        while ok {
            let wake = self.driver.next_tick().min(self.next_duty).max(Instant::now());
            tokio::select! {
                cmd = rx.recv() => match cmd {
                    Some(c) => ok = self.commands(c, &mut rx),
                    None => return,
                },
                _ = tokio::time::sleep_until(wake.into()) => {}
            }
            ok = ok && self.timers(Instant::now());
        }
        // The disk can't be written: nothing may be acknowledged any more.
        std::process::exit(3);
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
        let leads = self.driver.leads();
        if let Some(e) = self.ending.take_if(|e| now >= e.at || !leads) {
            let _ = e.done.send(());
        }
        ok
    }

    fn command(&mut self, cmd: CellCommand) -> bool {
        match cmd {
            CellCommand::Tell(call) => return self.told_by(call),
            CellCommand::Outcomes(reports) => self.took_outcomes(reports),
            CellCommand::Call(call, reply) => return self.called(call, reply),
            CellCommand::Listed { zone, epoch, engines } => self.listed(zone, epoch, engines),
            CellCommand::Follow { feed, no, wants, reply } => {
                return self.confirm_for(Reader::Follow { feed, no, wants, reply });
            }
            CellCommand::ReadConfig(reply) => return self.confirm_for(Reader::Config(reply)),
            CellCommand::ForwardConfirmed { token, index } => {
                if let Some(r) = self.reads.take(token) {
                    self.confirmed(r, index);
                }
            }
            CellCommand::Leave(reply) => return self.leave(reply),
        }
        true
    }

    fn told_by(&mut self, call: CellCall) -> bool {
        match call {
            CellCall::Agree { from, addr, msg } => {
                self.links.heard_from(from, addr);
                return self.agree_on(Event::Received { from, msg });
            }
            CellCall::Table { table } => self.take_table(table),
            CellCall::Announce { status } => self.announced(status),
            CellCall::Outcomes { reports } => {
                self.trial.keep(&self.state, reports);
            }
            _ => {}
        }
        true
    }

    fn leave(&mut self, done: oneshot::Sender<()>) -> bool {
        let now = Instant::now();
        let id = self.driver.me.id;
        if self.driver.leads() {
            self.members.leaves(id);
            self.ending = Some(Ending { at: now + HAND_OVER, done });
            return self.duties(now) && self.agree_on(Event::HandOver);
        }
        if let Some(l) = self.leader_addr() {
            self.links.caller(&l).tell(&CellCall::Leave { id });
        }
        self.ending = Some(Ending { at: now + LEAVE_WORD, done });
        true
    }
}
