//! Calls without a prompt: tools.
use super::place::{place, Held};
use super::Job;
use crate::app::locked;
use crate::prelude::*;
use crate::sending::{keep_alive, passed_on, send_once};
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
    Lost(&'static str),
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
}

type Sending = Pin<Box<dyn Future<Output = (EngineKey, Came)> + std::marker::Send>>;

impl Send {
    async fn run(self, held: Held, g: Grant) -> (EngineKey, Came) {
        let app = self.app;
        let at = Instant::now();
        let out = send_once(
            &app,
            &g,
            &self.parts,
            &self.body,
            &self.request_id,
            self.until,
            self.urgency,
        )
        .await;
        let came = match out {
            SendOutcome::Answer(res, lease) => {
                let ka = keep_alive(res.headers());
                let (head, inner) = res.into_parts();
                let read = Limited::new(inner, MOST_ANSWER).collect();
                match tokio::time::timeout_at(self.until.into(), read).await {
                    Ok(Ok(b)) => {
                        app.pool.give_back(lease, ka);
                        if let Some(e) = locked(&app.sched).engines.get_mut(g.key) {
                            e.pace.worked(at.elapsed());
                            e.failures = 0;
                        }
                        let mut r = Response::new(ProxyBody::Whole(Some(b.to_bytes())));
                        *r.status_mut() = head.status;
                        *r.headers_mut() = passed_on(&head.headers);
                        Came::Answer(r)
                    }
                    Ok(Err(_)) => Came::Lost("the answer broke off"),
                    Err(_) => Came::Late,
                }
            }
            SendOutcome::NotRun { reached, elsewhere } => Came::NotRun { reached, elsewhere },
            SendOutcome::MayHaveRun(why) => Came::Lost(why),
            SendOutcome::Late => Came::Late,
        };
        let now = app.now();
        let mut sched = locked(&app.sched);
        match &came {
            Came::Answer(_) => {}
            Came::NotRun { reached, elsewhere } => sched.not_run(g.key, *reached, *elsewhere, now),
            Came::Lost(_) | Came::Late => sched.failed(g.key, now),
        }
        drop(sched);
        drop(held);
        (g.key, came)
    }
}

/// A repeatable request is sent to a second engine when the first stays silent for well beyond what
/// its work takes; the first goes on by itself, and whichever answers first is heard.
fn silent_after(job: &Job<'_>, g: &Grant) -> Duration {
    let work = locked(&job.app.sched).engines.get(g.key).map_or(100.0, |e| e.pace.work_ms);
    let long = Duration::from_secs_f64(work * 4.0 / 1e3);
    long.min(job.way.aim.mul_f64(1.4)).clamp(LEAST_SILENT, (job.left() / 2).max(LEAST_SILENT))
}

const LEAST_SILENT: Duration = Duration::from_millis(120);

pub async fn run(job: &Job<'_>, body: Bytes) -> Result<Response<ProxyBody>, OwnAnswer> {
    let app = job.app;
    let repeatable = job.way.kind == WayKind::Idempotent;
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
            return Err(OwnAnswer::shed(100, "no engine can take it in time"));
        };
        let silent = silent_after(job, &g);
        let first_key = g.key;
        let mut first = begin(held, g);
        let (key, came) = if repeatable && sends + 1 < job.way.most_sends {
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
                    && sends < job.way.most_sends
                    && !job.left().is_zero();
                if !again {
                    return Ok(r);
                }
                lost = Some("the engine failed");
            }
            Came::NotRun { reached, elsewhere } => {
                sends += u32::from(reached && !elsewhere);
                unreached += u32::from(!reached || elsewhere);
            }
            Came::Lost(why) => {
                debug!("{}: {}", job.head.request_id, why);
                if !repeatable {
                    return Err(OwnAnswer::Lost(why));
                }
                sends += 1;
                lost = Some(why);
            }
            Came::Late => return Err(OwnAnswer::Late),
        }
        let over = sends >= job.way.most_sends || unreached >= 4;
        if over || job.left() < Duration::from_millis(10) {
            return Err(match lost {
                Some(why) => OwnAnswer::Lost(why),
                None => OwnAnswer::shed(80, "the engines are full"),
            });
        }
    }
}

fn ask_of(job: &Job<'_>, tried: &[EngineKey]) -> Ask {
    Ask {
        service: job.service.clone(),
        blocks: Vec::new(),
        session: None,
        told_holder: None,
        prompt_tokens: 0,
        most_out: 0,
        memory_limit: 0,
        is_turn: false,
        priority: job.way.priority,
        slack: job.slack(),
        budget: job.left(),
        tried: tried.to_vec(),
        policy: Policy::Current,
    }
}

/// Runs a second send beside a silent first one.
async fn second(
    job: &Job<'_>,
    mut first: Sending,
    tried: &mut Vec<EngineKey>,
    begin: &impl Fn(Held, Grant) -> Sending,
) -> (EngineKey, Came) {
    let Ok(held) = place(job, ask_of(job, tried)).await else {
        return first.await;
    };
    let Some(g) = held.grant().cloned() else {
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
