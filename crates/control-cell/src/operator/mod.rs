//! The operator's calls, over HTTP on `control`.
use crate::prelude::*;
use std::convert::Infallible;

const MOST_BODY: usize = 24 << 20;
/// Callers go on to another node after a second of silence: a call is answered, and work for it ends,
/// before that.
const ANSWER_WITHIN: Duration = Duration::from_millis(850);
/// What each MiB of a body adds: callers wait longer for large ones, and it goes to every cell.
const ANSWER_PER_MIB: Duration = Duration::from_millis(250);
/// Bodies from this size on are checked on another thread: it takes long enough to hold up the cell.
const LARGE_BODY: usize = 64 << 10;
const HEADER_TIME: Duration = Duration::from_secs(10);

type Answer = Response<Full<Bytes>>;

fn answer(status: u16, body: Value) -> Answer {
    let mut r = Response::new(Full::new(Bytes::from(body.to_string())));
    *r.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    r.headers_mut()
        .insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
    r
}

/// When a call whose request was just read is to be answered. Everything along its path keeps to this.
fn deadline_of(body_bytes: usize) -> Instant {
    let mib = body_bytes as f64 / f64::from(1 << 20);
    Instant::now() + ANSWER_WITHIN + ANSWER_PER_MIB.mul_f64(mib)
}

fn unable() -> Answer {
    let mut r = answer(
        503,
        json!({"error": "no clear answer: no majority of the core within reach; ask again"}),
    );
    r.headers_mut().insert("retry-after", hyper::header::HeaderValue::from_static("0.3"));
    r
}

/// Serves every caller that connects.
pub async fn serve_operator(listener: TcpListener, cell: CellHandle) {
    loop {
        let Ok((s, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        tune_stream(&s, Duration::from_secs(5));
        let cell = cell.clone();
        tokio::spawn(async move {
            let svc = hyper::service::service_fn(move |req| {
                let cell = cell.clone();
                async move { Ok::<_, Infallible>(serve(req, cell).await) }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(hyper_util::rt::TokioTimer::new())
                .header_read_timeout(HEADER_TIME)
                .serve_connection(TokioIo::new(s), svc)
                .await;
        });
    }
}

async fn serve(req: Request<Incoming>, cell: CellHandle) -> Answer {
    let path = req.uri().path().to_string();
    let put = req.method() == Method::PUT;
    let get = req.method() == Method::GET;
    let post = req.method() == Method::POST;
    if path == names::CONFIG_PATH {
        return match () {
            _ if put => put_config(req, cell).await,
            _ if get => get_config(cell).await,
            _ => answer(405, json!({"error": "PUT or GET"})),
        };
    }
    match path.strip_prefix(names::RETIRE_PATH) {
        Some(node) if !node.is_empty() && !node.contains('/') => match () {
            _ if post => retire(cell, node, false).await,
            _ if get => retire(cell, node, true).await,
            _ => answer(405, json!({"error": "POST or GET"})),
        },
        _ => answer(404, json!({"error": "no such call"})),
    }
}

/// The change that a body asks for, or the body's faults.
fn order_of(base: u64, body: &Bytes) -> Result<Change, Vec<Fault>> {
    let version = check_config(body)?.version;
    let body = ByteBuf::from(body.to_vec());
    Ok(Change::PutConfig { base, version, sha256: order_digest(&body), body })
}

async fn put_config(req: Request<Incoming>, cell: CellHandle) -> Answer {
    let base = req
        .headers()
        .get("if-match")
        .and_then(|v| v.to_str().ok())
        .and_then(|s| s.trim().trim_matches('"').parse::<u64>().ok());
    let body = match Limited::new(req.into_body(), MOST_BODY).collect().await {
        Ok(b) => b.to_bytes(),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => {
            return answer(413, json!({"error": "too large"}))
        }
        Err(_) => return answer(400, json!({"error": "the body broke off"})),
    };
    let deadline = deadline_of(body.len());
    let Some(base) = base else {
        return answer(400, json!({"error": "If-Match must name the version it builds on"}));
    };
    let checked = match body.len() < LARGE_BODY {
        true => Ok(order_of(base, &body)),
        false => tokio::task::spawn_blocking(move || order_of(base, &body)).await,
    };
    let change = match checked {
        Ok(Ok(change)) => change,
        Ok(Err(faults)) => {
            let list: Vec<String> = faults.iter().take(50).map(Fault::to_string).collect();
            return answer(400, json!({"error": "invalid", "faults": list}));
        }
        Err(_) => return unable(),
    };
    match cell.propose(change, deadline).await {
        CellReply::Outcome(Outcome::Taken | Outcome::TakenBefore) => answer(200, json!({})),
        CellReply::Outcome(Outcome::Conflict) => {
            answer(412, json!({"error": "another version is in place"}))
        }
        CellReply::Outcome(Outcome::NotAbove) => {
            answer(400, json!({"error": "configVersion is not above the current one"}))
        }
        _ => unable(),
    }
}

async fn get_config(cell: CellHandle) -> Answer {
    match cell.read_config(deadline_of(0)).await {
        None => unable(),
        Some(None) => answer(404, json!({"error": "none was taken yet"})),
        Some(Some(body)) => {
            let mut r = answer(200, Value::Null);
            *r.body_mut() = Full::new(body);
            r
        }
    }
}

async fn retire(cell: CellHandle, node: &str, query_only: bool) -> Answer {
    match cell.retire(node.to_string(), query_only, deadline_of(0)).await {
        CellReply::Retire(RetireState::Unknown) => answer(404, json!({"error": "no such machine"})),
        CellReply::Retire(RetireState::TooFew) => {
            answer(409, json!({"error": "too few would be left"}))
        }
        CellReply::Retire(RetireState::Running) => answer(200, json!({"state": "running"})),
        CellReply::Retire(RetireState::Completed) => answer(200, json!({"state": "completed"})),
        _ => unable(),
    }
}
