//! Links between the system's own processes: CBOR frames with a length, numbered so that answers
//! may come in any order.
mod caller;
mod server;

pub use caller::Caller;
pub use server::{serve_calls, serve_streams};

use crate::prelude::*;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

pub type LinkResult<T> = Result<T, LinkError>;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum LinkError {
    #[snafu(display("the peer can't be reached"))]
    Unreached,
    #[snafu(display("the link broke before the answer"))]
    Broken,
    #[snafu(display("no answer in time"))]
    Silent,
}

pub type Wire = Framed<TcpStream, LengthDelimitedCodec>;

const MOST_FRAME: usize = 48 << 20;

pub fn frame_stream(s: TcpStream) -> Wire {
    let mut c = LengthDelimitedCodec::new();
    c.set_max_frame_length(MOST_FRAME);
    Framed::new(s, c)
}

pub fn encode<T: Serialize>(v: &T) -> Bytes {
    let mut out = Vec::with_capacity(128);
    // Writing plain data into memory can't fail; if it did, the empty frame is dropped by the peer.
    if ciborium::into_writer(v, &mut out).is_err() {
        out.clear();
    }
    out.into()
}

pub fn decode<T: for<'a> Deserialize<'a>>(b: &[u8]) -> Option<T> {
    ciborium::from_reader(b).ok()
}

/// Small delays and a quick end for peers without power: a hung connection is closed after `quiet`.
pub fn tune_stream(s: &TcpStream, quiet: Duration) {
    let _ = s.set_nodelay(true);
    let sock = socket2::SockRef::from(s);
    let _ = sock.set_tcp_user_timeout(Some(quiet));
    let keep = socket2::TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    let _ = sock.set_tcp_keepalive(&keep);
}

pub async fn connect(addr: &str, within: Duration, quiet: Duration) -> LinkResult<TcpStream> {
    match tokio::time::timeout(within, TcpStream::connect(addr)).await {
        Ok(Ok(s)) => {
            tune_stream(&s, quiet);
            Ok(s)
        }
        _ => Err(LinkError::Unreached),
    }
}
