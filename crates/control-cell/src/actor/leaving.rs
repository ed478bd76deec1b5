//! How a cell ends in order: it says so until its place is taken, and votes on until then. A planned step
//! leaves no voter behind that is gone.
use super::run::{Actor, Ending};
use crate::prelude::*;

impl Actor {
    pub(super) fn leave(&mut self, done: oneshot::Sender<()>) -> bool {
        let now = Instant::now();
        let bounds = MembershipBounds::from_settings(&self.settings.now().bounds);
        self.ending = Some(Ending { at: now + bounds.leave_within, done });
        self.duties(now)
    }

    /// Tells the leader with each of this cell's duties that it ends: a leader may change, and a message
    /// may be lost.
    pub(super) fn announce_leaving(&mut self) {
        let leader = self.leader_addr().filter(|_| self.ending.is_some());
        let Some(leader) = leader else { return };
        let id = self.driver.me.id;
        let caller = self.links.caller(&leader);
        let queue = self.queue.clone();
        tokio::spawn(async move {
            let call = CellCall::Leave { id };
            if let Ok(CellReply::Done) = caller.call::<_, CellReply>(&call, DUTY_EVERY * 2).await {
                let _ = queue.send(CellCommand::Replaced).await;
            }
        });
    }

    /// A leader that ends, or whose loss doesn't count while another voter's does, hands its lead over once
    /// nothing else is due, to one that stays. False when the disk failed.
    pub(super) fn hand_over(&mut self) -> bool {
        let node = &self.driver.node;
        let membership = node.log.membership();
        let gives_way = !self.driver.me.loss_counted && membership.has_counted_voter();
        if !(gives_way || self.ending.is_some()) || node.commit < node.log.last() {
            return true;
        }
        let mut leaving = self.members.leaving();
        if gives_way {
            let uncounted = membership.voters.iter().filter(|m| !m.loss_counted);
            leaving.extend(uncounted.map(|m| m.id));
        }
        self.agree_on(Event::HandOver { leaving })
    }

    /// Whether it is agreed on that this cell has no vote.
    pub(super) fn has_lost_its_vote(&self, id: u64) -> bool {
        let node = &self.driver.node;
        node.membership_agreed() && !node.log.membership().is_voter(id)
    }

    /// This cell's place is taken: it may end.
    pub(super) fn replaced(&mut self) {
        if let Some(ending) = self.ending.take() {
            ending.end();
        }
    }
}
