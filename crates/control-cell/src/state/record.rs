//! The record of confirmed orders: by it an order that is sent again is known.
use crate::prelude::*;
use serde::{Deserializer, Serializer};
use sha2::{Digest, Sha256};

/// Orders that are known again: almost four days of 4,300 changes. At 40 bytes each the record takes up to
/// 640 KiB of a snapshot; a day's, 170 KiB.
pub const MOST_CONFIRMED: usize = 16_384;

const VERSION_BYTES: usize = 8;
const ENTRY_BYTES: usize = VERSION_BYTES + 32;

/// Invariants: versions rise from one confirmed order to the next, so each names one order; `by_version`
/// holds the newest `MOST_CONFIRMED`, and none at or below `forgotten`.
///
/// On disk it is one string of bytes: `forgotten`, then each version with its digest, in rising order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfirmedOrders {
    by_version: BTreeMap<u64, BodyDigest>,
    forgotten: u64,
}

impl ConfirmedOrders {
    /// Whether this very order was confirmed and is still known.
    pub fn has(&self, version: u64, digest: &BodyDigest) -> bool {
        self.by_version.get(&version) == Some(digest)
    }

    /// Whether an order of this version may have been confirmed and forgotten since.
    pub fn has_forgotten(&self, version: u64) -> bool {
        version <= self.forgotten
    }

    /// Adds an order that was just taken; the oldest goes when there are too many.
    pub fn add(&mut self, version: u64, digest: BodyDigest) {
        self.by_version.insert(version, digest);
        if self.by_version.len() > MOST_CONFIRMED {
            let oldest = self.by_version.pop_first();
            self.forgotten = oldest.map_or(self.forgotten, |(version, _)| version);
        }
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.by_version.len()
    }

    /// None is known.
    pub fn is_empty(&self) -> bool {
        self.by_version.is_empty()
    }

    fn to_bytes(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(VERSION_BYTES + self.len() * ENTRY_BYTES);
        out.extend_from_slice(&self.forgotten.to_be_bytes());
        for (version, digest) in &self.by_version {
            out.extend_from_slice(&version.to_be_bytes());
            out.extend_from_slice(digest.as_slice());
        }
        out
    }

    fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (forgotten, entries) = bytes.split_first_chunk()?;
        let forgotten = u64::from_be_bytes(*forgotten);
        let mut record = ConfirmedOrders { by_version: BTreeMap::new(), forgotten };
        for entry in entries.chunks(ENTRY_BYTES) {
            let (version, digest) = entry.split_first_chunk()?;
            let digest: [u8; 32] = digest.try_into().ok()?;
            record.by_version.insert(u64::from_be_bytes(*version), BodyDigest::new(digest));
        }
        Some(record)
    }
}

impl Serialize for ConfirmedOrders {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(&self.to_bytes())
    }
}

impl<'de> Deserialize<'de> for ConfirmedOrders {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let bytes = ByteBuf::deserialize(from)?;
        let broken = || serde::de::Error::custom("a record of confirmed orders that breaks off");
        ConfirmedOrders::from_bytes(&bytes).ok_or_else(broken)
    }
}

/// The digest of a configuration. It is the same for two texts that say the same: keys are sorted and
/// blanks left out before it is taken.
pub fn order_digest(body: &[u8]) -> BodyDigest {
    let digest = match serde_json::from_slice::<Value>(body) {
        Ok(v) => Sha256::digest(v.to_string().as_bytes()),
        Err(_) => Sha256::digest(body),
    };
    BodyDigest::new(digest.into())
}
