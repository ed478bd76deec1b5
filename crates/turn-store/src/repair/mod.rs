//! Repair: copies lost with a store are given anew by those who were told first.
use crate::prelude::*;

#[derive(Debug, Clone, PartialEq)]
pub struct Push {
    pub to: u64,
    pub records: Vec<TurnRecord>,
}

/// Which records this store must hand to whom, so that each has two copies on stores that stay. The
/// first of its copies that is ready sees to a record; if none is, the one that is leaving does.
pub fn plan_pushes<'a>(
    set: &StoreSet,
    me: u64,
    records: impl Iterator<Item = &'a TurnRecord>,
) -> Vec<Push> {
    let mut out: BTreeMap<u64, Vec<TurnRecord>> = BTreeMap::new();
    let stays = |id: u64| set.find(id).is_some_and(|e| e.state != StoreState::Leaving);
    for r in records {
        let mut keep: Vec<u64> = r.copies.iter().copied().filter(|id| stays(*id)).collect();
        if keep.len() >= 2 {
            continue;
        }
        let first = keep
            .first()
            .copied()
            .or_else(|| r.copies.iter().copied().find(|id| set.find(*id).is_some()));
        if first.is_some_and(|id| id != me) {
            continue;
        }
        let areas: Vec<&str> =
            keep.iter().filter_map(|id| set.find(*id)).map(|e| e.area.as_str()).collect();
        let free = || set.stores.iter().filter(|e| stays(e.id) && !keep.contains(&e.id));
        let rank = rank_by_rendezvous(fnv64(r.program.as_bytes()), free().map(|e| e.id));
        let need = 2 - keep.len();
        let apart = |id: &&u64| set.find(**id).is_some_and(|e| !areas.contains(&e.area.as_str()));
        let mut to: Vec<u64> = rank.iter().filter(apart).take(need).copied().collect();
        for id in &rank {
            if to.len() < need && !to.contains(id) {
                to.push(*id);
            }
        }
        to.retain(|id| *id != me);
        keep.extend(&to);
        let mut rec = r.clone();
        rec.copies = keep;
        for id in to {
            out.entry(id).or_default().push(rec.clone());
        }
    }
    out.into_iter().map(|(to, records)| Push { to, records }).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(id: u64, state: StoreState) -> StoreEntry {
        StoreEntry {
            id,
            name: format!("s{id}"),
            addr: String::new(),
            area: format!("a{id}"),
            state,
            since: 1,
        }
    }

    fn rec(id: u64, copies: &[u64]) -> TurnRecord {
        TurnRecord {
            id: format!("t{id}"),
            chain: Vec::new(),
            program: format!("p{id}"),
            input: ByteBuf::new(),
            output: ByteBuf::new(),
            engine: String::new(),
            line_tokens: 0,
            keep_ms: 1,
            copies: copies.to_vec(),
        }
    }

    /// Generated: whatever store is lost or leaves, every record a store still holds ends with two
    /// copies on stores that stay, and just one store pushes each.
    #[test]
    fn every_record_gets_two_copies_that_stay() {
        for seed in 0..200u64 {
            arbtest::arbtest(|u| {
                let n = u.int_in_range(3..=6u64)?;
                let mut stores: Vec<StoreEntry> =
                    (1..=n).map(|i| entry(i, StoreState::Ready)).collect();
                let hit = u.int_in_range(1..=n)?;
                let wiped: bool = u.arbitrary()?;
                if wiped {
                    stores.retain(|e| e.id != hit);
                    stores.push(entry(90 + hit, StoreState::Copying));
                } else {
                    stores[hit as usize - 1].state = StoreState::Leaving;
                }
                let set = StoreSet { serial: 2, stores, emptied: Vec::new(), mending: None };
                let mut recs = Vec::new();
                for i in 0..20 {
                    let a = u.int_in_range(1..=n)?;
                    let b = 1 + (a + u.int_in_range(0..=n - 2)?) % n;
                    recs.push(rec(i, &[a, b]));
                }
                let mut got: HashMap<String, Vec<Vec<u64>>> = HashMap::new();
                for e in &set.stores {
                    let own = recs.iter().filter(|r| r.copies.contains(&e.id));
                    for p in plan_pushes(&set, e.id, own) {
                        assert_ne!(p.to, e.id);
                        for r in p.records {
                            got.entry(r.id).or_default().push(r.copies);
                        }
                    }
                }
                for r in &recs {
                    if r.copies.contains(&hit) {
                        let c = &got[&r.id];
                        assert_eq!(c.len(), 1, "pushed once");
                        assert_eq!(c[0].len(), 2);
                        assert!(!c[0].contains(&hit));
                    } else {
                        assert!(!got.contains_key(&r.id));
                    }
                }
                Ok(())
            })
            .seed(seed << 32 | 1024);
        }
    }
}
