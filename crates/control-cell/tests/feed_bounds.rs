//! A feed's silences keep to the bounds in the settings, beside the leader's.
mod bounds;

use control_cell::prelude::*;
use internal_protocol::feed_bounds::FeedBounds;
use node_runtime::settings::Bounds;

fn settings(contact_ms: u64, catch_up_ms: u64) -> Bounds {
    bounds::bounds(contact_ms, catch_up_ms, 3000)
}

/// Before a newcomer may take its place, a store whose cell has died is heard through another one: a turn
/// of the leader's duties and a tenth of `catchUpS` are left for the new feed to open.
#[test]
fn a_store_whose_cell_dies_keeps_its_place() {
    for catch_up_ms in (4100..=20_000).step_by(50) {
        let bounds = settings(3000, catch_up_ms);
        let feed = FeedBounds::from_settings(&bounds, Topics::Stores);
        let allowed = RecoveryBounds::from_catch_up(bounds.catch_up).replace_after;
        let opened = bounds.catch_up / 50;
        let heard = feed.heard_again_within() + DUTY_EVERY + opened;
        assert!(heard <= allowed, "{heard:?} of {allowed:?} at {catch_up_ms} ms");
    }
}

/// An agent follows a living cell within `contactMs`, even where the first that it turns to is silent too.
#[test]
fn an_agent_follows_again_before_its_machine_is_in_touch() {
    for contact_ms in (1000..=10_000).step_by(50) {
        let bounds = settings(contact_ms, 4100);
        let feed = FeedBounds::from_settings(&bounds, Topics::All);
        let again = feed.silence + feed.connect * 2;
        assert!(again * 2 <= bounds.contact + bounds.contact / 5, "at {contact_ms} ms");
        assert!(again < bounds.contact);
    }
}

/// A heartbeat that is late by a turn of duties isn't a silence.
#[test]
fn three_heartbeats_fit_into_a_silence() {
    for topics in [Topics::Stores, Topics::All] {
        for ms in (4100..=20_000).step_by(50) {
            let feed = FeedBounds::from_settings(&settings(ms - 1100, ms), topics);
            assert!(feed.heartbeat * 3 <= feed.silence);
            assert!(feed.heartbeat + DUTY_EVERY * 3 / 2 < feed.silence, "{topics:?} at {ms} ms");
        }
    }
}
