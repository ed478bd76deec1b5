//! The owner's tables and its loop.
use super::feed::FeedBook;
use super::handle::FeedReceiver;
use super::trial::TrialDesk;
use crate::listing::{read_lists, Held};
use crate::prelude::*;
use node_base::settings::CELL_PORT;

pub(super) enum Reader {
    Config(oneshot::Sender<Option<Option<Bytes>>>),
    Follow {
        feed: u64,
        no: u64,
        wants: Wants,
        reply: oneshot::Sender<Option<(FeedReceiver, u64)>>,
    },
    /// Another cell asks on behalf of its reader.
    Index(oneshot::Sender<CellReply>),
}

/// Invariants: `state` is what the log says up to `consensus.applied`; `placed` holds proposals made here
/// in this term and not yet applied; a reader is served only when its index is applied.
pub(super) struct Actor {
    pub settings: SharedSettings,
    pub queue: mpsc::Sender<CellCommand>,
    pub me: Member,
    /// Starts on this disk: what this cell numbers never goes back over a restart.
    pub lives: u64,
    pub began: Instant,
    pub consensus: ConsensusNode,
    pub disk: AgreementDisk,
    pub state: CellState,
    pub callers: HashMap<String, Caller>,
    /// Addresses that sent agreement messages, by member.
    pub addrs: HashMap<u64, String>,
    pub token: u64,
    pub proposals: HashMap<u64, oneshot::Sender<CellReply>>,
    pub placed: HashMap<u64, (u64, oneshot::Sender<CellReply>)>,
    pub unconfirmed: HashMap<u64, Reader>,
    pub unapplied: Vec<(u64, Reader)>,
    pub feed: FeedBook,
    pub tables: BTreeMap<String, ZoneTable>,
    pub store_reports: HashMap<u64, (StoreStatus, Instant)>,
    pub joiners: HashMap<u64, (Member, Instant)>,
    pub leaving: HashMap<u64, Instant>,
    pub held: watch::Sender<Held>,
    pub lead_since: Option<Instant>,
    /// Who led before this cell did.
    pub old_leader: Option<u64>,
    pub last_leader: Option<u64>,
    pub next_duty: Instant,
    pub next_table: Instant,
    pub next_join: Instant,
    pub ending: Option<(Instant, oneshot::Sender<()>)>,
    pub trial: TrialDesk,
}

fn id_of_founder(addr: &str) -> u64 {
    fnv64(addr.as_bytes()) | 1 << 63
}

impl Actor {
    pub fn open(shared: SharedSettings, queue: mpsc::Sender<CellCommand>) -> NodeResult<Self> {
        let settings = shared.now();
        let Some(dir) = settings.data_dir.clone() else {
            return Err(NodeError::BadSettings {
                file: "settings".into(),
                field: "dataDirectory".into(),
                reason: "is missing; a cell needs a disk".into(),
            });
        };
        let own = settings.own_addr(CELL_PORT);
        let (mut disk, hard, mut log) = AgreementDisk::open(&dir.join("agreement"))?;
        // The identity lasts as long as the disk: a cell that finds none is a new member.
        let founders: Vec<String> = settings
            .seeds
            .iter()
            .map(|s| settings.inner_addr(&s.ip().to_string(), CELL_PORT))
            .collect();
        let (id, lives) =
            match load_snapshot(&dir, "identity")?.and_then(|b| decode::<(u64, u64)>(&b)) {
                Some((id, lives)) => (id, lives + 1),
                None => {
                    let founds = settings.first_start && founders.contains(&own);
                    let id = if founds { id_of_founder(&own) } else { fastrand::u64(1..1 << 62) };
                    if founds {
                        log.snap.members = founders
                            .iter()
                            .map(|a| Member {
                                id: id_of_founder(a),
                                name: String::new(),
                                addr: a.clone(),
                                zone: String::new(),
                            })
                            .collect();
                        log.snap.members.dedup();
                        disk.save_snapshot(hard, &log)?;
                    }
                    (id, 1)
                }
            };
        save_snapshot(&dir, "identity", &encode(&(id, lives)))?;
        let me =
            Member { id, name: settings.node_name.clone(), addr: own, zone: settings.zone.clone() };
        let state = match log.snap.data.is_empty() {
            true => CellState::default(),
            // Another version's state is not dropped for an empty one.
            false => decode(&log.snap.data).ok_or_else(|| NodeError::Damaged {
                file: dir.join("agreement/snapshot").display().to_string(),
                offset: 0,
                reason: "the agreed state can't be read: damaged, or of another version".into(),
            })?,
        };
        let seed = fastrand::u64(..);
        let (held, watch_held) = watch::channel(Held::new());
        tokio::spawn(read_lists(shared.clone(), watch_held, queue.clone()));
        let now = Instant::now();
        Ok(Actor {
            consensus: ConsensusNode::new(id, hard, log, Tuning::default(), seed),
            settings: shared,
            queue,
            me,
            lives,
            began: now,
            disk,
            state,
            callers: HashMap::new(),
            addrs: HashMap::new(),
            token: 0,
            proposals: HashMap::new(),
            placed: HashMap::new(),
            unconfirmed: HashMap::new(),
            unapplied: Vec::new(),
            feed: FeedBook::default(),
            tables: BTreeMap::new(),
            store_reports: HashMap::new(),
            joiners: HashMap::new(),
            leaving: HashMap::new(),
            held,
            lead_since: None,
            old_leader: None,
            last_leader: None,
            next_duty: now,
            next_table: now,
            next_join: now + Duration::from_millis(700),
            ending: None,
            trial: TrialDesk::default(),
        })
    }

