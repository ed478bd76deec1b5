//! What real requests can tell of an engine.
use crate::prelude::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FailureKind {
    /// The connection broke after the request was sent, before the answer was whole.
    Reset,
    /// It wasn't reached, or turned a request away while it had room.
    Refused,
    /// A 5xx of its own.
    ServerError,
    /// Bytes that are no answer to the request.
    Spoiled,
    /// Nothing came for far longer than expected, or a stream paused beyond its aim.
    Silent,
}

#[derive(Debug, Clone, Copy)]
pub enum Observation {
    Failed(FailureKind),
    /// A turn's first event, with so many tokens to be read before it.
    FirstEvent {
        took: Duration,
        fresh: u32,
    },
    /// A stream came whole. `gap`: the mean time between its events.
    Streamed {
        gap: Option<Duration>,
        longest: Duration,
        aim: Duration,
    },
    /// A plain call's whole answer; `route` is the hash of its route's name.
    Worked {
        took: Duration,
        route: u64,
    },
}
