use super::*;
use crate::bench::Format;

/// Guards against metrics that differ between runs with the same seeds.
#[test]
fn same_seeds_give_the_same_metrics() {
    let routing = Routing {
        requests: 2_000,
        seeds: 2,
        only: "plain".to_owned(),
    };
    let export = || routing.run().export(Format::Json).expect("can be exported");
    let first = export();
    assert_eq!(first, export());
    assert!(first.contains("two choices p99.9 ms"));
}

/// Guards against endpoints that serve more concurrent requests than they have slots.
#[test]
fn fleet_queues_beyond_the_slots() {
    let mut fleet = fleet::Fleet::new(&scenario::SCENARIOS[0], 1, 0.0);
    let work = |attempt| fleet::QueuedAttempt {
        attempt,
        service_micros: 10.0,
        hedge: false,
    };
    for attempt in 0..scenario::SLOTS {
        assert!(fleet.arrive(0, 0, work(attempt)).is_some());
    }
    assert!(fleet.arrive(0, 0, work(99)).is_none());
    let (end, next) = fleet.end(10, 0).expect("one waits");
    assert_eq!((end, next.attempt), (20, 99));
}
