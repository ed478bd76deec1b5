//! The routing trial at this proxy: which arm a conversation is on, and what its turns came to. While no
//! trial runs, nothing is counted, sent or waited for.
use super::locked;
use crate::flow::Job;
use crate::prelude::*;

/// A turn's place in the trial.
#[derive(Debug, Clone)]
pub struct TrialPlacement {
    key: u64,
    /// The arm it is on.
    pub arm: Arm,
    bucket: usize,
    route: Arc<str>,
    protected: bool,
    /// When its first event is late.
    due: Instant,
}

impl TrialPlacement {
    /// The policy that a turn with this placement is routed by.
    pub fn policy(placement: Option<&TrialPlacement>) -> Policy {
        match placement {
            Some(s) if s.arm == Arm::Candidate => Policy::Trial,
            _ => Policy::Current,
        }
    }

    /// How a turn that was answered whole counts, by when its first event passed.
    pub fn in_time(&self, first: Option<Instant>) -> Outcome {
        match first {
            Some(at) if at <= self.due => Outcome::InTime,
            _ => Outcome::Late,
        }
    }
}

struct LiveTrial {
    record: TrialRecord,
    key: u64,
    since: Instant,
}

/// Invariant: `report` is there exactly while a trial runs, and is of that trial.
pub struct TrialDesk {
    node: String,
    /// This life of the proxy: never that of another.
    incarnation: u64,
    live: Mutex<Option<Arc<LiveTrial>>>,
    report: Mutex<Option<NodeReport>>,
    reports: watch::Sender<Option<Vec<NodeReport>>>,
    running: watch::Sender<bool>,
}

const REPORT_EVERY: Duration = Duration::from_secs(1);

impl TrialDesk {
    /// A desk that knows of no trial.
    pub fn new(node: &str) -> Self {
        TrialDesk {
            node: node.into(),
            incarnation: fastrand::u64(1..),
            live: Mutex::new(None),
            report: Mutex::new(None),
            reports: watch::channel(None).0,
            running: watch::channel(false).0,
        }
    }

    /// The status reports that the agent carries on.
    pub fn reports(&self) -> watch::Receiver<Option<Vec<NodeReport>>> {
        self.reports.subscribe()
    }

    /// The trial this proxy knows: its key, and whether it runs.
    pub fn known(&self) -> Option<(u64, bool)> {
        locked(&self.live).as_ref().map(|t| (t.key, t.record.is_running()))
    }

    fn learn(&self, record: &TrialRecord) {
        let key = record.key();
        let mut live = locked(&self.live);
        let since = live.as_ref().filter(|l| l.key == key).map_or(Instant::now(), |l| l.since);
        *live = Some(Arc::new(LiveTrial { record: record.clone(), key, since }));
        let running = record.is_running();
        let mut report = locked(&self.report);
        if !running {
            *report = None;
        } else if report.as_ref().is_none_or(|r| r.key != key) {
            *report = Some(NodeReport::new(key, &self.node, self.incarnation));
        }
        self.running.send_replace(running);
    }

    /// The mark that the turn's record is to carry, and its place in the trial that this proxy knows.
    /// A turn that goes on from another has the mark of that one or none; a turn that begins a
    /// conversation gets one while a trial admits them. `last` is what the record before says of its
    /// engine.
    pub fn placement(
        &self,
        job: &Job<'_>,
        last: Option<&str>,
    ) -> (Option<Mark>, Option<TrialPlacement>) {
        let carried = last.and_then(|t| read_answered_by(t).1);
        let Some(live) = locked(&self.live).clone() else {
            return (carried, None);
        };
        let Some(program) = job.head.program.or(job.head.session) else {
            return (carried, None);
        };
        if !job.route.retained || !live.record.keeps_arms() {
            return (carried, None);
        }
        let bucket = bucket_of(live.key, program);
        let mark = match job.head.previous {
            Some(_) => carried,
            None => {
                let spec = &live.record.spec;
                let admits = live.record.is_running() && live.since.elapsed() >= spec.lead_in;
                let arm = arm_of(live.key, program, spec.share);
                admits.then_some(Mark { key: live.key, arm })
            }
        };
        let Some(m) = mark.filter(|m| m.key == live.key) else {
            return (mark, None);
        };
        if job.head.previous.is_none() {
            if let Some(r) = &mut *locked(&self.report) {
                r.began(m.arm, bucket);
            }
        }
        let placement = TrialPlacement {
            key: m.key,
            arm: m.arm,
            bucket,
            route: job.route.name.as_str().into(),
            protected: live.record.spec.guard.protects(&job.route.name, job.route.priority),
            due: job.began + job.route.aim,
        };
        (mark, Some(placement))
    }

