//! The one module every file of this package imports.
pub use node_base::prelude::*;
pub use serde_bytes::ByteBuf;
