//! The request proxy: the way of a request from a client to an engine and back.
pub mod app;
pub mod door;
pub mod flow;
pub mod life;
pub mod prelude;
pub mod relay;
pub mod sending;
pub mod turns;

use crate::prelude::*;

/// A proxy that has been started.
pub struct Running {
    pub app: Arc<App>,
    pub serving: tokio::task::JoinHandle<()>,
}

pub async fn run_proxy(settings: NodeSettings) -> NodeResult<()> {
    let grace = settings.bounds.grace;
    let run = start_proxy(settings).await?;
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|e| NodeError::Io { what: "SIGTERM".into(), source: e })?;
    term.recv().await;
    life::end_in_order(&run.app, run.serving, grace).await;
    Ok(())
}

pub async fn start_proxy(settings: NodeSettings) -> NodeResult<Running> {
    let need = |a: Option<SocketAddr>, field: &str| {
        a.ok_or_else(|| NodeError::BadSettings {
            file: "settings".into(),
            field: field.into(),
            reason: "is missing; a proxy needs it".into(),
        })
    };
    let front = need(settings.listen.front, "listenAddresses.front")?;
    let readiness = need(settings.listen.readiness, "listenAddresses.readiness")?;
    let bind = |a: SocketAddr| async move {
        TcpListener::bind(a).await.map_err(|e| NodeError::Io { what: a.to_string(), source: e })
    };
    let front = bind(front).await?;
    let readiness = bind(readiness).await?;
    let app = App::new(settings);
    app::follow_agent(&app);
    app::sweep_regularly(&app);
    app::report_outcomes(&app);
    let (stop, stopped) = watch::channel(LifeState::first());
    app.tell_life(stop);
    tokio::spawn(door::serve_readiness(readiness, app.clone()));
    let serving = tokio::spawn(door::serve_front(front, app.clone(), stopped));
    Ok(Running { app, serving })
}
