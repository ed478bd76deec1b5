//! How the proxy ends its clients' connections, over real sockets: whatever was read whole has its complete
//! answer on the client's side, however slowly that reads and whatever it still sends.
mod support;

use stand_ins::prelude::*;
use std::io::Write;
use support::{until, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use request_proxy::prelude::{LifeEvent, StreamBreak, UnansweredCause};

/// Larger than what the sockets of both ends hold.
const LARGE: usize = 12 << 20;
/// No test waits for longer; it only guards against hanging.
const GUARD: Duration = Duration::from_secs(20);

async fn engine() -> ScriptedEngine {
    ScriptedEngine::start("i-a", "127.0.0.1:0").await.unwrap()
}

async fn proxy_of(name: &str, engine: &ScriptedEngine) -> Proxy {
    Proxy::start(name, &[(&*engine.id, engine.addr)]).await
}

fn head(path: &str, id: &str, more: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Spokebank-Request-Id: {id}\r\n\
         X-Spokebank-Deadline-Ms: 4000\r\n{more}Content-Length: {length}\r\n\r\n"
    )
}

/// A client whose receive buffer is small, so that what it doesn't read stays at the proxy.
async fn slow_reader(proxy: &Proxy) -> TcpStream {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 << 10).unwrap();
    socket.connect(proxy.front.parse().unwrap()).await.unwrap()
}

/// Everything until the proxy closes the connection in order.
async fn read_to_the_end(client: &mut TcpStream) -> Vec<u8> {
    let mut answer = Vec::new();
    let read = tokio::time::timeout(GUARD, client.read_to_end(&mut answer)).await;
    read.expect("the connection ends").expect("it ends in order");
    answer
}

/// Reads until the head of an answer has come, and no further than that by more than a little.
async fn read_head(client: &mut TcpStream) -> Vec<u8> {
    let mut answer = Vec::new();
    while !answer.windows(4).any(|w| w == b"\r\n\r\n") {
        let mut some = [0; 256];
        let n = client.read(&mut some).await.unwrap();
        assert!(n > 0, "no head: {}", String::from_utf8_lossy(&answer));
        answer.extend_from_slice(&some[..n]);
    }
    answer
}

fn body_of(answer: &[u8]) -> &[u8] {
    let end = answer.windows(4).position(|w| w == b"\r\n\r\n").expect("a head");
    &answer[end + 4..]
}

#[tokio::test]
async fn a_client_that_is_still_sending_gets_the_answer_to_a_body_nobody_reads() {
    let e = engine().await;
    let p = proxy_of("unread-body", &e).await;
    for (path, length, status) in [("/none/a", LARGE, "404"), ("/w/a", 40 << 20, "413")] {
        let mut client = TcpStream::connect(&p.front).await.unwrap();
        client.write_all(head(path, "u1", "", length).as_bytes()).await.unwrap();
        client.write_all(&vec![b'x'; length]).await.expect("all of it is taken");
        let answer = String::from_utf8(read_to_the_end(&mut client).await).unwrap();
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
        assert!(answer.ends_with('}'), "{answer}");
    }
}

#[tokio::test]
async fn a_pipelined_request_behind_the_last_one_doesn_t_cost_that_its_answer() {
    let e = engine().await;
    let p = proxy_of("pipelined-end", &e).await;
    let mut client = slow_reader(&p).await;
    let last = head("/w/a", "p1", "Connection: close\r\n", LARGE);
    client.write_all(last.as_bytes()).await.unwrap();
    client.write_all(&vec![b'x'; LARGE]).await.unwrap();
    client.write_all(head("/w/a", "p2", "", 20_000).as_bytes()).await.unwrap();
    client.write_all(&vec![b'y'; 20_000]).await.unwrap();
    let answer = read_to_the_end(&mut client).await;
    assert_eq!(body_of(&answer).len(), LARGE);
    assert_eq!((e.runs_of("p1"), e.runs_of("p2")), (1, 0));
}

/// Its client sends it again elsewhere, as it was never read: more than the sockets hold isn't taken.
#[tokio::test]
async fn a_request_that_crosses_the_end_of_its_connection_is_left_unread() {
    let e = engine().await;
    let p = proxy_of("crossing", &e).await;
    let mut client = TcpStream::connect(&p.front).await.unwrap();
    // Answered before its body was read, which had come whole.
    client.write_all((head("/none/a", "c1", "", 1) + "x").as_bytes()).await.unwrap();
    read_head(&mut client).await;
    for event in [LifeEvent::Term, LifeEvent::Unlisted, LifeEvent::Done] {
        p.app.live_on(event);
    }
    read_to_the_end(&mut client).await;
    let crossing = [head("/w/a", "c2", "", LARGE).into_bytes(), vec![b'x'; LARGE]].concat();
    assert!(client.write_all(&crossing).await.is_err(), "it was read");
    assert_eq!(e.runs_of("c2"), 0);
}

#[tokio::test]
async fn a_slow_reader_has_its_whole_answer_though_the_process_ends() {
    let e = engine().await;
    let p = proxy_of("slow-at-end", &e).await;
    let mut client = slow_reader(&p).await;
    client.write_all(head("/w/a", "s1", "", LARGE).as_bytes()).await.unwrap();
    client.write_all(&vec![b'x'; LARGE]).await.unwrap();
    let mut answer = read_head(&mut client).await;
    for event in [LifeEvent::Term, LifeEvent::Unlisted, LifeEvent::Done] {
        p.app.live_on(event);
    }
    // The listener is closed once the proxy has seen its end.
    until_refused(&p).await;
    answer.extend(read_to_the_end(&mut client).await);
    assert_eq!(body_of(&answer).len(), LARGE);
}

