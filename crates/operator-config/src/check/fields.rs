//! Readers of the configuration's fields.
use crate::prelude::*;

/// Collects faults while it reads.
#[derive(Default)]
pub struct Reader {
    pub faults: Vec<Fault>,
}

const MOST_MS: f64 = 86_400_000.0;

impl Reader {
    fn fault(&mut self, place: String, reason: impl Into<String>) {
        self.faults.push(Fault { place, reason: reason.into() });
    }

    fn text(&mut self, obj: &Map<String, Value>, at: &str, key: &str) -> String {
        match obj.get(key) {
            Some(Value::String(s)) if !s.is_empty() => s.clone(),
            Some(Value::String(_)) => {
                self.fault(format!("{at}.{key}"), "is empty");
                String::new()
            }
            Some(_) => {
                self.fault(format!("{at}.{key}"), "is not a text");
                String::new()
            }
            None => {
                self.fault(format!("{at}.{key}"), "is missing");
                String::new()
            }
        }
    }

    fn num(&mut self, obj: &Map<String, Value>, at: &str, key: &str, def: f64, most: f64) -> f64 {
        match obj.get(key) {
            None | Some(Value::Null) => def,
            Some(v) => match v.as_f64() {
                Some(f) if (0.0..=most).contains(&f) => f,
                Some(_) => {
                    self.fault(format!("{at}.{key}"), "is out of range");
                    def
                }
                None => {
                    self.fault(format!("{at}.{key}"), "is not a number");
                    def
                }
            },
        }
    }

    fn flag(&mut self, obj: &Map<String, Value>, at: &str, key: &str) -> bool {
        match obj.get(key) {
            None | Some(Value::Null) => false,
            Some(Value::Bool(b)) => *b,
            Some(_) => {
                self.fault(format!("{at}.{key}"), "is not true or false");
                false
            }
        }
    }

    fn ms(&mut self, obj: &Map<String, Value>, at: &str, key: &str, def: f64) -> Duration {
        Duration::from_secs_f64(self.num(obj, at, key, def, MOST_MS) / 1e3)
    }

