//! What the stores' outcomes of a recovery come to.
use crate::prelude::*;

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecoverDecision {
    NeedMore,
    /// Nothing was started, and nothing can be any more under an older epoch. The reservation is given
    /// back without spending a retry; or the turn is sent anew under this epoch, within its first
    /// deadline, if a `ClaimTally` of the same outcomes and views says go.
    Relaunch,
    /// It may have run: it counts at its most, and its slot is held until a stop is seen.
    Adopt {
        engine: String,
    },
    /// It has its terminal result.
    Settled {
        tokens: u32,
    },
    /// A majority refused: its lease runs, or another life recovers it.
    Lost,
}

/// Invariant: each store counts once.
pub struct RecoverTally {
    quorum: usize,
    req: u64,
    epoch: Epoch,
    stores: BTreeSet<u64>,
    granted: usize,
    call: Option<Call>,
    most: u32,
    /// The newest settlement, and whether that store knows of a stop.
    settled: Option<(Settlement, bool)>,
    done: usize,
}

impl RecoverTally {
    pub fn new(quorum: usize, req: u64, epoch: Epoch) -> Self {
        RecoverTally {
            quorum,
            req,
            epoch,
            stores: BTreeSet::new(),
            granted: 0,
            call: None,
            most: 0,
            settled: None,
            done: 0,
        }
    }

    pub fn take(&mut self, store: u64, outcome: &WriteOutcome) {
        if !self.stores.insert(store) {
            return;
        }
        match outcome {
            WriteOutcome::Recovered { call, most } => {
                self.granted += 1;
                self.most = self.most.max(*most);
                self.call = self.call.take().max(call.clone());
            }
            WriteOutcome::AlreadySettled { epoch, tokens, stopped, call } => {
                self.done += 1;
                let s = Settlement { epoch: *epoch, tokens: *tokens };
                self.settled = self.settled.max(Some((s, *stopped)));
                self.call = self.call.take().max(call.clone());
            }
            _ => {}
        }
    }

    /// A settlement older than the newest call is void: a relaunch came after it.
    fn valid(&self) -> Option<(Settlement, bool)> {
        let e = self.call.as_ref().map_or(Epoch::NONE, |c| c.at.0);
        self.settled.filter(|(s, _)| s.epoch >= e)
    }

    pub fn decide(&self) -> RecoverDecision {
        if self.granted + self.done >= self.quorum {
            if let Some((s, _)) = self.valid() {
                return RecoverDecision::Settled { tokens: s.tokens };
            }
        }
        if self.granted < self.quorum {
            return match self.stores.len() - self.granted >= self.quorum {
                true => RecoverDecision::Lost,
                false => RecoverDecision::NeedMore,
            };
        }
        match &self.call {
            None => RecoverDecision::Relaunch,
            Some(c) => RecoverDecision::Adopt { engine: c.engine.clone() },
        }
    }

    /// The settlement that follows for a turn nobody waits for any more: a relaunch gives back the
    /// whole reservation, an adopted one counts at its most and isn't known to have stopped, and one
    /// settled at some store only is settled alike at all.
    pub fn settle(&self) -> Option<LedgerWrite> {
        let (tokens, stopped) = match self.decide() {
            RecoverDecision::Relaunch => (0, true),
            RecoverDecision::Adopt { .. } => (self.most, false),
            RecoverDecision::Settled { tokens } => (tokens, self.valid().is_some_and(|(_, s)| s)),
            _ => return None,
        };
        let call = self.call.clone().filter(|_| !stopped);
        Some(LedgerWrite::Settle { req: self.req, epoch: Some(self.epoch), tokens, stopped, call })
    }
}
