//! Following the cells' feed: what is known (a pure view) and the link that brings it.
#![deny(missing_docs)]

pub mod base;
pub mod link;
pub mod prelude;
pub mod rank;
pub mod seeds;
pub mod view;
