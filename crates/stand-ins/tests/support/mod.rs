//! A proxy alone, over loopback, fed by hand, against engines that follow scripts.
use internal_protocol::feed::{EngineEntry, ZoneTable};
use internal_protocol::prelude::ByteBuf;
use request_proxy::prelude::{App, FeedItem, LifeEvent, LifeState};
use stand_ins::prelude::*;

/// A route of the test's configuration.
pub struct TestRoute {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub attempts: u32,
    pub timeout_ms: u64,
}

/// The routes most tests use: repeatable, not repeatable, streams, and two with little time.
pub const ROUTES: [TestRoute; 5] = [
    TestRoute { prefix: "/r/", kind: "idempotent", attempts: 2, timeout_ms: 4000 },
    TestRoute { prefix: "/w/", kind: "non_idempotent", attempts: 2, timeout_ms: 4000 },
    TestRoute { prefix: "/s/", kind: "streaming", attempts: 2, timeout_ms: 4000 },
    TestRoute { prefix: "/brief-s/", kind: "streaming", attempts: 2, timeout_ms: 400 },
    TestRoute { prefix: "/brief/", kind: "non_idempotent", attempts: 2, timeout_ms: 400 },
];

/// A configuration with these routes, all to one service.
pub fn configuration(version: u64, idle_ms: u64) -> String {
    let routes: Vec<serde_json::Value> = ROUTES
        .iter()
        .map(|r| {
            serde_json::json!({"name": r.prefix, "hostName": "h.example", "pathPrefix": r.prefix,
                "routeKind": r.kind, "timeoutMs": r.timeout_ms, "targetLatencyMs": 100,
                "targetGapMs": 400, "priorityLevel": 2, "serviceName": "app",
                "maxAttempts": r.attempts})
        })
        .collect();
    serde_json::json!({"configVersion": version, "routeTable": routes, "serviceTable": [
        {"name": "app", "healthPath": "/health", "connectionLimit": 64}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33_554_432, "headerTimeoutMs": 3000,
        "idleTimeoutMs": idle_ms}})
    .to_string()
}

/// A proxy that serves requests at `front`.
pub struct Proxy {
    pub front: String,
    pub app: Arc<App>,
}

impl Proxy {
    /// A proxy that knows these engines (id and address), all of one service.
    pub async fn start(name: &str, engines: &[(&str, SocketAddr)]) -> Proxy {
        let app = App::new(settings(name).into());
        let (stop, life) = tokio::sync::watch::channel(LifeState::first());
        app.tell_life(stop);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let front = listener.local_addr().unwrap().to_string();
        tokio::spawn(request_proxy::door::serve_front(listener, app.clone(), life));
        let proxy = Proxy { front, app };
        proxy.configure(1, 15_000);
        let entry = |(id, addr): &(&str, SocketAddr)| EngineEntry {
            id: id.to_string(),
            service: "app".into(),
            addr: addr.to_string(),
            zone: "a".into(),
            slots: 64,
            draining: false,
            cold_ms: 0,
        };
        proxy.app.apply_update(&FeedItem::Zone(ZoneTable {
            zone: "a".into(),
            epoch: 1,
            seq: 1,
            engines: engines.iter().map(entry).collect(),
        }));
        proxy.app.live_on(LifeEvent::Current);
        proxy
    }

    /// Puts a configuration in force.
    pub fn configure(&self, version: u64, idle_ms: u64) {
        self.app.apply_update(&FeedItem::Config {
            index: version,
            version,
            body: ByteBuf::from(configuration(version, idle_ms)),
        });
    }

    /// One call of a client, on a connection of its own.
    pub async fn call(&self, id: &str, path: &str, body: &[u8]) -> Answered {
        let headers = [("host", "h.example"), (names::REQUEST_ID, id), (names::DEADLINE, "3000")];
        call(&self.front, "POST", path, &headers, body).await.unwrap()
    }
}

fn settings(name: &str) -> NodeSettings {
    let text = format!(
        "nodeName = \"{name}\"\nmachineClass = \"front\"\nipAddress = \"127.0.0.1\"\nzone = \"a\"\n\
         internalPortRange = [27380,27395]\nseedAddresses = [\"127.0.0.1:28144\"]\n\
         firstStart = true\n[zones]\na = \"r\"\n[listenAddresses]\n\
         front = \"127.0.0.1:28149\"\nreadiness = \"127.0.0.1:28141\"\n\
         [limits]\nmemoryMb = 256\nfileDescriptors = 2000\ndiskMb = 0\n\
         [cloudApi]\naddress = \"127.0.0.1:28142\"\nratePerS = 40.0\nlagMs = 10\n"
    );
    let file = std::env::temp_dir().join(format!("spokebank-{name}-{}.toml", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let read = node_runtime::settings::read_settings(&file.display().to_string()).unwrap();
    let _ = std::fs::remove_file(&file);
    read
}

/// Looks again until it holds; each look lets the other tasks go on.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !holds() {
        assert!(Instant::now() < end, "not in time: {what}");
        tokio::task::yield_now().await;
    }
}
