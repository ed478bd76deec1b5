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

/// The checked settings of one process.
/// Invariants: every address parses, `internal_ports.0 <= internal_ports.1` with room for eight,
/// and every duration is above zero.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The machine's name; it outlives its disk.
    pub node_name: String,
    /// What the machine is for: front, core, storage; empty where the file names none.
    pub machine_class: String,
    /// The machine's address.
    pub ip: String,
    /// The machine's zone.
    pub zone: String,
    /// The region of each zone; the own zone is always among them.
    pub zones: BTreeMap<String, String>,
    /// First and last port for the system's own calls.
    pub internal_ports: (u16, u16),
    /// Cells to begin with.
    pub seeds: Vec<SocketAddr>,
    /// This is the first start of the whole system: an empty disk has lost nothing.
    pub first_start: bool,
    /// This machine is one of those that `toleratedLosses` speaks of; any number of others may go.
    pub loss_counted: bool,
    /// Where the process keeps its data; none on machines without a disk.
    pub data_dir: Option<PathBuf>,
    /// Where it serves others than the system itself.
    pub listen: ListenSettings,
    /// What the machine grants.
    pub limits: LimitSettings,
    /// Machines, zones and regions that may be lost at once.
    pub tolerated: Tolerated,
    /// Times that the rules are stated in.
    pub bounds: Bounds,
    /// The platform's interface, where the machine may call it.
    pub cloud: Option<CloudSettings>,
    /// What attempts may hold, and for how long.
    pub dispatcher: DispatcherSettings,
}

/// Where a process serves clients, the platform and operators.
#[derive(Debug, Clone, Default)]
pub struct ListenSettings {
    /// Requests of clients.
    pub front: Option<SocketAddr>,
    /// The platform's question whether the machine is ready.
    pub readiness: Option<SocketAddr>,
    /// Calls of operators.
    pub control: Option<SocketAddr>,
}

/// What may be lost at the same time while all rules hold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tolerated {
    /// Machines at once.
    pub machines: u32,
    /// Whole zones at once.
    pub zones: u32,
    /// Whole regions at once.
    pub regions: u32,
}

impl Tolerated {
    /// Stores of one program's group that may be lost at once. A group has one store a zone as far as
    /// there are zones, so a lost zone is a lost store. One at the least: a store may always fall.
    pub fn stores(&self) -> u32 {
        self.machines.max(self.zones).max(self.regions).max(1)
    }
}

/// What a machine grants the process.
#[derive(Debug, Clone)]
pub struct LimitSettings {
    /// Memory, in MiB.
    pub memory_mb: u64,
    /// Open files and sockets.
    pub descriptors: u64,
    /// Disk space, in MiB; 0 without a disk.
    pub disk_mb: u64,
}

/// Times that the rules are stated in. Waits in decisions about loss, membership and leaving are
/// derived from them.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// `contactMs`: a machine is in touch once it has been untroubled for so long.
    pub contact: Duration,
    /// `acknowledgeMs`: within this an operator's call is answered.
    pub acknowledge: Duration,
    /// `catchUpS`: how long a machine that is back, or its successor, still counts as lost.
    pub catch_up: Duration,
    /// `drainMs`: how long an engine that leaves still works on what it has.
    pub drain: Duration,
    /// `gracePeriodS`: between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// `configApplyMs`: within this a configuration is in force everywhere.
    pub config_apply: Duration,
    /// `reuseAfterS`: an address isn't given to another machine before.
    pub reuse_after: Duration,
}

/// Limits of the attempts at turns, which are stated in the field `dispatcher`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatcherSettings {
    /// `attemptsPerLine`: attempts of one session that may hold a slot; 0 is unbounded.
    pub attempts_per_session: u32,
    /// `attemptsPerProgram`: attempts of one program that may hold a slot; 0 is unbounded.
    pub attempts_per_program: u32,
    /// `leaseS`: how long an attempt's lease lasts without a renewal.
    pub lease: Duration,
}

impl Default for DispatcherSettings {
    fn default() -> Self {
        DispatcherSettings {
            attempts_per_session: 4,
            attempts_per_program: 0,
            lease: Duration::from_secs(60),
        }
    }
}

/// The platform's interface.
#[derive(Debug, Clone)]
pub struct CloudSettings {
    /// Where it answers.
    pub address: SocketAddr,
    /// How far its list may be behind.
    pub lag: Duration,
    /// Calls a second that it takes.
    pub rate_per_s: f64,
}

// Offsets into the internal port range; all machines of a system use the same ports.

/// Calls of a cell.
pub const CELL_PORT: u16 = 0;
/// Followers of a cell's feed.
pub const FEED_PORT: u16 = 1;
/// The proxy beside an agent.
pub const AGENT_PORT: u16 = 2;
/// Calls of a store.
pub const STORE_PORT: u16 = 3;

impl NodeSettings {
    /// Where a machine answers the system's own calls, on the port at `offset`.
    pub fn inner_addr(&self, ip: &str, offset: u16) -> String {
        format!("{ip}:{}", self.internal_ports.0 + offset)
    }

    /// The same of this machine.
    pub fn own_addr(&self, offset: u16) -> String {
        self.inner_addr(&self.ip, offset)
    }
}
