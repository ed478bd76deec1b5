//! Calls of other cells and of the operator's tasks.
use super::run::{Actor, Reader};
use super::stores::{retire_step, RetireStep};
use super::trial::TrialStep;
use crate::prelude::*;

const FORWARD_WITHIN: Duration = Duration::from_millis(2000);

type Reply = oneshot::Sender<CellReply>;

impl Actor {
    pub fn called(&mut self, call: CellCall, reply: Reply) -> bool {
        let leads = self.driver.leads();
        match call {
            CellCall::Propose { change } if leads => return self.change(&change, Some(reply)),
            CellCall::Confirm if leads => return self.confirm_for(Reader::Index(reply)),
            CellCall::Retire { store, ask_only } if leads => {
                return self.retire(&store, ask_only, reply);
            }
            CellCall::Trial { ask } if leads => return self.asked_of_trial(ask, reply),
            CellCall::ReadIndex if leads => return self.confirm_for(Reader::Index(reply)),
            CellCall::Join { member, read_at } if leads => {
                self.members.joins(JoinRequest { member, read_at });
                let _ = reply.send(CellReply::Done);
            }
            CellCall::Announce { status } if leads => {
                self.stores.announced(status);
                let _ = reply.send(CellReply::Done);
            }
            CellCall::Propose { .. }
            | CellCall::Retire { .. }
            | CellCall::Trial { .. }
            | CellCall::ReadIndex
            | CellCall::Join { .. } => self.forward(call, reply),
            CellCall::Confirm | CellCall::Announce { .. } => {
                let _ = reply.send(CellReply::Unable);
            }
            CellCall::Leave { id } => {
                self.members.leaves(id);
                let _ = reply.send(CellReply::Done);
            }
            CellCall::Tell => {
                let _ = reply.send(CellReply::Told(self.told()));
            }
            CellCall::Outcomes { reports } => {
                self.trial.keep(&self.state, reports);
                let _ = reply.send(CellReply::Done);
            }
            CellCall::Agree { .. } | CellCall::Table { .. } => {
                let _ = reply.send(CellReply::Done);
            }
        }
        true
    }

    /// Hands a call to the leader.
    fn forward(&mut self, call: CellCall, reply: Reply) {
        let Some(addr) = self.leader_addr() else {
            let _ = reply.send(CellReply::Unable);
            return;
        };
        let c = self.links.caller(&addr);
        tokio::spawn(async move {
            let r = c.call::<_, CellReply>(&call, FORWARD_WITHIN).await;
            let _ = reply.send(r.unwrap_or(CellReply::Unable));
        });
    }

    pub fn leader_addr(&self) -> Option<String> {
        let id = self.driver.node.leader.filter(|id| *id != self.driver.me.id)?;
        self.driver.member_addr(id).or_else(|| self.links.addr_of(id))
    }

    fn retire(&mut self, store: &str, ask_only: bool, reply: Reply) -> bool {
        match retire_step(&self.state.stores, store, ask_only) {
            RetireStep::Answer(state) => {
                let _ = reply.send(CellReply::Retire(state));
                true
            }
            RetireStep::Propose(change) => {
                let (tx, rx) = oneshot::channel();
                tokio::spawn(async move {
                    let ans = match rx.await {
                        Ok(CellReply::Outcome(Outcome::Taken)) => {
                            CellReply::Retire(RetireState::Running)
                        }
                        _ => CellReply::Unable,
                    };
                    let _ = reply.send(ans);
                });
                self.change(&change, Some(tx))
            }
        }
    }

    fn asked_of_trial(&mut self, ask: TrialAsk, reply: Reply) -> bool {
        match self.trial.step(&self.state, ask) {
            TrialStep::Answer(answer) => {
                let _ = reply.send(answer);
                true
            }
            TrialStep::Propose(change) => self.change(&change, Some(reply)),
        }
    }
}
