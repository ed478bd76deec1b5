//! The membership policy, step by step.
mod bounds;

use bounds::bounds;
use control_cell::duties;
use control_cell::prelude::{
    BTreeMap, CorePolicy, Duration, JoinRequest, Member, MemberObservation, Membership,
    MembershipBounds,
};
use node_runtime::settings::Tolerated;

const CALM: MemberObservation = MemberObservation {
    silent: Duration::ZERO,
    known_for: Duration::from_secs(60),
    caught_up: true,
};
const LATE: MemberObservation = MemberObservation { caught_up: false, ..CALM };

fn silent(secs: u64) -> MemberObservation {
    MemberObservation { silent: Duration::from_secs(secs), ..LATE }
}

fn next_membership(
    current: &Membership,
    me: u64,
    joiners: &[JoinRequest],
    entry: u64,
    policy: &CorePolicy,
    observe: impl Fn(u64) -> MemberObservation,
) -> Option<Membership> {
    let bounds = MembershipBounds::from_settings(&bounds(3000, 4100, 3000));
    duties::next_membership(current, me, joiners, entry, policy, &bounds, observe)
}

fn member(id: u64) -> Member {
    let name = format!("n{id}");
    Member {
        id,
        addr: format!("{name}:1"),
        zone: format!("z{id}"),
        name,
        incarnation: 0,
        loss_counted: true,
    }
}

fn in_zone(id: u64, zone: &str) -> Member {
    Member { zone: zone.into(), ..member(id) }
}

fn of(voters: &[u64], learners: &[u64]) -> Membership {
    let members = |ids: &[u64]| ids.iter().map(|id| member(*id)).collect();
    Membership { voters: members(voters), outgoing: Vec::new(), learners: members(learners) }
}

fn machines(tolerated: u32) -> CorePolicy {
    let tolerated = Tolerated { machines: tolerated, zones: 0, regions: 0 };
    CorePolicy { tolerated, regions: BTreeMap::new() }
}

fn ids(members: &[Member]) -> Vec<u64> {
    members.iter().map(|m| m.id).collect()
}

fn joins(member: Member, read_at: u64) -> JoinRequest {
    JoinRequest { member, read_at }
}

/// A wiped cell comes back under its name and address: a learner first, and in the old one's place in
/// one step once it has caught up.
#[test]
fn a_wiped_cell_is_swapped_for_its_successor_in_one_step() {
    let current = of(&[1, 2, 3], &[]);
    let again = Member { id: 9, ..member(2) };
    let observe = |id| if id == 2 { silent(3) } else { LATE };
    let request = [joins(again.clone(), 40)];
    let next = next_membership(&current, 1, &request, 50, &machines(1), observe).unwrap();
    assert_eq!((ids(&next.voters), ids(&next.learners)), (vec![1, 2, 3], vec![9]));
    assert_eq!(next.learners[0].incarnation, 50);
    assert_eq!(next_membership(&next, 1, &request, 51, &machines(1), observe), None);
    let observe = |id| if id == 2 { silent(3) } else { CALM };
    let swapped = next_membership(&next, 1, &request, 51, &machines(1), observe).unwrap();
    assert_eq!((ids(&swapped.voters), ids(&swapped.learners)), (vec![1, 3, 9], vec![]));
}

/// The late request of a life that is over doesn't evict the newer one.
#[test]
fn a_join_of_an_older_life_is_refused() {
    let newer = Member { id: 9, incarnation: 50, ..member(2) };
    let current = Membership { voters: vec![member(1), newer, member(3)], ..of(&[], &[]) };
    let older = Member { id: 8, ..member(2) };
    let late = [joins(older.clone(), 49)];
    assert_eq!(next_membership(&current, 1, &late, 60, &machines(1), |_| CALM), None);
    let third = [joins(older, 50)];
    let next = next_membership(&current, 1, &third, 60, &machines(1), |_| CALM).unwrap();
    assert_eq!(ids(&next.learners), [8]);
}

