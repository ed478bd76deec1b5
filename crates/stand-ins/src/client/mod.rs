//! One call on a connection of its own.
use crate::prelude::*;

#[derive(Debug, Clone)]
pub struct Answered {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: Vec<u8>,
    /// The body came to its end in order.
    pub whole: bool,
}

pub async fn call(
    addr: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Answered> {
    let s = TcpStream::connect(addr).await.ok()?;
    let (mut tx, conn) =
        hyper::client::conn::http1::handshake::<_, Full<Bytes>>(TokioIo::new(s)).await.ok()?;
    tokio::spawn(async move {
        let _ = conn.await;
    });
    let mut req = Request::builder().method(method).uri(path);
    for (k, v) in headers {
        req = req.header(*k, *v);
    }
    let req = req.body(Full::new(Bytes::from(body.to_vec()))).ok()?;
    let res = tx.send_request(req).await.ok()?;
    let (head, mut inner) = res.into_parts();
    let mut out = Vec::new();
    let mut whole = true;
    while let Some(f) = inner.frame().await {
        match f {
            Ok(f) => {
                if let Ok(b) = f.into_data() {
                    out.extend_from_slice(&b);
                }
            }
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    Some(Answered { status: head.status.as_u16(), headers: head.headers, body: out, whole })
}

/// Sends bytes as they are and reads until the connection ends.
pub async fn raw(addr: &str, bytes: &[u8]) -> Option<Vec<u8>> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut s = TcpStream::connect(addr).await.ok()?;
    s.write_all(bytes).await.ok()?;
    let mut out = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(5), s.read_to_end(&mut out)).await.ok()?;
    Some(out)
}
