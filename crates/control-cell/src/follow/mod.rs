//! Serves the numbered feed to agents and stores.
use crate::prelude::*;
use node_runtime::links::{frame_stream, serve_streams, Wire};

/// How long a follower may take to say what it wants.
const FIRST: Duration = Duration::from_secs(2);

/// Serves every follower that connects.
pub async fn serve_feed(listener: TcpListener, cell: CellHandle) {
    serve_streams(listener, move |s| {
        tokio::spawn(serve_one(s, cell.clone()));
    })
    .await
}

/// What a follower says first, in its time.
async fn next_message(wire: &mut Wire) -> Option<FollowMsg> {
    let frame = tokio::time::timeout(FIRST, wire.next()).await.ok()??.ok()?;
    decode(&frame)
}

async fn serve_one(s: TcpStream, cell: CellHandle) {
    let mut wire = frame_stream(s);
    let mut first = next_message(&mut wire).await;
    if let Some(FollowMsg::AskCells) = first {
        let Some(cells) = cell.cells().await else {
            return;
        };
        let answer = FeedMsg::Items(vec![Numbered { no: 0, item: cells }]);
        if wire.send(encode(&answer)).await.is_err() {
            return;
        }
        first = next_message(&mut wire).await;
    }
    let Some(FollowMsg::Follow { feed, no, topics, patches, zone_changes, holdings, .. }) = first
    else {
        return;
    };
    // What follows is only sent once a majority has confirmed that this cell is not cut off.
    let request = FeedRequest { topics, patches, zone_changes };
    let from = FollowFrom { feed, no, request, holdings: holdings.unwrap_or_default() };
    let Some(OpenedFeed { mut items, feed: opened }) = cell.follow(from).await else {
        return;
    };
    if wire.send(encode(&FeedMsg::Open { feed: opened })).await.is_err() {
        return;
    }
    loop {
        tokio::select! {
            got = items.recv() => match got {
                Some(frame) => {
                    if wire.send(frame).await.is_err() {
                        return;
                    }
                }
                None => return,
            },
            got = wire.next() => match got {
                Some(Ok(b)) => {
                    match decode(&b) {
                        Some(FollowMsg::Announce { status }) => cell.announce(status),
                        Some(FollowMsg::Outcomes { reports }) => cell.outcomes(reports),
                        _ => {}
                    }
                }
                _ => return,
            },
        }
    }
}
