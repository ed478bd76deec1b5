//! Turns: opened and closed at the stores.
mod attempts;
mod bank;
mod cache;
mod claim;
mod closing;
mod finding;
mod open;
mod opening;
mod store_link;

pub use bank::TurnBank;
pub use cache::ChainCache;
pub use claim::Claim;
pub use closing::TurnClose;
pub use open::{OpenFault, OpenLedger, OpenStep, Opened};
pub use opening::{ClaimAsk, OpenAsk};

use crate::prelude::*;

/// The pause before the stores are asked once more.
const AGAIN: Duration = Duration::from_millis(70);
