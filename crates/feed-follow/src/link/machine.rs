//! The states of a follower's link, as a statig machine.
use crate::prelude::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedEvent {
    Try,
    Linked,
    Current,
    Lost,
}

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