#[tokio::test]
async fn a_slow_reader_has_its_whole_answer_though_the_idle_time_is_over() {
    let e = engine().await;
    let p = proxy_of("slow-idle", &e).await;
    p.configure(2, 100);
    let mut client = slow_reader(&p).await;
    client.write_all(head("/w/a", "s1", "", LARGE).as_bytes()).await.unwrap();
    client.write_all(&vec![b'x'; LARGE]).await.unwrap();
    let mut answer = read_head(&mut client).await;
    // Connections that rest are closed by their idle time, one after the other: forty times as long.
    for _ in 0..40 {
        let mut clock = TcpStream::connect(&p.front).await.unwrap();
        assert_eq!(clock.read(&mut [0; 1]).await.unwrap(), 0);
    }
    answer.extend(read_to_the_end(&mut client).await);
    assert_eq!(body_of(&answer).len(), LARGE);
}

/// Connects until nothing listens any more.
async fn until_refused(p: &Proxy) {
    let end = Instant::now() + GUARD;
    while TcpStream::connect(&p.front).await.is_ok() {
        assert!(Instant::now() < end, "it still listens");
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn what_waits_to_be_accepted_as_the_listener_closes_is_answered() {
    let e = engine().await;
    let p = proxy_of("accept-queue", &e).await;
    assert_eq!(p.call("q0", "/w/a", b"x").await.status, 200);
    // Nothing of the proxy runs until the first await: the kernel has taken all of these.
    let request = head("/w/a", "q1", "", 1) + "x";
    let mut waiting: Vec<std::net::TcpStream> = Vec::new();
    for _ in 0..20 {
        let mut client = std::net::TcpStream::connect(&p.front).unwrap();
        client.write_all(request.as_bytes()).unwrap();
        waiting.push(client);
    }
    for event in [LifeEvent::Term, LifeEvent::Unlisted, LifeEvent::Done] {
        p.app.live_on(event);
    }
    for client in waiting {
        client.set_nonblocking(true).unwrap();
        let mut client = TcpStream::from_std(client).unwrap();
        let answer = String::from_utf8(read_to_the_end(&mut client).await).unwrap();
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.to_lowercase().contains("retry-after"), "{answer}");
    }
    assert_eq!(e.runs_of("q1"), 0);
}

#[tokio::test]
async fn a_stream_that_breaks_off_before_its_first_event_has_a_complete_answer() {
    let e = engine().await;
    let start =
        "HTTP/1.1 200 OK\r\nX-Spokebank-Request-Id: {id}\r\nX-Spokebank-Server-Stamp: s\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    e.script(vec![Step::Run, Step::Say(start.into()), Step::Close]);
    let p = proxy_of("no-first-event", &e).await;
    let answered = p.call("f1", "/s/a", b"x").await;
    assert_eq!(answered.status, 502);
    e.script(vec![Step::Run, Step::Say(start.into()), Step::Silent]);
    let answered = p.call("f2", "/brief-s/a", b"x").await;
    assert_eq!(answered.status, 504);
    assert_eq!((e.runs_of("f1"), e.runs_of("f2")), (1, 1));
}

#[tokio::test]
async fn every_request_that_was_read_whole_is_accounted_for() {
    let e = engine().await;
    let p = proxy_of("accounted", &e).await;
    let begun =
        "HTTP/1.1 200 OK\r\nX-Spokebank-Request-Id: {id}\r\nX-Spokebank-Server-Stamp: s\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
                 f\r\nid: 1\ndata: x\n\n\r\n";
    e.script(vec![Step::Run, Step::Say(begun.into()), Step::Close]);
    let broken =
        call(&p.front, "POST", "/s/a", &[("host", "h.example"), (names::REQUEST_ID, "a3")], b"x");
    assert!(!broken.await.unwrap().whole, "a stream that broke off isn't complete");
    // The next connection serves one request and then never answers.
    e.script(vec![Step::Run, Step::Echo, Step::Run, Step::ReadBytes(1)]);
    assert_eq!(p.call("a1", "/w/a", b"x").await.status, 200);
    assert_eq!(p.call("a2", "/none/a", b"x").await.status, 404);
    // A client that leaves before its answer, and one that never sends its whole body.
    let mut left = TcpStream::connect(&p.front).await.unwrap();
    left.write_all((head("/w/a", "a4", "", 1) + "x").as_bytes()).await.unwrap();
    until("the request to run", || e.runs_of("a4") == 1).await;
    drop(left);
    let mut half = TcpStream::connect(&p.front).await.unwrap();
    half.write_all((head("/w/a", "a5", "", 2) + "x").as_bytes()).await.unwrap();
    half.shutdown().await.unwrap();
    let _ = half.read_to_end(&mut Vec::new()).await;
    until("all to be over", || p.app.accounts.in_flight() == 0).await;
    let totals = p.app.accounts.totals();
    let unanswered = [
        (UnansweredCause::ClientLeft, 1),
        (UnansweredCause::Stream(StreamBreak::EngineBrokeOff), 1),
    ];
    assert_eq!(totals.unanswered, unanswered.into());
    assert_eq!((totals.read, totals.answered, totals.open()), (3, 1, 0));
}
