//! Three cells in virtual time, one of them behind a slow link: messages take their size's time on it,
//! what is saved takes a disk's time, and a reader asks the returned cell as an operator does.
use consensus::core::TermLog;
use control_cell::prelude::*;

const CELLS: [u64; 3] = [1, 2, 3];
/// What a disk takes for a sync, and how many bytes a second it writes.
const SYNC: Duration = Duration::from_millis(5);
const DISK_BYTES_PER_S: f64 = 100e6;
/// Between the two connections of a pair the link changes after so many bytes.
const PIECE: usize = 16 << 10;
/// Bytes of a question or an answer that carries an index.
const SMALL_CALL: usize = 200;
/// A reader without an answer asks again.
const ASK_AGAIN: Duration = Duration::from_millis(500);
/// A play that has not ended by then is given up.
const GIVEN_UP: Duration = Duration::from_secs(60);

/// How long a member is away, and what it returns to.
#[derive(Debug, Clone)]
pub struct Absence {
    /// Changes meanwhile, each of `small` bytes, and one of `large` bytes after them.
    pub changes: u64,
    pub small: usize,
    pub large: usize,
    /// From the last change to the return.
    pub returns_after: Duration,
    /// Of the link to the returned member.
    pub bytes_per_s: f64,
    /// Of every link, one way.
    pub latency: Duration,
    /// Another leads by the time of the return, who has never heard from the member.
    pub leader_lost: bool,
    /// Entries between two snapshots.
    pub snapshot_every: u64,
    pub seed: u64,
}

/// What goes over the links.
#[derive(Clone)]
enum Packet {
    Consensus { from: u64, msg: Msg },
    AskIndex { from: u64 },
    TellIndex { index: u64 },
}

impl Packet {
    fn size(&self) -> usize {
        match self {
            Packet::Consensus { msg, .. } => encode(msg).len(),
            Packet::AskIndex { .. } | Packet::TellIndex { .. } => SMALL_CALL,
        }
    }

    fn is_bulk(&self) -> bool {
        matches!(self, Packet::Consensus { msg, .. } if msg.is_bulk())
    }
}

/// What is left of a packet on one of the link's connections.
struct Queued {
    packet: Packet,
    bytes: usize,
}

/// The link to the returned member: two connections share its rate, a piece each in turn.
struct SlowLink {
    bytes_per_s: f64,
    connections: [VecDeque<Queued>; 2],
    turn: usize,
    free_at: Duration,
}

impl SlowLink {
    fn push(&mut self, packet: Packet, now: Duration) {
        if self.connections.iter().all(VecDeque::is_empty) {
            self.free_at = self.free_at.max(now);
        }
        let connection = packet.is_bulk() as usize;
        let bytes = packet.size();
        self.connections[connection].push_back(Queued { packet, bytes });
    }

    fn next_at(&self) -> Option<Duration> {
        self.connections.iter().any(|c| !c.is_empty()).then_some(self.free_at)
    }

    /// Carries one piece; gives back a packet whose last piece it was, and when that has passed.
    fn carry(&mut self) -> Option<(Duration, Packet)> {
        self.turn = 1 - self.turn;
        if self.connections[self.turn].is_empty() {
            self.turn = 1 - self.turn;
        }
        let connection = &mut self.connections[self.turn];
        let first = connection.front_mut()?;
        let piece = first.bytes.min(PIECE);
        first.bytes -= piece;
        self.free_at += Duration::from_secs_f64(piece as f64 / self.bytes_per_s);
        match first.bytes {
            0 => connection.pop_front().map(|q| (self.free_at, q.packet)),
            _ => None,
        }
    }
}

struct Cell {
    node: ConsensusNode,
    state: CellState,
    /// The process began then; its clock counts from there.
    began: Duration,
    hard: HardState,
    disk: TermLog,
    busy_until: Duration,
}

/// What the reader at the returned member waits for.
#[derive(Default)]
struct Reader {
    asked: Option<Duration>,
    confirmed: Option<u64>,
}

pub struct World {
    absence: Absence,
    now: Duration,
    cells: BTreeMap<u64, Cell>,
    /// Arrivals, by time and in their order.
    arrivals: BTreeMap<(Duration, u64), (u64, Packet)>,
    sent: u64,
    /// Who stands behind the slow link.
    behind: Option<u64>,
    slow: SlowLink,
    reader: Reader,
    version: u64,
}

impl World {
    /// How long the member takes to serve the newest after its return; none if it doesn't, or if the
    /// cells can't agree with it in the majority afterwards.
    pub fn play(absence: &Absence) -> Option<Duration> {
        let mut world = World::new(absence.clone());
        let away = world.member_to_leave()?;
        let (hard, disk) = world.stop(away)?;
        for _ in 0..absence.changes {
            world.change(absence.small)?;
        }
        world.change(absence.large)?;
        if absence.leader_lost {
            world.lose_leader()?;
        }
        world.run_for(absence.returns_after);
        let returned = world.now;
        world.behind = Some(away);
        world.start(away, hard, disk);
        world.run_until(|w| w.serves_newest(away))?;
        let took = world.now - returned;
        let leader = world.leader()?;
        world.stop(leader)?;
        world.change(absence.small)?;
        let newest = world.version;
        world.run_until(|w| w.cells[&away].state.config_version() == newest)?;
        Some(took)
    }

