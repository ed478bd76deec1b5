//! Configurations that come as differences are made whole.
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
