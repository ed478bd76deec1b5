//! Checks each field; the first fault is reported with file, field and reason.
use super::raw::{RawCloud, RawSettings};
use crate::prelude::*;

struct Checker<'a> {
    file: &'a str,
}

impl Checker<'_> {
    fn fail<T>(&self, field: &str, reason: impl Into<String>) -> NodeResult<T> {
        Err(NodeError::BadSettings {
            file: self.file.into(),
            field: field.into(),
            reason: reason.into(),
        })
    }

    fn need(&self, field: &str, v: Option<String>) -> NodeResult<String> {
        match v {
            Some(s) if !s.is_empty() => Ok(s),
            Some(_) => self.fail(field, "is empty"),
            None => self.fail(field, "is missing"),
        }
    }

    fn addr(&self, field: &str, s: &str) -> NodeResult<SocketAddr> {
        match s.parse() {
            Ok(a) => Ok(a),
            Err(_) => self.fail(field, format!("'{s}' is not an IP address and port")),
        }
    }

    fn num(
        &self,
        table: &BTreeMap<String, toml::Value>,
        at: &str,
        key: &str,
        def: f64,
    ) -> NodeResult<f64> {
        let v = match table.get(key) {
            None => return Ok(def),
            Some(toml::Value::Integer(i)) => *i as f64,
            Some(toml::Value::Float(f)) => *f,
            Some(_) => return self.fail(&format!("{at}.{key}"), "is not a number"),
        };
        if !v.is_finite() || !(0.0..=1e12).contains(&v) {
            return self.fail(&format!("{at}.{key}"), format!("{v} is out of range"));
        }
        Ok(v)
    }

    fn span(
        &self,
        table: &BTreeMap<String, toml::Value>,
        key: &str,
        unit_s: f64,
        def: f64,
    ) -> NodeResult<Duration> {
        let v = self.num(table, "bounds", key, def)? * unit_s;
        if v <= 0.0 || v > 86_400.0 {
            return self.fail(&format!("bounds.{key}"), "is out of range");
        }
        Ok(Duration::from_secs_f64(v))
    }
}

/// Reads and checks a settings file.
pub fn read_settings(path: &str) -> NodeResult<NodeSettings> {
    let text = std::fs::read_to_string(path).map_err(|e| NodeError::BadSettings {
        file: path.into(),
        field: "(file)".into(),
        reason: e.to_string(),
    })?;
    parse_settings(path, &text)
}

