//! How often a cell is heard by those who follow its feed, and after what silence they leave it. Both ends
//! derive it from the same settings.
//!
//! A store reports to the leader through the cell that it follows: when that cell dies, the store must be
//! heard again before its silence counts as its own loss, which is a share of `catchUpS`. An agent must
//! follow a living cell again within `contactMs`, after which its machine counts as in touch.
use crate::feed::Topics;
use crate::prelude::*;
use node_runtime::settings::Bounds;

/// Waits of a feed's two ends.
///
/// Invariants: three heartbeats fit into `silence`; what `heard_again_within` adds up to is less than the
/// silence after which the leader gives a store's place away, and for agents less than `contactMs`.
/// `tests/feed_bounds.rs` holds them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedBounds {
    /// Between two heartbeats of the cell.
    pub heartbeat: Duration,
    /// Silence after which the follower leaves its cell.
    pub silence: Duration,
    /// How long a new connection may take.
    pub connect: Duration,
    /// Between two reports of a follower that says the same again.
    pub repeat: Duration,
}

/// The longest pause of a follower between two cells.
pub const RECONNECT_PAUSE: Duration = Duration::from_millis(160);

impl FeedBounds {
    /// The waits of followers of these topics.
    pub fn from_settings(bounds: &Bounds, topics: Topics) -> Self {
        match topics {
            Topics::Stores => FeedBounds {
                heartbeat: bounds.catch_up / 22,
                silence: bounds.catch_up * 7 / 50,
                connect: bounds.catch_up / 22,
                repeat: bounds.catch_up / 24,
            },
            Topics::All => FeedBounds {
                heartbeat: bounds.contact / 9,
                silence: bounds.contact / 3,
                connect: bounds.contact / 8,
                repeat: bounds.contact / 9,
            },
        }
    }

    /// The longest time from a follower's last report until the next one reaches another cell, when its own
    /// dies right after it and the next cell answers.
    pub fn heard_again_within(&self) -> Duration {
        self.repeat + self.silence + RECONNECT_PAUSE
    }
}
