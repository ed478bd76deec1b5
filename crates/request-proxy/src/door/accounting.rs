//! The account of every request: how many were read whole, and how each of them ended.
//!
//! A request that was read whole ends with a complete answer, or for a cause that is named here, counted and
//! logged. "Complete" means that hyper has taken the answer's last byte; `client_stream` sees to it that the
//! kernel gets it. A failure of the client's connection after that isn't noticed.
use super::answers::ProxyBody;
use super::idle::OpenRequest;
use crate::prelude::*;
use crate::relay::StreamBreak;
use hyper::body::{Body, Frame, SizeHint};
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicUsize};

/// Why a request that was read whole has no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnansweredCause {
    /// Its connection ended first, by the client's doing or the network's.
    ClientLeft,
    /// The process ended first.
    ProcessEnded,
    /// Its stream had begun and broke off.
    Stream(StreamBreak),
}

impl fmt::Display for UnansweredCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UnansweredCause::ClientLeft => f.write_str("the client left"),
            UnansweredCause::ProcessEnded => f.write_str("the process ended"),
            UnansweredCause::Stream(cause) => cause.fmt(f),
        }
    }
}

/// Totals since the process began.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestTotals {
    /// Requests read whole.
    pub read: usize,
    /// Of these, how many had a complete answer.
    pub answered: usize,
    /// Of these, how many had none, by cause.
    pub unanswered: BTreeMap<UnansweredCause, usize>,
}

impl RequestTotals {
    /// Requests read whole that are still being answered.
    pub fn open(&self) -> usize {
        self.read - self.answered - self.unanswered.values().sum::<usize>()
    }
}

/// Counts requests. Invariant: a request counts as read once at most, and then as answered or unanswered
/// once, when it ends.
#[derive(Debug, Default)]
pub struct RequestAccounts {
    totals: Mutex<RequestTotals>,
    in_flight: AtomicUsize,
}

impl RequestAccounts {
    /// A request whose head was read begins.
    pub fn begin(&self, app: &Arc<App>, headers: &HeaderMap) -> TrackedRequest {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let id = headers.get(names::REQUEST_ID).and_then(|v| v.to_str().ok());
        TrackedRequest {
            app: app.clone(),
            id: id.unwrap_or_default().into(),
            began: Instant::now(),
            was_read: AtomicBool::new(false),
            was_forwarded: AtomicBool::new(false),
            end: None,
        }
    }

    /// Requests whose heads were read and whose answers hyper hasn't taken whole.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// The totals so far.
    pub fn totals(&self) -> RequestTotals {
        crate::app::locked(&self.totals).clone()
    }

    fn update(&self, change: impl FnOnce(&mut RequestTotals)) {
        change(&mut crate::app::locked(&self.totals));
    }

    /// Logs the totals; said once, as the process ends.
    pub fn log_totals(&self) {
        let totals = self.totals();
        for (cause, count) in &totals.unanswered {
            info!("{} requests without a complete answer: {}", count, cause);
        }
        let (read, answered, open) = (totals.read, totals.answered, totals.open());
        info!("requests read, answered, open at the end", kv: { read = read, answered = answered, open = open });
    }
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestEnd {
    Answered,
    Unanswered(UnansweredCause),
}

/// One request under way; counted as ended when it is dropped.
pub struct TrackedRequest {
    app: Arc<App>,
    id: Box<str>,
    began: Instant,
    was_read: AtomicBool,
    was_forwarded: AtomicBool,
    end: Option<RequestEnd>,
}

impl TrackedRequest {
    /// Its body has come whole.
    pub fn mark_read(&self) {
        if !self.was_read.swap(true, Ordering::Relaxed) {
            self.app.accounts.update(|totals| totals.read += 1);
        }
    }

    /// Whether its body has come whole.
    pub fn is_read(&self) -> bool {
        self.was_read.load(Ordering::Relaxed)
    }

    /// It is about to be passed to an engine.
    pub fn mark_forwarded(&self) {
        self.was_forwarded.store(true, Ordering::Relaxed);
    }

    fn ended(&mut self, end: RequestEnd) {
        self.end.get_or_insert(end);
    }

    fn log(&self, cause: UnansweredCause) {
        let ms = self.began.elapsed().as_millis() as u64;
        let forwarded = self.was_forwarded.load(Ordering::Relaxed);
        let draining = self.app.life().leaving();
        let level = match cause {
            UnansweredCause::ClientLeft => spdlog::Level::Info,
            _ => spdlog::Level::Warn,
        };
        spdlog::log!(
            level,
            "no complete answer: {}", cause,
            kv: { request = &*self.id, after_ms = ms, forwarded = forwarded, draining = draining }
        );
    }
}

impl Drop for TrackedRequest {
    fn drop(&mut self) {
        let accounts = &self.app.accounts;
        accounts.in_flight.fetch_sub(1, Ordering::Relaxed);
        if !self.is_read() {
            return;
        }
        let cut = match self.app.life().ended_now() {
            true => UnansweredCause::ProcessEnded,
            false => UnansweredCause::ClientLeft,
        };
        match self.end.unwrap_or(RequestEnd::Unanswered(cut)) {
            RequestEnd::Answered => accounts.update(|totals| totals.answered += 1),
            RequestEnd::Unanswered(cause) => {
                accounts.update(|totals| *totals.unanswered.entry(cause).or_default() += 1);
                self.log(cause);
            }
        }
    }
}

/// An answer's body, which keeps its request open until hyper has taken all of it.
pub(super) struct TrackedBody {
    body: ProxyBody,
    request: TrackedRequest,
    _open: OpenRequest,
}

impl TrackedBody {
    pub fn new(body: ProxyBody, request: TrackedRequest, open: OpenRequest) -> Self {
        TrackedBody { body, request, _open: open }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = <ProxyBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.request.ended(RequestEnd::Answered),
            Poll::Ready(Some(Err(broken))) => {
                let cause = UnansweredCause::Stream(broken.cause);
                self.request.ended(RequestEnd::Unanswered(cause));
            }
            // hyper doesn't ask again for a body that it has whole.
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => {
                self.request.ended(RequestEnd::Answered);
            }
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
