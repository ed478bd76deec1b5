//! Who may speak for a program: proofs that a store has the complete history, from the set's placements
//! and from what other stores have transferred. All of it is derived from what the stores agreed on.
//!
//! What was written before a placement lies with a majority of its group, of which each had the complete
//! history; what was written under each placement since lies with a majority of that one's group.
use super::placement::Placement;
use super::set::StoreSet;
use super::span::VersionSpan;
use crate::prelude::*;

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
            let spare = self.placements[at].spare(size);
            let span_of = |id: u64| if id == me { span } else { transfers.get(&id).copied()? };
            let had = |id: u64| span_of(id).is_some_and(|s| self.had_history(id, s, key, at));
            if group.iter().filter(|id| !had(**id)).count() <= spare {
                return true;
            }
            let received = |id: u64| id == me || transfers.contains_key(&id);
            let enough = group.iter().filter(|id| !received(**id)).count() <= spare;
            if at != now && !enough {
                return false;
            }
        }
        false
    }

    /// Whether store `me` has the complete history of every program that the placement in force gives it,
    /// known here or not: the same proof as for one program, for every group that there may be.
    ///
    /// Going back, in some placement so many stores had the complete history and have transferred that
    /// they meet every majority of every group; in each since, so many have transferred.
    pub fn has_all_history(
        &self,
        me: u64,
        span: Option<VersionSpan>,
        transfers: &Transfers,
    ) -> bool {
        let size = self.group_size();
        let transferred = |id: u64| id == me || transfers.contains_key(&id);
        let span_of = |id: u64| if id == me { span } else { transfers.get(&id).copied()? };
        for (at, placement) in self.placements.iter().enumerate().rev() {
            let ids = || placement.stores.iter().map(|s| s.id);
            let had = |id: u64| span_of(id).is_some_and(|s| self.had_all_history(id, s, at));
            if ids().filter(|id| !had(*id)).count() <= placement.spare(size) {
                return true;
            }
            if ids().filter(|id| !transferred(*id)).count() > placement.spare(size) {
                return false;
            }
        }
        false
    }

    /// Whether a store that was caught up in a span had the complete history of all programs that
    /// placement `at` gave it, as of then.
    fn had_all_history(&self, id: u64, span: VersionSpan, at: usize) -> bool {
        let Some(last) = self.in_force(span.to) else { return false };
        let first = self.in_force(span.from).unwrap_or(0);
        first <= at && (at <= last || self.keeps_no_more(id, last, at))
    }

    /// Whether a store kept all that placement `to` gives it under each one since `from`.
    fn keeps_no_more(&self, id: u64, from: usize, to: usize) -> bool {
        let now = &self.placements[to];
        let size = self.group_size();
        now.has(id) && self.placements[from..to].iter().all(|p| !now.may_add_programs(p, id, size))
    }

    /// Whether a store may lack programs that were assigned to it since it was caught up, under the placement
    /// in force or any before it.
    ///
    /// A store that lacked some under a placement in between wasn't caught up at that version, even if they
    /// are others' again: a span across it would vouch for what the store never had, and others would rest
    /// their proofs on that.
    pub fn may_lack_programs(&self, me: u64, span: Option<VersionSpan>) -> bool {
        let last = span.and_then(|s| self.in_force(s.to));
        let stayed_caught_up =
            |last: usize| (last..self.placements.len()).all(|at| self.keeps_no_more(me, last, at));
        !last.is_some_and(stayed_caught_up)
    }

    /// Whether so many stores of some placement are gone from the set that the others can't prove the
    /// history of all programs that it assigned.
    pub fn lacks_proof(&self) -> bool {
        let size = self.group_size();
        let gone = |p: &Placement| p.stores.iter().filter(|s| self.find(s.id).is_none()).count();
        self.placements.iter().any(|p| gone(p) > p.spare(size))
    }

    /// Whether history may still depend on a store's disk, in the set or not: a placement that had it isn't
    /// forgotten yet, since no later one is proved to be complete.
    pub fn may_depend_on(&self, id: u64) -> bool {
        self.placements.iter().any(|p| p.has(id))
    }

    /// Whether a store that left the set, whatever for, is to come back: the others can't prove what it had.
    pub fn needs_back(&self, id: u64) -> bool {
        self.find(id).is_none() && self.may_depend_on(id) && self.lacks_proof()
    }

    /// Whether some placement that history may depend on assigned a program to a store.
    pub fn ever_assigned(&self, id: u64, key: u64) -> bool {
        (0..self.placements.len())
            .any(|at| self.placements[at].has(id) && self.in_group(at, id, key))
    }

    /// The span in which a store is caught up once its history is proved. What was transferred to it
    /// covers all programs that it was assigned under any placement remembered.
    pub fn caught_up_span(&self, span: Option<VersionSpan>) -> VersionSpan {
        let first = self.placements.first().map_or(self.version, |p| p.version);
        VersionSpan { from: span.map_or(first, |s| s.from.min(first)), to: self.version }
    }
}