/// Checks the text of a settings file; `path` is named in errors.
pub fn parse_settings(path: &str, text: &str) -> NodeResult<NodeSettings> {
    let ck = Checker { file: path };
    let raw: RawSettings = match toml::from_str(text) {
        Ok(r) => r,
        Err(e) => return ck.fail("(file)", e.message().to_string()),
    };
    let ip = ck.need("ipAddress", raw.ip_address)?;
    if ip.parse::<IpAddr>().is_err() {
        return ck.fail("ipAddress", format!("'{ip}' is not an IP address"));
    }
    let zone = ck.need("zone", raw.zone)?;
    let mut zones = raw.zones;
    zones.entry(zone.clone()).or_default();
    let internal_ports = match raw.internal_port_range.as_deref() {
        Some([a, b]) if *a > 0 && *b < 65_536 && *b - *a >= 7 => (*a as u16, *b as u16),
        Some(_) => return ck.fail("internalPortRange", "is not two ports with eight between"),
        None => return ck.fail("internalPortRange", "is missing"),
    };
    let mut seeds = Vec::new();
    for s in &raw.seed_addresses {
        seeds.push(ck.addr("seedAddresses", s)?);
    }
    if seeds.is_empty() {
        return ck.fail("seedAddresses", "names no node");
    }
    let mut listen = ListenSettings::default();
    for (key, val) in &raw.listen_addresses {
        let a = ck.addr(&format!("listenAddresses.{key}"), val)?;
        match key.as_str() {
            "front" => listen.front = Some(a),
            "readiness" => listen.readiness = Some(a),
            "control" => listen.control = Some(a),
            _ => {}
        }
    }
    let limits = LimitSettings {
        memory_mb: ck.num(&raw.limits, "limits", "memoryMb", 256.0)? as u64,
        descriptors: ck.num(&raw.limits, "limits", "fileDescriptors", 1024.0)? as u64,
        disk_mb: ck.num(&raw.limits, "limits", "diskMb", 0.0)? as u64,
    };
    if limits.memory_mb < 16 {
        return ck.fail("limits.memoryMb", "is below 16");
    }
    let b = &raw.bounds;
    let bounds = Bounds {
        contact: ck.span(b, "contactMs", 1e-3, 3000.0)?,
        acknowledge: ck.span(b, "acknowledgeMs", 1e-3, 4000.0)?,
        catch_up: ck.span(b, "catchUpS", 1.0, 4.0)?,
        drain: ck.span(b, "drainMs", 1e-3, 3000.0)?,
        grace: ck.span(b, "gracePeriodS", 1.0, 8.0)?,
        config_apply: ck.span(b, "configApplyMs", 1e-3, 2000.0)?,
        reuse_after: ck.span(b, "reuseAfterS", 1.0, 2.0)?,
    };
    Ok(NodeSettings {
        node_name: ck.need("nodeName", raw.node_name)?,
        machine_class: raw.machine_class.unwrap_or_default(),
        ip,
        zone,
        zones,
        internal_ports,
        seeds,
        first_start: raw.first_start,
        loss_counted: raw.loss_counted.unwrap_or(true),
        data_dir: raw.data_directory.map(PathBuf::from),
        listen,
        limits,
        tolerated: Tolerated {
            machines: ck.num(&raw.tolerated_losses, "toleratedLosses", "machines", 1.0)? as u32,
            zones: ck.num(&raw.tolerated_losses, "toleratedLosses", "zones", 0.0)? as u32,
            regions: ck.num(&raw.tolerated_losses, "toleratedLosses", "regions", 0.0)? as u32,
        },
        bounds,
        cloud: raw.cloud_api.map(|c| check_cloud(&ck, c)).transpose()?,
        dispatcher: check_dispatcher(&ck, &raw.dispatcher)?,
    })
}

fn check_dispatcher(
    ck: &Checker<'_>,
    raw: &BTreeMap<String, toml::Value>,
) -> NodeResult<DispatcherSettings> {
    let def = DispatcherSettings::default();
    let count = |key: &str, def: u32| -> NodeResult<u32> {
        let n = ck.num(raw, "dispatcher", key, f64::from(def))?;
        match n <= 10_000.0 && n.fract() == 0.0 {
            true => Ok(n as u32),
            false => ck.fail(&format!("dispatcher.{key}"), "is not a whole number up to 10000"),
        }
    };
    let lease = ck.num(raw, "dispatcher", "leaseS", def.lease.as_secs_f64())?;
    if !(1.0..=86_400.0).contains(&lease) {
        return ck.fail("dispatcher.leaseS", "is not between 1 and 86400");
    }
    Ok(DispatcherSettings {
        attempts_per_session: count("attemptsPerLine", def.attempts_per_session)?,
        attempts_per_program: count("attemptsPerProgram", def.attempts_per_program)?,
        lease: Duration::from_secs_f64(lease),
    })
}

fn check_cloud(ck: &Checker<'_>, raw: RawCloud) -> NodeResult<CloudSettings> {
    let addr = ck.need("cloudApi.address", raw.address)?;
    Ok(CloudSettings {
        address: ck.addr("cloudApi.address", &addr)?,
        lag: Duration::from_secs_f64(raw.lag_ms.unwrap_or(1000.0).clamp(0.0, 60_000.0) / 1e3),
        rate_per_s: raw.rate_per_s.unwrap_or(10.0).clamp(0.1, 1e6),
    })
}
