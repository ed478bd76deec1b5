use internal_protocol::patch::Patch;

/// Any two lists of routes: the patch gives the new text back, and from another text nothing.
#[test]
fn a_patch_gives_the_new_text_or_nothing() {
    arbtest::arbtest(|u| {
        let mut text = |n: u32| -> arbtest::arbitrary::Result<Vec<u8>> {
            let mut out = format!("{{\"configVersion\":{n},\"routeTable\":[").into_bytes();
            for _ in 0..u.int_in_range(0..=30)? {
                let r: u32 = u.int_in_range(0..=20)?;
                out.extend_from_slice(format!("{{\"name\":\"r-{r}\",\"weight\":{r}}},").as_bytes());
            }
            Ok(out)
        };
        let (a, b, c) = (text(1)?, text(2)?, text(3)?);
        let p = Patch::between(&a, &b);
        assert_eq!(p.apply(&a), Some(b.clone()));
        let other = p.apply(&c);
        assert!(other.is_none() || other == Some(b));
        assert_eq!(Patch::between(&a, &[]).apply(&a), Some(Vec::new()));
        Ok(())
    })
    .size_min(512);
}

/// One route of many changed, one added, one gone: little goes over the wire.
#[test]
fn few_changes_make_a_small_patch() {
    let route =
        |i: u32, w: u32| format!("{{\"name\":\"r-{i}\",\"host\":\"h.example\",\"w\":{w}}},");
    let old: String = (0..2000).map(|i| route(i, 1)).collect();
    let new: String =
        (0..2001).filter(|i| *i != 700).map(|i| route(i, if i == 9 { 2 } else { 1 })).collect();
    let p = Patch::between(old.as_bytes(), new.as_bytes());
    assert_eq!(p.apply(old.as_bytes()).as_deref(), Some(new.as_bytes()));
    assert!(p.size() < 250, "{}", p.size());
    let back: Patch = ciborium::from_reader(&node_runtime::links::encode(&p)[..]).unwrap();
    assert_eq!(back, p);
}
