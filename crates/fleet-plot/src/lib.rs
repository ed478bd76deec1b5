//! Draws how the load of each role grows with the number of machines, from the tables that the bench's
//! sweeps leave in the journal. It reads journal entries only; nothing here runs beside a fleet.
#![deny(missing_docs)]

pub mod chart;
pub mod sweep;

pub use chart::{draw_growth, ChartError};
pub use sweep::{read_sweep, Measure, Sweep, SweepError};
