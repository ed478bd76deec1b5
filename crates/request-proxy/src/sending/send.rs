//! One send to one engine.
use super::heads::engine_request;
use super::judge::{judge, Verdict};
use super::pool::Lease;
use crate::app::locked;
use crate::prelude::*;

pub enum SendOutcome {
    /// The engine's own answer, its body still to come.
    Answer(Response<Incoming>, Lease),
    /// It certainly didn't run. `reached` tells that an engine answered so.
    NotRun { reached: bool, elsewhere: bool },
    /// It may have run, and no answer is to be had.
    MayHaveRun(&'static str, FailureKind),
    /// Its time is over, no answer came.
    Late,
}

const NOT_REACHED: SendOutcome = SendOutcome::NotRun { reached: false, elsewhere: false };

/// A request on its way out. Nothing is sent after `until`.
pub struct Outgoing<'a> {
    pub parts: &'a RequestParts,
    pub body: &'a Bytes,
    pub request_id: &'a str,
    pub until: Instant,
    pub urgency: u8,
    /// It may run more than once.
    pub repeatable: bool,
}

pub async fn send_once(app: &App, g: &Grant, out: Outgoing<'_>) -> SendOutcome {
    let Outgoing { parts, body, request_id, until, urgency, repeatable } = out;
    // A kept connection may have been closed just now; a new one is tried then, and nothing has run.
    for fresh in [false, true] {
        let left = until.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(2) {
            return NOT_REACHED;
        }
        let limit = locked(&app.sched).evidence.idle_limit(&g.service, repeatable, app.now());
        let kept = if fresh { None } else { app.pool.take_idle(g.key, limit) };
        let lease = match kept {
            Some(l) => Some(l),
            None => app.pool.connect(g.key, g.addr, left).await,
        };
        let Some(mut lease) = lease else {
            return NOT_REACHED;
        };
        let left = until.saturating_duration_since(Instant::now());
        let Some(req) = engine_request(parts, body, &g.id, left, urgency) else {
            return SendOutcome::MayHaveRun("the head can't be passed on", FailureKind::Spoiled);
        };
        let sent = lease.sender.try_send_request(req);
        match tokio::time::timeout(left, sent).await {
            Err(_) => return SendOutcome::Late,
            Ok(Err(mut e)) => {
                // Whatever the cause, its other kept connections are no better.
                app.pool.forget(g.key);
                let now = app.now();
                let mut sched = locked(&app.sched);
                let seen = &mut sched.evidence;
                seen.idle_ended(&g.service, lease.idle, true, now);
                // Idle for too long: the connection's fault, not the engine's.
                let forgotten =
                    lease.reused && lease.idle > seen.idle_limit(&g.service, false, now);
                drop(sched);
                if e.take_message().is_none() && !(forgotten && repeatable) {
                    return SendOutcome::MayHaveRun("the engine broke off", FailureKind::Reset);
                }
                if !lease.reused {
                    return NOT_REACHED;
                }
            }
            Ok(Ok(res)) => {
                note_answer(app, g, &lease, res.headers());
                return match judge(res.status().as_u16(), res.headers(), request_id) {
                    Verdict::Sound => SendOutcome::Answer(res, lease),
                    Verdict::NotRun => {
                        finish_quietly(app, res, lease);
                        SendOutcome::NotRun { reached: true, elsewhere: false }
                    }
                    Verdict::Elsewhere => SendOutcome::NotRun { reached: true, elsewhere: true },
                    Verdict::Spoiled(why) => SendOutcome::MayHaveRun(why, FailureKind::Spoiled),
                };
            }
        }
    }
    NOT_REACHED
}

/// What any answer tells of its connection and its engine's load.
fn note_answer(app: &App, g: &Grant, lease: &Lease, h: &HeaderMap) {
    let now = app.now();
    let mut sched = locked(&app.sched);
    sched.evidence.idle_ended(&g.service, lease.idle, false, now);
    let Some(s) = h.get(names::LOAD).and_then(|v| v.to_str().ok()) else {
        return;
    };
    let mut it = s.split(',').map(|x| x.trim().parse::<u32>());
    if let (Some(Ok(run)), Some(Ok(wait)), Some(Ok(slots))) = (it.next(), it.next(), it.next()) {
        if let Some(e) = sched.engines.get_mut(g.key) {
            e.told(run, wait, slots, now);
        }
    }
}

/// What `Keep-Alive` gives, in whole seconds.
pub fn keep_alive(h: &HeaderMap) -> Option<Duration> {
    let s = h.get("keep-alive")?.to_str().ok()?;
    s.split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="))
        .and_then(|n| n.trim().parse::<u64>().ok())
        .map(Duration::from_secs)
}

/// Reads a small refusal to its end, so that the connection can be used again.
fn finish_quietly(app: &App, res: Response<Incoming>, lease: Lease) {
    let told = keep_alive(res.headers());
    let body = res.into_body();
    if hyper::body::Body::size_hint(&body).exact() == Some(0) {
        app.pool.give_back(lease, told);
    }
}
