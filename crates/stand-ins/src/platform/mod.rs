//! The platform's list.
use crate::prelude::*;

/// Serves the list: (service, engine id, address, zone, state).
pub type Listed = Arc<Mutex<Vec<(String, String, String, String, String)>>>;

pub async fn serve_platform(addr: &str, list: Listed) -> std::io::Result<SocketAddr> {
    let l = TcpListener::bind(addr).await?;
    let at = l.local_addr()?;
    tokio::spawn(async move {
        while let Ok((s, _)) = l.accept().await {
            let list = list.clone();
            tokio::spawn(async move {
                let svc = hyper::service::service_fn(move |r: Request<Incoming>| {
                    let body = page(&list, r.uri().query().unwrap_or(""));
                    async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(body)))) }
                });
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(s), svc)
                    .await;
            });
        }
    });
    Ok(at)
}

/// Pages of two, so that following them is tested as well.
fn page(list: &Listed, query: &str) -> String {
    let get = |k: &str| query.split('&').find_map(|p| p.strip_prefix(k)).unwrap_or("");
    let (zone, from) = (get("zone="), get("pageToken=").parse::<usize>().unwrap_or(0));
    let all: Vec<serde_json::Value> = match list.lock() {
        Ok(l) => l
            .iter()
            .filter(|e| zone.is_empty() || e.3 == zone)
            .map(|(service, id, addr, zone, state)| {
                serde_json::json!({"id": id, "serviceName": service, "address": addr,
                    "zone": zone, "configVersion": "v1", "slotCount": 4, "state": state,
                    "coldRemainingMs": 0})
            })
            .collect(),
        Err(_) => Vec::new(),
    };
    let next = (all.len() > from + 2).then(|| (from + 2).to_string());
    let some: Vec<_> = all.into_iter().skip(from).take(2).collect();
    serde_json::json!({"instances": some, "nextToken": next}).to_string()
}
