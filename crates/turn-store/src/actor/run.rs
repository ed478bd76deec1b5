//! The owner's task: its queue of commands, its status, and its end.
use super::command::{MissingTransfers, StoreCommand, StoreHandle};
use super::owner::{StoreIdentity, StoreOwner};
use super::transfer::transfer_from_peers;
use crate::prelude::*;
use node_runtime::settings::STORE_PORT;

/// Commands that wait for the owner; callers wait beyond that.
const QUEUE: usize = 4096;
/// Calls and transfers that are written and synced together at the most.
const CALLS_AT_ONCE: usize = 256;
const TRANSFERS_AT_ONCE: usize = 16;
const SWEEP_EVERY: Duration = Duration::from_secs(10);
/// A disk holds so many segments of the log.
const SEGMENTS_OF_A_DISK: u64 = 32;
const SMALLEST_DISK_MB: u64 = 64;

/// The store's status as it changes.
pub type StatusWatch = watch::Receiver<Option<StoreStatus>>;

/// A store whose owner has started.
pub struct RunningStore {
    /// The way to the owner.
    pub handle: StoreHandle,
    /// Its status as it changes.
    pub status: StatusWatch,
    /// The owner's task. It ends only when its disk can't be relied on any more.
    pub owner: tokio::task::JoinHandle<NodeError>,
}

/// Reads what is on the disk and starts the owner.
pub fn start(shared: &SharedSettings) -> NodeResult<RunningStore> {
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
    let segment_bytes = (settings.limits.disk_mb.max(SMALLEST_DISK_MB) << 20) / SEGMENTS_OF_A_DISK;
    let owner = StoreOwner::open(
        RealDisk::handle(),
        &dir,
        StoreIdentity::new(fastrand::u64(1..), settings.first_start),
        Limits { lease: settings.dispatcher.lease, ..Limits::default() },
        segment_bytes,
    )?;
    let identity = owner.identity();
    let (status, watch_status) = watch::channel(Some(StoreStatus {
        id: identity.id,
        name: settings.node_name.clone(),
        addr: settings.own_addr(STORE_PORT),
        zone: settings.zone.clone(),
        fresh: identity.caught_up.is_none(),
        version: 0,
        caught_up: identity.caught_up,
        ending: false,
        loss_counted: settings.loss_counted,
    }));
    let (queue, commands) = mpsc::channel(QUEUE);
    let (released, watch_released) = watch::channel(false);
    let handle = StoreHandle::new(queue, watch_released);
    let (due, watch_due) = watch::channel(0);
    tokio::spawn(transfer_from_peers(handle.clone(), identity.id, watch_due, shared.clone()));
    let actor = Actor {
        name: settings.node_name.clone(),
        owner,
        began: Instant::now(),
        due,
        status,
        ending: false,
        released,
        beyond_proof: 0,
    };
    let owner = tokio::spawn(actor.run(commands));
    Ok(RunningStore { handle, status: watch_status, owner })
}

/// Answers that wait until what they follow from is committed.
enum PendingReply {
    Call(oneshot::Sender<StoreReply>, StoreReply),
    Merged(oneshot::Sender<Vec<MissingTurn>>, Vec<MissingTurn>),
    Stored(oneshot::Sender<()>),
}

impl PendingReply {
    /// The caller may have gone meanwhile.
    fn send(self) {
        match self {
            PendingReply::Call(to, reply) => drop(to.send(reply)),
            PendingReply::Merged(to, missing) => drop(to.send(missing)),
            PendingReply::Stored(to) => drop(to.send(())),
        }
    }
}

/// What was done since the last commit.
#[derive(Default)]
struct Batch {
    records: Vec<LogRecord>,
    replies: Vec<PendingReply>,
    calls: usize,
    transfers: usize,
}

impl Batch {
    fn has_room(&self) -> bool {
        self.calls < CALLS_AT_ONCE && self.transfers < TRANSFERS_AT_ONCE
    }
}

struct Actor {
    name: String,
    owner: StoreOwner,
    began: Instant,
    /// Grows when there may be something to ask the others for.
    due: watch::Sender<u64>,
    status: watch::Sender<Option<StoreStatus>>,
    ending: bool,
    released: watch::Sender<bool>,
    /// The placement under which it was last said that more was lost than may be.
    beyond_proof: u64,
}

