//! Turns: opened and closed at the stores.
mod bank;
mod cache;
mod open;

pub use bank::{OpenAsk, TurnBank, TurnClose};
pub use cache::ChainCache;
pub use open::{OpenFault, OpenLedger, OpenStep, Opened};
