//! What the tests of the store's tables share.
#![allow(dead_code)]
use dispatcher::prelude::{Epoch, NewAttempt, Pinned};
use turn_store::prelude::*;

pub const NOW: Duration = Duration::from_secs(1);
pub const FOUNDER: Option<VersionSpan> = Some(VersionSpan { from: 1, to: 1 });

pub fn tables(caught_up: Option<VersionSpan>) -> StoreTables {
    let mut h = History::new(1, caught_up);
    h.learn(set_of(&[1, 2, 3]));
    StoreTables::new(h, Limits::default())
}

pub fn set_of(ids: &[u64]) -> StoreSet {
    StoreSet::default().next(|s| {
        s.tolerated = 1;
        s.stores = ids
            .iter()
            .map(|id| StoreEntry {
                id: *id,
                name: format!("s{id}"),
                addr: String::new(),
                zone: format!("z{id}"),
                state: StoreState::Placed,
                since: 1,
                rank: *id,
                loss_counted: true,
            })
            .collect();
    })
}

pub fn record(program: &str, id: &str, chain: &[&str]) -> TurnRecord {
    TurnRecord {
        id: id.into(),
        chain: chain.iter().map(|s| s.to_string()).collect(),
        program: program.into(),
        input: ByteBuf::from(b"in".to_vec()),
        output: ByteBuf::from(b"out\n".to_vec()),
        engine: "i".into(),
        session_tokens: 1,
        keep_ms: 60_000,
    }
}

pub fn attempt(req: u64, most: u32) -> NewAttempt {
    let pinned = Pinned { service: "s".into(), deadline_ms: 6000, ..Pinned::default() };
    let (node, incarnation) = (5, 100 + req);
    NewAttempt {
        req,
        session: 7,
        number: 0,
        node,
        incarnation,
        consumed: None,
        pinned,
        most,
        engine: None,
    }
}

pub fn claim(a: NewAttempt) -> LedgerWrite {
    LedgerWrite::Claim { attempt: a, lease: Duration::from_secs(60) }
}

pub fn settle(req: u64, epoch: Option<Epoch>, tokens: u32) -> LedgerWrite {
    LedgerWrite::Settle { req, epoch, tokens, stopped: true, call: None }
}
