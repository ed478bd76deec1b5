//! The one module every file of this package imports.
pub use crate::names;
pub use crate::plain::{plain_call, PlainAnswer, PlainError};
pub use crate::platform::{list_zone, ListError, ListPage, ListedEngine};
pub use crate::report::{ask_report, Report};
pub use http_body_util::{BodyExt, Full, Limited};
pub use hyper::body::Incoming;
pub use hyper::{Method, Request, Response, StatusCode};
pub use hyper_util::rt::TokioIo;
pub use node_runtime::prelude::*;
