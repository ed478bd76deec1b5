//! The feed publisher: what each kind of follower is told, and what is kept.
mod bounds;

use bounds::bounds;
use control_cell::prelude::*;

fn config(n: u64, size: usize) -> FeedItem {
    FeedItem::Config { index: n, version: n, body: ByteBuf::from(vec![b'x'; size]) }
}

fn patch(n: u64) -> FeedItem {
    let p = Patch::between(b"{a}{b}", b"{a}{c}");
    FeedItem::ConfigPatch { index: n, version: n, base: n - 1, patch: p }
}

fn status(rx: &mut mpsc::Receiver<Bytes>) -> Vec<FeedItem> {
    let mut out = Vec::new();
    while let Ok(b) = rx.try_recv() {
        if let Some(FeedMsg::Items(v)) = decode(&b) {
            out.extend(v.into_iter().map(|n| n.item));
        }
    }
    out
}

/// A recorded row of items, and what each kind of follower is told of it.
#[test]
fn each_follower_is_told_what_it_takes() {
    let mut book = FeedLog::default();
    let mut follow = |topics, patches| {
        let (tx, rx) = mpsc::channel(16);
        book.add_follower(FeedRequest { topics, patches, zone_changes: patches }, tx);
        rx
    };
    let mut agent = follow(Topics::All, true);
    let mut old_agent = follow(Topics::All, false);
    let mut store = follow(Topics::Stores, true);
    let zone = ZoneTable { zone: "a".into(), epoch: 1, seq: 1, engines: Vec::new() };
    let stores = FeedItem::Stores(StoreSet { version: 3, ..StoreSet::default() });
    let row = [config(1, 9), FeedItem::Zone(zone), stores.clone(), patch(2), config(3, 9)];
    for item in &row {
        book.publish(item.clone());
    }
    assert_eq!(status(&mut agent), row);
    assert_eq!(status(&mut store), [stores]);
    // It reads no differences: it is let go at the first, to begin anew from a snapshot.
    assert_eq!(status(&mut old_agent), row[..3]);
    assert_eq!(book.follower_count(), 2);
}

/// Any row of configurations: what is kept for those who come back has no gap and bounded bytes.
#[test]
fn what_is_kept_is_bounded_and_has_no_gap() {
    arbtest::arbtest(|u| {
        let mut book = FeedLog::default();
        for n in 1..=u.int_in_range(1..=90u64)? {
            book.publish(config(n, if u.ratio(1, 8)? { 4 << 20 } else { 100 }));
            let bytes: usize = book.recent().map(|n| n.item.body_bytes()).sum();
            let kept = book.recent().count();
            assert!(kept <= RETAINED_ITEMS && (bytes <= RETAINED_BYTES || kept == 1));
            assert!(book.recent().rev().map(|r| r.no).eq((1..=n).rev().take(kept)));
        }
        Ok(())
    })
    .size_min(256)
    .budget_ms(300);
}

/// A cell that lost its contact with a majority vouches no longer, also when no beat is due.
#[test]
fn followers_are_let_go_as_soon_as_contact_is_lost() {
    let mut book = FeedLog::default();
    let now = Instant::now();
    let all = FeedRequest { topics: Topics::All, patches: true, zone_changes: true };
    let mut opened = book
        .open(FollowFrom { feed: 0, no: 0, request: all, holdings: Holdings::default() }, Vec::new);
    book.heartbeat(now, true, &bounds(3000, 4100, 3000));
    assert_eq!(status(&mut opened.items), [FeedItem::Current, FeedItem::Heartbeat]);
    book.heartbeat(now + Duration::from_millis(1), false, &bounds(3000, 4100, 3000));
    assert_eq!(book.follower_count(), 0);
    assert!(opened.items.is_closed());
}

/// Followers that read changes of zones are sent no more than these; older ones the whole table, over the
/// same numbers.
#[test]
fn a_change_of_a_zone_is_sent_as_each_follower_reads_it() {
    let before = ZoneTable { zone: "a".into(), epoch: 1, seq: 1, engines: Vec::new() };
    let after = ZoneTable { seq: 2, ..before.clone() };
    let change = before.change_to(&after);
    let mut log = FeedLog::default();
    let reads = |zone_changes| FeedRequest { topics: Topics::All, patches: true, zone_changes };
    let from = |log: &mut FeedLog, feed, no, request| {
        log.open(FollowFrom { feed, no, request, holdings: Holdings::default() }, || {
            vec![FeedItem::Zone(before.clone())]
        })
    };
    let mut new = from(&mut log, 0, 0, reads(true));
    let mut old = from(&mut log, 0, 0, reads(false));
    let begun = [FeedItem::Zone(before.clone()), FeedItem::Current];
    assert_eq!(status(&mut new.items), begun);
    assert_eq!(status(&mut old.items), begun);
    log.publish_zone_change(change.clone(), &after);
    assert_eq!(status(&mut new.items), [FeedItem::ZoneChange(change.clone())]);
    assert_eq!(status(&mut old.items), [FeedItem::Zone(after)]);
    // One that comes back goes on from its place; an older one begins anew.
    let mut back = from(&mut log, new.feed, 0, reads(true));
    assert_eq!(status(&mut back.items), [FeedItem::ZoneChange(change), FeedItem::Current]);
    let mut back = from(&mut log, old.feed, 0, reads(false));
    assert_eq!(status(&mut back.items), begun);
}

/// A follower that comes from another cell is sent what it doesn't have: any older or newer state is
/// another content.
#[test]
fn a_follower_of_another_cell_is_sent_only_what_differs() {
    let zone =
        |name: &str, seq| ZoneTable { zone: name.into(), epoch: 1, seq, engines: Vec::new() };
    let snapshot =
        || vec![config(7, 9), FeedItem::Zone(zone("a", 4)), FeedItem::Zone(zone("b", 2))];
    let request = FeedRequest { topics: Topics::All, patches: true, zone_changes: true };
    let sent = |holdings: Holdings| {
        let from = FollowFrom { feed: 99, no: 3, request, holdings };
        let mut items = status(&mut FeedLog::default().open(from, snapshot).items);
        assert_eq!(items.pop(), Some(FeedItem::Current));
        items
    };
    let held = |config, zones: &[(&str, u64)]| Holdings {
        config,
        zones: zones.iter().map(|(z, seq)| (z.to_string(), zone(z, *seq).version())).collect(),
    };
    assert_eq!(sent(Holdings::default()), snapshot());
    assert_eq!(sent(held(Some(7), &[("a", 4), ("b", 2)])), []);
    let older = sent(held(Some(6), &[("a", 4), ("b", 1)]));
    assert_eq!(older, [config(7, 9), FeedItem::Zone(zone("b", 2))]);
    // A cell that is behind sends what it has; the follower's view takes nothing back.
    assert_eq!(sent(held(Some(8), &[("a", 5), ("b", 2)])), snapshot()[..2]);
}
