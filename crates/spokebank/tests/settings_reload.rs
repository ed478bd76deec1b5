//! Settings that change while real processes run: nothing under way ends, faulty files are refused, and
//! what is new is used. Before settings were reread, SIGHUP ended each of these processes.
mod support;

use internal_protocol::cells::{CellCall, CellReply, CellStatus};
use internal_protocol::stores::{StoreCall, StoreReply};
use nix::sys::signal::Signal;
use node_runtime::settings::{CELL_PORT, STORE_PORT};
use stand_ins::prelude::*;
use std::io::Write;
use support::{until, Net, Node, NEEDS_RESTART, REFUSED, TAKEN};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const PROXY: u8 = 30;

/// Each program, with the class and the host number of its machine, and where it listens once started.
type Program = (&'static str, &'static str, u8, fn(&Net) -> String);
const PROGRAMS: [Program; 4] = [
    ("control-cell", "core", 1, |net| net.network.inner(1, CELL_PORT)),
    ("turn-store", "storage", 10, |net| net.network.inner(10, STORE_PORT)),
    ("feed-agent", "front", PROXY, |net| net.agent()),
    ("request-proxy", "front", PROXY, |net| net.network.readiness(PROXY)),
];

fn config(version: u64, extra: bool) -> String {
    let mut routes = vec![
        serde_json::json!({"name": "turns", "hostName": "h.example", "pathPrefix": "/t/",
            "routeKind": "streaming", "timeoutMs": 30_000, "serviceName": "llm", "maxAttempts": 2,
            "retained": true, "retentionS": 60.0, "stickySessions": true}),
        serde_json::json!({"name": "reads", "hostName": "h.example", "pathPrefix": "/r/",
            "routeKind": "idempotent", "timeoutMs": 3000, "serviceName": "app", "maxAttempts": 2}),
    ];
    if extra {
        routes
            .push(serde_json::json!({"name": "new", "hostName": "h.example", "pathPrefix": "/n/",
            "routeKind": "idempotent", "timeoutMs": 3000, "serviceName": "app"}));
    }
    serde_json::json!({"configVersion": version, "routeTable": routes, "serviceTable": [
        {"name": "llm", "healthPath": "/health", "connectionLimit": 64,
         "engine": {"slotCount": 4, "cacheTokens": 100_000, "eventStride": 2,
            "models": [{"name": "m"}]}},
        {"name": "app", "healthPath": "/health", "connectionLimit": 64}]})
    .to_string()
}

async fn put(control: &str, base: u64, body: &str) -> u16 {
    let base = base.to_string();
    let head = [("host", "c"), ("if-match", base.as_str()), ("content-type", "application/json")];
    call(control, "PUT", "/config", &head, body.as_bytes()).await.map_or(0, |a| a.status)
}

async fn get(front: &str, id: &str, path: &str) -> u16 {
    let head = [("host", "h.example"), (names::REQUEST_ID, id), (names::DEADLINE, "3000")];
    call(front, "GET", path, &head, b"").await.map_or(0, |a| a.status)
}

async fn ready(readiness: &str) -> bool {
    let answer = call(readiness, "GET", "/readiness", &[("host", "x")], b"").await;
    answer.is_some_and(|a| a.status == 200)
}

async fn turn(front: &str, id: &str) -> Option<Answered> {
    let head = [
        ("host", "h.example"),
        (names::REQUEST_ID, id),
        (names::DEADLINE, "30000"),
        (names::MODEL, "m"),
        (names::TOKENS, "5,10"),
        (names::PREFIX, "aa:5"),
        (names::PROGRAM, "prog"),
        (names::SESSION, id),
        (names::FINISH, "60000"),
        (names::BUDGET, "100000"),
    ];
    call(front, "POST", "/t/x", &head, b"hello").await
}

/// One request on a connection that is kept.
async fn get_on(kept: &mut TcpStream, id: &str) -> String {
    let head = format!(
        "GET /r/kept HTTP/1.1\r\nhost: h.example\r\n{}: {id}\r\n{}: 3000\r\n\r\n",
        names::REQUEST_ID,
        names::DEADLINE
    );
    kept.write_all(head.as_bytes()).await.unwrap();
    let mut got = Vec::new();
    while !got.ends_with(b"done by i-app") {
        let n = kept.read_buf(&mut got).await.unwrap();
        assert!(n > 0, "ended: {}", String::from_utf8_lossy(&got));
    }
    String::from_utf8(got).unwrap()
}

async fn listens(addr: &str) -> bool {
    TcpStream::connect(addr).await.is_ok()
}

fn start_stores(net: &Net, first_host: u8) -> Vec<Node> {
    let zones = ["a", "b", "c"].iter().zip(first_host..);
    let start = |(zone, host): (&&str, u8)| {
        net.start("turn-store", net.settings(&format!("store-{host}"), "storage", host, zone))
    };
    zones.map(start).collect()
}

