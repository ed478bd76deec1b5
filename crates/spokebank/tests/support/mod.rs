//! Real processes of the built binary on loopback, each with a settings file of its own.
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use stand_ins::prelude::*;
use std::process::{Child, Command, Stdio};

/// Where the processes of one test live. Dropped, it removes their folder.
pub struct Net {
    pub network: Network,
}

impl Net {
    pub fn new(name: &str) -> Self {
        Net { network: Network::new(name) }
    }

    /// The port on which an agent feeds its proxy.
    pub fn agent(&self) -> String {
        let (first_port, _) = self.network.ports();
        format!("127.0.0.1:{}", first_port + node_runtime::settings::AGENT_PORT)
    }

    /// Settings of a machine.
    pub fn settings(&self, name: &str, class: &str, host: u8, zone: &str) -> FileOf {
        FileOf {
            name: name.into(),
            class: class.into(),
            ip: self.network.ip(host),
            zone: zone.into(),
            ports: self.network.ports(),
            seeds: vec![self.network.control(1)],
            first_start: true,
            data: self.network.dir.join(name),
            listen: self.network.listen_addresses(class, host),
            drain_ms: 3000,
            cloud: self.network.inner(99, 0),
        }
    }

    fn file(&self, program: &str, settings: &FileOf) -> PathBuf {
        self.network.dir.join(format!("{program}-{}.toml", settings.name))
    }

    /// Starts one of the programs on these settings.
    pub fn start(&self, program: &str, settings: FileOf) -> Node {
        std::fs::write(self.file(program, &settings), settings.text()).unwrap();
        self.spawn(program, settings)
    }

    /// Starts one of the programs, which waits in its start for its settings until the pipe that is
    /// given back is written and closed. By then an ordinary file stands in the pipe's place.
    pub fn start_waiting(&self, program: &str, settings: FileOf) -> (Node, std::fs::File) {
        let file = self.file(program, &settings);
        nix::unistd::mkfifo(&file, nix::sys::stat::Mode::S_IRWXU).unwrap();
        let mut node = self.spawn(program, settings);
        // Opened only once the process reads at the other end.
        let pipe = std::fs::OpenOptions::new().write(true).open(&file).unwrap();
        node.rewrite(|_| ());
        (node, pipe)
    }

    fn spawn(&self, program: &str, settings: FileOf) -> Node {
        let file = self.file(program, &settings);
        let log = file.with_extension("log");
        let child = Command::new(env!("CARGO_BIN_EXE_spokebank"))
            .args(["--log-level", "info", program])
            .env("SPOKEBANK_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stderr(std::fs::File::create(&log).unwrap())
            .spawn()
            .unwrap();
        Node { child, file, log, settings }
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.network.dir);
    }
}

/// A settings file's fields, as far as these tests change them.
#[derive(Clone)]
pub struct FileOf {
    pub name: String,
    class: String,
    ip: String,
    zone: String,
    ports: (u16, u16),
    pub seeds: Vec<String>,
    pub first_start: bool,
    data: PathBuf,
    listen: String,
    pub drain_ms: u32,
    pub cloud: String,
}

impl FileOf {
    pub fn text(&self) -> String {
        format!(
            "nodeName = \"{}\"\nmachineClass = \"{}\"\nipAddress = \"{}\"\nzone = \"{}\"\n\
             internalPortRange = [{}, {}]\nseedAddresses = {:?}\nfirstStart = {}\n\
             dataDirectory = \"{}\"\n[zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\n\
             [listenAddresses]\n{}[limits]\nmemoryMb = 256\nfileDescriptors = 2000\ndiskMb = 64\n\
             [bounds]\ndrainMs = {}\n[cloudApi]\naddress = \"{}\"\nratePerS = 40.0\nlagMs = 10\n",
            self.name,
            self.class,
            self.ip,
            self.zone,
            self.ports.0,
            self.ports.1,
            self.seeds,
            self.first_start,
            self.data.display(),
            self.listen,
            self.drain_ms,
            self.cloud,
        )
    }
}

/// One process. Dropped, it is killed.
pub struct Node {
    child: Child,
    pub file: PathBuf,
    log: PathBuf,
    pub settings: FileOf,
}

impl Node {
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    pub fn hang_up(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Changes the file as a whole, in one step.
    pub fn rewrite(&mut self, change: impl FnOnce(&mut FileOf)) {
        change(&mut self.settings);
        let aside = self.file.with_extension("new");
        std::fs::write(&aside, self.settings.text()).unwrap();
        std::fs::rename(&aside, &self.file).unwrap();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The very process that was started still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn lines(&self) -> Vec<serde_json::Value> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter_map(|l| serde_json::from_str(l).ok()).collect()
    }

    /// How many JSON log lines say this of this field, with the file's name in them.
    pub fn said(&self, what: &str, field: &str) -> usize {
        let file = self.file.display().to_string();
        let tells = |l: &serde_json::Value| {
            l["payload"] == what && l["kv"]["field"] == field && l["kv"]["file"] == *file
        };
        self.lines().iter().filter(|l| tells(l)).count()
    }

    /// The reason of the newest refusal.
    pub fn reason(&self) -> String {
        let lines = self.lines();
        let last = lines.iter().rev().find(|l| l["payload"] == REFUSED);
        last.and_then(|l| l["kv"]["reason"].as_str()).unwrap_or_default().to_string()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

pub const REFUSED: &str = "settings refused, the old ones stay in force";
pub const TAKEN: &str = "settings field taken";
pub const NEEDS_RESTART: &str = "settings field needs a restart";

/// Asks again until the answer is as wanted.
pub async fn until(what: &str, mut ok: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(40);
    while !ok().await {
        assert!(Instant::now() < end, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
