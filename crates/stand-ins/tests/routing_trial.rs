//! A routing trial over real sockets: a cell, three stores, an agent and two proxies, against stand-ins.
use internal_protocol::prelude::*;
use request_proxy::Running;
use routing_trial::prelude::{arm_of, Arm, Breach};
use stand_ins::prelude::*;
use std::sync::LazyLock;
use trial_tool::prelude::{ask_cells, CellReply, TrialReport, TrialRequest};

static NET: LazyLock<Network> = LazyLock::new(|| Network::new("trial"));

const CORE: u8 = 1;
const FRONTS: [u8; 2] = [30, 31];

fn settings(name: &str, class: &str, host: u8, zone: &str, cloud: SocketAddr) -> NodeSettings {
    let (zones, seeds) = (&["a", "b", "c"], &[CORE]);
    NET.settings(&Machine { name, class, host, zone, zones, seeds, cloud })
}

fn config() -> String {
    serde_json::json!({"configVersion": 3, "routeTable": [
        {"name": "turns", "hostName": "h.example", "pathPrefix": "/t/", "routeKind": "streaming",
            "timeoutMs": 6000, "targetLatencyMs": 5000, "priorityLevel": 1, "serviceName": "llm",
            "maxAttempts": 2, "retained": true, "retentionS": 60.0, "stickySessions": true}],
        "serviceTable": [{"name": "llm", "healthPath": "/health", "connectionLimit": 64,
            "engine": {"slotCount": 4, "cacheTokens": 100000, "eventStride": 2,
                "models": [{"name": "m"}]}}]})
    .to_string()
}

fn trial_file(dir: &Path, id: &str) -> String {
    let text = format!(
        "id = \"{id}\"\nname = \"over sockets\"\nshare = 0.5\n[control]\nname = \"current\"\n\
         [candidate]\nname = \"stays\"\nstayMs = 90\n[test]\nleadInMs = 0\n\
         [guardrail]\nprotectedPriority = 1\nbroken = \"zero\"\n"
    );
    let file = dir.join(format!("{id}.toml"));
    std::fs::write(&file, text).unwrap();
    file.display().to_string()
}

/// Asks again until the answer is as wanted; each ask waits for an answer, none waits for time.
async fn until(what: &str, mut ok: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !ok().await {
        assert!(Instant::now() < end, "not in time: {what}");
        tokio::task::yield_now().await;
    }
}

async fn turn(front: usize, id: &str, prev: Option<&str>, program: &str) -> Answered {
    let mut h = vec![
        ("host", "h.example"),
        (names::REQUEST_ID, id),
        (names::DEADLINE, "6000"),
        (names::MODEL, "m"),
        (names::TOKENS, "4,10"),
        (names::PREFIX, "aa:4"),
        (names::PROGRAM, program),
        (names::SESSION, program),
        (names::FINISH, "9000"),
        (names::BUDGET, "100000"),
    ];
    if let Some(p) = prev {
        h.push((names::PREVIOUS, p));
    }
    call(&NET.front(FRONTS[front]), "POST", "/t/x", &h, b"said").await.unwrap()
}

async fn status(settings: &NodeSettings) -> Option<Box<TrialReport>> {
    match ask_cells(settings, TrialRequest::Report).await {
        Ok(CellReply::Trial(t)) => t,
        _ => None,
    }
}

fn all_know(proxies: &[Running], key: u64, running: bool) -> bool {
    proxies.iter().all(|p| p.app.trial.known() == Some((key, running)))
}

/// Whether every proxy has the candidate's tuning at hand.
fn all_have_candidate(proxies: &[Running]) -> Vec<bool> {
    proxies.iter().map(|p| p.app.sched.lock().unwrap().trial.is_some()).collect()
}

