//! How long a client's connection may rest. The time in force may change while it does.
//!
//! hyper fixes its own time-out for heads when a connection begins, so this one is kept beside it.
use crate::app::locked;
use crate::prelude::*;

/// Invariants: `open_requests` counts requests taken whose answers hyper hasn't taken whole; a rest begins
/// when it falls to zero; `promised` is the longest idle time in force since that rest began.
#[derive(Debug)]
struct IdleState {
    open_requests: u32,
    since: Instant,
    promised: Duration,
    /// The last answer was given before its request's body had been read whole.
    is_body_unread: bool,
}

/// What is known of a connection's rest, shared with its requests.
#[derive(Debug, Clone)]
pub struct IdleTracker(Arc<Mutex<IdleState>>);

impl IdleTracker {
    /// A connection that has just been accepted, under this idle time.
    pub fn new(idle_time: Duration) -> Self {
        IdleTracker(Arc::new(Mutex::new(IdleState {
            open_requests: 0,
            since: Instant::now(),
            promised: idle_time,
            is_body_unread: false,
        })))
    }

    /// A request begins; the rest ends.
    pub fn begin_request(&self, idle_time: Duration) -> OpenRequest {
        let mut state = locked(&self.0);
        state.open_requests += 1;
        state.promised = idle_time;
        OpenRequest(self.clone())
    }

    /// Whether no request is open.
    pub fn is_idle(&self) -> bool {
        locked(&self.0).open_requests == 0
    }

    /// Whether the last request was answered before its body had been read whole.
    pub fn is_body_unread(&self) -> bool {
        locked(&self.0).is_body_unread
    }

    /// How long the connection has rested.
    pub fn rested_for(&self) -> Duration {
        locked(&self.0).since.elapsed()
    }

    /// When the rest is over, under the idle time in force; none while a request is open. A longer time
    /// holds at once; a shorter one from the next request on, as clients may not know of it yet.
    pub fn expires_at(&self, idle_time: Duration) -> Option<Instant> {
        let mut state = locked(&self.0);
        if state.open_requests > 0 {
            return None;
        }
        state.promised = state.promised.max(idle_time);
        Some(state.since + state.promised)
    }
}

/// A request under way on a connection, until hyper has its answer or it is given up.
#[derive(Debug)]
pub struct OpenRequest(IdleTracker);

impl OpenRequest {
    /// It has its answer; whether its body had been read whole by then.
    pub fn answered(&self, is_body_read: bool) {
        locked(&self.0 .0).is_body_unread = !is_body_read;
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let mut state = locked(&self.0 .0);
        state.open_requests -= 1;
        state.since = Instant::now();
    }
}