#[test]
fn of_two_lives_that_ask_at_once_the_later_one_comes_in() {
    let current = of(&[1, 2, 3], &[]);
    let life = |id, read_at| joins(Member { id, ..member(2) }, read_at);
    let both = [life(8, 30), life(9, 31)];
    let next = next_membership(&current, 1, &both, 40, &machines(1), |_| CALM).unwrap();
    assert_eq!(ids(&next.learners), [9]);
}

/// All of an odd core vote; of an even one, all but a standby.
#[test]
fn voters_are_the_greatest_odd_number() {
    for (machine_count, tolerated, want) in [
        (1, 1, 1),
        (2, 1, 2),
        (3, 1, 3),
        (4, 1, 3),
        (5, 1, 5),
        (6, 1, 5),
        (8, 1, 7),
        (4, 2, 4),
        (5, 2, 5),
        (6, 2, 5),
        (8, 2, 7),
        (12, 1, 9),
    ] {
        let others: Vec<u64> = (2..=machine_count).collect();
        let current = of(&[1], &others);
        let next = next_membership(&current, 1, &[], 9, &machines(tolerated), |_| CALM);
        let next = next.unwrap_or(current);
        assert_eq!(next.voters.len(), want, "{machine_count} machines, {tolerated} losses");
        assert_eq!(next.voters.len() + next.learners.len(), machine_count as usize);
    }
}

#[test]
fn a_standby_takes_a_silent_voters_place_and_the_voter_becomes_the_standby() {
    let current = of(&[1, 2, 3], &[4]);
    let observe = |id| if id == 2 { silent(2) } else { CALM };
    let next = next_membership(&current, 1, &[], 9, &machines(1), observe).unwrap();
    assert_eq!((ids(&next.voters), ids(&next.learners)), (vec![1, 3, 4], vec![2]));
    assert_eq!(next_membership(&next, 1, &[], 10, &machines(1), |_| CALM), None);
    let observe = |id| if id == 2 { silent(30) } else { CALM };
    let next = next_membership(&next, 1, &[], 10, &machines(1), observe).unwrap();
    assert_eq!((ids(&next.voters), ids(&next.learners)), (vec![1, 3, 4], vec![]));
}

/// A newcomer that may be in the place of a machine whose silence isn't noticed yet makes no more voters;
/// once every other has answered after it came, it does.
#[test]
fn a_newcomer_counts_once_all_others_are_surely_here() {
    let current = of(&[1, 2, 3], &[4, 5]);
    let observe = |since_last_answer: u64| {
        move |id| match id {
            2 => MemberObservation { silent: Duration::from_millis(since_last_answer), ..CALM },
            5 => MemberObservation { known_for: Duration::from_millis(250), ..CALM },
            _ => CALM,
        }
    };
    assert_eq!(next_membership(&current, 1, &[], 9, &machines(1), observe(250)), None);
    let next = next_membership(&current, 1, &[], 9, &machines(1), observe(249)).unwrap();
    assert_eq!(ids(&next.voters), [1, 2, 3, 4, 5]);
}

/// Voters that are gone stay in the count where fewer would be left than losses are to be borne with.
#[test]
fn the_voters_never_become_too_few() {
    let observe = |id| if id >= 4 { silent(60) } else { CALM };
    let current = of(&[1, 2, 3, 4, 5], &[]);
    assert_eq!(next_membership(&current, 1, &[], 9, &machines(2), observe), None);
    let next = next_membership(&current, 1, &[], 9, &machines(1), observe).unwrap();
    assert_eq!(ids(&next.voters), [1, 2, 3]);
    let current = of(&[1, 2, 3], &[]);
    let observe = |id| if id >= 2 { silent(60) } else { CALM };
    assert_eq!(next_membership(&current, 1, &[], 9, &machines(1), observe), None);
}

