use super::*;

/// Guards against a load that differs between runs with the same seed, and one
/// that does not start the tasks that it promises.
#[test]
fn same_seed_gives_the_same_load() {
    let run = || {
        let mut load = Load::new(7, 26);
        load.run(5);
        load.measure();
        load.run(10);
        (load.counts, load.sizes(10), load.running())
    };
    let (counts, sizes, running) = run();
    assert_eq!((counts, sizes, running), run());
    // 10 starts a second for 104 workers are 25 in ten seconds for 26.
    assert!(counts.starts.abs_diff(25) <= 10, "{} starts", counts.starts);
    assert!(running.abs_diff(26 * 17) <= 20, "{running} running");
}
