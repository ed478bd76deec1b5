use session_index::prelude::*;

#[test]
fn a_hash_tells_the_whole_prompt_up_to_it() {
    let p = |id, tokens| Part { id, tokens };
    let a = chain_blocks("m", [p("1", 10), p("2", 5)]);
    let b = chain_blocks("m", [p("1", 10), p("3", 5)]);
    let c = chain_blocks("m", [p("3", 10), p("2", 5)]);
    assert_eq!(a[0], b[0]);
    assert_ne!(a[1].hash, b[1].hash);
    assert_ne!(a[1].hash, c[1].hash);
    assert_eq!((a[1].start, a[1].end), (10, 15));
    assert_ne!(a[0].hash, chain_blocks("n", [p("1", 10)])[0].hash);
}
