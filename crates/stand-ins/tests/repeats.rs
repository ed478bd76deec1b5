//! Every path on which a request may go out a second time (docs/repeats.md): a request that may not be
//! repeated runs once at most, and a refusal is believed only where it can be tied to the request.
mod support;

use stand_ins::prelude::*;
use support::{until, Proxy};

const ID: &str = "X-Spokebank-Request-Id: {id}\r\n";
const NOT_RUN: &str = "X-Spokebank-Not-Run: 1\r\n";

/// A refusal as engines give it, with or without the request's id.
fn refusal(status: u16, with_id: bool) -> String {
    let id = if with_id { ID } else { "" };
    let not_run = if status == 421 { "" } else { NOT_RUN };
    answer(status, &format!("{id}{not_run}"), "")
}

async fn engine(id: &str) -> ScriptedEngine {
    ScriptedEngine::start(id, "127.0.0.1:0").await.unwrap()
}

async fn proxy_of(name: &str, engines: &[&ScriptedEngine]) -> Proxy {
    let known: Vec<(&str, SocketAddr)> = engines.iter().map(|e| (&*e.id, e.addr)).collect();
    Proxy::start(name, &known).await
}

fn runs(engines: &[&ScriptedEngine], id: &str) -> usize {
    engines.iter().map(|e| e.runs_of(id)).sum()
}

#[tokio::test]
async fn a_refusal_without_an_id_on_a_kept_connection_is_not_believed() {
    for status in [503, 429, 421] {
        let e = engine("i-a").await;
        // What comes in the place of the second answer was meant for nobody.
        e.script(vec![Step::Run, Step::Echo, Step::Run, Step::Say(refusal(status, false))]);
        let p = proxy_of("kept-refusal", &[&e]).await;
        assert_eq!(p.call("w0", "/w/a", b"x").await.status, 200);
        assert_eq!(p.call("w1", "/w/a", b"x").await.status, 502, "{status}");
        assert_eq!(runs(&[&e], "w1"), 1, "{status}");
    }
}

#[tokio::test]
async fn a_refusal_with_the_request_s_id_is_believed_on_any_connection() {
    for status in [503, 429, 421] {
        let (a, b) = (engine("i-a").await, engine("i-b").await);
        for e in [&a, &b] {
            e.script(vec![Step::Run, Step::Echo, Step::Read, Step::Say(refusal(status, true))]);
        }
        let p = proxy_of("tied-refusal", &[&a, &b]).await;
        let mut n = 0;
        // Whichever engine is asked a second time refuses; the request then goes to the other.
        while a.steps() + b.steps() < 4 {
            n += 1;
            assert_eq!(p.call(&format!("w{n}"), "/w/a", b"x").await.status, 200, "{status}");
            assert_eq!(runs(&[&a, &b], &format!("w{n}")), 1, "{status}");
        }
    }
}

#[tokio::test]
async fn a_refusal_without_an_id_is_believed_where_nothing_else_was_asked() {
    for status in [503, 429, 421] {
        let (a, b) = (engine("i-a").await, engine("i-b").await);
        for e in [&a, &b] {
            e.script(vec![Step::Read, Step::Say(refusal(status, false)), Step::Close]);
        }
        let p = proxy_of("new-refusal", &[&a, &b]).await;
        assert_eq!(p.call("w1", "/w/a", b"x").await.status, 503, "{status}: both refuse");
        assert_eq!(runs(&[&a, &b], "w1"), 0);
        // An address that answers 421 is another engine's until the list says otherwise.
        let later = if status == 421 { 503 } else { 200 };
        assert_eq!(p.call("w2", "/w/a", b"x").await.status, later, "{status}");
    }
}

/// Larger than what the sockets of both ends hold.
fn large() -> Vec<u8> {
    vec![b'x'; 24 << 20]
}

#[tokio::test]
async fn a_refusal_without_an_id_before_the_request_is_whole_is_not_believed() {
    let (a, b) = (engine("i-a").await, engine("i-b").await);
    for e in [&a, &b] {
        let early = Step::Say(refusal(503, false));
        e.script(vec![Step::ReadBytes(10), early, Step::Gate, Step::Run, Step::Silent]);
    }
    let p = proxy_of("early-refusal", &[&a, &b]).await;
    assert_eq!(p.call("w1", "/w/a", &large()).await.status, 502);
    assert_eq!(a.connections() + b.connections(), 1);
}

