//! One attempt at a session's next turn, as a join-semilattice.
use crate::prelude::*;

/// How far an attempt got towards its engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Invoke {
    #[serde(rename = "p")]
    Pending,
    /// The engine's id was written down, synced at a majority, before it was reached.
    #[serde(rename = "c")]
    Called {
        #[serde(rename = "e")]
        engine: String,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Running,
    Settled { tokens: u32 },
}

/// Behaviour fixed at the claim: a later configuration doesn't change an attempt under way.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Pinned {
    #[serde(rename = "v")]
    pub config_version: u64,
    /// The binding: which service's engines may run it.
    #[serde(rename = "s")]
    pub service: String,
    /// The retry policy: engines it may be sent to at the most.
    #[serde(rename = "m")]
    pub max_attempts: u32,
    /// What the client waits, from its request on.
    #[serde(rename = "d")]
    pub deadline_ms: u64,
    /// The turn is kept by the stores after it ends.
    #[serde(rename = "r")]
    pub retained: bool,
}

/// A place in the order of an attempt's sends: by epoch, then by send under it (from 1).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallPoint(pub Epoch, pub u32);

impl CallPoint {
    /// Covers all sends made under an epoch.
    pub fn all_of(epoch: Epoch) -> Self {
        CallPoint(epoch, u32::MAX)
    }
}

/// The marker of the newest send. Invariant: a node sends again under one epoch only after proof that
/// the send before didn't run, so the newest is the only one that may run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Call {
    #[serde(rename = "a")]
    pub at: CallPoint,
    #[serde(rename = "e")]
    pub engine: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Settlement {
    #[serde(rename = "e")]
    pub epoch: Epoch,
    #[serde(rename = "t")]
    pub tokens: u32,
}

/// A stretch during which one life of a node held the lease; not proof that anything ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    #[serde(rename = "e")]
    pub epoch: Epoch,
    #[serde(rename = "n")]
    pub node: u64,
    #[serde(rename = "i")]
    pub incarnation: u64,
    #[serde(rename = "c", default, skip_serializing_if = "is_false")]
    pub called: bool,
    #[serde(rename = "r", default, skip_serializing_if = "is_false")]
    pub recovered: bool,
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub relaunched: bool,
}

fn is_false(b: &bool) -> bool {
    !b
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

fn is_default<T: Default + PartialEq>(t: &T) -> bool {
    *t == T::default()
}

/// What a claim asks for. With `engine` the launch follows at once: the one write carries claim,
/// launch intent and marker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewAttempt {
    /// Hash of the request's id.
    #[serde(rename = "r")]
    pub req: u64,
    /// Hash of the session's id.
    #[serde(rename = "l")]
    pub session: u64,
    /// Proposed; a store that knows of later attempts of the session raises it.
    #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
    pub number: u32,
    #[serde(rename = "n")]
    pub node: u64,
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Hash of the previous turn's id.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub consumed: Option<u64>,
    #[serde(rename = "p")]
    pub pinned: Pinned,
    /// Tokens it may put out.
    #[serde(rename = "m")]
    pub most: u32,
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<String>,
}

impl NewAttempt {
    pub fn epoch(&self) -> Epoch {
        Epoch::first(self.node, self.incarnation, self.req)
    }

    pub fn record(&self) -> AttemptRecord {
        let epoch = self.epoch();
        let call = self.engine.clone().map(|engine| Call { at: CallPoint(epoch, 1), engine });
        let segment = Segment {
            epoch,
            node: self.node,
            incarnation: self.incarnation,
            called: call.is_some(),
            recovered: false,
            relaunched: false,
        };
        AttemptRecord {
            session: self.session,
            number: self.number,
            consumed: self.consumed,
            pinned: self.pinned.clone(),
            most: self.most,
            call,
            segments: vec![segment],
            ..AttemptRecord::stub(self.req)
        }
    }
}

/// An attempt, whole or in part (a store logs only what changed). Invariants: each field only grows in
/// its own order, `join` takes the greater of each, so it is commutative, associative and idempotent;
/// `segments` are the newest `RETAINED_SEGMENTS` ever seen, by epoch, the last being the holder's;
/// `dropped` is the greatest epoch that fell out of them. Whether it is settled or stopped is derived:
/// a settlement or a stop counts unless a send was marked after it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    #[serde(rename = "r")]
    pub req: u64,
    #[serde(rename = "l", default, skip_serializing_if = "is_default")]
    pub session: u64,
    /// Order in the session; the request's hash decides between equal ones.
    #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
    pub number: u32,
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub consumed: Option<u64>,
    #[serde(rename = "p", default, skip_serializing_if = "is_default")]
    pub pinned: Pinned,
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    pub most: u32,
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub call: Option<Call>,
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub settlement: Option<Settlement>,
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub stop: Option<CallPoint>,
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub segments: Vec<Segment>,
    #[serde(rename = "d", default, skip_serializing_if = "Epoch::is_none")]
    pub dropped: Epoch,
}

