//! Connections to engines, kept while they are of use.
use super::wire::WireWatch;
use crate::app::locked;
use crate::prelude::*;
use hyper::client::conn::http1::SendRequest;

/// The sending end of a connection.
pub type Sender = SendRequest<Full<Bytes>>;

struct Idle {
    sender: Sender,
    wire: WireWatch,
    since: Instant,
    keep: Duration,
}

/// The kept connections. Invariants: a connection is here only between two requests, and nothing ever
/// came on it out of turn; each engine life has its own row, so that a handed-on address never gets an
/// old connection's trust.
pub struct Pool {
    rows: Mutex<HashMap<EngineKey, Vec<Idle>>>,
}

/// A connection in use by one request.
pub struct Lease {
    /// The engine life it leads to.
    pub key: EngineKey,
    /// Its sending end.
    pub sender: Sender,
    /// What is known of its bytes.
    pub wire: WireWatch,
    /// It has carried another request before.
    pub reused: bool,
    /// How long it had rested.
    pub idle: Duration,
}

impl Lease {
    /// Whatever answers here answers this lease's request: nothing else was ever asked, and nothing came
    /// before the request was written whole.
    pub fn alone(&self) -> bool {
        !self.reused && !self.wire.out_of_turn()
    }
}

const CONNECT: Duration = Duration::from_millis(350);
const SILENT: Duration = Duration::from_millis(2500);
const MOST_IDLE: usize = 16;
/// Kept so long when an engine doesn't say; how long one may have been idle is learned by service.
const MOST_KEEP: Duration = Duration::from_secs(4);

impl Pool {
    /// No connections.
    pub fn new() -> Self {
        Pool { rows: Mutex::new(HashMap::new()) }
    }

    /// The connection used last, if it has been idle for no longer than `limit`.
    pub fn take_idle(&self, key: EngineKey, limit: Duration) -> Option<Lease> {
        let mut rows = locked(&self.rows);
        let row = rows.get_mut(&key)?;
        let now = Instant::now();
        // The rest have been idle for longer; others may still use them.
        while row.last().is_some_and(|i| now.duration_since(i.since) <= limit) {
            let Some(i) = row.pop() else { break };
            let idle = now.duration_since(i.since);
            if i.sender.is_closed() || idle > i.keep || !i.sender.is_ready() || i.wire.out_of_turn()
            {
                continue;
            }
            return Some(Lease { key, sender: i.sender, wire: i.wire, reused: true, idle });
        }
        None
    }

    /// A new connection.
    pub async fn connect(&self, key: EngineKey, addr: SocketAddr, left: Duration) -> Option<Lease> {
        let within = CONNECT.min(left);
        let s = tokio::time::timeout(within, TcpStream::connect(addr)).await.ok()?.ok()?;
        tune_stream(&s, SILENT);
        let (stream, wire) = WireWatch::over(s);
        let io = TokioIo::new(stream);
        let (sender, conn) = hyper::client::conn::http1::handshake(io).await.ok()?;
        tokio::spawn(async move {
            let _ = conn.await;
        });
        Some(Lease { key, sender, wire, reused: false, idle: Duration::ZERO })
    }

    /// Puts a connection back after a whole answer, unless anything came on it out of turn. `announced`
    /// is what `Keep-Alive` gave.
    pub fn give_back(&self, l: Lease, announced: Option<Duration>) {
        if l.sender.is_closed() || l.wire.out_of_turn() {
            return;
        }
        l.wire.rest();
        let keep = match announced {
            // The engine closes it a little later: its close, if it has come, is seen before a byte goes out.
            Some(t) => t.mul_f64(0.9),
            None => MOST_KEEP,
        };
        let mut rows = locked(&self.rows);
        let row = rows.entry(l.key).or_default();
        if row.len() < MOST_IDLE {
            row.push(Idle { sender: l.sender, wire: l.wire, since: Instant::now(), keep });
        }
    }

    /// Lets go of an engine's kept connections.
    pub fn forget(&self, key: EngineKey) {
        locked(&self.rows).remove(&key);
    }

    /// Lets go of those that have ended or rested for too long.
    pub fn sweep(&self, now: Instant) {
        locked(&self.rows).retain(|_, row| {
            row.retain(|i| !i.sender.is_closed() && now.duration_since(i.since) <= i.keep);
            !row.is_empty()
        });
    }
}

impl KeptConnections for Pool {
    fn idle_to(&self, limit: Duration) -> Vec<EngineKey> {
        let now = Instant::now();
        let usable = |i: &Idle| {
            let idle = now.duration_since(i.since);
            idle <= limit && idle <= i.keep && !i.sender.is_closed()
        };
        let rows = locked(&self.rows);
        // The newest of a row is the one that would be used.
        rows.iter().filter(|(_, row)| row.last().is_some_and(usable)).map(|(key, _)| *key).collect()
    }
}

impl Default for Pool {
    fn default() -> Self {
        Pool::new()
    }
}
