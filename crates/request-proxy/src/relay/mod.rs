//! Relaying a stream of events as they come.
#![deny(missing_docs)]
mod body;
mod events;

pub use body::{latest_close, RelayBody, StreamBreak, StreamEnd};
pub use events::{EventFault, EventReader};
