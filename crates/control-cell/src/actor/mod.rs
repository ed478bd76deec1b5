//! The one owner of a cell's tables, which works through a queue of commands. `run` composes the parts;
//! no part knows the actor.
mod calls;
mod driver;
mod duties;
mod effects;
mod handle;
mod items;
mod leaving;
mod links;
mod membership;
mod publish;
mod reads;
mod run;
mod status;
mod stores;
mod trial;
mod zones;

pub use handle::{CellCommand, CellHandle, Waiting};
pub use run::DUTY_EVERY;
pub use zones::{ZoneChangeTaken, ZoneNews, ZoneTables};

use crate::prelude::*;
use run::Actor;

/// Commands that wait for the actor; callers wait beyond that.
const QUEUE: usize = 2048;

/// A cell whose actor has started.
pub struct RunningCell {
    /// The way to the actor.
    pub handle: CellHandle,
    /// The actor's task. It ends only when its disk, or what was agreed on, can't be relied on any more.
    pub actor: tokio::task::JoinHandle<NodeError>,
}

/// Opens the disk and starts the actor.
pub fn start(settings: impl Into<SharedSettings>) -> NodeResult<RunningCell> {
    let (queue, commands) = mpsc::channel(QUEUE);
    let actor = Actor::open(settings.into(), queue.clone())?;
    let actor = tokio::spawn(actor.run(commands));
    Ok(RunningCell { handle: CellHandle { queue }, actor })
}
