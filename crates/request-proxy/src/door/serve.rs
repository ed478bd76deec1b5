//! Connections: one task each, with a bounded head, idle time, and an end in order.
use crate::flow;
use crate::prelude::*;
use hyper::server::conn::http1;
use std::convert::Infallible;
use tokio::sync::Semaphore;

const QUIET: Duration = Duration::from_secs(4);

pub async fn serve_readiness(listener: TcpListener, app: Arc<App>) {
    loop {
        let Ok((s, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        tune_stream(&s, QUIET);
        let app = app.clone();
        tokio::spawn(async move {
            let svc = hyper::service::service_fn(move |req: Request<Incoming>| {
                let ready = app.life().ready();
                async move {
                    let mut r = Response::new(Full::new(Bytes::new()));
                    *r.status_mut() = match () {
                        _ if req.uri().path() != names::READINESS_PATH => StatusCode::NOT_FOUND,
                        _ if ready => StatusCode::OK,
                        _ => StatusCode::SERVICE_UNAVAILABLE,
                    };
                    Ok::<_, Infallible>(r)
                }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(s), svc).await;
        });
    }
}

/// Takes connections until the life ends. While it is closing, whatever the entry still sends is
/// served, one answer a connection; it ends once nothing has been under way for a moment.
pub async fn serve_front(
    listener: TcpListener,
    app: Arc<App>,
    mut life: watch::Receiver<LifeState>,
) {
    // Descriptors: one for each client here, the rest for engines, stores and the agent.
    let most = (app.settings.now().limits.descriptors.saturating_sub(400) / 2).max(64) as usize;
    let room = Arc::new(Semaphore::new(most));
    let mut calm = 0;
    loop {
        let now = life.borrow_and_update().clone();
        let next = tokio::select! {
            r = life.changed() => {
                if r.is_err() {
                    return;
                }
                continue;
            }
            s = accept_one(&listener, &room) => s,
            _ = tokio::time::sleep(LOOK), if !now.listens() => {
                let idle = room.available_permits() == most;
                calm = if idle { calm + 1 } else { 0 };
                if calm >= CALM_LOOKS || matches!(now, LifeState::Ended {}) {
                    return;
                }
                continue;
            }
        };
        let Some((s, place)) = next else { continue };
        tune_stream(&s, QUIET);
        let (app, life) = (app.clone(), life.clone());
        tokio::spawn(async move {
            serve_client(s, app, life).await;
            drop(place);
        });
    }
}

const LOOK: Duration = Duration::from_millis(40);
const CALM_LOOKS: u32 = 4;

async fn accept_one(
    listener: &TcpListener,
    room: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    if room.available_permits() == 0 {
        // Full: the next is taken when one has gone.
        drop(room.acquire().await.ok()?);
    }
    match listener.accept().await {
        Ok((s, _)) => Some((s, room.clone().try_acquire_owned().ok()?)),
        Err(_) => {
            tokio::time::sleep(Duration::from_millis(20)).await;
            None
        }
    }
}

async fn serve_client(s: TcpStream, app: Arc<App>, mut life: watch::Receiver<LifeState>) {
    let (head_bytes, idle) = match app.live() {
        Some(l) => (l.header_bytes, l.idle_time),
        None => (16 << 10, Duration::from_secs(15)),
    };
    let svc_app = app.clone();
    let svc = hyper::service::service_fn(move |req: Request<Incoming>| {
        let app = svc_app.clone();
        async move {
            let mut r = flow::serve(&app, req).await;
            if app.life().leaving() {
                r.headers_mut().insert("connection", HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(r)
        }
    });
    let conn = http1::Builder::new()
        .timer(hyper_util::rt::TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size((head_bytes + 4096).max(16 << 10))
        .serve_connection(TokioIo::new(s), svc);
    tokio::pin!(conn);
    // One taken while the proxy is closing has its answer first.
    if !life.borrow_and_update().listens() {
        let _ = conn.await;
        return;
    }
    loop {
        tokio::select! {
            _ = conn.as_mut() => return,
            r = life.changed() => {
                let over = r.is_err() || !life.borrow_and_update().listens();
                if over {
                    conn.as_mut().graceful_shutdown();
                    let _ = conn.await;
                    return;
                }
            }
        }
    }
}
