//! The owner's loop.
use super::copying::sync_with_all;
use crate::prelude::*;
use node_base::settings::STORE_PORT;

/// What the owner of the tables is asked to do.
pub enum StoreCommand {
    /// A call of another process, and where its answer goes.
    Call(Box<StoreCall>, oneshot::Sender<StoreReply>),
    /// A store set, perhaps a newer one.
    Learn(StoreSet),
    /// Rows of another store; gives back which of their turns are not here.
    Merge(Vec<SyncRow>, oneshot::Sender<Vec<MissingTurn>>),
    /// Turns of another store, each with the program it is kept for.
    Keep(Vec<(String, TurnRecord)>, oneshot::Sender<()>),
    /// A store has transferred everything under the set of this version.
    Transferred {
        /// The version of the set that both worked under.
        version: u64,
        /// The store that transferred.
        from: u64,
        /// The versions at which that store was caught up.
        caught_up: Option<VersionSpan>,
    },
    /// The process was told to stop.
    End,
    /// The version in force, and which stores have not transferred everything yet.
    Missing(oneshot::Sender<(u64, Vec<StoreEntry>)>),
}

/// Answers that wait for what was merged to be synced.
enum Merged {
    Rows(oneshot::Sender<Vec<MissingTurn>>, Vec<MissingTurn>),
    Turns(oneshot::Sender<()>),
}

/// The way to the owner of the tables.
#[derive(Clone)]
pub struct StoreHandle {
    queue: mpsc::Sender<StoreCommand>,
    /// Once it was told to stop: nothing depends on this store any more, or it can't be spared.
    released: watch::Receiver<bool>,
}

impl StoreHandle {
    /// Has a call answered; none when the store is ending.
    pub async fn answer(&self, q: StoreCall) -> Option<StoreReply> {
        let (tx, rx) = oneshot::channel();
        self.queue.send(StoreCommand::Call(Box::new(q), tx)).await.ok()?;
        rx.await.ok()
    }

    /// Hands over a store set.
    pub async fn learn(&self, set: StoreSet) {
        let _ = self.queue.send(StoreCommand::Learn(set)).await;
    }

    /// Announces that this store is to stop, and waits until it may.
    pub async fn end(&self) {
        let mut released = self.released.clone();
        if self.send(StoreCommand::End).await {
            let _ = released.wait_for(|r| *r).await;
        }
    }

    pub(super) async fn send(&self, c: StoreCommand) -> bool {
        self.queue.send(c).await.is_ok()
    }

    /// The version in force, and which stores have not transferred everything yet.
    pub(super) async fn missing(&self) -> Option<(u64, Vec<StoreEntry>)> {
        let (tx, rx) = oneshot::channel();
        self.send(StoreCommand::Missing(tx)).await;
        rx.await.ok()
    }

    /// Takes rows of another store; gives back which of their turns are not here.
    pub(super) async fn merge(&self, rows: Vec<SyncRow>) -> Option<Vec<MissingTurn>> {
        let (tx, rx) = oneshot::channel();
        self.send(StoreCommand::Merge(rows, tx)).await;
        rx.await.ok()
    }

    /// Keeps turns of another store, each for a program; they are synced when this ends.
    pub(super) async fn keep(&self, turns: Vec<(String, TurnRecord)>) -> Option<()> {
        let (tx, rx) = oneshot::channel();
        self.send(StoreCommand::Keep(turns, tx)).await;
        rx.await.ok()
    }
}

/// Invariant: at all versions of `caught_up` this disk had the complete history of the store's programs.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq)]
struct Identity {
    id: u64,
    caught_up: Option<VersionSpan>,
}

/// The first set that is ever agreed on: before it nothing was kept.
const FIRST_VERSION: u64 = 1;

/// Invariants: what is answered is synced; a segment is removed only once its records are past the time
/// that they were written for, and what is owed for longer was written again and synced.
struct Actor {
    dir: PathBuf,
    name: String,
    ident: Identity,
    began: Instant,
    tables: StoreTables,
    log: SegmentLog,
    segments: SegmentUses,
    /// Bumped when there may be something to ask the others for.
    due: watch::Sender<u64>,
    status: watch::Sender<Option<StoreStatus>>,
    ending: bool,
    released: watch::Sender<bool>,
    segment_bytes: u64,
    /// The placement under which it was last said that more was lost than may be.
    beyond_proof: u64,
}

pub type StatusWatch = watch::Receiver<Option<StoreStatus>>;

