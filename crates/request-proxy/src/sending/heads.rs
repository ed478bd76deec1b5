//! Heads on their way to an engine and back.
use crate::prelude::*;

/// Headers that concern one connection only.
const ONE_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

fn one_hop(name: &str, named: &[String]) -> bool {
    ONE_HOP.contains(&name) || named.iter().any(|n| n == name)
}

fn named_by_connection(h: &HeaderMap) -> Vec<String> {
    h.get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|s| s.trim().to_ascii_lowercase())
        .filter(|s| !s.is_empty())
        .collect()
}

/// The request as the engine gets it: method, path, query and body unchanged.
pub fn engine_request(
    parts: &RequestParts,
    body: &Bytes,
    instance: &str,
    left: Duration,
    urgency: u8,
) -> Option<Request<Full<Bytes>>> {
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let mut r = Request::builder()
        .method(parts.method.clone())
        .uri(path)
        .body(Full::new(body.clone()))
        .ok()?;
    let named = named_by_connection(&parts.headers);
    let h = r.headers_mut();
    for (k, v) in &parts.headers {
        let n = k.as_str();
        let ours = matches!(
            n,
            "content-length" | "expect" | names::DEADLINE | names::EXPECT_INSTANCE | names::URGENCY
        );
        if !ours && !one_hop(n, &named) {
            h.append(k.clone(), v.clone());
        }
    }
    if !h.contains_key("host") {
        let a = parts.uri.authority()?;
        h.insert("host", HeaderValue::from_str(a.as_str()).ok()?);
    }
    let ms = left.as_millis().max(1).to_string();
    h.insert(names::DEADLINE, HeaderValue::from_str(&ms).ok()?);
    h.insert(names::EXPECT_INSTANCE, HeaderValue::from_str(instance).ok()?);
    h.insert(names::URGENCY, HeaderValue::from(u16::from(urgency.min(9))));
    let bodiless = body.is_empty() && !parts.headers.contains_key("content-length");
    if !bodiless || parts.method == Method::POST || parts.method == Method::PUT {
        h.insert("content-length", HeaderValue::from(body.len()));
    }
    Some(r)
}

/// An engine's headers as the client gets them.
pub fn passed_on(h: &HeaderMap) -> HeaderMap {
    let named = named_by_connection(h);
    let mut out = HeaderMap::with_capacity(h.len());
    for (k, v) in h {
        let n = k.as_str();
        if n != "content-length" && n != names::LOAD && !one_hop(n, &named) {
            out.append(k.clone(), v.clone());
        }
    }
    out
}
