//! The whole path over real sockets: a cell, three stores, an agent and a proxy, against stand-ins of
//! the engines, the platform's list, the operator and clients.
use stand_ins::prelude::*;
use std::sync::LazyLock;

static NET: LazyLock<Network> = LazyLock::new(|| Network::new("whole"));

const CORE: u8 = 1;
const FRONT: u8 = 30;

fn settings(name: &str, class: &str, host: u8, zone: &str, cloud: SocketAddr) -> NodeSettings {
    let (zones, seeds) = (&["a", "b", "c"], &[CORE]);
    NET.settings(&Machine { name, class, host, zone, zones, seeds, cloud })
}

fn config(version: u64, extra: bool) -> String {
    let mut routes = vec![
        serde_json::json!({"name": "turns", "hostName": "h.example", "pathPrefix": "/t/",
            "routeKind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 200, "priorityLevel": 1,
            "serviceName": "llm", "maxAttempts": 2, "retained": true, "retentionS": 60.0,
            "stickySessions": true, "targetGapMs": 400}),
        serde_json::json!({"name": "reads", "hostName": "h.example", "pathPrefix": "/r/",
            "routeKind": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 100, "priorityLevel": 2,
            "serviceName": "app", "maxAttempts": 2}),
        serde_json::json!({"name": "writes", "hostName": "h.example", "pathPrefix": "/w/",
            "routeKind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 100,
            "priorityLevel": 2, "serviceName": "app", "maxAttempts": 2}),
    ];
    if extra {
        routes
            .push(serde_json::json!({"name": "new", "hostName": "h.example", "pathPrefix": "/n/",
            "routeKind": "idempotent", "timeoutMs": 3000, "serviceName": "app"}));
    }
    serde_json::json!({"configVersion": version, "routeTable": routes, "serviceTable": [
        {"name": "llm", "healthPath": "/health", "connectionLimit": 64,
         "engine": {"slotCount": 4, "cacheTokens": 100000, "eventStride": 2, "models": [{"name": "m"}]}},
        {"name": "app", "healthPath": "/health", "connectionLimit": 64}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000}})
    .to_string()
}

/// Asks again until the answer is as wanted; each ask waits for an answer, none waits for time.
async fn until(what: &str, mut ok: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !ok().await {
        assert!(Instant::now() < end, "not in time: {what}");
        tokio::task::yield_now().await;
    }
}

async fn put(version: u64, base: u64, body: &str) -> u16 {
    let base = base.to_string();
    let h = [("host", "c"), ("if-match", base.as_str()), ("content-type", "application/json")];
    let _ = version;
    call(&NET.control(CORE), "PUT", "/config", &h, body.as_bytes()).await.map_or(0, |a| a.status)
}

async fn turn(id: &str, prev: Option<&str>, most: &str, budget: &str, body: &[u8]) -> Answered {
    turn_of("line", id, prev, most, budget, body).await
}

async fn turn_of(
    line: &str,
    id: &str,
    prev: Option<&str>,
    most: &str,
    budget: &str,
    body: &[u8],
) -> Answered {
    let counts = format!("{},{most}", body.len());
    let prefix = format!("aa:{}", body.len());
    let mut h = vec![
        ("host", "h.example"),
        (names::REQUEST_ID, id),
        (names::DEADLINE, "6000"),
        (names::MODEL, "m"),
        (names::TOKENS, counts.as_str()),
        (names::PREFIX, prefix.as_str()),
        (names::PROGRAM, "prog"),
        (names::SESSION, line),
        (names::FINISH, "9000"),
        (names::BUDGET, budget),
    ];
    if let Some(p) = prev {
        h.push((names::PREVIOUS, p));
    }
    call(&NET.front(FRONT), "POST", "/t/x?q=1", &h, body).await.unwrap()
}

async fn plain(id: &str, method: &str, path: &str, body: &[u8]) -> Answered {
    let h = [("host", "h.example"), (names::REQUEST_ID, id), (names::DEADLINE, "3000")];
    call(&NET.front(FRONT), method, path, &h, body).await.unwrap()
}

