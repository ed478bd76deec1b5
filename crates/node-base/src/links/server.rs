//! The answering side of a link.
use super::{frame_stream, tune_stream};
use crate::prelude::*;
use std::future::Future;

const QUIET: Duration = Duration::from_secs(3);

/// Hands every accepted connection to `on`, for links that are more than question and answer.
pub async fn serve_streams<F>(listener: TcpListener, on: F)
where
    F: Fn(TcpStream),
{
    loop {
        match listener.accept().await {
            Ok((s, _)) => {
                tune_stream(&s, QUIET);
                on(s);
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Answers numbered calls; a handler that gives `None` answers nothing.
pub async fn serve_calls<Q, R, F, Fut>(listener: TcpListener, handler: F)
where
    Q: for<'a> Deserialize<'a> + Send + 'static,
    R: Serialize + Send + 'static,
    F: Fn(Q) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Option<R>> + Send + 'static,
{
    serve_streams(listener, move |s| {
        tokio::spawn(serve_one(s, handler.clone()));
    })
    .await
}

async fn serve_one<Q, R, F, Fut>(s: TcpStream, handler: F)
where
    Q: for<'a> Deserialize<'a>,
    R: Serialize,
    F: Fn(Q) -> Fut,
    Fut: Future<Output = Option<R>>,
{
    let mut wire = frame_stream(s);
    let mut work = FuturesUnordered::new();
    loop {
        tokio::select! {
            got = wire.next() => match got {
                Some(Ok(b)) if b.len() >= 8 => {
                    let n = u64::from_be_bytes([b[0], b[1], b[2], b[3], b[4], b[5], b[6], b[7]]);
                    if let Some(q) = decode::<Q>(&b[8..]) {
                        let f = handler(q);
                        work.push(async move { (n, f.await) });
                    }
                }
                _ => return,
            },
            Some((n, r)) = work.next(), if !work.is_empty() => {
                if let (Some(r), true) = (r, n != 0) {
                    let mut out = Vec::with_capacity(128);
                    out.extend_from_slice(&n.to_be_bytes());
                    if ciborium::into_writer(&r, &mut out).is_err() {
                        return;
                    }
                    if wire.send(Bytes::from(out)).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}
