//! What a failing disk is given: time when it is full, a few fresh files when it is faulty.
use crate::prelude::*;
use std::io;

/// How long a full disk is waited for. Meanwhile the thread stands still, as with a disk that
/// answers nothing, and the other replicas serve; nothing is acknowledged.
const FULL_PATIENCE: Duration = Duration::from_secs(60);
const FULL_PAUSE: Duration = Duration::from_millis(50);
/// Fresh files that a faulty disk gets before the process ends.
const MOST_FAULTS: u32 = 3;

/// Counts what has been tried for one operation.
#[derive(Default)]
pub struct Patience {
    waited: Duration,
    faults: u32,
}

impl Patience {
    /// Waits where that helps; gives the error back once there is nothing left to try.
    pub fn spend(&mut self, disk: &dyn DiskOps, error: NodeError) -> NodeResult<()> {
        let NodeError::Io { source, .. } = &error else {
            return Err(error);
        };
        let full = matches!(
            source.kind(),
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge
        );
        match full {
            true if self.waited < FULL_PATIENCE => {
                disk.pause(FULL_PAUSE);
                self.waited += FULL_PAUSE;
                Ok(())
            }
            false if self.faults < MOST_FAULTS => {
                self.faults += 1;
                Ok(())
            }
            _ => Err(error),
        }
    }
}

/// An error of a file, with its name.
pub fn io_error(what: &Path, source: io::Error) -> NodeError {
    NodeError::Io { what: what.display().to_string(), source }
}
