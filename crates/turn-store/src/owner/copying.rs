//! Filling a newcomer's ledger, and giving lost copies a new place.
use super::work::{StoreCommand, StoreHandle};
use crate::prelude::*;

const WITHIN: Duration = Duration::from_millis(1000);
const BATCH_BYTES: usize = 256 << 10;

/// Takes the whole ledger from every counted store it can, a majority at the least.
pub async fn fill(set: StoreSet, me: u64, h: StoreHandle) {
    let others: Vec<&StoreEntry> = set.counted().filter(|e| e.id != me).collect();
    let counted = set.counted().count();
    let need = (counted / 2 + 1).min(others.len());
    let mut done: HashSet<u64> = HashSet::new();
    let mut rounds = 0;
    loop {
        for e in &others {
            if !done.contains(&e.id) && pull(&set, e, &h).await.is_some() {
                done.insert(e.id);
            }
        }
        rounds += 1;
        // All of them, or after some patience those that a majority needs.
        if done.len() == others.len() || (rounds >= 3 && done.len() >= need) {
            h.send(StoreCommand::Filled(set.serial)).await;
            return;
        }
        if rounds > 300 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
}

async fn pull(set: &StoreSet, from: &StoreEntry, h: &StoreHandle) -> Option<()> {
    let c = Caller::new(from.addr.clone());
    let mut after = None;
    loop {
        let q = StoreCall::Ledger { serial: set.serial, after };
        match c.call::<_, StoreReply>(&q, WITHIN).await {
            Ok(StoreReply::Ledger { rows, more }) => {
                let (tx, rx) = oneshot::channel();
                if !h.send(StoreCommand::Merge(rows, tx)).await {
                    return None;
                }
                rx.await.ok()?;
                match more {
                    Some(a) => after = Some(a),
                    None => return Some(()),
                }
            }
            _ => return None,
        }
    }
}

/// Hands over every planned record; tells the owner when all are in their new places.
pub async fn push_all(set: StoreSet, pushes: Vec<Push>, h: StoreHandle) {
    let serial = set.serial;
    for p in pushes {
        let Some(to) = set.find(p.to) else { continue };
        let c = Caller::new(to.addr.clone());
        let mut rest = p.records;
        let mut tries = 0;
        while !rest.is_empty() {
            let mut size = 0;
            let n = rest
                .iter()
                .take_while(|r| {
                    let first = size == 0;
                    size += r.input.len() + r.output.len() + 200;
                    first || size < BATCH_BYTES
                })
                .count();
            let batch: Vec<TurnRecord> = rest[..n].to_vec();
            let q = StoreCall::Keep { records: batch.clone() };
            match c.call::<_, StoreReply>(&q, WITHIN).await {
                Ok(StoreReply::Done) => {
                    rest.drain(..n);
                    tries = 0;
                    let cmd = StoreCommand::Pushed { serial, records: batch, all: false };
                    if !h.send(cmd).await {
                        return;
                    }
                }
                _ => {
                    tries += 1;
                    if tries > 60 {
                        return;
                    }
                    tokio::time::sleep(Duration::from_millis(150)).await;
                }
            }
        }
    }
    h.send(StoreCommand::Pushed { serial, records: Vec::new(), all: true }).await;
}
