//! Changes that the cells agree on, and what applying one comes to.
use crate::prelude::*;
use crate::stores::StoreSet;

/// SHA-256 of a configuration's normalised text.
pub type BodyDigest = serde_bytes::ByteArray<32>;

/// A change the cells agree on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// An operator's configuration built on `base`. `sha256` is of its normalised text; it is empty in
    /// entries older than it.
    PutConfig {
        /// The version it builds on.
        base: u64,
        /// Its own.
        version: u64,
        /// Of its normalised text.
        #[serde(default)]
        sha256: BodyDigest,
        /// As the operator sent it.
        body: ByteBuf,
    },
    /// The next store set; applied only on top of the set with version `base`.
    PutStores {
        /// The version it follows.
        base: u64,
        /// The next set.
        set: StoreSet,
    },
    /// Who holds each zone.
    PutHolders {
        /// The member, by zone.
        holders: BTreeMap<String, u64>,
    },
    /// A start or an end of a routing trial; applied only on top of what was agreed at index `base`.
    PutTrial {
        /// The log index of the record it follows.
        base: u64,
        /// The record.
        trial: Box<TrialRecord>,
    },
}

/// What applying a change came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is in force.
    Taken,
    /// This very configuration was taken before.
    TakenBefore,
    /// Another version is in place.
    Conflict,
    /// The version isn't above the current one.
    NotAbove,
    /// It may be one of those that were taken too long ago to be known again: no claim is made.
    Forgotten,
}
