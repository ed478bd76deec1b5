//! What was acknowledged, and on which disks a synced copy of it is.
use crate::prelude::*;

/// Something that was acknowledged, by its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Acknowledged {
    Turn(u64),
    Claim(u64),
    Settlement(u64),
}

#[derive(Default)]
pub struct Copies {
    disks: BTreeMap<Acknowledged, Vec<u64>>,
    acknowledged: Vec<Acknowledged>,
}

pub fn turn_id(req: u64) -> String {
    format!("t{req}")
}

fn request_of(turn: &str) -> u64 {
    turn[1..].parse().unwrap()
}

impl Copies {
    /// A disk has synced a record.
    pub fn synced(&mut self, disk: u64, l: &LogRecord) {
        match l {
            LogRecord::Turn(r) | LogRecord::Foreign { record: r, .. } => {
                self.add(disk, Acknowledged::Turn(request_of(&r.id)));
            }
            LogRecord::Attempt { record, .. } => {
                self.add(disk, Acknowledged::Claim(record.req));
                if record.settlement.is_some() {
                    self.add(disk, Acknowledged::Settlement(record.req));
                }
            }
        }
    }

    /// A process has started with these records: all that was ever synced is among them, and what else had
    /// reached the disk by then is a copy as well.
    pub fn read_back(&mut self, disk: u64, records: &[LogRecord]) {
        let synced = |disks: &Vec<u64>| disks.contains(&disk);
        let expected: Vec<Acknowledged> =
            self.disks.iter().filter(|(_, d)| synced(d)).map(|(what, _)| *what).collect();
        self.disks.values_mut().for_each(|disks| disks.retain(|d| *d != disk));
        records.iter().for_each(|record| self.synced(disk, record));
        for what in expected {
            assert!(self.of(what).contains(&disk), "{what:?} was synced on {disk} and is gone");
        }
    }

    fn add(&mut self, disk: u64, what: Acknowledged) {
        let disks = self.disks.entry(what).or_default();
        if !disks.contains(&disk) {
            disks.push(disk);
        }
    }

    /// The disks that have a copy, whatever became of them.
    pub fn of(&self, what: Acknowledged) -> &[u64] {
        self.disks.get(&what).map_or(&[], |d| d)
    }
}

impl World {
    /// At no moment may the copies that are left, less the losses that may still come, be under one.
    pub fn check_margin(&self) {
        self.check_copies(&self.copies.acknowledged);
    }

    /// The same, of what has just been acknowledged.
    pub fn acknowledge(&mut self, what: &[Acknowledged]) {
        self.copies.acknowledged.extend(what);
        self.check_copies(what);
    }

    /// It isn't lost, and the set counts on it.
    fn is_sound(&self, store: usize, s: &Store) -> bool {
        !self.losses.counts(store, self.clock.now) && self.set.find(s.id).is_some()
    }

    /// While absences overlap beyond what is tolerated a copy on any disk will do.
    fn check_copies(&self, acknowledged: &[Acknowledged]) {
        let now = self.clock.now;
        let overlapping = self.losses.is_overlapping(now);
        let sound: HashSet<u64> = self
            .stores
            .iter()
            .enumerate()
            .filter(|(i, s)| !s.gone && (overlapping || self.is_sound(*i, s)))
            .map(|(_, s)| s.id)
            .collect();
        let spare = self.losses.spare(now);
        for what in acknowledged {
            let disks = self.copies.of(*what);
            let left = disks.iter().filter(|d| sound.contains(d)).count();
            assert!(
                left > spare,
                "{what:?}: {left} copies are left of {disks:?}, and {spare} may still be lost\n{}\n{}",
                self.groups_of(*what),
                self.trace()
            );
        }
    }

    /// The group of something's program under each placement that is remembered.
    fn groups_of(&self, what: Acknowledged) -> String {
        let (Acknowledged::Turn(req) | Acknowledged::Claim(req) | Acknowledged::Settlement(req)) =
            what;
        let Some(turn) = self.turns.iter().find(|t| t.req == req) else { return String::new() };
        let key = StoreSet::key_of(&program_name(turn.program));
        let size = self.set.group_size();
        let groups = self.set.placements.iter().map(|p| (p.version, p.group(key, size)));
        format!("groups of p{}: {:?}", turn.program, groups.collect::<Vec<_>>())
    }

    /// What a machine held that may be taken away lies with a majority of the group that keeps it now, less
    /// those whose disks were lost just then.
    pub fn check_groups(&self) {
        for (program, turn) in self.turns.iter().map(|t| (t.program, t.req)) {
            let group = self.set.group(StoreSet::key_of(&program_name(program)));
            let disks = self.copies.of(Acknowledged::Turn(turn));
            let holders = group.iter().filter(|g| disks.contains(g)).count();
            let wiped = group.iter().filter(|g| self.stores.iter().all(|s| s.id != **g)).count();
            let trace = || self.trace();
            assert!(
                holders + wiped >= self.set.quorum(),
                "turn {turn}: {holders} copies, {wiped} wiped\n{}",
                trace()
            );
            assert!(holders > 0, "turn {turn}: no copy is left\n{}", trace());
        }
    }
}

pub fn program_name(program: u64) -> String {
    format!("p{program}")
}
