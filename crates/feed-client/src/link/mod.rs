//! The link to one cell at a time; on silence it moves to the next that rendezvous names.
// The machine's state type is written by statig; its states are described at their functions.
#[allow(missing_docs)]
pub mod machine;

use crate::prelude::*;
use machine::{Feed, FeedEvent, FeedState};
use node_runtime::links::{connect, frame_stream, Wire};
use node_runtime::settings::FEED_PORT;

/// A follower: who it is, and where it first looks for cells.
pub struct FollowSettings {
    /// The node's name, which ranks the cells for it.
    pub name: String,
    /// Where it looks before, or when, no cell that it learnt of answers.
    pub seeds: Seeds,
    /// The port on which every cell serves its feed.
    pub feed_port: u16,
    /// The follower's own zone.
    pub zone: String,
    /// What of the feed it wants.
    pub topics: Topics,
    /// Silence after which the link moves.
    pub silence: Duration,
    /// How long a connection may take.
    pub connect: Duration,
    /// How often this follower's status is sent again when it hasn't changed.
    pub repeat: Duration,
}

impl FollowSettings {
    /// Follows the cells that the settings name, and those they tell of.
    pub fn of_cells(shared: &SharedSettings, topics: Topics) -> Self {
        let settings = shared.now();
        let bounds = FeedBounds::from_settings(&settings.bounds, topics);
        FollowSettings {
            name: settings.node_name.clone(),
            seeds: Seeds::FromSettings(shared.clone()),
            feed_port: settings.internal_ports.0 + FEED_PORT,
            zone: settings.zone.clone(),
            topics,
            silence: bounds.silence,
            connect: bounds.connect,
            repeat: bounds.repeat,
        }
    }
}

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
    let mut place = (0u64, 0u64);
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
                place: &mut place,
                base: &mut base,
                zones: &mut zones,
                cells: &mut cells,
            };
            end = match look_for_home(&settings, &mut wire, &mut at, &mut asks).await {
                Some(LinkEnd::GoesHome) => LinkEnd::GoesHome,
                _ => run_link(&settings, &mut wire, &mut at, &mut feed, &out, &mut status)
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

/// How a link ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkEnd {
    /// It is over, or didn't come about.
    Lost,
    /// It was left for a cell of the follower's own zone.
    GoesHome,
}

/// Asks a seed for the cells and their zones, where these aren't known: else a snapshot would be taken from
/// whichever cell the seeds lead to, in most cases in another zone. `asks` becomes false once a cell doesn't
/// answer, as those of older versions don't.
async fn look_for_home(
    settings: &FollowSettings,
    wire: &mut Wire,
    at: &mut LinkAt<'_>,
    asks: &mut bool,
) -> Option<LinkEnd> {
    if !*asks || !at.cells.needs_zones() {
        return None;
    }
    *asks = false;
    wire.send(encode(&FollowMsg::AskCells)).await.ok()?;
    let answer = tokio::time::timeout(settings.silence, wire.next()).await.ok()??.ok()?;
    let FeedMsg::Items(items) = decode(&answer)? else {
        return None;
    };
    *asks = true;
    for n in items {
        if let FeedItem::Cells { index, addrs, zones } = &n.item {
            at.cells.learn(*index, addrs, zones);
        }
    }
    at.cells.goes_home(at.cell, at.began.elapsed()).then_some(LinkEnd::GoesHome)
}

/// Where a link stands: the cell, the place in its feed, and the other cells.
struct LinkAt<'a> {
    cell: &'a str,
    began: Instant,
    place: &'a mut (u64, u64),
    /// The configuration this feed sent last, as of that place.
    base: &'a mut PatchBase,
    /// The state of each zone that this follower has been brought to.
    zones: &'a mut ZoneSteps,
    cells: &'a mut CellRank,
}

