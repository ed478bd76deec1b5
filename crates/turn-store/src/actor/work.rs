//! The owner's loop.
use super::copying::sync_with_all;
use crate::prelude::*;
use node_base::settings::STORE_PORT;

pub enum StoreCommand {
    Call(Box<StoreCall>, oneshot::Sender<StoreReply>),
    Learn(StoreSet),
    /// Rows of another store; gives back which turns, as (program, id), are not here.
    Merge(Vec<SyncRow>, oneshot::Sender<Vec<(String, String)>>),
    /// Turns of another store, each with the program it is kept for.
    Keep(Vec<(String, TurnRecord)>, oneshot::Sender<()>),
    /// A store has given everything under the set of this version.
    Given {
        version: u64,
        from: u64,
        whole: Option<(u64, u64)>,
    },
    /// The version in force, and which stores have not given everything yet.
    Missing(oneshot::Sender<(u64, Vec<StoreEntry>)>),
}

/// Answers that wait for what was merged to be synced.
enum Merged {
    Rows(oneshot::Sender<Vec<(String, String)>>, Vec<(String, String)>),
    Turns(oneshot::Sender<()>),
}

#[derive(Clone)]
pub struct StoreHandle {
    queue: mpsc::Sender<StoreCommand>,
}

impl StoreHandle {
    pub async fn answer(&self, q: StoreCall) -> Option<StoreReply> {
        let (tx, rx) = oneshot::channel();
        self.queue.send(StoreCommand::Call(Box::new(q), tx)).await.ok()?;
        rx.await.ok()
    }

    pub async fn learn(&self, set: StoreSet) {
        let _ = self.queue.send(StoreCommand::Learn(set)).await;
    }

    pub(super) async fn send(&self, c: StoreCommand) -> bool {
        self.queue.send(c).await.is_ok()
    }
}

/// Invariant: `whole` names versions at which all this store's programs were whole on this disk.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq)]
struct Identity {
    id: u64,
    whole: Option<(u64, u64)>,
}

/// The first set that is ever agreed on: before it nothing was kept.
const FIRST_VERSION: u64 = 1;

/// Invariants: what is answered is synced; `ends[i]` is when the last record of segment `i` may be
/// forgotten, and a segment is removed only after that.
struct Actor {
    dir: PathBuf,
    name: String,
    ident: Identity,
    began: Instant,
    tables: StoreTables,
    log: SegmentLog,
    ends: BTreeMap<u64, Duration>,
    /// Bumped when there may be something to ask the others for.
    due: watch::Sender<u64>,
    status: watch::Sender<Option<StoreStatus>>,
    segment_bytes: u64,
}

/// How long a segment's records may matter at the least.
const SEGMENT_KEPT: Duration = Duration::from_secs(240);

pub type StatusWatch = watch::Receiver<Option<StoreStatus>>;

pub fn start(settings: &NodeSettings) -> NodeResult<(StoreHandle, StatusWatch)> {
    let Some(dir) = settings.data_dir.clone() else {
        return Err(NodeError::BadSettings {
            file: "settings".into(),
            field: "dataDirectory".into(),
            reason: "is missing; a store needs a disk".into(),
        });
    };
    std::fs::create_dir_all(&dir)
        .map_err(|e| NodeError::Io { what: dir.display().to_string(), source: e })?;
    let ident = match load_value::<Identity>(&dir, "identity")? {
        Some(i) => i,
        None => {
            let whole = settings.first_start.then_some((FIRST_VERSION, FIRST_VERSION));
            let i = Identity { id: fastrand::u64(1..), whole };
            save_snapshot(&dir, "identity", &encode(&i))?;
            i
        }
    };
    let mut tables = StoreTables::new(Knowledge::new(ident.id, ident.whole), settings.dispatcher);
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
        name: settings.node_name.clone(),
        addr: settings.own_addr(STORE_PORT),
        zone: settings.zone.clone(),
        fresh: ident.whole.is_none(),
        version: 0,
        whole: ident.whole.map_or(0, |w| w.1),
    };
    let (stx, srx) = watch::channel(Some(status));
    let (tx, rx) = mpsc::channel(4096);
    let handle = StoreHandle { queue: tx };
    let ends = (log.first_no()..=log.segment_no()).map(|n| (n, SEGMENT_KEPT)).collect();
    let disk = settings.limits.disk_mb.max(64) << 20;
    let (due, due_rx) = watch::channel(0);
    tokio::spawn(sync_with_all(handle.clone(), ident.id, due_rx));
    let owner = Actor {
        dir,
        name: settings.node_name.clone(),
        ident,
        began: Instant::now(),
        tables,
        log,
        ends,
        due,
        status: stx,
        segment_bytes: disk / 32,
    };
    tokio::spawn(owner.run(rx));
    Ok((handle, srx))
}

