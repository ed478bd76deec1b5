//! The order desk on its own: what ends an order's or a read's wait.
use control_cell::prelude::*;

type Desk = OrderTracker<&'static str, &'static str>;

fn desk() -> Desk {
    OrderTracker::new(CellState::default(), 0)
}

fn entry(index: u64, term: u64, version: u64) -> Effect {
    let body = ByteBuf::from(version.to_string());
    let sha256 = order_digest(&body);
    let change = Change::PutConfig { base: version - 1, version, sha256, body };
    let body = Body::Command(ByteBuf::from(encode(&change).to_vec()));
    Effect::Apply(Entry { index, term, body })
}

fn ended(outcome: Option<Outcome>) -> OrderEvent<&'static str, &'static str> {
    OrderEvent::Order { waiting: "order", outcome }
}

fn served(index: u64) -> OrderEvent<&'static str, &'static str> {
    OrderEvent::Read { reader: "read", index: Some(index) }
}

#[test]
fn an_order_is_answered_by_its_own_entry_only() {
    let mut d = desk();
    let token = d.order(Some("order"));
    assert_eq!(
        d.take(Effect::Appended { token, at: Ok(LogPosition { index: 1, term: 3 }) }),
        Ok(vec![])
    );
    let taken = OrderEvent::Changed(ChangedPart::Config);
    assert_eq!(d.take(entry(1, 3, 1)), Ok(vec![taken, ended(Some(Outcome::Taken))]));
    // The entry that was applied at its index is another's: nobody here knows what became of it.
    let token = d.order(Some("order"));
    assert_eq!(
        d.take(Effect::Appended { token, at: Ok(LogPosition { index: 2, term: 3 }) }),
        Ok(vec![])
    );
    let taken = OrderEvent::Changed(ChangedPart::Config);
    assert_eq!(d.take(entry(2, 4, 2)), Ok(vec![taken, ended(None)]));
}

#[test]
fn orders_of_a_leader_that_steps_down_end_without_a_claim() {
    let mut d = desk();
    let placed = d.order(Some("order"));
    assert_eq!(
        d.take(Effect::Appended { token: placed, at: Ok(LogPosition { index: 1, term: 3 }) }),
        Ok(vec![])
    );
    d.order(Some("order"));
    assert_eq!(d.stepped_down(), [ended(None), ended(None)]);
    let taken = OrderEvent::Changed(ChangedPart::Config);
    assert_eq!(d.take(entry(1, 3, 1)), Ok(vec![taken]), "answered twice");
}

#[test]
fn a_read_waits_for_its_index_also_where_a_snapshot_brings_it() {
    let mut d = desk();
    let token = d.read("read");
    assert_eq!(d.confirmed(token, Some(2)), []);
    assert_eq!(d.take(entry(1, 1, 1)), Ok(vec![OrderEvent::Changed(ChangedPart::Config)]));
    let data = ByteBuf::from(encode(&CellState::default()).to_vec());
    let snap = Snapshot { index: 5, term: 1, data, ..Snapshot::default() };
    assert_eq!(d.take(Effect::Restore(snap)), Ok(vec![OrderEvent::Restored, served(2)]));
    assert_eq!(d.applied(), 5);
}

/// Another version wrote them: they are named, not left out.
#[test]
fn what_cannot_be_read_is_an_error() {
    let mut d = desk();
    let body = Body::Command(ByteBuf::from(vec![0xff, 1, 2]));
    let unread = d.take(Effect::Apply(Entry { index: 1, term: 1, body }));
    assert_eq!(unread, Err(UnreadableState { index: 1 }));
    for data in [vec![0xff], Vec::new()] {
        let snap = Snapshot { index: 9, data: ByteBuf::from(data), ..Snapshot::default() };
        assert_eq!(d.take(Effect::Restore(snap)), Err(UnreadableState { index: 9 }));
    }
    assert_eq!((d.applied(), d.state().config_version()), (0, 0));
}
