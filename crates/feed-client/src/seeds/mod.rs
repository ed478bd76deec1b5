//! Where a follower looks before, or when, the cells that it learnt of don't answer.
use crate::prelude::*;
use node_runtime::settings::CELL_PORT;

/// The first addresses of a follower.
#[derive(Debug, Clone)]
pub enum Seeds {
    /// The one address there is: cells listed by the feed aren't followed.
    Fixed(String),
    /// The seeds of the settings in force, and the cells that the feed tells of.
    FromSettings(SharedSettings),
}

impl Seeds {
    /// The seeds as of now, as cells' addresses.
    pub fn now(&self) -> Vec<String> {
        match self {
            Seeds::Fixed(addr) => vec![addr.clone()],
            Seeds::FromSettings(shared) => {
                let settings = shared.now();
                let cell = |s: &SocketAddr| settings.inner_addr(&s.ip().to_string(), CELL_PORT);
                settings.seeds.iter().map(cell).collect()
            }
        }
    }

    /// Whether there is nothing but the one address.
    pub fn is_fixed(&self) -> bool {
        matches!(self, Seeds::Fixed(_))
    }

    /// Waits for other settings than this handle saw last; for ever where they can't change.
    pub async fn changed(&mut self) {
        match self {
            Seeds::Fixed(_) => std::future::pending().await,
            Seeds::FromSettings(shared) => shared.changed().await,
        }
    }
}
