#![deny(missing_docs)]
//! A cell: keeps its zones' engines and nodes, agrees with the other cells on the configuration, and
//! serves `control`.
pub mod actor;
pub mod duties;
pub mod feed;
pub mod follow;
pub mod listing;
pub mod operator;
pub mod orders;
pub mod prelude;
pub mod state;

use crate::prelude::*;
use node_base::settings::{CELL_PORT, FEED_PORT};

/// Runs a cell until it is told to end.
pub async fn run_cell(settings: impl Into<SharedSettings>) -> NodeResult<()> {
    let shared: SharedSettings = settings.into();
    let settings = shared.now();
    let bind = |addr: String| async move {
        TcpListener::bind(&addr).await.map_err(|e| NodeError::Io { what: addr, source: e })
    };
    let inner = bind(settings.own_addr(CELL_PORT)).await?;
    let feed = bind(settings.own_addr(FEED_PORT)).await?;
    let control = match settings.listen.control {
        Some(a) => Some(bind(a.to_string()).await?),
        None => None,
    };
    let cell = actor::start(&shared)?;
    let h = cell.clone();
    tokio::spawn(node_base::links::serve_calls(inner, move |q: CellCall| {
        let h = h.clone();
        async move { h.answer(q).await }
    }));
    tokio::spawn(follow::serve_feed(feed, cell.clone()));
    if let Some(l) = control {
        tokio::spawn(operator::serve_operator(l, cell.clone()));
    }
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|e| NodeError::Io { what: "SIGTERM".into(), source: e })?;
    term.recv().await;
    cell.leave().await;
    Ok(())
}
