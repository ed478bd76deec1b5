//! One plain call on a connection of its own, for the platform and for engines' reports.
use crate::prelude::*;

#[derive(Debug)]
pub struct PlainAnswer {
    pub status: u16,
    pub body: Bytes,
}

#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PlainError {
    #[snafu(display("can't be reached"))]
    Unreached,
    #[snafu(display("no answer in time"))]
    Silent,
    #[snafu(display("the answer broke off"))]
    Broken,
}

const MOST_BODY: usize = 16 << 20;

pub async fn plain_call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    within: Duration,
) -> Result<PlainAnswer, PlainError> {
    match tokio::time::timeout(within, call(addr, method, path, within)).await {
        Ok(r) => r,
        Err(_) => Err(PlainError::Silent),
    }
}

async fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    quiet: Duration,
) -> Result<PlainAnswer, PlainError> {
    let s = TcpStream::connect(addr).await.map_err(|_| PlainError::Unreached)?;
    tune_stream(&s, quiet);
    let (mut tx, conn) = hyper::client::conn::http1::handshake::<_, Full<Bytes>>(TokioIo::new(s))
        .await
        .map_err(|_| PlainError::Unreached)?;
    let run = tokio::spawn(async move {
        let _ = conn.await;
    });
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", addr.to_string())
        .header("connection", "close")
        .body(Full::new(Bytes::new()))
        .map_err(|_| PlainError::Broken)?;
    let out = async {
        let res = tx.send_request(req).await.map_err(|_| PlainError::Broken)?;
        let status = res.status().as_u16();
        let body = Limited::new(res.into_body(), MOST_BODY)
            .collect()
            .await
            .map_err(|_| PlainError::Broken)?
            .to_bytes();
        Ok(PlainAnswer { status, body })
    }
    .await;
    run.abort();
    out
}
