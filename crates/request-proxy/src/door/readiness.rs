//! The platform's health check of this proxy.
use super::listener::{accept_failed, PEER_TIMEOUT};
use crate::prelude::*;
use std::convert::Infallible;

/// Answers `GET /readiness`: 200 while new connections are wanted, else 503.
pub async fn serve_readiness(listener: TcpListener, app: Arc<App>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            accept_failed().await;
            continue;
        };
        tune_stream(&stream, PEER_TIMEOUT);
        let app = app.clone();
        let service = hyper::service::service_fn(move |request: Request<Incoming>| {
            let answer = readiness(request.uri().path(), app.life().ready());
            async move { Ok::<_, Infallible>(answer) }
        });
        tokio::spawn(async move {
            let http = hyper::server::conn::http1::Builder::new();
            let _ = http.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn readiness(path: &str, is_ready: bool) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = match is_ready {
        _ if path != names::READINESS_PATH => StatusCode::NOT_FOUND,
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    answer
}
