//! Who follows, what, and how patiently.
use crate::prelude::*;
use node_runtime::settings::FEED_PORT;

/// A follower: who it is, and where it first looks for cells.
pub struct FollowSettings {
    /// The node's name, which ranks the cells for it.
    pub name: String,
    /// Where it looks before, or when, no cell that it learnt of answers.
    pub seeds: Seeds,
    /// The port on which every cell serves its feed.
    pub feed_port: u16,
    /// The follower's own zone.
    pub zone: String,
    /// What of the feed it wants.
    pub topics: Topics,
    /// Silence after which the link moves.
    pub silence: Duration,
    /// How long a connection may take.
    pub connect: Duration,
    /// How often this follower's status is sent again when it hasn't changed.
    pub repeat: Duration,
}

impl FollowSettings {
    /// Follows the cells that the settings name, and those they tell of.
    pub fn of_cells(shared: &SharedSettings, topics: Topics) -> Self {
        let settings = shared.now();
        let bounds = FeedBounds::from_settings(&settings.bounds, topics);
        FollowSettings {
            name: settings.node_name.clone(),
            seeds: Seeds::FromSettings(shared.clone()),
            feed_port: settings.internal_ports.0 + FEED_PORT,
            zone: settings.zone.clone(),
            topics,
            silence: bounds.silence,
            connect: bounds.connect,
            repeat: bounds.repeat,
        }
    }
}
