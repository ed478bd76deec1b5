//! One store: its machine, its disk, and the process with its tables.
use crate::prelude::*;

/// Who reaches a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    All,
    /// Proxies and stores, but no cell.
    NoCells,
    /// Nobody: it is frozen, or cut off from all.
    Nobody,
    /// Its process has ended.
    Down,
}

/// Invariants: `log` and `caught_up` are on the disk `id`; the events of an earlier `life` are void.
pub struct Store {
    pub name: String,
    pub addr: String,
    pub zone: String,
    pub id: u64,
    pub log: Vec<Logged>,
    pub caught_up: Option<VersionSpan>,
    pub tables: StoreTables,
    pub reach: Reach,
    /// Its machine never comes back.
    pub gone: bool,
    /// It was asked to stop.
    pub ending: bool,
    /// It was asked to stop so as to start again.
    pub rolled: bool,
    /// A machine that is to take its place by plan has started.
    pub replaced: bool,
    /// It follows a cell.
    pub linked: bool,
    /// When its last report comes to the leader.
    pub reported: Time,
    /// Grows with each start of its process.
    pub life: u64,
    /// Grows with each trouble: the end of an earlier one is void.
    pub trouble: u64,
    /// Grows with each round of exchanges, and when one is over.
    pub round: u64,
    /// Exchanges under way in this round.
    pub exchanges: usize,
    /// Rounds that proved too little, one after the other.
    pub fruitless: u32,
}

impl Store {
    pub fn new(name: String, zone: String, id: u64, caught_up: Option<VersionSpan>) -> Self {
        Store {
            addr: format!("a{id}"),
            name,
            zone,
            id,
            log: Vec::new(),
            caught_up,
            tables: StoreTables::new(History::new(id, caught_up), Limits::default()),
            reach: Reach::All,
            gone: false,
            ending: false,
            rolled: false,
            replaced: false,
            linked: false,
            reported: Time::ZERO,
            life: 0,
            trouble: 0,
            exchanges: 0,
            fruitless: 0,
            round: 0,
        }
    }

    /// Its process starts with what is on the disk.
    pub fn starts(&mut self, now: Time) {
        self.tables = StoreTables::new(History::new(self.id, self.caught_up), Limits::default());
        self.log.iter().for_each(|l| self.tables.take(l.clone(), now));
        (self.reach, self.ending, self.linked) = (Reach::All, false, false);
        self.life += 1;
        (self.round, self.exchanges, self.fruitless) = (self.round + 1, 0, 0);
    }

    /// Its disk is gone: it comes back with another identity.
    pub fn loses_its_disk(&mut self, id: u64) {
        (self.id, self.caught_up) = (id, None);
        self.log.clear();
    }

    /// Proxies and stores reach it.
    pub fn answers(&self) -> bool {
        matches!(self.reach, Reach::All | Reach::NoCells)
    }

    /// It follows a cell.
    pub fn follows(&self) -> bool {
        self.reach == Reach::All && self.linked
    }

    pub fn is_caught_up(&self) -> bool {
        self.tables.history.is_caught_up()
    }

    /// What it says of itself.
    pub fn status(&self) -> StoreStatus {
        StoreStatus {
            id: self.id,
            name: self.name.clone(),
            addr: self.addr.clone(),
            zone: self.zone.clone(),
            fresh: self.caught_up.is_none(),
            version: self.tables.history.set.version,
            caught_up: self.caught_up,
            ending: self.ending,
            loss_counted: true,
        }
    }

    /// One that was told to stop may.
    pub fn is_released(&self) -> bool {
        self.tables.history.may_stop()
    }
}
