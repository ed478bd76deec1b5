//! The one module every file of this package imports.
pub use crate::commands::Spokebank;
pub use argh::FromArgs;
pub use node_runtime::prelude::*;
pub use node_runtime::settings::{read_settings, watch_settings};
pub use operator_config::prelude::check_config;
