//! A model of the control side: what operators ask and are answered, over cells in trouble.
mod cells;
pub mod spec;
mod world;

pub use world::World;
