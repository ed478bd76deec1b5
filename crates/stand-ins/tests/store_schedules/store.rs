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

const DIR: &str = "/data";
/// Small, so that schedules go through several segments.
const SEGMENT_BYTES: u64 = 8 << 10;

/// Invariants: `id` is the identity of `disk`; `owner` works on it, and is void while the process is down;
/// the events of an earlier `life` are void.
pub struct Store {
    pub name: String,
    pub addr: String,
    pub zone: String,
    pub id: u64,
    pub disk: SimulatedDisk,
    pub owner: StoreOwner,
    /// When its process started: the owner's times count from here.
    began: Time,
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
    /// A machine with an empty disk, its process running.
    pub fn new(name: String, zone: String, identity: StoreIdentity) -> Self {
        let (id, disk) = (identity.id, SimulatedDisk::new(identity.id));
        Store {
            owner: open(&disk, identity).unwrap(),
            disk,
            began: Time::ZERO,
            addr: format!("a{id}"),
            name,
            zone,
            id,
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

    /// Power is back: its process starts with what is on the disk, and gives the records that it read. Power
    /// may be lost once more meanwhile, after so many steps.
    pub fn starts(&mut self, now: Time, lost_again_after: Option<u64>) -> Vec<LogRecord> {
        let identity = StoreIdentity::new(self.id, false);
        if let Some(steps) = lost_again_after {
            drop(self.disk.open_until_cut(steps, || open(&self.disk, identity)));
        }
        self.disk.restart();
        let records = read_log(&self.disk);
        self.owner = open(&self.disk, identity).unwrap();
        assert_eq!(self.owner.identity().id, self.id, "the identity outlasts a loss of power");
        self.began = now;
        (self.reach, self.ending, self.linked) = (Reach::All, false, false);
        self.life += 1;
        (self.round, self.exchanges, self.fruitless) = (self.round + 1, 0, 0);
        records
    }

    /// Its disk is gone: it comes back with another identity.
    pub fn loses_its_disk(&mut self, id: u64) {
        self.id = id;
        self.disk = SimulatedDisk::new(id);
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
        self.history().is_caught_up()
    }

    /// What it may speak for.
    pub fn history(&self) -> &History {
        &self.owner.tables.history
    }

    /// The versions at which it was caught up, as its disk says.
    pub fn caught_up(&self) -> Option<VersionSpan> {
        self.owner.identity().caught_up
    }

    /// Its process's own time.
    pub fn process_time(&self, now: Time) -> Duration {
        now.saturating_sub(self.began)
    }

    /// What it says of itself.
    pub fn status(&self) -> StoreStatus {
        StoreStatus {
            id: self.id,
            name: self.name.clone(),
            addr: self.addr.clone(),
            zone: self.zone.clone(),
            fresh: self.caught_up().is_none(),
            version: self.history().set.version,
            caught_up: self.caught_up(),
            ending: self.ending,
            loss_counted: true,
        }
    }

    /// One that was told to stop may.
    pub fn is_released(&self) -> bool {
        self.history().may_stop()
    }
}

fn open(disk: &SimulatedDisk, if_empty: StoreIdentity) -> NodeResult<StoreOwner> {
    StoreOwner::open(disk.handle(), Path::new(DIR), if_empty, Limits::default(), SEGMENT_BYTES)
}

fn read_log(disk: &SimulatedDisk) -> Vec<LogRecord> {
    let mut records = Vec::new();
    let log = Path::new(DIR).join("log");
    SegmentLog::open_on(disk.handle(), &log, |_, bytes| records.extend(decode(bytes))).unwrap();
    records
}
