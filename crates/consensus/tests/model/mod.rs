//! A deterministic world of cells: links that are cut in one direction or both, messages that are lost,
//! repeated and reordered, crashes, wipes, and checks after every step.
#![allow(dead_code, reason = "each test file uses a part")]
use consensus::core::{Effect, Event, HardState, RoleState, TermLog, Tuning};
use consensus::prelude::*;

/// One beat of the world's clock.
pub const STEP: Duration = Duration::from_millis(60);
/// Steps after which a calm world must agree.
pub const SETTLE_STEPS: usize = 60;

/// What a cell applied: small, but sent in many chunks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    pub index: u64,
    pub digest: u64,
    pub padding: ByteBuf,
}

pub struct Node {
    pub consensus: ConsensusNode,
    /// What the disk holds: survives a crash.
    pub hard: HardState,
    pub disk: TermLog,
    pub state: State,
    pub applied: Vec<Body>,
    pub down: bool,
}

#[derive(Clone, Debug)]
pub struct Flight {
    pub from: u64,
    pub to: u64,
    pub msg: Msg,
}

#[derive(Clone, Copy, Debug)]
struct Acknowledged {
    at: Duration,
    index: u64,
}

pub struct World {
    pub nodes: BTreeMap<u64, Node>,
    pub flight: Vec<Flight>,
    /// Proposals that weren't appended, and why.
    pub refused: BTreeMap<u64, ProposalRefused>,
    /// Links that carry nothing, by direction.
    pub cuts: BTreeSet<(u64, u64)>,
    pub now: Duration,
    pub tuning: Tuning,
    pub agreed: BTreeMap<u64, (u64, Body)>,
    digests: BTreeMap<u64, u64>,
    leaders: BTreeMap<u64, u64>,
    /// Not older than the contact bound.
    acknowledged: VecDeque<Acknowledged>,
    /// The newest of the older ones.
    acknowledged_before: u64,
    newest_acknowledged: u64,
    newest_membership: Option<(u64, Membership)>,
    proposed: BTreeMap<u64, (u64, LogPosition)>,
    /// For each read under way, what was acknowledged before it began.
    reads: BTreeMap<u64, u64>,
    pub confirmed: BTreeMap<u64, Option<u64>>,
    pub token: u64,
    /// Every message sent, counted by its kind and receiver.
    pub sent: Vec<Flight>,
    pub record: bool,
}

pub fn member(id: u64) -> Member {
    Member {
        id,
        name: format!("n{id}"),
        addr: format!("a{id}"),
        zone: format!("z{id}"),
        incarnation: 0,
        loss_counted: true,
    }
}

pub fn members(ids: &[u64]) -> Vec<Member> {
    ids.iter().map(|id| member(*id)).collect()
}

pub fn founders(ids: &[u64]) -> TermLog {
    let membership = Membership::of_voters(members(ids));
    TermLog::new(Snapshot { membership, ..Snapshot::default() }, Vec::new())
}

pub fn command(value: u8) -> Body {
    Body::Command(ByteBuf::from(vec![value]))
}

pub fn small_tuning() -> Tuning {
    Tuning { chunk: 48, retained_entries: 4, ..Tuning::default() }
}

impl World {
    pub fn new(ids: &[u64]) -> Self {
        World::with(ids, small_tuning())
    }

    pub fn with(ids: &[u64], tuning: Tuning) -> Self {
        let mut world = World {
            nodes: BTreeMap::new(),
            flight: Vec::new(),
            cuts: BTreeSet::new(),
            now: Duration::ZERO,
            tuning,
            agreed: BTreeMap::new(),
            digests: BTreeMap::new(),
            leaders: BTreeMap::new(),
            acknowledged: VecDeque::new(),
            acknowledged_before: 0,
            newest_acknowledged: 0,
            newest_membership: None,
            proposed: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            token: 0,
            sent: Vec::new(),
            refused: BTreeMap::new(),
            record: false,
        };
        for id in ids {
            world.start(*id, HardState::default(), founders(ids));
        }
        world
    }

