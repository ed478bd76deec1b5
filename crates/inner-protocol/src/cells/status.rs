//! What `doctor` is answered.
use crate::prelude::*;

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
    /// Name, state and address.
    pub stores: Vec<(String, String, String)>,
    /// Addresses of the members.
    pub cells: Vec<String>,
    /// Its time of day.
    pub unix_ms: u64,
    /// Zone, holder by name, and engines known in it.
    pub zones: Vec<(String, Option<String>, usize)>,
}
