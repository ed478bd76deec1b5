//! What `doctor` is answered.
use crate::prelude::*;
use crate::stores::StoreState;

/// A store of the set in force, as a cell knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreSummary {
    /// Its machine's name.
    pub name: String,
    /// Whether programs are assigned to it.
    pub state: StoreState,
    /// Where it answers.
    pub addr: String,
}

/// A zone, as a cell knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSummary {
    /// Its name.
    pub zone: String,
    /// The cell that holds it, by name.
    pub holder: Option<String>,
    /// Engines known in it.
    pub engines: usize,
}

/// What a cell reports of itself to `doctor`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CellStatus {
    /// Its machine's name.
    pub name: String,
    /// Its term.
    pub term: u64,
    /// Whom it follows, by name.
    pub leader: Option<String>,
    /// Agreed on, as far as it knows.
    pub commit: u64,
    /// Applied here.
    pub applied: u64,
    /// The configuration in force.
    pub config_version: u64,
    /// Voters and learners, by name.
    pub members: Vec<String>,
    /// Names of those members whose majority decides.
    #[serde(default)]
    pub voters: Vec<String>,
    /// These voters are agreed on, and no change of them is under way.
    #[serde(default)]
    pub voters_agreed: bool,
    /// The stores of the set.
    pub stores: Vec<StoreSummary>,
    /// Addresses of the members.
    pub cells: Vec<String>,
    /// Its time of day.
    pub unix_ms: u64,
    /// The zones that have been given a holder.
    pub zones: Vec<ZoneSummary>,
}
