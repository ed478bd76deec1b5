//! The owner's loop.
use super::copying::{fill, push_all};
use crate::prelude::*;
use node_base::env::STORE_PORT;

pub enum StoreCommand {
    Call(StoreCall, oneshot::Sender<StoreReply>),
    Learn(StoreSet),
    /// Rows of another store's ledger.
    Merge(Vec<(String, Vec<LedgerEntry>)>, oneshot::Sender<()>),
    /// A filling came to its end under this serial.
    Filled(u64),
    /// Copies were taken by others under this serial: they are now listed so.
    Pushed {
        serial: u64,
        records: Vec<TurnRecord>,
        all: bool,
    },
}

#[derive(Clone)]
pub struct StoreHandle {
    queue: mpsc::Sender<StoreCommand>,
}

impl StoreHandle {
    pub async fn answer(&self, q: StoreCall) -> Option<StoreReply> {
        let (tx, rx) = oneshot::channel();
        self.queue.send(StoreCommand::Call(q, tx)).await.ok()?;
        rx.await.ok()
    }

    pub async fn learn(&self, set: StoreSet) {
        let _ = self.queue.send(StoreCommand::Learn(set)).await;
    }

    pub(super) async fn send(&self, c: StoreCommand) -> bool {
        self.queue.send(c).await.is_ok()
    }
}

#[derive(Serialize, Deserialize, Clone, Copy)]
struct Identity {
    id: u64,
    /// Its disk was empty at a start that wasn't the first, and no set has named it ready since.
    fresh: bool,
}

/// Invariants: what is answered is synced; `ends[i]` is when the last record of segment `i` may be
/// forgotten, and a segment is removed only after that.
struct Owner {
    dir: PathBuf,
    name: String,
    ident: Identity,
    began: Instant,
    tables: StoreTables,
    log: SegmentLog,
    ends: BTreeMap<u64, Duration>,
    standing: InitializedStateMachine<Standing>,
    status: watch::Sender<Option<StoreStatus>>,
    handle: StoreHandle,
    segment_bytes: u64,
}

/// How long a segment's records may matter at the least.
const SEGMENT_KEPT: Duration = Duration::from_secs(240);

pub type StatusWatch = watch::Receiver<Option<StoreStatus>>;

pub fn start(env: &NodeEnv) -> NodeResult<(StoreHandle, StatusWatch)> {
    let Some(dir) = env.data_dir.clone() else {
        return Err(NodeError::BadEnv {
            file: "settings".into(),
            field: "dataDirectory".into(),
            reason: "is missing; a store needs a disk".into(),
        });
    };
    std::fs::create_dir_all(&dir)
        .map_err(|e| NodeError::Io { what: dir.display().to_string(), source: e })?;
    let ident = match load_snapshot(&dir, "identity")?.and_then(|b| decode::<Identity>(&b)) {
        Some(i) => i,
        None => {
            let i = Identity { id: fastrand::u64(1..), fresh: !env.first_start };
            save_snapshot(&dir, "identity", &encode(&i))?;
            i
        }
    };
    let mut tables = StoreTables::new(ident.id);
    let mut bad = 0u64;
    let log = SegmentLog::open(&dir.join("log"), |_, b| match decode::<Logged>(b) {
        Some(l) => tables.take(l, Duration::ZERO),
        None => bad += 1,
    })?;
    if bad > 0 {
        return Err(NodeError::Damaged {
            file: dir.display().to_string(),
            offset: 0,
            reason: format!("{bad} records can't be read"),
        });
    }
    let status = StoreStatus {
        id: ident.id,
        name: env.node_name.clone(),
        addr: env.own_addr(STORE_PORT),
        area: env.area.clone(),
        fresh: ident.fresh,
        serial: 0,
        copied: 0,
        repaired: 0,
    };
    let mut standing = Standing.uninitialized_state_machine().init();
    if ident.fresh {
        standing.handle(&StandingEvent::Named(None));
    }
    let (stx, srx) = watch::channel(Some(status));
    let (tx, rx) = mpsc::channel(4096);
    let handle = StoreHandle { queue: tx };
    let ends = (log.first_no()..=log.segment_no()).map(|n| (n, SEGMENT_KEPT)).collect();
    let disk = env.limits.disk_mb.max(64) << 20;
    let owner = Owner {
        dir,
        name: env.node_name.clone(),
        ident,
        began: Instant::now(),
        tables,
        log,
        ends,
        standing,
        status: stx,
        handle: handle.clone(),
        segment_bytes: disk / 32,
    };
    tokio::spawn(owner.run(rx));
    Ok((handle, srx))
}

