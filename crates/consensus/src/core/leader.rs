//! What only a leader keeps: rounds of contact, its followers' progress, and waiting readers.
use super::progress::{FollowerStatus, Progress};
use super::quorum::reached;
use super::types::Tuning;
use crate::prelude::*;

/// The fields of a leader's heartbeat.
pub(super) struct LeaderHeartbeat {
    pub term: u64,
    pub commit: u64,
    pub committed: u64,
    pub round: u64,
}

/// Rounds older than this count as unanswered.
const RETAINED_ROUNDS: usize = 256;

/// When a round of contact was sent.
#[derive(Debug, Clone, Copy)]
pub struct SentRound {
    /// Its number.
    pub round: u64,
    /// When it was sent.
    pub at: Duration,
}

/// A read that waits for a majority's answer.
#[derive(Debug, Clone, Copy)]
pub struct WaitingReader {
    /// The driver's.
    pub token: u64,
    /// The round that must be answered; it began after the reader came.
    pub round: u64,
    /// What must be applied before it is served.
    pub index: u64,
}

/// Invariants: contact is counted from when the answered round was sent, never from its answer; a reader
/// is confirmed only by answers to a round that began after it came, and only once an entry of this
/// term is committed (`first` is the term's first entry).
#[derive(Debug, Clone)]
pub struct LeaderState {
    /// By member.
    pub progress: BTreeMap<u64, Progress>,
    /// The newest round.
    pub round: u64,
    /// The newest rounds, oldest first.
    pub rounds: VecDeque<SentRound>,
    /// The term's first entry.
    pub first: u64,
    /// When the next round is due.
    pub next_heartbeat: Duration,
    /// When this cell began to lead: it had a majority's votes then.
    pub began: Duration,
    /// Reads that wait.
    pub readers: Vec<WaitingReader>,
    /// Since when a named successor may lead.
    pub successor_named: Option<Duration>,
}

impl LeaderState {
    /// A leader of a new term, whose first entry will stand at `first`.
    pub fn new(first: u64, now: Duration) -> Self {
        LeaderState {
            progress: BTreeMap::new(),
            round: 0,
            rounds: VecDeque::new(),
            first,
            next_heartbeat: now,
            began: now,
            readers: Vec::new(),
            successor_named: None,
        }
    }

    /// Begins a round of contact.
    pub fn begin_round(&mut self, now: Duration, beat: Duration) -> u64 {
        self.round += 1;
        self.next_heartbeat = now + beat;
        self.rounds.push_back(SentRound { round: self.round, at: now });
        if self.rounds.len() > RETAINED_ROUNDS {
            self.rounds.pop_front();
        }
        self.round
    }

    /// A follower answered a round. True when it had been away for longer than `bound` and may lack what
    /// was sent meanwhile.
    pub fn round_answered(&mut self, from: u64, round: u64, bound: Duration) -> bool {
        let sent = self.rounds.iter().find(|s| s.round == round).map(|s| s.at);
        let (Some(p), Some(at)) = (self.progress.get_mut(&from), sent) else {
            return false;
        };
        let was_away = p.contact.is_none_or(|before| at > before + bound);
        p.round = p.round.max(round);
        p.contact = p.contact.max(Some(at));
        was_away && p.begin_anew()
    }

    /// When the newest round was sent that a majority answered.
    pub fn majority_contact(&self, me: u64, membership: &Membership, now: Duration) -> Duration {
        let contact = |id: u64| match self.progress.get(&id) {
            _ if id == me => now,
            Some(p) => p.contact.unwrap_or(Duration::ZERO),
            None => Duration::ZERO,
        };
        reached(membership, contact).unwrap_or(Duration::ZERO).max(self.began)
    }

    /// The newest round that a majority answered.
    pub fn majority_round(&self, me: u64, membership: &Membership) -> u64 {
        let round = |id: u64| match self.progress.get(&id) {
            _ if id == me => self.round,
            Some(p) => p.round,
            None => 0,
        };
        reached(membership, round).unwrap_or(0)
    }

    /// What a majority holds of this leader's log, which ends at `last`.
    pub fn majority_matched(&self, me: u64, membership: &Membership, last: u64) -> u64 {
        let matched = |id: u64| match self.progress.get(&id) {
            _ if id == me => last,
            Some(p) => p.matched,
            None => 0,
        };
        reached(membership, matched).unwrap_or(0)
    }

    /// The readers that a majority's answer to `round` confirms.
    pub fn take_confirmed(&mut self, round: u64) -> Vec<WaitingReader> {
        let (ready, waiting) = self.readers.drain(..).partition(|r| r.round <= round);
        self.readers = waiting;
        ready
    }

    /// How far a follower is.
    pub fn status(&self, id: u64, last: u64, now: Duration, tuning: &Tuning) -> FollowerStatus {
        let Some(p) = self.progress.get(&id) else {
            return FollowerStatus { matched: 0, contact: None, caught_up: false };
        };
        let answers = p.contact.is_some_and(|at| now <= at + tuning.contact_bound());
        let near = p.matched > 0 && p.matched + tuning.caught_up_lag >= last;
        let caught_up = answers && near && p.transfer.is_none();
        FollowerStatus { matched: p.matched, contact: p.contact, caught_up }
    }
}
