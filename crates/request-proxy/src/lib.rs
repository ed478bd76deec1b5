//! The request proxy: the way of a request from a client to an engine and back.
pub mod app;
pub mod door;
pub mod flow;
pub mod life;
mod observed_stream;
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

/// Runs a proxy until it is told to end.
pub async fn run_proxy(settings: impl Into<SharedSettings>) -> NodeResult<()> {
    let shared: SharedSettings = settings.into();
    let run = start_proxy(&shared).await?;
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|e| NodeError::Io { what: "SIGTERM".into(), source: e })?;
    term.recv().await;
    let grace = shared.now().bounds.grace;
    life::end_in_order(&run.app, run.serving, grace).await;
    Ok(())
}

/// Opens the listeners and starts all tasks of a proxy.
pub async fn start_proxy(settings: impl Into<SharedSettings>) -> NodeResult<Running> {
    let shared: SharedSettings = settings.into();
    let settings = shared.now();
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
    let app = App::new(shared);
    app::follow_agent(&app);
    app::sweep_regularly(&app);
    app::report_outcomes(&app);
    let (stop, stopped) = watch::channel(LifeState::first());
    app.tell_life(stop);
    tokio::spawn(door::serve_readiness(readiness, app.clone()));
    let serving = tokio::spawn(door::serve_front(front, app.clone(), stopped));
    Ok(Running { app, serving })
}
