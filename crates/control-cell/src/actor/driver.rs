//! Drives the consensus node: what it wants saved is on disk before anything that follows is said.
use crate::prelude::*;
use node_runtime::settings::CELL_PORT;

/// Entries above the snapshot before the next one is made.
const SNAPSHOT_EVERY: u64 = 256;
const IDENTITY: &str = "identity";

/// Invariant: what `handle` returns rests only on what the disk holds already.
pub(super) struct ConsensusDriver {
    pub me: Member,
    pub node: ConsensusNode,
    /// Voters and learners of the newest membership in the log.
    members: Vec<Member>,
    disk: ConsensusDisk,
    began: Instant,
    /// A snapshot of the own log that is to be written, by whoever takes it.
    due_write: Option<SnapshotWrite>,
    /// A snapshot is being written; the next one waits for it.
    writing: bool,
    /// The newest contact with a majority, also while nobody is known to lead.
    contact: Option<Duration>,
    /// The newest moment at which this cell held all that was committed.
    current: Option<Duration>,
}

/// What a cell finds on its disk when it starts.
pub(super) struct OpenedCell {
    pub driver: ConsensusDriver,
    pub state: CellState,
    /// Starts on this disk, this one included.
    pub starts: u64,
}

/// Who a cell is, as long as its disk lasts, and how often it was started.
struct Identity {
    id: u64,
    starts: u64,
}

fn id_of_founder(addr: &str) -> u64 {
    fnv64(addr.as_bytes()) | 1 << 63
}

fn members_of(node: &ConsensusNode) -> Vec<Member> {
    node.log.membership().all().into_iter().cloned().collect()
}

fn founder(addr: &str) -> Member {
    Member {
        id: id_of_founder(addr),
        name: String::new(),
        addr: addr.to_string(),
        zone: String::new(),
        incarnation: 0,
        loss_counted: true,
    }
}

fn read_identity(dir: &Path) -> NodeResult<Option<Identity>> {
    let read = load_value::<(u64, u64)>(dir, IDENTITY)?;
    Ok(read.map(|(id, starts)| Identity { id, starts: starts + 1 }))
}

impl ConsensusDriver {
    pub fn open(settings: &NodeSettings) -> NodeResult<OpenedCell> {
        let Some(dir) = settings.data_dir.clone() else {
            return Err(NodeError::BadSettings {
                file: "settings".into(),
                field: "dataDirectory".into(),
                reason: "is missing; a cell needs a disk".into(),
            });
        };
        let own = settings.own_addr(CELL_PORT);
        let (mut disk, hard, mut log) = ConsensusDisk::open(&dir.join("agreement"))?;
        // The identity lasts as long as the disk: a cell that finds none is a new member.
        let founders: Vec<String> = settings
            .seeds
            .iter()
            .map(|s| settings.inner_addr(&s.ip().to_string(), CELL_PORT))
            .collect();
        let identity = match read_identity(&dir)? {
            Some(i) => i,
            None if settings.first_start && founders.contains(&own) => {
                let mut voters: Vec<Member> = founders.iter().map(|a| founder(a)).collect();
                voters.dedup();
                log.snap.membership = Membership::of_voters(voters);
                disk.save_snapshot(hard, &log)?;
                Identity { id: id_of_founder(&own), starts: 1 }
            }
            None => Identity { id: fastrand::u64(1..1 << 62), starts: 1 },
        };
        let Identity { id, starts } = identity;
        save_snapshot(&dir, IDENTITY, &encode(&(id, starts)))?;
        let me = Member {
            id,
            name: settings.node_name.clone(),
            addr: own,
            zone: settings.zone.clone(),
            incarnation: 0,
            loss_counted: settings.loss_counted,
        };
        let state = read_state(&dir, &log.snap)?;
        let seed = fastrand::u64(..);
        let node = ConsensusNode::new(id, hard, log, Tuning::default(), seed);
        let members = members_of(&node);
        let began = Instant::now();
        let driver = ConsensusDriver {
            me,
            node,
            members,
            disk,
            due_write: None,
            writing: false,
            began,
            contact: None,
            current: None,
        };
        Ok(OpenedCell { driver, state, starts })
    }

