//! Turns and other streams: claimed by the dispatcher, placed by the index, marked, sent, relayed.
use super::place::{place, place_now, Held};
use super::Job;
use crate::app::locked;
use crate::prelude::*;
use crate::relay::StreamEnd;
use crate::sending::{keep_alive, passed_on, send_once, Outgoing};

/// An attempt this node holds, settled at nothing unless the relay takes it over. Invariant: `stopped` is
/// false from before a send until its end proves that the execution isn't running.
struct Attempt {
    app: Arc<App>,
    claim: Option<Claim>,
    stopped: bool,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if let Some(c) = self.claim.take() {
            self.app.bank.settle(&c, 0, self.stopped);
        }
    }
}

/// What a turn brings along, fixed once its chain is known.
struct Turn<'a> {
    input: Bytes,
    tokens: (u32, u32),
    blocks: Vec<Block>,
    program: &'a str,
    /// Its place in a routing trial, asked for once, when its session is known.
    placement: std::sync::OnceLock<(Option<Mark>, Option<TrialPlacement>)>,
}

impl Turn<'_> {
    fn placement(
        &self,
        job: &Job<'_>,
        last: Option<&Arc<TurnRecord>>,
    ) -> &(Option<Mark>, Option<TrialPlacement>) {
        self.placement.get_or_init(|| job.app.trial.placement(job, last.map(|t| t.engine.as_str())))
    }
}

/// How long an engine chosen before the claim stays chosen.
const CHOSEN: Duration = Duration::from_millis(250);

pub async fn run(job: &Job<'_>, input: Bytes) -> Result<Response<ProxyBody>, OwnAnswer> {
    let (app, head) = (job.app, job.head);
    let tokens = head.tokens.unwrap_or((input.len() as u32, 0));
    let blocks = chain_blocks(head.model.unwrap_or(""), head.parts.iter().cloned());
    let turn = Turn {
        input,
        tokens,
        blocks,
        program: head.program.unwrap_or(""),
        placement: Default::default(),
    };
    let mut opened = Opened::default();
    let mut early = None;
    if head.program.is_some() || head.previous.is_some() {
        // Where the session is known here and an engine has room, the attempt follows the claim at once.
        let known = app.bank.chain_here(head.previous);
        if let Some(chain) = &known {
            early = place_now(job, &ask_of(job, &turn, chain.last(), &[]));
        }
        let began = Instant::now();
        let engine = early.as_ref().and_then(|h: &Held| h.grant()).map(|g| g.id.to_string());
        opened = open(job, &turn, known, engine).await?;
        let stale = began.elapsed() > CHOSEN;
        early = early.filter(|h| !stale && h.grant().is_some_and(|g| may_send(app, g.key)));
    }
    let held = Attempt { app: app.clone(), claim: opened.claim.take(), stopped: true };
    let whole = whole_prompt(&opened, &turn.input);
    send_turn(job, &turn, &opened, held, early, whole).await
}

fn may_send(app: &App, key: EngineKey) -> bool {
    locked(&app.sched).engines.get(key).is_some_and(|e| !e.draining)
}

