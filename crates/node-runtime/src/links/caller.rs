//! The calling side: one connection a peer, opened when first needed, shared by all calls, and a
//! second one for bulk, so that small calls never wait behind large ones.
//!
//! On each connection reading and writing run side by side: answers are read whatever becomes of
//! the writing, and nothing is read from the queue before what was read earlier is nearly written.
use super::connect;
use super::frames::{FrameReader, Outgoing, MOST_BODY};
use crate::prelude::*;
use std::sync::OnceLock;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Calls that wait for their turn on one connection.
const MOST_QUEUED: usize = 1024;
/// Bytes that wait for their turn on one connection; a single larger body is taken when none waits.
const MOST_QUEUED_BYTES: usize = 32 << 20;
/// Calls whose answers are awaited on one connection.
const MOST_AWAITED: usize = 8192;
/// Below this many unwritten bytes the next call is taken from the queue.
const NEARLY_WRITTEN: usize = 64 << 10;
/// A message without an answer that has waited longer than this is not sent: the peer was away.
const TELL_LIFE: Duration = Duration::from_secs(2);
/// The same for bulk, which takes its time.
const BULK_TELL_LIFE: Duration = Duration::from_secs(10);

const CONNECT: Duration = Duration::from_millis(500);
const QUIET: Duration = Duration::from_millis(1500);
/// Bulk moves over slow links; heartbeats, not this bound, find a dead peer.
const BULK_QUIET: Duration = Duration::from_secs(4);

type Reply = oneshot::Sender<LinkResult<Bytes>>;

struct Command {
    body: Bytes,
    purpose: Purpose,
    /// Held while the body waits; given back when it is written or dropped.
    _room: OwnedSemaphorePermit,
}

enum Purpose {
    Call(Reply),
    Tell { until: Instant },
}

impl Command {
    /// Whether nobody waits for it any more.
    fn is_stale(&self) -> bool {
        match &self.purpose {
            Purpose::Call(reply) => reply.is_closed(),
            Purpose::Tell { until } => Instant::now() >= *until,
        }
    }

    fn refuse(self, error: LinkError) {
        if let Purpose::Call(reply) = self.purpose {
            let _ = reply.send(Err(error));
        }
    }
}

/// Calls one peer. Clones share its connections.
///
/// Invariants: frame number 0 asks for no answer; every other number is used once a connection; a
/// call whose caller has gone away before its turn is not sent. Each of the two connections holds at
/// most `MOST_QUEUED` calls of `MOST_QUEUED_BYTES` together that wait (or one larger body), what is
/// being written (at most `NEARLY_WRITTEN` and one body), and `MOST_AWAITED` awaited answers.
#[derive(Clone)]
pub struct Caller {
    addr: String,
    quick: Lane,
    bulk: Arc<OnceLock<Lane>>,
}

impl Caller {
    /// A caller of the peer at `addr`; the connections are opened when first needed.
    pub fn new(addr: String) -> Self {
        let quick = Lane::open(addr.clone(), QUIET);
        Caller { addr, quick, bulk: Arc::default() }
    }

    /// Calls and waits for the answer, at most `within`.
    pub async fn call<Q: Serialize, R: for<'a> Deserialize<'a>>(
        &self,
        q: &Q,
        within: Duration,
    ) -> LinkResult<R> {
        self.call_bytes(encode(q), within).await
    }

    /// The same with a body that is encoded already.
    pub async fn call_bytes<R: for<'a> Deserialize<'a>>(
        &self,
        body: Bytes,
        within: Duration,
    ) -> LinkResult<R> {
        self.quick.call(body, within).await
    }

    /// Sends without waiting for an answer; lost when the peer is away.
    pub fn tell<Q: Serialize>(&self, q: &Q) {
        let _ = self.quick.tell(encode(q), TELL_LIFE);
    }

    /// The same over the connection for bulk: snapshots, large batches of entries. Says when it was refused at once, because too much
    /// waits already.
    pub fn tell_bulk<Q: Serialize>(&self, q: &Q) -> LinkResult<()> {
        self.bulk_lane().tell(encode(q), BULK_TELL_LIFE)
    }

    fn bulk_lane(&self) -> &Lane {
        self.bulk.get_or_init(|| Lane::open(self.addr.clone(), BULK_QUIET))
    }
}

/// One connection with its queue.
#[derive(Clone)]
struct Lane {
    queue: mpsc::Sender<Command>,
    room: Arc<Semaphore>,
}

