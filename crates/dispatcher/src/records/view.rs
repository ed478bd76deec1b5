//! What a store's reply to a claim tells of the program's other attempts.
use crate::prelude::*;

use super::attempt::{valid_settlement, valid_stop};

/// An attempt that is unfinished, not surely stopped, or was recovered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptView {
    #[serde(rename = "r")]
    pub req: u64,
    #[serde(rename = "l")]
    pub session: u64,
    #[serde(rename = "k")]
    pub number: u32,
    #[serde(rename = "e")]
    pub epoch: Epoch,
    #[serde(rename = "m")]
    pub most: u32,
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub call: Option<Call>,
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub settlement: Option<Settlement>,
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub stop: Option<CallPoint>,
    /// The lease has lapsed at the store that tells.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub lapsed: bool,
    /// The pinned deadline, and the slack after it, have passed at the store that tells.
    #[serde(rename = "p", default, skip_serializing_if = "std::ops::Not::not")]
    pub passed: bool,
}

impl AttemptView {
    /// Stricter than a record: a recovery under way voids what the holder before it settled, until the
    /// recoverer settles the attempt; it may be relaunched.
    fn settled(&self) -> Option<u32> {
        let s = self.settlement.filter(|s| s.epoch >= self.epoch);
        valid_settlement(s, self.call.as_ref())
    }

    pub fn is_settled(&self) -> bool {
        self.settled().is_some()
    }

    pub fn is_stopped(&self) -> bool {
        valid_stop(self.stop, self.call.as_ref())
    }

    /// At its most, or what it was settled at.
    pub fn tokens(&self) -> u32 {
        self.settled().unwrap_or(self.most)
    }

    /// What several stores tell of one attempt; `lapsed` is counted apart.
    pub(crate) fn join(&mut self, o: AttemptView) {
        self.session = self.session.max(o.session);
        self.number = self.number.max(o.number);
        self.epoch = self.epoch.max(o.epoch);
        self.most = self.most.max(o.most);
        self.call = self.call.take().max(o.call);
        self.settlement = self.settlement.max(o.settlement);
        self.stop = self.stop.max(o.stop);
        self.passed |= o.passed;
    }

    pub(crate) fn finished(req: u64, tokens: u32) -> Self {
        AttemptView {
            req,
            session: 0,
            number: 0,
            epoch: Epoch::NONE,
            most: 0,
            call: None,
            settlement: Some(Settlement { epoch: Epoch::ANY_FIRST, tokens }),
            stop: Some(CallPoint::all_of(Epoch::ANY_FIRST)),
            lapsed: false,
            passed: false,
        }
    }
}

/// All attempts of a program at one store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramView {
    /// Settled and stopped in their first round.
    #[serde(rename = "d", default, skip_serializing_if = "Finished::is_empty")]
    pub finished: Finished,
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub live: Vec<AttemptView>,
}
