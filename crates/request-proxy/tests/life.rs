//! The states of a proxy's life.
use request_proxy::prelude::*;

#[test]
fn a_life_runs_in_order_whatever_comes_twice() {
    let mut m = Life.uninitialized_state_machine().init();
    let mut seen = Vec::new();
    for ev in [
        LifeEvent::Unlisted,
        LifeEvent::Current,
        LifeEvent::Current,
        LifeEvent::Term,
        LifeEvent::Term,
        LifeEvent::Current,
        LifeEvent::Unlisted,
        LifeEvent::Term,
        LifeEvent::Done,
        LifeEvent::Current,
    ] {
        m.handle(&ev);
        let s = m.state();
        seen.push((s.ready(), s.admits(), s.listens()));
    }
    let no = (false, false, true);
    let on = (true, true, true);
    let un = (false, true, true);
    let cl = (false, true, false);
    let end = (false, false, false);
    assert_eq!(seen, [no, on, on, un, un, un, cl, cl, end, end]);
}