/// Every program gets SIGHUP twice while an answer is being spoken and a client's connection rests. The
/// answer ends whole, the connection goes on, and what is new counts: the cell reads the platform's list
/// at an address that its file names only since it was changed, without a signal.
#[tokio::test]
async fn hangups_in_the_middle_of_a_stream_end_nothing() {
    let net = Net::new("hangup");
    let llm = Engine::start("i-llm", &format!("{}:0", net.network.ip(40))).await.unwrap();
    let app = Engine::start("i-app", &format!("{}:0", net.network.ip(41))).await.unwrap();
    let row = |service: &str, e: &Engine| {
        (service.to_string(), e.id.clone(), e.addr.to_string(), "a".into(), "ready".into())
    };
    let list = Arc::new(Mutex::new(vec![row("llm", &llm), row("app", &app)]));
    let platform = serve_platform(&format!("{}:0", net.network.ip(50)), list).await.unwrap();
    let mut core = net.start("control-cell", net.settings("core-1", "core", 1, "a"));
    let mut nodes = start_stores(&net, 10);
    let front = net.settings("front-1", "front", PROXY, "a");
    nodes.push(net.start("feed-agent", front.clone()));
    nodes.push(net.start("request-proxy", front));
    let (front, control) = (net.network.front(PROXY), net.network.control(1));
    until("the first configuration", async || put(&control, 0, &config(3, false)).await == 200)
        .await;
    until("readiness", async || ready(&net.network.readiness(PROXY)).await).await;
    assert_ne!(get(&front, "none", "/r/a").await, 200, "no list yet");

    core.rewrite(|s| s.cloud = platform.to_string());
    let mut tries = 0;
    until("engines by the new platform address", async || {
        tries += 1;
        get(&front, &format!("r{tries}"), "/r/a").await == 200
    })
    .await;
    assert_eq!(core.said(TAKEN, "cloudApi"), 1);
    nodes.push(core);
    until("stores", async || {
        tries += 1;
        turn(&front, &format!("t{tries}")).await.is_some_and(|a| a.status == 200)
    })
    .await;

    let mut kept = TcpStream::connect(&front).await.unwrap();
    assert!(get_on(&mut kept, "kept-1").await.starts_with("HTTP/1.1 200"));
    llm.be(Mood::Held);
    let asked = front.clone();
    let speaking = tokio::spawn(async move { turn(&asked, "held").await.unwrap() });
    until("the turn to run", async || llm.runs().iter().any(|r| r.request_id == "held")).await;
    for n in &mut nodes {
        n.rewrite(|s| s.drain_ms = 3100);
        n.hang_up();
        n.hang_up();
    }
    for n in &mut nodes {
        until("new settings", async || n.said(TAKEN, "bounds.drainMs") == 1).await;
        n.hang_up();
        assert!(n.runs(), "{}", n.settings.name);
    }
    assert!(get_on(&mut kept, "kept-2").await.starts_with("HTTP/1.1 200"));
    assert!(!speaking.is_finished(), "the answer is still being spoken");
    llm.release.notify_one();
    let answer = speaking.await.unwrap();
    let said = String::from_utf8(answer.body).unwrap();
    assert_eq!((answer.status, answer.whole), (200, true), "{said}");
    assert!(said.contains("alpha beta") && said.contains("gamma") && said.contains("delta"));
    assert_eq!(llm.runs().iter().filter(|r| r.request_id == "held").count(), 1);
    assert_eq!(get(&front, "later", "/r/a").await, 200);
    assert!(nodes.iter_mut().all(Node::runs));
}

/// A faulty file, told by SIGHUP, is refused in one JSON line with file, field and reason; a good one that
/// follows is noticed without a signal.
#[tokio::test]
async fn faulty_files_are_refused_and_a_mended_one_is_noticed() {
    let net = Net::new("refused");
    for (program, class, host, at) in PROGRAMS {
        let at = at(&net);
        let mut node = net.start(program, net.settings(program, class, host, "a"));
        until("a start", async || listens(&at).await).await;
        let good = node.settings.text();
        let (half, most) = (good.find("firstStart").unwrap() - 4, good.find("[bounds]").unwrap());
        for (text, field, reason) in [
            (good.replace("drainMs = 3000", "drainMs = 0"), "bounds.drainMs", "out of range"),
            (good.replace("\"a\"", "\"a"), "(file)", ""),
            (good[..half].to_string(), "(file)", ""),
            (good[..most].to_string(), "bounds.drainMs", "missing now"),
            (String::new(), "(file)", "is empty"),
        ] {
            // A poll may have judged the file before the signal came: then it is told twice.
            let before = node.said(REFUSED, field);
            std::fs::write(&node.file, text).unwrap();
            node.hang_up();
            until(&format!("{program} refuses: {reason}"), async || {
                node.said(REFUSED, field) > before && node.reason().contains(reason)
            })
            .await;
        }
        std::fs::remove_file(&node.file).unwrap();
        until("a missing file, noticed", async || node.reason().contains("No such file")).await;
        assert!(node.runs(), "{program}");
        node.rewrite(|s| s.seeds = vec!["127.0.0.9:9".into()]);
        until("a mended file, noticed", async || node.said(TAKEN, "seedAddresses") == 1).await;
        node.rewrite(|s| s.name = "other".into());
        until("a field that waits", async || node.said(NEEDS_RESTART, "nodeName") == 1).await;
        node.hang_up();
        until("an answer to a signal", async || node.said(NEEDS_RESTART, "nodeName") == 2).await;
        assert!(node.runs() && listens(&at).await, "{program}");
    }
}