    /// A turn has come to its end; `holes` says that it was given as whole and lacked events.
    pub fn count(&self, s: &TrialPlacement, came: Outcome, holes: bool) {
        let Some(live) = locked(&self.live).clone() else {
            return;
        };
        if let Some(r) = locked(&self.report).as_mut().filter(|r| r.key == s.key) {
            let late_worth = live.record.spec.late_worth;
            r.count(s.arm, s.bucket, &s.route, s.protected, came, late_worth);
            if holes {
                r.hole(s.arm, &s.route, s.protected);
            }
        }
    }

    /// A turn that ended before its stream began; relayed ones are counted at their end.
    pub fn answered(&self, s: &TrialPlacement, res: &Result<Response<ProxyBody>, OwnAnswer>) {
        match res {
            Ok(r) if r.status().is_server_error() => self.count(s, Outcome::Broken, false),
            Err(OwnAnswer::Refused { .. }) => self.count(s, Outcome::Refused, false),
            Err(OwnAnswer::Lost(_) | OwnAnswer::Late) => self.count(s, Outcome::Broken, false),
            _ => {}
        }
    }

    /// What can't be repeated is sent again after it may have run.
    pub fn double(&self) {
        if let Some(r) = &mut *locked(&self.report) {
            r.doubles += 1;
        }
    }

    fn publish(&self, inversions: u64) {
        let mut report = locked(&self.report);
        if let Some(r) = &mut *report {
            r.seq += 1;
            r.inversions = inversions;
            self.reports.send_replace(Some(vec![r.clone()]));
        }
    }
}

impl App {
    /// Reports to the agent all that was counted, while a trial runs.
    pub fn tell_outcomes(&self) {
        let inversions = locked(&self.sched).inversions;
        self.trial.publish(inversions);
    }

    pub(super) fn learn_trial(&self, record: &TrialRecord) {
        let how = match (record.is_running(), record.keeps_arms()) {
            (true, _) => "runs",
            (false, true) => "has ended, conversations finish on their arm",
            (false, false) => "has ended, all are on the current policy",
        };
        info!("routing trial {} {}", record.spec.id, how);
        let before = self.trial.known();
        self.trial.learn(record);
        let mut sched = locked(&self.sched);
        if before.map(|b| b.0) != Some(record.key()) {
            sched.inversions = 0;
        }
        let p = &record.spec.candidate;
        let t = &sched.tuning;
        let tuning = SchedulerTuning {
            far_ms: p.far_ms.unwrap_or(t.far_ms),
            stay_ms: p.stay_ms.unwrap_or(t.stay_ms),
            beside_ms: p.beside_ms.unwrap_or(t.beside_ms),
            behind_ms: p.behind_ms.unwrap_or(t.behind_ms),
            ..t.clone()
        };
        sched.trial = record.keeps_arms().then(|| Box::new(tuning));
    }
}

/// Reports to the agent once a second while a trial runs, and sleeps otherwise.
pub fn report_outcomes(app: &Arc<App>) {
    let app = app.clone();
    tokio::spawn(async move {
        let mut running = app.trial.running.subscribe();
        while running.wait_for(|r| *r).await.is_ok() {
            tokio::time::sleep(REPORT_EVERY).await;
            app.tell_outcomes();
        }
    });
}
