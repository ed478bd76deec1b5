//! One link: the question where home is, the request to follow, and the items until it ends.
use super::machine::{Feed, FeedEvent, FeedState};
use super::settings::FollowSettings;
use super::FeedUpdate;
use crate::prelude::*;
use node_runtime::links::Wire;

/// How a link ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkEnd {
    /// It is over, or didn't come about.
    Lost,
    /// It was left for a cell of the follower's own zone.
    GoesHome,
}

/// Asks a seed for the cells and their zones, where these aren't known: else a snapshot would be taken from
/// whichever cell the seeds lead to, in most cases in another zone. `asks` becomes false once a cell doesn't
/// answer, as those of older versions don't.
pub(super) async fn look_for_home(
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

/// A position in a feed: `number` counts the items of `feed`. The default is that of one who begins.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct FeedPosition {
    feed: u64,
    number: u64,
}

/// Where a link stands: the cell, the position in its feed, and the other cells.
pub(super) struct LinkAt<'a> {
    pub cell: &'a str,
    pub began: Instant,
    pub position: &'a mut FeedPosition,
    /// The configuration this feed sent last, as of that position.
    pub base: &'a mut PatchBase,
    /// The state of each zone that this follower has been brought to.
    pub zones: &'a mut ZoneSteps,
    pub cells: &'a mut CellRank,
}

impl LinkAt<'_> {
    /// What a cell needn't send: nothing where all is asked for, and nothing of a proxy's, since its agent
    /// lives no longer than it.
    fn holdings(&self, settings: &FollowSettings) -> Option<Holdings> {
        let asks_for_all = *self.position == FeedPosition::default();
        let keeps = !settings.seeds.is_fixed() && settings.topics == Topics::All;
        (keeps && !asks_for_all)
            .then(|| Holdings { config: self.base.index(), zones: self.zones.reached() })
    }
}

pub(super) async fn run_link<W: Into<FollowMsg> + Clone>(
    settings: &FollowSettings,
    wire: &mut Wire,
    at: &mut LinkAt<'_>,
    feed: &mut InitializedStateMachine<Feed>,
    out: &mpsc::Sender<FeedUpdate>,
    status: &mut watch::Receiver<Option<W>>,
) -> Option<LinkEnd> {
    let hello = FollowMsg::Follow {
        name: settings.name.clone(),
        feed: at.position.feed,
        no: at.position.number,
        topics: settings.topics,
        patches: true,
        zone_changes: true,
        holdings: at.holdings(settings),
    };
    wire.send(encode(&hello)).await.ok()?;
    let mut last = Instant::now();
    let mut opened = 0;
    let mut may_report = true;
    let mut announce = status.borrow_and_update().clone().is_some();
    let mut next_report = Instant::now();
    loop {
        if announce && opened != 0 {
            announce = false;
            next_report = Instant::now() + settings.repeat;
            let report = status.borrow().clone();
            if let Some(report) = report {
                let msg: FollowMsg = report.into();
                wire.send(encode(&msg)).await.ok()?;
            }
        }
        let mut wake = last + settings.silence;
        let has_report = status.borrow().is_some();
        if has_report && opened != 0 {
            wake = wake.min(next_report);
        }
        tokio::select! {
            got = wire.next() => {
                last = Instant::now();
                match decode::<FeedMsg>(&got?.ok()?)? {
                    FeedMsg::Open { feed: id } => {
                        if id != at.position.feed {
                            *at.position = FeedPosition { feed: id, number: 0 };
                        }
                        opened = id;
                    }
                    FeedMsg::Items(items) => {
                        let mut list = Vec::with_capacity(items.len());
                        let mut in_step = true;
                        for n in items {
                            at.position.number = at.position.number.max(n.no);
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
                            *at.position = FeedPosition::default();
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
            r = status.changed(), if may_report => match r {
                Ok(()) => announce = true,
                Err(_) => may_report = false,
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
