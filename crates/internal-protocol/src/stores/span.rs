//! Spans of versions of the store set.
use crate::prelude::*;

/// Versions of the store set from one to another, both included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSpan {
    /// The first of them.
    pub from: u64,
    /// The last of them.
    pub to: u64,
}
