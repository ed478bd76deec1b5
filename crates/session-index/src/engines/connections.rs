//! Which engines a proxy reaches without opening a connection. Connections are kept elsewhere; placement
//! only asks for them, since a new one costs a handshake and, at the engine, a slot for a moment.
use crate::prelude::*;

/// The connections that a proxy keeps to engines.
pub trait KeptConnections: Send + Sync {
    /// Engines with a connection that is free and has been idle for no longer than `limit`.
    fn idle_to(&self, limit: Duration) -> Vec<EngineKey>;
}

/// No connection is kept.
#[derive(Debug, Default)]
pub struct NoConnections;

impl KeptConnections for NoConnections {
    fn idle_to(&self, _limit: Duration) -> Vec<EngineKey> {
        Vec::new()
    }
}
