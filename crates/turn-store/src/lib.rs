//! A store: keeps turns and the allowance's ledger on disk, in a majority of the group that keeps a program.
pub mod actor;
pub mod knowledge;
pub mod prelude;
pub mod tables;

use crate::prelude::*;
use node_base::settings::STORE_PORT;

/// Runs a store until it is told to end.
pub async fn run_store(settings: impl Into<SharedSettings>) -> NodeResult<()> {
    let shared: SharedSettings = settings.into();
    let settings = shared.now();
    let addr = settings.own_addr(STORE_PORT);
    let listener =
        TcpListener::bind(&addr).await.map_err(|e| NodeError::Io { what: addr, source: e })?;
    let (store, status) = actor::start(&settings)?;
    let (tx, mut rx) = mpsc::channel(64);
    tokio::spawn(follow_cells(FollowSettings::of_cells(&shared), tx, status));
    let h = store.clone();
    tokio::spawn(async move {
        while let Some(n) = rx.recv().await {
            if let News::Items(items) = n {
                for i in items {
                    if let FeedItem::Stores(set) = i {
                        h.learn(set).await;
                    }
                }
            }
        }
    });
    let h = store.clone();
    tokio::spawn(node_base::links::serve_calls(listener, move |q: StoreCall| {
        let h = h.clone();
        async move { h.answer(q).await }
    }));
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|e| NodeError::Io { what: "SIGTERM".into(), source: e })?;
    term.recv().await;
    // Everything answered is synced already; calls under way get a moment to be answered.
    tokio::time::sleep(Duration::from_millis(100)).await;
    Ok(())
}
