//! A trial of one routing policy against another: its specification, the arm of a conversation, the
//! merging of outcomes from all nodes, and the sequential judgement. Pure: no clocks, no I/O.
pub mod arms;
pub mod outcomes;
pub mod prelude;
pub mod record;
pub mod spec;
pub mod verdict;