/// No zone that may be lost holds a majority, as far as the core's places allow it.
#[test]
fn voters_are_spread_over_what_is_lost_together() {
    let current = Membership {
        voters: vec![in_zone(1, "a"), in_zone(2, "a"), in_zone(3, "b")],
        outgoing: Vec::new(),
        learners: vec![in_zone(4, "c")],
    };
    let next = next_membership(&current, 1, &[], 9, &machines(1), |_| CALM).unwrap();
    assert_eq!((ids(&next.voters), ids(&next.learners)), (vec![1, 3, 4], vec![2]));

    let zones = CorePolicy {
        tolerated: Tolerated { machines: 0, zones: 1, regions: 0 },
        regions: BTreeMap::new(),
    };
    let mut current = of(&[], &[]);
    current.voters = (1..=3).map(|id| in_zone(id, "a")).collect();
    current.learners = vec![in_zone(4, "b"), in_zone(5, "c")];
    let next = next_membership(&current, 1, &[], 9, &zones, |_| CALM).unwrap();
    assert_eq!(ids(&next.voters), [1, 4, 5]);

    let regions = CorePolicy {
        tolerated: Tolerated { machines: 0, zones: 0, regions: 1 },
        regions: [("a", "r"), ("b", "r"), ("c", "s"), ("d", "t")]
            .map(|(zone, region)| (zone.to_string(), region.to_string()))
            .into(),
    };
    current.voters = vec![in_zone(1, "a"), in_zone(2, "b"), in_zone(3, "c")];
    current.learners = vec![in_zone(4, "d")];
    let next = next_membership(&current, 1, &[], 9, &regions, |_| CALM).unwrap();
    assert_eq!(ids(&next.voters), [1, 3, 4]);
}

#[test]
fn nothing_is_planned_while_a_change_is_under_way() {
    let current = Membership { outgoing: vec![member(2)], ..of(&[1], &[3]) };
    assert_eq!(next_membership(&current, 1, &[], 9, &machines(1), |_| CALM), None);
}

/// Machines whose loss isn't counted may go in any number: none of them votes while one whose loss is does.
#[test]
fn a_machine_whose_loss_is_not_counted_is_a_standby() {
    let uncounted = |id| Member { loss_counted: false, ..member(id) };
    let mut current = of(&[1, 2, 3], &[4, 5]);
    current.learners[1] = uncounted(5);
    // Five machines, of which four count: three vote, and no silence brings the fifth in.
    assert_eq!(next_membership(&current, 1, &[], 9, &machines(1), |_| CALM), None);
    let observe = |id| if id == 2 || id == 4 { silent(4) } else { CALM };
    assert_eq!(next_membership(&current, 1, &[], 9, &machines(1), observe), None);

    // A founder that turns out not to count gives its place to a standby that does.
    let mut current = of(&[1, 2, 3], &[4]);
    current.voters[1] = uncounted(2);
    let next = next_membership(&current, 1, &[], 9, &machines(1), |_| CALM).unwrap();
    assert_eq!((ids(&next.voters), ids(&next.learners)), (vec![1, 3, 4], vec![2]));
    // Without a standby it stays, as fewer would be left than losses are to be borne with; a leader stays
    // until it has handed over.
    let mut current = of(&[1, 2, 3], &[]);
    current.voters[1] = uncounted(2);
    assert_eq!(next_membership(&current, 1, &[], 9, &machines(1), |_| CALM), None);
    current.learners = vec![member(4)];
    assert_eq!(next_membership(&current, 2, &[], 9, &machines(1), |_| CALM), None);
}

/// A core none of whose losses is counted works like any other.
#[test]
fn where_no_loss_is_counted_all_may_vote() {
    let uncounted = |id: u64| Member { loss_counted: false, ..member(id) };
    let current = Membership {
        voters: vec![uncounted(1)],
        outgoing: Vec::new(),
        learners: vec![uncounted(2), uncounted(3)],
    };
    let next = next_membership(&current, 1, &[], 9, &machines(1), |_| CALM).unwrap();
    assert_eq!(ids(&next.voters), [1, 2, 3]);
}
