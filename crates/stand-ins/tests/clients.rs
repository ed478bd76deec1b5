//! The client's side: answers in order and to the right caller, clients that go away, idle connections.
mod support;

use stand_ins::prelude::*;
use support::{until, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn engine(id: &str) -> ScriptedEngine {
    ScriptedEngine::start(id, "127.0.0.1:0").await.unwrap()
}

async fn proxy_of(name: &str, engines: &[&ScriptedEngine]) -> Proxy {
    let known: Vec<(&str, SocketAddr)> = engines.iter().map(|e| (&*e.id, e.addr)).collect();
    Proxy::start(name, &known).await
}

fn request(path: &str, id: &str, more: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Spokebank-Request-Id: {id}\r\n\
         X-Spokebank-Deadline-Ms: 3000\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads from a client's connection until this text has come.
async fn read_until(client: &mut TcpStream, text: &str) -> String {
    let mut got = Vec::new();
    loop {
        let so_far = String::from_utf8_lossy(&got).into_owned();
        if so_far.contains(text) {
            return so_far;
        }
        let n = client.read_buf(&mut got).await.unwrap();
        assert!(n > 0, "{text:?} never came: {so_far}");
    }
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order_each_with_its_own_id() {
    let e = engine("i-a").await;
    let p = proxy_of("pipelined", &[&e]).await;
    let all = [
        request("/w/a", "p1", "", "one"),
        request("/r/a", "p2", "", "two"),
        request("/none/a", "p3", "", "three"),
        request("/w/a", "p4", "Connection: close\r\n", "four"),
    ];
    let got = raw(&p.front, all.concat().as_bytes()).await.unwrap();
    let got = String::from_utf8(got).unwrap();
    let answers: Vec<&str> = got.split("HTTP/1.1 ").skip(1).collect();
    assert_eq!(answers.len(), 4, "{got}");
    for (i, (status, body)) in
        [("200", "one"), ("200", "two"), ("404", "no route"), ("200", "four")].iter().enumerate()
    {
        assert!(answers[i].starts_with(status), "{got}");
        assert!(answers[i].contains(&format!("p{}\r\n", i + 1)), "{got}");
        assert!(answers[i].contains(body), "{got}");
    }
}

#[tokio::test]
async fn a_second_request_waits_until_the_first_one_s_stream_has_ended() {
    let e = engine("i-a").await;
    let event = |n: u32| format!("f\r\nid: {n}\ndata: x\n\n\r\n");
    let head = "HTTP/1.1 200 OK\r\nX-Spokebank-Request-Id: {id}\r\nX-Spokebank-Server-Stamp: s\r\n\
                Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    e.script(vec![
        Step::Run,
        Step::Say(format!("{head}{}", event(1))),
        Step::Gate,
        Step::Say(format!("{}0\r\n\r\n", event(2))),
    ]);
    let p = proxy_of("during-stream", &[&e]).await;
    let mut client = TcpStream::connect(&p.front).await.unwrap();
    let both = request("/s/a", "s1", "", "x") + &request("/w/a", "w1", "", "after");
    client.write_all(both.as_bytes()).await.unwrap();
    let first = read_until(&mut client, "id: 1").await;
    assert!(!first.contains("id: 2"));
    assert_eq!(e.runs_of("w1"), 0, "the stream is still under way");
    e.gate.add_permits(1);
    let rest = read_until(&mut client, "after").await;
    assert!(rest.find("id: 2").unwrap() < rest.find("w1").unwrap(), "{rest}");
}

#[tokio::test]
async fn when_a_client_goes_away_its_engine_s_call_ends_and_nothing_is_sent_again() {
    for path in ["/w/a", "/r/a", "/s/a"] {
        let e = engine("i-a").await;
        // The read ends with the connection.
        e.script(vec![Step::Run, Step::ReadBytes(1)]);
        let p = proxy_of("gone", &[&e]).await;
        let mut client = TcpStream::connect(&p.front).await.unwrap();
        client.write_all(request(path, "g1", "", "x").as_bytes()).await.unwrap();
        until("the request to run", || e.runs_of("g1") == 1).await;
        drop(client);
        until("the call to end", || e.steps() == 2).await;
        assert_eq!(p.call("g2", "/w/a", b"x").await.status, 200, "{path}");
        assert_eq!((e.runs_of("g1"), e.connections()), (1, 2), "{path}");
    }
}

#[tokio::test]
async fn a_request_cut_short_by_its_client_reaches_no_engine() {
    let e = engine("i-a").await;
    let p = proxy_of("half", &[&e]).await;
    let mut client = TcpStream::connect(&p.front).await.unwrap();
    let whole = request("/w/a", "h1", "", "a body");
    client.write_all(&whole.as_bytes()[..whole.len() - 2]).await.unwrap();
    client.shutdown().await.unwrap();
    let mut rest = Vec::new();
    let _ = client.read_to_end(&mut rest).await;
    assert!(!rest.starts_with(b"HTTP/1.1 2"));
    assert_eq!(p.call("h2", "/w/a", b"x").await.status, 200);
    assert_eq!(e.runs_of("h1"), 0);
}

/// Whether the proxy still answers on a client's connection.
async fn serves(client: &mut TcpStream, id: &str) -> bool {
    if client.write_all(request("/w/a", id, "", "x").as_bytes()).await.is_err() {
        return false;
    }
    let mut got = vec![0; 4096];
    matches!(client.read(&mut got).await, Ok(n) if got[..n].starts_with(b"HTTP/1.1 200"))
}

#[tokio::test]
async fn a_longer_idle_time_holds_at_once_also_for_connections_that_rest() {
    let e = engine("i-a").await;
    let p = proxy_of("idle", &[&e]).await;
    p.configure(2, 300);
    let mut rested = TcpStream::connect(&p.front).await.unwrap();
    assert!(serves(&mut rested, "i1").await);
    let mut fresh = TcpStream::connect(&p.front).await.unwrap();
    until("both to be taken", || true).await;
    p.configure(3, 15_000);
    // By another proxy's clock the old idle time has passed twice.
    let other = proxy_of("idle-clock", &[&e]).await;
    other.configure(2, 300);
    for _ in 0..2 {
        let mut clock = TcpStream::connect(&other.front).await.unwrap();
        let mut end = Vec::new();
        let _ = clock.read_to_end(&mut end).await;
    }
    assert!(serves(&mut rested, "i2").await, "rested for less than the idle time in force");
    assert!(serves(&mut fresh, "i3").await, "opened before, never used");
}

#[tokio::test(start_paused = true)]
async fn a_shorter_idle_time_holds_from_a_connection_s_next_request_on() {
    let e = engine("i-a").await;
    let p = proxy_of("idle-less", &[&e]).await;
    let mut client = TcpStream::connect(&p.front).await.unwrap();
    assert!(serves(&mut client, "j1").await);
    p.configure(2, 300);
    let other = proxy_of("idle-less-clock", &[&e]).await;
    other.configure(2, 300);
    for _ in 0..2 {
        let mut clock = TcpStream::connect(&other.front).await.unwrap();
        let mut end = Vec::new();
        let _ = clock.read_to_end(&mut end).await;
    }
    assert!(serves(&mut client, "j2").await, "its client may still count on the longer time");
    let began = tokio::time::Instant::now();
    let mut end = Vec::new();
    let _ = client.read_to_end(&mut end).await;
    assert!(end.is_empty() && began.elapsed() < Duration::from_secs(3));
}

/// What an engine does on one connection, drawn: whole answers, two at once, resets and cuts anywhere,
/// refusals with an id, and stray refusals and stray successes where another answer is due.
fn drawn(rng: &mut fastrand::Rng) -> Vec<Step> {
    let mut steps = vec![Step::Run, Step::Echo];
    for _ in 0..rng.usize(0..4) {
        let id = "X-Spokebank-Request-Id: {id}\r\n";
        let not_run = "X-Spokebank-Not-Run: 1\r\n";
        let two = success("first") + &success("second");
        match rng.u8(0..9) {
            0 => steps.extend([Step::Run, Step::Echo, Step::Say(success("surplus"))]),
            1 => steps.extend([Step::Run, Step::Say(answer(503, not_run, "")), Step::Echo]),
            2 => steps.extend([Step::Run, Step::Say(answer(421, "", "")), Step::Echo]),
            3 => steps.extend([Step::Read, Step::Say(answer(503, &format!("{id}{not_run}"), ""))]),
            4 => steps.extend([Step::Run, Step::Reset]),
            5 => steps.extend([Step::Run, Step::Say(success("cut")[..70].into()), Step::Close]),
            6 => steps.extend([Step::Run, Step::Say(two.replace("{id}", "nobody"))]),
            7 => steps.extend([Step::Run, Step::Echo, Step::Close]),
            _ => steps.extend([Step::Run, Step::Echo]),
        }
    }
    steps
}

/// What one client saw of its requests.
async fn talk(front: String, client: usize, engines: Vec<ScriptedEngine>) -> [usize; 2] {
    let mut rng = fastrand::Rng::with_seed(client as u64);
    let mut came = [0, 0];
    for n in 0..40 {
        let (id, body) = (format!("c{client}-{n}"), format!("of client {client}, number {n}"));
        let repeatable = rng.bool();
        let path = if repeatable { "/r/a" } else { "/w/a" };
        let headers = [("host", "h.example"), (names::REQUEST_ID, &*id), (names::DEADLINE, "3000")];
        let got = call(&front, "POST", path, &headers, body.as_bytes()).await.unwrap();
        assert_eq!(got.headers.get(names::REQUEST_ID).unwrap(), &*id);
        let runs: usize = engines.iter().map(|e| e.runs_of(&id)).sum();
        match got.status {
            200 => {
                came[0] += 1;
                assert_eq!(String::from_utf8_lossy(&got.body), body, "{id}: another's answer");
                assert!(runs >= 1);
            }
            503 if !repeatable => assert_eq!(runs, 0, "{id}: a promise"),
            502 | 503 => came[1] += 1,
            other => panic!("{id}: {other}"),
        }
        if !repeatable {
            assert!(runs <= 1, "{id} ran {runs} times");
        }
        // Two engines at most; a kept connection that was forgotten may be replaced once at each.
        let each: Vec<usize> = engines.iter().map(|e| e.runs_of(&id)).collect();
        assert!(each.iter().filter(|n| **n > 0).count() <= 2, "{id}: {each:?}");
        assert!(each.iter().all(|n| *n <= 2), "{id}: {each:?}");
    }
    came
}

#[tokio::test]
async fn no_answer_goes_to_another_caller_whatever_engines_send() {
    let mut rng = fastrand::Rng::with_seed(20_261_202);
    let engines = [engine("i-a").await, engine("i-b").await, engine("i-c").await];
    for e in &engines {
        for _ in 0..400 {
            e.script(drawn(&mut rng));
        }
    }
    let known: Vec<&ScriptedEngine> = engines.iter().collect();
    let p = proxy_of("shuffled", &known).await;
    let clients = (0..24).map(|c| tokio::spawn(talk(p.front.clone(), c, engines.to_vec())));
    let (mut served, mut lost) = (0, 0);
    for client in clients.collect::<Vec<_>>() {
        let [ok, not] = client.await.unwrap();
        served += ok;
        lost += not;
    }
    assert!(served > 500, "{served} served, {lost} lost");
}
