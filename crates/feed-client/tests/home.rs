//! A follower that starts with seeds of other zones, over loopback.
use feed_client::prelude::*;
use node_runtime::links::{frame_stream, Wire};

const SEED: &str = "127.0.0.1";
const HOME: &str = "127.0.0.2";

/// Two listeners at the same port of different addresses.
async fn listeners() -> (TcpListener, TcpListener, u16) {
    loop {
        let seed = TcpListener::bind((SEED, 0)).await.unwrap();
        let port = seed.local_addr().unwrap().port();
        // The settings name a range of ports from this one on.
        if port > 65_000 {
            continue;
        }
        if let Ok(home) = TcpListener::bind((HOME, port)).await {
            return (seed, home, port);
        }
    }
}

fn follow(port: u16, out: mpsc::Sender<FeedUpdate>) {
    let settings = FollowSettings {
        name: "front-1".into(),
        seeds: Seeds::FromSettings(seeded(port)),
        feed_port: port,
        zone: "a".into(),
        topics: Topics::All,
        silence: Duration::from_secs(5),
        connect: Duration::from_secs(5),
        repeat: Duration::from_secs(5),
    };
    let (_status, seen) = watch::channel(None::<Vec<NodeReport>>);
    tokio::spawn(follow_cells(settings, out, seen));
}

fn seeded(port: u16) -> SharedSettings {
    let text = format!(
        "nodeName = \"front-1\"\nipAddress = \"{SEED}\"\nzone = \"a\"\n\
         internalPortRange = [{port},{}]\nseedAddresses = [\"{SEED}:80\"]\n",
        port + 15
    );
    SharedSettings::from(node_runtime::settings::parse_settings("f", &text).unwrap())
}

async fn next(wire: &mut Wire) -> Option<FollowMsg> {
    decode(&wire.next().await?.ok()?)
}

async fn send_items(wire: &mut Wire, items: Vec<FeedItem>) {
    let items = items.into_iter().map(|item| Numbered { no: 1, item }).collect();
    wire.send(encode(&FeedMsg::Items(items))).await.unwrap();
}

fn cells(port: u16) -> FeedItem {
    let addrs = [SEED, HOME].map(|ip| format!("{ip}:{port}")).to_vec();
    FeedItem::Cells { index: 4, addrs, zones: vec!["b".into(), "a".into()] }
}

fn config(index: u64) -> FeedItem {
    FeedItem::Config { index, version: index, body: ByteBuf::from(b"{}".to_vec()) }
}

fn zone(seq: u64) -> ZoneTable {
    ZoneTable { zone: "a".into(), epoch: 1, seq, engines: Vec::new() }
}

#[tokio::test]
async fn the_first_snapshot_is_taken_from_the_cell_of_its_zone() {
    let (seed, home, port) = listeners().await;
    let (out, mut updates) = mpsc::channel(16);
    follow(port, out);
    let mut at_seed = frame_stream(seed.accept().await.unwrap().0);
    assert!(matches!(next(&mut at_seed).await, Some(FollowMsg::AskCells)));
    send_items(&mut at_seed, vec![cells(port)]).await;
    let mut at_home = frame_stream(home.accept().await.unwrap().0);
    let Some(FollowMsg::Follow { holdings, .. }) = next(&mut at_home).await else {
        panic!("it doesn't follow at home");
    };
    assert_eq!(holdings, None);
    // The seed was asked nothing more.
    assert!(next(&mut at_seed).await.is_none());
    at_home.send(encode(&FeedMsg::Open { feed: 7 })).await.unwrap();
    let snapshot = vec![config(3), FeedItem::Zone(zone(2)), FeedItem::Current];
    send_items(&mut at_home, snapshot.clone()).await;
    assert!(matches!(updates.recv().await, Some(FeedUpdate::Items(got)) if got == snapshot));
    // Home is lost: the next cell learns what the follower has.
    drop(at_home);
    drop(home);
    assert!(matches!(updates.recv().await, Some(FeedUpdate::Down)));
    let mut at_seed = frame_stream(seed.accept().await.unwrap().0);
    let Some(FollowMsg::Follow { holdings: Some(held), .. }) = next(&mut at_seed).await else {
        panic!("it names nothing that it has");
    };
    assert!(held.contain(&config(3)) && held.contain(&FeedItem::Zone(zone(2))));
    assert!(!held.contain(&config(4)) && !held.contain(&FeedItem::Zone(zone(3))));
}

/// Cells of the version before end a connection on which they read what they don't know.
#[tokio::test]
async fn a_cell_that_does_not_know_the_question_is_followed_without_it() {
    let (seed, _home, port) = listeners().await;
    let (out, _updates) = mpsc::channel(16);
    follow(port, out);
    let mut at_seed = frame_stream(seed.accept().await.unwrap().0);
    assert!(matches!(next(&mut at_seed).await, Some(FollowMsg::AskCells)));
    drop(at_seed);
    let mut at_seed = frame_stream(seed.accept().await.unwrap().0);
    assert!(matches!(next(&mut at_seed).await, Some(FollowMsg::Follow { .. })));
}
