use crate::prelude::*;

fn body(n: u64) -> ByteBuf {
    let routes: String = (0..20).map(|i| format!("{{\"r\":{}}},", i * (1 + n % 3))).collect();
    ByteBuf::from(format!("{{\"configVersion\":{n},{routes}").into_bytes())
}

/// Any schedule of changes, some of them missed: what is given on is always the operator's text, and a
/// missed one is noticed.
#[test]
fn only_whole_texts_are_given_on() {
    arbtest::arbtest(|u| {
        let mut b = PatchBase::default();
        let mut knows = None;
        let mut told = None;
        for n in 1..=u.int_in_range(2..=20u64)? {
            let item = match told {
                Some(base) if u.ratio(4, 5)? => FeedItem::ConfigPatch {
                    index: n,
                    serial: n,
                    base,
                    patch: Patch::between(&body(base), &body(n)),
                },
                _ => FeedItem::Config { index: n, serial: n, body: body(n) },
            };
            let patch = matches!(item, FeedItem::ConfigPatch { .. });
            let before = told.replace(n);
            if u.ratio(1, 6)? {
                continue;
            }
            match b.whole(item) {
                Some(w) => {
                    assert_eq!(w, FeedItem::Config { index: n, serial: n, body: body(n) });
                    knows = Some(n);
                }
                None => assert!(patch && knows != before),
            }
        }
        Ok(())
    })
    .size_min(256);
}
