//! The one module every file of this package imports.
pub use crate::check::{check_config, Fault};
pub use crate::ways::{
    EngineModel, LimitsOfClients, OperatorConfig, Route, Service, Split, WayKind, WayTable,
};
pub use node_base::prelude::*;
pub use serde_json::{Map, Value};