    fn new(absence: Absence) -> Self {
        let bytes_per_s = absence.bytes_per_s;
        let connections = Default::default();
        let slow = SlowLink { bytes_per_s, connections, turn: 0, free_at: Duration::ZERO };
        let mut world = World {
            absence,
            now: Duration::ZERO,
            cells: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            sent: 0,
            behind: None,
            slow,
            reader: Reader::default(),
            version: 0,
        };
        let member = |id: u64| Member {
            id,
            name: format!("core-{id}"),
            addr: format!("address-{id}"),
            zone: "a".into(),
            incarnation: 0,
            loss_counted: true,
        };
        let membership = Membership::of_voters(CELLS.map(member).to_vec());
        let founded = TermLog::new(Snapshot { membership, ..Snapshot::default() }, Vec::new());
        for id in CELLS {
            world.start(id, HardState::default(), founded.clone());
        }
        world
    }

    /// After a first change: a follower.
    fn member_to_leave(&mut self) -> Option<u64> {
        self.change(self.absence.small)?;
        let leader = self.leader()?;
        self.run_until(|w| w.cells.values().all(|c| c.state.config_version() == 1))?;
        CELLS.into_iter().find(|id| *id != leader)
    }

    fn start(&mut self, id: u64, hard: HardState, disk: TermLog) {
        let seed = self.absence.seed * 31 + id;
        let node = ConsensusNode::new(id, hard, disk.clone(), Tuning::default(), seed);
        let state = CellState::of_snapshot(&disk.snap).unwrap();
        let (began, busy_until) = (self.now, self.now);
        self.cells.insert(id, Cell { node, state, began, hard, disk, busy_until });
    }

    /// Ends a cell as a loss of power does; what its disk holds is left.
    fn stop(&mut self, id: u64) -> Option<(HardState, TermLog)> {
        self.cells.remove(&id).map(|cell| (cell.hard, cell.disk))
    }

    /// The leader stops; it starts again once nobody leads, and somebody is elected.
    fn lose_leader(&mut self) -> Option<()> {
        let lost = self.leader()?;
        let (hard, disk) = self.stop(lost)?;
        self.run_for(Tuning::default().election_high);
        self.start(lost, hard, disk);
        self.run_until(|w| w.leader().is_some_and(|l| w.is_ready(l)))
    }

    fn leader(&self) -> Option<u64> {
        let leaders = self.cells.iter().filter(|(_, c)| c.node.leads());
        leaders.max_by_key(|(_, c)| c.node.hard.term).map(|(id, _)| *id)
    }

    /// A configuration of so many bytes, until the leader has applied it.
    fn change(&mut self, bytes: usize) -> Option<()> {
        self.run_until(|w| w.leader().is_some_and(|l| w.is_ready(l)))?;
        let leader = self.leader()?;
        let base = self.version;
        self.version += 1;
        let mut sha256 = [0; 32];
        sha256[..8].copy_from_slice(&self.version.to_le_bytes());
        let body = ByteBuf::from(vec![self.version as u8; bytes]);
        let sha256 = BodyDigest::new(sha256);
        let change = Change::PutConfig { base, version: self.version, sha256, body };
        let body = Body::Command(ByteBuf::from(encode(&change).to_vec()));
        self.step(leader, Event::Propose { token: 0, body });
        let version = self.version;
        self.run_until(|w| w.cells[&leader].state.config_version() == version)
    }

    fn is_ready(&self, id: u64) -> bool {
        let cell = &self.cells[&id];
        cell.node.ready_to_serve(self.now - cell.began)
    }

    /// Asks the cell for the newest configuration, as a call of the operator does: a majority confirms
    /// what must be applied. True once it answers; what it answers is the newest then.
    fn serves_newest(&mut self, id: u64) -> bool {
        let cell = &self.cells[&id];
        if self.reader.confirmed.is_some_and(|index| cell.node.applied >= index) {
            assert_eq!(cell.state.config_version(), self.version, "served, and not the newest");
            return true;
        }
        let leader = cell.node.leader;
        let waits = self.reader.asked.is_some_and(|at| self.now < at + ASK_AGAIN);
        if let Some(leader) = leader.filter(|l| !waits && *l != id) {
            self.reader.asked = Some(self.now);
            self.send(leader, Packet::AskIndex { from: id }, self.now);
        }
        false
    }