impl LinkAt<'_> {
    /// What a cell needn't send: nothing where all is asked for, and nothing of a proxy's, since its agent
    /// lives no longer than it.
    fn holdings(&self, settings: &FollowSettings) -> Option<Holdings> {
        let asks_for_all = *self.place == (0, 0);
        let keeps = !settings.seeds.is_fixed() && settings.topics == Topics::All;
        (keeps && !asks_for_all)
            .then(|| Holdings { config: self.base.index(), zones: self.zones.reached() })
    }
}

async fn run_link<W: Into<FollowMsg> + Clone>(
    settings: &FollowSettings,
    wire: &mut Wire,
    at: &mut LinkAt<'_>,
    feed: &mut InitializedStateMachine<Feed>,
    out: &mpsc::Sender<FeedUpdate>,
    status: &mut watch::Receiver<Option<W>>,
) -> Option<LinkEnd> {
    let hello = FollowMsg::Follow {
        name: settings.name.clone(),
        feed: at.place.0,
        no: at.place.1,
        topics: settings.topics,
        patches: true,
        zone_changes: true,
        holdings: at.holdings(settings),
    };
    wire.send(encode(&hello)).await.ok()?;
    let mut last = Instant::now();
    let mut opened = 0;
    let mut talks = true;
    let mut announce = status.borrow_and_update().clone().is_some();
    let mut next_word = Instant::now();
    loop {
        if announce && opened != 0 {
            announce = false;
            next_word = Instant::now() + settings.repeat;
            let word = status.borrow().clone();
            if let Some(word) = word {
                let msg: FollowMsg = word.into();
                wire.send(encode(&msg)).await.ok()?;
            }
        }
        let mut wake = last + settings.silence;
        let speaks = status.borrow().is_some();
        if speaks && opened != 0 {
            wake = wake.min(next_word);
        }
        tokio::select! {
            got = wire.next() => {
                last = Instant::now();
                match decode::<FeedMsg>(&got?.ok()?)? {
                    FeedMsg::Open { feed: id } => {
                        if id != at.place.0 {
                            *at.place = (id, 0);
                        }
                        opened = id;
                    }
                    FeedMsg::Items(items) => {
                        let mut list = Vec::with_capacity(items.len());
                        let mut in_step = true;
                        for n in items {
                            at.place.1 = at.place.1.max(n.no);
                            match &n.item {
                                FeedItem::Cells { index, addrs, zones } if !settings.seeds.is_fixed() => {
                                    at.cells.learn(*index, addrs, zones);
                                }
                                FeedItem::Current => {
                                    feed.handle(&FeedEvent::Current);
                                    at.cells.following(at.cell);
                                }
                                _ => {}
                            }
                            if n.item == FeedItem::Heartbeat {
                                continue;
                            }
                            in_step = at.zones.follows(&n.item);
                            // An agent tells its proxy whole configurations.
                            let item = match settings.seeds.is_fixed() {
                                true => Some(n.item),
                                false => at.base.whole(n.item),
                            };
                            in_step &= item.is_some();
                            match item {
                                Some(item) if in_step => list.push(item),
                                _ => break,
                            }
                        }
                        // What was recorded as reached is given on in any case.
                        if !list.is_empty() {
                            out.send(FeedUpdate::Items(list)).await.ok()?;
                        }
                        if !in_step {
                            // All is asked for anew.
                            *at.place = (0, 0);
                            return None;
                        }
                        let follows = matches!(feed.state(), FeedState::Following {});
                        if follows && at.cells.goes_home(at.cell, at.began.elapsed()) {
                            return Some(LinkEnd::GoesHome);
                        }
                    }
                }
            }
            // A follower with nothing to say has dropped its end.
            r = status.changed(), if talks => match r {
                Ok(()) => announce = true,
                Err(_) => talks = false,
            },
            _ = tokio::time::sleep_until(wake.into()) => {
                if Instant::now() >= last + settings.silence {
                    return None;
                }
                announce = true;
            }
        }
    }
}