    pub async fn run(mut self, mut rx: mpsc::Receiver<CellCommand>) {
        let mut ok = self.publish_state();
        while ok {
            let tick = self.began + self.consensus.next_tick();
            let wake = tick.min(self.next_duty).max(Instant::now());
            tokio::select! {
                cmd = rx.recv() => match cmd {
                    Some(c) => {
                        ok = self.command(c);
                        // What came together is written together.
                        for _ in 0..64 {
                            match rx.try_recv() {
                                Ok(c) if ok => ok = self.command(c),
                                _ => break,
                            }
                        }
                    }
                    None => return,
                },
                _ = tokio::time::sleep_until(wake.into()) => {}
            }
            let now = Instant::now();
            if ok && now >= self.began + self.consensus.next_tick() {
                ok = self.agree_on(Event::Tick);
            }
            if ok && now >= self.next_duty {
                self.next_duty = now + Duration::from_millis(200);
                ok = self.duties(now);
            }
            if let Some((at, _)) = &self.ending {
                if now >= *at || !self.consensus.leads() {
                    if let Some((_, tx)) = self.ending.take() {
                        let _ = tx.send(());
                    }
                }
            }
        }
        // The disk can't be written: nothing may be acknowledged any more.
        std::process::exit(3);
    }

    pub fn command(&mut self, cmd: CellCommand) -> bool {
        match cmd {
            CellCommand::Tell(CellCall::Agree { from, addr, msg }) => {
                self.addrs.insert(from, addr);
                return self.agree_on(Event::Received { from, msg });
            }
            CellCommand::Tell(CellCall::Table { table }) => self.take_table(table),
            CellCommand::Tell(CellCall::Announce { status }) => self.announced(status),
            CellCommand::Tell(CellCall::Outcomes { reports }) => {
                self.keep_outcomes(reports);
            }
            CellCommand::Outcomes(reports) => self.took_outcomes(reports),
            CellCommand::Tell(_) => {}
            CellCommand::Call(call, reply) => return self.called(call, reply),
            CellCommand::Listed { zone, epoch, engines } => self.listed(zone, epoch, engines),
            CellCommand::Follow { feed, no, wants, reply } => {
                return self.confirm_for(Reader::Follow { feed, no, wants, reply });
            }
            CellCommand::ReadConfig(reply) => return self.confirm_for(Reader::Config(reply)),
            CellCommand::ForwardConfirmed { token, index } => {
                if let Some(r) = self.unconfirmed.remove(&token) {
                    self.confirmed(r, index);
                }
            }
            CellCommand::Leave(reply) => {
                if self.consensus.leads() {
                    let keep = Duration::from_millis(1200);
                    self.leaving.insert(self.me.id, Instant::now());
                    self.ending = Some((Instant::now() + keep, reply));
                    let ok = self.duties(Instant::now());
                    return ok && self.agree_on(Event::HandOver);
                }
                if let Some(l) = self.leader_addr() {
                    self.caller(&l).tell(&CellCall::Leave { id: self.me.id });
                }
                self.ending = Some((Instant::now() + Duration::from_millis(300), reply));
            }
        }
        true
    }

