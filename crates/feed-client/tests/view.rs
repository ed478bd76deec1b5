//! The newest of everything that the feed sent.
use feed_client::prelude::*;
use routing_trial::prelude::check_spec;

fn config(index: u64, version: u64) -> FeedItem {
    FeedItem::Config { index, version, body: ByteBuf::new() }
}

fn zone(epoch: u64, seq: u64) -> FeedItem {
    FeedItem::Zone(ZoneTable { zone: "a".into(), epoch, seq, engines: Vec::new() })
}

fn trial(index: u64) -> FeedItem {
    let text = "id = \"t\"\nname = \"t\"\n[control]\nname = \"a\"\n[candidate]\nname = \"b\"\nstayMs = 1\n\
                [guardrail]\nprotectedPriority = 0\n";
    let trial = Box::new(TrialRecord::begin(check_spec(text).unwrap(), index));
    FeedItem::Trial { index, trial }
}

/// A trace as two cells sent it in turn, the second one behind the first.
#[test]
fn a_cell_that_is_behind_takes_nothing_back() {
    let mut v = FeedView::default();
    let trace = [
        (config(4, 10), true),
        (zone(3, 7), true),
        (FeedItem::Current, true),
        (config(2, 6), false),
        (zone(3, 6), false),
        (zone(2, 99), false),
        (zone(5, 1), true),
        (config(4, 10), false),
        (config(9, 12), true),
        (trial(8), true),
        (trial(7), false),
        (trial(8), false),
        (trial(11), true),
        (FeedItem::Current, false),
    ];
    for (i, (item, is_newer)) in trace.iter().enumerate() {
        assert_eq!(v.take(item), *is_newer, "row {i}");
    }
    assert_eq!(v.config.as_ref().map(|c| c.version), Some(12));
    let mut w = FeedView::default();
    for i in v.snapshot() {
        w.take(&i);
    }
    assert_eq!(w.zones, v.zones);
    assert_eq!(w.trial, v.trial);
    assert_eq!(w.trial.map(|t| t.index), Some(11));
}
