//! Epochs: the fencing tokens of an attempt.
use crate::prelude::*;

/// Order of authority over one attempt. High half: the round (1 is the claim, each recovery one more);
/// low half: a tag of who took it, so that no two ever share an epoch. 0 is "none".
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

fn tag(node: u64, incarnation: u64, by: u64) -> u64 {
    let mut x = node ^ incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ by.rotate_left(23);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) & 0xffff_ffff
}

impl Epoch {
    pub const NONE: Epoch = Epoch(0);
    /// Covers every epoch of the first round, none of a later one.
    pub const ANY_FIRST: Epoch = Epoch((1 << 32) | 0xffff_ffff);

    /// The epoch of a claim by this life of a node. A life claims one request once.
    pub fn first(node: u64, incarnation: u64, req: u64) -> Self {
        Epoch::NONE.next(node, incarnation, req)
    }

    /// The epoch at which this life of a node recovers an attempt last held at `self`. `by` tells its
    /// recoveries apart: two of them at one epoch would both be granted, and both relaunch.
    pub fn next(self, node: u64, incarnation: u64, by: u64) -> Self {
        Epoch(((self.0 >> 32) + 1) << 32 | tag(node, incarnation, by))
    }

    pub fn round(self) -> u64 {
        self.0 >> 32
    }

    pub(crate) fn is_none(&self) -> bool {
        self.0 == 0
    }
}