async fn open(
    job: &Job<'_>,
    turn: &Turn<'_>,
    known: Option<Vec<Arc<TurnRecord>>>,
    engine: Option<String>,
) -> Result<Opened, OwnAnswer> {
    let (app, head) = (job.app, job.head);
    let claim = head.program.map(|_| ClaimAsk {
        session: fnv64(head.session.unwrap_or("").as_bytes()),
        pinned: Pinned {
            config_version: job.live.version,
            service: job.service.to_string(),
            max_attempts: job.route.max_attempts,
            deadline_ms: job.left().as_millis() as u64,
            retained: job.route.retained,
        },
        most: turn.tokens.1.max(1),
        allowance: head.allowance,
        engine,
    });
    let listed = |e: &str| app.listed(e);
    let ask = OpenAsk {
        program: turn.program,
        req: fnv64(head.request_id.as_bytes()),
        claim,
        previous: head.previous,
        known,
        listed: &listed,
    };
    let got = app.bank.open(ask, Instant::now() + job.left() / 2).await;
    got.map_err(|f| match f {
        OpenFault::Spent => OwnAnswer::Spent,
        OpenFault::NoTurn => OwnAnswer::NoTurn,
        OpenFault::Capacity => {
            OwnAnswer::refused(300, "too many attempts of this session hold a slot")
        }
        OpenFault::Unsure => OwnAnswer::refused(200, "too few stores answer"),
    })
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

fn ask_of(
    job: &Job<'_>,
    turn: &Turn<'_>,
    last: Option<&Arc<TurnRecord>>,
    tried: &[EngineKey],
) -> Ask {
    let engine = job.live.services.get(&*job.service).and_then(|s| s.engine.as_ref());
    let (_, placement) = turn.placement(job, last);
    Ask {
        service: job.service.clone(),
        blocks: turn.blocks.clone(),
        session: job.head.session.map(Into::into),
        reported_holder: last.map(|t| EngineKey::of(read_answered_by(&t.engine).0)),
        prompt_tokens: turn.tokens.0,
        most_out: turn.tokens.1,
        memory_limit: engine.map_or(0, |e| e.cache_tokens / 100 * 95),
        is_turn: true,
        priority: job.route.priority,
        slack: job.slack(),
        budget: job.left(),
        tried: tried.to_vec(),
        may_probe: job.route.priority > 0,
        policy: TrialPlacement::policy(placement.as_ref()),
    }
}

async fn send_turn(
    job: &Job<'_>,
    turn: &Turn<'_>,
    opened: &Opened,
    mut attempt: Attempt,
    mut early: Option<Held>,
    whole: Bytes,
) -> Result<Response<ProxyBody>, OwnAnswer> {
    let (app, head) = (job.app, job.head);
    let last = opened.chain.last();
    let (mark, placement) = turn.placement(job, last).clone();
    if let Some(s) = &placement {
        let _ = job.placement.set(s.clone());
    }
    let mut tried: Vec<EngineKey> = Vec::new();
    let mut sends = 0;
    let mut unreached = 0;
    loop {
        let held = match early.take() {
            Some(h) => h,
            None => place(job, ask_of(job, turn, last, &tried)).await?,
        };
        let Some(g) = held.grant().cloned() else {
            return Err(OwnAnswer::refused(100, "no engine can take it in time"));
        };
        if let Some(c) = &mut attempt.claim {
            // The claim carried the launch intent of the engine that was chosen before it.
            let carried = sends + unreached == 0
                && c.call.as_ref().is_some_and(|c| c.at.1 == 1 && *c.engine == *g.id);
            if !carried && !app.bank.record_call(c, &g.id).await {
                return Err(OwnAnswer::refused(200, "too few stores answer"));
            }
        }
        debug!(
            "turn {} on {} {:?} hit {} fresh {}",
            head.request_id, g.id, g.reason, g.hit, g.fresh
        );
        job.pass_on()?;
        attempt.stopped = false;
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
                            // An answer that is no stream put nothing out.
                            attempt.stopped = Evidence::WholeAnswer.proves_stop();
                            Ok(r)
                        }
                        _ => Err(OwnAnswer::Lost("the answer broke off")),
                    };
                }
                let kept = job.route.retained.then(|| TurnClose {
                    record: TurnRecord {
                        id: id.to_string(),
                        chain: opened.chain.iter().map(|t| t.id.clone()).collect(),
                        program: turn.program.to_string(),
                        input: ByteBuf::from(turn.input.to_vec()),
                        output: ByteBuf::new(),
                        engine: write_answered_by(&g.id, mark),
                        session_tokens: turn.tokens.0,
                        keep_ms: job.route.retention.as_millis() as u64,
                    },
                    chain: opened.chain.clone(),
                    tokens: 0,
                    claim: None,
                });
                let Some(grant) = held.take() else {
                    return Err(OwnAnswer::Lost("the grant is gone"));
                };
                let end = StreamEnd {
                    app: app.clone(),
                    grant,
                    session: head.session.map(Into::into),
                    blocks: turn.blocks.clone(),
                    retention: job.route.retention,
                    stride: job
                        .live
                        .services
                        .get(&*job.service)
                        .and_then(|s| s.engine.as_ref())
                        .map_or(1, |e| e.stride),
                    sent_at,
                    size: job.size,
                    gap_aim: job.route.gap_aim,
                    until: job.until,
                    cut_at: job.cut_at,
                    route_until: job.began + job.route.timeout,
                    alone,
                    request_id: id.to_string(),
                    turn: kept,
                    // From here on the relay holds it.
                    claim: attempt.claim.take(),
                    keep_alive: ka,
                    placement: None,
                };
                let mut relay = Box::new(RelayBody::new(inner, lease, end));
                relay.read_first_event().await?;
                relay.place_in_trial(placement);
                *r.body_mut() = ProxyBody::Relay(relay);
                return Ok(r);
            }
            SendOutcome::NotRun { reached, elsewhere } => {
                attempt.stopped = match elsewhere {
                    true => Evidence::Elsewhere.proves_stop(),
                    false => Evidence::NotRun.proves_stop(),
                };
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
        let over = sends >= job.route.max_attempts || unreached >= 4;
        if over || job.left() < Duration::from_millis(20) {
            return Err(OwnAnswer::refused(80, "the engines are full"));
        }
    }
}
