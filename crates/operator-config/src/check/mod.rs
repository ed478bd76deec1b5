//! Checks a configuration field by field and lists every fault with its place.
mod fields;

use crate::prelude::*;
use fields::Reader;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    pub place: String,
    pub reason: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.place, self.reason)
    }
}

/// Reads a whole configuration; every fault found is listed.
pub fn check_config(body: &[u8]) -> Result<OperatorConfig, Vec<Fault>> {
    let val: Value = match serde_json::from_slice(body) {
        Ok(v) => v,
        Err(e) => {
            return Err(vec![Fault {
                place: "(body)".into(),
                reason: format!("can't be read whole: {e}"),
            }])
        }
    };
    let mut rd = Reader::default();
    let Some(top) = val.as_object() else {
        return Err(vec![Fault { place: "(body)".into(), reason: "is not an object".into() }]);
    };
    let version = rd.version(top);
    let services = rd.services(top);
    let routes = rd.routes(top, &services);
    let limits = rd.limits(top);
    if rd.faults.is_empty() {
        Ok(OperatorConfig { version, routes, services, limits })
    } else {
        Err(rd.faults)
    }
}
