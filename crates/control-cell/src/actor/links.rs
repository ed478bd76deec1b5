//! Connections to the other cells, and the address each sent from.
use crate::prelude::*;

#[derive(Default)]
pub(super) struct CellLinks {
    callers: HashMap<String, Caller>,
    /// Addresses that sent agreement messages, by member.
    addrs: HashMap<u64, String>,
}

impl CellLinks {
    pub fn received_from(&mut self, id: u64, addr: String) {
        self.addrs.insert(id, addr);
    }

    pub fn addr_of(&self, id: u64) -> Option<String> {
        self.addrs.get(&id).cloned()
    }

    pub fn caller(&mut self, addr: &str) -> Caller {
        self.callers
            .entry(addr.to_string())
            .or_insert_with(|| Caller::new(addr.to_string()))
            .clone()
    }
}
