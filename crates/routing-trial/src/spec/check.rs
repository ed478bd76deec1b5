//! Reads a trial's file field by field; every fault is listed with its field.
use crate::prelude::*;
use toml::{Table, Value};

struct Reader<'a> {
    table: &'a Table,
    at: &'static str,
    faults: Vec<SpecFault>,
}

impl<'a> Reader<'a> {
    fn new(table: &'a Table, at: &'static str, known: &[&str]) -> Self {
        let mut r = Reader { table, at, faults: Vec::new() };
        for k in table.keys().filter(|k| !known.contains(&k.as_str())) {
            r.fault(k, "is not known");
        }
        r
    }

    fn fault(&mut self, key: &str, reason: impl Into<String>) {
        let field = if self.at.is_empty() { key.into() } else { format!("{}.{key}", self.at) };
        self.faults.push(SpecFault { field, reason: reason.into() });
    }

    fn text(&mut self, key: &str) -> String {
        match self.table.get(key) {
            Some(Value::String(s)) if !s.trim().is_empty() && s.len() <= 80 => s.trim().into(),
            Some(Value::String(_)) => {
                self.fault(key, "is empty or longer than 80 bytes");
                String::new()
            }
            Some(_) => {
                self.fault(key, "is not a text");
                String::new()
            }
            None => {
                self.fault(key, "is missing");
                String::new()
            }
        }
    }

    fn number(&mut self, key: &str, low: f64, high: f64) -> Option<f64> {
        let n = match self.table.get(key)? {
            Value::Float(f) => *f,
            Value::Integer(i) => *i as f64,
            _ => {
                self.fault(key, "is not a number");
                return None;
            }
        };
        if (low..=high).contains(&n) {
            return Some(n);
        }
        self.fault(key, format!("is not within {low} and {high}"));
        None
    }

    fn whole(&mut self, key: &str, low: i64, high: i64) -> Option<u64> {
        match self.table.get(key)? {
            Value::Integer(i) if (low..=high).contains(i) => Some(*i as u64),
            Value::Integer(_) => {
                self.fault(key, format!("is not within {low} and {high}"));
                None
            }
            _ => {
                self.fault(key, "is not a whole number");
                None
            }
        }
    }

    fn texts(&mut self, key: &str, most: usize) -> Vec<String> {
        let list = match self.table.get(key) {
            None => return Vec::new(),
            Some(Value::Array(a)) => a,
            Some(_) => {
                self.fault(key, "is not a list");
                return Vec::new();
            }
        };
        let out: Vec<String> = list.iter().filter_map(|v| v.as_str()).map(String::from).collect();
        if out.len() != list.len() {
            self.fault(key, "holds something that is not a text");
        }
        if out.len() > most {
            self.fault(key, format!("names more than {most}"));
        }
        out
    }

    fn part(&mut self, key: &str) -> Option<&'a Table> {
        match self.table.get(key) {
            Some(Value::Table(t)) => Some(t),
            Some(_) => {
                self.fault(key, "is not a table");
                None
            }
            None => None,
        }
    }
}

const TOP: &[&str] =
    &["id", "name", "share", "control", "candidate", "metric", "test", "guardrail"];
const PARAMS: [&str; 4] = ["farMs", "stayMs", "besideMs", "behindMs"];

const NO_LIMIT: &str = "is neither 'zero' nor 'as-control'";

fn limit_of(v: &Value) -> Option<BrokenLimit> {
    match v.as_str()? {
        "zero" => Some(BrokenLimit::Zero),
        "as-control" => Some(BrokenLimit::AsControl),
        _ => None,
    }
}

/// The bound is an asymptotic one: below this it was never tried out.
const LEAST_TRIED: i64 = 30;

