//! Writes to a program's ledger at a store, and their outcomes.
use crate::prelude::*;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerWrite {
    /// Makes the attempt, reserves its most, begins its lease.
    #[serde(rename = "c")]
    Claim {
        #[serde(rename = "a")]
        attempt: NewAttempt,
        #[serde(rename = "l", with = "crate::records::millis")]
        lease: Duration,
    },
    /// The fenced write just before an engine is reached. `send` counts from 1 under each epoch; a
    /// claim that names an engine was send 1.
    #[serde(rename = "m")]
    RecordCall {
        #[serde(rename = "r")]
        req: u64,
        #[serde(rename = "e")]
        epoch: Epoch,
        #[serde(rename = "s")]
        send: u32,
        #[serde(rename = "n")]
        engine: String,
    },
    #[serde(rename = "n")]
    Renew {
        #[serde(rename = "r")]
        req: u64,
        #[serde(rename = "e")]
        epoch: Epoch,
        #[serde(rename = "l", with = "crate::records::millis")]
        lease: Duration,
    },
    /// Takes over an attempt whose lease has lapsed; a store that never saw it keeps the epoch, so
    /// that a late claim is refused.
    #[serde(rename = "r")]
    Recover {
        #[serde(rename = "r")]
        req: u64,
        #[serde(rename = "e")]
        epoch: Epoch,
        #[serde(rename = "n")]
        node: u64,
        #[serde(rename = "i")]
        incarnation: u64,
        /// As the claim told them, for a store that never saw it.
        #[serde(rename = "b")]
        session: u64,
        #[serde(rename = "m")]
        most: u32,
        #[serde(rename = "l", with = "crate::records::millis")]
        lease: Duration,
    },
    /// Ends the lease at once, so that the attempt may be recovered.
    #[serde(rename = "l")]
    Release {
        #[serde(rename = "r")]
        req: u64,
        #[serde(rename = "e")]
        epoch: Epoch,
    },
    /// The terminal result. Without an epoch it counts as made by the claim's holder.
    #[serde(rename = "s")]
    Settle {
        #[serde(rename = "r")]
        req: u64,
        #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
        epoch: Option<Epoch>,
        #[serde(rename = "t")]
        tokens: u32,
        /// The execution was seen to stop, or was never begun.
        #[serde(rename = "s")]
        stopped: bool,
        /// Its last send, unless it stopped: a store that missed the marker learns here what may run on.
        #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
        call: Option<Call>,
    },
    /// Stop evidence found later. `call` is the newest send it covers: another one may be made, or may
    /// have been made unseen, under the same epoch.
    #[serde(rename = "p")]
    ConfirmStopped {
        #[serde(rename = "r")]
        req: u64,
        #[serde(rename = "e")]
        expected_epoch: Epoch,
        #[serde(rename = "a")]
        call: CallPoint,
    },
    /// A record, or a part of one, from another store.
    #[serde(rename = "g")]
    Merge(AttemptRecord),
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WriteOutcome {
    #[serde(rename = "c")]
    Claimed {
        #[serde(rename = "k")]
        number: u32,
    },
    #[serde(rename = "m")]
    CallRecorded,
    #[serde(rename = "n")]
    Renewed,
    /// Older epochs are refused here from now on; the marker it had, and its most.
    #[serde(rename = "r")]
    Recovered {
        /// `None`: pending.
        #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
        call: Option<Call>,
        #[serde(rename = "m")]
        most: u32,
    },
    #[serde(rename = "l")]
    Released,
    /// What the entry is settled at, now or before.
    #[serde(rename = "s")]
    Settled {
        #[serde(rename = "t")]
        tokens: u32,
    },
    #[serde(rename = "p")]
    Stopped,
    #[serde(rename = "g")]
    Merged,
    /// Another epoch has authority here.
    #[serde(rename = "f")]
    Fenced {
        #[serde(rename = "e")]
        epoch: Epoch,
    },
    /// Refused: the attempt has its terminal result.
    #[serde(rename = "d")]
    AlreadySettled {
        #[serde(rename = "e")]
        epoch: Epoch,
        #[serde(rename = "t")]
        tokens: u32,
        #[serde(rename = "s")]
        stopped: bool,
        /// The newest send.
        #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
        call: Option<Call>,
    },
    /// The lease still runs here: not recoverable yet.
    #[serde(rename = "h")]
    LeaseActive,
    /// The lease has run out here: not renewable.
    #[serde(rename = "x")]
    Expired,
    /// This store knows nothing of the attempt, or not of this epoch.
    #[serde(rename = "u")]
    Unknown,
}

impl WriteOutcome {
    /// The write holds at this store.
    pub fn is_granted(&self) -> bool {
        !matches!(
            self,
            WriteOutcome::Fenced { .. }
                | WriteOutcome::AlreadySettled { .. }
                | WriteOutcome::LeaseActive
                | WriteOutcome::Expired
                | WriteOutcome::Unknown
        )
    }
}

/// What a write came to, and what must be logged and synced before the outcome is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    pub outcome: WriteOutcome,
    /// The part of the record that changed; replaying all parts in any order gives the record.
    pub log: Option<AttemptRecord>,
}
