//! What the facts come to.
use crate::prelude::*;

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    pub place: String,
    pub fault: String,
    pub remedy: String,
}

const CLOCK: Duration = Duration::from_secs(5);

pub fn find_faults(settings: &NodeSettings, f: &Facts) -> Vec<Finding> {
    let mut out = Vec::new();
    let mut say = |place: &str, fault: String, remedy: &str| {
        out.push(Finding { place: place.into(), fault, remedy: remedy.into() });
    };
    let status: Vec<&CellStatus> = f.cells.iter().filter_map(|c| c.status.as_ref()).collect();
    for c in &f.cells {
        match &c.status {
            None => say(
                &c.addr,
                "no cell answers".into(),
                "see whether control-cell runs there and whether the link and port are open",
            ),
            Some(_) if c.clock_off > CLOCK => say(
                &c.addr,
                format!("its time of day is {:.1} s off from here", c.clock_off.as_secs_f64()),
                "set the clocks; only logs suffer, nothing is decided by the time of day",
            ),
            Some(_) => {}
        }
    }
    if status.is_empty() {
        return out;
    }
    let newest = status.iter().map(|t| t.applied).max().unwrap_or(0);
    let version = status.iter().map(|t| t.config_version).max().unwrap_or(0);
    let leaders: BTreeSet<&str> = status.iter().filter_map(|t| t.leader.as_deref()).collect();
    match leaders.len() {
        0 => say(
            "core",
            "no cell knows a leader".into(),
            "bring back cells until more than half of the members run and reach each other",
        ),
        1 => {}
        _ => say(
            "core",
            format!("cells name several leaders: {leaders:?}"),
            "ask again in a second; if it stays so, look for a cut between the cells",
        ),
    }
    for t in &status {
        if t.config_version < version {
            say(
                &t.name,
                format!("is at configuration {} of {version}", t.config_version),
                "ask again in a second; if it stays so, look for a cut around this cell",
            );
        } else if t.applied + 50 < newest {
            say(
                &t.name,
                format!("has applied {} of {newest} entries", t.applied),
                "see its disk and link",
            );
        }
    }
    if version == 0 {
        say("core", "no configuration was taken yet".into(), "PUT /config with If-Match: 0");
    }
    let best = status.iter().max_by_key(|t| t.applied);
    if let Some(t) = best {
        if t.members.len() < 3 {
            say(
                "core",
                format!("has {} members", t.members.len()),
                "with fewer than three the loss of one stops every change; add core machines",
            );
        }
        for (zone, holder, engines) in &t.zones {
            if holder.is_none() {
                say(zone, "no living cell holds this zone".into(), "see that a leader is there");
            }
            if let Some(Some(listed)) = f.listed.get(zone) {
                if listed.abs_diff(*engines) > 0 {
                    say(
                        zone,
                        format!("{engines} engines are known and {listed} are listed"),
                        "right after a change ask again; else see the holder's way to the platform",
                    );
                }
            }
        }
    }
    for (zone, n) in &f.listed {
        if n.is_none() {
            say(
                zone,
                "the platform's list can't be read".into(),
                "see cloudApi.address and its rate",
            );
        }
    }
    let set = f.stores.iter().filter_map(|s| s.status).map(|(version, _, _)| version).max();
    let counted = f.stores.iter().filter(|s| s.state == "Placed").count();
    if counted < 3 && !f.stores.is_empty() {
        say(
            "stores",
            format!("{counted} stores are placed"),
            "with fewer than three the loss of one stops turns; add storage machines",
        );
    }
    for s in &f.stores {
        match s.status {
            None => say(
                &s.name,
                format!("the store at {} doesn't answer", s.addr),
                "see whether turn-store runs there; the others go on, and fill the one that replaces it",
            ),
            Some((_, true, _)) => say(
                &s.name,
                "lost its disk and is being filled".into(),
                "wait until it counts; don't take another store away before",
            ),
            Some((n, _, _)) if Some(n) < set => say(
                &s.name,
                format!("works under store set {n}"),
                "ask again in a second; else see its link to the cells",
            ),
            Some(_) => {}
        }
        if s.beyond_proof {
            say(
                &s.name,
                "can't prove the history of all its programs: more stores were lost than may be".into(),
                "bring back a lost store with its disk; until then such programs get 503, and never a false 404",
            );
        }
        if s.state == "Leaving" {
            say(
                &s.name,
                "is being emptied".into(),
                "GET /retire/NODE tells when it may be taken away",
            );
        }
    }
    if let Some(d) = &f.disk {
        for x in &d.damage {
            say(
                &d.dir,
                x.clone(),
                "stop the process and give it an empty disk: it fills itself from the others",
            );
        }
        if d.limit > 0 && d.used * 10 > d.limit * 8 {
            say(
                &d.dir,
                format!("{} of {} MB are used", d.used >> 20, d.limit >> 20),
                "look for what else lies in the folder; old segments go by themselves",
            );
        }
    }
    if settings.limits.descriptors > 0 && settings.limits.descriptors < 600 {
        say(&settings.node_name, "few descriptors are allowed".into(), "allow 600 or more");
    }
    out
}