/// Reads what is on the disk and starts the owner. Gives back the store's status as it changes.
pub fn start(shared: &SharedSettings) -> NodeResult<(StoreHandle, StatusWatch)> {
    let settings = shared.now();
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
            let founding = VersionSpan { from: FIRST_VERSION, to: FIRST_VERSION };
            let caught_up = settings.first_start.then_some(founding);
            let i = Identity { id: fastrand::u64(1..), caught_up };
            save_snapshot(&dir, "identity", &encode(&i))?;
            i
        }
    };
    let mut tables = StoreTables::new(History::new(ident.id, ident.caught_up), settings.dispatcher);
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
        fresh: ident.caught_up.is_none(),
        version: 0,
        caught_up: ident.caught_up,
        ending: false,
        loss_counted: settings.loss_counted,
    };
    let (stx, srx) = watch::channel(Some(status));
    let (tx, rx) = mpsc::channel(4096);
    let (released, released_rx) = watch::channel(false);
    let handle = StoreHandle { queue: tx, released: released_rx };
    let segments = SegmentUses::found(log.first_no()..=log.segment_no());
    let disk = settings.limits.disk_mb.max(64) << 20;
    let (due, due_rx) = watch::channel(0);
    tokio::spawn(sync_with_all(handle.clone(), ident.id, due_rx, shared.clone()));
    let owner = Actor {
        dir,
        name: settings.node_name.clone(),
        ident,
        began: Instant::now(),
        tables,
        log,
        segments,
        due,
        status: stx,
        ending: false,
        released,
        segment_bytes: disk / 32,
        beyond_proof: 0,
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
                if let Err(e) = self.sweep() {
                    spdlog::error!("{}", e);
                    std::process::exit(3);
                }
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
                if let StoreReply::Status { name, disk_bytes, .. } = &mut r {
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
                    self.tables.take_logged(Logged::turn_of(program, record), now, log);
                }
                merged.push(Merged::Turns(tx));
            }
            StoreCommand::Transferred { version, from, caught_up } => {
                if self.tables.transferred(version, from, caught_up) {
                    info!("caught up under store set {}", self.tables.history.set.version);
                    self.identify();
                }
                self.note_lost_history();
            }
            StoreCommand::End => {
                info!("told to stop");
                self.ending = true;
                self.report(|s| s.ending = true);
                self.release();
            }
            StoreCommand::Missing(tx) => {
                let h = &self.tables.history;
                let _ = tx.send((h.set.version, h.missing()));
            }
        }
    }

    /// Says once for each placement that more was lost than may be.
    fn note_lost_history(&mut self) {
        let h = &self.tables.history;
        let placement = h.set.placement().map_or(0, |p| p.version);
        if h.is_beyond_proof() && self.beyond_proof < placement {
            self.beyond_proof = placement;
            spdlog::error!(
                "history beyond proof under store set {}: more stores were lost than may be; \
                 programs whose history nobody can prove are refused",
                h.set.version
            );
        }
    }

    fn report(&mut self, f: impl FnOnce(&mut StoreStatus)) {
        self.status.send_if_modified(|s| {
            let Some(s) = s else { return false };
            let old = s.clone();
            f(s);
            *s != old
        });
    }

    fn learn(&mut self, set: StoreSet) {
        let version = set.version;
        let learnt = self.tables.history.learn(set);
        if learnt == Learnt::Old {
            return;
        }
        info!("store set {}: {:?}", version, learnt);
        self.identify();
        self.release();
        self.due.send_modify(|n| *n += 1);
    }

    fn release(&mut self) {
        if self.ending && self.tables.history.may_stop() {
            self.released.send_replace(true);
        }
    }

    /// What this store may vouch for is on disk before it is reported.
    fn identify(&mut self) {
        let h = &self.tables.history;
        let (version, caught_up) = (h.set.version, h.caught_up);
        if self.ident.caught_up != caught_up {
            self.ident.caught_up = caught_up;
            if let Err(e) = save_snapshot(&self.dir, "identity", &encode(&self.ident)) {
                spdlog::error!("{}", e);
                std::process::exit(3);
            }
        }
        self.report(|s| {
            s.version = version;
            s.fresh = caught_up.is_none();
            s.caught_up = caught_up;
        });
    }

    fn write(&mut self, log: Vec<Logged>) -> NodeResult<()> {
        if log.is_empty() {
            return Ok(());
        }
        let now = self.began.elapsed();
        let kept = log.iter().filter_map(Logged::turn).map(StoreTables::keep_for).max();
        log.iter().for_each(|l| self.log.append(&encode(l)));
        self.log.sync()?;
        // A faulty file may have sent them to a new segment.
        self.segments.written(self.log.segment_no(), now, now + kept.unwrap_or_default() * 2);
        if self.log.segment_len() > self.segment_bytes {
            self.log.rotate()?;
        }
        Ok(())
    }

    fn sweep(&mut self) -> NodeResult<()> {
        let now = self.began.elapsed();
        self.tables.expire(now);
        let Some(removal) = self.segments.removable(now, self.log.segment_no()) else {
            return Ok(());
        };
        let owed = self.tables.written_until(removal.written_until, now);
        self.write(owed)?;
        if let Err(e) = self.log.drop_below(removal.below) {
            spdlog::error!("{}", e);
        }
        self.segments.removed(removal);
        Ok(())
    }
}
