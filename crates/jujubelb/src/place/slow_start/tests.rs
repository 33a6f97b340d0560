use super::*;

/// Guards against starting all queued tasks at once in a returning domain.
#[test]
fn starts_are_limited_after_a_return() {
    let mut slow_start = SlowStart::new(Time::ZERO);
    let mut starts = 0;
    for ms in (0..10_000).step_by(100) {
        while slow_start.may_start(Time::from_millis(ms)) {
            slow_start.record_start();
            starts += 1;
        }
        assert!(starts <= INITIAL_STARTS + STARTS_PER_SECOND * ms / 1_000);
    }
    assert_eq!(starts, INITIAL_STARTS + STARTS_PER_SECOND * 9_900 / 1_000);
}

/// Guards against a limit that never ends.
#[test]
fn limit_ends_after_the_period() {
    let mut slow_start = SlowStart::new(Time::ZERO);
    (0..1_000).for_each(|_| slow_start.record_start());
    assert!(!slow_start.may_start(Time::from_millis(29_999)));
    assert!(slow_start.may_start(Time::from_millis(30_000)));
}
