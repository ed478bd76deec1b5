//! The one owner of a cell's tables, which works through a queue of commands. `run` composes the parts;
//! no part knows the actor.
mod calls;
mod carry;
mod driver;
mod duties;
mod handle;
mod items;
mod links;
mod membership;
mod publish;
mod run;
mod status;
mod stores;
mod trial;
mod zones;

pub use handle::{CellCommand, CellHandle, Waiting};
pub use run::DUTY_EVERY;

use crate::prelude::*;
use run::Actor;

/// Opens the disk and starts the actor.
pub fn start(settings: impl Into<SharedSettings>) -> NodeResult<CellHandle> {
    let (tx, rx) = mpsc::channel(2048);
    let actor = Actor::open(settings.into(), tx.clone())?;
    tokio::spawn(actor.run(rx));
    Ok(CellHandle { queue: tx })
}
