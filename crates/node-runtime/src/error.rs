//! Errors are values; only a broken invariant stops a process.
use crate::prelude::*;

/// What comes of work that may fail for a reason that an operator should read.
pub type NodeResult<T> = Result<T, NodeError>;

/// Why a process can't start or go on; each says where and why.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum NodeError {
    /// A setting is missing or means nothing.
    #[snafu(display("{file}: {field}: {reason}"))]
    BadSettings {
        /// The settings file.
        file: String,
        /// The field's name in it, with its table; `(file)` where it is about the file as a whole.
        field: String,
        /// What is wrong, to be read after the field's name.
        reason: String,
    },
    /// The system refused; `what` is the file or address.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// What was used.
        what: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// Data that had been synced can't be read any more.
    #[snafu(display("damaged data in {file} at byte {offset}: {reason}"))]
    Damaged {
        /// The file.
        file: String,
        /// Where the first unreadable record begins.
        offset: u64,
        /// Why it can't be read.
        reason: String,
    },
    /// Data of another version of this program.
    #[snafu(display("{file}: format version {version} is not known to this program"))]
    UnknownFormat {
        /// The file.
        file: String,
        /// The version that its header names.
        version: u32,
    },
    /// The disk can't be relied on any more: nothing may be acknowledged, and the process must end.
    #[snafu(display("the disk failed: {cause}"))]
    DiskFailed {
        /// What failed.
        cause: Box<NodeError>,
    },
    /// Anything else.
    #[snafu(display("{reason}"))]
    Other {
        /// What happened.
        reason: String,
    },
}
