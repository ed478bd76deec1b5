//! The states of a follower's link.
use feed_client::link::machine::{Feed, FeedEvent, FeedState};
use feed_client::prelude::*;

#[test]
fn follows_only_after_a_majority_confirmed() {
    let mut f = Feed.uninitialized_state_machine().init();
    for (ev, want) in [
        (FeedEvent::Try, FeedState::Seeking {}),
        (FeedEvent::Current, FeedState::Seeking {}),
        (FeedEvent::Linked, FeedState::Opening {}),
        (FeedEvent::Lost, FeedState::Seeking {}),
        (FeedEvent::Linked, FeedState::Opening {}),
        (FeedEvent::Current, FeedState::Following {}),
        (FeedEvent::Lost, FeedState::Seeking {}),
    ] {
        f.handle(&ev);
        assert_eq!(*f.state(), want);
    }
}
