//! Machines that get SIGTERM while clients go on asking, over real processes: what can't end before the
//! process is refused and reaches no engine, what can is answered whole, and agent and proxy end in order.
// Other tests use the rest of it.
#[allow(dead_code)]
mod support;

use nix::sys::signal::Signal;
use stand_ins::prelude::*;
use support::{until, Net, Node};

const PROXY: u8 = 30;
const CONFIG: &str = r#"{"configVersion": 1, "routeTable": [
    {"name": "turns", "hostName": "h.example", "pathPrefix": "/t/", "routeKind": "streaming",
     "timeoutMs": 30000, "serviceName": "llm", "maxAttempts": 2, "retained": true,
     "retentionS": 60.0, "stickySessions": true},
    {"name": "calls", "hostName": "h.example", "pathPrefix": "/c/", "routeKind": "non_idempotent",
     "timeoutMs": 30000, "serviceName": "app", "maxAttempts": 2}],
    "serviceTable": [
    {"name": "llm", "healthPath": "/health", "connectionLimit": 64, "engine":
     {"slotCount": 4, "cacheTokens": 100000, "eventStride": 2, "models": [{"name": "m"}]}},
    {"name": "app", "healthPath": "/health", "connectionLimit": 64}]}"#;

async fn ask(front: &str, path: &str, id: &str, deadline_ms: u32) -> Option<Answered> {
    let deadline = deadline_ms.to_string();
    let mut head = vec![
        ("host", "h.example"),
        (names::REQUEST_ID, id),
        (names::DEADLINE, deadline.as_str()),
        (names::PROGRAM, "prog"),
        (names::SESSION, id),
    ];
    if path.starts_with("/t/") {
        let turn = [(names::MODEL, "m"), (names::TOKENS, "5,10"), (names::PREFIX, "aa:5")];
        head.extend(turn);
        head.extend([(names::FINISH, "60000"), (names::BUDGET, "100000")]);
    }
    call(front, "POST", path, &head, b"hello").await
}

async fn ready(readiness: &str) -> bool {
    let answer = call(readiness, "GET", "/readiness", &[("host", "x")], b"").await;
    answer.is_some_and(|a| a.status == 200)
}

#[tokio::test]
async fn a_leaving_machine_takes_what_it_can_finish_and_refuses_the_rest() {
    let net = Net::new("leaving");
    let llm = Engine::start("i-llm", &format!("{}:0", net.network.ip(40))).await.unwrap();
    let app = Engine::start("i-app", &format!("{}:0", net.network.ip(41))).await.unwrap();
    let row = |service: &str, e: &Engine| {
        (service.to_string(), e.id.clone(), e.addr.to_string(), "a".into(), "ready".into())
    };
    let list = Arc::new(Mutex::new(vec![row("llm", &llm), row("app", &app)]));
    let mut core = net.settings("core-1", "core", 1, "a");
    core.cloud =
        serve_platform(&format!("{}:0", net.network.ip(50)), list).await.unwrap().to_string();
    let mut nodes = vec![net.start("control-cell", core)];
    for (zone, host) in ["a", "b", "c"].iter().zip(10..) {
        let store = net.settings(&format!("store-{host}"), "storage", host, zone);
        nodes.push(net.start("turn-store", store));
    }
    let machine = net.settings("front-1", "front", PROXY, "a");
    let mut agent = net.start("feed-agent", machine.clone());
    let mut proxy = net.start("request-proxy", machine);
    let (front, readiness) = (net.network.front(PROXY), net.network.readiness(PROXY));
    let head = [("host", "c"), ("if-match", "0"), ("content-type", "application/json")];
    until("the configuration", async || {
        let put = call(&net.network.control(1), "PUT", "/config", &head, CONFIG.as_bytes()).await;
        put.is_some_and(|a| a.status == 200)
    })
    .await;
    until("readiness", async || ready(&readiness).await).await;
    let mut tries = 0;
    until("engines and stores", async || {
        tries += 1;
        let (turn, call) = (format!("t{tries}"), format!("c{tries}"));
        ask(&front, "/t/x", &turn, 5000).await.is_some_and(|a| a.status == 200)
            && ask(&front, "/c/x", &call, 5000).await.is_some_and(|a| a.status == 200)
    })
    .await;

    llm.be(Mood::Held);
    let asked = front.clone();
    let held = tokio::spawn(async move { ask(&asked, "/t/x", "held", 30_000).await.unwrap() });
    until("the turn to run", async || llm.runs().iter().any(|r| r.request_id == "held")).await;
    // The agent first, so that it has to stay for its proxy.
    agent.signal(Signal::SIGTERM);
    proxy.signal(Signal::SIGTERM);
    until("unready", async || !ready(&readiness).await).await;

    // Too few of either were seen here to know better than their deadlines.
    for (path, id) in [("/t/x", "long-turn"), ("/c/x", "long-call")] {
        let answer = ask(&front, path, id, 29_000).await.unwrap();
        assert_eq!((answer.status, answer.whole), (503, true), "{id}");
        let retry_after = answer.headers.get("retry-after").unwrap().to_str().unwrap();
        assert!(retry_after.parse::<f64>().unwrap() > 0.0, "{id}");
        assert_eq!(answer.headers.get("connection").unwrap(), "close", "{id}");
    }
    for (path, id) in [("/t/x", "short-turn"), ("/c/x", "short-call")] {
        let answer = ask(&front, path, id, 2000).await.unwrap();
        assert_eq!((answer.status, answer.whole), (200, true), "{id}");
    }
    // The id that was refused holds nothing: what it may have claimed has been given back.
    let again = ask(&front, "/t/x", "long-turn", 2000).await.unwrap();
    assert_eq!((again.status, again.whole), (200, true));
    assert!(proxy.runs() && agent.runs() && !held.is_finished());
    llm.release.notify_one();
    let answer = held.await.unwrap();
    assert_eq!((answer.status, answer.whole), (200, true));
    until("both to end", async || !proxy.runs() && !agent.runs()).await;
    let runs = |e: &Engine, id: &str| e.runs().iter().filter(|r| r.request_id == id).count();
    assert_eq!((runs(&llm, "held"), runs(&llm, "short-turn"), runs(&app, "short-call")), (1, 1, 1));
    assert_eq!((runs(&llm, "long-turn"), runs(&app, "long-call")), (1, 0), "the second try alone");
    assert!(nodes.iter_mut().all(Node::runs));
}