    pub fn start(&mut self, id: u64, hard: HardState, disk: TermLog) {
        let seed = id * 77 + self.token;
        let consensus = ConsensusNode::new(id, hard, disk.clone(), self.tuning.clone(), seed);
        let mut node =
            Node { consensus, hard, disk, state: State::default(), applied: vec![], down: false };
        if let Some(state) = decode(&node.disk.snap.data) {
            node.state = state;
        }
        // The clock of a process that starts anew begins where the world's stands.
        node.consensus
            .handle(Event::Received { from: id, msg: Msg::TakeLead { term: 0 } }, self.now);
        self.nodes.insert(id, node);
    }

    /// A cell with an empty disk that is in nobody's membership yet.
    pub fn start_empty(&mut self, id: u64) {
        self.start(id, HardState::default(), TermLog::default());
    }

    pub fn step(&mut self, id: u64, event: Event) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id).filter(|n| !n.down) else { return };
        for effect in node.consensus.handle(event, now) {
            self.carry_out(id, effect);
        }
        self.check_ready(id);
    }

    fn carry_out(&mut self, id: u64, effect: Effect) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        match effect {
            Effect::SaveHardState(hard) => node.hard = hard,
            Effect::SaveEntries { from, entries } => {
                node.disk.cut(from);
                node.disk.entries.extend(entries);
            }
            Effect::SaveSnapshot(snap) => {
                node.disk = TermLog::new(snap, node.consensus.log.entries.clone());
            }
            Effect::Send { to, msg } => {
                let flight = Flight { from: id, to, msg };
                if self.record {
                    self.sent.push(flight.clone());
                }
                self.flight.push(flight);
            }
            Effect::Apply(entry) => self.apply(id, entry),
            Effect::Restore(snap) => {
                let state: State = decode(&snap.data).expect("the snapshot's bytes are whole");
                assert_eq!(state.index, snap.index);
                assert_eq!(self.digests[&snap.index], state.digest, "another state restored");
                node.state = state;
            }
            Effect::RoleIs(role) => self.check_role(id, &role),
            Effect::Appended { token, at } => match at {
                Ok(at) => drop(self.proposed.insert(token, (id, at))),
                Err(why) => drop(self.refused.insert(token, why)),
            },
            Effect::Confirmed { token, index } => {
                let before = self.reads.remove(&token).unwrap_or(0);
                assert!(index.is_none_or(|i| i >= before), "a read older than a confirmed write");
                self.confirmed.insert(token, index);
            }
        }
    }

    fn apply(&mut self, id: u64, entry: Entry) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        assert_eq!(entry.index, node.state.index + 1, "applied out of order");
        let bytes = encode(&(node.state.digest, &entry));
        node.state.index = entry.index;
        node.state.digest = fnv64(&bytes);
        node.applied.push(entry.body.clone());
        let digest = *self.digests.entry(entry.index).or_insert(node.state.digest);
        assert_eq!(digest, node.state.digest, "states differ at {}", entry.index);
        let position = entry.position();
        if let Body::Membership(m) = &entry.body {
            let older = self.newest_membership.as_ref().is_none_or(|(i, _)| *i < entry.index);
            if older {
                self.newest_membership = Some((entry.index, m.clone()));
            }
        }
        let had = self.agreed.entry(entry.index).or_insert((entry.term, entry.body.clone()));
        assert_eq!(*had, (entry.term, entry.body), "two entries agreed on at {}", entry.index);
        let mine = self.proposed.iter().find(|(_, (at, p))| *at == id && *p == position);
        if let Some(token) = mine.map(|(token, _)| *token) {
            self.proposed.remove(&token);
            self.acknowledged.push_back(Acknowledged { at: self.now, index: position.index });
            self.newest_acknowledged = self.newest_acknowledged.max(position.index);
        }
    }

    fn check_role(&mut self, id: u64, role: &RoleState) {
        let node = &self.nodes[&id];
        let campaigns = !matches!(role, RoleState::Follower {});
        let log = &node.consensus.log;
        let agreed = log.membership_at(node.consensus.commit);
        let voter = log.membership().is_voter(id) || agreed.is_voter(id);
        assert!(!campaigns || voter, "{id} campaigns and is no voter");
        if matches!(role, RoleState::Leader {}) {
            let term = node.consensus.hard.term;
            let was = *self.leaders.entry(term).or_insert(id);
            assert_eq!(was, id, "two leaders in term {term}");
        }
    }

    /// A leader that may answer from its state lacks nothing that was confirmed longer ago than the
    /// contact bound.
    fn check_ready(&mut self, id: u64) {
        let bound = self.tuning.contact_bound();
        while let Some(a) = self.acknowledged.pop_front_if(|a| a.at + bound < self.now) {
            self.acknowledged_before = self.acknowledged_before.max(a.index);
        }
        let node = &self.nodes[&id];
        if !node.consensus.ready_to_serve(self.now) {
            return;
        }
        let newest = self.acknowledged_before;
        assert!(node.state.index >= newest, "{id} serves {} of {newest}", node.state.index);
    }

    pub fn is_cut(&self, from: u64, to: u64) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// Cuts `from` off in one direction: nothing that it says arrives.
    pub fn silence(&mut self, from: u64) {
        let others: Vec<u64> = self.nodes.keys().copied().collect();
        self.cuts.extend(others.iter().map(|to| (from, *to)));
    }

    /// Cuts `to` off in the other direction: it hears nothing.
    pub fn deafen(&mut self, to: u64) {
        let others: Vec<u64> = self.nodes.keys().copied().collect();
        self.cuts.extend(others.iter().map(|from| (*from, to)));
    }

    pub fn isolate(&mut self, id: u64) {
        self.silence(id);
        self.deafen(id);
    }

    /// Cuts a group off from all others.
    pub fn split(&mut self, group: &[u64]) {
        let ids: Vec<u64> = self.nodes.keys().copied().collect();
        for a in &ids {
            for b in &ids {
                if group.contains(a) != group.contains(b) {
                    self.cuts.insert((*a, *b));
                }
            }
        }
    }

    pub fn deliver(&mut self, i: usize, keep: bool) {
        if self.flight.is_empty() {
            return;
        }
        let at = i % self.flight.len();
        let flight = if keep { self.flight[at].clone() } else { self.flight.remove(at) };
        if !self.is_cut(flight.from, flight.to) {
            self.step(flight.to, Event::Received { from: flight.from, msg: flight.msg });
        }
    }

    pub fn deliver_all(&mut self) {
        const MOST: usize = 200_000;
        for _ in 0..MOST {
            if self.flight.is_empty() {
                return;
            }
            self.deliver(0, false);
        }
        panic!("messages without end");
    }

    pub fn tick_all(&mut self) {
        let ids: Vec<u64> = self.nodes.keys().copied().collect();
        for id in ids {
            self.step(id, Event::Tick);
        }
    }

    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now += STEP;
            self.tick_all();
            self.deliver_all();
        }
    }

    /// Lets everything through until calm.
    pub fn settle(&mut self) {
        self.cuts.clear();
        self.run(SETTLE_STEPS);
    }

    pub fn crash(&mut self, id: u64) {
        if let Some(node) = self.nodes.get(&id) {
            let (hard, disk) = (node.hard, node.disk.clone());
            self.flight.retain(|f| f.from != id);
            self.proposed.retain(|_, (at, _)| *at != id);
            self.token += 1;
            self.start(id, hard, disk);
        }
    }

    pub fn leader(&self) -> Option<u64> {
        let up = self.nodes.iter().filter(|(_, n)| !n.down && n.consensus.leads());
        up.max_by_key(|(_, n)| n.consensus.hard.term).map(|(id, _)| *id)
    }

    pub fn node(&self, id: u64) -> &ConsensusNode {
        &self.nodes[&id].consensus
    }

    pub fn propose(&mut self, body: Body) -> Option<u64> {
        let leader = self.leader()?;
        self.token += 1;
        let token = self.token;
        self.step(leader, Event::Propose { token, body });
        Some(token)
    }

    pub fn read(&mut self, id: u64) -> u64 {
        self.token += 1;
        let token = self.token;
        self.reads.insert(token, self.newest_acknowledged);
        self.step(id, Event::Confirm { token });
        token
    }

    pub fn compact(&mut self, id: u64) {
        let Some(node) = self.nodes.get(&id) else { return };
        let mut state = node.state.clone();
        state.padding = ByteBuf::from(vec![7; 200]);
        let (index, data) = (state.index, ByteBuf::from(encode(&state).to_vec()));
        self.step(id, Event::Compact { index, data });
    }

    /// Wants these voters and learners.
    pub fn want(&mut self, voters: &[u64], learners: &[u64]) {
        let target = Membership {
            voters: members(voters),
            learners: members(learners),
            outgoing: Vec::new(),
        };
        self.propose(Body::Membership(target));
    }

    pub fn voters(&self, id: u64) -> Vec<u64> {
        self.node(id).log.membership().voters.iter().map(|m| m.id).collect()
    }

    /// The memberships that may be in force: the newest that was agreed on, and newer ones in any log.
    pub fn memberships_in_force(&self) -> Vec<Membership> {
        let agreed = self.newest_membership.clone();
        let since = agreed.as_ref().map_or(0, |(index, _)| *index);
        let logs = self.nodes.values().map(|n| &n.consensus.log);
        let founded = logs.filter(|log| !log.membership().voters.is_empty());
        let newer = founded.filter(|log| log.membership_index() >= since);
        newer.map(|log| log.membership().clone()).chain(agreed.map(|(_, m)| m)).collect()
    }

    /// Whether every membership in force keeps a majority of cells with a disk when `id` loses its own.
    pub fn majorities_without(&self, id: u64) -> bool {
        let alive = |m: &Member| m.id != id && self.nodes.contains_key(&m.id);
        let majority = |set: &[Member]| {
            set.is_empty() || set.iter().filter(|m| alive(m)).count() > set.len() / 2
        };
        let memberships = self.memberships_in_force();
        memberships.iter().all(|m| majority(&m.voters) && majority(&m.outgoing))
    }

    /// All cells of the membership follow one leader and hold the same.
    pub fn assert_agreed(&self) {
        let leader = self.leader().expect("calm returned and nobody leads");
        let node = self.node(leader);
        for m in node.log.membership().all() {
            let Some(other) = self.nodes.get(&m.id).filter(|n| !n.down) else { continue };
            assert_eq!(other.consensus.leader, Some(leader), "{} follows another", m.id);
            assert_eq!(other.consensus.commit, node.commit, "{} is behind", m.id);
            assert_eq!(other.state.digest, self.nodes[&leader].state.digest);
        }
    }
}

impl std::fmt::Debug for World {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (id, node) in &self.nodes {
            let n = &node.consensus;
            let ids = |m: &[Member]| m.iter().map(|m| m.id).collect::<Vec<u64>>();
            let m = n.log.membership();
            writeln!(
                f,
                "{id}: {:?} term {} leader {:?} end {:?} commit {} snap {} voters {:?} outgoing {:?} learners {:?}",
                n.role(), n.hard.term, n.leader, n.log.end(), n.commit, n.log.snap.index,
                ids(&m.voters), ids(&m.outgoing), ids(&m.learners)
            )?;
        }
        Ok(())
    }
}
