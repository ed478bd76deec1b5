//! Outcomes: counted by each proxy from the start of its process, and merged so that nothing counts twice.
use crate::prelude::*;

/// What a turn came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Whole, its first event within the route's aim.
    InTime,
    /// Whole, its first event after the aim.
    Late,
    /// Refused with a promise that it never runs.
    Refused,
    /// It may have run, and no whole answer was given.
    Broken,
    /// The client went away: says nothing of the policy.
    Left,
}

/// Counts of one route on one arm; they only grow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    #[serde(rename = "i", default)]
    pub in_time: u64,
    #[serde(rename = "l", default)]
    pub late: u64,
    #[serde(rename = "r", default)]
    pub refused: u64,
    #[serde(rename = "b", default)]
    pub broken: u64,
    #[serde(rename = "g", default)]
    pub left: u64,
    /// Answers given as whole that lacked events.
    #[serde(rename = "h", default)]
    pub holes: u64,
    /// The route is protected.
    #[serde(rename = "p", default)]
    pub protected: bool,
}

impl RouteCounts {
    fn add(&mut self, o: &RouteCounts) {
        self.in_time += o.in_time;
        self.late += o.late;
        self.refused += o.refused;
        self.broken += o.broken;
        self.left += o.left;
        self.holes += o.holes;
        self.protected |= o.protected;
    }

    /// Turns that were answered, whole or not.
    pub fn answered(&self) -> u64 {
        self.in_time + self.late + self.broken
    }
}

/// One group of conversations. `worth` is in thousandths, at most 1000 a turn.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    #[serde(rename = "n", default)]
    pub turns: u64,
    #[serde(rename = "w", default)]
    pub worth: u64,
    /// First turns: conversations that began.
    #[serde(rename = "c", default)]
    pub firsts: u64,
}

/// What one arm came to. Invariant: `buckets` has `BUCKETS` entries or none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArmSums {
    pub buckets: Vec<Bucket>,
    pub routes: BTreeMap<String, RouteCounts>,
}

/// Routes told apart in a report; what comes beyond is told together under an empty name. Protected
/// routes have a place of their own up to twice that.
pub const MOST_ROUTES: usize = 32;

impl ArmSums {
    fn add(&mut self, o: &ArmSums) {
        if self.buckets.len() < o.buckets.len() {
            self.buckets.resize(o.buckets.len(), Bucket::default());
        }
        for (a, b) in self.buckets.iter_mut().zip(&o.buckets) {
            a.turns += b.turns;
            a.worth += b.worth;
            a.firsts += b.firsts;
        }
        for (name, c) in &o.routes {
            self.routes.entry(name.clone()).or_default().add(c);
        }
    }

    pub fn conversations(&self) -> u64 {
        self.buckets.iter().map(|b| b.firsts).sum()
    }

    pub fn turns(&self) -> u64 {
        self.buckets.iter().map(|b| b.turns).sum()
    }
}

/// All that one life of a proxy counted of one trial. Invariants: within a life (`node`,
/// `incarnation`) every count only grows and `seq` grows with each report, so that a later report
/// holds all that an earlier one held; a new life begins at nothing under a new incarnation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// `TrialRecord::key`.
    pub key: u64,
    pub node: String,
    pub incarnation: u64,
    pub seq: u64,
    /// By `Arm::index`.
    pub arms: [ArmSums; 2],
    /// Urgent requests that waited while a less urgent one of the same service was admitted.
    pub inversions: u64,
    /// Requests that can't be repeated, sent again after they may have run.
    pub doubles: u64,
}

impl NodeReport {
    pub fn new(key: u64, node: &str, incarnation: u64) -> Self {
        let arm = || ArmSums { buckets: vec![Bucket::default(); BUCKETS], routes: BTreeMap::new() };
        NodeReport { key, node: node.into(), incarnation, arms: [arm(), arm()], ..Self::default() }
    }

