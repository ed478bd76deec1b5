//! Which lives of nodes a store has heard of.
use crate::prelude::*;

/// Invariant: only a strictly greater incarnation proves that an earlier life has ended; a lower or
/// unknown one proves nothing.
#[derive(Debug, Clone, Default)]
pub struct Incarnations {
    newest: HashMap<u64, u64>,
}

impl Incarnations {
    /// A node spoke as this incarnation of itself.
    pub fn saw(&mut self, node: u64, incarnation: u64) {
        let i = self.newest.entry(node).or_insert(incarnation);
        *i = (*i).max(incarnation);
    }

    pub fn newest(&self, node: u64) -> Option<u64> {
        self.newest.get(&node).copied()
    }

    pub fn has_ended(&self, node: u64, incarnation: u64) -> bool {
        self.newest.get(&node).is_some_and(|i| *i > incarnation)
    }
}
