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
use node_runtime::settings::{CELL_PORT, FEED_PORT};

/// Where a cell listens; others know its addresses from its settings.
pub struct CellListeners {
    /// Calls of other cells.
    pub peers: TcpListener,
    /// Followers of the feed.
    pub feed: TcpListener,
    /// The operator's calls, if `control` is served.
    pub control: Option<TcpListener>,
}

impl CellListeners {
    /// Listens at the addresses that the settings name.
    pub async fn bind(settings: &NodeSettings) -> NodeResult<Self> {
        let peers = listen_at(settings.own_addr(CELL_PORT)).await?;
        let feed = listen_at(settings.own_addr(FEED_PORT)).await?;
        let control = match settings.listen.control {
            Some(a) => Some(listen_at(a.to_string()).await?),
            None => None,
        };
        Ok(CellListeners { peers, feed, control })
    }
}

async fn listen_at(addr: String) -> NodeResult<TcpListener> {
    TcpListener::bind(&addr).await.map_err(|e| NodeError::Io { what: addr, source: e })
}

/// Runs a cell until SIGTERM.
pub async fn run_cell(settings: impl Into<SharedSettings>) -> NodeResult<()> {
    let shared: SharedSettings = settings.into();
    let listeners = CellListeners::bind(&shared.now()).await?;
    run_cell_on(shared, listeners).await
}

/// Runs a cell on listeners that are bound already.
pub async fn run_cell_on(
    settings: impl Into<SharedSettings>,
    listeners: CellListeners,
) -> NodeResult<()> {
    let shared: SharedSettings = settings.into();
    let CellListeners { peers, feed, control } = listeners;
    let actor::RunningCell { handle: cell, mut actor } = actor::start(&shared)?;
    let h = cell.clone();
    tokio::spawn(node_runtime::links::serve_calls(peers, move |q: CellCall| {
        let h = h.clone();
        async move { h.answer(q).await }
    }));
    tokio::spawn(follow::serve_feed(feed, cell.clone()));
    if let Some(l) = control {
        tokio::spawn(operator::serve_operator(l, cell.clone()));
    }
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|e| NodeError::Io { what: "SIGTERM".into(), source: e })?;
    let end_in_order = async {
        term.recv().await;
        // An actor that stands still (its disk is full) doesn't hold up the end.
        let bounds = MembershipBounds::from_settings(&shared.now().bounds);
        let _ = tokio::time::timeout(bounds.leave_within * 2, cell.leave()).await;
    };
    tokio::select! {
        () = end_in_order => Ok(()),
        failed = &mut actor => Err(failed.unwrap_or_else(|e| NodeError::Other {
            reason: format!("the cell's actor has ended: {e}"),
        })),
    }
}
