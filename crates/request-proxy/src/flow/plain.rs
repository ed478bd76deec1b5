//! Calls without a prompt: tools.
use super::place::{place, Held};
use super::Job;
use crate::app::locked;
use crate::prelude::*;
use crate::sending::{keep_alive, passed_on, send_once, Outgoing};
use std::sync::atomic::{AtomicBool, Ordering};

const MOST_ANSWER: usize = 64 << 20;

/// What one send came to.
enum Came {
    Answer(Response<ProxyBody>),
    NotRun {
        reached: bool,
        elsewhere: bool,
    },
    /// It may have run; there is no answer.
    Lost(&'static str, FailureKind),
    Late,
}

/// All that one send needs, so that it may go on by itself.
struct Send {
    app: Arc<App>,
    parts: Arc<RequestParts>,
    body: Bytes,
    request_id: String,
    until: Instant,
    urgency: u8,
    repeatable: bool,
    /// The hash of the route's name.
    route: u64,
}

type Sending = Pin<Box<dyn Future<Output = (EngineKey, Came)> + std::marker::Send>>;

impl Send {
    async fn run(self, held: Held, g: Grant) -> (EngineKey, Came) {
        let app = self.app;
        let at = Instant::now();
        let sent = Outgoing {
            parts: &self.parts,
            body: &self.body,
            request_id: &self.request_id,
            until: self.until,
            urgency: self.urgency,
            repeatable: self.repeatable,
        };
        let out = send_once(&app, &g, sent).await;
        let came = match out {
            SendOutcome::Answer(res, lease) => {
                let ka = keep_alive(res.headers());
                let (head, inner) = res.into_parts();
                let read = Limited::new(inner, MOST_ANSWER).collect();
                match tokio::time::timeout_at(self.until.into(), read).await {
                    Ok(Ok(b)) => {
                        app.pool.give_back(lease, ka);
                        let mut sched = locked(&app.sched);
                        match head.status.is_server_error() {
                            true => sched.failed(&g, FailureKind::ServerError, app.now()),
                            false => sched.worked(&g, at.elapsed(), self.route, app.now()),
                        }
                        drop(sched);
                        let mut r = Response::new(ProxyBody::Whole(Some(b.to_bytes())));
                        *r.status_mut() = head.status;
                        *r.headers_mut() = passed_on(&head.headers);
                        Came::Answer(r)
                    }
                    Ok(Err(_)) => Came::Lost("the answer broke off", FailureKind::Reset),
                    Err(_) => Came::Late,
                }
            }
            SendOutcome::NotRun { reached, elsewhere } => Came::NotRun { reached, elsewhere },
            SendOutcome::MayHaveRun(why, kind) => Came::Lost(why, kind),
            SendOutcome::Late => Came::Late,
        };
        let now = app.now();
        let mut sched = locked(&app.sched);
        match &came {
            Came::NotRun { reached, elsewhere } => sched.not_run(&g, *reached, *elsewhere, now),
            Came::Lost(_, kind) => sched.failed(&g, *kind, now),
            // The grant's end shows whether being late was the engine's silence.
            Came::Answer(_) | Came::Late => {}
        }
        drop(sched);
        drop(held);
        (g.key, came)
    }
}

/// A repeatable request is sent to a second engine when the first stays silent for well beyond what
/// its work takes; the first goes on by itself, and whichever answers first counts.
fn silent_after(job: &Job<'_>, g: &Grant) -> Duration {
    // Measured by the pool: a slow engine isn't given more time for being slow.
    let work = locked(&job.app.sched).evidence.expected_work(&g.service);
    let long = work * 4;
    long.min(job.route.aim.mul_f64(1.4)).clamp(LEAST_SILENT, (job.left() / 2).max(LEAST_SILENT))
}

const LEAST_SILENT: Duration = Duration::from_millis(120);

pub async fn run(job: &Job<'_>, body: Bytes) -> Result<Response<ProxyBody>, OwnAnswer> {
    let app = job.app;
    let repeatable = job.route.kind == RouteKind::Idempotent;
    let mut tried: Vec<EngineKey> = Vec::new();
    let mut sends = 0;
    let mut unreached = 0;
    let mut lost: Option<&'static str> = None;
    // Never sent once it is set, as this loop stands; a routing trial ends when it is all the same.
    let ran_once = AtomicBool::new(false);
    let begin = |held: Held, g: Grant| -> Sending {
        if ran_once.load(Ordering::Relaxed) {
            app.trial.double();
        }
        let send = Send {
            app: app.clone(),
            parts: job.parts.clone(),
            body: body.clone(),
            request_id: job.head.request_id.to_string(),
            until: job.until,
            urgency: job.urgency(),
            repeatable,
            route: job.size.route,
        };
        Box::pin(send.run(held, g))
    };
    loop {
        let held = match place(job, ask_of(job, &tried)).await {
            Ok(h) => h,
            // What may have run isn't refused with a promise.
            Err(a) => return Err(lost.map_or(a, OwnAnswer::Lost)),
        };
        let Some(g) = held.grant().cloned() else {
            return Err(OwnAnswer::refused(100, "no engine can take it in time"));
        };
        if let Err(refusal) = job.pass_on() {
            return Err(lost.map_or(refusal, OwnAnswer::Lost));
        }
        if tried.is_empty() {
            locked(&app.sched).evidence.first_send(&job.service, app.now());
        }
        let silent = silent_after(job, &g);
        let first_key = g.key;
        let mut first = begin(held, g);
        let (key, came) = if repeatable && sends + 1 < job.route.max_attempts {
            match tokio::time::timeout(silent, &mut first).await {
                Ok(out) => out,
                Err(_) => {
                    sends += 1;
                    tried.push(first_key);
                    second(job, first, &mut tried, &begin).await
                }
            }
        } else {
            first.await
        };
        tried.push(key);
        if !repeatable && !matches!(came, Came::NotRun { .. }) {
            ran_once.store(true, Ordering::Relaxed);
        }
        match came {
            Came::Answer(r) => {
                sends += 1;
                let again = r.status().is_server_error()
                    && repeatable
                    && sends < job.route.max_attempts
                    && !job.left().is_zero()
                    && may_repeat(job);
                if !again {
                    return Ok(r);
                }
                lost = Some("the engine failed");
            }
            Came::NotRun { reached, elsewhere } => {
                sends += u32::from(reached && !elsewhere);
                unreached += u32::from(!reached || elsewhere);
            }
            Came::Lost(why, _) => {
                debug!("{}: {}", job.head.request_id, why);
                sends += 1;
                lost = Some(why);
                if !repeatable || sends >= job.route.max_attempts || !may_repeat(job) {
                    return Err(OwnAnswer::Lost(why));
                }
            }
            Came::Late => return Err(OwnAnswer::Late),
        }
        let over = sends >= job.route.max_attempts || unreached >= 4;
        if over || job.left() < Duration::from_millis(10) {
            return Err(match lost {
                Some(why) => OwnAnswer::Lost(why),
                None => OwnAnswer::refused(80, "the engines are full"),
            });
        }
    }
}

fn ask_of(job: &Job<'_>, tried: &[EngineKey]) -> Ask {
    Ask {
        service: job.service.clone(),
        blocks: Vec::new(),
        session: None,
        reported_holder: None,
        prompt_tokens: 0,
        most_out: 0,
        memory_limit: 0,
        is_turn: false,
        priority: job.route.priority,
        slack: job.slack(),
        budget: job.left(),
        tried: tried.to_vec(),
        may_probe: job.route.kind == RouteKind::Idempotent || job.route.priority > 1,
        policy: Policy::Current,
    }
}

/// Takes a second send out of the service's retry budget. Requests that certainly did not run are sent
/// elsewhere without it: their engines did no work for them.
fn may_repeat(job: &Job<'_>) -> bool {
    locked(&job.app.sched).evidence.may_repeat(&job.service, job.app.now())
}

/// Runs a second send beside a silent first one.
async fn second(
    job: &Job<'_>,
    mut first: Sending,
    tried: &mut Vec<EngineKey>,
    begin: &impl Fn(Held, Grant) -> Sending,
) -> (EngineKey, Came) {
    if !may_repeat(job) {
        return first.await;
    }
    let Ok(held) = place(job, ask_of(job, tried)).await else {
        return first.await;
    };
    let Some(g) = held.grant().cloned().filter(|_| job.pass_on().is_ok()) else {
        return first.await;
    };
    tried.push(g.key);
    let mut other = begin(held, g);
    let (out, rest) = tokio::select! {
        o = &mut first => (o, other),
        o = &mut other => (o, first),
    };
    match &out.1 {
        Came::Answer(r) if !r.status().is_server_error() => {
            // The slower one ends in its own time; breaking it off would cost its engine more.
            tokio::spawn(rest);
            out
        }
        _ => rest.await,
    }
}
