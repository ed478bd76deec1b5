//! On disk: a log in segments, with snapshots beside it. What holds after a crash at each step
//! stands in `docs/disk.md`.
mod chain;
mod format;
mod ops;
mod retry;
mod segments;
mod snapshot;

pub use chain::verify_segments;
pub use ops::{DiskFile, DiskOps, RealDisk};
pub use segments::SegmentLog;
pub use snapshot::{
    load_snapshot, load_snapshot_on, load_value, load_value_on, save_snapshot, save_snapshot_on,
};
