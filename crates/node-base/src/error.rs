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
    BadSettings { file: String, field: String, reason: String },
    /// The system refused; `what` is the file or address.
    #[snafu(display("{what}: {source}"))]
    Io { what: String, source: std::io::Error },
    /// Data that had been synced can't be read any more.
    #[snafu(display("damaged data in {file} at byte {offset}: {reason}"))]
    Damaged { file: String, offset: u64, reason: String },
    /// Data of another version of this program.
    #[snafu(display("{file}: format version {version} is not known to this program"))]
    UnknownFormat { file: String, version: u32 },
    /// Anything else.
    #[snafu(display("{reason}"))]
    Other { reason: String },
}
