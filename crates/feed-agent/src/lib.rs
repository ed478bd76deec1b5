//! The agent beside a proxy: keeps the link to the cells and feeds the proxy over loopback.
pub mod keep;
pub mod prelude;
pub mod serve;

use crate::prelude::*;

pub async fn run_agent(env: NodeEnv) -> NodeResult<()> {
    let addr = format!("127.0.0.1:{}", env.internal_ports.0 + AGENT_PORT);
    let listener =
        TcpListener::bind(&addr).await.map_err(|e| NodeError::Io { what: addr, source: e })?;
    let (tx, rx) = mpsc::channel(256);
    let (_word, no_word) = watch::channel(None);
    tokio::spawn(follow_cells(FollowEnv::of_cells_whole(&env), tx, no_word));
    let (open, opens) = mpsc::channel(16);
    tokio::spawn(serve::serve_proxy(listener, open));
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|e| NodeError::Io { what: "SIGTERM".into(), source: e })?;
    let (leave, leaving) = watch::channel(false);
    let grace = env.bounds.grace;
    tokio::spawn(async move {
        term.recv().await;
        // The proxy beside it gets the same signal and finishes its answers: news keep coming until
        // it has gone.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let _ = leave.send(true);
        tokio::time::sleep(grace).await;
    });
    keep::keep(rx, opens, leaving).await;
    Ok(())
}
