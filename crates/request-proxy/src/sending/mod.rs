//! Sending to an engine, over connections of the proxy's own.
#![deny(missing_docs)]
mod heads;
mod judge;
mod pool;
mod send;
mod wire;

pub use heads::{engine_request, passed_on};
pub use judge::{judge, Asked, Verdict};
pub use pool::{Lease, Pool};
pub use send::{keep_alive, send_once, Outgoing, SendOutcome};
pub use wire::{WatchedStream, WireWatch};