/// Reads a whole trial file (TOML); every fault found is listed.
pub fn check_spec(text: &str) -> Result<TrialSpec, Vec<SpecFault>> {
    let top: Table = match toml::from_str(text) {
        Ok(t) => t,
        Err(e) => {
            let reason = format!("can't be read: {}", e.message());
            return Err(vec![SpecFault { field: "(file)".into(), reason }]);
        }
    };
    let none = Table::new();
    let mut r = Reader::new(&top, "", TOP);
    let id = r.text("id");
    if !id.chars().all(|c| c.is_ascii_alphanumeric() || c == '-' || c == '_') {
        r.fault("id", "holds other than letters, digits, - and _");
    }
    let name = r.text("name");
    let share = r.number("share", 0.01, 0.99).unwrap_or(0.5);
    for key in ["control", "candidate"] {
        if !top.contains_key(key) {
            r.fault(key, "is missing");
        }
    }
    let parts = ["control", "candidate", "metric", "test", "guardrail"].map(|k| r.part(k));
    let mut faults = std::mem::take(&mut r.faults);
    let [control, candidate, metric, test, guard] = parts.map(|p| p.unwrap_or(&none));

    let mut r = Reader::new(control, "control", &["name"]);
    let control_name = r.text("name");
    for k in PARAMS.iter().filter(|k| control.contains_key(**k)) {
        r.fault(k, "can't be set: the control is the policy in force");
    }
    faults.append(&mut r.faults);

    let mut r =
        Reader::new(candidate, "candidate", &["name", "farMs", "stayMs", "besideMs", "behindMs"]);
    let candidate = PolicySpec {
        name: r.text("name"),
        far_ms: r.number("farMs", 0.0, 10_000.0),
        stay_ms: r.number("stayMs", 0.0, 10_000.0),
        beside_ms: r.number("besideMs", 0.0, 10_000.0),
        behind_ms: r.number("behindMs", 0.0, 10_000.0),
    };
    if PARAMS.iter().all(|k| !r.table.contains_key(*k)) {
        r.fault("stayMs", "nothing is set: the candidate would be the control");
    }
    if !candidate.name.is_empty() && candidate.name == control_name {
        r.fault("name", "is the control's name");
    }
    faults.append(&mut r.faults);

    let mut r = Reader::new(metric, "metric", &["lateWorth"]);
    let late_worth = r.number("lateWorth", 0.0, 1.0).unwrap_or(0.3);
    faults.append(&mut r.faults);

    const TEST: &[&str] =
        &["alpha", "minEffect", "leastConversations", "horizonConversations", "leadInMs", "drainS"];
    let mut r = Reader::new(test, "test", TEST);
    let alpha = r.number("alpha", 1e-6, 0.5).unwrap_or(0.05);
    let min_effect = r.number("minEffect", 1e-4, 1.0).unwrap_or(0.02);
    let least = r.whole("leastConversations", LEAST_TRIED, 1_000_000_000).unwrap_or(300);
    let horizon = r.whole("horizonConversations", 1, 1_000_000_000).unwrap_or(100_000);
    if horizon < 2 * least {
        r.fault("horizonConversations", "is below twice leastConversations");
    }
    let lead_in = Duration::from_millis(r.whole("leadInMs", 0, 60_000).unwrap_or(3000));
    let drain = Duration::from_secs(r.whole("drainS", 0, 86_400).unwrap_or(600));
    faults.append(&mut r.faults);

    const GUARD: &[&str] =
        &["protectedRoutes", "protectedPriority", "broken", "alpha", "inversions", "brokenByRoute"];
    let mut r = Reader::new(guard, "guardrail", GUARD);
    let routes = r.texts("protectedRoutes", MOST_ROUTES / 2);
    let priority = r.whole("protectedPriority", 0, 255).map(|p| p as u8);
    let mut limits = BTreeMap::new();
    for (route, v) in r.part("brokenByRoute").unwrap_or(&none) {
        match limit_of(v) {
            Some(l) => {
                limits.insert(route.clone(), l);
            }
            None => r.fault(&format!("brokenByRoute.{route}"), NO_LIMIT),
        }
    }
    if limits.len() > MOST_ROUTES / 2 {
        r.fault("brokenByRoute", format!("names more than {}", MOST_ROUTES / 2));
    }
    if routes.is_empty() && priority.is_none() && limits.is_empty() {
        r.fault("protectedRoutes", "neither routes nor protectedPriority are named");
    }
    let broken = match guard.get("broken") {
        None => BrokenLimit::AsControl,
        Some(v) => limit_of(v).unwrap_or_else(|| {
            r.fault("broken", NO_LIMIT);
            BrokenLimit::Zero
        }),
    };
    let guard = GuardSpec {
        routes,
        priority,
        broken,
        limits,
        alpha: r.number("alpha", 1e-9, 0.5).unwrap_or(0.01),
        inversions: r.whole("inversions", 0, 1_000_000).unwrap_or(0),
    };
    faults.append(&mut r.faults);

    if !faults.is_empty() {
        return Err(faults);
    }
    Ok(TrialSpec {
        id,
        name,
        control: control_name,
        candidate,
        share,
        late_worth,
        alpha,
        min_effect,
        least,
        horizon,
        lead_in,
        drain,
        guard,
    })
}
