//! The platform's list of engines, page by page.
use crate::prelude::*;

#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct ListedEngine {
    pub id: String,
    pub service_name: String,
    pub address: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub slot_count: u32,
    #[serde(default)]
    pub state: String,
    #[serde(default)]
    pub cold_remaining_ms: f64,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ListPage {
    pub instances: Vec<ListedEngine>,
    #[serde(default)]
    pub next_token: Option<String>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListError {
    /// Over the platform's rate.
    Rate,
    Failed,
}

/// All pages of one zone's list; whole or not at all.
pub async fn list_zone(
    addr: SocketAddr,
    zone: &str,
    within: Duration,
) -> Result<Vec<ListedEngine>, ListError> {
    let mut out = Vec::new();
    let mut token: Option<String> = None;
    for _ in 0..200 {
        let path = match &token {
            None => format!("{}?zone={zone}", names::INSTANCES_PATH),
            Some(t) => format!("{}?zone={zone}&pageToken={t}", names::INSTANCES_PATH),
        };
        let ans =
            plain_call(addr, Method::GET, &path, within).await.map_err(|_| ListError::Failed)?;
        match ans.status {
            200 => {}
            429 => return Err(ListError::Rate),
            _ => return Err(ListError::Failed),
        }
        let page: ListPage = serde_json::from_slice(&ans.body).map_err(|_| ListError::Failed)?;
        out.extend(page.instances);
        match page.next_token {
            Some(t) if !t.is_empty() => token = Some(t),
            _ => return Ok(out),
        }
    }
    Err(ListError::Failed)
}