impl Actor {
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
            let mut merged: Vec<Merged> = Vec::new();
            let mut log = Vec::new();
            let mut next = first;
            while let Some(c) = next {
                self.command(c, &mut log, &mut replies, &mut merged);
                next = (replies.len() < 256 && merged.len() < 16)
                    .then(|| rx.try_recv().ok())
                    .flatten();
            }
            if let Err(e) = self.write(log) {
                // Nothing may be acknowledged any more.
                spdlog::error!("{}", e);
                std::process::exit(3);
            }
            for (tx, r) in replies {
                let _ = tx.send(r);
            }
            for m in merged {
                match m {
                    Merged::Rows(tx, ids) => drop(tx.send(ids)),
                    Merged::Turns(tx) => drop(tx.send(())),
                }
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
        merged: &mut Vec<Merged>,
    ) {
        let now = self.began.elapsed();
        match c {
            StoreCommand::Call(q, tx) => {
                if let StoreCall::Learn { set } = *q {
                    self.learn(set);
                    replies.push((tx, StoreReply::Done));
                    return;
                }
                let mut r = self.tables.call(*q, now, log);
                if let StoreReply::Told { name, disk_bytes, .. } = &mut r {
                    name.clone_from(&self.name);
                    *disk_bytes = self.log.segment_len();
                }
                replies.push((tx, r));
            }
            StoreCommand::Learn(set) => self.learn(set),
            StoreCommand::Merge(rows, tx) => {
                let lacking = rows.into_iter().flat_map(|r| self.tables.merge(r, now, log));
                merged.push(Merged::Rows(tx, lacking.collect()));
            }
            StoreCommand::Keep(records, tx) => {
                for (program, record) in records {
                    let l = match record.program == program {
                        true => Logged::Turn(record),
                        false => Logged::Foreign { program, record },
                    };
                    log.push(l.clone());
                    self.tables.take(l, now);
                }
                merged.push(Merged::Turns(tx));
            }
            StoreCommand::Given { version, from, whole } => {
                if self.tables.given(version, from, whole) {
                    info!("whole under store set {}", self.tables.knowledge.set.version);
                    self.identify();
                }
            }
            StoreCommand::Missing(tx) => {
                let k = &self.tables.knowledge;
                let _ = tx.send((k.set.version, k.missing()));
            }
        }
    }

    fn tell(&mut self, f: impl FnOnce(&mut StoreStatus)) {
        self.status.send_if_modified(|s| {
            let Some(s) = s else { return false };
            let old = s.clone();
            f(s);
            *s != old
        });
    }

    fn learn(&mut self, set: StoreSet) {
        let version = set.version;
        let learnt = self.tables.knowledge.learn(set);
        if learnt == Learnt::Old {
            return;
        }
        info!("store set {}: {:?}", version, learnt);
        self.identify();
        self.due.send_modify(|n| *n += 1);
    }

    /// What this store may vouch for is on disk before it is told to anybody.
    fn identify(&mut self) {
        let k = &self.tables.knowledge;
        let (version, whole) = (k.set.version, k.whole);
        if self.ident.whole != whole {
            self.ident.whole = whole;
            if let Err(e) = save_snapshot(&self.dir, "identity", &encode(&self.ident)) {
                spdlog::error!("{}", e);
                std::process::exit(3);
            }
        }
        self.tell(|s| {
            s.version = version;
            s.fresh = whole.is_none();
            s.whole = whole.map_or(0, |w| w.1);
        });
    }

    fn write(&mut self, log: Vec<Logged>) -> NodeResult<()> {
        if log.is_empty() {
            return Ok(());
        }
        let now = self.began.elapsed();
        let end = self.ends.entry(self.log.segment_no()).or_insert(Duration::ZERO);
        *end = (*end).max(now + SEGMENT_KEPT);
        for l in &log {
            if let Logged::Turn(r) | Logged::Foreign { record: r, .. } = l {
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
