//! Small helpers.
use node_runtime::prelude::rank_by_rendezvous;

#[test]
fn rendezvous_moves_only_what_was_lost() {
    let ids = [1u64, 2, 3, 4];
    for key in 0..200u64 {
        let all = rank_by_rendezvous(key, ids);
        let less = rank_by_rendezvous(key, ids.iter().copied().filter(|i| *i != all[3]));
        assert_eq!(all[..3], less[..]);
    }
}
