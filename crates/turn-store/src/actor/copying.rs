//! Asking the other stores for what this one may lack.
use super::work::{StoreCommand, StoreHandle};
use crate::prelude::*;

const WITHIN: Duration = Duration::from_millis(1000);
const AGAIN: Duration = Duration::from_millis(120);
/// Turns asked for at once.
const BATCH: usize = 48;

/// Asks each store of the set that has not transferred everything yet, until all have or a newer placement is
/// in force. All are asked side by side; one that is away doesn't hold up the others.
pub async fn sync_with_all(h: StoreHandle, me: u64, mut due: watch::Receiver<u64>) {
    loop {
        let (tx, rx) = oneshot::channel();
        if !h.send(StoreCommand::Missing(tx)).await {
            return;
        }
        let Ok((version, missing)) = rx.await else { return };
        if missing.is_empty() {
            if due.changed().await.is_err() {
                return;
            }
            continue;
        }
        let mut work: FuturesUnordered<_> =
            missing.iter().map(|e| sync_with(version, me, e, &h)).collect();
        while work.next().await.is_some() {}
        drop(work);
        tokio::select! {
            r = due.changed() => if r.is_err() { return },
            _ = tokio::time::sleep(AGAIN) => {}
        }
    }
}

async fn sync_with(version: u64, me: u64, from: &StoreEntry, h: &StoreHandle) -> Option<()> {
    let c = Caller::new(from.addr.clone());
    let mut after = None;
    loop {
        let q = StoreCall::Sync(SyncCall { version, me, after });
        let page = match c.call::<_, StoreReply>(&q, WITHIN).await {
            Ok(StoreReply::Sync(p)) => p,
            Ok(StoreReply::Stale(set)) => {
                h.learn(set).await;
                return None;
            }
            _ => return None,
        };
        let (tx, rx) = oneshot::channel();
        if !h.send(StoreCommand::Merge(page.rows, tx)).await {
            return None;
        }
        let lacking = rx.await.ok()?;
        for part in lacking.chunks(BATCH) {
            let q = StoreCall::Fetch { ids: part.iter().map(|t| t.id.clone()).collect() };
            let Ok(StoreReply::Turns(t)) = c.call::<_, StoreReply>(&q, WITHIN).await else {
                return None;
            };
            let kept = t.into_iter().filter_map(|r| {
                let missing = part.iter().find(|t| t.id == r.id)?;
                Some((missing.program.clone(), r))
            });
            let (tx, rx) = oneshot::channel();
            if !h.send(StoreCommand::Keep(kept.collect(), tx)).await {
                return None;
            }
            rx.await.ok()?;
        }
        match page.more {
            Some(a) => after = Some(a),
            None => {
                let done =
                    StoreCommand::Transferred { version, from: from.id, caught_up: page.caught_up };
                h.send(done).await;
                return Some(());
            }
        }
    }
}
