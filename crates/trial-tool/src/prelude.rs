//! The one module every file of this package imports.
pub use crate::ask::ask_cells;
pub use crate::plot::draw_plot;
pub use internal_protocol::cells::{CellCall, CellReply, Outcome, TrialReport, TrialRequest};
pub use node_runtime::prelude::*;
pub use node_runtime::settings::CELL_PORT;
pub use routing_trial::prelude::{check_spec, say, Evidence, Point, TrialSpec, Verdict};
