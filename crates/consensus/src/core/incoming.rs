//! A snapshot that arrives piece by piece.
use crate::prelude::*;

/// Invariant: `data` holds the snapshot's bytes from its start without a gap, all from one leader: two
/// cells may encode the same state differently.
#[derive(Debug, Clone, Default)]
pub struct IncomingSnapshot {
    leader_term: u64,
    snapshot: LogPosition,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    /// Takes a piece if it joins what is here. A piece of another snapshot begins anew.
    pub fn take(&mut self, leader_term: u64, chunk: &SnapshotChunk) {
        if self.snapshot != chunk.snapshot || self.leader_term != leader_term {
            let snapshot = chunk.snapshot;
            *self = IncomingSnapshot { leader_term, snapshot, data: Vec::new() };
        }
        if chunk.offset == self.received() {
            self.data.extend_from_slice(&chunk.data);
        }
    }

    /// Bytes held.
    pub fn received(&self) -> u64 {
        self.data.len() as u64
    }

    /// The snapshot, once it is whole.
    pub fn finish(&mut self, chunk: &SnapshotChunk) -> Option<Snapshot> {
        if self.received() < chunk.total {
            return None;
        }
        let whole = std::mem::take(self);
        Some(Snapshot {
            index: chunk.snapshot.index,
            term: chunk.snapshot.term,
            membership: chunk.membership.clone(),
            data: ByteBuf::from(whole.data),
        })
    }
}
