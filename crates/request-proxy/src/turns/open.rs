//! What the stores' answers to an open come to: pure, fed one answer at a time.
use crate::prelude::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenFault {
    /// The allowance has no room for the most of this turn.
    Spent,
    /// No store of the set holds the earlier turn.
    NoTurn,
    /// Too few stores answered to be sure.
    Unsure,
}

#[derive(Debug, Default)]
pub struct Opened {
    /// The chain, oldest first.
    pub chain: Vec<TurnRecord>,
}

/// Invariants: an entry that any store calls settled counts as settled; every other counts at its
/// most. `yes` holds chains as stores told them; `turns` what was brought of them.
pub struct OpenLedger {
    pub req: u64,
    pub counted: usize,
    pub majority: usize,
    /// How many must say no.
    pub noes: usize,
    pub wants_turn: bool,
    pub answered: usize,
    pub failed: usize,
    pub said_no: usize,
    entries: HashMap<u64, LedgerEntry>,
    pub yes: Vec<(u64, Vec<String>)>,
    pub turns: HashMap<String, TurnRecord>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OpenStep {
    /// More answers are needed.
    Wait,
    /// Ask this store for these turns.
    Fetch(u64, Vec<String>),
    Ready,
    Fault(OpenFault),
}

impl OpenLedger {
    pub fn new(set: &StoreSet, req: u64, wants_turn: bool) -> Self {
        OpenLedger {
            req,
            counted: set.counted().count(),
            majority: set.majority(),
            noes: set.noes(),
            wants_turn,
            answered: 0,
            failed: 0,
            said_no: 0,
            entries: HashMap::new(),
            yes: Vec::new(),
            turns: HashMap::new(),
        }
    }

    pub fn take(&mut self, store: u64, r: OpenReply) {
        self.answered += 1;
        for e in r.ledger {
            let old = self.entries.entry(e.req).or_insert(e);
            if e.settled && !old.settled {
                *old = e;
            }
        }
        match r.held {
            Held::Yes(ids) => self.yes.push((store, ids)),
            Held::No => self.said_no += 1,
            Held::Unsure => {}
        }
        self.bring(r.turns);
    }

    pub fn bring(&mut self, turns: Vec<TurnRecord>) {
        for t in turns {
            self.turns.insert(t.id.clone(), t);
        }
    }

    pub fn fail(&mut self) {
        self.failed += 1;
    }

    /// Tokens that all other turns put out, or may yet.
    pub fn spent(&self) -> u64 {
        self.entries.values().filter(|e| e.req != self.req).map(|e| u64::from(e.tokens)).sum()
    }

    fn missing(&self) -> Option<Vec<String>> {
        let (_, ids) = self.yes.first()?;
        Some(ids.iter().filter(|i| !self.turns.contains_key(*i)).cloned().collect())
    }

    /// What to do next. `asked` names the stores already asked for turns in vain.
    pub fn step(&self, asked: &[u64], others: &[u64]) -> OpenStep {
        if self.answered + (self.counted - self.answered - self.failed) < self.majority {
            return OpenStep::Fault(OpenFault::Unsure);
        }
        if self.answered < self.majority {
            return OpenStep::Wait;
        }
        if !self.wants_turn {
            return OpenStep::Ready;
        }
        if let Some(missing) = self.missing() {
            if missing.is_empty() {
                return OpenStep::Ready;
            }
            // Those that hold the turn first, then any other.
            let holders = self.yes.iter().map(|(s, _)| *s);
            let next = holders.chain(others.iter().copied()).find(|s| !asked.contains(s));
            return match next {
                Some(s) => OpenStep::Fetch(s, missing),
                None if self.answered + self.failed >= self.counted => {
                    OpenStep::Fault(OpenFault::Unsure)
                }
                None => OpenStep::Wait,
            };
        }
        // Each turn lies on two stores: when all but one say no, none has it. While a lost store's
        // copies are given anew, all must.
        if self.said_no >= self.noes {
            return OpenStep::Fault(OpenFault::NoTurn);
        }
        if self.answered + self.failed >= self.counted {
            return OpenStep::Fault(OpenFault::Unsure);
        }
        OpenStep::Wait
    }

