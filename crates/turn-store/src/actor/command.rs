//! What the owner of the tables is asked to do, and the way to it.
use crate::prelude::*;

/// What a store still lacks.
pub struct MissingTransfers {
    /// The version of the set in force.
    pub version: u64,
    /// The stores that have not transferred everything yet.
    pub stores: Vec<StoreEntry>,
}

/// What the owner of the tables is asked to do.
pub enum StoreCommand {
    /// A call of another process, and where its answer goes.
    Call(Box<StoreCall>, oneshot::Sender<StoreReply>),
    /// A store set, perhaps a newer one.
    Learn(StoreSet),
    /// Rows of another store; gives back which of their turns are not here.
    Merge(Vec<SyncRow>, oneshot::Sender<Vec<MissingTurn>>),
    /// Turns of another store, each with the program that it is stored for.
    StoreTurns(Vec<(String, TurnRecord)>, oneshot::Sender<()>),
    /// A store has transferred everything under the set of this version.
    Transferred {
        /// The version of the set that both worked under.
        version: u64,
        /// The store that transferred.
        from: u64,
        /// The versions at which that store was caught up.
        caught_up: Option<VersionSpan>,
    },
    /// The process was told to stop.
    End,
    /// The version in force, and which stores have not transferred everything yet.
    Missing(oneshot::Sender<MissingTransfers>),
}

/// The way to the owner of the tables.
#[derive(Clone)]
pub struct StoreHandle {
    queue: mpsc::Sender<StoreCommand>,
    /// Once it was told to stop: nothing depends on this store any more, or it can't be spared.
    released: watch::Receiver<bool>,
}

impl StoreHandle {
    pub(super) fn new(
        queue: mpsc::Sender<StoreCommand>,
        released: watch::Receiver<bool>,
    ) -> StoreHandle {
        StoreHandle { queue, released }
    }

    /// Has a call answered; none when the store is ending.
    pub async fn answer(&self, call: StoreCall) -> Option<StoreReply> {
        let (reply, answer) = oneshot::channel();
        self.queue.send(StoreCommand::Call(Box::new(call), reply)).await.ok()?;
        answer.await.ok()
    }

    /// Hands over a store set.
    pub async fn learn(&self, set: StoreSet) {
        let _ = self.queue.send(StoreCommand::Learn(set)).await;
    }

    /// Announces that this store is to stop, and waits until it may.
    pub async fn end(&self) {
        let mut released = self.released.clone();
        if self.send(StoreCommand::End).await {
            let _ = released.wait_for(|released| *released).await;
        }
    }

    pub(super) async fn send(&self, command: StoreCommand) -> bool {
        self.queue.send(command).await.is_ok()
    }

    /// The version in force, and which stores have not transferred everything yet.
    pub(super) async fn missing(&self) -> Option<MissingTransfers> {
        let (reply, answer) = oneshot::channel();
        self.send(StoreCommand::Missing(reply)).await;
        answer.await.ok()
    }

    /// Takes rows of another store; gives back which of their turns are not here.
    pub(super) async fn merge(&self, rows: Vec<SyncRow>) -> Option<Vec<MissingTurn>> {
        let (reply, answer) = oneshot::channel();
        self.send(StoreCommand::Merge(rows, reply)).await;
        answer.await.ok()
    }

    /// Stores turns of another store, each for a program; they are synced when this ends.
    pub(super) async fn store_turns(&self, turns: Vec<(String, TurnRecord)>) -> Option<()> {
        let (reply, answer) = oneshot::channel();
        self.send(StoreCommand::StoreTurns(turns, reply)).await;
        answer.await.ok()
    }
}
