//! Turns: opened and closed at the stores.
mod bank;
mod open;

pub use bank::{OpenAsk, TurnBank, TurnClose};
pub use open::{OpenFault, OpenLedger, Opened};