    pub fn began(&mut self, arm: Arm, bucket: usize) {
        if let Some(b) = self.arms[arm.index()].buckets.get_mut(bucket) {
            b.firsts += 1;
        }
    }

    /// Counts a turn. `late_worth` is in [0, 1].
    pub fn count(
        &mut self,
        arm: Arm,
        bucket: usize,
        route: &str,
        protected: bool,
        came: Outcome,
        late_worth: f64,
    ) {
        let c = self.route(arm, route, protected);
        let worth = match came {
            Outcome::InTime => {
                c.in_time += 1;
                1000
            }
            Outcome::Late => {
                c.late += 1;
                (late_worth.clamp(0.0, 1.0) * 1000.0) as u64
            }
            Outcome::Refused => {
                c.refused += 1;
                0
            }
            Outcome::Broken => {
                c.broken += 1;
                0
            }
            Outcome::Left => {
                c.left += 1;
                return;
            }
        };
        if let Some(b) = self.arms[arm.index()].buckets.get_mut(bucket) {
            b.turns += 1;
            b.worth += worth;
        }
    }

    /// An answer given as whole lacked events.
    pub fn hole(&mut self, arm: Arm, route: &str, protected: bool) {
        self.route(arm, route, protected).holes += 1;
    }

    fn route(&mut self, arm: Arm, route: &str, protected: bool) -> &mut RouteCounts {
        let routes = &mut self.arms[arm.index()].routes;
        let most = if protected { 2 * MOST_ROUTES } else { MOST_ROUTES };
        let name = if routes.contains_key(route) || routes.len() < most { route } else { "" };
        let c = routes.entry(name.to_string()).or_default();
        c.protected |= protected;
        c
    }
}

/// What all nodes counted together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    pub arms: [ArmSums; 2],
    pub inversions: u64,
    pub doubles: u64,
    pub nodes: usize,
    /// Reports of more lives than are kept, left out.
    pub left_out: u64,
}

/// Lives of proxies kept for one trial.
const MOST_LIVES: usize = 2048;

/// A grow-only counter a life of a proxy: of each the report with the highest `seq` counts, so reports
/// may come late, again, in any order and by any way. Invariant: all are of the trial `key`.
#[derive(Debug, Clone, Default)]
pub struct OutcomeLedger {
    key: u64,
    lives: BTreeMap<(String, u64), NodeReport>,
    left_out: u64,
}

impl OutcomeLedger {
    pub fn new(key: u64) -> Self {
        OutcomeLedger { key, ..Self::default() }
    }

    pub fn key(&self) -> u64 {
        self.key
    }

    /// True when the report told something new.
    pub fn take(&mut self, r: NodeReport) -> bool {
        let odd = |a: &ArmSums| a.buckets.len() > BUCKETS || a.routes.len() > 2 * MOST_ROUTES + 1;
        if r.key != self.key || r.arms.iter().any(odd) {
            return false;
        }
        let id = (r.node.clone(), r.incarnation);
        if let Some(old) = self.lives.get_mut(&id) {
            let newer = r.seq > old.seq;
            if newer {
                *old = r;
            }
            return newer;
        }
        if self.lives.len() >= MOST_LIVES {
            self.left_out += 1;
            return false;
        }
        self.lives.insert(id, r);
        true
    }

    /// All that is kept, for another ledger.
    pub fn reports(&self) -> impl Iterator<Item = &NodeReport> {
        self.lives.values()
    }

    pub fn totals(&self) -> Totals {
        let mut t = Totals { left_out: self.left_out, ..Totals::default() };
        let mut nodes = BTreeSet::new();
        for r in self.lives.values() {
            nodes.insert(r.node.as_str());
            for (a, b) in t.arms.iter_mut().zip(&r.arms) {
                a.add(b);
            }
            t.inversions += r.inversions;
            t.doubles += r.doubles;
        }
        t.nodes = nodes.len();
        t
    }
}
