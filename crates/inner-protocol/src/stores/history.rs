//! Who may speak for a program: proofs that a store has the complete history, from the set's placements
//! and from what other stores have transferred. All of it is derived from what the stores agreed on.
//!
//! What was written before a placement lies with a majority of its group, of which each had the complete
//! history; what was written under each placement since lies with a majority of that one's group.
use super::set::StoreSet;
use crate::prelude::*;

/// Versions of the store set from one to another, both included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSpan {
    /// The first of them.
    pub from: u64,
    /// The last of them.
    pub to: u64,
}

/// Stores that have transferred all they hold, each with the span in which it was caught up.
pub type Transfers = BTreeMap<u64, Option<VersionSpan>>;

impl StoreSet {
    /// The place in `placements` of the one in force at a version; none for one that is forgotten.
    fn in_force(&self, version: u64) -> Option<usize> {
        self.placements.iter().rposition(|p| p.version <= version)
    }

    fn in_group(&self, at: usize, id: u64, key: u64) -> bool {
        self.placements[at].group(key, self.group_size()).contains(&id)
    }

    /// Whether a store that was caught up in a span had a program's complete history as of placement
    /// `at`: it was caught up then, or has been in the program's group ever since it was.
    fn had_history(&self, id: u64, span: VersionSpan, key: u64, at: usize) -> bool {
        let Some(last) = self.in_force(span.to) else { return false };
        // What began under a placement that is forgotten holds for all that are remembered.
        let first = self.in_force(span.from).unwrap_or(0);
        first <= at && (last.min(at)..=at).all(|i| self.in_group(i, id, key))
    }

    /// Whether store `me` has a program's complete history: by itself, or by what was transferred.
    ///
    /// `span` are the versions at which `me` was caught up; `transfers` come from stores that had learnt
    /// the placement in force before they sent all they hold of `me`'s programs.
    pub fn has_complete_history(
        &self,
        me: u64,
        span: Option<VersionSpan>,
        transfers: &Transfers,
        key: u64,
    ) -> bool {
        let Some(now) = self.placements.len().checked_sub(1) else { return false };
        if !self.in_group(now, me, key) {
            return false;
        }
        if span.is_some_and(|s| self.had_history(me, s, key, now)) {
            return true;
        }
        if transfers.is_empty() {
            return false;
        }
        let size = self.group_size();
        for at in (0..=now).rev() {
            let group = self.placements[at].group(key, size);
            let majority = self.placements[at].majority(size);
            let span_of = |id: u64| if id == me { span } else { transfers.get(&id).copied()? };
            let had = |id: u64| span_of(id).is_some_and(|s| self.had_history(id, s, key, at));
            if group.iter().filter(|id| had(**id)).count() >= majority {
                return true;
            }
            let received = |id: u64| id == me || transfers.contains_key(&id);
            let enough = group.iter().filter(|id| received(**id)).count() >= majority;
            if at != now && !enough {
                return false;
            }
        }
        false
    }

    /// Whether a store may lack programs that were assigned to it since it was caught up.
    pub fn may_lack_programs(&self, me: u64, span: Option<VersionSpan>) -> bool {
        let Some(last) = span.and_then(|s| self.in_force(s.to)) else { return true };
        let since = &self.placements[last..];
        !since[0].has(me)
            || since.windows(2).any(|w| !w[1].has(me) || w[1].may_add_programs(&w[0], me))
    }

    /// How many stores are gone without having transferred what they held, since `me` was caught up, or
    /// since the placement before the first that `me` was in. What went before a complete placement
    /// was transferred.
    pub fn lost_since(&self, me: u64, span: Option<VersionSpan>) -> usize {
        let first = self.placements.iter().position(|p| p.has(me)).unwrap_or(0).saturating_sub(1);
        let from = span.and_then(|s| self.in_force(s.to)).unwrap_or(first);
        let complete = self.placements.iter().rposition(|p| p.is_complete()).unwrap_or(0);
        let since = self.placements.iter().skip(from.max(complete));
        let gone: BTreeSet<u64> = since
            .flat_map(|p| &p.stores)
            .map(|s| s.id)
            .filter(|id| *id != me && self.find(*id).is_none())
            .collect();
        gone.len()
    }

    /// The span in which a store is caught up, once it was given all that the set's stores hold.
    pub fn caught_up_span(&self, span: Option<VersionSpan>) -> VersionSpan {
        let now = self.version;
        match span.and_then(|s| Some((s, self.in_force(s.to)?))) {
            Some((s, last)) if last + 2 >= self.placements.len() => {
                VersionSpan { from: s.from, to: now }
            }
            _ => VersionSpan { from: now, to: now },
        }
    }
}
