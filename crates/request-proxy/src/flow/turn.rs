//! Turns and other streams.
use super::place::place;
use super::Job;
use crate::app::locked;
use crate::prelude::*;
use crate::relay::StreamEnd;
use crate::sending::{keep_alive, passed_on, send_once, Outgoing};

/// A reservation that is given back unless the turn gets under way.
struct Reserved {
    app: Arc<App>,
    program: String,
    req: u64,
    armed: bool,
}

impl Drop for Reserved {
    fn drop(&mut self) {
        if self.armed {
            self.app.bank.release(&self.program, self.req);
        }
    }
}

pub async fn run(job: &Job<'_>, input: Bytes) -> Result<Response<ProxyBody>, OwnAnswer> {
    let head = job.head;
    let (prompt_tokens, most_out) = head.tokens.unwrap_or((input.len() as u32, 0));
    let program = head.program.unwrap_or("");
    let req = fnv64(head.request_id.as_bytes());
    let counts = head.allowance.is_some();
    let mut reserved = None;
    let mut opened = Opened::default();
    if counts || head.previous.is_some() {
        let ask = OpenAsk {
            program,
            req,
            most: if counts { most_out.max(1) } else { 0 },
            allowance: head.allowance,
            previous: head.previous,
        };
        // The client's going away gives the reservation back, even while it is being made.
        reserved = counts.then(|| Reserved {
            app: job.app.clone(),
            program: program.to_string(),
            req,
            armed: true,
        });
        opened = match job.app.bank.open(ask, Instant::now() + job.left() / 2).await {
            Ok(o) => o,
            Err(f) => {
                if let Some(r) = &mut reserved {
                    r.armed = false;
                }
                return Err(match f {
                    OpenFault::Spent => OwnAnswer::Spent,
                    OpenFault::NoTurn => OwnAnswer::NoTurn,
                    OpenFault::Unsure => OwnAnswer::shed(200, "too few stores answer"),
                });
            }
        };
    }
    let whole = whole_prompt(&opened, &input);
    let res = send_turn(job, &opened, whole, input, (prompt_tokens, most_out), req, counts).await;
    if let (Ok(_), Some(r)) = (&res, &mut reserved) {
        // From here on the relay settles it.
        r.armed = false;
    }
    res
}

/// For each turn of the chain its input, then its events' data; the new input last.
fn whole_prompt(opened: &Opened, input: &Bytes) -> Bytes {
    if opened.chain.is_empty() {
        return input.clone();
    }
    let size: usize = opened.chain.iter().map(|t| t.input.len() + t.output.len()).sum();
    let mut out = BytesMut::with_capacity(size + input.len());
    for t in &opened.chain {
        out.extend_from_slice(&t.input);
        out.extend_from_slice(&t.output);
    }
    out.extend_from_slice(input);
    out.freeze()
}

