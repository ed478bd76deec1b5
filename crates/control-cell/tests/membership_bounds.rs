//! The waits of the membership duty keep to the bounds in the settings.
mod bounds;

use consensus::core::Tuning;
use control_cell::prelude::*;
use node_runtime::settings::Bounds;

fn settings(catch_up_ms: u64, drain_ms: u64) -> Bounds {
    bounds::bounds(drain_ms, catch_up_ms, drain_ms)
}

/// A leader is elected after the longest wait and one election without a winner.
fn steps() -> RecoverySteps {
    let tuning = Tuning::default();
    let election = tuning.election_high * 2;
    let silent_before = tuning.election_low;
    RecoverySteps { election, silent_before, beat: tuning.heartbeat_interval, duty: DUTY_EVERY }
}

/// Elections take their time: the margin is kept from a `catchUpS` of 3.8 s on.
#[test]
fn a_loss_is_made_good_a_margin_before_it_stops_counting() {
    for catch_up_ms in (3800..=20_000).step_by(50) {
        let settings = settings(catch_up_ms, 3000);
        let bounds = MembershipBounds::from_settings(&settings);
        let recovered = bounds.recovered_within(&steps());
        let allowed = settings.catch_up - bounds.margin;
        assert!(recovered <= allowed, "{recovered:?} of {allowed:?} at {catch_up_ms} ms");
    }
}

/// A voter without a stand-in doesn't make the majority larger for longer than its loss counts.
#[test]
fn waits_follow_each_other() {
    for catch_up_ms in (1000..=20_000).step_by(50) {
        let settings = settings(catch_up_ms, 3000);
        let b = MembershipBounds::from_settings(&settings);
        assert!(b.doubt_after < b.replace_after && b.replace_after < b.remove_after);
        assert!(b.remove_after < settings.catch_up - b.margin);
        assert!(b.remove_after < b.forget_after);
        assert!(b.join_again * 2 < b.joiner_kept);
        assert!(b.leave_within < settings.grace / 2);
    }
}

/// The list of a zone whose holder is lost, with the leader or without, is read by another in time to
/// reach the proxies: a read and its way take less than a quarter of `drainMs`.
#[test]
fn a_lost_holders_list_is_read_in_time() {
    for drain_ms in (2600..=10_000).step_by(100) {
        let settings = settings(4100, drain_ms);
        let bounds = MembershipBounds::from_settings(&settings);
        let tuning = Tuning::default();
        let steps = steps();
        let moved = steps.beat + bounds.holder_silent + steps.duty * 2;
        assert!(moved <= settings.drain * 3 / 4, "{moved:?} at {drain_ms} ms");
        // A lost leader is known to have been silent since before the election.
        let silence_left = bounds.holder_silent.saturating_sub(tuning.election_low);
        let moved = steps.election + silence_left + steps.duty;
        assert!(moved <= settings.drain * 3 / 4, "{moved:?} after a leader, at {drain_ms} ms");
    }
}