    /// The chain in order, once it is whole.
    pub fn chain(mut self) -> Vec<TurnRecord> {
        let ids = match self.yes.into_iter().next() {
            Some((_, ids)) => ids,
            None => return Vec::new(),
        };
        ids.iter().filter_map(|i| self.turns.remove(i)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn set(n: u64) -> StoreSet {
        let stores = (1..=n)
            .map(|id| StoreEntry {
                id,
                name: format!("s{id}"),
                addr: String::new(),
                area: String::new(),
                state: StoreState::Ready,
                since: 1,
            })
            .collect();
        StoreSet { serial: 1, stores, emptied: Vec::new(), mending: None }
    }

    fn reply(ledger: &[(u64, u32, bool)], held: Held, turns: &[&str]) -> OpenReply {
        let ledger = ledger
            .iter()
            .map(|(req, tokens, settled)| LedgerEntry {
                req: *req,
                tokens: *tokens,
                settled: *settled,
            })
            .collect();
        let turns = turns
            .iter()
            .map(|id| TurnRecord {
                id: id.to_string(),
                chain: Vec::new(),
                program: "p".into(),
                input: ByteBuf::new(),
                output: ByteBuf::new(),
                engine: String::new(),
                line_tokens: 0,
                keep_ms: 0,
                copies: Vec::new(),
            })
            .collect();
        OpenReply { ledger, held, turns }
    }

    fn yes(ids: &[&str]) -> Held {
        Held::Yes(ids.iter().map(|s| s.to_string()).collect())
    }

    #[test]
    fn not_found_takes_all_but_one_unsure_otherwise() {
        let mut l = OpenLedger::new(&set(4), 9, true);
        for s in 1..=2 {
            l.take(s, reply(&[], Held::No, &[]));
            assert_eq!(l.step(&[], &[]), OpenStep::Wait);
        }
        l.fail();
        assert_eq!(l.step(&[], &[]), OpenStep::Wait);
        l.take(4, reply(&[], Held::No, &[]));
        assert_eq!(l.step(&[], &[]), OpenStep::Fault(OpenFault::NoTurn));
        let mut l = OpenLedger::new(&set(4), 9, true);
        for s in 1..=2 {
            l.take(s, reply(&[], Held::No, &[]));
        }
        l.take(3, reply(&[], Held::Unsure, &[]));
        l.fail();
        assert_eq!(l.step(&[], &[]), OpenStep::Fault(OpenFault::Unsure));
        let mut l = OpenLedger::new(&set(4), 9, false);
        l.fail();
        l.fail();
        assert_eq!(l.step(&[], &[]), OpenStep::Fault(OpenFault::Unsure));
    }

    #[test]
    fn a_chain_is_gathered_from_several_stores_in_order() {
        let mut l = OpenLedger::new(&set(4), 9, true);
        l.take(1, reply(&[], yes(&["a", "b", "c"]), &["c", "b"]));
        l.take(2, reply(&[], Held::No, &[]));
        l.take(3, reply(&[], Held::No, &[]));
        assert_eq!(l.step(&[1], &[1, 2, 3]), OpenStep::Fetch(2, vec!["a".into()]));
        l.bring(reply(&[], Held::No, &["a"]).turns);
        assert_eq!(l.step(&[1, 2], &[1, 2, 3]), OpenStep::Ready);
        let ids: Vec<String> = l.chain().into_iter().map(|t| t.id).collect();
        assert_eq!(ids, ["a", "b", "c"]);
    }

    /// Generated: programs open turns through nodes that see any majority; however answers are mixed,
    /// what is put out never exceeds the allowance.
    #[test]
    fn the_allowance_holds_over_all_nodes_and_majorities() {
        for seed in 0..300u64 {
            arbtest::arbtest(|u| {
                let n = u.int_in_range(3..=5usize)?;
                let need = n / 2 + 1;
                let allowance = u.int_in_range(50..=400u64)?;
                let mut stores: Vec<BTreeMap<u64, (u32, bool)>> = vec![BTreeMap::new(); n];
                let mut put_out = 0u64;
                let mut under_way: Vec<(u64, u32)> = Vec::new();
                for req in 1..=u.int_in_range(1..=25u64)? {
                    let most = u.int_in_range(10..=60u32)?;
                    // Reserve at a random majority, in any order; others may miss it.
                    let mut order: Vec<usize> = (0..n).collect();
                    for i in 0..n {
                        let j = u.int_in_range(i..=n - 1)?;
                        order.swap(i, j);
                    }
                    let mut l = OpenLedger::new(&set(n as u64), req, false);
                    for s in &order[..need] {
                        stores[*s].entry(req).or_insert((most, false));
                        let rows: Vec<(u64, u32, bool)> =
                            stores[*s].iter().map(|(r, (t, f))| (*r, *t, *f)).collect();
                        l.take(*s as u64 + 1, reply(&rows, Held::No, &[]));
                    }
                    assert_eq!(l.step(&[], &[]), OpenStep::Ready);
                    if l.spent() + u64::from(most) > allowance {
                        for s in stores.iter_mut() {
                            if let Some(e) = s.get_mut(&req) {
                                *e = (0, true);
                            }
                        }
                    } else {
                        under_way.push((req, most));
                    }
                    if !under_way.is_empty() && u.arbitrary()? {
                        let i = u.int_in_range(0..=under_way.len() - 1)?;
                        let (req, most) = under_way.swap_remove(i);
                        let used = u.int_in_range(0..=most)?;
                        put_out += u64::from(used);
                        // Settled at two stores at the least; a node that dies settles at none.
                        let to = u.int_in_range(0..=n)?;
                        if to >= 2 {
                            for s in stores.iter_mut().take(to) {
                                s.insert(req, (used, true));
                            }
                        }
                    }
                    let running: u64 = under_way.iter().map(|(_, m)| u64::from(*m)).sum();
                    assert!(put_out + running <= allowance);
                }
                Ok(())
            })
            .seed(seed << 32 | 2048);
        }
    }
}
