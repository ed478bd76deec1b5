//! What the stores' answers to an open come to: pure, fed one answer at a time.
use crate::prelude::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenFault {
    /// The allowance has no room for the most of this turn.
    Spent,
    /// Too many attempts of the session, or of the program, hold a slot.
    Capacity,
    /// No store of the group holds the earlier turn.
    NoTurn,
    /// Too few stores answered to be sure.
    Unsure,
}

#[derive(Debug, Default)]
pub struct Opened {
    /// The chain, oldest first.
    pub chain: Vec<Arc<TurnRecord>>,
    /// The attempt that this node holds now.
    pub claim: Option<Claim>,
}

/// Whether the turn before is found, and its chain. Invariants: only stores that know the program whole
/// count as answered; `yes` holds chains as stores told them; `turns` what was brought of them.
pub struct OpenLedger {
    /// Stores in the program's group, and how many of them must answer.
    pub size: usize,
    pub quorum: usize,
    /// How many must say that they don't hold the turn.
    pub noes: usize,
    pub wants_turn: bool,
    /// All stores are asked, not a program's group.
    pub everywhere: bool,
    pub answered: usize,
    /// Those that failed, or don't know the program whole.
    pub failed: usize,
    pub said_no: usize,
    pub yes: Vec<(u64, Vec<String>)>,
    pub turns: HashMap<String, TurnRecord>,
    /// Stores that have given all they hold of the chain.
    asked: Vec<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OpenStep {
    /// More answers are needed.
    Wait,
    /// Ask this store for these turns.
    Fetch(u64, Vec<String>),
    /// The group doesn't hold the turn, or not its whole chain: it may be another program's.
    Search,
    Ready,
    Fault(OpenFault),
}

impl OpenLedger {
    pub fn new(size: usize, quorum: usize, wants_turn: bool) -> Self {
        OpenLedger {
            size,
            quorum,
            noes: quorum,
            wants_turn,
            everywhere: false,
            answered: 0,
            failed: 0,
            said_no: 0,
            yes: Vec::new(),
            turns: HashMap::new(),
            asked: Vec::new(),
        }
    }

    /// A search over all of a set's stores, whichever program's the turn is. A turn that counts lies
    /// with a quorum of some group: it is nowhere when fewer placed stores than that haven't said no.
    pub fn search(set: &StoreSet, size: usize) -> Self {
        let noes = (set.placed() + 1).saturating_sub(set.quorum()).max(1);
        OpenLedger { noes, everywhere: true, ..OpenLedger::new(size, 0, true) }
    }

    /// Takes a store's answer; `counts` tells that it knows the program whole and granted the claim,
    /// `wanted` that it was to bring the chain along.
    pub fn take(
        &mut self,
        store: u64,
        counts: bool,
        wanted: bool,
        r: (TurnLookup, Vec<TurnRecord>),
    ) {
        let (lookup, turns) = r;
        match counts {
            true => self.answered += 1,
            false => self.failed += 1,
        }
        match lookup {
            TurnLookup::Found(ids) => {
                // One that says no has brought nothing, and may hold turns before this one.
                if wanted {
                    self.asked.push(store);
                }
                self.yes.push((store, ids));
            }
            TurnLookup::Missing => self.said_no += usize::from(counts),
        }
        self.bring(turns);
    }

    pub fn bring(&mut self, turns: Vec<TurnRecord>) {
        for t in turns {
            self.turns.insert(t.id.clone(), t);
        }
    }

    pub fn fail(&mut self) {
        self.failed += 1;
    }

    fn all_heard(&self) -> bool {
        self.answered + self.failed >= self.size
    }

    fn missing(&self) -> Option<Vec<String>> {
        let (_, ids) = self.yes.first()?;
        Some(ids.iter().filter(|i| !self.turns.contains_key(*i)).cloned().collect())
    }

    /// What to do next; a store named in `Fetch` is then taken as asked. `others` are all that may be
    /// asked for turns, the likeliest first.
    pub fn step(&mut self, others: &[u64]) -> OpenStep {
        if self.size < self.quorum + self.failed {
            return OpenStep::Fault(OpenFault::Unsure);
        }
        if self.answered < self.quorum {
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
            let next = holders.chain(others.iter().copied()).find(|s| !self.asked.contains(s));
            return match next {
                Some(s) => {
                    self.asked.push(s);
                    OpenStep::Fetch(s, missing)
                }
                None if self.all_heard() => self.not_here(OpenFault::Unsure),
                None => OpenStep::Wait,
            };
        }
        // A turn that counts lies with a majority of its group, which no other majority misses.
        if self.said_no >= self.noes {
            return self.not_here(OpenFault::NoTurn);
        }
        match self.all_heard() {
            true => OpenStep::Fault(OpenFault::Unsure),
            false => OpenStep::Wait,
        }
    }

    fn not_here(&self, f: OpenFault) -> OpenStep {
        match self.everywhere {
            true => OpenStep::Fault(f),
            false => OpenStep::Search,
        }
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
