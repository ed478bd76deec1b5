//! Stand-ins for what lies outside, met by protocol: engines, the platform's list, a client that is
//! also the operator. For tests only.
pub mod client;
pub mod engine;
pub mod machines;
pub mod platform;
pub mod prelude;
