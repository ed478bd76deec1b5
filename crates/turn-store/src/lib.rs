//! A store: keeps turns and the allowance's ledger on disk, in a majority of the group that keeps a program.
#![deny(missing_docs)]

pub mod actor;
pub mod history;
pub mod prelude;
pub mod tables;

use crate::prelude::*;
use node_runtime::settings::STORE_PORT;

/// This part of the time between SIGTERM and SIGKILL is kept for the end itself.
const END_PART: u32 = 13;
/// Calls that are answered as the process ends have so long to be sent.
const LAST_ANSWERS: Duration = Duration::from_millis(100);

/// Runs a store until it is told to stop.
pub async fn run_store(settings: impl Into<SharedSettings>) -> NodeResult<()> {
    let shared: SharedSettings = settings.into();
    let settings = shared.now();
    let addr = settings.own_addr(STORE_PORT);
    let listener =
        TcpListener::bind(&addr).await.map_err(|e| NodeError::Io { what: addr, source: e })?;
    let RunningStore { handle: store, status, mut owner } = actor::start(&shared)?;
    let (tx, mut rx) = mpsc::channel(64);
    tokio::spawn(follow_cells(FollowSettings::of_cells(&shared, Topics::Stores), tx, status));
    let h = store.clone();
    tokio::spawn(async move {
        while let Some(n) = rx.recv().await {
            if let FeedUpdate::Items(items) = n {
                for i in items {
                    if let FeedItem::Stores(set) = i {
                        h.learn(set).await;
                    }
                }
            }
        }
    });
    let h = store.clone();
    tokio::spawn(node_runtime::links::serve_calls(listener, move |q: StoreCall| {
        let h = h.clone();
        async move { h.answer(q).await }
    }));
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|e| NodeError::Io { what: "SIGTERM".into(), source: e })?;
    let grace = settings.bounds.grace;
    let end_in_order = async {
        term.recv().await;
        // What it holds is transferred first, as far as that is possible in the time that is left.
        let _ = tokio::time::timeout(grace - grace / END_PART, store.end()).await;
        // Everything answered is synced already; calls under way get a moment to be answered.
        tokio::time::sleep(LAST_ANSWERS.min(grace / END_PART / 2)).await;
    };
    tokio::select! {
        () = end_in_order => Ok(()),
        failed = &mut owner => Err(failed.unwrap_or_else(|e| NodeError::Other {
            reason: format!("the store's owner has ended: {e}"),
        })),
    }
}