    fn run_until(&mut self, mut done: impl FnMut(&mut World) -> bool) -> Option<()> {
        while !done(self) {
            if self.now >= GIVEN_UP {
                return None;
            }
            self.advance();
        }
        Some(())
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.next_at() < end {
            self.advance();
        }
        self.now = end;
    }

    fn next_tick(cell: &Cell) -> Duration {
        (cell.began + cell.node.next_tick()).max(cell.busy_until)
    }

    fn next_at(&self) -> Duration {
        let arrival = self.arrivals.first_key_value().map(|((at, _), _)| *at);
        let ticks = self.cells.values().map(World::next_tick);
        let next = ticks.chain(arrival).chain(self.slow.next_at()).min();
        next.unwrap_or(GIVEN_UP).max(self.now)
    }

    /// Takes the next thing that happens.
    fn advance(&mut self) {
        self.now = self.next_at();
        if self.slow.next_at().is_some_and(|at| at <= self.now) {
            if let (Some((at, packet)), Some(to)) = (self.slow.carry(), self.behind) {
                self.arrive(to, packet, at + self.absence.latency);
            }
            return;
        }
        if let Some(((at, no), (to, packet))) = self.arrivals.pop_first() {
            if at <= self.now {
                self.arrived(to, packet);
                return;
            }
            self.arrivals.insert((at, no), (to, packet));
        }
        let due = self.cells.iter().find(|(_, c)| World::next_tick(c) <= self.now);
        if let Some(id) = due.map(|(id, _)| *id) {
            self.step(id, Event::Tick);
        }
    }

    fn arrived(&mut self, to: u64, packet: Packet) {
        let Some(cell) = self.cells.get(&to) else { return };
        if cell.busy_until > self.now {
            let at = cell.busy_until;
            return self.arrive(to, packet, at);
        }
        match packet {
            Packet::Consensus { from, msg } => self.step(to, Event::Received { from, msg }),
            Packet::AskIndex { from } => self.step(to, Event::Confirm { token: from }),
            Packet::TellIndex { index } => self.reader.confirmed = Some(index),
        }
    }

    fn step(&mut self, id: u64, event: Event) {
        let Some(cell) = self.cells.get_mut(&id) else { return };
        let effects = cell.node.handle(event, self.now - cell.began);
        for effect in effects {
            self.carry_out(id, effect);
        }
        let every = self.absence.snapshot_every;
        let Some(cell) = self.cells.get_mut(&id) else { return };
        let index = cell.node.applied;
        if index - cell.node.log.snap.index >= every {
            let data = ByteBuf::from(encode(&cell.state).to_vec());
            self.step(id, Event::Compact { index, data });
        }
    }

    fn carry_out(&mut self, id: u64, effect: Effect) {
        let Some(cell) = self.cells.get_mut(&id) else { return };
        match effect {
            Effect::SaveHardState(hard) => {
                cell.hard = hard;
                cell.save(0, self.now);
            }
            Effect::SaveEntries { from, entries } => {
                cell.save(entries.iter().map(|e| e.body.size()).sum(), self.now);
                cell.disk.cut(from);
                cell.disk.entries.extend(entries);
            }
            Effect::SaveSnapshot(snap) => {
                cell.save(snap.data.len(), self.now);
                cell.disk = TermLog::new(snap, cell.node.log.entries.clone());
            }
            Effect::Restore(snap) => cell.state = CellState::of_snapshot(&snap).unwrap(),
            Effect::Apply(entry) => {
                if let Body::Command(change) = &entry.body {
                    let outcome = cell.state.apply(entry.index, decode(change).unwrap());
                    assert_eq!(outcome, Outcome::Taken, "applied in order, each once");
                }
            }
            Effect::Send { to, msg } => {
                let at = cell.busy_until.max(self.now);
                self.send(to, Packet::Consensus { from: id, msg }, at);
            }
            Effect::Confirmed { token, index: Some(index) } => {
                let at = cell.busy_until.max(self.now);
                self.send(token, Packet::TellIndex { index }, at);
            }
            Effect::Confirmed { .. } | Effect::Appended { .. } | Effect::RoleIs(_) => {}
        }
    }

    /// Sends at a moment that isn't past. To a cell that is away nothing is sent.
    fn send(&mut self, to: u64, packet: Packet, at: Duration) {
        if !self.cells.contains_key(&to) {
            return;
        }
        match self.behind == Some(to) {
            true => self.slow.push(packet, at),
            false => self.arrive(to, packet, at + self.absence.latency),
        }
    }

    fn arrive(&mut self, to: u64, packet: Packet, at: Duration) {
        self.sent += 1;
        self.arrivals.insert((at, self.sent), (to, packet));
    }
}

impl Cell {
    fn save(&mut self, bytes: usize, now: Duration) {
        let took = SYNC + Duration::from_secs_f64(bytes as f64 / DISK_BYTES_PER_S);
        self.busy_until = self.busy_until.max(now) + took;
    }
}
