//! The calling side: one connection a peer, opened when first needed, shared by all calls.
use super::{connect, frame_stream, Wire};
use crate::prelude::*;

struct Command {
    body: Bytes,
    reply: Option<oneshot::Sender<LinkResult<Bytes>>>,
}

/// Invariant: frame number 0 asks for no answer; every other number is used once a connection.
#[derive(Clone)]
pub struct Caller {
    queue: mpsc::Sender<Command>,
}

const CONNECT: Duration = Duration::from_millis(500);
const QUIET: Duration = Duration::from_millis(1500);

impl Caller {
    pub fn new(addr: String) -> Self {
        let (tx, rx) = mpsc::channel(1024);
        tokio::spawn(run(addr, rx));
        Caller { queue: tx }
    }

    pub async fn call<Q: Serialize, R: for<'a> Deserialize<'a>>(
        &self,
        q: &Q,
        within: Duration,
    ) -> LinkResult<R> {
        self.call_bytes(encode(q), within).await
    }

    pub async fn call_bytes<R: for<'a> Deserialize<'a>>(
        &self,
        body: Bytes,
        within: Duration,
    ) -> LinkResult<R> {
        let (tx, rx) = oneshot::channel();
        let cmd = Command { body, reply: Some(tx) };
        if self.queue.try_send(cmd).is_err() {
            return Err(LinkError::Broken);
        }
        match tokio::time::timeout(within, rx).await {
            Ok(Ok(Ok(b))) => decode(&b).ok_or(LinkError::Broken),
            Ok(Ok(Err(e))) => Err(e),
            Ok(Err(_)) => Err(LinkError::Broken),
            Err(_) => Err(LinkError::Silent),
        }
    }

    /// Sends without waiting for an answer; lost when the peer is away.
    pub fn tell<Q: Serialize>(&self, q: &Q) {
        let _ = self.queue.try_send(Command { body: encode(q), reply: None });
    }
}

async fn run(addr: String, mut rx: mpsc::Receiver<Command>) {
    while let Some(first) = rx.recv().await {
        match connect(&addr, CONNECT, QUIET).await {
            Ok(s) => {
                if !talk(frame_stream(s), first, &mut rx).await {
                    return;
                }
            }
            Err(e) => {
                shed(first, e);
                while let Ok(c) = rx.try_recv() {
                    shed(c, e);
                }
            }
        }
    }
}

fn shed(c: Command, e: LinkError) {
    if let Some(r) = c.reply {
        let _ = r.send(Err(e));
    }
}

/// Runs one connection; false when the handle is gone.
async fn talk(mut wire: Wire, first: Command, rx: &mut mpsc::Receiver<Command>) -> bool {
    let mut pending: HashMap<u64, oneshot::Sender<LinkResult<Bytes>>> = HashMap::new();
    let mut next = 0u64;
    let mut cmd = Some(first);
    let open = 'link: loop {
        while let Some(c) = cmd.take() {
            let n = match c.reply {
                Some(r) if !r.is_closed() => {
                    next += 1;
                    pending.insert(next, r);
                    next
                }
                Some(_) => {
                    cmd = rx.try_recv().ok();
                    continue;
                }
                None => 0,
            };
            let mut buf = BytesMut::with_capacity(8 + c.body.len());
            buf.extend_from_slice(&n.to_be_bytes());
            buf.extend_from_slice(&c.body);
            if wire.feed(buf.freeze()).await.is_err() {
                break 'link true;
            }
            cmd = rx.try_recv().ok();
        }
        if SinkExt::<Bytes>::flush(&mut wire).await.is_err() {
            break true;
        }
        tokio::select! {
            got = wire.next() => match got {
                Some(Ok(b)) if b.len() >= 8 => {
                    let n = u64::from_be_bytes([b[0], b[1], b[2], b[3], b[4], b[5], b[6], b[7]]);
                    if let Some(r) = pending.remove(&n) {
                        let _ = r.send(Ok(b.freeze().slice(8..)));
                    }
                }
                _ => break true,
            },
            c = rx.recv() => match c {
                Some(c) => cmd = Some(c),
                None => break false,
            },
        }
    };
    for (_, r) in pending {
        let _ = r.send(Err(LinkError::Broken));
    }
    open
}
