//! How long a client's connection rests. The time in force may change while it does.
//!
//! hyper fixes its own time-out for heads when a connection begins, so this one is kept beside it.
use crate::app::locked;
use crate::prelude::*;
use hyper::body::{Body, Frame, SizeHint};

/// Invariants: `busy` counts requests taken whose answers aren't written whole; a rest begins when it
/// falls to zero; `promised` is the longest idle time in force since that rest began.
#[derive(Debug)]
struct Rest {
    busy: u32,
    since: Instant,
    promised: Duration,
}

/// What is known of a connection's rest, shared with its requests.
#[derive(Debug, Clone)]
pub struct RestWatch(Arc<Mutex<Rest>>);

impl RestWatch {
    /// A connection that has just been taken, under this idle time.
    pub fn new(idle_time: Duration) -> Self {
        RestWatch(Arc::new(Mutex::new(Rest {
            busy: 0,
            since: Instant::now(),
            promised: idle_time,
        })))
    }

    /// A request begins; the rest ends.
    pub fn begin(&self, idle_time: Duration) -> Busy {
        let mut rest = locked(&self.0);
        rest.busy += 1;
        rest.promised = idle_time;
        Busy(self.clone())
    }

    /// When the rest is over, under the idle time in force; none while a request is under way. A longer
    /// time holds at once; a shorter one from the next request on, as clients may not know of it yet.
    pub fn until(&self, idle_time: Duration) -> Option<Instant> {
        let mut rest = locked(&self.0);
        if rest.busy > 0 {
            return None;
        }
        rest.promised = rest.promised.max(idle_time);
        Some(rest.since + rest.promised)
    }
}

/// A request under way on a connection, until its answer is written or given up.
#[derive(Debug)]
pub struct Busy(RestWatch);

impl Drop for Busy {
    fn drop(&mut self) {
        let mut rest = locked(&self.0 .0);
        rest.busy -= 1;
        rest.since = Instant::now();
    }
}

/// An answer's body, which keeps its connection busy.
pub struct BusyBody {
    body: ProxyBody,
    _busy: Busy,
    _in_flight: Arc<()>,
}

impl BusyBody {
    /// The same answer, holding the request that it ends.
    pub fn around(
        answer: Response<ProxyBody>,
        busy: Busy,
        in_flight: Arc<()>,
    ) -> Response<BusyBody> {
        answer.map(|body| BusyBody { body, _busy: busy, _in_flight: in_flight })
    }
}

impl Body for BusyBody {
    type Data = Bytes;
    type Error = <ProxyBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