async fn system() -> (Engine, [Engine; 2], request_proxy::Running) {
    let llm = Engine::start("i-llm", &NET.outside(40)).await.unwrap();
    let a = Engine::start("i-a", &NET.outside(41)).await.unwrap();
    let b = Engine::start("i-b", &NET.outside(42)).await.unwrap();
    let row = |s: &str, e: &Engine, zone: &str| {
        (s.to_string(), e.id.clone(), e.addr.to_string(), zone.to_string(), "ready".to_string())
    };
    let list =
        Arc::new(Mutex::new(vec![row("llm", &llm, "a"), row("app", &a, "a"), row("app", &b, "a")]));
    let cloud = serve_platform(&NET.outside(50), list).await.unwrap();
    tokio::spawn(control_cell::run_cell(settings("core-1", "core", CORE, "a", cloud)));
    for (i, zone) in (0..).zip(["a", "b", "c"]) {
        let name = format!("store-{i}");
        tokio::spawn(turn_store::run_store(settings(&name, "storage", 10 + i, zone, cloud)));
    }
    // Of the cohort that goes on taking what it can finish until its grace is over.
    let front = settings("front-2", "front", FRONT, "a", cloud);
    tokio::spawn(feed_agent::run_agent(front.clone()));
    (llm, [a, b], request_proxy::start_proxy(front).await.unwrap())
}

