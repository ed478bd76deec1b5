//! A cell's status, for those who look after it.
use super::run::Actor;
use crate::prelude::*;
use internal_protocol::cells::{StoreSummary, ZoneSummary};

impl Actor {
    /// This cell's own view; it needs no majority.
    pub fn status(&self) -> CellStatus {
        let node = &self.driver.node;
        let members = self.driver.members();
        let name = |id: &u64| {
            let m = members.iter().find(|m| m.id == *id);
            m.map(|m| if m.name.is_empty() { m.addr.clone() } else { m.name.clone() })
        };
        CellStatus {
            name: self.driver.me.name.clone(),
            term: node.hard.term,
            leader: node.leader.as_ref().and_then(name),
            cells: members.iter().map(|m| m.addr.clone()).collect(),
            unix_ms: std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as u64),
            commit: node.commit,
            applied: node.applied,
            config_version: self.orders.state().config_version(),
            members: members.iter().filter_map(|m| name(&m.id)).collect(),
            voters: node.log.membership().voters.iter().filter_map(|m| name(&m.id)).collect(),
            voters_agreed: !node.log.membership().is_joint() && node.membership_agreed(),
            stores: self
                .orders
                .state()
                .stores
                .stores
                .iter()
                .map(|s| StoreSummary {
                    name: s.name.clone(),
                    state: s.state,
                    addr: s.addr.clone(),
                })
                .collect(),
            zones: self
                .orders
                .state()
                .holders
                .iter()
                .map(|(zone, id)| ZoneSummary {
                    zone: zone.clone(),
                    holder: name(id),
                    engines: self.zones.engine_count(zone),
                })
                .collect(),
        }
    }
}
