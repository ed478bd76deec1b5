//! The one module every file of this package imports.
pub use crate::check::{check_config, Fault};
pub use crate::routes::{
    EngineModel, LimitsOfClients, OperatorConfig, Route, RouteKind, RouteTable, Service, Split,
};
pub use node_runtime::prelude::*;
pub use serde_json::{Map, Value};
