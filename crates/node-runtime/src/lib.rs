//! What every program of spokebank stands on: settings, errors, logs, links and the disk log.
#![deny(missing_docs)]

pub mod disk;
pub mod error;
pub mod links;
pub mod logs;
pub mod prelude;
pub mod settings;
pub mod util;
