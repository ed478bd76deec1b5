//! Calls without a prompt: tools.
use super::place::place;
use super::Job;
use crate::app::locked;
use crate::prelude::*;
use crate::sending::{keep_alive, passed_on, send_once};

const MOST_ANSWER: usize = 64 << 20;

pub async fn run(job: &Job<'_>, body: Bytes) -> Result<Response<ProxyBody>, OwnAnswer> {
    let app = job.app;
    let repeatable = job.way.kind == WayKind::Idempotent;
    let mut tried: Vec<EngineKey> = Vec::new();
    let mut sends = 0;
    let mut unreached = 0;
    let mut lost: Option<&'static str> = None;
    loop {
        let ask = Ask {
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
            tried: tried.clone(),
        };
        let held = match place(job, ask).await {
            Ok(h) => h,
            // What may have run isn't refused with a promise.
            Err(a) => return Err(lost.map_or(a, OwnAnswer::Lost)),
        };
        let Some(g) = held.grant().cloned() else {
            return Err(OwnAnswer::shed(100, "no engine can take it in time"));
        };
        let at = Instant::now();
        let id = job.head.request_id;
        let out = send_once(app, &g, job.parts, &body, id, job.until, job.urgency()).await;
        let mut lost_now = None;
        match out {
            SendOutcome::Answer(res, lease) => {
                let ka = keep_alive(res.headers());
                let (head, inner) = res.into_parts();
                let read = Limited::new(inner, MOST_ANSWER).collect();
                match tokio::time::timeout_at(job.until.into(), read).await {
                    Ok(Ok(b)) => {
                        app.pool.give_back(lease, ka);
                        if let Some(e) = locked(&app.sched).engines.get_mut(g.key) {
                            e.pace.worked(at.elapsed());
                            e.failures = 0;
                        }
                        let failed = head.status.is_server_error();
                        sends += 1;
                        if failed
                            && repeatable
                            && sends < job.way.most_sends
                            && !job.left().is_zero()
                        {
                            tried.push(g.key);
                            lost = Some("the engine failed");
                            continue;
                        }
                        let mut r = Response::new(ProxyBody::Whole(Some(b.to_bytes())));
                        *r.status_mut() = head.status;
                        *r.headers_mut() = passed_on(&head.headers);
                        return Ok(r);
                    }
                    Ok(Err(_)) => lost_now = Some("the answer broke off"),
                    Err(_) => return Err(OwnAnswer::Late),
                }
            }
            SendOutcome::NotRun { reached, elsewhere } => {
                let now = app.now();
                let mut sched = locked(&app.sched);
                if elsewhere {
                    sched.replaced(g.key);
                } else if reached {
                    sched.turned_away(g.key, now);
                } else {
                    sched.failed(g.key, now);
                }
                drop(sched);
                tried.push(g.key);
                sends += u32::from(reached && !elsewhere);
                unreached += u32::from(!reached || elsewhere);
            }
            SendOutcome::MayHaveRun(why) => lost_now = Some(why),
            SendOutcome::Late => return Err(OwnAnswer::Late),
        }
        if let Some(why) = lost_now {
            debug!("{}: {} at engine {}", id, why, g.id);
            locked(&app.sched).failed(g.key, app.now());
            if !repeatable {
                return Err(OwnAnswer::Lost(why));
            }
            sends += 1;
            tried.push(g.key);
            lost = Some(why);
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
