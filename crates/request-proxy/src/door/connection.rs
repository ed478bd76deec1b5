//! One client connection: its requests one after the other, its idle time, and its end.
//!
//! Invariant: a connection is closed by this side only when no request on it is open, hyper's buffer has been
//! handed to the kernel, and the client has had the chance to read it.
use super::accounting::TrackedBody;
use super::client_stream::{
    close_in_order, observe_client, ClientStream, LingerLimits, UnreadBytes, WriteProgress,
};
use super::idle::{IdleTracker, OpenRequest};
use crate::flow;
use crate::prelude::*;
use hyper::server::conn::http1;
use std::convert::Infallible;

/// Of a head that its client has begun when the idle time ends, at most so much longer is waited for.
const LEAST_HEAD_TIME: Duration = Duration::from_secs(1);
/// In force before there is a configuration.
const FIRST_IDLE_TIME: Duration = Duration::from_secs(15);
const FIRST_HEAD_BYTES: usize = 16 << 10;
/// Room beyond the largest head for hyper's reads.
const READ_AHEAD: usize = 4096;
const LEAST_BUFFER: usize = 16 << 10;

/// The orderly end while the proxy serves, and once its life has ended and its successor can't start before
/// it is gone.
const LINGER_SERVING: LingerLimits =
    LingerLimits { quiet: Duration::from_secs(1), total: Duration::from_secs(5) };
const LINGER_ENDED: LingerLimits =
    LingerLimits { quiet: Duration::from_millis(50), total: Duration::from_millis(200) };
/// A client whose last answer was written so long ago has read it.
const ANSWER_READ: Duration = Duration::from_secs(1);
/// How long the first bytes of a connection may take that was accepted after the life had ended.
const FIRST_BYTES: Duration = Duration::from_millis(50);

fn idle_time(app: &App) -> Duration {
    app.live().map_or(FIRST_IDLE_TIME, |live| live.idle_time)
}

fn head_time(app: &App) -> Duration {
    app.live().map_or(LEAST_HEAD_TIME, |live| live.header_time.max(LEAST_HEAD_TIME))
}

/// Serves a connection until the client or the idle time ends it, or the proxy's life does.
pub(super) async fn serve_connection(
    socket: TcpStream,
    app: Arc<App>,
    life: watch::Receiver<LifeState>,
) {
    if life.borrow().ended_now() {
        let _ = tokio::time::timeout(FIRST_BYTES, socket.readable()).await;
    }
    let head_bytes = app.live().map_or(FIRST_HEAD_BYTES, |live| live.header_bytes);
    let (stream, progress) = observe_client(socket);
    let idle = IdleTracker::new(idle_time(&app));
    let service = hyper::service::service_fn(|request: Request<Incoming>| {
        let app = app.clone();
        let open = idle.begin_request(idle_time(&app));
        async move { Ok::<_, Infallible>(answer(app, request, open).await) }
    });
    let mut http = http1::Builder::new()
        .max_buf_size((head_bytes + READ_AHEAD).max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = Connection { app: &app, life, idle: &idle, progress };
    let ended = connection.run(Pin::new(&mut http)).await;
    connection.close(http.into_parts().io.into_inner(), ended).await;
}

async fn answer(
    app: Arc<App>,
    request: Request<Incoming>,
    open: OpenRequest,
) -> Response<TrackedBody> {
    let tracked = app.accounts.begin(&app, request.headers());
    let mut answer = flow::serve(&app, request, &tracked).await;
    open.answered(tracked.is_read());
    if app.life().leaving() {
        answer.headers_mut().insert("connection", HeaderValue::from_static("close"));
    }
    answer.map(|body| TrackedBody::new(body, tracked, open))
}

/// What decides about a connection's end.
struct Connection<'a> {
    app: &'a App,
    life: watch::Receiver<LifeState>,
    idle: &'a IdleTracker,
    progress: WriteProgress,
}

