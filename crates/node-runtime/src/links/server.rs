//! The answering side of a link.
use super::frames::{Frame, FrameReader, Outgoing};
use super::tune_stream;
use crate::prelude::*;
use std::future::Future;

const QUIET: Duration = Duration::from_secs(3);
/// The pause after a connection couldn't be accepted, most often for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Calls of one connection that are being worked on; a peer that sends more loses the connection.
const MOST_UNANSWERED: usize = 16 << 10;
/// Bytes of those calls, beside one call of any size.
const MOST_UNANSWERED_BYTES: usize = 64 << 20;
/// Above this many unwritten bytes no further answer is taken up; the handlers' work waits.
const MOST_UNWRITTEN: usize = 1 << 20;

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
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
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
        tokio::spawn(serve_connection(s, handler.clone()));
    })
    .await
}

/// Answers the calls of one connection until it ends; what ended it is the error.
///
/// Reading, the handlers' work and writing run side by side: calls are read while answers wait to be
/// written. Bounds: `MOST_UNANSWERED` calls of `MOST_UNANSWERED_BYTES` (and one more) at work, and `MOST_UNWRITTEN` and one answer unwritten.
/// A call that can't be read (another version's, or damaged) gets an empty answer, which its caller
/// reports as broken, and the connection goes on; a frame that can't be one ends it.
pub async fn serve_connection<Q, R, F, Fut>(mut stream: TcpStream, handler: F) -> LinkResult<()>
where
    Q: for<'a> Deserialize<'a>,
    R: Serialize,
    F: Fn(Q) -> Fut,
    Fut: Future<Output = Option<R>>,
{
    let (read, mut write) = stream.split();
    let mut frames = FrameReader::new(read);
    let mut outgoing = Outgoing::default();
    let mut work = FuturesUnordered::new();
    let mut bytes_at_work = 0;
    loop {
        tokio::select! {
            got = frames.next_frame() => {
                let frame = got?;
                if work.len() >= MOST_UNANSWERED || bytes_at_work > MOST_UNANSWERED_BYTES {
                    return Err(LinkError::Full);
                }
                bytes_at_work += frame.body.len();
                work.push(answer_frame(frame, &handler));
            }
            Some(done) = work.next(), if !work.is_empty() && outgoing.len() < MOST_UNWRITTEN => {
                bytes_at_work -= done.call_bytes;
                if let Some(body) = done.body {
                    push_answer(&mut outgoing, done.number, &body)?;
                }
            }
            wrote = outgoing.write_some(&mut write), if !outgoing.is_empty() => wrote?,
        }
    }
}

/// A call that has been worked on.
struct Answered {
    number: u64,
    call_bytes: usize,
    body: Option<Bytes>,
}

async fn answer_frame<Q, R, F, Fut>(frame: Frame, handler: &F) -> Answered
where
    Q: for<'a> Deserialize<'a>,
    R: Serialize,
    F: Fn(Q) -> Fut,
    Fut: Future<Output = Option<R>>,
{
    let Frame { number, body: call } = frame;
    let call_bytes = call.len();
    let question = decode::<Q>(&call);
    drop(call);
    let body = match question {
        Some(q) => handler(q).await.map(|answer| encode(&answer)),
        None => Some(Bytes::new()),
    };
    Answered { number, call_bytes, body }
}

/// An answer too large for a frame goes as an empty one.
fn push_answer(outgoing: &mut Outgoing, number: u64, body: &[u8]) -> LinkResult<()> {
    if number == 0 {
        return Ok(());
    }
    match outgoing.push(number, body) {
        Err(LinkError::TooLarge) => outgoing.push(number, &[]),
        other => other,
    }
}