#[tokio::test]
async fn the_whole_path_keeps_its_promises() {
    let (llm, apps, proxy) = system().await;

    // The operator.
    until("the first configuration", async || put(3, 0, &config(3, false)).await == 200).await;
    assert_eq!(put(3, 0, &config(3, false)).await, 200, "sent again unchanged");
    assert_eq!(put(4, 0, &config(4, true)).await, 412, "built on an older one");
    assert_eq!(put(2, 3, &config(2, true)).await, 400, "not above");
    assert_eq!(put(5, 3, "{\"configVersion\": 5").await, 400, "cut short");
    let bad = config(5, true).replace("\"app\",\"timeoutMs\"", "\"none\",\"timeoutMs\"");
    assert_eq!(put(5, 3, &bad).await, 400, "an unknown service");
    let got = call(&NET.control(CORE), "GET", "/config", &[("host", "c")], b"").await.unwrap();
    assert_eq!((got.status, got.body), (200, config(3, false).into_bytes()));
    for (m, p, want) in
        [("DELETE", "/config", 405), ("GET", "/odd", 404), ("POST", "/retire/none", 404)]
    {
        assert_eq!(
            call(&NET.control(CORE), m, p, &[("host", "c")], b"").await.unwrap().status,
            want,
            "{m} {p}"
        );
    }

    until("readiness", async || {
        let a = call(&NET.readiness(FRONT), "GET", "/readiness", &[("host", "x")], b"").await;
        a.is_some_and(|a| a.status == 200)
    })
    .await;
    // Every try has an id of its own.
    let mut n = 0;
    until("engines and stores", async || {
        n += 1;
        turn(&format!("t0-{n}"), None, "10", "100000", b"zero").await.status == 200
    })
    .await;

    // Turns: the chain is put together exactly, also where a line forks.
    let a = turn("t1", None, "10", "100000", b"one").await;
    assert_eq!((a.status, a.whole), (200, true));
    assert_eq!(a.headers.get(names::STAMP).unwrap(), "stamp-i-llm");
    assert_eq!(turn("t2", Some("t1"), "10", "100000", b"two").await.status, 200);
    assert_eq!(turn("t3", Some("t2"), "10", "100000", b"three").await.status, 200);
    assert_eq!(turn("t4", Some("t1"), "10", "100000", b"fork").await.status, 200);
    let said = "alpha beta\ngamma\ndelta\n";
    let body_of = |id: &str| {
        let r = llm.runs().into_iter().find(|r| r.request_id == id).unwrap();
        assert_eq!(r.path, "/t/x?q=1");
        String::from_utf8(r.body).unwrap()
    };
    assert_eq!(body_of("t1"), "one");
    assert_eq!(body_of("t3"), format!("one{said}two{said}three"));
    assert_eq!(body_of("t4"), format!("one{said}fork"));
    assert_eq!(turn("t5", Some("nobody"), "10", "100000", b"x").await.status, 404);

    // A turn that was cut isn't complete, doesn't count, and goes again under another id.
    llm.be(Mood::Cut);
    assert!(!turn("t6", Some("t3"), "10", "100000", b"six").await.whole);
    assert_eq!(turn("t7", Some("t6"), "10", "100000", b"x").await.status, 404);
    assert_eq!(turn("t8", Some("t3"), "10", "100000", b"six").await.status, 200);

    // What engines do wrong.
    llm.be(Mood::Mixed);
    assert_eq!(turn("t9", None, "10", "100000", b"x").await.status, 502);
    llm.be(Mood::Unstamped);
    assert_eq!(turn("t10", None, "10", "100000", b"x").await.status, 502);
    llm.be(Mood::Full);
    let a = turn("t11", None, "10", "100000", b"x").await;
    assert_eq!(a.status, 503);
    assert!(a.headers.contains_key("retry-after"));
    assert!(!llm.runs().iter().any(|r| r.request_id == "t11"), "a promise");

    // The allowance: six whole turns of six tokens, one cut after at most two events.
    assert_eq!(turn("t12", None, "60", "90", b"x").await.status, 402);
    assert!(!llm.runs().iter().any(|r| r.request_id == "t12"));
    assert_eq!(turn("t13", None, "40", "90", b"x").await.status, 200);

    // Calls. What can't be repeated runs once, whatever happens to its answer.
    assert_eq!(plain("r1", "GET", "/r/a?b=c", b"").await.status, 200);
    assert_eq!(plain("w1", "POST", "/w/a", b"note").await.status, 200);
    assert_eq!(plain("n1", "GET", "/n/a", b"").await.status, 404, "no way yet");
    let runs = |id: &str| apps.iter().flat_map(|e| e.runs()).filter(|r| r.request_id == id).count();
    for (i, mood) in [Mood::Reset, Mood::Mixed, Mood::Unstamped].into_iter().enumerate() {
        apps.iter().for_each(|e| e.be(mood));
        let id = format!("w-{i}");
        assert_eq!(plain(&id, "POST", "/w/a", b"note").await.status, 502, "{mood:?}");
        assert_eq!(runs(&id), 1, "{mood:?}");
        // The other engine still has its mood: a repeatable call meets it and goes on.
        assert_eq!(plain(&format!("r-{i}"), "GET", "/r/a", b"").await.status, 200, "{mood:?}");
        apps.iter().for_each(|e| e.moods.lock().unwrap().clear());
    }
    apps.iter().for_each(|e| e.be(Mood::Full));
    assert_eq!(plain("w9", "POST", "/w/a", b"note").await.status, 503);
    assert_eq!(runs("w9"), 0);
    apps.iter().for_each(|e| e.moods.lock().unwrap().clear());
    // A lost answer: a second engine answers long before the deadline.
    let began = Instant::now();
    apps[0].be(Mood::Silent);
    let mut left = 8;
    while left > 0 && !apps[0].moods.lock().unwrap().is_empty() {
        assert_eq!(plain(&format!("q{left}"), "GET", "/r/a", b"").await.status, 200);
        left -= 1;
    }
    assert!(began.elapsed() < Duration::from_millis(2500));
    // Too large, and not readable.
    assert_eq!(plain("b1", "POST", "/w/a", &vec![1; 100_001]).await.status, 413);
    let h = [("host", "h.example"), (names::DEADLINE, "3000")];
    assert_eq!(call(&NET.front(FRONT), "GET", "/r/a", &h, b"").await.unwrap().status, 400);

    // Forms that smuggle a request inside another: refused and closed, or framed anew so that nothing
    // inside is taken for a request.
    let head = |id: &str, framing: &str| {
        format!("POST /w/s HTTP/1.1\r\nHost: h.example\r\nX-Spokebank-Request-Id: {id}\r\n{framing}\r\n\r\n")
    };
    let inner = "GET /r/inner HTTP/1.1\r\nHost: h.example\r\nX-Spokebank-Request-Id: inner\r\n\r\n";
    for (i, framing) in [
        "Content-Length: 5\r\nContent-Length: 6",
        "Content-Length: +5",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked, identity",
    ]
    .iter()
    .enumerate()
    {
        let got = raw(
            &NET.front(FRONT),
            format!("{}{inner}", head(&format!("s{i}"), framing)).as_bytes(),
        )
        .await;
        let got = String::from_utf8(got.unwrap()).unwrap();
        assert!(got.starts_with("HTTP/1.1 400"), "{framing}: {got}");
        assert_eq!(got.matches("HTTP/1.1").count(), 1, "{framing}");
    }
    let both = head("s9", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\nConnection: close");
    let n = inner.len();
    raw(&NET.front(FRONT), format!("{both}{n:x}\r\n{inner}\r\n0\r\n\r\n").as_bytes())
        .await
        .unwrap();
    let inside = apps.iter().flat_map(|e| e.runs()).find(|r| r.request_id == "s9").unwrap();
    assert_eq!(inside.body, inner.as_bytes());
    assert_eq!(runs("inner"), 0);

    // The dispatcher decides: the engine has room for all of these, but four attempts of a line that may
    // still run hold its slots. Another line of the program goes.
    for i in 0..4 {
        llm.be(Mood::Cut);
        let a = turn_of("slots", &format!("k{i}"), None, "10", "100000", b"x").await;
        assert!(a.status == 200 && !a.whole, "a closed connection proves no stop");
    }
    let a = turn_of("slots", "k4", None, "10", "100000", b"x").await;
    assert_eq!(a.status, 503);
    assert!(a.headers.contains_key("retry-after"));
    assert!(!llm.runs().iter().any(|r| r.request_id == "k4"), "a promise");
    assert_eq!(turn_of("other", "k5", None, "10", "100000", b"x").await.status, 200);
    // An attempt is claimed once: its id again is refused, and nothing runs.
    assert_eq!(turn_of("other", "k5", None, "10", "100000", b"x").await.status, 503);
    assert_eq!(llm.runs().iter().filter(|r| r.request_id == "k5").count(), 1);

    // News of a configuration reaches the proxy, and old ways stay.
    assert_eq!(put(9, 3, &config(9, true)).await, 200);
    until("the new way", async || plain("n2", "GET", "/n/a", b"").await.status == 200).await;
    assert_eq!(plain("r8", "GET", "/r/a", b"").await.status, 200);

    // Taken out of service while a turn is being answered.
    llm.be(Mood::Held);
    let speaking = tokio::spawn(async { turn("d1", Some("t3"), "10", "100000", b"last").await });
    until("the turn to run", async || llm.runs().iter().any(|r| r.request_id == "d1")).await;
    let app = proxy.app.clone();
    let end = tokio::spawn(async move {
        request_proxy::life::end_in_order(&app, proxy.serving, Duration::from_secs(8)).await;
    });
    until("unready", async || {
        let a = call(&NET.readiness(FRONT), "GET", "/readiness", &[("host", "x")], b"").await;
        a.is_some_and(|a| a.status == 503)
    })
    .await;
    // What the entry still sends is served, one answer a connection.
    let a = plain("d2", "GET", "/r/a", b"").await;
    assert_eq!((a.status, a.headers.get("connection").unwrap().as_bytes()), (200, &b"close"[..]));
    let began = Instant::now();
    until("idle connections to be closed in order", async || {
        began.elapsed() > Duration::from_millis(2100)
            && proxy.app.life() == request_proxy::prelude::LifeState::closing_now()
    })
    .await;
    assert_eq!(plain("d3", "POST", "/w/a", b"late note").await.status, 200);
    assert_eq!(runs("d3"), 1);
    assert!(!end.is_finished(), "an answer is still being spoken");
    llm.release.notify_one();
    let a = speaking.await.unwrap();
    assert_eq!((a.status, a.whole), (200, true));
    end.await.unwrap();
    assert!(call(&NET.front(FRONT), "GET", "/r/a", &[("host", "h.example")], b"").await.is_none());
    assert_eq!(llm.runs().iter().filter(|r| r.request_id == "d1").count(), 1);
    let _ = std::fs::remove_dir_all(&NET.dir);
}
