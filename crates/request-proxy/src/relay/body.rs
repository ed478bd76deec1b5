//! A relayed stream: events pass at once; the stream's end waits until its turn is kept.
use super::events::EventReader;
use crate::app::locked;
use crate::prelude::*;
use hyper::body::Body;

/// What is known of the turn behind a stream.
pub struct StreamEnd {
    /// The proxy.
    pub app: Arc<App>,
    /// The engine's slot, held until the stream ends.
    pub grant: Grant,
    /// The turn's session.
    pub session: Option<Arc<str>>,
    /// The blocks of its prompt.
    pub blocks: Vec<Block>,
    /// How long the turn is kept.
    pub retention: Duration,
    /// Tokens in each event.
    pub stride: u32,
    /// When it was sent to its engine.
    pub sent_at: Instant,
    /// What its time depends on.
    pub size: WorkSize,
    /// The longest pause between events that keeps the answer in time.
    pub gap_aim: Duration,
    /// When its time is over.
    pub until: Instant,
    /// When it is cut if it still runs: not before its client's deadline or its route's timeout.
    pub cut_at: Instant,
    /// When the time that its route gives it is over: never before `until`.
    pub route_until: Instant,
    /// Few others ran at its engine from here.
    pub alone: bool,
    /// The request's id.
    pub request_id: String,
    /// The turn to keep, where the route retains turns.
    pub turn: Option<TurnClose>,
    /// The turn's attempt, held until its result.
    pub claim: Option<Claim>,
    /// What the engine said of keeping the connection.
    pub keep_alive: Option<Duration>,
    /// The turn's place in a routing trial.
    pub placement: Option<TrialPlacement>,
}

/// Why a stream that its engine had begun isn't relayed to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Snafu)]
pub enum StreamBreak {
    /// The engine broke off.
    #[snafu(display("the engine broke its stream off"))]
    EngineBrokeOff,
    /// The engine sent what is no proper series of events.
    #[snafu(display("the engine's stream is spoiled"))]
    EngineSpoiled,
    /// The client's deadline or the route's timeout is over.
    #[snafu(display("the stream's time is over"))]
    TimeOver,
    /// All events were passed on, but too few stores kept the turn in time.
    #[snafu(display("too few stores kept the turn"))]
    TurnNotKept,
}

type Closing = Pin<Box<dyn Future<Output = bool> + Send>>;

enum Stage {
    Relaying,
    Closing(Closing),
    Over,
}

/// Invariants: the grant is ended once, by `finish` or by the drop; after `Over` nothing more comes.
pub struct RelayBody {
    inner: Option<Incoming>,
    lease: Option<Lease>,
    reader: EventReader,
    end: StreamEnd,
    timer: Pin<Box<tokio::time::Sleep>>,
    stage: Stage,
    was_read: bool,
    granted: bool,
    pauses: Pauses,
    first_at: Option<Instant>,
    /// Events that were read before the answer's head went out.
    read_ahead: Option<Bytes>,
}

/// When events came: the first, the last, and the longest pause between two.
#[derive(Default)]
struct Pauses {
    first: Option<Instant>,
    last: Option<Instant>,
    longest: Duration,
}

