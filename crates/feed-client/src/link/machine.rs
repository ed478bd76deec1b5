//! The states of a follower's link, as a statig machine.
use crate::prelude::*;

/// What happens to a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedEvent {
    /// A cell is about to be called.
    Try,
    /// The connection stands.
    Linked,
    /// The cell says that a majority has confirmed what it sent.
    Current,
    /// The connection has ended.
    Lost,
}

/// The machine of one follower's link.
#[derive(Default)]
pub struct Feed;

#[state_machine(initial = "State::seeking()", state(derive(Debug, Clone, PartialEq, Eq)))]
impl Feed {
    #[state]
    fn seeking(event: &FeedEvent) -> Response<State> {
        match event {
            FeedEvent::Linked => Transition(State::opening()),
            _ => Handled,
        }
    }

    /// Linked; nothing has been confirmed by a majority yet.
    #[state]
    fn opening(event: &FeedEvent) -> Response<State> {
        match event {
            FeedEvent::Current => Transition(State::following()),
            FeedEvent::Lost => Transition(State::seeking()),
            _ => Handled,
        }
    }

    #[state]
    fn following(event: &FeedEvent) -> Response<State> {
        match event {
            FeedEvent::Lost => Transition(State::seeking()),
            _ => Handled,
        }
    }
}

pub use State as FeedState;
