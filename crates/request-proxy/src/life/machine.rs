//! States of a proxy's life.
use crate::prelude::*;
use statig::prelude::Response;
use statig::Response::{Handled, Transition};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifeEvent {
    /// A snapshot confirmed by a majority is here, with a configuration in it.
    Current,
    Term,
    /// The entry no longer sends new connections.
    Unlisted,
    Done,
}

#[derive(Default)]
pub struct Life;

#[state_machine(initial = "State::starting()", state(derive(Debug, Clone, PartialEq, Eq)))]
impl Life {
    /// Serves nothing: what it knows may be old.
    #[state]
    pub fn starting(event: &LifeEvent) -> Response<State> {
        match event {
            LifeEvent::Current => Transition(State::serving()),
            LifeEvent::Term | LifeEvent::Done => Transition(State::closing()),
            LifeEvent::Unlisted => Handled,
        }
    }

    #[state]
    pub fn serving(event: &LifeEvent) -> Response<State> {
        match event {
            LifeEvent::Term => Transition(State::unlisting()),
            _ => Handled,
        }
    }

    /// Unready, still taking what the entry sends; each answer closes its connection.
    #[state]
    pub fn unlisting(event: &LifeEvent) -> Response<State> {
        match event {
            LifeEvent::Unlisted => Transition(State::closing()),
            LifeEvent::Done => Transition(State::ended()),
            _ => Handled,
        }
    }

    /// Idle connections are closed and what is under way is finished; what still comes is served.
    #[state]
    pub fn closing(event: &LifeEvent) -> Response<State> {
        match event {
            LifeEvent::Done => Transition(State::ended()),
            _ => Handled,
        }
    }

    #[state]
    pub fn ended() -> Response<State> {
        Handled
    }
}

pub use State as LifeState;

impl LifeState {
    pub fn first() -> Self {
        State::Starting {}
    }

    pub fn closing_now() -> Self {
        State::Closing {}
    }

    pub fn ready(&self) -> bool {
        matches!(self, State::Serving {})
    }

    /// Requests may be taken.
    pub fn takes(&self) -> bool {
        matches!(self, State::Serving {} | State::Unlisting {} | State::Closing {})
    }

    pub fn leaving(&self) -> bool {
        !matches!(self, State::Starting {} | State::Serving {})
    }

    /// Connections are kept for more than what is under way.
    pub fn listens(&self) -> bool {
        !matches!(self, State::Closing {} | State::Ended {})
    }
}
