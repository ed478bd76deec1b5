//! The agent beside a proxy: keeps the link to the cells and feeds the proxy over loopback.
#![deny(missing_docs)]

pub mod owner;
pub mod prelude;
pub mod serve;

use crate::prelude::*;

/// Outcomes go on as they come, about once a second; this often when none come.
const REPORT_REPEAT: Duration = Duration::from_secs(10);

/// Runs an agent until it is told to end and its proxy has gone.
pub async fn run_agent(settings: impl Into<SharedSettings>) -> NodeResult<()> {
    let shared: SharedSettings = settings.into();
    let settings = shared.now();
    let addr = format!("127.0.0.1:{}", settings.internal_ports.0 + AGENT_PORT);
    let listener =
        TcpListener::bind(&addr).await.map_err(|e| NodeError::Io { what: addr, source: e })?;
    let (tx, rx) = mpsc::channel(256);
    let (outgoing, outgoing_seen) = watch::channel(None);
    let follow =
        FollowSettings { repeat: REPORT_REPEAT, ..FollowSettings::of_cells(&shared, Topics::All) };
    tokio::spawn(follow_cells(follow, tx, outgoing_seen));
    let (open, opens) = mpsc::channel(16);
    let (counted, reports) = mpsc::channel(16);
    tokio::spawn(serve::serve_proxy(listener, open, counted));
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|e| NodeError::Io { what: "SIGTERM".into(), source: e })?;
    let (leave, leaving) = watch::channel(false);
    tokio::spawn(async move {
        term.recv().await;
        // The proxy beside it gets the same signal and finishes its answers: updates keep coming until
        // it has gone.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let _ = leave.send(true);
        tokio::time::sleep(shared.now().bounds.grace).await;
    });
    owner::run_owner(FeedOwner::new(outgoing), rx, opens, reports, leaving).await;
    Ok(())
}
