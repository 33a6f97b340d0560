use super::*;
use crate::bench::Format;

/// Guards against metrics that differ between runs with the same seed.
#[test]
fn same_seed_gives_the_same_metrics() {
    let measurement = Interference {
        seed: 1,
        minutes: 1,
    };
    let export = || {
        measurement
            .run()
            .export(Format::Json)
            .expect("can be exported")
    };
    assert_eq!(export(), export());
}