impl Actor {
    /// Works until the disk fails.
    async fn run(mut self, mut commands: mpsc::Receiver<StoreCommand>) -> NodeError {
        let mut sweep_at = Instant::now() + SWEEP_EVERY;
        loop {
            let first = tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => Some(command),
                    // Every handle is gone with the process's other tasks.
                    None => return NodeError::Other { reason: "the store's queue is gone".into() },
                },
                () = tokio::time::sleep_until(sweep_at.into()) => None,
            };
            if let Err(e) = self.work(first, &mut commands, &mut sweep_at) {
                return NodeError::DiskFailed { cause: Box::new(e) };
            }
        }
    }

    /// One turn: what came together, and the sweep when it is due.
    fn work(
        &mut self,
        first: Option<StoreCommand>,
        commands: &mut mpsc::Receiver<StoreCommand>,
        sweep_at: &mut Instant,
    ) -> NodeResult<()> {
        let mut batch = Batch::default();
        let mut next = first;
        while let Some(command) = next {
            self.handle(command, &mut batch)?;
            next = batch.has_room().then(|| commands.try_recv().ok()).flatten();
        }
        self.owner.commit(&batch.records, self.began.elapsed())?;
        batch.replies.into_iter().for_each(PendingReply::send);
        if Instant::now() >= *sweep_at {
            *sweep_at = Instant::now() + SWEEP_EVERY;
            self.owner.sweep(self.began.elapsed())?;
        }
        Ok(())
    }

    fn handle(&mut self, command: StoreCommand, batch: &mut Batch) -> NodeResult<()> {
        let now = self.began.elapsed();
        match command {
            StoreCommand::Call(call, to) => {
                batch.calls += 1;
                let reply = self.reply(*call, now, &mut batch.records)?;
                batch.replies.push(PendingReply::Call(to, reply));
            }
            StoreCommand::Learn(set) => self.learn(set)?,
            StoreCommand::Merge(rows, to) => {
                batch.transfers += 1;
                let merge = |row| self.owner.tables.merge(row, now, &mut batch.records);
                let missing = rows.into_iter().flat_map(merge).collect();
                batch.replies.push(PendingReply::Merged(to, missing));
            }
            StoreCommand::StoreTurns(turns, to) => {
                batch.transfers += 1;
                for (program, turn) in turns {
                    let record = LogRecord::turn_of(program, turn);
                    self.owner.tables.record(record, now, &mut batch.records);
                }
                batch.replies.push(PendingReply::Stored(to));
            }
            StoreCommand::Transferred { version, from, caught_up } => {
                if self.owner.transferred(version, from, caught_up)? {
                    info!("caught up under store set {}", self.owner.tables.history.set.version);
                    self.report_history();
                }
                self.report_lost_history();
            }
            StoreCommand::End => {
                info!("told to stop");
                self.ending = true;
                self.report(|s| s.ending = true);
                self.release();
            }
            StoreCommand::Missing(to) => {
                let history = &self.owner.tables.history;
                let (version, stores) = (history.set.version, history.missing());
                let _ = to.send(MissingTransfers { version, stores });
            }
        }
        Ok(())
    }

    fn reply(
        &mut self,
        call: StoreCall,
        now: Duration,
        records: &mut Vec<LogRecord>,
    ) -> NodeResult<StoreReply> {
        if let StoreCall::Learn { set } = call {
            self.learn(set)?;
            return Ok(StoreReply::Done);
        }
        let mut reply = self.owner.tables.call(call, now, records);
        if let StoreReply::Status { name, disk_bytes, .. } = &mut reply {
            name.clone_from(&self.name);
            *disk_bytes = self.owner.segment_len();
        }
        Ok(reply)
    }

    fn learn(&mut self, set: StoreSet) -> NodeResult<()> {
        let version = set.version;
        let update = self.owner.learn(set)?;
        if update == SetUpdate::Outdated {
            return Ok(());
        }
        info!("store set {}: {:?}", version, update);
        self.report_history();
        self.release();
        self.due.send_modify(|n| *n += 1);
        Ok(())
    }

    /// Says once for each placement that more was lost than may be.
    fn report_lost_history(&mut self) {
        let history = &self.owner.tables.history;
        let placement = history.set.placement().map_or(0, |p| p.version);
        if history.is_beyond_proof() && self.beyond_proof < placement {
            self.beyond_proof = placement;
            spdlog::error!(
                "history beyond proof under store set {}: more stores were lost than may be; \
                 programs whose history nobody can prove are refused",
                history.set.version
            );
        }
    }

    fn report(&mut self, change: impl FnOnce(&mut StoreStatus)) {
        self.status.send_if_modified(|status| {
            let Some(status) = status else { return false };
            let before = status.clone();
            change(status);
            *status != before
        });
    }

    /// What this store vouches for, which is on its disk by now.
    fn report_history(&mut self) {
        let history = &self.owner.tables.history;
        let (version, caught_up) = (history.set.version, history.caught_up);
        self.report(|status| {
            status.version = version;
            status.fresh = caught_up.is_none();
            status.caught_up = caught_up;
        });
    }

    fn release(&mut self) {
        if self.ending && self.owner.tables.history.may_stop() {
            self.released.send_replace(true);
        }
    }
}