/// An HTTP connection that can be asked to end after the answers under way.
trait HttpConnection: Future {
    fn shut_down(self: Pin<&mut Self>);
}

impl<S, B> HttpConnection for http1::Connection<TokioIo<ClientStream>, S>
where
    S: hyper::service::HttpService<Incoming, ResBody = B>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: hyper::body::Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    fn shut_down(self: Pin<&mut Self>) {
        self.graceful_shutdown();
    }
}

/// How a connection came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    /// hyper has ended it: the client left, or an answer was its last.
    Connection,
    /// It rests, and its time or the proxy's life is over.
    IdleTime,
}

/// The connection is polled first: whatever it does counts before the clock.
async fn ended_or_idle<C: HttpConnection>(
    mut http: Pin<&mut C>,
    timer: &mut Pin<Box<tokio::time::Sleep>>,
    app: &App,
    idle: &IdleTracker,
) -> Ended {
    std::future::poll_fn(|cx| {
        if http.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ended::Connection);
        }
        let Some(until) = idle.expires_at(idle_time(app)) else {
            return Poll::Pending;
        };
        if timer.deadline() != until.into() {
            timer.as_mut().reset(until.into());
        }
        timer.as_mut().poll(cx).map(|()| Ended::IdleTime)
    })
    .await
}

impl Connection<'_> {
    /// Returns when the connection has ended or may be closed, and which of both.
    async fn run<C: HttpConnection>(&mut self, mut http: Pin<&mut C>) -> Ended {
        // One accepted while the proxy is closing has its answer first.
        if !self.life.borrow_and_update().listens() {
            return self.finish(http).await;
        }
        let mut timer = Box::pin(tokio::time::sleep(Duration::ZERO));
        loop {
            let is_over = tokio::select! {
                ended = ended_or_idle(http.as_mut(), &mut timer, self.app, self.idle) => {
                    match ended {
                        Ended::Connection => return Ended::Connection,
                        Ended::IdleTime => self.is_idle_time_over(),
                    }
                }
                changed = self.life.changed() => {
                    changed.is_err() || !self.life.borrow_and_update().listens()
                }
            };
            if is_over {
                let rested = self.idle.is_idle();
                http.as_mut().shut_down();
                let ended = self.finish(http).await;
                return if rested { Ended::IdleTime } else { ended };
            }
        }
    }

    fn is_idle_time_over(&self) -> bool {
        let expires_at = self.idle.expires_at(idle_time(self.app));
        expires_at.is_some_and(|at| at <= Instant::now())
    }

    /// The orderly end of the socket. A body that was still on its way as its request was answered ends the
    /// connection; one that hyper could drain doesn't, and what comes after it is another request.
    async fn close(&self, stream: ClientStream, ended: Ended) {
        let unread = match ended {
            Ended::Connection if self.idle.is_body_unread() => UnreadBytes::RestOfBody,
            _ if self.idle.rested_for() > ANSWER_READ => return,
            _ => UnreadBytes::NextRequest,
        };
        let limits = match self.life.borrow().ended_now() {
            true => LINGER_ENDED,
            false => LINGER_SERVING,
        };
        close_in_order(stream, unread, limits).await;
    }

    /// Waits until what was read has its answer and the kernel has all of it. A head that was begun may come
    /// to its end within the time for heads, but none once the life has ended: what wasn't read whole is
    /// sent again elsewhere.
    async fn finish<C: HttpConnection>(&mut self, mut http: Pin<&mut C>) -> Ended {
        let head_time = head_time(self.app);
        let mut has_ended = false;
        loop {
            // The connection is polled first: whatever was read counts as taken.
            tokio::select! {
                biased;
                _ = http.as_mut() => return Ended::Connection,
                _ = self.life.wait_for(LifeState::ended_now), if !has_ended => has_ended = true,
                () = tokio::time::sleep(head_time) => {}
            }
            if self.idle.is_idle() && self.progress.is_flushed() {
                return Ended::IdleTime;
            }
        }
    }
}
