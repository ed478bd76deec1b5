//! Serves the view to the proxy on the same machine.
use crate::prelude::*;
use node_runtime::links::{frame_stream, serve_streams};

/// Feeds every proxy that connects, and gives on what it reports.
pub async fn serve_proxy(
    listener: TcpListener,
    open: mpsc::Sender<Opened>,
    reports: mpsc::Sender<NodeReport>,
) {
    serve_streams(listener, move |s| {
        tokio::spawn(serve_one(s, open.clone(), reports.clone()));
    })
    .await
}

async fn serve_one(
    s: TcpStream,
    open: mpsc::Sender<Opened>,
    reports: mpsc::Sender<NodeReport>,
) -> Option<()> {
    let mut wire = frame_stream(s);
    let first = wire.next().await?.ok()?;
    let FollowMsg::Follow { .. } = decode::<FollowMsg>(&first)? else {
        return None;
    };
    let (tx, rx) = oneshot::channel();
    open.send(tx).await.ok()?;
    let (mut items, feed) = rx.await.ok()?;
    wire.send(encode(&FeedMsg::Open { feed })).await.ok()?;
    loop {
        tokio::select! {
            got = items.recv() => wire.send(encode(&FeedMsg::Items(got?))).await.ok()?,
            got = wire.next() => {
                if let Some(FollowMsg::Outcomes { reports: counted }) = decode(&got?.ok()?) {
                    for r in counted {
                        reports.send(r).await.ok()?;
                    }
                }
            }
        }
    }
}