impl Pauses {
    fn event(&mut self) {
        let now = Instant::now();
        if let Some(l) = self.last {
            self.longest = self.longest.max(now - l);
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    fn mean(&self, events: u32) -> Option<Duration> {
        let span = self.last? - self.first?;
        (events > 1).then(|| span / (events - 1))
    }
}

/// After the last event, how long keeping the turn may take beyond the stream's time, and beyond the time
/// that its route gives it: a quarter of a second more would cost.
const CLOSE_MORE: Duration = Duration::from_millis(600);
const PAST_ROUTE: Duration = Duration::from_millis(200);

/// When a stream has come to its end whatever happens: closed and its turn kept, or given up.
pub fn latest_close(until: Instant, route_until: Instant) -> Instant {
    (until + CLOSE_MORE).min(route_until + PAST_ROUTE)
}

impl RelayBody {
    /// A stream that begins now.
    pub fn new(inner: Incoming, lease: Lease, end: StreamEnd) -> Self {
        let timer = Box::pin(tokio::time::sleep_until(end.cut_at.into()));
        RelayBody {
            inner: Some(inner),
            lease: Some(lease),
            reader: EventReader::default(),
            end,
            timer,
            stage: Stage::Relaying,
            was_read: false,
            granted: true,
            pauses: Pauses::default(),
            first_at: None,
            read_ahead: None,
        }
    }

    /// Waits for the first events, which are relayed once the answer's head has gone out. A stream that
    /// breaks off before them can still be answered as a whole, by an answer of the proxy's own.
    pub async fn read_first_event(&mut self) -> Result<(), StreamBreak> {
        let first = std::future::poll_fn(|cx| self.poll_next(cx)).await;
        self.read_ahead = first.transpose()?;
        Ok(())
    }

    /// From here on the turn counts in a routing trial by its stream's end.
    pub fn place_in_trial(&mut self, placement: Option<TrialPlacement>) {
        self.end.placement = placement;
    }

    /// The next whole events, the end, or a break.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamBreak>>> {
        if let Some(events) = self.read_ahead.take() {
            return Poll::Ready(Some(Ok(events)));
        }
        loop {
            match &mut self.stage {
                Stage::Over => return Poll::Ready(None),
                Stage::Closing(f) => match f.as_mut().poll(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(kept) => {
                        self.stage = Stage::Over;
                        self.came_to(kept);
                        self.took();
                        if kept {
                            return Poll::Ready(None);
                        }
                        return Poll::Ready(Some(Err(StreamBreak::TurnNotKept)));
                    }
                },
                Stage::Relaying => {}
            }
            let Some(inner) = &mut self.inner else {
                return Poll::Ready(None);
            };
            match Pin::new(inner).poll_frame(cx) {
                Poll::Ready(Some(Ok(f))) => {
                    let Ok(b) = f.into_data() else { continue };
                    match self.reader.take(&b) {
                        Ok(Some(out)) => {
                            self.pauses.event();
                            self.first_event();
                            return Poll::Ready(Some(Ok(out)));
                        }
                        Ok(None) => {}
                        Err(e) => {
                            debug!("{:?} in stream {}", e, self.end.request_id);
                            return self.broke_off(StreamBreak::EngineSpoiled);
                        }
                    }
                }
                Poll::Ready(Some(Err(_))) => return self.broke_off(StreamBreak::EngineBrokeOff),
                Poll::Ready(None) => {
                    if !self.reader.whole() || self.reader.events == 0 {
                        return self.broke_off(StreamBreak::EngineBrokeOff);
                    }
                    self.finish();
                }
                Poll::Pending => {
                    if self.timer.as_mut().poll(cx).is_ready() {
                        return self.broke_off(StreamBreak::TimeOver);
                    }
                    return Poll::Pending;
                }
            }
        }
    }

    fn first_event(&mut self) {
        if self.was_read {
            return;
        }
        self.was_read = true;
        self.first_at = Some(Instant::now());
        let app = &self.end.app;
        let now = app.now();
        let took = self.end.sent_at.elapsed();
        let mut sched = locked(&app.sched);
        let believed = sched.read(&self.end.grant, took, now, self.end.alone);
        if !believed {
            let key = self.end.grant.key;
            let s = self.end.session.as_deref().unwrap_or("");
            sched.index.disproved(key, &self.end.blocks, s, now);
            let ask = sched.wants_report(key, now);
            drop(sched);
            if let Some(addr) = ask {
                tokio::spawn(look_closer(app.clone(), key, addr));
            }
            debug!("engine {} read anew what it was believed to hold", self.end.grant.id);
        }
    }

    fn broke_off(&mut self, cause: StreamBreak) -> Poll<Option<Result<Bytes, StreamBreak>>> {
        let failure = match cause {
            StreamBreak::EngineBrokeOff => Some(FailureKind::Reset),
            StreamBreak::EngineSpoiled => Some(FailureKind::Spoiled),
            StreamBreak::TimeOver | StreamBreak::TurnNotKept => None,
        };
        match failure {
            Some(kind) => {
                self.inner = None;
                let app = &self.end.app;
                locked(&app.sched).failed(&self.end.grant, kind, app.now());
            }
            None => self.took(),
        }
        self.came_to(false);
        self.drop_all();
        self.stage = Stage::Over;
        Poll::Ready(Some(Err(cause)))
    }

    /// Takes note of how long the stream took until it was whole, or its time over.
    fn took(&self) {
        let took = self.end.sent_at.elapsed();
        locked(&self.end.app.admission).history.ran(self.end.size, took);
    }

    /// Counts the turn in a routing trial, once.
    fn came_to(&mut self, whole: bool) {
        let Some(s) = self.end.placement.take() else {
            return;
        };
        let came = if whole { s.in_time(self.first_at) } else { Outcome::Broken };
        self.end.app.trial.count(&s, came, whole && self.reader.holes > 0);
    }

    /// The engine's stream has ended whole.
    fn finish(&mut self) {
        let app = self.end.app.clone();
        if let Some(l) = self.lease.take() {
            app.pool.give_back(l, self.end.keep_alive);
        }
        self.inner = None;
        let (gap, longest) = (self.pauses.mean(self.reader.events), self.pauses.longest);
        let aim = self.end.gap_aim;
        locked(&app.sched).streamed(&self.end.grant, gap, longest, aim, app.now());
        if let Some(s) = &self.end.session {
            let mut sched = locked(&app.sched);
            let memory = self.end.grant.memory_limit;
            let now = app.now();
            let key = self.end.grant.key;
            sched.index.answered(s, key, &self.end.blocks, self.end.retention, now);
            sched.index.fit(key, memory);
        }
        if std::mem::replace(&mut self.granted, false) {
            app.end_grant(&self.end.grant, self.was_read);
        }
        let tokens = self.reader.events * self.end.stride;
        let claim = self.end.claim.take();
        self.stage = match self.end.turn.take() {
            None => {
                self.came_to(true);
                if let Some(c) = claim {
                    app.bank.settle(&c, tokens, Evidence::WholeAnswer.proves_stop());
                }
                self.took();
                Stage::Over
            }
            Some(mut t) => {
                (t.tokens, t.claim) = (tokens, claim);
                t.record.output = ByteBuf::from(std::mem::take(&mut self.reader.output));
                let until = latest_close(self.end.until, self.end.route_until);
                Stage::Closing(Box::pin(async move { app.bank.close(t, until).await }))
            }
        };
    }

    /// The stream came to nothing: its grant ends, and what was put out is settled.
    fn drop_all(&mut self) {
        // A stream that has paused for far too long when the client leaves is the engine's doing.
        let stalled = self.pauses.last.is_some_and(|l| l.elapsed() > self.end.gap_aim * 2);
        let streaming = self.inner.take().is_some() && !self.end.gap_aim.is_zero();
        if streaming && stalled {
            let app = &self.end.app;
            locked(&app.sched).failed(&self.end.grant, FailureKind::Silent, app.now());
        }
        self.lease = None;
        if std::mem::replace(&mut self.granted, false) {
            self.end.app.end_grant(&self.end.grant, self.was_read);
            if let Some(s) = &self.end.session {
                locked(&self.end.app.sched).index.dropped(s);
            }
        }
        self.end.turn = None;
        if let Some(c) = self.end.claim.take() {
            // What clients were handed is known; whether the engine has stopped isn't.
            let tokens = self.reader.events * self.end.stride;
            self.end.app.bank.settle(&c, tokens, Evidence::Closed.proves_stop());
        }
    }
}

/// Asks an engine that didn't hold what it was believed to hold how full it is.
async fn look_closer(app: Arc<App>, key: EngineKey, addr: SocketAddr) {
    if let Some(r) = ask_report(addr, Duration::from_millis(300)).await {
        let load = (r.running, r.waiting);
        let now = app.now();
        locked(&app.sched).reported(key, load, r.cache_used, r.cache_total, now);
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        if let Some(s) = self.end.placement.take() {
            self.end.app.trial.count(&s, Outcome::Left, false);
        }
        self.drop_all();
    }
}
