//! The time from a loss until full redundancy: the waits of the leader and of transfers, added up at their
//! worst, stay below `catchUpS`, when the next loss may come.
use consensus::core::Tuning;
use control_cell::actor::DUTY_EVERY;
use control_cell::prelude::RecoveryBounds;
use std::time::Duration;
use turn_store::actor::TransferBounds;

/// The share of `catchUpS` that stays free for the transfer's own work: links, disks, processors.
const MARGIN: u32 = 10;

#[test]
fn what_was_lost_is_restored_before_the_next_loss_may_come() {
    for catch_up in [4100, 4200, 6000, 10_000].map(Duration::from_millis) {
        let leader = RecoveryBounds::from_catch_up(catch_up);
        let transfer = TransferBounds::from_catch_up(catch_up);
        assert!(leader.heard_margin < leader.replace_after);
        assert!(leader.replace_after < leader.remove_after);
        assert!(leader.remove_after < leader.give_up_after);
        assert_eq!(leader.remove_after + leader.restore, catch_up);
        // The leader looks, agrees and tells within two looks; one call of the transfer is lost.
        let noticed = leader.remove_after + 2 * DUTY_EVERY;
        let transferred = transfer.call + transfer.pause + transfer.call;
        let left = catch_up.saturating_sub(noticed + transferred);
        assert!(left >= catch_up / MARGIN, "{catch_up:?}: {left:?} is left");
    }
}

/// After a closing fault turns count as lost in the last 4 s of `recoveryS`, whatever they are answered.
const COUNTED: Duration = Duration::from_secs(4);
/// Waits of a follower until it has found a cell with a leader (`feed-follow`): a cell that says nothing, a
/// connection that doesn't come up, and the pause before the next.
const FOLLOWER: [Duration; 3] =
    [Duration::from_millis(1000), Duration::from_millis(400), Duration::from_millis(160)];
/// Starts of processes, their replays and the first answers of disks, seen at most (`docs/restart-time.md`).
const STARTS: Duration = Duration::from_millis(250);

/// All machines are back after a loss of power, and disks were lost: the waits until turns are answered, added
/// up at their worst. The election fails twice, every follower tries a cell in vain, one call of the transfer
/// is lost.
#[test]
fn service_is_back_before_turns_count_as_lost() {
    for (catch_up, recovery) in [(4100, 12), (4200, 12), (6000, 15)] {
        let catch_up = Duration::from_millis(catch_up);
        let tuning = Tuning::default();
        let elected = tuning.first_high + 2 * tuning.election_high;
        let linked: Duration = FOLLOWER.iter().sum();
        let placed = 2 * DUTY_EVERY;
        let transfer = TransferBounds::from_catch_up(catch_up);
        let transferred = transfer.call + transfer.pause + transfer.call;
        let back = STARTS + elected + linked + placed + transferred;
        let limit = Duration::from_secs(recovery) - COUNTED;
        assert!(back + limit / 10 <= limit, "{catch_up:?}: {back:?} of {limit:?}");
    }
}