impl Lane {
    fn open(addr: String, quiet: Duration) -> Self {
        let (queue, commands) = mpsc::channel(MOST_QUEUED);
        tokio::spawn(run(addr, quiet, commands));
        Lane { queue, room: Arc::new(Semaphore::new(MOST_QUEUED_BYTES)) }
    }

    async fn call<R: for<'a> Deserialize<'a>>(
        &self,
        body: Bytes,
        within: Duration,
    ) -> LinkResult<R> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(body, Purpose::Call(reply))?;
        match tokio::time::timeout(within, answer).await {
            Ok(Ok(Ok(b))) => decode(&b).ok_or(LinkError::Broken),
            Ok(Ok(Err(e))) => Err(e),
            Ok(Err(_)) => Err(LinkError::Broken),
            Err(_) => Err(LinkError::Silent),
        }
    }

    fn tell(&self, body: Bytes, life: Duration) -> LinkResult<()> {
        self.enqueue(body, Purpose::Tell { until: Instant::now() + life })
    }

    fn enqueue(&self, body: Bytes, purpose: Purpose) -> LinkResult<()> {
        if body.len() > MOST_BODY {
            return Err(LinkError::TooLarge);
        }
        let bytes = body.len().min(MOST_QUEUED_BYTES) as u32;
        let Ok(room) = self.room.clone().try_acquire_many_owned(bytes) else {
            return Err(LinkError::Full);
        };
        let command = Command { body, purpose, _room: room };
        self.queue.try_send(command).map_err(|_| LinkError::Full)
    }
}

async fn run(addr: String, quiet: Duration, mut commands: mpsc::Receiver<Command>) {
    while let Some(first) = commands.recv().await {
        if first.is_stale() {
            continue;
        }
        match connect(&addr, CONNECT, quiet).await {
            Ok(stream) => {
                Connection::default().run(stream, first, &mut commands).await;
            }
            Err(e) => {
                first.refuse(e);
                while let Ok(c) = commands.try_recv() {
                    c.refuse(e);
                }
            }
        }
    }
}

/// One opened connection: what waits to be written, and who waits for which answer.
#[derive(Default)]
struct Connection {
    outgoing: Outgoing,
    awaited: HashMap<u64, Reply>,
    last_number: u64,
}

impl Connection {
    /// Runs until the connection breaks or all handles are gone.
    async fn run(
        mut self,
        mut stream: TcpStream,
        first: Command,
        commands: &mut mpsc::Receiver<Command>,
    ) {
        let (read, write) = stream.split();
        self.push(first);
        let _ = self.exchange(FrameReader::new(read), write, commands).await;
        for (_, reply) in self.awaited {
            let _ = reply.send(Err(LinkError::Broken));
        }
    }

    async fn exchange(
        &mut self,
        mut frames: FrameReader<ReadHalf<'_>>,
        mut write: WriteHalf<'_>,
        commands: &mut mpsc::Receiver<Command>,
    ) -> LinkResult<()> {
        loop {
            tokio::select! {
                got = frames.next_frame() => {
                    let frame = got?;
                    if let Some(reply) = self.awaited.remove(&frame.number) {
                        let _ = reply.send(Ok(frame.body));
                    }
                }
                next = commands.recv(), if self.outgoing.len() < NEARLY_WRITTEN => match next {
                    Some(command) => self.push_all(command, commands),
                    None => return Ok(()),
                },
                wrote = self.outgoing.write_some(&mut write), if !self.outgoing.is_empty() => wrote?,
            }
        }
    }

    /// Takes `command` and those behind it, as far as they fit into one write.
    fn push_all(&mut self, command: Command, commands: &mut mpsc::Receiver<Command>) {
        let mut next = Some(command);
        while let Some(command) = next {
            self.push(command);
            next = match self.outgoing.len() < NEARLY_WRITTEN {
                true => commands.try_recv().ok(),
                false => None,
            };
        }
    }

    fn push(&mut self, command: Command) {
        if command.is_stale() {
            return;
        }
        if self.awaited.len() >= MOST_AWAITED {
            self.awaited.retain(|_, reply| !reply.is_closed());
        }
        let number = match &command.purpose {
            Purpose::Call(_) if self.awaited.len() >= MOST_AWAITED => {
                return command.refuse(LinkError::Full);
            }
            Purpose::Call(_) => self.last_number + 1,
            Purpose::Tell { .. } => 0,
        };
        if let Err(e) = self.outgoing.push(number, &command.body) {
            return command.refuse(e);
        }
        if let Purpose::Call(reply) = command.purpose {
            self.last_number = number;
            self.awaited.insert(number, reply);
        }
    }
}