impl AttemptRecord {
    pub const RETAINED_SEGMENTS: usize = 4;

    /// Nothing known but the request.
    pub fn stub(req: u64) -> Self {
        AttemptRecord {
            req,
            session: 0,
            number: 0,
            consumed: None,
            pinned: Pinned::default(),
            most: 0,
            call: None,
            settlement: None,
            stop: None,
            segments: Vec::new(),
            dropped: Epoch::NONE,
        }
    }

    /// What every logged part says: enough for the budget and the slots.
    pub(crate) fn part(&self) -> Self {
        AttemptRecord {
            session: self.session,
            number: self.number,
            most: self.most,
            ..AttemptRecord::stub(self.req)
        }
    }

    /// The epoch with authority; `Epoch::NONE` when only a settlement was seen.
    pub fn epoch(&self) -> Epoch {
        self.segments.last().map_or(Epoch::NONE, |s| s.epoch)
    }

    /// The node and its incarnation that hold the attempt.
    pub fn holder(&self) -> Option<(u64, u64)> {
        self.segments.last().map(|s| (s.node, s.incarnation))
    }

    /// The marker; it lasts over recoveries, since a call made under an older epoch may still run.
    pub fn invoke(&self) -> Invoke {
        match &self.call {
            None => Invoke::Pending,
            Some(c) => Invoke::Called { engine: c.engine.clone() },
        }
    }

    pub fn outcome(&self) -> Outcome {
        match valid_settlement(self.settlement, self.call.as_ref()) {
            Some(tokens) => Outcome::Settled { tokens },
            None => Outcome::Running,
        }
    }

    pub fn is_settled(&self) -> bool {
        self.outcome() != Outcome::Running
    }

    /// Its execution has surely stopped.
    pub fn is_stopped(&self) -> bool {
        valid_stop(self.stop, self.call.as_ref())
    }

    /// What it counts in the budget.
    pub fn tokens(&self) -> u32 {
        match self.outcome() {
            Outcome::Settled { tokens } => tokens,
            Outcome::Running => self.most,
        }
    }

    /// At least so many segments fell out of `segments`.
    pub fn dropped_segments(&self) -> u64 {
        self.dropped.round()
    }

    pub(crate) fn segment(&mut self, s: Segment) -> bool {
        if s.epoch <= self.dropped {
            return false;
        }
        match self.segments.binary_search_by_key(&s.epoch, |x| x.epoch) {
            Ok(i) => {
                let x = &mut self.segments[i];
                let old = *x;
                (x.node, x.incarnation) = (x.node, x.incarnation).max((s.node, s.incarnation));
                x.called |= s.called;
                x.recovered |= s.recovered;
                x.relaunched |= s.relaunched;
                *x != old
            }
            Err(i) => {
                self.segments.insert(i, s);
                if self.segments.len() > Self::RETAINED_SEGMENTS {
                    let oldest = self.segments.remove(0);
                    self.dropped = self.dropped.max(oldest.epoch);
                }
                true
            }
        }
    }

    /// Takes in what another record of the same request says; true when that changed this one.
    pub fn join(&mut self, o: &AttemptRecord) -> bool {
        let mut changed = grow(&mut self.session, &o.session);
        changed |= grow(&mut self.number, &o.number);
        changed |= grow(&mut self.consumed, &o.consumed);
        changed |= grow(&mut self.pinned, &o.pinned);
        changed |= grow(&mut self.most, &o.most);
        changed |= grow(&mut self.call, &o.call);
        changed |= grow(&mut self.settlement, &o.settlement);
        changed |= grow(&mut self.stop, &o.stop);
        changed |= grow(&mut self.dropped, &o.dropped);
        for s in &o.segments {
            changed |= self.segment(*s);
        }
        changed
    }
}

fn grow<T: Ord + Clone>(a: &mut T, b: &T) -> bool {
    let more = *b > *a;
    if more {
        a.clone_from(b);
    }
    more
}

/// A settlement made under an epoch older than the newest marker is void: a relaunch came after it.
pub(crate) fn valid_settlement(s: Option<Settlement>, call: Option<&Call>) -> Option<u32> {
    let s = s?;
    call.is_none_or(|c| s.epoch >= c.at.0).then_some(s.tokens)
}

pub(crate) fn valid_stop(stop: Option<CallPoint>, call: Option<&Call>) -> bool {
    stop.is_some_and(|s| call.is_none_or(|c| s >= c.at))
}
