//! Links between the system's own processes: CBOR frames with a length, numbered so that answers
//! may come in any order. On every connection reading and writing run side by side, each with a
//! bound on what may wait.
mod caller;
mod frames;
mod server;

pub use caller::Caller;
pub use frames::MOST_FRAME;
pub use server::{serve_calls, serve_connection, serve_streams};

use crate::prelude::*;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// What comes of a call to a peer.
pub type LinkResult<T> = Result<T, LinkError>;

/// Why a call or a connection failed. It concerns this call or this connection only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum LinkError {
    /// No connection could be opened; the call has not been sent.
    #[snafu(display("the peer can't be reached"))]
    Unreached,
    /// The connection ended, or the answer couldn't be read; the call may have been carried out.
    #[snafu(display("the link broke before the answer"))]
    Broken,
    /// The deadline passed; the call may have been carried out.
    #[snafu(display("no answer in time"))]
    Silent,
    /// Too much waits for this peer already; the call has not been sent.
    #[snafu(display("too much waits for this peer"))]
    Full,
    /// The call is larger than a frame may be, and has not been sent.
    #[snafu(display("larger than a frame may be"))]
    TooLarge,
}

/// A connection of whole frames without numbers, for links that are more than question and answer.
pub type Wire = Framed<TcpStream, LengthDelimitedCodec>;

/// Splits a connection into frames.
pub fn frame_stream(s: TcpStream) -> Wire {
    Framed::new(s, frames::length_codec())
}

/// Plain data as CBOR.
pub fn encode<T: Serialize>(v: &T) -> Bytes {
    let mut out = Vec::with_capacity(128);
    // Writing plain data into memory can't fail; if it did, the empty frame is dropped by the peer.
    if ciborium::into_writer(v, &mut out).is_err() {
        out.clear();
    }
    out.into()
}

/// Plain data from CBOR; none when it is of another kind or damaged.
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

/// Opens a connection within a bound, tuned as `tune_stream` says.
pub async fn connect(addr: &str, within: Duration, quiet: Duration) -> LinkResult<TcpStream> {
    match tokio::time::timeout(within, TcpStream::connect(addr)).await {
        Ok(Ok(s)) => {
            tune_stream(&s, quiet);
            Ok(s)
        }
        _ => Err(LinkError::Unreached),
    }
}