#[tokio::test]
async fn a_connection_that_answered_too_early_is_not_used_again() {
    let e = engine("i-a").await;
    let early = answer(500, ID, "early").replace("{id}", "w1");
    e.script(vec![Step::ReadBytes(10), Step::Say(early), Step::Gate, Step::Run, Step::Echo]);
    let p = proxy_of("early-answer", &[&e]).await;
    let asked = p.call("w1", "/w/a", &large()).await;
    assert_eq!((asked.status, &asked.body[..]), (500, &b"early"[..]));
    e.gate.add_permits(1);
    assert_eq!(p.call("w2", "/w/a", b"x").await.status, 200);
    assert_eq!(e.connections(), 2);
    assert_eq!(runs(&[&e], "w2"), 1);
}

#[tokio::test]
async fn bytes_behind_a_whole_answer_end_the_connection() {
    for surplus in [refusal(503, false), success("surplus"), "<<junk>>".to_string()] {
        let e = engine("i-a").await;
        let both = format!("{}{}", success("x"), surplus);
        e.script(vec![Step::Run, Step::Say(both), Step::Run, Step::Echo]);
        let p = proxy_of("surplus", &[&e]).await;
        assert_eq!(p.call("w0", "/w/a", b"x").await.body, b"x");
        assert_eq!(p.call("w1", "/w/a", b"y").await.body, b"y", "{surplus}");
        assert_eq!((e.connections(), runs(&[&e], "w1")), (2, 1), "{surplus}");
    }
}

#[tokio::test]
async fn bytes_on_a_resting_connection_end_it() {
    for surplus in [refusal(503, false), success("surplus")] {
        let e = engine("i-a").await;
        let late = Step::Say(surplus.clone());
        e.script(vec![Step::Run, Step::Echo, Step::Gate, late, Step::Run, Step::Echo]);
        let p = proxy_of("late-surplus", &[&e]).await;
        assert_eq!(p.call("w0", "/w/a", b"x").await.body, b"x");
        e.gate.add_permits(1);
        until("the surplus answer", || e.steps() == 4).await;
        assert_eq!(p.call("w1", "/w/a", b"y").await.body, b"y", "{surplus}");
        assert_eq!((e.connections(), runs(&[&e], "w1")), (2, 1), "{surplus}");
    }
}

#[tokio::test]
async fn a_surplus_answer_in_the_place_of_the_one_due_is_nobody_s() {
    let e = engine("i-a").await;
    let old = success("old").replace("{id}", "w0");
    e.script(vec![Step::Run, Step::Echo, Step::Run, Step::Say(old), Step::Echo]);
    let p = proxy_of("mixed", &[&e]).await;
    assert_eq!(p.call("w0", "/w/a", b"x").await.body, b"x");
    assert_eq!(p.call("w1", "/w/a", b"y").await.status, 502);
    assert_eq!(p.call("w2", "/w/a", b"z").await.body, b"z");
    assert_eq!(runs(&[&e], "w1"), 1);
}

#[tokio::test]
async fn a_kept_connection_that_was_closed_is_replaced_and_nothing_runs_twice() {
    for end in [Step::Close, Step::Reset] {
        let e = engine("i-a").await;
        e.script(vec![Step::Run, Step::Echo, Step::Gate, end.clone()]);
        let p = proxy_of("closed", &[&e]).await;
        assert_eq!(p.call("w0", "/w/a", b"x").await.status, 200);
        e.gate.add_permits(1);
        until("the end of the connection", || e.steps() == 4).await;
        assert_eq!(p.call("w1", "/w/a", b"y").await.status, 200, "{end:?}");
        assert_eq!((e.connections(), runs(&[&e], "w1")), (2, 1), "{end:?}");
    }
}

#[tokio::test]
async fn what_may_have_run_is_not_sent_again_wherever_its_answer_ends() {
    let whole = success("a body of some length").replace("{id}", "w1");
    for at in [0, 1, 12, 40, whole.len() - 5] {
        for end in [Step::Reset, Step::Close] {
            for kept in [false, true] {
                let (a, b) = (engine("i-a").await, engine("i-b").await);
                let mut steps = vec![Step::Run, Step::Say(whole[..at].into()), end.clone()];
                let mut known = vec![&a, &b];
                if kept {
                    steps.splice(0..0, [Step::Run, Step::Echo]);
                    known.truncate(1);
                }
                known.iter().for_each(|e| e.script(steps.clone()));
                let p = proxy_of("cut", &known).await;
                if kept {
                    assert_eq!(p.call("w0", "/w/a", b"x").await.status, 200);
                }
                let cut = p.call("w1", "/w/a", b"x").await;
                assert_eq!((cut.status, runs(&known, "w1")), (502, 1), "{at} {end:?} {kept}");
            }
        }
    }
}

