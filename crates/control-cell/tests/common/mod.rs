//! Cells on threads of their own, over loopback.
#![allow(dead_code, reason = "each test file uses some of these")]
use control_cell::prelude::*;
use node_runtime::settings::CELL_PORT;
use std::future::Future;
use tokio::runtime::Builder;

const PORTS: u16 = 27_580;

/// Where a test's cells are: a loopback network of their own and a folder that goes with it.
pub struct Place {
    /// The first three parts of the cells' addresses: of one test of one process.
    net: String,
    dir: PathBuf,
}

/// A running cell. Dropped, it ends like one that was killed.
pub struct Process {
    _stop: oneshot::Sender<()>,
    freeze: mpsc::Sender<std::sync::mpsc::Receiver<()>>,
}

impl Process {
    /// The cell stands still until the answer is dropped.
    pub async fn freeze(&self) -> std::sync::mpsc::Sender<()> {
        let (thaw, thawed) = std::sync::mpsc::channel();
        self.freeze.send(thawed).await.unwrap();
        thaw
    }
}

impl Place {
    pub fn new(test: u8) -> Self {
        let process = std::process::id();
        // Runs of the same test at the same time keep out of each other's way.
        let net = format!("127.{}.{test}", 1 + process % 250);
        let dir = std::env::temp_dir().join(format!("spokebank-cells-{test}-{process}"));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap();
        Place { net, dir }
    }

    pub fn settings(&self, i: usize) -> NodeSettings {
        let Place { net, dir } = self;
        let seeds: Vec<String> = (61..=63).map(|n| format!("\"{net}.{n}:1\"")).collect();
        let text = format!(
            "nodeName = \"core-{i}\"\nmachineClass = \"core\"\nipAddress = \"{net}.{}\"\nzone = \"a\"\n\
             internalPortRange = [{PORTS},{}]\nseedAddresses = [{}]\nfirstStart = true\n\
             dataDirectory = \"{}\"\n[zones]\na = \"r\"\n[listenAddresses]\n\
             control = \"{net}.{}:28144\"\n[limits]\nmemoryMb = 256\nfileDescriptors = 2000\n\
             diskMb = 64\n",
            60 + i,
            PORTS + 15,
            seeds.join(", "),
            dir.join(format!("core-{i}")).display(),
            60 + i,
        );
        let file = dir.join(format!("core-{i}.toml"));
        std::fs::write(&file, text).unwrap();
        node_runtime::settings::read_settings(&file.display().to_string()).unwrap()
    }

    /// A cell on a thread of its own.
    pub fn cell(&self, i: usize) -> (CellHandle, Process) {
        let settings = Arc::new(self.settings(i));
        let (stop, stopped) = oneshot::channel::<()>();
        let (freeze, mut frozen) = mpsc::channel::<std::sync::mpsc::Receiver<()>>(1);
        let (tx, rx) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let rt = Builder::new_current_thread().enable_all().build().unwrap();
            rt.block_on(async {
                let inner = TcpListener::bind(settings.own_addr(CELL_PORT)).await.unwrap();
                let cell = control_cell::actor::start(&settings).unwrap().handle;
                let h = cell.clone();
                tokio::spawn(node_runtime::links::serve_calls(inner, move |q: CellCall| {
                    let h = h.clone();
                    async move { h.answer(q).await }
                }));
                tokio::spawn(async move {
                    while let Some(until) = frozen.recv().await {
                        // Blocks the only thread of this cell.
                        let _ = until.recv();
                    }
                });
                tx.send(cell).unwrap();
                let _ = stopped.await;
            });
        });
        (rx.recv().unwrap(), Process { _stop: stop, freeze })
    }

    /// Three cells that were founded together.
    pub fn three(&self) -> (Vec<CellHandle>, Vec<Process>) {
        (1..=3).map(|i| self.cell(i)).unzip()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

pub fn run(play: impl Future<Output = ()>) {
    Builder::new_current_thread().enable_all().build().unwrap().block_on(play);
}

pub async fn ask(c: &CellHandle, ask: TrialRequest) -> Option<CellReply> {
    c.answer(CellCall::Trial { ask }).await
}

pub async fn leader(c: &CellHandle) -> Option<String> {
    match c.answer(CellCall::Status).await {
        Some(CellReply::Status(t)) => t.leader,
        _ => None,
    }
}

/// The place of the leader among the cells, once all of them have told their names.
pub async fn leader_at(cells: &[CellHandle]) -> usize {
    let mut at = None;
    until("a leader that is named", async || {
        let name = leader(&cells[0]).await.unwrap_or_default();
        at = name.strip_prefix("core-").and_then(|n| n.parse::<usize>().ok());
        at.is_some()
    })
    .await;
    at.unwrap() - 1
}

/// Asks again until the answer is as wanted; each ask waits for an answer, none waits for time.
pub async fn until(what: &str, mut ok: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !ok().await {
        assert!(Instant::now() < end, "not in time: {what}");
        tokio::task::yield_now().await;
    }
}