async fn send_turn(
    job: &Job<'_>,
    opened: &Opened,
    whole: Bytes,
    input: Bytes,
    tokens: (u32, u32),
    req: u64,
    reserved: bool,
) -> Result<Response<ProxyBody>, OwnAnswer> {
    let (app, head) = (job.app, job.head);
    let engine = job.live.services.get(&*job.service).and_then(|s| s.engine.as_ref());
    let blocks = chain_blocks(head.model.unwrap_or(""), head.parts.iter().cloned());
    let last = opened.chain.last();
    let program = head.program.unwrap_or("");
    let (mark, seat) = app.trial.seat(job, last.map(|t| t.engine.as_str()));
    if let Some(s) = &seat {
        let _ = job.seat.set(s.clone());
    }
    let mut tried: Vec<EngineKey> = Vec::new();
    let mut sends = 0;
    let mut unreached = 0;
    loop {
        let ask = Ask {
            service: job.service.clone(),
            blocks: blocks.clone(),
            session: head.session.map(Into::into),
            told_holder: last.map(|t| EngineKey::of(read_answered_by(&t.engine).0)),
            prompt_tokens: tokens.0,
            most_out: tokens.1,
            memory_limit: engine.map_or(0, |e| e.cache_tokens / 100 * 95),
            is_turn: true,
            priority: job.way.priority,
            slack: job.slack(),
            budget: job.left(),
            tried: tried.clone(),
            may_probe: job.way.priority > 0,
            policy: Seat::policy(seat.as_ref()),
        };
        let held = place(job, ask).await?;
        let Some(g) = held.grant().cloned() else {
            return Err(OwnAnswer::shed(100, "no engine can take it in time"));
        };
        debug!(
            "turn {} on {} {:?} hit {} fresh {}",
            head.request_id, g.id, g.reason, g.hit, g.fresh
        );
        let alone = locked(&app.sched).engines.get(g.key).is_some_and(|e| e.own <= 2);
        let sent_at = Instant::now();
        let id = head.request_id;
        let (parts, until, urgency) = (job.parts, job.until, job.urgency());
        let sent =
            Outgoing { parts, body: &whole, request_id: id, until, urgency, repeatable: false };
        let out = send_once(app, &g, sent).await;
        match out {
            SendOutcome::Answer(res, lease) => {
                let ka = keep_alive(res.headers());
                let (rh, inner) = res.into_parts();
                let mut r = Response::new(ProxyBody::Whole(None));
                *r.status_mut() = rh.status;
                *r.headers_mut() = passed_on(&rh.headers);
                if rh.status != StatusCode::OK {
                    let read = Limited::new(inner, 1 << 20).collect();
                    if rh.status.is_server_error() {
                        locked(&app.sched).failed(&g, FailureKind::ServerError, app.now());
                    }
                    return match tokio::time::timeout_at(job.until.into(), read).await {
                        Ok(Ok(b)) => {
                            app.pool.give_back(lease, ka);
                            *r.body_mut() = ProxyBody::Whole(Some(b.to_bytes()));
                            Ok(settled(job, req, reserved, r))
                        }
                        _ => Err(OwnAnswer::Lost("the answer broke off")),
                    };
                }
                let turn = job.way.retained.then(|| TurnClose {
                    record: TurnRecord {
                        id: id.to_string(),
                        chain: opened.chain.iter().map(|t| t.id.clone()).collect(),
                        program: head.program.unwrap_or("").to_string(),
                        input: ByteBuf::from(input.to_vec()),
                        output: ByteBuf::new(),
                        engine: write_answered_by(&g.id, mark),
                        line_tokens: tokens.0,
                        keep_ms: job.way.retention.as_millis() as u64,
                    },
                    foreign: match last {
                        Some(l) if l.program != program => opened.chain.clone(),
                        _ => Vec::new(),
                    },
                    req,
                    tokens: 0,
                    reserved,
                });
                let Some(grant) = held.take() else {
                    return Err(OwnAnswer::Lost("the grant is gone"));
                };
                let end = StreamEnd {
                    app: app.clone(),
                    grant,
                    session: head.session.map(Into::into),
                    blocks,
                    retention: job.way.retention,
                    stride: engine.map_or(1, |e| e.stride),
                    sent_at,
                    gap_aim: job.way.gap_aim,
                    until: job.until,
                    alone,
                    request_id: id.to_string(),
                    turn,
                    keep_alive: ka,
                    seat,
                };
                *r.body_mut() = ProxyBody::Relay(Box::new(RelayBody::new(inner, lease, end)));
                return Ok(r);
            }
            SendOutcome::NotRun { reached, elsewhere } => {
                let now = app.now();
                let mut sched = locked(&app.sched);
                sched.not_run(&g, reached, elsewhere, now);
                if let Some(s) = head.session {
                    sched.index.dropped(s);
                }
                drop(sched);
                tried.push(g.key);
                sends += u32::from(reached && !elsewhere);
                unreached += u32::from(!reached || elsewhere);
            }
            SendOutcome::MayHaveRun(why, kind) => {
                debug!("{}: {} at engine {}", id, why, g.id);
                locked(&app.sched).failed(&g, kind, app.now());
                return Err(OwnAnswer::Lost(why));
            }
            SendOutcome::Late => return Err(OwnAnswer::Late),
        }
        let over = sends >= job.way.most_sends || unreached >= 4;
        if over || job.left() < Duration::from_millis(20) {
            return Err(OwnAnswer::shed(80, "the engines are full"));
        }
    }
}

/// An answer that is no stream put nothing out.
fn settled(job: &Job<'_>, req: u64, reserved: bool, r: Response<ProxyBody>) -> Response<ProxyBody> {
    if reserved {
        job.app.bank.settle(job.head.program.unwrap_or(""), req, 0);
    }
    r
}
