//! Calls to and from the outside: names of headers, the platform's list, plain calls.
//! The OpenAPI files under `openapi/` come first; a test holds the names here against them.
pub mod names;
pub mod plain;
pub mod platform;
pub mod prelude;
pub mod report;
