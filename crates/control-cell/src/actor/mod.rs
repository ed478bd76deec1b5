//! The one owner of a cell's tables, which works through a queue of commands.
mod consensus;
mod feed;
mod handle;
mod lead;
mod trial;
mod work;

pub use feed::Wants;
pub use handle::{start, CellCommand, CellHandle};
