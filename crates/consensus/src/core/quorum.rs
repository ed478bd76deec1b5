//! What a majority reaches, of one set of voters or of both while a change is under way.
use crate::prelude::*;

/// The greatest value that a majority of every voter set has reached; none without voters.
pub fn reached<T: Ord>(membership: &Membership, value: impl Fn(u64) -> T) -> Option<T> {
    let new = reached_by(&membership.voters, &value);
    match membership.is_joint() {
        true => new.min(reached_by(&membership.outgoing, &value)),
        false => new,
    }
}

/// Whether a majority of every voter set is among `ids`.
pub fn is_quorum(membership: &Membership, ids: &BTreeSet<u64>) -> bool {
    reached(membership, |id| ids.contains(&id)).unwrap_or(false)
}

fn reached_by<T: Ord>(voters: &[Member], value: impl Fn(u64) -> T) -> Option<T> {
    let mut values: Vec<T> = voters.iter().map(|m| value(m.id)).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.into_iter().nth(voters.len() / 2)
}
