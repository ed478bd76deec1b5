//! The engines of a zone as the platform lists them, and what takes one state of that table to the next.
//!
//! A zone may hold hundreds of engines and be followed by dozens of nodes, while a change touches a few
//! engines: whole tables are sent to those who begin, changes to those who follow.
use crate::prelude::*;

/// An engine as the platform's list shows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineEntry {
    /// The platform's name for it.
    pub id: String,
    /// The service that it answers for.
    pub service: String,
    /// Where it answers.
    pub addr: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// It leaves: nothing new is sent to it.
    pub draining: bool,
    /// How long it has yet to warm up, as the list says.
    pub cold_ms: u64,
}

impl EngineEntry {
    /// Whether two entries differ in nothing but how far a warm-up has come.
    pub fn says_the_same(&self, other: &EngineEntry) -> bool {
        self.id == other.id
            && self.addr == other.addr
            && self.draining == other.draining
            && self.service == other.service
            && self.slots == other.slots
            && (self.cold_ms == 0) == (other.cold_ms == 0)
    }
}

/// Names one state of a zone's table. Later states compare as greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ZoneVersion {
    /// The log index that made the zone's holder.
    pub epoch: u64,
    /// Counts that holder's tables.
    pub seq: u64,
}

/// All engines of a zone. Invariant: (`epoch`, `seq`) never goes back for a zone; `epoch` is the
/// log index that made the holder, `seq` counts that holder's tables.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneTable {
    /// Which zone.
    pub zone: String,
    /// The log index that made its holder.
    pub epoch: u64,
    /// Counts that holder's tables.
    pub seq: u64,
    /// All that are listed.
    pub engines: Vec<EngineEntry>,
}

/// What takes a zone's table from `base` to `version`. Invariant: `base` is not later than `version`; no
/// engine is both in `put` and in `removed`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneChange {
    /// Which zone.
    pub zone: String,
    /// The state that it is made from.
    pub base: ZoneVersion,
    /// The state that it leads to.
    pub version: ZoneVersion,
    /// Engines that are new, or of which something else is said than before.
    pub put: Vec<EngineEntry>,
    /// Engines that are no longer listed, by id.
    pub removed: Vec<String>,
}

impl ZoneChange {
    /// It says no more of the engines than was said before.
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.removed.is_empty()
    }
}

/// What became of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneChangeOutcome {
    /// The table has gone on to the change's version.
    Applied,
    /// The table had that version, or a later one.
    Known,
    /// The table isn't in the state that the change is made from; the whole table is needed.
    OutOfStep,
}

impl ZoneTable {
    /// Which state this is.
    pub fn version(&self) -> ZoneVersion {
        ZoneVersion { epoch: self.epoch, seq: self.seq }
    }

    /// What leads from this table to a later one of the same zone.
    pub fn change_to(&self, later: &ZoneTable) -> ZoneChange {
        let before: HashMap<&str, &EngineEntry> =
            self.engines.iter().map(|e| (e.id.as_str(), e)).collect();
        let listed: HashSet<&str> = later.engines.iter().map(|e| e.id.as_str()).collect();
        let is_news =
            |e: &&EngineEntry| before.get(e.id.as_str()).is_none_or(|old| !old.says_the_same(e));
        let gone = |e: &&EngineEntry| !listed.contains(e.id.as_str());
        ZoneChange {
            zone: self.zone.clone(),
            base: self.version(),
            version: later.version(),
            put: later.engines.iter().filter(is_news).cloned().collect(),
            removed: self.engines.iter().filter(gone).map(|e| e.id.clone()).collect(),
        }
    }

    /// A change that says no more than which state is the newest.
    pub fn newest(&self) -> ZoneChange {
        ZoneChange {
            zone: self.zone.clone(),
            base: self.version(),
            version: self.version(),
            put: Vec::new(),
            removed: Vec::new(),
        }
    }

    /// Goes on to the change's version, where this table is in the state that it is made from.
    pub fn apply(&mut self, change: &ZoneChange) -> ZoneChangeOutcome {
        if self.version() >= change.version {
            return ZoneChangeOutcome::Known;
        }
        if self.version() != change.base {
            return ZoneChangeOutcome::OutOfStep;
        }
        let replaced: HashSet<&str> = change
            .removed
            .iter()
            .map(String::as_str)
            .chain(change.put.iter().map(|e| e.id.as_str()))
            .collect();
        self.engines.retain(|e| !replaced.contains(e.id.as_str()));
        self.engines.extend(change.put.iter().cloned());
        self.epoch = change.version.epoch;
        self.seq = change.version.seq;
        ZoneChangeOutcome::Applied
    }
}
