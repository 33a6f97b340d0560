use super::*;

/// Guards against a returning domain that gets all queued work at one moment.
#[test]
fn starts_are_bounded_after_a_return() {
    let mut ramp = Ramp::new(Time::ZERO);
    let mut starts = 0;
    for ms in (0..10_000).step_by(100) {
        while ramp.may_start(Time::from_millis(ms)) {
            ramp.started();
            starts += 1;
        }
        assert!(starts <= BURST + RATE * ms / 1_000);
    }
    assert_eq!(starts, BURST + RATE * 9_900 / 1_000);
}

/// Guards against a bound that outlasts the return.
#[test]
fn the_bound_ends() {
    let mut ramp = Ramp::new(Time::ZERO);
    (0..1_000).for_each(|_| ramp.started());
    assert!(!ramp.may_start(Time::from_millis(29_999)));
    assert!(ramp.may_start(Time::from_millis(30_000)));
}
