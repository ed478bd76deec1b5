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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn follows_only_after_a_majority_confirmed() {
        let mut f = Feed.uninitialized_state_machine().init();
        for (ev, want) in [
            (FeedEvent::Try, FeedState::seeking()),
            (FeedEvent::Current, FeedState::seeking()),
            (FeedEvent::Linked, FeedState::opening()),
            (FeedEvent::Lost, FeedState::seeking()),
            (FeedEvent::Linked, FeedState::opening()),
            (FeedEvent::Current, FeedState::following()),
            (FeedEvent::Lost, FeedState::seeking()),
        ] {
            f.handle(&ev);
            assert_eq!(*f.state(), want);
        }
    }
}
