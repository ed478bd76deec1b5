//! Connections: one task each, with a bounded head, idle time, and an end in order.
use super::idle::{BusyBody, RestWatch};
use crate::flow;
use crate::prelude::*;
use hyper::server::conn::http1;
use std::convert::Infallible;
use tokio::sync::Semaphore;

const QUIET: Duration = Duration::from_secs(4);

/// Answers the entry's `GET /readiness`.
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
/// answered, one answer a connection; it ends once there has been no connection for a moment, or once
/// nothing is under way and nothing more is admitted. Then nothing listens any more, and what is left
/// has its end.
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
        if now.ended_now() {
            break;
        }
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
                if calm >= CALM_LOOKS || app.drained() {
                    break;
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
    drop(listener);
    app.live_on(LifeEvent::Done);
    let _ = room.acquire_many(most as u32).await;
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

/// Of a head that its client has begun when the idle time ends, at most so much longer is waited for.
const LEAST_HEAD_TIME: Duration = Duration::from_secs(1);
const FIRST_IDLE_TIME: Duration = Duration::from_secs(15);
const FIRST_HEAD_BYTES: usize = 16 << 10;

fn idle_time(app: &App) -> Duration {
    app.live().map_or(FIRST_IDLE_TIME, |l| l.idle_time)
}

fn head_time(app: &App) -> Duration {
    app.live().map_or(LEAST_HEAD_TIME, |l| l.header_time.max(LEAST_HEAD_TIME))
}

async fn serve_client(s: TcpStream, app: Arc<App>, mut life: watch::Receiver<LifeState>) {
    let head_bytes = app.live().map_or(FIRST_HEAD_BYTES, |l| l.header_bytes);
    let rest = RestWatch::new(idle_time(&app));
    let (svc_app, svc_rest) = (app.clone(), rest.clone());
    let svc = hyper::service::service_fn(move |req: Request<Incoming>| {
        let app = svc_app.clone();
        let (busy, in_flight) = (svc_rest.begin(idle_time(&app)), app.in_flight.clone());
        async move {
            let mut r = flow::serve(&app, req).await;
            if app.life().leaving() {
                r.headers_mut().insert("connection", HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(BusyBody::around(r, busy, in_flight))
        }
    });
    let conn = http1::Builder::new()
        .max_buf_size((head_bytes + 4096).max(16 << 10))
        .serve_connection(TokioIo::new(s), svc);
    tokio::pin!(conn);
    // One taken while the proxy is closing has its answer first.
    if !life.borrow_and_update().listens() {
        return finish(conn, &rest, &mut life, head_time(&app)).await;
    }
    let mut timer = Box::pin(tokio::time::sleep(Duration::ZERO));
    loop {
        // The connection is looked at first: whatever it does counts before the clock.
        let rested = std::future::poll_fn(|cx| {
            if conn.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Ended::Connection);
            }
            let Some(until) = rest.until(idle_time(&app)) else {
                return Poll::Pending;
            };
            if timer.deadline() != until.into() {
                timer.as_mut().reset(until.into());
            }
            timer.as_mut().poll(cx).map(|()| Ended::Rest)
        });
        let over = tokio::select! {
            ended = rested => match ended {
                Ended::Connection => return,
                Ended::Rest => rest.until(idle_time(&app)).is_some_and(|u| u <= Instant::now()),
            },
            r = life.changed() => r.is_err() || !life.borrow_and_update().listens(),
        };
        if over {
            conn.as_mut().graceful_shutdown();
            return finish(conn, &rest, &mut life, head_time(&app)).await;
        }
    }
}

/// Waits until what was taken has its answer. A head that was begun may come to its end within
/// `head_time`, but none once the life has ended: what wasn't read whole is asked elsewhere.
async fn finish(
    mut conn: Pin<&mut impl Future>,
    rest: &RestWatch,
    life: &mut watch::Receiver<LifeState>,
    head_time: Duration,
) {
    let mut ended = false;
    loop {
        // The connection is looked at first: whatever was read counts as taken.
        tokio::select! {
            biased;
            _ = conn.as_mut() => return,
            _ = life.wait_for(LifeState::ended_now), if !ended => ended = true,
            _ = tokio::time::sleep(head_time) => {}
        }
        if rest.until(Duration::ZERO).is_some() {
            return;
        }
    }
}

/// What ended first.
enum Ended {
    Connection,
    Rest,
}
