//! Errors are values; only a broken invariant stops a process.
use crate::prelude::*;

pub type NodeResult<T> = Result<T, NodeError>;

#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum NodeError {
    #[snafu(display("{file}: {field}: {reason}"))]
    BadSettings { file: String, field: String, reason: String },
    #[snafu(display("{what}: {source}"))]
    Io { what: String, source: std::io::Error },
    #[snafu(display("damaged data in {file} at byte {offset}: {reason}"))]
    Damaged { file: String, offset: u64, reason: String },
    #[snafu(display("{reason}"))]
    Other { reason: String },
}
