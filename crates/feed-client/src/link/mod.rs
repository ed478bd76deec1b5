//! The link to one cell at a time; on silence it moves to the next that rendezvous names.
// The machine's state type is written by statig; its states are described at their functions.
#[allow(missing_docs)]
pub mod machine;
mod session;
mod settings;

pub use settings::FollowSettings;

use crate::prelude::*;
use machine::{Feed, FeedEvent, FeedState};
use node_runtime::links::{connect, frame_stream};
use session::{look_for_home, run_link, FeedPosition, LinkAt, LinkEnd};

/// What a link brings its follower.
#[derive(Debug, Clone)]
pub enum FeedUpdate {
    /// Items of the feed, in its order, configurations whole.
    Items(Vec<FeedItem>),
    /// The link is down; what is known may grow old.
    Down,
}

fn feed_addr(cell: &str, port: u16) -> String {
    let ip = cell.rsplit_once(':').map_or(cell, |(h, _)| h);
    format!("{ip}:{port}")
}

/// Follows until the receiver is gone. `status` is sent to the cell whenever it changes, and each
/// `repeat`.
pub async fn follow_cells<W: Into<FollowMsg> + Clone>(
    settings: FollowSettings,
    out: mpsc::Sender<FeedUpdate>,
    mut status: watch::Receiver<Option<W>>,
) {
    let mut seeds = settings.seeds.clone();
    let zone = if seeds.is_fixed() { "" } else { &settings.zone };
    let mut cells = CellRank::new(&settings.name, zone, &seeds.now());
    let began = Instant::now();
    let mut position = FeedPosition::default();
    let mut base = PatchBase::default();
    let mut zones = ZoneSteps::default();
    let mut asks = settings.topics == Topics::All;
    let mut pause = Backoff::new(RECONNECT_PAUSE / 4, RECONNECT_PAUSE);
    let mut feed = Feed.uninitialized_state_machine().init();
    while !out.is_closed() {
        cells.use_seeds(&seeds.now());
        let Some(cell) = cells.next().cloned() else {
            return;
        };
        let addr = feed_addr(&cell, settings.feed_port);
        feed.handle(&FeedEvent::Try);
        let mut end = LinkEnd::Lost;
        if let Ok(s) = connect(&addr, settings.connect, settings.silence).await {
            feed.handle(&FeedEvent::Linked);
            let mut wire = frame_stream(s);
            let mut at = LinkAt {
                cell: &cell,
                began,
                position: &mut position,
                base: &mut base,
                zones: &mut zones,
                cells: &mut cells,
            };
            end = match look_for_home(&settings, &mut wire, &mut at, &mut asks).await {
                Some(end) => end,
                None => run_link(&settings, &mut wire, &mut at, &mut feed, &out, &mut status)
                    .await
                    .unwrap_or(LinkEnd::Lost),
            };
        }
        let followed = matches!(feed.state(), FeedState::Following {});
        feed.handle(&FeedEvent::Lost);
        if followed {
            pause.reset();
            if out.send(FeedUpdate::Down).await.is_err() {
                return;
            }
        }
        cells.ended(followed);
        if end == LinkEnd::GoesHome {
            continue;
        }
        tokio::select! {
            _ = tokio::time::sleep(pause.next_pause()) => {}
            _ = seeds.changed() => {}
        }
    }
}
