//! On disk: a log in segments, with snapshots beside it.
mod segments;
mod snapshot;

pub use segments::{verify_segments, SegmentLog};
pub use snapshot::{load_snapshot, save_snapshot};