#[tokio::test]
async fn what_may_be_repeated_goes_to_another_engine() {
    let whole = success("first").replace("{id}", "r1");
    for at in [0, 12, whole.len() - 2] {
        let (a, b) = (engine("i-a").await, engine("i-b").await);
        let p = proxy_of("again", &[&a, &b]).await;
        for e in [&a, &b] {
            e.script(vec![Step::Run, Step::Say(whole[..at].into()), Step::Reset]);
        }
        // Two engines at most: both break off.
        assert_eq!(p.call("r1", "/r/a", b"x").await.status, 502, "{at}");
        assert_eq!((a.runs_of("r1"), b.runs_of("r1")), (1, 1), "{at}");
        assert_eq!(p.call("r2", "/r/a", b"x").await.status, 200, "{at}");
    }
}

#[tokio::test(start_paused = true)]
async fn silence_is_waited_out_where_nothing_may_be_repeated() {
    let (a, b) = (engine("i-a").await, engine("i-b").await);
    for e in [&a, &b] {
        e.script(vec![Step::Run, Step::Silent]);
    }
    let p = proxy_of("silent", &[&a, &b]).await;
    let began = tokio::time::Instant::now();
    // The route's time-out is 0.4 s, well before the client's deadline.
    assert_eq!(p.call("w1", "/brief/a", b"x").await.status, 504);
    // In virtual time, so that a busy machine changes nothing.
    let took = began.elapsed();
    assert!(took >= Duration::from_millis(380) && took < Duration::from_millis(650), "{took:?}");
    assert_eq!(runs(&[&a, &b], "w1"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_falls_silent_ends_with_its_route_s_time() {
    let e = engine("i-a").await;
    let head = "HTTP/1.1 200 OK\r\nX-Spokebank-Request-Id: {id}\r\nX-Spokebank-Server-Stamp: s\r\n\
                Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n";
    e.script(vec![Step::Run, Step::Say(head.into()), Step::Silent]);
    let p = proxy_of("silent-stream", &[&e]).await;
    let began = tokio::time::Instant::now();
    let got = p.call("s1", "/brief-s/a", b"x").await;
    // In virtual time, so that a busy machine changes nothing.
    let took = began.elapsed();
    assert!(!got.whole && got.body.len() == 15);
    assert!(took >= Duration::from_millis(380) && took < Duration::from_millis(650), "{took:?}");
}

#[tokio::test]
async fn a_silent_engine_is_passed_over_where_a_call_may_be_repeated() {
    let (a, b) = (engine("i-a").await, engine("i-b").await);
    for e in [&a, &b] {
        e.script(vec![Step::Run, Step::Silent]);
    }
    let p = proxy_of("hedge", &[&a, &b]).await;
    let (front, app) = (p.front.clone(), p.app.clone());
    let asked = tokio::spawn(async move { Proxy { front, app }.call("r1", "/r/a", b"x").await });
    until("the first engine to run it", || runs(&[&a, &b], "r1") == 1).await;
    // The one that was not asked answers as it should.
    a.unscript();
    b.unscript();
    assert_eq!(asked.await.unwrap().status, 200);
    assert_eq!((a.runs_of("r1"), b.runs_of("r1")), (1, 1));
}

#[tokio::test]
async fn refusals_end_at_the_most_attempts_with_a_promise_that_holds() {
    for path in ["/w/a", "/r/a"] {
        let engines = [engine("i-a").await, engine("i-b").await, engine("i-c").await];
        for e in &engines {
            e.script(vec![Step::Read, Step::Say(refusal(503, true)), Step::Silent]);
        }
        let known: Vec<&ScriptedEngine> = engines.iter().collect();
        let p = proxy_of("most", &known).await;
        let refused = p.call("m1", path, b"x").await;
        assert_eq!((refused.status, runs(&known, "m1")), (503, 0));
        assert!(refused.headers.contains_key("retry-after"));
        let asked = known.iter().filter(|e| !e.seen().is_empty()).count();
        assert_eq!(asked, 2, "{path}: two engines at most");
    }
}

#[tokio::test]
async fn an_engine_that_leaves_refuses_and_its_connection_is_not_kept() {
    let (a, b) = (engine("i-a").await, engine("i-b").await);
    let leaving = answer(503, &format!("{ID}{NOT_RUN}Connection: close\r\n"), "");
    for e in [&a, &b] {
        let steps = [Step::Run, Step::Echo, Step::Read, Step::Say(leaving.clone()), Step::Run];
        e.script(steps.to_vec());
    }
    let p = proxy_of("leaving", &[&a, &b]).await;
    let mut n = 0;
    while [&a, &b].iter().any(|e| e.seen().iter().all(|s| s.ran)) {
        n += 1;
        assert!(n < 200, "an engine is never asked twice");
        let id = format!("w{n}");
        let got = p.call(&id, "/w/a", b"x").await.status;
        assert_eq!(runs(&[&a, &b], &id), usize::from(got == 200), "{got}");
    }
    for e in [&a, &b] {
        let seen = e.seen();
        let refused = seen.iter().position(|s| !s.ran).unwrap();
        let later = &seen[refused + 1..];
        assert!(later.iter().all(|s| s.connection != seen[refused].connection), "{seen:?}");
    }
}

#[tokio::test]
async fn an_engine_that_can_t_be_reached_has_run_nothing() {
    let gone = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let b = engine("i-b").await;
    let p = Proxy::start("unreached", &[("i-gone", gone), ("i-b", b.addr)]).await;
    for n in 0..6 {
        let id = format!("w{n}");
        assert_eq!(p.call(&id, "/w/a", b"x").await.status, 200);
        assert_eq!(b.runs_of(&id), 1);
    }
}

/// A listener whose queue is full: whoever connects now waits without an answer.
async fn full_listener() -> (tokio::net::TcpListener, Vec<TcpStream>) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let addr = listener.local_addr().unwrap();
    let mut waiting = Vec::new();
    let moment = Duration::from_millis(100);
    while let Ok(Ok(s)) = tokio::time::timeout(moment, TcpStream::connect(addr)).await {
        waiting.push(s);
    }
    (listener, waiting)
}

#[tokio::test]
async fn an_engine_that_takes_no_connection_in_time_has_run_nothing() {
    let (full, _waiting) = full_listener().await;
    let p = Proxy::start("connect-time", &[("i-full", full.local_addr().unwrap())]).await;
    let began = Instant::now();
    // Nobody else is there to be asked, and nothing went out: a promise may be given.
    assert_eq!(p.call("w1", "/w/a", b"x").await.status, 503);
    let took = began.elapsed();
    assert!(took >= Duration::from_millis(300) && took < Duration::from_millis(2900), "{took:?}");
}

#[tokio::test]
async fn a_failure_that_promises_what_the_engine_did_not_say_is_not_passed_on() {
    for status in [503, 429, 408] {
        let e = engine("i-a").await;
        let stamped = format!("{ID}X-Spokebank-Server-Stamp: s\r\n");
        e.script(vec![Step::Run, Step::Say(answer(status, &stamped, "busy"))]);
        let p = proxy_of("promise", &[&e]).await;
        let got = p.call("w1", "/w/a", b"x").await;
        assert_eq!((got.status, runs(&[&e], "w1")), (502, 1), "{status}");
        assert!(got.headers.get(names::STAMP).is_none(), "no other status under the stamp");
    }
}

#[tokio::test]
async fn a_stream_that_breaks_is_not_begun_again() {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{ID}X-Spokebank-Server-Stamp: s\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let event = "id: 1\ndata: x\n\n";
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    for (said, events) in [(head.clone(), 0), (format!("{head}{chunk}"), 1)] {
        for end in [Step::Reset, Step::Close] {
            let (a, b) = (engine("i-a").await, engine("i-b").await);
            for e in [&a, &b] {
                e.script(vec![Step::Run, Step::Say(said.clone()), Step::Gate, end.clone()]);
                e.gate.add_permits(1);
            }
            let p = proxy_of("stream", &[&a, &b]).await;
            let headers =
                [("host", "h.example"), (names::REQUEST_ID, "s1"), (names::DEADLINE, "3000")];
            // A stream of which no event has been passed on is answered, and not with a success; a reset may
            // overtake the event. One that has begun must not look complete, and its connection may end
            // before its head has gone out.
            match call(&p.front, "POST", "/s/a", &headers, b"x").await {
                Some(got) if got.status == 502 => {
                    assert!(got.whole && got.headers.get(names::STAMP).is_none());
                    assert!(events == 0 || matches!(end, Step::Reset), "{end:?}");
                }
                Some(got) => {
                    assert_eq!((got.status, events), (200, 1));
                    assert!(!got.whole, "{end:?} must not look complete");
                    assert!(got.body.len() <= event.len());
                }
                None => assert_eq!(events, 1, "{end:?}"),
            }
            assert_eq!(runs(&[&a, &b], "s1"), 1);
        }
    }
}