    fn called(&mut self, call: CellCall, reply: oneshot::Sender<CellReply>) -> bool {
        match call {
            CellCall::Propose { change } => {
                if self.consensus.leads() {
                    let body = Body::Command(ByteBuf::from(encode(&change).to_vec()));
                    return self.propose(body, Some(reply));
                }
                self.forward(CellCall::Propose { change }, reply);
            }
            CellCall::Confirm => {
                if self.consensus.leads() {
                    return self.confirm_for(Reader::Index(reply));
                }
                let _ = reply.send(CellReply::Unable);
            }
            CellCall::Join { member } => {
                if self.consensus.leads() {
                    if !self.consensus.log.members().contains(&member) {
                        self.joiners.insert(member.id, (member, Instant::now()));
                    }
                    let _ = reply.send(CellReply::Done);
                } else {
                    self.forward(CellCall::Join { member }, reply);
                }
            }
            CellCall::Leave { id } => {
                self.leaving.insert(id, Instant::now());
                let _ = reply.send(CellReply::Done);
            }
            CellCall::Announce { status } => {
                if self.consensus.leads() {
                    self.store_reports.insert(status.id, (status, Instant::now()));
                    let _ = reply.send(CellReply::Done);
                } else {
                    let _ = reply.send(CellReply::Unable);
                }
            }
            CellCall::Retire { store, ask_only } => {
                if self.consensus.leads() {
                    return self.retire(store, ask_only, reply);
                }
                self.forward(CellCall::Retire { store, ask_only }, reply);
            }
            CellCall::Tell => {
                let _ = reply.send(CellReply::Told(self.told()));
            }
            CellCall::Trial { ask } => {
                if self.consensus.leads() {
                    return self.asked_of_trial(ask, reply);
                }
                self.forward(CellCall::Trial { ask }, reply);
            }
            CellCall::Outcomes { reports } => {
                self.keep_outcomes(reports);
                let _ = reply.send(CellReply::Done);
            }
            CellCall::Agree { .. } | CellCall::Table { .. } => {
                let _ = reply.send(CellReply::Done);
            }
        }
        true
    }

    /// Hands a call to the leader.
    fn forward(&mut self, call: CellCall, reply: oneshot::Sender<CellReply>) {
        let Some(addr) = self.leader_addr() else {
            let _ = reply.send(CellReply::Unable);
            return;
        };
        let c = self.caller(&addr);
        tokio::spawn(async move {
            let within = Duration::from_millis(2000);
            let r = c.call::<_, CellReply>(&call, within).await;
            let _ = reply.send(r.unwrap_or(CellReply::Unable));
        });
    }

    pub fn leader_addr(&self) -> Option<String> {
        let id = self.consensus.leader?;
        if id == self.me.id {
            return None;
        }
        let known =
            self.consensus.log.members().iter().find(|m| m.id == id).map(|m| m.addr.clone());
        known.or_else(|| self.addrs.get(&id).cloned())
    }

    pub fn caller(&mut self, addr: &str) -> Caller {
        self.callers
            .entry(addr.to_string())
            .or_insert_with(|| Caller::new(addr.to_string()))
            .clone()
    }

    fn told(&self) -> CellTold {
        let name = |id: &u64| {
            let m = self.consensus.log.members().iter().find(|m| m.id == *id);
            m.map(|m| if m.name.is_empty() { m.addr.clone() } else { m.name.clone() })
        };
        CellTold {
            name: self.me.name.clone(),
            term: self.consensus.hard.term,
            leader: self.consensus.leader.as_ref().and_then(name),
            cells: self.consensus.log.members().iter().map(|m| m.addr.clone()).collect(),
            unix_ms: std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as u64),
            commit: self.consensus.commit,
            applied: self.consensus.applied,
            config_version: self.state.config_version(),
            members: self.consensus.log.members().iter().filter_map(|m| name(&m.id)).collect(),
            stores: self
                .state
                .stores
                .stores
                .iter()
                .map(|s| (s.name.clone(), format!("{:?}", s.state), s.addr.clone()))
                .collect(),
            zones: self
                .state
                .holders
                .iter()
                .map(|(a, id)| {
                    (a.clone(), name(id), self.tables.get(a).map_or(0, |t| t.engines.len()))
                })
                .collect(),
        }
    }
}
