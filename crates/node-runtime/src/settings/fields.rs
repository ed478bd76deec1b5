//! The one table of the fields that are read from the settings file: what a running process makes of a
//! change to each, and how two readings are compared field by field.
use crate::prelude::*;

/// When a changed field comes into force in a running process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakesEffect {
    /// Read at each use: the new value counts as soon as it is published.
    AtOnce,
    /// Bound to the process at its start (identity, sockets, disk, what the machine grants it): the old
    /// value stays in force, and the change is logged.
    AfterRestart,
    /// Means something only before the first start of the system; a change asks for nothing.
    FirstStartOnly,
}

/// One field of the settings file.
pub struct FieldRule {
    /// The name in the file, with its table.
    pub name: &'static str,
    /// When a change of it comes into force.
    pub effect: TakesEffect,
    show: fn(&NodeSettings) -> String,
    take: fn(&NodeSettings, &mut NodeSettings),
}

/// A field that differs between the settings in force and a new reading of the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldChange {
    /// The name in the file, with its table.
    pub field: &'static str,
    /// When it comes into force.
    pub effect: TakesEffect,
    /// The value in force, as text.
    pub old: String,
    /// The value in the file, as text.
    pub new: String,
}

macro_rules! rule {
    ($name:literal, $effect:ident, $($part:ident).+) => {
        FieldRule {
            name: $name,
            effect: TakesEffect::$effect,
            show: |settings| format!("{:?}", settings.$($part).+),
            take: |from, into| into.$($part).+ = from.$($part).+.clone(),
        }
    };
}

/// Every field that the programs read. Invariant: each field of `NodeSettings` is reached by exactly one
/// row, so that no change can go unnoticed.
pub const FIELD_RULES: &[FieldRule] = &[
    rule!("nodeName", AfterRestart, node_name),
    rule!("machineClass", AfterRestart, machine_class),
    rule!("ipAddress", AfterRestart, ip),
    rule!("zone", AfterRestart, zone),
    rule!("zones", AtOnce, zones),
    rule!("internalPortRange", AfterRestart, internal_ports),
    rule!("seedAddresses", AtOnce, seeds),
    rule!("firstStart", FirstStartOnly, first_start),
    // It goes with the identity that a cell or store has given to the others.
    rule!("lossCounted", AfterRestart, loss_counted),
    rule!("dataDirectory", AfterRestart, data_dir),
    rule!("listenAddresses.front", AfterRestart, listen.front),
    rule!("listenAddresses.readiness", AfterRestart, listen.readiness),
    rule!("listenAddresses.control", AfterRestart, listen.control),
    rule!("limits.memoryMb", AfterRestart, limits.memory_mb),
    rule!("limits.fileDescriptors", AfterRestart, limits.descriptors),
    rule!("limits.diskMb", AfterRestart, limits.disk_mb),
    rule!("toleratedLosses.machines", AtOnce, tolerated.machines),
    rule!("toleratedLosses.zones", AtOnce, tolerated.zones),
    rule!("toleratedLosses.regions", AtOnce, tolerated.regions),
    rule!("bounds.contactMs", AtOnce, bounds.contact),
    rule!("bounds.acknowledgeMs", AtOnce, bounds.acknowledge),
    rule!("bounds.catchUpS", AtOnce, bounds.catch_up),
    rule!("bounds.drainMs", AtOnce, bounds.drain),
    rule!("bounds.gracePeriodS", AtOnce, bounds.grace),
    rule!("bounds.configApplyMs", AtOnce, bounds.config_apply),
    rule!("bounds.reuseAfterS", AtOnce, bounds.reuse_after),
    rule!("cloudApi", AtOnce, cloud),
    rule!("dispatcher.attemptsPerLine", AtOnce, dispatcher.attempts_per_session),
    rule!("dispatcher.attemptsPerProgram", AtOnce, dispatcher.attempts_per_program),
    // A lease is counted at the proxy and at the stores; two lengths at once would end one too early.
    rule!("dispatcher.leaseS", AfterRestart, dispatcher.lease),
];

/// Every field in which `new` differs from `old`, in the table's order.
pub fn compare_settings(old: &NodeSettings, new: &NodeSettings) -> Vec<FieldChange> {
    let change = |rule: &FieldRule| FieldChange {
        field: rule.name,
        effect: rule.effect,
        old: (rule.show)(old),
        new: (rule.show)(new),
    };
    FIELD_RULES.iter().map(change).filter(|c| c.old != c.new).collect()
}

/// `old` with every field of `new` that takes effect at once.
pub fn take_at_once(old: &NodeSettings, new: &NodeSettings) -> NodeSettings {
    let mut taken = old.clone();
    for rule in FIELD_RULES.iter().filter(|r| r.effect == TakesEffect::AtOnce) {
        (rule.take)(new, &mut taken);
    }
    // The own zone, which stays, is always among the zones.
    taken.zones.entry(taken.zone.clone()).or_default();
    taken
}

/// Which fields of the table a file gives, by name.
pub(super) fn given_fields(text: &str) -> BTreeSet<&'static str> {
    let table: toml::Table = toml::from_str(text).unwrap_or_default();
    let gives = |name: &str| match name.split_once('.') {
        Some((outer, inner)) => table.get(outer).and_then(|t| t.get(inner)).is_some(),
        None => table.contains_key(name),
    };
    FIELD_RULES.iter().map(|r| r.name).filter(|n| gives(n)).collect()
}
