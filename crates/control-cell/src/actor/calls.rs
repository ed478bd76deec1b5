//! Calls of other cells and of the operator's tasks.
use super::reads::within_call;
use super::run::{Actor, Order, Reader};
use crate::prelude::*;

impl Actor {
    pub fn called(&mut self, call: CellCall, waiting: Waiting<CellReply>) -> bool {
        if waiting.is_gone() {
            return true;
        }
        let leads = self.driver.leads();
        match call {
            CellCall::Propose { change } if leads => {
                // One that comes again or lost its race is not written once more.
                return match self.orders.state().decided(&change) {
                    None => self.change(&change, Some(Order::Plain(waiting))),
                    Some(_) => self.confirm_for(Reader::Order { change, waiting }),
                };
            }
            CellCall::Retire { store, query_only } if leads => {
                return self.confirm_for(Reader::Retire { store, query_only, waiting });
            }
            CellCall::Trial { ask } if leads => {
                return self.confirm_for(Reader::Trial { ask, waiting });
            }
            CellCall::ReadIndex if leads => return self.confirm_for(Reader::Index(waiting)),
            CellCall::Join { member, read_at } if leads => {
                self.members.joins(JoinRequest { member, read_at });
                waiting.answer(CellReply::Done);
            }
            CellCall::Announce { status } if leads => {
                self.stores.announced(status);
                waiting.answer(CellReply::Done);
            }
            CellCall::Propose { .. }
            | CellCall::Retire { .. }
            | CellCall::Trial { .. }
            | CellCall::ReadIndex
            | CellCall::Join { .. } => self.forward(call, waiting),
            CellCall::Announce { .. } | CellCall::Within { .. } => {
                waiting.answer(CellReply::Unable);
            }
            CellCall::Leave { id } => {
                self.members.leaves(id);
                waiting.answer(match self.driver.leads() && self.has_lost_its_vote(id) {
                    true => CellReply::Done,
                    false => CellReply::Unable,
                });
            }
            CellCall::Status => waiting.answer(CellReply::Status(Box::new(self.status()))),
            CellCall::Outcomes { reports } => {
                self.trial.keep(self.orders.state(), reports);
                waiting.answer(CellReply::Done);
            }
            CellCall::TableChange { change } => waiting.answer(self.take_zone_change(change)),
            CellCall::Agree { .. } | CellCall::Table { .. } => waiting.answer(CellReply::Done),
        }
        true
    }

    /// Hands a call to the leader, for as long as its caller waits.
    fn forward(&mut self, call: CellCall, mut waiting: Waiting<CellReply>) {
        let Some(addr) = self.leader_addr() else {
            waiting.answer(CellReply::Unable);
            return;
        };
        let c = self.links.caller(&addr);
        tokio::spawn(async move {
            let within = waiting.remaining();
            let call = within_call(within, call);
            tokio::select! {
                r = c.call::<_, CellReply>(&call, within) => {
                    waiting.answer(r.unwrap_or(CellReply::Unable));
                }
                _ = waiting.gone() => {}
            }
        });
    }

    pub fn leader_addr(&self) -> Option<String> {
        let id = self.driver.node.leader.filter(|id| *id != self.driver.me.id)?;
        self.driver.member_addr(id).or_else(|| self.links.addr_of(id))
    }
}
