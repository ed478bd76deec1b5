//! The stages of a request: door, route, opening of its turn, placement, attempt, relay, closing of its turn.
//! The stage between opening and sending is the dispatcher's bounded ready queue.
#![deny(missing_docs)]
mod place;
mod plain;
mod turn;

use crate::app::locked;
use crate::prelude::*;
use crate::relay::latest_close;
use std::sync::OnceLock;

/// What the stages of one request share. Invariant: `until` is never later than what the client and
/// the operator allow.
pub struct Job<'a> {
    /// The proxy.
    pub app: &'a Arc<App>,
    /// The configuration it was admitted under.
    pub live: &'a Live,
    /// Its route.
    pub route: &'a Route,
    /// The service drawn for it.
    pub service: Arc<str>,
    /// Its head as received.
    pub parts: &'a Arc<RequestParts>,
    /// Its head as typed values.
    pub head: &'a Head<'a>,
    /// When its head had been read.
    pub began: Instant,
    /// When its time is over.
    pub until: Instant,
    /// When its stream is cut if it still runs.
    pub cut_at: Instant,
    /// When its body had been read.
    pub arrived: Instant,
    /// What its time depends on.
    pub size: WorkSize,
    /// Its account.
    pub tracked: &'a TrackedRequest,
    /// When it was first passed to an engine.
    pub first_sent: OnceLock<Instant>,
    /// The turn's place in a routing trial, once its session is known.
    pub placement: OnceLock<TrialPlacement>,
}

impl Job<'_> {
    /// Time left.
    pub fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    /// Time left until the aim.
    pub fn slack(&self) -> Duration {
        let aim = self.began + self.route.aim;
        aim.saturating_duration_since(Instant::now())
    }

    /// 0 to 9: by the route's priority, more urgent when the program runs short of time.
    pub fn urgency(&self) -> u8 {
        let short = self
            .head
            .finish
            .is_some_and(|f| f.saturating_sub(self.began.elapsed()) < Duration::from_millis(1500));
        let base = self.route.priority.saturating_mul(2).min(8);
        if short {
            base
        } else {
            (base + 1).min(9)
        }
    }

    /// Refuses work that can't be expected to end before this process does.
    fn may_begin(&self, stage: WorkStage) -> Result<(), OwnAnswer> {
        let over = match self.route.kind {
            RouteKind::Streaming => latest_close(self.until, self.began + self.route.timeout),
            _ => self.until,
        };
        let work = Work {
            size: self.size,
            stage,
            arrived: self.app.since_start(self.arrived),
            over: self.app.since_start(over),
        };
        match locked(&self.app.admission).decide(&work, self.app.now()) {
            Verdict::Admit => Ok(()),
            Verdict::Refuse { retry_after } => {
                Err(OwnAnswer::Refused { after: retry_after, why: LEAVING })
            }
        }
    }

    /// Asked just before an engine is reached: whatever it waited for, its time here may have run out.
    pub fn pass_on(&self) -> Result<(), OwnAnswer> {
        self.may_begin(WorkStage::Placed)?;
        self.tracked.mark_forwarded();
        if self.first_sent.set(Instant::now()).is_ok() {
            locked(&self.app.admission).history.waited(self.size, self.arrived.elapsed());
        }
        Ok(())
    }

    /// Takes note of how long the engine's answer took, or of its having had all the time there was.
    fn took(&self, res: &Result<Response<ProxyBody>, OwnAnswer>) {
        let whole = match res {
            Ok(r) => matches!(r.body(), ProxyBody::Whole(_)),
            Err(a) => *a == OwnAnswer::Late,
        };
        if let (true, Some(sent)) = (whole, self.first_sent.get()) {
            locked(&self.app.admission).history.ran(self.size, sent.elapsed());
        }
    }

    /// The answer to what is still under way when the process ends.
    fn cut_short(&self) -> OwnAnswer {
        match self.first_sent.get() {
            Some(_) => OwnAnswer::Lost(LEAVING),
            None => OwnAnswer::refused(100, LEAVING),
        }
    }
}

const LEAVING: &str = "this machine is leaving";

/// Kept of the client's time for the answer's return.
const RETURN_TIME: Duration = Duration::from_millis(15);

