//! The routing trial: its record, what nodes counted, and the leader's judgement.
use crate::prelude::*;

/// Looks kept for the plot; beyond, every second one goes.
const MOST_POINTS: usize = 128;
/// Reports in one message to the leader.
const REPORTS_AT_ONCE: usize = 64;
/// The leader is sent all that a cell keeps this often, and at once when it is new.
const REPORT_ALL: Duration = Duration::from_secs(10);

/// Invariants: `ledger` is of the trial that runs; the leader's holds what all cells passed on. All of it
/// lies in memory, at two cells: the one the node follows and the leader, or the leader and another. What
/// both lost of a node that is gone as well is missing from then on, and nothing counts twice.
#[derive(Default)]
pub(super) struct TrialReports {
    ledger: OutcomeLedger,
    points: Vec<Point>,
    stride: usize,
    looks: usize,
    /// Something was reported since the last look.
    unjudged: bool,
    /// The last report of all that this cell keeps; it is repeated, since messages get lost.
    reported: Option<Reported>,
}

struct Reported {
    leader: u64,
    next: Instant,
}

impl TrialReports {
    fn begin(&mut self, key: u64) {
        *self =
            TrialReports { ledger: OutcomeLedger::new(key), stride: 1, ..TrialReports::default() };
    }

    fn note(&mut self, p: Point) {
        self.looks += 1;
        if !self.looks.is_multiple_of(self.stride.max(1)) {
            return;
        }
        self.points.push(p);
        if self.points.len() > MOST_POINTS {
            let mut keep = false;
            self.points.retain(|_| {
                keep = !keep;
                keep
            });
            self.stride *= 2;
        }
    }

    /// Takes up the trial that runs now, or ends with the one that ran.
    pub fn follow(&mut self, state: &CellState) {
        match running_trial(state) {
            Some(key) if key == self.ledger.key() => {}
            Some(key) => self.begin(key),
            None => *self = TrialReports::default(),
        }
    }

    /// Keeps reports and gives back those that were new.
    pub fn keep(&mut self, state: &CellState, mut reports: Vec<NodeReport>) -> Vec<NodeReport> {
        if running_trial(state).is_none() {
            return Vec::new();
        }
        reports.retain(|r| self.ledger.take(r.clone()));
        self.unjudged |= !reports.is_empty();
        reports
    }

    /// All that this cell keeps, in messages, when a report to the leader is due: first of all to one that is
    /// new to it.
    pub fn due_to(&mut self, leader: u64, now: Instant) -> Vec<Vec<NodeReport>> {
        if self.reported.as_ref().is_some_and(|r| r.leader == leader && now < r.next) {
            return Vec::new();
        }
        self.reported = Some(Reported { leader, next: now + REPORT_ALL });
        let all: Vec<NodeReport> = self.ledger.reports().cloned().collect();
        all.chunks(REPORTS_AT_ONCE).map(<[NodeReport]>::to_vec).collect()
    }

    /// The leader's look at what has come in: the trial's end, when there is a verdict.
    pub fn judge(&mut self, state: &CellState) -> Option<Change> {
        // Whoever leads next is new to this cell.
        self.reported = None;
        if !self.unjudged {
            return None;
        }
        let trial = state.trial.as_ref().filter(|t| t.is_running())?;
        let (verdict, mut evidence) = judge(&trial.spec, &self.ledger.totals());
        if let Some(e) = &evidence.estimate {
            let conversations = evidence.conversations.iter().sum();
            let p = Point { conversations, diff: e.diff, low: e.low, high: e.high };
            self.note(p);
        }
        if verdict == Verdict::Running {
            self.unjudged = false;
            return None;
        }
        info!("routing trial {} ends: {:?}", trial.spec.id, verdict);
        evidence.points = self.points.clone();
        let end = trial.ended(verdict, unix_ms(), evidence);
        Some(Change::PutTrial { base: state.trial_index, trial: Box::new(end) })
    }

    /// What an ask leads to on the leader.
    pub fn step(&self, state: &CellState, ask: TrialRequest) -> TrialStep {
        let next = match ask {
            TrialRequest::Report => return TrialStep::Answer(CellReply::Trial(self.tell(state))),
            TrialRequest::Start { spec } => Some(TrialRecord::begin(*spec, unix_ms())),
            TrialRequest::Stop { at_once } => self
                .tell(state)
                .filter(|t| t.record.is_running())
                .map(|t| t.record.ended(Verdict::Stopped { at_once }, unix_ms(), t.evidence)),
        };
        match next.filter(|n| n.may_follow(state.trial.as_deref())) {
            Some(next) => {
                let base = state.trial_index;
                TrialStep::Propose(Change::PutTrial { base, trial: Box::new(next) })
            }
            None => TrialStep::Answer(CellReply::Outcome(Outcome::Conflict)),
        }
    }

    fn tell(&self, state: &CellState) -> Option<Box<TrialReport>> {
        let record = (**state.trial.as_ref()?).clone();
        let (verdict, evidence) = match &record.status {
            TrialStatus::Ended { verdict, evidence, .. } => (verdict.clone(), (**evidence).clone()),
            TrialStatus::Running => {
                let (_, mut e) = judge(&record.spec, &self.ledger.totals());
                e.points = self.points.clone();
                // A verdict counts once the cells have agreed on it.
                (Verdict::Running, e)
            }
        };
        Some(Box::new(TrialReport { record, verdict, evidence }))
    }
}

/// What an ask about the trial leads to.
pub(super) enum TrialStep {
    Answer(CellReply),
    Propose(Change),
}

pub(super) fn running_trial(state: &CellState) -> Option<u64> {
    state.trial.as_ref().filter(|t| t.is_running()).map(|t| t.key())
}

fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}
