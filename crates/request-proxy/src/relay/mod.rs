//! Relaying a stream of events as they come.
mod body;
mod events;

pub use body::{RelayBody, StreamEnd};
pub use events::{EventFault, EventReader};
