//! An engine's own report; priced as a probe, so asked for sparingly.
use crate::prelude::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Report {
    #[serde(default)]
    pub waiting: u32,
    #[serde(default)]
    pub running: u32,
    /// What can't give way.
    #[serde(default)]
    pub cache_used: u64,
    #[serde(default)]
    pub cache_total: u64,
}

pub async fn ask_report(addr: SocketAddr, within: Duration) -> Option<Report> {
    let a = plain_call(addr, Method::GET, names::REPORT_PATH, within).await.ok()?;
    (a.status == 200).then(|| serde_json::from_slice(&a.body).ok()).flatten()
}
