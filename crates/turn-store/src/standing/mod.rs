//! Whether this store counts, as a statig machine.
use crate::prelude::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandingEvent {
    /// The newest set names this store so, or not at all.
    Named(Option<StoreState>),
}

#[derive(Default)]
pub struct Standing;

/// Invariant: a store that lost its disk answers nothing about what it holds until a set names it
/// ready; one with its disk counts from its start, since all it ever acknowledged is there.
#[state_machine(initial = "State::whole()", state(derive(Debug, Clone, PartialEq, Eq)))]
impl Standing {
    /// It has its disk, and no set was heard yet since the start.
    #[state]
    fn whole(event: &StandingEvent) -> Response<State> {
        after(event)
    }

    /// Its disk was empty, or the set left it out: it must be filled first.
    #[state]
    fn outside(event: &StandingEvent) -> Response<State> {
        after(event)
    }

    #[state]
    fn filling(event: &StandingEvent) -> Response<State> {
        after(event)
    }

    #[state]
    fn counted(event: &StandingEvent) -> Response<State> {
        after(event)
    }

    #[state]
    fn leaving(event: &StandingEvent) -> Response<State> {
        after(event)
    }
}

fn after(event: &StandingEvent) -> Response<State> {
    let StandingEvent::Named(state) = event;
    Transition(match state {
        None => State::outside(),
        Some(StoreState::Copying) => State::filling(),
        Some(StoreState::Ready) => State::counted(),
        Some(StoreState::Leaving) => State::leaving(),
    })
}

pub use State as StandingState;

impl StandingState {
    /// Its word about what it holds counts.
    pub fn sure(&self) -> bool {
        matches!(self, State::Whole {} | State::Counted {} | State::Leaving {})
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_store_left_out_is_not_sure_until_it_is_ready_again() {
        let mut m = Standing.uninitialized_state_machine().init();
        assert!(m.state().sure());
        let steps = [
            (Some(StoreState::Ready), true),
            (None, false),
            (Some(StoreState::Copying), false),
            (Some(StoreState::Ready), true),
            (Some(StoreState::Leaving), true),
            (None, false),
        ];
        for (name, sure) in steps {
            m.handle(&StandingEvent::Named(name));
            assert_eq!(m.state().sure(), sure, "{name:?}");
        }
    }
}
