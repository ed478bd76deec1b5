//! The members of the core: who replicates the log, and whose answers count.
use crate::prelude::*;

/// A member of the core: an identity that lasts as long as its disk, and where it is reached.
/// Invariants: `id` is never used again once its disk is lost; of two lives of one machine the later
/// one has the higher `incarnation`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Drawn once for each disk.
    pub id: u64,
    /// The machine's name; empty for a founder that hasn't reported yet.
    pub name: String,
    /// Where its inner calls are answered.
    pub addr: String,
    /// The machine's zone; empty for a founder that hasn't reported yet.
    pub zone: String,
    /// The log index of the entry that took this life in; 0 for founders.
    #[serde(default)]
    pub incarnation: u64,
    /// Its machine is one of those that `toleratedLosses` speaks of. Others may go in any number.
    #[serde(default = "loss_counted_by_default", skip_serializing_if = "is_loss_counted")]
    pub loss_counted: bool,
}

/// Who replicates the log, and whose answers count.
/// Invariants: an id stands in `voters` or in `learners`, never in both; `outgoing` is empty but in a
/// joint state, in which a majority of `voters` and one of `outgoing` are both needed for votes, commits,
/// read confirmations and contact.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Their majority decides.
    pub voters: Vec<Member>,
    /// The voters before the change that is under way.
    pub outgoing: Vec<Member>,
    /// They receive the log and are never counted.
    pub learners: Vec<Member>,
}

impl Membership {
    /// A settled membership without learners.
    pub fn of_voters(voters: Vec<Member>) -> Self {
        Membership { voters, ..Membership::default() }
    }

    /// Whether a machine whose loss counts votes.
    pub fn has_counted_voter(&self) -> bool {
        self.voters.iter().any(|m| m.loss_counted)
    }

    /// Whether a change of voters is under way.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether the answers of `id` count, in the old or in the new set.
    pub fn is_voter(&self, id: u64) -> bool {
        self.voters.iter().chain(&self.outgoing).any(|m| m.id == id)
    }

    /// Everybody who receives the log, each once.
    pub fn all(&self) -> Vec<&Member> {
        let mut seen = BTreeSet::new();
        let everybody = self.voters.iter().chain(&self.learners).chain(&self.outgoing);
        everybody.filter(|m| seen.insert(m.id)).collect()
    }

    /// A member by its identity.
    pub fn get(&self, id: u64) -> Option<&Member> {
        self.voters.iter().chain(&self.learners).chain(&self.outgoing).find(|m| m.id == id)
    }
}