/// A signal that comes while a process is still at the start, reading its settings, doesn't end it.
#[tokio::test]
async fn a_hangup_during_a_slow_start_ends_nothing() {
    let net = Net::new("slow-start");
    for (program, class, host, at) in PROGRAMS {
        let settings = net.settings(program, class, host, "a");
        let text = settings.text();
        let (mut node, mut pipe) = net.start_waiting(program, settings);
        node.hang_up();
        pipe.write_all(text.as_bytes()).unwrap();
        drop(pipe);
        until("a start", async || listens(&at(&net)).await).await;
        node.rewrite(|s| s.drain_ms = 3100);
        until("new settings", async || node.said(TAKEN, "bounds.drainMs") == 1).await;
        assert!(node.runs(), "{program}");
    }
}

async fn status(net: &Net, host: u8) -> Option<CellStatus> {
    let cell = Caller::new(net.network.inner(host, CELL_PORT));
    match cell.call(&CellCall::Status, Duration::from_secs(1)).await {
        Ok(CellReply::Status(t)) => Some(*t),
        _ => None,
    }
}

async fn store_version(net: &Net, host: u8) -> u64 {
    let store = Caller::new(net.network.inner(host, STORE_PORT));
    match store.call(&StoreCall::Status, Duration::from_secs(1)).await {
        Ok(StoreReply::Status { version, .. }) => version,
        _ => 0,
    }
}

/// While stores and the agent stand still, the only cell that they know is replaced by others for good.
/// They, and a cell that no member knows yet, find the system through the new seeds of their files.
#[tokio::test]
async fn new_seeds_lead_back_when_all_old_ones_are_gone() {
    let net = Net::new("seeds");
    let first = net.settings("core-1", "core", 1, "a");
    let mut core = net.start("control-cell", first.clone());
    let mut nodes = start_stores(&net, 10);
    let front_settings = net.settings("front-1", "front", PROXY, "a");
    nodes.push(net.start("feed-agent", front_settings.clone()));
    let mut proxy = net.start("request-proxy", front_settings);
    let front = net.network.front(PROXY);
    until("the first configuration", async || {
        put(&net.network.control(1), 0, &config(3, false)).await == 200
    })
    .await;
    until("readiness", async || ready(&net.network.readiness(PROXY)).await).await;
    for host in 10..13 {
        until("a store set", async || store_version(&net, host).await == 1).await;
    }

    for n in &nodes {
        n.signal(Signal::SIGSTOP);
    }
    // Its links end before it knows of others: nothing of these waits for those that stand still.
    core.kill();
    core = net.start("control-cell", first);
    let mut cells = Vec::new();
    for (host, zone) in [(4, "b"), (5, "c")] {
        let mut settings = net.settings(&format!("core-{host}"), "core", host, zone);
        settings.first_start = false;
        cells.push(net.start("control-cell", settings));
    }
    for host in [4, 5] {
        // One that is still being agreed on may need the first cell's vote.
        until("three voters", async || {
            status(&net, host).await.is_some_and(|t| t.voters.len() == 3 && t.voters_agreed)
        })
        .await;
    }
    core.kill();
    let body = config(4, true);
    until("a change without the first cell", async || {
        put(&net.network.control(4), 3, &body).await == 200
    })
    .await;
    assert_eq!(get(&front, "before", "/n/a").await, 404);

    let seeds = vec![net.network.control(4), net.network.control(5)];
    for n in &mut nodes {
        n.rewrite(|s| s.seeds.clone_from(&seeds));
        n.signal(Signal::SIGCONT);
    }
    // The agent and two stores are told, one store notices by itself.
    nodes.iter().skip(1).for_each(Node::hang_up);
    let mut tries = 0;
    until("the change at the proxy", async || {
        tries += 1;
        !matches!(get(&front, &format!("n{tries}"), "/n/a").await, 0 | 404)
    })
    .await;
    let mut late = net.settings("store-13", "storage", 13, "a");
    (late.first_start, late.seeds) = (false, seeds.clone());
    nodes.push(net.start("turn-store", late));
    for host in 10..14 {
        until("the next store set", async || store_version(&net, host).await >= 2).await;
    }

    let mut lost = net.settings("core-6", "core", 6, "a");
    lost.first_start = false;
    let mut lost = net.start("control-cell", lost);
    until("its start", async || status(&net, 6).await.is_some()).await;
    lost.rewrite(|s| s.seeds.clone_from(&seeds));
    lost.hang_up();
    until("the cell to be taken in", async || {
        status(&net, 6).await.is_some_and(|t| t.members.iter().any(|m| m == "core-6"))
    })
    .await;
    assert!(nodes.iter_mut().chain([&mut proxy, &mut lost]).all(Node::runs));
}
