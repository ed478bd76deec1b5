//! The routing trial: its record, what nodes counted, and the leader's judgement.
use super::work::Actor;
use crate::prelude::*;

/// Looks kept for the plot; beyond, every second one goes.
const MOST_POINTS: usize = 128;
/// Reports in one message to the leader.
const REPORTS_AT_ONCE: usize = 64;
/// The leader is told all that a cell keeps this often, and at once when it is new.
const TELL_ALL: Duration = Duration::from_secs(10);

/// Invariants: `ledger` is of the trial that runs; the leader's holds what all cells passed on. All of it
/// lies in memory, at two cells: the one the node follows and the leader, or the leader and another. What
/// both lost of a node that is gone as well is missing from then on, and nothing counts twice.
#[derive(Default)]
pub(super) struct TrialDesk {
    ledger: OutcomeLedger,
    points: Vec<Point>,
    stride: usize,
    looks: usize,
    /// Something was told since the last look.
    news: bool,
    /// The leader that was told all that this cell keeps, and when it is told again: messages get lost.
    told: Option<(u64, Instant)>,
}

impl TrialDesk {
    fn begin(&mut self, key: u64) {
        *self = TrialDesk { ledger: OutcomeLedger::new(key), stride: 1, ..TrialDesk::default() };
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
}

fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

impl Actor {
    pub fn trial_item(&self) -> Option<FeedItem> {
        let trial = self.state.trial.as_ref()?.for_nodes();
        Some(FeedItem::Trial { index: self.state.trial_index, trial: Box::new(trial) })
    }

    pub fn publish_trial(&mut self) {
        let Some(item) = self.trial_item() else {
            return;
        };
        if let Some(key) = self.running_trial() {
            if key != self.trial.ledger.key() {
                self.trial.begin(key);
            }
        } else {
            self.trial = TrialDesk::default();
        }
        self.feed.publish(item);
    }

    fn running_trial(&self) -> Option<u64> {
        self.state.trial.as_ref().filter(|t| t.is_running()).map(|t| t.key())
    }

    /// Keeps reports and gives back those that were new.
    pub fn keep_outcomes(&mut self, mut reports: Vec<NodeReport>) -> Vec<NodeReport> {
        if self.running_trial().is_none() {
            return Vec::new();
        }
        reports.retain(|r| self.trial.ledger.take(r.clone()));
        self.trial.news |= !reports.is_empty();
        reports
    }

    /// Reports of nodes that follow this cell: they go to the leader, or from it to another cell.
    pub fn took_outcomes(&mut self, reports: Vec<NodeReport>) {
        let reports = self.keep_outcomes(reports);
        if reports.is_empty() {
            return;
        }
        let to = match self.consensus.leads() {
            true => self.heard_last(),
            false => self.leader_addr(),
        };
        if let Some(a) = to {
            self.caller(&a).tell(&CellCall::Outcomes { reports });
        }
    }

    /// The other member that the leader heard last.
    fn heard_last(&self) -> Option<String> {
        let others = self.consensus.log.members().iter().filter(|m| m.id != self.me.id);
        others.max_by_key(|m| self.consensus.last_contact_with(m.id)).map(|m| m.addr.clone())
    }

    /// The leader is told all that this cell keeps, first of all one that is new to it.
    pub fn tell_leader_all(&mut self, now: Instant) {
        let (Some(_), Some(id)) = (self.running_trial(), self.consensus.leader) else {
            return;
        };
        if self.trial.told.is_some_and(|(told, next)| told == id && now < next) {
            return;
        }
        let Some(l) = self.leader_addr() else {
            return;
        };
        self.trial.told = Some((id, now + TELL_ALL));
        let all: Vec<NodeReport> = self.trial.ledger.reports().cloned().collect();
        let c = self.caller(&l);
        for some in all.chunks(REPORTS_AT_ONCE) {
            c.tell(&CellCall::Outcomes { reports: some.to_vec() });
        }
    }

    /// The leader's look at what has come in: the trial's end, when there is a verdict.
    pub fn judge_trial(&mut self) -> Option<Change> {
        // Whoever leads next is new to this cell.
        self.trial.told = None;
        if !self.trial.news {
            return None;
        }
        let trial = self.state.trial.as_ref().filter(|t| t.is_running())?;
        let (verdict, mut evidence) = judge(&trial.spec, &self.trial.ledger.totals());
        if let Some(e) = &evidence.estimate {
            let conversations = evidence.conversations.iter().sum();
            let p = Point { conversations, diff: e.diff, low: e.low, high: e.high };
            self.trial.note(p);
        }
        if verdict == Verdict::Running {
            self.trial.news = false;
            return None;
        }
        info!("routing trial {} ends: {:?}", trial.spec.id, verdict);
        evidence.points = self.trial.points.clone();
        let end = trial.ended(verdict, unix_ms(), evidence);
        Some(Change::PutTrial { base: self.state.trial_index, trial: Box::new(end) })
    }

    pub fn asked_of_trial(&mut self, ask: TrialAsk, reply: oneshot::Sender<CellReply>) -> bool {
        let base = self.state.trial_index;
        let next = match ask {
            TrialAsk::Tell => {
                let _ = reply.send(CellReply::Trial(self.trial_told()));
                return true;
            }
            TrialAsk::Start { spec } => Some(TrialRecord::begin(*spec, unix_ms())),
            TrialAsk::Stop { at_once } => self
                .trial_told()
                .filter(|t| t.record.is_running())
                .map(|t| t.record.ended(Verdict::Stopped { at_once }, unix_ms(), t.evidence)),
        };
        let Some(next) = next.filter(|n| n.may_follow(self.state.trial.as_deref())) else {
            let _ = reply.send(CellReply::Outcome(Outcome::Conflict));
            return true;
        };
        let change = Change::PutTrial { base, trial: Box::new(next) };
        let body = Body::Command(ByteBuf::from(encode(&change).to_vec()));
        self.propose(body, Some(reply))
    }

    fn trial_told(&self) -> Option<Box<TrialTold>> {
        let record = (**self.state.trial.as_ref()?).clone();
        let (verdict, evidence) = match &record.status {
            TrialStatus::Ended { verdict, evidence, .. } => (verdict.clone(), (**evidence).clone()),
            TrialStatus::Running => {
                let (_, mut e) = judge(&record.spec, &self.trial.ledger.totals());
                e.points = self.trial.points.clone();
                // A verdict counts once the cells have agreed on it.
                (Verdict::Running, e)
            }
        };
        Some(Box::new(TrialTold { record, verdict, evidence }))
    }
}
