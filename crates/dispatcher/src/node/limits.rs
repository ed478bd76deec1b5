use crate::prelude::*;

/// Four attempts and one minute are the design's starting values; 0 is unbounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Attempts of one line that may hold a slot.
    pub per_line: u32,
    /// Attempts of one program that may hold a slot.
    pub per_program: u32,
    pub lease: Duration,
    /// The way to an engine, and how far elapsed clocks part within a deadline.
    pub slack: Duration,
    /// Ask a majority again after it granted. Without, three or more claims at once may see each other
    /// in a ring, each missing one, and take more room than there is; with it, the last of them to be
    /// granted sees all others, at the price of one more trip.
    pub reread: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            per_line: 4,
            per_program: 0,
            lease: Duration::from_secs(60),
            slack: Duration::from_secs(2),
            reread: true,
        }
    }
}
