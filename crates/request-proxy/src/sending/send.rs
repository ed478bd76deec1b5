//! One send to one engine.
use super::heads::engine_request;
use super::judge::{judge, Asked, Verdict};
use super::pool::Lease;
use crate::app::locked;
use crate::prelude::*;

/// What one send came to.
pub enum SendOutcome {
    /// The engine's own answer, its body still to come.
    Answer(Response<Incoming>, Lease),
    /// It certainly didn't run.
    NotRun {
        /// An engine answered.
        reached: bool,
        /// Another engine than the one meant.
        elsewhere: bool,
    },
    /// It may have run, and no answer is to be had.
    MayHaveRun(&'static str, FailureKind),
    /// Its time is over, no answer came; it may have run.
    Late,
}

const NOT_REACHED: SendOutcome = SendOutcome::NotRun { reached: false, elsewhere: false };

/// A request on its way out. Nothing is sent after `until`.
pub struct Outgoing<'a> {
    /// The client's head.
    pub parts: &'a RequestParts,
    /// The whole body.
    pub body: &'a Bytes,
    /// The client's id of it.
    pub request_id: &'a str,
    /// The end of its time.
    pub until: Instant,
    /// What engines rank it by, 0 first.
    pub urgency: u8,
    /// It may run more than once.
    pub repeatable: bool,
}

/// Sends a request to the engine of a grant, at most once unless it may be repeated.
pub async fn send_once(app: &App, g: &Grant, out: Outgoing<'_>) -> SendOutcome {
    let Outgoing { parts, body, request_id, until, urgency, repeatable } = out;
    // A kept connection may have been closed just now, or have something out of turn on it: not a byte
    // goes out there, and a new one is tried.
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
            Ok(Err(_)) => {
                lease.wire.seal();
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
                let again = lease.wire.unsent() || (forgotten && repeatable);
                if !again {
                    return SendOutcome::MayHaveRun("the engine broke off", FailureKind::Reset);
                }
                if !lease.reused {
                    return NOT_REACHED;
                }
            }
            Ok(Ok(res)) => {
                note_answer(app, g, &lease, res.headers());
                let asked = Asked { request_id, alone: lease.alone(), repeatable };
                return match judge(res.status().as_u16(), res.headers(), &asked) {
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

/// What any answer says of its connection and its engine's load.
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
            e.report_load(run, wait, slots, now);
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
    let announced = keep_alive(res.headers());
    let body = res.into_body();
    if hyper::body::Body::size_hint(&body).exact() == Some(0) {
        app.pool.give_back(lease, announced);
    }
}
