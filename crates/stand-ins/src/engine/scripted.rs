//! An engine that follows a script byte by byte: it resets, stays silent, answers twice or too early
//! wherever the script says. Connections without a script are served in order.
use crate::prelude::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// One step of what the engine does on a connection.
#[derive(Debug, Clone)]
pub enum Step {
    /// Reads one whole request and begins to work on it.
    Run,
    /// Reads one whole request and does not work on it.
    Read,
    /// Reads so many bytes, whatever they are.
    ReadBytes(usize),
    /// Writes these bytes; `{id}` stands for the id of the request read last.
    Say(String),
    /// Writes a whole success whose body is the body of the request read last.
    Echo,
    /// Waits until the gate is opened once.
    Gate,
    /// Closes the connection in order.
    Close,
    /// Resets the connection.
    Reset,
    /// Neither reads, writes nor closes any more.
    Silent,
}

/// A request as it was read from a connection.
#[derive(Debug, Clone)]
pub struct Seen {
    /// The number of the connection, from 0 in the order of their arrival.
    pub connection: usize,
    /// Its request id.
    pub request_id: String,
    /// Whether the engine began to work on it.
    pub ran: bool,
    /// Its body.
    pub body: Vec<u8>,
}

/// An engine that follows scripts. Invariant: each connection takes one script, the oldest, when it
/// arrives.
#[derive(Clone)]
pub struct ScriptedEngine {
    /// Its id, which `X-Spokebank-Expect-Instance` must name.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Lets one `Gate` step pass for each permit.
    pub gate: Arc<tokio::sync::Semaphore>,
    scripts: Arc<Mutex<VecDeque<Vec<Step>>>>,
    seen: Arc<Mutex<Vec<Seen>>>,
    connections: Arc<AtomicUsize>,
    steps: Arc<AtomicUsize>,
}

/// A whole success with this body, bearing the request's id.
pub fn success(body: &str) -> String {
    answer(200, "X-Spokebank-Request-Id: {id}\r\nX-Spokebank-Server-Stamp: s\r\n", body)
}

/// A whole answer with these header lines, each ended by CR and LF.
pub fn answer(status: u16, lines: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\n{lines}Content-Length: {}\r\n\r\n{body}", body.len())
}

impl ScriptedEngine {
    /// Listens at this address.
    pub async fn start(id: &str, addr: &str) -> std::io::Result<ScriptedEngine> {
        let listener = TcpListener::bind(addr).await?;
        let engine = ScriptedEngine {
            id: id.into(),
            addr: listener.local_addr()?,
            gate: Arc::new(tokio::sync::Semaphore::new(0)),
            scripts: Arc::default(),
            seen: Arc::default(),
            connections: Arc::default(),
            steps: Arc::default(),
        };
        let me = engine.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = me.connections.fetch_add(1, Ordering::SeqCst);
                let script = me.scripts.lock().ok().and_then(|mut s| s.pop_front());
                let me = me.clone();
                tokio::spawn(async move { me.converse(stream, number, script).await });
            }
        });
        Ok(engine)
    }

    /// The next connection without a script follows this one, and is then served in order.
    pub fn script(&self, steps: Vec<Step>) {
        if let Ok(mut scripts) = self.scripts.lock() {
            scripts.push_back(steps);
        }
    }

    /// Connections that arrive from now on are served in order, until there are scripts again.
    pub fn unscript(&self) {
        if let Ok(mut scripts) = self.scripts.lock() {
            scripts.clear();
        }
    }

    /// Every request that was read whole, in the order of their arrival.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().map(|s| s.clone()).unwrap_or_default()
    }

    /// How often the engine began to work on this request.
    pub fn runs_of(&self, request_id: &str) -> usize {
        self.seen().iter().filter(|s| s.ran && s.request_id == request_id).count()
    }

    /// How many connections have arrived.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// How many steps of scripts have been followed to their end, over all connections.
    pub fn steps(&self) -> usize {
        self.steps.load(Ordering::SeqCst)
    }

    async fn converse(self, stream: TcpStream, connection: usize, script: Option<Vec<Step>>) {
        let mut talk = Talk { engine: self, stream, connection, unread: Vec::new(), last: None };
        for step in script.unwrap_or_default() {
            let followed = talk.follow(step).await;
            // Nothing is awaited between this and the end of the connection.
            talk.engine.steps.fetch_add(1, Ordering::SeqCst);
            if followed.is_none() {
                return;
            }
        }
        while talk.take(true).await.is_some() && talk.echo().await.is_some() {}
    }
}

/// One connection's conversation.
struct Talk {
    engine: ScriptedEngine,
    stream: TcpStream,
    connection: usize,
    unread: Vec<u8>,
    last: Option<Seen>,
}

impl Talk {
    /// None ends the connection.
    async fn follow(&mut self, step: Step) -> Option<()> {
        match step {
            Step::Run => self.take(true).await,
            Step::Read => self.take(false).await,
            Step::ReadBytes(n) => {
                while self.unread.len() < n {
                    self.more().await?;
                }
                Some(())
            }
            Step::Say(text) => self.say(&text).await,
            Step::Echo => self.echo().await,
            Step::Gate => {
                self.engine.gate.acquire().await.ok()?.forget();
                Some(())
            }
            Step::Close => None,
            Step::Reset => {
                let _ = self.stream.set_zero_linger();
                None
            }
            Step::Silent => std::future::pending().await,
        }
    }

    async fn say(&mut self, text: &str) -> Option<()> {
        let id = self.last.as_ref().map_or("", |l| &l.request_id);
        let text = text.replace("{id}", id);
        self.stream.write_all(text.as_bytes()).await.ok()
    }

    async fn echo(&mut self) -> Option<()> {
        let body = self.last.as_ref()?.body.clone();
        self.say(&success(&String::from_utf8_lossy(&body))).await
    }

    async fn more(&mut self) -> Option<()> {
        let n = self.stream.read_buf(&mut self.unread).await.ok()?;
        (n > 0).then_some(())
    }

    /// Reads one request, its body bounded by `Content-Length`.
    async fn take(&mut self, ran: bool) -> Option<()> {
        let end = loop {
            let end = self.unread.windows(4).position(|w| w == b"\r\n\r\n");
            match end {
                Some(at) => break at + 4,
                None => self.more().await?,
            }
        };
        let head = String::from_utf8_lossy(&self.unread[..end]).into_owned();
        let length = field(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        while self.unread.len() < end + length {
            self.more().await?;
        }
        let request_id = field(&head, names::REQUEST_ID).unwrap_or_default();
        let ran = ran && field(&head, names::EXPECT_INSTANCE).as_deref() == Some(&self.engine.id);
        let body = self.unread[end..end + length].to_vec();
        self.unread.drain(..end + length);
        let seen = Seen { connection: self.connection, request_id, ran, body };
        self.engine.seen.lock().ok()?.push(seen.clone());
        self.last = Some(seen);
        Some(())
    }
}

fn field(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_string())
    })
}
