//! Asking the other stores for what this one may lack.
use super::command::{MissingTransfers, StoreCommand, StoreHandle};
use crate::prelude::*;

/// Turns asked for at once, fewer after a call that took too long.
const BATCH: usize = 48;

/// Waits of a transfer, derived from `catchUpS`: by the end of it what was lost has full redundancy again,
/// also when one call on the way is lost.
#[derive(Debug, Clone, Copy)]
pub struct TransferBounds {
    /// How long another store has for an answer.
    pub call: Duration,
    /// How long a store that didn't answer, or hasn't learnt the set yet, is left alone.
    pub pause: Duration,
    /// The longest pause between two rounds that prove too little.
    pub longest_pause: Duration,
}

impl TransferBounds {
    /// The waits under a `catchUpS`.
    pub fn from_catch_up(catch_up: Duration) -> Self {
        TransferBounds { call: catch_up / 8, pause: catch_up / 40, longest_pause: catch_up }
    }
}

/// How a transfer from one store ended.
enum TransferEnd {
    /// It has transferred everything.
    Completed,
    /// It works under a newer set, which this store has learnt by that.
    Superseded,
    /// It didn't answer, or not yet under this set.
    Failed,
    /// This store's own tables are gone.
    Stopped,
}

/// Asks each store of the set that has not transferred everything yet, until this store is caught up or a
/// newer set is known. All are asked side by side; one that is away holds up nobody.
pub async fn transfer_from_peers(
    handle: StoreHandle,
    me: u64,
    mut due: watch::Receiver<u64>,
    settings: SharedSettings,
) {
    let mut rounds = 0;
    loop {
        let Some(MissingTransfers { version, stores: missing }) = handle.missing().await else {
            return;
        };
        if missing.is_empty() {
            rounds = 0;
            if due.changed().await.is_err() {
                return;
            }
            continue;
        }
        let bounds = TransferBounds::from_catch_up(settings.now().bounds.catch_up);
        tokio::select! {
            changed = due.changed() => match changed {
                Ok(()) => rounds = 0,
                Err(_) => return,
            },
            _ = transfer_from(version, me, &missing, &handle, bounds) => {
                // Too little is proved by all that there is.
                let pause = (bounds.pause * 2u32.pow(rounds)).min(bounds.longest_pause);
                rounds = (rounds + 1).min(10);
                tokio::select! {
                    changed = due.changed() => if changed.is_err() { return },
                    _ = tokio::time::sleep(pause) => {}
                }
            }
        }
    }
}

/// Asks all of them until each has transferred everything or nobody is missing any more.
async fn transfer_from(
    version: u64,
    me: u64,
    missing: &[StoreEntry],
    handle: &StoreHandle,
    bounds: TransferBounds,
) {
    let each = missing.iter().map(|peer| transfer_from_one(version, me, peer, handle, bounds));
    let mut work: FuturesUnordered<_> = each.collect();
    while work.next().await.is_some() {
        if handle.missing().await.is_none_or(|missing| missing.stores.is_empty()) {
            return;
        }
    }
}

async fn transfer_from_one(
    version: u64,
    me: u64,
    from: &StoreEntry,
    handle: &StoreHandle,
    bounds: TransferBounds,
) {
    let call = TransferCall { version, me, from, caller: Caller::new(from.addr.clone()), bounds };
    let mut batch = BATCH;
    while let TransferEnd::Failed = call.run(handle, batch).await {
        batch = (batch / 4).max(1);
        tokio::time::sleep(bounds.pause).await;
    }
}

/// Everything that one store holds of this one's programs.
struct TransferCall<'a> {
    version: u64,
    me: u64,
    from: &'a StoreEntry,
    caller: Caller,
    bounds: TransferBounds,
}

impl TransferCall<'_> {
    async fn run(&self, handle: &StoreHandle, batch: usize) -> TransferEnd {
        let TransferCall { version, me, from, ref caller, bounds } = *self;
        let within = bounds.call;
        let mut after = None;
        loop {
            let call = StoreCall::Sync(SyncCall { version, me, after });
            let page = match caller.call::<_, StoreReply>(&call, within).await {
                Ok(StoreReply::Sync(page)) => page,
                Ok(StoreReply::Stale(set)) => {
                    handle.learn(set).await;
                    return TransferEnd::Superseded;
                }
                _ => return TransferEnd::Failed,
            };
            let Some(lacking) = handle.merge(page.rows).await else { return TransferEnd::Stopped };
            for part in lacking.chunks(batch) {
                let call = StoreCall::Fetch {
                    ids: part.iter().map(|missing| missing.id.clone()).collect(),
                };
                let Ok(StoreReply::Turns(turns)) =
                    caller.call::<_, StoreReply>(&call, within).await
                else {
                    return TransferEnd::Failed;
                };
                // One turn may be missing for several programs.
                let kept = part.iter().filter_map(|missing| {
                    let turn = turns.iter().find(|turn| turn.id == missing.id)?;
                    Some((missing.program.clone(), turn.clone()))
                });
                if handle.store_turns(kept.collect()).await.is_none() {
                    return TransferEnd::Stopped;
                }
            }
            match page.more {
                Some(program) => after = Some(program),
                None => {
                    let done = StoreCommand::Transferred {
                        version,
                        from: from.id,
                        caught_up: page.caught_up,
                    };
                    return match handle.send(done).await {
                        true => TransferEnd::Completed,
                        false => TransferEnd::Stopped,
                    };
                }
            }
        }
    }
}
