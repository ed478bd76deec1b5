//! An engine: streams three events a turn, answers calls, and misbehaves as told. Beside it one that
//! follows a script byte by byte.
mod scripted;

pub use scripted::{answer, success, ScriptedEngine, Seen, Step};

use crate::prelude::*;

/// What the engine does to the next request, once each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    /// 503, and it did not run.
    Full,
    /// Runs it and never answers.
    Silent,
    /// Runs it and closes the connection.
    Reset,
    /// Answers with another request's id.
    Mixed,
    /// Cuts the answer short.
    Cut,
    /// A success without the stamp.
    Unstamped,
    /// Holds the last event back until released.
    Held,
}

#[derive(Debug, Clone)]
pub struct Ran {
    pub request_id: String,
    pub path: String,
    pub body: Vec<u8>,
    pub headers: http::HeaderMap,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    pub ran: Arc<Mutex<Vec<Ran>>>,
    pub moods: Arc<Mutex<VecDeque<Mood>>>,
    pub release: Arc<tokio::sync::Notify>,
}

type Out = http_body_util::combinators::BoxBody<Bytes, std::io::Error>;

pub const EVENTS: [&str; 3] = ["alpha beta", "gamma", "delta"];

impl Engine {
    pub async fn start(id: &str, addr: &str) -> std::io::Result<Engine> {
        let l = TcpListener::bind(addr).await?;
        let e = Engine {
            id: id.into(),
            addr: l.local_addr()?,
            ran: Arc::default(),
            moods: Arc::default(),
            release: Arc::default(),
        };
        let me = e.clone();
        tokio::spawn(async move {
            while let Ok((s, _)) = l.accept().await {
                let me = me.clone();
                tokio::spawn(async move {
                    let svc = hyper::service::service_fn(move |r| {
                        let me = me.clone();
                        async move { me.answer(r).await }
                    });
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(s), svc)
                        .await;
                });
            }
        });
        Ok(e)
    }

    pub fn be(&self, m: Mood) {
        if let Ok(mut q) = self.moods.lock() {
            q.push_back(m);
        }
    }

    pub fn runs(&self) -> Vec<Ran> {
        self.ran.lock().map(|r| r.clone()).unwrap_or_default()
    }

    async fn answer(&self, req: Request<Incoming>) -> Result<Response<Out>, std::io::Error> {
        let (head, body) = req.into_parts();
        let body = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
        let text =
            |n: &str| head.headers.get(n).and_then(|v| v.to_str().ok()).unwrap_or("").to_string();
        let id = text(names::REQUEST_ID);
        let whole = |b: Bytes| Full::new(b).map_err(|e| match e {}).boxed();
        let base = Response::builder().header(names::REQUEST_ID, &id);
        let built = |r: Result<Response<Out>, http::Error>| r.map_err(std::io::Error::other);
        if text(names::EXPECT_INSTANCE) != self.id {
            let r = base.status(421).header(names::INSTANCE_ID, &self.id).body(whole(Bytes::new()));
            return built(r);
        }
        let mood = self.moods.lock().ok().and_then(|mut q| q.pop_front());
        if mood == Some(Mood::Full) {
            return built(base.status(503).header(names::NOT_RUN, "1").body(whole(Bytes::new())));
        }
        if let Ok(mut ran) = self.ran.lock() {
            ran.push(Ran {
                request_id: id.clone(),
                path: head.uri.to_string(),
                body: body.to_vec(),
                headers: head.headers.clone(),
            });
        }
        match mood {
            Some(Mood::Silent) => std::future::pending::<()>().await,
            Some(Mood::Reset) => return Err(std::io::Error::other("reset")),
            _ => {}
        }
        let mut base = Response::builder()
            .header(names::REQUEST_ID, if mood == Some(Mood::Mixed) { "other" } else { &id })
            .header(names::LOAD, "1,0,4");
        if mood != Some(Mood::Unstamped) {
            base = base.header(names::STAMP, format!("stamp-{}", self.id));
        }
        if !head.headers.contains_key(names::TOKENS) {
            return built(base.body(whole(Bytes::from(format!("done by {}", self.id)))));
        }
        let mut frames: Vec<Result<Frame<Bytes>, std::io::Error>> = EVENTS
            .iter()
            .enumerate()
            .map(|(i, d)| Ok(Frame::data(Bytes::from(format!("id: {}\ndata: {d}\n\n", i + 1)))))
            .collect();
        if mood == Some(Mood::Cut) {
            frames[2] = Err(std::io::Error::other("cut"));
        }
        let hold = (mood == Some(Mood::Held)).then(|| self.release.clone());
        let stream = StreamBody::new(futures_iter(frames, hold));
        built(base.header("content-type", "text/event-stream").body(BodyExt::boxed(stream)))
    }
}

/// One frame at a time, so that what comes before a cut has gone out.
fn futures_iter(
    frames: Vec<Result<Frame<Bytes>, std::io::Error>>,
    hold: Option<Arc<tokio::sync::Notify>>,
) -> impl futures_util::Stream<Item = Result<Frame<Bytes>, std::io::Error>> {
    let last = frames.len() - 1;
    futures_util::stream::iter(frames.into_iter().enumerate()).then(move |(i, f)| {
        let hold = hold.clone().filter(|_| i == last);
        async move {
            for _ in 0..50 {
                tokio::task::yield_now().await;
            }
            if let Some(h) = hold {
                h.notified().await;
            }
            f
        }
    })
}
