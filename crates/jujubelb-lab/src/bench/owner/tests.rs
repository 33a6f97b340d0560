use super::*;

/// Guards against a load that differs between runs with the same seed, and one
/// that does not start tasks at its configured rate.
#[test]
fn same_seed_gives_the_same_load() {
    let run = || {
        let mut load = Load::new(7, 26);
        // As in the measurement: the policy bounds the starts on new workers at first.
        load.run(load::WARMUP_SECONDS);
        load.measure();
        load.run(40);
        (load.counts, load.sizes(40), load.running())
    };
    let (counts, sizes, running) = run();
    assert_eq!((counts, sizes, running), run());
    // 10 starts a second for 104 workers are 100 in 40 s for 26. Jobs of ten
    // tasks arrive every 4 s, so one job more or less may fall into the period.
    assert!(
        counts.starts.abs_diff(100) <= 10,
        "{} starts",
        counts.starts
    );
    assert!(running.abs_diff(26 * 17) <= 20, "{running} running");
}