#[tokio::test]
async fn conversations_keep_their_arm_and_a_guardrail_takes_all_nodes_back() {
    let dir = NET.dir.clone();
    let llm = Engine::start("i-llm", &NET.outside(40)).await.unwrap();
    let row = ("llm".into(), llm.id.clone(), llm.addr.to_string(), "a".into(), "ready".into());
    let cloud = serve_platform(&NET.outside(50), Arc::new(Mutex::new(vec![row]))).await.unwrap();
    let core = settings("core-1", "core", CORE, "a", cloud);
    tokio::spawn(control_cell::run_cell(core.clone()));
    for (i, zone) in (0..).zip(["a", "b", "c"]) {
        let e = settings(&format!("store-{i}"), "storage", 10 + i, zone, cloud);
        tokio::spawn(turn_store::run_store(e));
    }
    // Both proxies are fed by one agent, since the agent's port is that of the machine.
    let fronts = [("front-1", FRONTS[0]), ("front-2", FRONTS[1])]
        .map(|(name, host)| settings(name, "front", host, "a", cloud));
    tokio::spawn(feed_agent::run_agent(fronts[0].clone()));
    let mut proxies = Vec::new();
    for f in fronts {
        proxies.push(request_proxy::start_proxy(f).await.unwrap());
    }
    let h = [("host", "c"), ("if-match", "0"), ("content-type", "application/json")];
    until("the configuration", async || {
        let a = call(&NET.control(CORE), "PUT", "/config", &h, config().as_bytes()).await;
        a.is_some_and(|a| a.status == 200)
    })
    .await;
    for front in 0..2 {
        // Every try has an id of its own.
        let mut n = 0;
        until("engines and stores", async || {
            n += 1;
            turn(front, &format!("z{front}-{n}"), None, "none").await.status == 200
        })
        .await;
    }
    assert!(status(&core).await.is_none());
    assert_eq!(trial_tool::stop(&core, false).await.unwrap(), 1, "nothing to stop");

    // Conversations that began before the trial stay out of it.
    for i in 0..8 {
        assert_eq!(turn(i % 2, &format!("o{i}"), None, &format!("old{i}")).await.status, 200);
    }
    let file = trial_file(&dir, "one");
    assert_eq!(trial_tool::check(&file), 0);
    assert_eq!(trial_tool::start(&core, &file).await.unwrap(), 0);
    assert_eq!(trial_tool::start(&core, &file).await.unwrap(), 1, "one runs");
    let key = status(&core).await.unwrap().record.key();
    until("both proxies to know", async || all_know(&proxies, key, true)).await;
    for i in 0..8 {
        let (id, prev) = (format!("o{i}-2"), format!("o{i}"));
        assert_eq!(turn(i % 2, &id, Some(&prev), &format!("old{i}")).await.status, 200);
    }
    // New ones have a first turn at one proxy, the next at the other, and a helper at the first.
    let mut want = [(0u64, 0u64); 2];
    let programs: Vec<String> = (0..12).map(|i| format!("new{i}")).collect();
    for (i, p) in programs.iter().enumerate() {
        let w = &mut want[arm_of(key, p, 0.5).index()];
        *w = (w.0 + 1, w.1 + 3);
        let first = format!("{p}-1");
        assert_eq!(turn(i % 2, &first, None, p).await.status, 200);
        assert_eq!(turn((i + 1) % 2, &format!("{p}-2"), Some(&first), p).await.status, 200);
        assert_eq!(turn(i % 2, &format!("{p}-h"), Some(&first), p).await.status, 200);
    }
    assert!(want.iter().all(|w| w.0 > 0), "both arms have conversations: {want:?}");
    let seen = async || {
        let e = status(&core).await.unwrap().evidence;
        [(e.conversations[0], e.turns[0]), (e.conversations[1], e.turns[1])]
    };
    until("all outcomes at the cell", async || seen().await == want).await;
    assert_eq!(status(&core).await.unwrap().evidence.nodes, 2);
    assert_eq!(all_have_candidate(&proxies), [true, true]);

    // A protected stream breaks off on the candidate: every node goes back.
    let on = |arm: Arm| programs.iter().find(|p| arm_of(key, p, 0.5) == arm).unwrap().clone();
    let p = on(Arm::Candidate);
    llm.be(Mood::Cut);
    assert!(!turn(1, "cut", Some(&format!("{p}-2")), &p).await.whole);
    until("all proxies back", async || all_know(&proxies, key, false)).await;
    assert_eq!(all_have_candidate(&proxies), [false, false]);
    let t = status(&core).await.unwrap();
    let Verdict::Guardrail(Breach::Broken { counts, .. }) = &t.verdict else {
        panic!("{:?}", t.verdict);
    };
    assert_eq!((counts[0].0, counts[1].0), (0, 1));
    assert_eq!(t.evidence.conversations, [want[0].0, want[1].0]);
    assert_eq!(trial_tool::verdict(&core, true, None).await.unwrap(), 12);
    assert_eq!(turn(0, "on", Some(&format!("{p}-2")), &p).await.status, 200, "it goes on");

    // Another may begin at once. Stopped in order, its conversations finish on their arm.
    assert_eq!(trial_tool::start(&core, &trial_file(&dir, "two")).await.unwrap(), 0);
    let key = status(&core).await.unwrap().record.key();
    until("both to know the second", async || all_know(&proxies, key, true)).await;
    assert_eq!(turn(0, "s1", None, "second").await.status, 200);
    until("its outcome", async || seen().await.iter().map(|s| s.1).sum::<u64>() == 1).await;
    let plot = dir.join("plot.svg").display().to_string();
    assert_eq!(trial_tool::verdict(&core, false, Some(&plot)).await.unwrap(), 14);
    assert!(std::fs::read_to_string(&plot).unwrap().starts_with("<svg"));
    assert_eq!(trial_tool::stop(&core, false).await.unwrap(), 0);
    until("both to know its end", async || all_know(&proxies, key, false)).await;
    assert_eq!(all_have_candidate(&proxies), [true, true], "arms are kept");
    assert_eq!(turn(1, "s2", Some("s1"), "second").await.status, 200);
    assert_eq!(seen().await.iter().map(|s| s.1).sum::<u64>(), 1, "what comes after doesn't count");
    assert_eq!(trial_tool::start(&core, &trial_file(&dir, "three")).await.unwrap(), 1, "it drains");
    assert_eq!(trial_tool::watch(&core, Duration::from_secs(1)).await.unwrap(), 13);
    let _ = std::fs::remove_dir_all(&dir);
}
