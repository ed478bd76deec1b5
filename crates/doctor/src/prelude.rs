//! The one module every file of this package imports.
pub use crate::facts::{gather, CellFact, DiskFact, Facts, StoreAnswer, StoreFact};
pub use crate::findings::{find_faults, Finding};
pub use external_api::prelude::{list_zone, ListError};
pub use internal_protocol::cells::{CellCall, CellReply, CellStatus, StoreSummary, ZoneSummary};
pub use internal_protocol::prelude::*;
pub use internal_protocol::stores::{StoreCall, StoreReply, StoreState};
pub use node_runtime::disk::verify_segments;
pub use node_runtime::settings::{CELL_PORT, STORE_PORT};