impl Owner {
    async fn run(mut self, mut rx: mpsc::Receiver<StoreCommand>) {
        let mut sweep = Instant::now() + Duration::from_secs(10);
        loop {
            let first = tokio::select! {
                c = rx.recv() => match c {
                    Some(c) => Some(c),
                    None => return,
                },
                _ = tokio::time::sleep_until(sweep.into()) => None,
            };
            let mut replies: Vec<(oneshot::Sender<StoreReply>, StoreReply)> = Vec::new();
            let mut merged: Vec<oneshot::Sender<()>> = Vec::new();
            let mut log = Vec::new();
            let mut next = first;
            while let Some(c) = next {
                self.command(c, &mut log, &mut replies, &mut merged);
                next = (replies.len() < 256).then(|| rx.try_recv().ok()).flatten();
            }
            if let Err(e) = self.write(log) {
                // Nothing may be acknowledged any more.
                spdlog::error!("{}", e);
                std::process::exit(3);
            }
            for (tx, r) in replies {
                let _ = tx.send(r);
            }
            for tx in merged {
                let _ = tx.send(());
            }
            if Instant::now() >= sweep {
                sweep = Instant::now() + Duration::from_secs(10);
                self.sweep();
            }
        }
    }

    fn command(
        &mut self,
        c: StoreCommand,
        log: &mut Vec<Logged>,
        replies: &mut Vec<(oneshot::Sender<StoreReply>, StoreReply)>,
        merged: &mut Vec<oneshot::Sender<()>>,
    ) {
        let now = self.began.elapsed();
        match c {
            StoreCommand::Call(q, tx) => {
                let sure = self.standing.state().sure();
                let mut r = self.tables.call(q, sure, now, log);
                if let StoreReply::Told { name, disk_bytes, fresh, .. } = &mut r {
                    name.clone_from(&self.name);
                    *disk_bytes = self.log.segment_len();
                    *fresh = self.ident.fresh;
                }
                replies.push((tx, r));
            }
            StoreCommand::Learn(set) => self.learn(set),
            StoreCommand::Merge(rows, tx) => {
                self.tables.merge(rows, now, log);
                merged.push(tx);
            }
            StoreCommand::Filled(serial) => self.tell(|s| s.copied = s.copied.max(serial)),
            StoreCommand::Pushed { serial, records, all } => {
                for r in records {
                    log.push(Logged::Turn(r.clone()));
                    self.tables.take(Logged::Turn(r), now);
                }
                if all {
                    self.tell(|s| s.repaired = s.repaired.max(serial));
                }
            }
        }
    }

    fn tell(&mut self, f: impl FnOnce(&mut StoreStatus)) {
        self.status.send_modify(|s| {
            if let Some(s) = s {
                f(s);
            }
        });
    }

    fn learn(&mut self, set: StoreSet) {
        if set.serial <= self.tables.set.serial {
            return;
        }
        let me = self.ident.id;
        let named = set.find(me).map(|e| e.state);
        let was = self.standing.state().clone();
        self.standing.handle(&StandingEvent::Named(named));
        let is = self.standing.state().clone();
        info!("store set {}: {:?}", set.serial, is);
        if named == Some(StoreState::Ready) && self.ident.fresh {
            self.ident.fresh = false;
            if let Err(e) = save_snapshot(&self.dir, "identity", &encode(&self.ident)) {
                spdlog::error!("{}", e);
                std::process::exit(3);
            }
        }
        let serial = set.serial;
        let fresh = self.ident.fresh;
        self.tables.set = set.clone();
        self.tell(|s| {
            s.serial = serial;
            s.fresh = fresh;
        });
        // A newcomer fills its ledger, and once more when it begins to count: what was written in
        // between went by it.
        let filling = matches!(is, StandingState::Filling {});
        let begins =
            matches!(is, StandingState::Counted {}) && matches!(was, StandingState::Filling {});
        if filling || begins {
            tokio::spawn(fill(set.clone(), me, self.handle.clone()));
        }
        let pushes = plan_pushes(&set, me, self.tables.records());
        tokio::spawn(push_all(set, pushes, self.handle.clone()));
    }

    fn write(&mut self, log: Vec<Logged>) -> NodeResult<()> {
        if log.is_empty() {
            return Ok(());
        }
        let now = self.began.elapsed();
        let end = self.ends.entry(self.log.segment_no()).or_insert(Duration::ZERO);
        *end = (*end).max(now + SEGMENT_KEPT);
        for l in &log {
            if let Logged::Turn(r) = l {
                *end = (*end).max(now + StoreTables::keep_for(r) * 2);
            }
            self.log.append(&encode(l));
        }
        self.log.sync()?;
        if self.log.segment_len() > self.segment_bytes {
            self.log.rotate()?;
        }
        Ok(())
    }

    fn sweep(&mut self) {
        let now = self.began.elapsed();
        self.tables.expire(now);
        let keep = self
            .ends
            .iter()
            .find(|(_, end)| **end > now)
            .map_or(self.log.segment_no(), |(no, _)| *no);
        if let Err(e) = self.log.drop_below(keep) {
            spdlog::error!("{}", e);
        }
        self.ends.retain(|no, _| *no >= keep);
    }
}
