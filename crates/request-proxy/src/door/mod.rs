//! The door: connections, typed heads, and the proxy's own answers.
#![deny(missing_docs)]
mod answers;
mod head;
mod idle;
mod serve;

pub use answers::{OwnAnswer, ProxyBody};
pub use head::{Head, HeadFault};
pub use serve::{serve_front, serve_readiness};
