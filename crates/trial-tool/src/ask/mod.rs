//! Asking the cells.
use crate::prelude::*;

const WITHIN: Duration = Duration::from_secs(3);

/// Asks the cells that the settings name, one after the other, until one can answer. A cell that was
/// reached and then fell silent may have done what was asked, so a start or a stop isn't asked again.
pub async fn ask_cells(settings: &NodeSettings, ask: TrialRequest) -> NodeResult<CellReply> {
    let reads = matches!(ask, TrialRequest::Report);
    let call = CellCall::Trial { ask };
    for seed in &settings.seeds {
        let addr = settings.inner_addr(&seed.ip().to_string(), CELL_PORT);
        match Caller::new(addr.clone()).call::<_, CellReply>(&call, WITHIN).await {
            Ok(CellReply::Unable) | Err(LinkError::Unreached) => {}
            Ok(r) => return Ok(r),
            Err(_) if reads => {}
            Err(e) => {
                let reason = format!("{addr}: {e}; see `trial verdict` for whether it was done");
                return Err(NodeError::Other { reason });
            }
        }
    }
    Err(NodeError::Other { reason: "no cell could answer".into() })
}
