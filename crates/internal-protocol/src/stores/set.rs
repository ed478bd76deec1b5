//! The store set: which stores there are, and which small group of them keeps each program.
//!
//! A program's group has `2T + 1` stores (T: what may be lost at once); what is written to a majority
//! of it and what a majority of it says meet in one store at the least.
use super::placement::{PlacedStore, Placement};
use super::span::VersionSpan;
use crate::prelude::*;

/// What a store of the set is there for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreState {
    /// It is in the placement: programs are assigned to it.
    Placed,
    /// It is being retired: no programs are assigned to it, and it still transfers what it holds.
    Leaving,
}

/// A store of the set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    /// The identity of its disk: a wiped store comes back as another.
    pub id: u64,
    /// The machine's name.
    pub name: String,
    /// Where it answers other processes of the system.
    pub addr: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether programs are assigned to it.
    pub state: StoreState,
    /// The version of the set that gave it this state.
    pub since: u64,
    /// Its rank in the placement; a successor inherits it.
    pub rank: u64,
    /// Its machine is one of those that `toleratedLosses` speaks of. Others may go in any number.
    #[serde(default = "loss_counted_by_default", skip_serializing_if = "is_loss_counted")]
    pub loss_counted: bool,
}

/// How far an acknowledged order to retire a machine has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Retirement {
    /// Other stores are taking over what the machine held.
    Running,
    /// All of it is held by the new groups: the machine may be removed with its disk.
    Completed,
}

/// The stores, and who keeps which programs.
///
/// Invariants: `version` grows by each change; a store refuses calls made under an older one.
/// `placements` are in order, the last is in force; from one to the next at most one store comes to a
/// program's group. A placement is forgotten only once a later one is known to be complete, however
/// many there are. A name in `retirements` is never forgotten and never placed again.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreSet {
    /// Grows by one with each change.
    pub version: u64,
    /// The stores that programs are assigned to, and those that are leaving.
    pub stores: Vec<StoreEntry>,
    /// Machines that were ordered to be retired, by name.
    pub retirements: BTreeMap<String, Retirement>,
    /// Identities whose place another disk of their machine's name has taken. A late report of one of
    /// them, or a machine that drains beside its successor, doesn't take it back.
    pub superseded: BTreeSet<u64>,
    /// How many stores may be lost at once.
    pub tolerated: u32,
    /// The placement in force is the last; before it are those that history may still depend on.
    pub placements: Vec<Placement>,
}

impl StoreSet {
    /// What ranks a program's stores.
    pub fn key_of(program: &str) -> u64 {
        fnv64(program.as_bytes())
    }

    /// How many stores keep a program, where there are as many.
    pub fn group_size(&self) -> usize {
        2 * self.tolerated as usize + 1
    }

    /// The placement in force.
    pub fn placement(&self) -> Option<&Placement> {
        self.placements.last()
    }

    /// How many stores programs are assigned to.
    pub fn placed(&self) -> usize {
        self.placement().map_or(0, |p| p.stores.len())
    }

    /// The group that keeps a program now.
    pub fn group(&self, key: u64) -> Vec<u64> {
        self.placement().map_or_else(Vec::new, |p| p.group(key, self.group_size()))
    }

    /// How many of a group make a majority.
    pub fn quorum(&self) -> usize {
        self.placement().map_or(1, |p| p.majority(self.group_size()))
    }

    /// The store with an identity.
    pub fn find(&self, id: u64) -> Option<&StoreEntry> {
        self.stores.iter().find(|s| s.id == id)
    }

    /// A rank for a newcomer that replaces nobody: its name's, unless another store has inherited that.
    pub fn free_rank(&self, name: &str) -> u64 {
        let own = fnv64(name.as_bytes());
        match self.stores.iter().any(|e| e.rank == own) {
            true => fnv64(format!("{name} {}", self.version).as_bytes()),
            false => own,
        }
    }

    /// The same set one version on, changed by `f`; the placement follows from the entries.
    pub fn next(&self, f: impl FnOnce(&mut StoreSet)) -> StoreSet {
        let mut n = self.clone();
        n.version += 1;
        f(&mut n);
        n.forget_superseded();
        let stores: Vec<PlacedStore> = n
            .stores
            .iter()
            .filter(|e| e.state == StoreState::Placed)
            .map(|e| PlacedStore { id: e.id, rank: e.rank, zone: e.zone.clone(), caught_up: false })
            .collect();
        if n.placement().is_none_or(|p| !p.places_the_same(&stores)) {
            n.placements.push(Placement { version: n.version, stores });
        }
        n
    }

    /// Records that a store was caught up at all versions of `span`.
    pub fn record_caught_up(&mut self, id: u64, span: VersionSpan) {
        let mut until = u64::MAX;
        for p in self.placements.iter_mut().rev() {
            let in_force = span.to >= p.version && span.from < until;
            until = p.version;
            for s in p.stores.iter_mut().filter(|s| in_force && s.id == id) {
                s.caught_up = true;
            }
        }
    }

    /// The newest placement that is known to be complete needs none before it.
    fn forget_superseded(&mut self) {
        if let Some(at) = self.placements.iter().rposition(Placement::is_complete) {
            self.placements.drain(..at);
        }
    }

    /// Whether a machine was ordered to be retired, and how far that is.
    pub fn retirement(&self, name: &str) -> Option<Retirement> {
        self.retirements.get(name).copied()
    }

    /// The next set, in which a machine is being retired.
    pub fn begin_retirement(&self, name: &str) -> StoreSet {
        self.next(|n| {
            let since = n.version;
            n.retirements.insert(name.to_string(), Retirement::Running);
            for s in n.stores.iter_mut().filter(|s| s.name == name) {
                s.state = StoreState::Leaving;
                s.since = since;
            }
        })
    }
}

/// What a store tells the cells about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// The identity of its disk.
    pub id: u64,
    /// The machine's name.
    pub name: String,
    /// Where it answers other processes of the system.
    pub addr: String,
    /// The machine's zone.
    pub zone: String,
    /// Its disk was empty at a start that wasn't the system's first, and it has not caught up since.
    pub fresh: bool,
    /// The version of the set it works under.
    pub version: u64,
    /// The versions at which it was caught up, as its disk says.
    pub caught_up: Option<VersionSpan>,
    /// It was told to stop: until it does, it transfers what it holds.
    pub ending: bool,
    /// Its machine is one of those that `toleratedLosses` speaks of.
    #[serde(default = "loss_counted_by_default", skip_serializing_if = "is_loss_counted")]
    pub loss_counted: bool,
}
