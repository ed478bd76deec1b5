//! The time from a loss until full redundancy: the waits of the leader and of transfers, added up at their
//! worst, stay below `catchUpS`, when the next loss may come.
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