    /// Handles an event and saves what must be saved; the effects left are to be carried out in order.
    pub fn handle(&mut self, ev: Event) -> NodeResult<Vec<Effect>> {
        let effects = self.node.handle(ev, self.began.elapsed());
        self.contact = self.contact.max(self.node.last_contact());
        self.current = self.current.max(self.node.last_current());
        self.save(&effects)?;
        if self.node.log.membership().all().into_iter().ne(&self.members) {
            self.members = members_of(&self.node);
        }
        Ok(effects)
    }

    fn save(&mut self, effects: &[Effect]) -> NodeResult<()> {
        let mut dirty = false;
        // What follows an installed snapshot doesn't join the log before it: that one is written at once.
        let installed = effects.iter().any(|e| matches!(e, Effect::Restore(_)));
        for e in effects {
            match e {
                Effect::SaveHardState(h) => {
                    self.disk.save_hard_state(*h);
                    dirty = true;
                }
                Effect::SaveEntries { from, entries } => {
                    self.disk.save_entries(*from, entries);
                    dirty = true;
                }
                Effect::SaveSnapshot(_) if !installed => {
                    let write = self.disk.begin_snapshot(self.node.hard, &self.node.log)?;
                    self.due_write = Some(write);
                    self.writing = true;
                    dirty = false;
                }
                Effect::SaveSnapshot(_) => {
                    self.disk.save_snapshot(self.node.hard, &self.node.log)?;
                    dirty = false;
                }
                _ => {}
            }
        }
        match dirty {
            true => self.disk.sync(),
            false => Ok(()),
        }
    }

    /// The snapshot to write, if one was begun.
    pub fn take_due_write(&mut self) -> Option<SnapshotWrite> {
        self.due_write.take()
    }

    /// A snapshot was written: what it replaces is removed.
    pub fn snapshot_written(&mut self, write: SnapshotWrite) -> NodeResult<()> {
        self.writing = false;
        self.disk.finish_snapshot(write)
    }

    pub fn needs_snapshot(&self, applied: u64) -> bool {
        if self.writing {
            return false;
        }
        applied - self.node.log.snap.index >= SNAPSHOT_EVERY || self.disk.needs_snapshot()
    }

    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// When the node wants its next tick.
    pub fn next_tick(&self) -> Instant {
        self.began + self.node.next_tick()
    }

    /// How long ago a moment of this process was, on the node's clock.
    pub fn on_clock(&self, at: Instant) -> Duration {
        at.duration_since(self.began)
    }

    /// Whether the last contact with a majority is less than `within` ago.
    pub fn contact_within(&self, within: Duration) -> bool {
        self.node.last_contact().is_some_and(|t| self.began.elapsed() < t + within)
    }

    /// Whether the last contact with a majority is recent enough to vouch for this cell's state: the
    /// longest wait before an election. Past it a leader steps down and others elect one. A follower that
    /// is in contact and receives no entries may lag for twice that.
    pub fn vouches(&self) -> bool {
        let bound = self.node.tuning.election_high;
        let now = self.began.elapsed();
        let in_contact = self.contact.is_some_and(|t| now < t + bound);
        let current = self.current.is_some_and(|t| now < t + bound * 2);
        in_contact && current
    }

    pub fn leads(&self) -> bool {
        self.node.leads()
    }

    /// Whether this cell leads and may start duties from its state.
    pub fn ready_to_serve(&self) -> bool {
        self.node.ready_to_serve(self.began.elapsed())
    }

    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Whether the membership has this cell as it is.
    pub fn membership_lists_me(&self) -> bool {
        let me = &self.me;
        let entry = self.members.iter().find(|m| m.id == me.id);
        entry.is_some_and(|m| Member { incarnation: me.incarnation, ..m.clone() } == *me)
    }

    pub fn member_addr(&self, id: u64) -> Option<String> {
        self.members().iter().find(|m| m.id == id).map(|m| m.addr.clone())
    }
}

fn read_state(dir: &Path, snap: &Snapshot) -> NodeResult<CellState> {
    // Another version's state is not dropped for an empty one.
    CellState::of_snapshot(snap).ok_or_else(|| NodeError::Damaged {
        file: dir.join("agreement/snapshot").display().to_string(),
        offset: 0,
        reason: "the agreed state can't be read: damaged, or of another version".into(),
    })
}
