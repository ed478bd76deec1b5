//! The handle that the cell's tasks use, and the commands behind it.
use super::work::Actor;
use crate::prelude::*;

/// Encoded `FeedMsg::Items`.
pub type FeedReceiver = mpsc::Receiver<Bytes>;

pub enum CellCommand {
    Call(CellCall, oneshot::Sender<CellReply>),
    Tell(CellCall),
    /// Outcomes from nodes that follow this cell.
    Outcomes(Vec<NodeReport>),
    Listed {
        zone: String,
        epoch: u64,
        engines: Vec<EngineEntry>,
    },
    Follow {
        feed: u64,
        no: u64,
        wants: Wants,
        reply: oneshot::Sender<Option<(FeedReceiver, u64)>>,
    },
    ReadConfig(oneshot::Sender<Option<Option<Bytes>>>),
    /// A forwarded confirmation came back: the index to have applied, or none.
    ForwardConfirmed {
        token: u64,
        index: Option<u64>,
    },
    Leave(oneshot::Sender<()>),
}

#[derive(Clone)]
pub struct CellHandle {
    pub(super) queue: mpsc::Sender<CellCommand>,
}

const WITHIN: Duration = Duration::from_millis(2500);

impl CellHandle {
    async fn ask(&self, call: CellCall) -> CellReply {
        let (tx, rx) = oneshot::channel();
        if self.queue.send(CellCommand::Call(call, tx)).await.is_err() {
            return CellReply::Unable;
        }
        match tokio::time::timeout(WITHIN, rx).await {
            Ok(Ok(r)) => r,
            _ => CellReply::Unable,
        }
    }

    /// A call of another cell.
    pub async fn answer(&self, q: CellCall) -> Option<CellReply> {
        match q {
            CellCall::Agree { .. } | CellCall::Table { .. } | CellCall::Outcomes { .. } => {
                let _ = self.queue.send(CellCommand::Tell(q)).await;
                None
            }
            _ => Some(self.ask(q).await),
        }
    }

    pub async fn propose(&self, change: Change) -> CellReply {
        self.ask(CellCall::Propose { change }).await
    }

    pub async fn retire(&self, store: String, ask_only: bool) -> CellReply {
        self.ask(CellCall::Retire { store, ask_only }).await
    }

    pub fn announce(&self, status: StoreStatus) {
        let _ = self.queue.try_send(CellCommand::Tell(CellCall::Announce { status }));
    }

    pub fn outcomes(&self, reports: Vec<NodeReport>) {
        let _ = self.queue.try_send(CellCommand::Outcomes(reports));
    }

    /// The newest configuration, confirmed by a majority.
    pub async fn read_config(&self) -> Option<Option<Bytes>> {
        let (tx, rx) = oneshot::channel();
        self.queue.send(CellCommand::ReadConfig(tx)).await.ok()?;
        tokio::time::timeout(WITHIN, rx).await.ok()?.ok()?
    }

    pub async fn follow(&self, feed: u64, no: u64, wants: Wants) -> Option<(FeedReceiver, u64)> {
        let (tx, rx) = oneshot::channel();
        self.queue.send(CellCommand::Follow { feed, no, wants, reply: tx }).await.ok()?;
        tokio::time::timeout(WITHIN, rx).await.ok()?.ok()?
    }

    pub async fn leave(&self) {
        let (tx, rx) = oneshot::channel();
        if self.queue.send(CellCommand::Leave(tx)).await.is_ok() {
            let _ = tokio::time::timeout(Duration::from_secs(2), rx).await;
        }
    }
}

/// Opens the disk and starts the owner.
pub fn start(settings: impl Into<SharedSettings>) -> NodeResult<CellHandle> {
    let (tx, rx) = mpsc::channel(2048);
    let owner = Actor::open(settings.into(), tx.clone())?;
    tokio::spawn(owner.run(rx));
    Ok(CellHandle { queue: tx })
}
