//! Connections to engines, kept while they are of use.
use crate::app::locked;
use crate::prelude::*;
use hyper::client::conn::http1::SendRequest;

pub type Sender = SendRequest<Full<Bytes>>;

struct Idle {
    sender: Sender,
    since: Instant,
    keep: Duration,
}

/// Invariant: a connection is here only between two requests; each engine life has its own row, so
/// that a handed-on address never gets an old connection's trust.
pub struct Pool {
    rows: Mutex<HashMap<EngineKey, Vec<Idle>>>,
}

/// A connection in use.
pub struct Lease {
    pub key: EngineKey,
    pub sender: Sender,
    pub reused: bool,
    pub idle: Duration,
}

const CONNECT: Duration = Duration::from_millis(350);
const SILENT: Duration = Duration::from_millis(2500);
const MOST_IDLE: usize = 16;
/// Kept so long when an engine doesn't say; how long one may have been idle is learned by service.
const MOST_KEEP: Duration = Duration::from_secs(4);

impl Pool {
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
            if i.sender.is_closed() || idle > i.keep || !i.sender.is_ready() {
                continue;
            }
            return Some(Lease { key, sender: i.sender, reused: true, idle });
        }
        None
    }

    pub async fn connect(&self, key: EngineKey, addr: SocketAddr, left: Duration) -> Option<Lease> {
        let within = CONNECT.min(left);
        let s = tokio::time::timeout(within, TcpStream::connect(addr)).await.ok()?.ok()?;
        tune_stream(&s, SILENT);
        let (sender, conn) = hyper::client::conn::http1::handshake(TokioIo::new(s)).await.ok()?;
        tokio::spawn(async move {
            let _ = conn.await;
        });
        Some(Lease { key, sender, reused: false, idle: Duration::ZERO })
    }

    /// Puts a connection back after a whole answer. `told` is what `Keep-Alive` gave.
    pub fn give_back(&self, l: Lease, told: Option<Duration>) {
        if l.sender.is_closed() {
            return;
        }
        let keep = match told {
            Some(t) => t.mul_f64(0.7),
            None => MOST_KEEP,
        };
        let mut rows = locked(&self.rows);
        let row = rows.entry(l.key).or_default();
        if row.len() < MOST_IDLE {
            row.push(Idle { sender: l.sender, since: Instant::now(), keep });
        }
    }

    /// Lets go of an engine's kept connections.
    pub fn forget(&self, key: EngineKey) {
        locked(&self.rows).remove(&key);
    }

    pub fn sweep(&self, now: Instant) {
        locked(&self.rows).retain(|_, row| {
            row.retain(|i| !i.sender.is_closed() && now.duration_since(i.since) <= i.keep);
            !row.is_empty()
        });
    }
}

impl Default for Pool {
    fn default() -> Self {
        Pool::new()
    }
}
