//! Questions that are answered from the agreed state: each once a majority has confirmed, after the question
//! came, that this cell is current.
use super::run::{Actor, Order, Reader};
use super::stores::{retire_step, RetireStep};
use super::trial::TrialStep;
use crate::prelude::*;

impl Actor {
    /// Asks a majority whether this cell's view is current.
    pub fn confirm_for(&mut self, reader: Reader) -> bool {
        if self.driver.leads() {
            let token = self.orders.read(reader);
            return self.agree_on(Event::Confirm { token });
        }
        let Some(addr) = self.leader_addr() else {
            reader.refuse();
            return true;
        };
        let within = reader.remaining();
        let token = self.orders.read(reader);
        let c = self.links.caller(&addr);
        let q = self.queue.clone();
        tokio::spawn(async move {
            let call = within_call(within, CellCall::ReadIndex);
            let index = match c.call::<_, CellReply>(&call, within).await {
                Ok(CellReply::Index(i)) => Some(i),
                _ => None,
            };
            let _ = q.send(CellCommand::ForwardConfirmed { token, index }).await;
        });
        true
    }

    /// Serves a read whose index is applied and was confirmed after the read began.
    pub(super) fn serve_reader(&mut self, reader: Reader, index: u64) {
        match reader {
            Reader::Config(w) => {
                let config = self.orders.state().config.as_ref();
                let body = config.map(|c| Bytes::from(c.body.to_vec()));
                w.answer(Some(body));
            }
            Reader::Follow(from, w) => {
                let opened = self.open_feed(from);
                w.answer(Some(opened));
            }
            Reader::Index(w) => w.answer(CellReply::Index(index)),
            Reader::Order { change, waiting } => match self.orders.state().decided(&change) {
                Some(outcome) => waiting.answer(CellReply::Outcome(outcome)),
                None => drop(self.change(&change, Some(Order::Plain(waiting)))),
            },
            Reader::Retire { store, query_only, waiting } => {
                self.retire(&store, query_only, waiting)
            }
            Reader::Trial { ask, waiting } => self.asked_of_trial(ask, waiting),
        }
    }

    fn retire(&mut self, store: &str, query_only: bool, waiting: Waiting<CellReply>) {
        match retire_step(&self.orders.state().stores, store, query_only) {
            RetireStep::Answer(state) => waiting.answer(CellReply::Retire(state)),
            RetireStep::Propose(change) => {
                self.change(&change, Some(Order::Retire(waiting)));
            }
        }
    }

    fn asked_of_trial(&mut self, ask: TrialRequest, waiting: Waiting<CellReply>) {
        match self.trial.step(self.orders.state(), ask) {
            TrialStep::Answer(answer) => waiting.answer(answer),
            TrialStep::Propose(change) => {
                self.change(&change, Some(Order::Plain(waiting)));
            }
        }
    }
}

/// A call to be answered while its caller waits.
pub(super) fn within_call(within: Duration, call: CellCall) -> CellCall {
    CellCall::Within { ms: within.as_millis() as u64, call: Box::new(call) }
}
