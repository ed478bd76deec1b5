//! Small helpers: hashing, rendezvous ranking, growing pauses.
use crate::prelude::*;

/// A quick hash, of no cryptographic worth: FNV-1a of 64 bits.
pub fn fnv64(bytes: &[u8]) -> u64 {
    let mut h: u64 = 0xcbf2_9ce4_8422_2325;
    for b in bytes {
        h ^= u64::from(*b);
        h = h.wrapping_mul(0x0000_0100_0000_01b3);
    }
    h
}

fn mix(mut x: u64) -> u64 {
    x ^= x >> 30;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^= x >> 27;
    x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Rendezvous hashing: how high `id` stands for `key`.
pub fn rendezvous_score(key: u64, id: u64) -> u64 {
    mix(key ^ mix(id))
}

/// Rendezvous hashing: all ids, best first, for one key.
pub fn rank_by_rendezvous(key: u64, ids: impl IntoIterator<Item = u64>) -> Vec<u64> {
    let mut v: Vec<(u64, u64)> =
        ids.into_iter().map(|id| (rendezvous_score(key, id), id)).collect();
    v.sort_unstable_by(|a, b| b.cmp(a));
    v.into_iter().map(|x| x.1).collect()
}

/// A pause that grows from `low` to `high`, with a little chance in it.
pub struct Backoff {
    low: Duration,
    high: Duration,
    cur: Duration,
}

impl Backoff {
    /// Begins at `low`.
    pub fn new(low: Duration, high: Duration) -> Self {
        Backoff { low, high, cur: low }
    }

    /// Begins at `low` again.
    pub fn reset(&mut self) {
        self.cur = self.low;
    }

    /// How long to wait now; the next pause is up to twice as long.
    pub fn next_pause(&mut self) -> Duration {
        let out = self.cur.mul_f64(0.75 + 0.5 * fastrand::f64());
        self.cur = (self.cur * 2).min(self.high);
        out
    }
}