/// A stream is cut so long after its client's deadline or its route's timeout, so that it isn't this proxy
/// that ends it early by its own clock.
const CUT_MARGIN: Duration = Duration::from_millis(20);

/// A request that comes while the proxy starts waits for the snapshot, which is a matter of moments.
const START_WAIT: Duration = Duration::from_millis(1500);

/// Takes a request through all its stages.
pub async fn serve(
    app: &Arc<App>,
    req: Request<Incoming>,
    tracked: &TrackedRequest,
) -> Response<ProxyBody> {
    let began = Instant::now();
    let (parts, body) = req.into_parts();
    let parts = Arc::new(parts);
    if hyper::body::Body::is_end_stream(&body) {
        tracked.mark_read();
    }
    let id = parts.headers.get(names::REQUEST_ID).and_then(|v| v.to_str().ok());
    if !app.life().admits() && !app.admitted(began + START_WAIT).await {
        return OwnAnswer::refused(300, "not ready yet").into_response(id);
    }
    let head = match Head::read(&parts) {
        Ok(h) => h,
        Err(e) => return OwnAnswer::Unreadable(e.to_string()).into_response(id),
    };
    let Some(live) = app.live() else {
        return OwnAnswer::refused(300, "not ready yet").into_response(id);
    };
    let Some(route) = live.routes.find(head.host, parts.uri.path()).cloned() else {
        return OwnAnswer::NoRoute.into_response(id);
    };
    let time =
        head.deadline.map_or(route.timeout, |b| b.saturating_sub(RETURN_TIME).min(route.timeout));
    let until = began + time;
    let allowed = head.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let cut_at = began + allowed + CUT_MARGIN;
    let body = tokio::select! {
        biased;
        read = read_body(body, live.body_bytes, until) => read,
        () = app.life_ended() => Err(OwnAnswer::refused(100, LEAVING)),
    };
    let body = match body {
        Ok(b) => b,
        Err(a) => return a.into_response(id),
    };
    tracked.mark_read();
    let service: Arc<str> = route.choose_service(fastrand::f64()).into();
    let job = Job {
        app,
        live: &live,
        route: &route,
        service,
        parts: &parts,
        head: &head,
        began,
        until,
        cut_at,
        arrived: Instant::now(),
        size: WorkSize {
            route: fnv64(route.name.as_bytes()),
            most_out: head.tokens.map_or(0, |(_, most_out)| most_out),
        },
        tracked,
        first_sent: OnceLock::new(),
        placement: OnceLock::new(),
    };
    let res = tokio::select! {
        biased;
        res = run(&job, body) => res,
        () = app.life_ended() => Err(job.cut_short()),
    };
    job.took(&res);
    if let Some(s) = job.placement.get() {
        app.trial.answered(s, &res);
    }
    match res {
        Ok(r) => r,
        Err(a) => {
            if matches!(a, OwnAnswer::Refused { .. } | OwnAnswer::Lost(_) | OwnAnswer::Late) {
                let ms = began.elapsed().as_millis() as u64;
                info!("own answer: {:?}", a, kv: { request = head.request_id, route = route.name, after_ms = ms });
            }
            a.into_response(id)
        }
    }
}

async fn run(job: &Job<'_>, body: Bytes) -> Result<Response<ProxyBody>, OwnAnswer> {
    job.may_begin(WorkStage::Arrived)?;
    match job.route.kind {
        RouteKind::Streaming => turn::run(job, body).await,
        _ => plain::run(job, body).await,
    }
}

async fn read_body(body: Incoming, most: usize, until: Instant) -> Result<Bytes, OwnAnswer> {
    if hyper::body::Body::is_end_stream(&body) {
        return Ok(Bytes::new());
    }
    let read = Limited::new(body, most).collect();
    match tokio::time::timeout_at(until.into(), read).await {
        Ok(Ok(b)) => Ok(b.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(OwnAnswer::TooLarge),
        Ok(Err(_)) => Err(OwnAnswer::Unreadable("the body broke off".into())),
        Err(_) => Err(OwnAnswer::refused(100, "the body didn't come in time")),
    }
}
