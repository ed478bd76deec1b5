//! Configurations that come as differences are made whole, and changes of zones follow on.
use feed_client::prelude::*;

fn body(n: u64) -> ByteBuf {
    let routes: String = (0..20).map(|i| format!("{{\"r\":{}}},", i * (1 + n % 3))).collect();
    ByteBuf::from(format!("{{\"configVersion\":{n},{routes}").into_bytes())
}

/// Any schedule of changes, some missed: only the operator's text is given on, a missed one is noticed.
#[test]
fn only_whole_texts_are_given_on() {
    arbtest::arbtest(|u| {
        let mut b = PatchBase::default();
        let mut knows = 0;
        for n in 1..=u.int_in_range(2..=20u64)? {
            let whole = FeedItem::Config { index: n, version: n, body: body(n) };
            let patch = Patch::between(&body(n - 1), &body(n));
            let item = match u.ratio(4, 5)? {
                true => FeedItem::ConfigPatch { index: n, version: n, base: n - 1, patch },
                false => whole.clone(),
            };
            if u.ratio(1, 6)? {
                continue;
            }
            let can = item == whole || (knows == n - 1 && knows > 0);
            assert_eq!(b.whole(item), can.then_some(whole));
            knows = if can { n } else { knows };
        }
        Ok(())
    })
    .size_min(256);
}

/// Two cells, the second at times behind, and changes that are missed: a follower either has what its view
/// says, or knows that it is out of step.
#[test]
fn a_follower_never_takes_a_change_that_does_not_follow_on() {
    let state = |seq: u64| ZoneTable { zone: "a".into(), epoch: 1, seq, engines: Vec::new() };
    arbtest::arbtest(|u| {
        let (mut steps, mut view) = (ZoneSteps::default(), FeedView::default());
        for _ in 0..u.int_in_range(1..=20u8)? {
            let base = u.int_in_range(1..=8u64)?;
            let item = match u.ratio(1, 4)? {
                true => FeedItem::Zone(state(base)),
                false => {
                    let to = base + u.int_in_range(0..=2u64)?;
                    FeedItem::ZoneChange(state(base).change_to(&state(to)))
                }
            };
            let at = view.zones.get("a").map_or(0, |t| t.seq);
            let wanted = match &item {
                FeedItem::ZoneChange(c) => at > 0 && (c.version.seq <= at || c.base.seq == at),
                _ => true,
            };
            assert_eq!(steps.follows(&item), wanted);
            if wanted {
                view.take(&item);
                let reached = match &item {
                    FeedItem::Zone(t) => t.seq,
                    FeedItem::ZoneChange(c) => c.version.seq,
                    _ => 0,
                };
                assert_eq!(view.zones["a"].seq, at.max(reached));
            }
        }
        Ok(())
    })
    .size_min(256);
}
