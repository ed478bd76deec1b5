//! Which role a cell may go to from which, as a statig machine.
#![allow(missing_docs, reason = "the derived state enum takes no doc comments")]
use crate::prelude::*;

/// What moves a cell from role to role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleEvent {
    /// Nothing was heard from a leader for long.
    Silence,
    /// A majority would vote for this cell.
    PreVotesWon,
    /// A majority did.
    VotesWon,
    /// A newer term, a leader of this term, or too few followers.
    Yield,
    /// The leader names this cell its successor.
    Named,
}

/// The machine's context, which holds nothing.
#[derive(Default)]
pub struct Role;

#[state_machine(initial = "State::follower()", state(derive(Debug, Clone, PartialEq, Eq)))]
impl Role {
    #[state]
    fn follower(event: &RoleEvent) -> Response<State> {
        match event {
            RoleEvent::Silence => Transition(State::asking()),
            RoleEvent::Named => Transition(State::candidate()),
            _ => Handled,
        }
    }

    /// Asks whether an election could be won, without a new term.
    #[state]
    fn asking(event: &RoleEvent) -> Response<State> {
        match event {
            RoleEvent::PreVotesWon | RoleEvent::Named => Transition(State::candidate()),
            RoleEvent::Yield => Transition(State::follower()),
            _ => Handled,
        }
    }

    #[state]
    fn candidate(event: &RoleEvent) -> Response<State> {
        match event {
            RoleEvent::VotesWon => Transition(State::leader()),
            RoleEvent::Silence => Transition(State::asking()),
            RoleEvent::Yield => Transition(State::follower()),
            _ => Handled,
        }
    }

    #[state]
    fn leader(event: &RoleEvent) -> Response<State> {
        match event {
            RoleEvent::Yield => Transition(State::follower()),
            _ => Handled,
        }
    }
}

pub use State as RoleState;
