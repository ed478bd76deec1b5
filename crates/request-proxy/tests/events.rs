//! Reading a series of events.
use request_proxy::prelude::*;

#[test]
fn however_the_bytes_are_cut_whole_events_pass_unchanged() {
    let all = b"id: 1\ndata: abc\n\n: note\nid: 2\ndata: x\ndata: y\n\nx-spokebank-weight-versions: 3\nid: 5\ndata: z\n\n";
    for cut in 1..all.len() {
        let mut r = EventReader::default();
        let mut out = Vec::new();
        for c in all.chunks(cut) {
            if let Some(b) = r.take(c).unwrap() {
                out.extend_from_slice(&b);
            }
        }
        assert_eq!(out, all);
        assert!(r.whole());
        assert_eq!((r.events, r.output.as_slice()), (3, &b"abc\nx\ny\nz\n"[..]));
    }
}

#[test]
fn a_piece_twice_or_cut_short_or_no_event_is_told() {
    let mut r = EventReader::default();
    assert!(r.take(b"id: 2\ndata: a\n\n").unwrap().is_some());
    assert_eq!(r.take(b"id: 2\ndata: a\n\n"), Err(EventFault::Order));
    let mut r = EventReader::default();
    assert_eq!(r.take(b"id: 1\ndata: a").unwrap(), None);
    assert!(!r.whole());
    let mut r = EventReader::default();
    assert_eq!(r.take(b"<<junk>>: 1\n\n"), Err(EventFault::NoEvent));
}
