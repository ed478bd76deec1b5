//! Heads on their way to an engine.
use request_proxy::prelude::*;
use request_proxy::sending::engine_request;

#[test]
fn an_engine_gets_the_request_unchanged_but_for_the_hop() {
    let parts = Request::builder()
        .method("POST")
        .uri("/a/b?x=1&y=%20")
        .header("Host", "h.example")
        .header("Connection", "close, X-Odd")
        .header("X-Odd", "1")
        .header("Content-Length", "3")
        .header("X-Spokebank-Request-Id", "9c41")
        .header("X-Spokebank-Deadline-Ms", "6000")
        .header("X-Own", "kept")
        .body(())
        .unwrap()
        .into_parts()
        .0;
    let body = Bytes::from_static(b"abcd");
    let r = engine_request(&parts, &body, "i-7", Duration::from_millis(1500), 3).unwrap();
    assert_eq!(r.uri().to_string(), "/a/b?x=1&y=%20");
    let h = r.headers();
    assert!(h.get("connection").is_none() && h.get("x-odd").is_none());
    for (k, v) in [
        ("host", "h.example"),
        ("x-own", "kept"),
        ("content-length", "4"),
        (names::REQUEST_ID, "9c41"),
        (names::DEADLINE, "1500"),
        (names::EXPECT_INSTANCE, "i-7"),
        (names::URGENCY, "3"),
    ] {
        assert_eq!(h.get(k).unwrap(), v, "{k}");
    }
}
