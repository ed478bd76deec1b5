//! Client connections: the listener, each connection's life and its orderly end, typed heads, the proxy's
//! own answers, and the account of how every request ended.
#![deny(missing_docs)]
mod accounting;
mod answers;
mod client_stream;
mod connection;
mod head;
mod idle;
mod listener;
mod readiness;

pub use accounting::{RequestAccounts, RequestTotals, TrackedRequest, UnansweredCause};
pub use answers::{OwnAnswer, ProxyBody};
pub use head::{Head, HeadFault};
pub use listener::serve_front;
pub use readiness::serve_readiness;
