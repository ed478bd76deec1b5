//! The one module every file of this package imports.
pub use crate::client::{call, raw, Answered};
pub use crate::engine::{answer, success, Engine, Mood, Ran, ScriptedEngine, Seen, Step};
pub use crate::machines::{Machine, Network};
pub use crate::platform::serve_platform;
pub use external_api::names;
pub use http_body_util::{BodyExt, Full, StreamBody};
pub use hyper::body::{Frame, Incoming};
pub use hyper::{Method, Request, Response, StatusCode};
pub use hyper_util::rt::TokioIo;
pub use node_runtime::prelude::*;
pub use std::convert::Infallible;