    fn list<'a>(&mut self, top: &'a Map<String, Value>, key: &str) -> &'a [Value] {
        match top.get(key) {
            Some(Value::Array(a)) => a,
            Some(_) => {
                self.fault(key.into(), "is not a list");
                &[]
            }
            None => {
                self.fault(key.into(), "is missing");
                &[]
            }
        }
    }

    pub fn version(&mut self, top: &Map<String, Value>) -> u64 {
        match top.get("configVersion").and_then(Value::as_u64) {
            Some(n) if n > 0 => n,
            Some(_) => {
                self.fault("configVersion".into(), "is not above 0");
                0
            }
            None => {
                self.fault("configVersion".into(), "is missing or not a whole number");
                0
            }
        }
    }

    pub fn services(&mut self, top: &Map<String, Value>) -> Vec<Arc<Service>> {
        let mut seen = HashSet::new();
        let mut out = Vec::new();
        for (i, v) in self.list(top, "serviceTable").iter().enumerate() {
            let at = format!("serviceTable[{i}]");
            let Some(obj) = v.as_object() else {
                self.fault(at, "is not an object");
                continue;
            };
            let name = self.text(obj, &at, "name");
            if !seen.insert(name.clone()) {
                self.fault(format!("{at}.name"), format!("'{name}' is there twice"));
            }
            let health_path = match obj.get("healthPath") {
                None => "/health".into(),
                Some(_) => self.text(obj, &at, "healthPath"),
            };
            let most_connections = self.num(obj, &at, "connectionLimit", 64.0, 1e6) as u32;
            if obj.get("protocol").is_some_and(|p| p != "h1") {
                self.fault(format!("{at}.protocol"), "only h1 is spoken");
            }
            if self.flag(obj, &at, "tlsEnabled") {
                self.fault(format!("{at}.tlsEnabled"), "TLS is not spoken");
            }
            let engine = match obj.get("engine") {
                Some(Value::Object(e)) => Some(self.engine(e, &format!("{at}.engine"))),
                None | Some(Value::Null) => None,
                Some(_) => {
                    self.fault(format!("{at}.engine"), "is not an object");
                    None
                }
            };
            out.push(Arc::new(Service { name, health_path, most_connections, engine }));
        }
        out
    }

    fn engine(&mut self, obj: &Map<String, Value>, at: &str) -> EngineModel {
        let models = match obj.get("models") {
            Some(Value::Array(a)) => a
                .iter()
                .filter_map(|m| m.get("name").and_then(Value::as_str).map(String::from))
                .collect(),
            _ => Vec::new(),
        };
        EngineModel {
            slots: self.num(obj, at, "slotCount", 1.0, 1e6) as u32,
            cache_tokens: self.num(obj, at, "cacheTokens", 0.0, 1e15) as u64,
            stride: (self.num(obj, at, "eventStride", 1.0, 1e6) as u32).max(1),
            models,
        }
    }

    pub fn routes(
        &mut self,
        top: &Map<String, Value>,
        services: &[Arc<Service>],
    ) -> Vec<Arc<Route>> {
        let known: HashSet<&str> = services.iter().map(|s| s.name.as_str()).collect();
        let mut places = HashSet::new();
        let mut out = Vec::new();
        for (i, v) in self.list(top, "routeTable").iter().enumerate() {
            let at = format!("routeTable[{i}]");
            let Some(obj) = v.as_object() else {
                self.fault(at, "is not an object");
                continue;
            };
            let host = self.text(obj, &at, "hostName");
            let prefix = self.text(obj, &at, "pathPrefix");
            let whole = prefix.starts_with('/') && prefix.ends_with('/');
            if !prefix.is_empty() && !whole {
                self.fault(format!("{at}.pathPrefix"), "doesn't begin and end with a slash");
            }
            if !places.insert((host.to_ascii_lowercase(), prefix.clone())) {
                self.fault(at.clone(), "has the host and prefix of another route");
            }
            let kind = match obj.get("routeKind").and_then(Value::as_str) {
                Some("idempotent") => RouteKind::Idempotent,
                Some("streaming") => RouteKind::Streaming,
                Some("non_idempotent") => RouteKind::NonIdempotent,
                _ => {
                    self.fault(format!("{at}.routeKind"), "is missing or unknown");
                    RouteKind::NonIdempotent
                }
            };
            let timeout = self.ms(obj, &at, "timeoutMs", 0.0);
            if timeout.is_zero() {
                self.fault(format!("{at}.timeoutMs"), "is 0 or missing");
            }
            let splits = self.splits(obj, &at, &known);
            let retention = self.num(obj, &at, "retentionS", 60.0, 1e7);
            let aim = self.ms(obj, &at, "targetLatencyMs", 1000.0);
            out.push(Arc::new(Route {
                name: match obj.get("name") {
                    None => String::new(),
                    Some(_) => self.text(obj, &at, "name"),
                },
                host,
                prefix,
                kind,
                timeout,
                aim,
                gap_aim: self.ms(obj, &at, "targetGapMs", 1000.0),
                priority: self.num(obj, &at, "priorityLevel", 5.0, 255.0) as u8,
                splits,
                max_attempts: (self.num(obj, &at, "maxAttempts", 2.0, 1000.0) as u32).max(1),
                retained: self.flag(obj, &at, "retained"),
                retention: Duration::from_secs_f64(retention),
                sticky: self.flag(obj, &at, "stickySessions"),
                resumable: self.flag(obj, &at, "resumable"),
            }));
        }
        out
    }

    fn splits(&mut self, obj: &Map<String, Value>, at: &str, known: &HashSet<&str>) -> Vec<Split> {
        let mut out = Vec::new();
        if let Some(list) = obj.get("weightedSplit") {
            let Some(list) = list.as_array() else {
                self.fault(format!("{at}.weightedSplit"), "is not a list");
                return out;
            };
            for (j, s) in list.iter().enumerate() {
                let place = format!("{at}.weightedSplit[{j}]");
                let Some(s) = s.as_object() else {
                    self.fault(place, "is not an object");
                    continue;
                };
                let service = self.text(s, &place, "serviceName");
                let weight = self.num(s, &place, "weight", 0.0, 1e12);
                out.push(Split { service, weight });
            }
        } else {
            let service = self.text(obj, at, "serviceName");
            out.push(Split { service, weight: 1.0 });
        }
        for s in &out {
            if !s.service.is_empty() && !known.contains(s.service.as_str()) {
                self.faults.push(Fault {
                    place: at.into(),
                    reason: format!("names the unknown service '{}'", s.service),
                });
            }
        }
        if out.iter().map(|s| s.weight).sum::<f64>() <= 0.0 {
            self.fault(format!("{at}.weightedSplit"), "weights sum to 0");
        }
        out
    }

    pub fn limits(&mut self, top: &Map<String, Value>) -> LimitsOfClients {
        let empty = Map::new();
        let obj = match top.get("limits") {
            Some(Value::Object(o)) => o,
            None => &empty,
            Some(_) => {
                self.fault("limits".into(), "is not an object");
                &empty
            }
        };
        LimitsOfClients {
            header_bytes: self.num(obj, "limits", "maxHeaderBytes", 16_384.0, 1e9) as usize,
            body_bytes: self.num(obj, "limits", "maxBodyBytes", 4_194_304.0, 1e9) as usize,
            header_time: self.ms(obj, "limits", "headerTimeoutMs", 3000.0),
            idle_time: self.ms(obj, "limits", "idleTimeoutMs", 15_000.0),
        }
    }
}
