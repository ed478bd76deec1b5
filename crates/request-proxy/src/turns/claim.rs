//! Attempts that this node holds, and claims on their way.
use super::bank::TurnBank;
use crate::prelude::*;

/// An attempt that this node holds.
#[derive(Debug, Clone)]
pub struct Claim {
    pub program: String,
    pub req: u64,
    pub epoch: Epoch,
    /// The marker of the newest send.
    pub call: Option<Call>,
}

impl Claim {
    /// The terminal result. `stopped`: the execution was seen to stop, or nothing was sent.
    pub fn settle(&self, tokens: u32, stopped: bool) -> LedgerWrite {
        let call = self.call.clone().filter(|_| !stopped);
        LedgerWrite::Settle { req: self.req, epoch: Some(self.epoch), tokens, stopped, call }
    }
}

/// A claim on its way to a majority. It is settled at nothing unless it is granted: when the claim fails,
/// and when the client goes away while it is being made. Nothing was sent under it.
pub(super) struct Claiming {
    pub(super) bank: Arc<TurnBank>,
    pub(super) claim: Option<Claim>,
}

impl Claiming {
    pub(super) fn granted(mut self) -> Option<Claim> {
        self.claim.take()
    }
}

impl Drop for Claiming {
    fn drop(&mut self) {
        if let Some(c) = self.claim.take() {
            self.bank.settle(&c, 0, true);
        }
    }
}
