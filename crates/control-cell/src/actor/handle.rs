//! The handle that the cell's tasks use, and the commands behind it.
use crate::prelude::*;

/// Who waits for an answer, and until when: after that nothing more is done for it.
pub struct Waiting<T> {
    reply: oneshot::Sender<T>,
    deadline: Instant,
}

impl<T> Waiting<T> {
    /// Answers, if somebody still waits.
    pub fn answer(self, value: T) {
        let _ = self.reply.send(value);
    }

    /// Nobody waits any more.
    pub fn is_gone(&self) -> bool {
        self.reply.is_closed() || Instant::now() >= self.deadline
    }

    /// How long the caller waits yet.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Ends when the caller is gone.
    pub async fn gone(&mut self) {
        self.reply.closed().await;
    }
}

/// What the actor is asked for or notified of.
pub enum CellCommand {
    /// A call that is answered.
    Call(CellCall, Waiting<CellReply>),
    /// One that isn't.
    OneWay(CellCall),
    /// Outcomes from nodes that follow this cell.
    Outcomes(Vec<NodeReport>),
    /// A zone's list was read.
    Listed {
        /// The zone.
        zone: String,
        /// The log index that made this cell its holder.
        epoch: u64,
        /// The engines on the list.
        engines: Vec<EngineEntry>,
    },
    /// The cells as this one knows them, unconfirmed.
    Cells(Waiting<FeedItem>),
    /// Opens a feed; none when no majority confirms that this cell is current.
    Follow(FollowFrom, Waiting<Option<OpenedFeed>>),
    /// Reads the newest configuration; none when no majority confirms that this cell is current.
    ReadConfig(Waiting<Option<Option<Bytes>>>),
    /// A forwarded confirmation came back: the index to have applied, or none.
    ForwardConfirmed {
        /// The read's token.
        token: u64,
        /// The index to have applied.
        index: Option<u64>,
    },
    /// A snapshot of the log was written, or couldn't be.
    SnapshotWritten(NodeResult<SnapshotWrite>),
    /// The cell ends in order.
    Leave(oneshot::Sender<()>),
    /// The leader has agreed that this cell, which ends, votes no more.
    Replaced,
}

/// A handle to a cell's actor.
#[derive(Clone)]
pub struct CellHandle {
    pub(super) queue: mpsc::Sender<CellCommand>,
}

/// How long a call of another process is worked on that doesn't say how long it waits.
const CALL_WITHIN: Duration = Duration::from_millis(2500);
/// A follower gives a link up after a second of silence.
const FOLLOW_WITHIN: Duration = Duration::from_millis(900);

impl CellHandle {
    /// Queues a command and waits for its answer until the deadline.
    async fn wait<T>(
        &self,
        deadline: Instant,
        command: impl FnOnce(Waiting<T>) -> CellCommand,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        let answered = async {
            self.queue.send(command(Waiting { reply, deadline })).await.ok()?;
            answer.await.ok()
        };
        tokio::time::timeout_at(deadline.into(), answered).await.ok()?
    }

    async fn ask(&self, call: CellCall, deadline: Instant) -> CellReply {
        let answer = self.wait(deadline, |w| CellCommand::Call(call, w)).await;
        answer.unwrap_or(CellReply::Unable)
    }

    /// A call of another cell.
    pub async fn answer(&self, q: CellCall) -> Option<CellReply> {
        match q {
            CellCall::Agree { .. } | CellCall::Table { .. } | CellCall::Outcomes { .. } => {
                let _ = self.queue.send(CellCommand::OneWay(q)).await;
                None
            }
            CellCall::Within { ms, call } => {
                let within = Duration::from_millis(ms).min(CALL_WITHIN);
                Some(self.ask(*call, Instant::now() + within).await)
            }
            _ => Some(self.ask(q, Instant::now() + CALL_WITHIN).await),
        }
    }

    /// Proposes a change; it isn't proposed after the deadline.
    pub async fn propose(&self, change: Change, deadline: Instant) -> CellReply {
        self.ask(CellCall::Propose { change }, deadline).await
    }

    /// Orders a store to be emptied, or only asks how that goes.
    pub async fn retire(&self, store: String, query_only: bool, deadline: Instant) -> CellReply {
        self.ask(CellCall::Retire { store, query_only }, deadline).await
    }

    /// A store's status report.
    pub fn announce(&self, status: StoreStatus) {
        let _ = self.queue.try_send(CellCommand::OneWay(CellCall::Announce { status }));
    }

    /// What nodes that follow this cell counted.
    pub fn outcomes(&self, reports: Vec<NodeReport>) {
        let _ = self.queue.try_send(CellCommand::Outcomes(reports));
    }

    /// The newest configuration, confirmed by a majority.
    pub async fn read_config(&self, deadline: Instant) -> Option<Option<Bytes>> {
        self.wait(deadline, CellCommand::ReadConfig).await?
    }

    /// The cells as this one knows them: a hint where to follow.
    pub async fn cells(&self) -> Option<FeedItem> {
        self.wait(Instant::now() + FOLLOW_WITHIN, CellCommand::Cells).await
    }

    /// Opens a feed once a majority has confirmed that this cell is current.
    pub async fn follow(&self, from: FollowFrom) -> Option<OpenedFeed> {
        let deadline = Instant::now() + FOLLOW_WITHIN;
        self.wait(deadline, |w| CellCommand::Follow(from, w)).await?
    }

    /// Ends in order: the lead, the vote and the zones go to others, where they can.
    pub async fn leave(&self) {
        let (tx, rx) = oneshot::channel();
        if self.queue.send(CellCommand::Leave(tx)).await.is_ok() {
            let _ = rx.await;
        }
    }
}
