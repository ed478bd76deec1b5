//! Whether an engine is used, is out, or is on its way back.
use crate::prelude::*;
use statig::prelude::Response;
use statig::Response::{Handled, Transition};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandingEvent {
    /// It stands out from its peers, or failed a probe.
    Eject,
    /// A request goes there.
    Probe,
    /// A request there went well.
    Passed,
    /// A new life at an address whose lives end again and again.
    Caution,
    /// Too few others are left.
    Restore,
}

#[derive(Default)]
pub struct Standing;

/// At each stage of its return an engine may have twice as many requests under way.
pub const LAST_STAGE: u32 = 3;

#[state_machine(initial = "State::healthy()", state(derive(Debug, Clone, PartialEq, Eq)))]
impl Standing {
    #[state]
    pub fn healthy(event: &StandingEvent) -> Response<State> {
        match event {
            StandingEvent::Eject => Transition(State::ejected()),
            StandingEvent::Caution => Transition(State::returning(0)),
            _ => Handled,
        }
    }

    /// Gets nothing until its time is over.
    #[state]
    pub fn ejected(event: &StandingEvent) -> Response<State> {
        match event {
            StandingEvent::Probe => Transition(State::returning(0)),
            StandingEvent::Restore => Transition(State::healthy()),
            _ => Handled,
        }
    }

    #[state]
    pub fn returning(stage: &u32, event: &StandingEvent) -> Response<State> {
        match event {
            StandingEvent::Passed if stage + 1 >= LAST_STAGE => Transition(State::healthy()),
            StandingEvent::Passed => Transition(State::returning(stage + 1)),
            StandingEvent::Eject => Transition(State::ejected()),
            StandingEvent::Restore => Transition(State::healthy()),
            _ => Handled,
        }
    }
}

pub use State as StandingState;
