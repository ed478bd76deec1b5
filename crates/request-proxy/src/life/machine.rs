//! States of a proxy's life.
use crate::prelude::*;
use statig::prelude::Response;
use statig::Response::{Handled, Transition};

/// What happens to a proxy's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifeEvent {
    /// A snapshot confirmed by a majority is here, with a configuration in it.
    Current,
    /// The platform ends it.
    Term,
    /// The entry no longer sends new connections.
    Unlisted,
    /// All that was under way has ended.
    Done,
}

/// The machine; its states hold nothing.
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

    /// Unready, still taking what the entry sends and what can end here; each answer closes its connection.
    #[state]
    pub fn unlisting(event: &LifeEvent) -> Response<State> {
        match event {
            LifeEvent::Unlisted => Transition(State::closing()),
            LifeEvent::Done => Transition(State::ended()),
            _ => Handled,
        }
    }

    /// Idle connections are closed and what is under way is finished; what still comes is served if it can end here.
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
    /// The first state.
    pub fn first() -> Self {
        State::Starting {}
    }

    /// The state in which idle connections are closed.
    pub fn closing_now() -> Self {
        State::Closing {}
    }

    /// It has learned nothing yet.
    pub fn starting_now(&self) -> bool {
        matches!(self, State::Starting {})
    }

    /// Nothing more is taken or answered.
    pub fn ended_now(&self) -> bool {
        matches!(self, State::Ended {})
    }

    /// The entry may send new connections.
    pub fn ready(&self) -> bool {
        matches!(self, State::Serving {})
    }

    /// Requests are admitted, as far as `Admission` lets them.
    pub fn admits(&self) -> bool {
        matches!(self, State::Serving {} | State::Unlisting {} | State::Closing {})
    }

    /// Each answer closes its connection.
    pub fn leaving(&self) -> bool {
        !matches!(self, State::Starting {} | State::Serving {})
    }

    /// Connections are kept for more than what is under way.
    pub fn listens(&self) -> bool {
        !matches!(self, State::Closing {} | State::Ended {})
    }
}
