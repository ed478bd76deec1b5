//! Settings of one process: read from the file named by the platform and checked by hand.
mod check;
mod fields;
mod raw;
mod reload;
mod watch;

pub use check::{parse_settings, read_settings};
pub use fields::{
    compare_settings, take_at_once, FieldChange, FieldRule, TakesEffect, FIELD_RULES,
};
pub use reload::{FileText, Reading, Reloader};
pub use watch::{watch_settings, SharedSettings};

use crate::prelude::*;

/// Invariants: every address parses, `internal_ports.0 <= internal_ports.1` with room for eight,
/// and every duration is above zero.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    pub node_name: String,
    pub machine_class: String,
    pub ip: String,
    pub zone: String,
    pub zones: BTreeMap<String, String>,
    pub internal_ports: (u16, u16),
    pub seeds: Vec<SocketAddr>,
    pub first_start: bool,
    pub data_dir: Option<PathBuf>,
    pub listen: ListenSettings,
    pub limits: LimitSettings,
    /// Machines, zones and regions that may be lost at once.
    pub tolerated: Tolerated,
    pub bounds: Bounds,
    pub cloud: Option<CloudSettings>,
    pub dispatcher: Limits,
}

#[derive(Debug, Clone, Default)]
pub struct ListenSettings {
    pub front: Option<SocketAddr>,
    pub readiness: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
}

/// What may be lost at the same time while all rules hold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tolerated {
    pub machines: u32,
    pub zones: u32,
    pub regions: u32,
}

impl Tolerated {
    /// Stores of one program's group that may be lost at once. A group has one store a zone as far as
    /// there are zones, so a lost zone is a lost store. One at the least: a store may always fall.
    pub fn stores(&self) -> u32 {
        self.machines.max(self.zones).max(self.regions).max(1)
    }
}

#[derive(Debug, Clone)]
pub struct LimitSettings {
    pub memory_mb: u64,
    pub descriptors: u64,
    pub disk_mb: u64,
}

#[derive(Debug, Clone)]
pub struct Bounds {
    pub contact: Duration,
    pub acknowledge: Duration,
    pub catch_up: Duration,
    pub drain: Duration,
    pub grace: Duration,
    pub config_apply: Duration,
    pub reuse_after: Duration,
}

#[derive(Debug, Clone)]
pub struct CloudSettings {
    pub address: SocketAddr,
    pub lag: Duration,
    pub rate_per_s: f64,
}

/// Offsets into the internal port range; all machines of a day use the same ports.
pub const CELL_PORT: u16 = 0;
pub const FEED_PORT: u16 = 1;
pub const AGENT_PORT: u16 = 2;
pub const STORE_PORT: u16 = 3;

impl NodeSettings {
    pub fn inner_addr(&self, ip: &str, offset: u16) -> String {
        format!("{ip}:{}", self.internal_ports.0 + offset)
    }

    pub fn own_addr(&self, offset: u16) -> String {
        self.inner_addr(&self.ip, offset)
    }
}
