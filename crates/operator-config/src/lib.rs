//! The operator's configuration: read and checked by hand, and the table of routes made of it.
pub mod check;
pub mod prelude;
pub mod routes;
