//! What a checked configuration says, and how a request finds its route.
use crate::prelude::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    Idempotent,
    NonIdempotent,
    Streaming,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Split {
    pub service: String,
    pub weight: f64,
}

/// Invariants: the prefix begins and ends with a slash; the weights sum to more than 0.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub prefix: String,
    pub kind: RouteKind,
    pub timeout: Duration,
    pub aim: Duration,
    pub gap_aim: Duration,
    pub priority: u8,
    pub splits: Vec<Split>,
    pub max_attempts: u32,
    pub retained: bool,
    pub retention: Duration,
    pub sticky: bool,
    pub resumable: bool,
}

#[derive(Debug, Clone, PartialEq)]
pub struct EngineModel {
    pub slots: u32,
    pub cache_tokens: u64,
    pub stride: u32,
    pub models: Vec<String>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    pub name: String,
    pub health_path: String,
    pub most_connections: u32,
    pub engine: Option<EngineModel>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct LimitsOfClients {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub header_time: Duration,
    pub idle_time: Duration,
}

#[derive(Debug, Clone, PartialEq)]
pub struct OperatorConfig {
    pub version: u64,
    pub routes: Vec<Arc<Route>>,
    pub services: Vec<Arc<Service>>,
    pub limits: LimitsOfClients,
}

/// Routes by host, longest prefix first. Invariant: no two routes of a host share a prefix.
#[derive(Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    pub fn new(cfg: &OperatorConfig) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for w in &cfg.routes {
            hosts.entry(w.host.to_ascii_lowercase()).or_default().push(w.clone());
        }
        for v in hosts.values_mut() {
            v.sort_by_key(|w| std::cmp::Reverse(w.prefix.len()));
        }
        RouteTable { hosts }
    }

    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let bare = host.rsplit_once(':').map_or(host, |(h, p)| {
            if p.bytes().all(|b| b.is_ascii_digit()) {
                h
            } else {
                host
            }
        });
        let list = match self.hosts.get(bare) {
            Some(l) => l,
            None => self.hosts.get(&bare.to_ascii_lowercase())?,
        };
        list.iter().find(|w| path.starts_with(&w.prefix))
    }
}

impl Route {
    /// The service a draw in [0, 1) falls on.
    pub fn choose_service(&self, draw: f64) -> &str {
        let sum: f64 = self.splits.iter().map(|s| s.weight).sum();
        let mut left = draw * sum;
        for s in &self.splits {
            if s.weight > 0.0 && left < s.weight {
                return &s.service;
            }
            left -= s.weight;
        }
        let last = self.splits.iter().rev().find(|s| s.weight > 0.0);
        last.map_or("", |s| &s.service)
    }
}
