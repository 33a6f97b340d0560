use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use super::*;

fn second(s: u64) -> Time {
    Time::from_millis(s * 1_000)
}

fn worker(i: usize) -> WorkerName {
    WorkerName::new(format!("worker-{i}"))
}

fn task(job: &str, index: u32) -> TaskId {
    TaskId {
        job: JobName::from(job),
        index,
    }
}

fn job(i: usize) -> String {
    format!("job-{i}")
}

fn none() -> IndexSet<WorkerName> {
    IndexSet::new()
}

/// Records successes of other jobs on workers 1 to `count`.
fn healthy(state: &mut Attribution, at: u64, count: usize) {
    for i in 1..=count {
        state.record_success(second(at), &worker(i), &task(&job(i % 5), i as u32));
    }
}

/// Guards against placing more tasks on a worker on which all tasks fail.
#[test]
fn worker_that_fails_all_tasks_is_quarantined() {
    let mut state = Attribution::default();
    healthy(&mut state, 1, 20);
    for i in 0..4 {
        state.record_failure(second(10 + i), &worker(0), &task(&job(i as usize), 0));
    }
    assert_eq!(state.actions(second(13), 30, &none()), []);
    let actions = state.actions(second(16), 30, &none());
    assert!(
        matches!(&actions[..], [Action::Quarantine { worker: w, failures: 4, .. }] if *w == worker(0)),
        "{actions:?}"
    );
}

/// Guards against a quarantine that never ends or ends without probation.
#[test]
fn quarantine_ends_in_probation_and_doubles_after_a_relapse() {
    let mut state = Attribution::default();
    let quarantined = IndexSet::from([worker(0)]);
    assert_eq!(state.actions(second(0), 30, &quarantined), []);
    assert_eq!(state.actions(second(299), 30, &quarantined), []);
    let actions = state.actions(second(300), 30, &quarantined);
    assert!(matches!(&actions[..], [Action::Readmit { .. }]));
    assert!(state.is_on_probation(&worker(0)));
    state.record_failure(second(310), &worker(0), &task("any", 0));
    let relapse = state.actions(second(310), 30, &none());
    assert!(matches!(&relapse[..], [Action::Quarantine { .. }]));
    assert_eq!(state.actions(second(310 + 599), 30, &quarantined), []);
    assert_eq!(state.actions(second(310 + 600), 30, &quarantined).len(), 1);
    (0..3).for_each(|i| state.record_success(second(920 + i), &worker(0), &task("any", 1)));
    assert!(!state.is_on_probation(&worker(0)));
}

/// Guards against attributing the failures of a faulty job to workers.
#[test]
fn job_that_fails_on_three_healthy_workers_is_parked() {
    let mut state = Attribution::default();
    healthy(&mut state, 1, 20);
    for i in 1..=3 {
        state.record_failure(second(10), &worker(i), &task("broken", i as u32));
    }
    let actions = state.actions(second(20), 20, &none());
    let parked = Action::Park {
        job: JobName::from("broken"),
        workers: 3,
        healthy: 3,
    };
    assert_eq!(actions, [parked]);
}

/// Guards against parking a job because its tasks ran on failing workers.
#[test]
fn failures_on_failing_workers_do_not_park_a_job() {
    let mut state = Attribution::default();
    for i in 0..3 {
        state.record_failure(second(10), &worker(i), &task("unlucky", 0));
    }
    assert_eq!(state.actions(second(20), 40, &none()), []);
}

/// Guards against endless retries of one failing task while other tasks of its job
/// succeed.
#[test]
fn task_that_always_fails_parks_its_job() {
    let mut state = Attribution::default();
    healthy(&mut state, 1, 20);
    for i in 1..=3 {
        state.record_failure(second(10 + i as u64), &worker(i), &task("mixed", 7));
        state.record_success(second(10 + i as u64), &worker(9), &task("mixed", i as u32));
    }
    let actions = state.actions(second(20), 20, &none());
    assert!(matches!(&actions[..], [Action::Park { .. }]), "{actions:?}");
}

/// Guards against attributing failures to workers or jobs when a complete domain fails.
#[test]
fn domain_failure_is_attributed_to_no_worker_or_job() {
    let mut state = Attribution::default();
    healthy(&mut state, 1, 20);
    for s in 10..20 {
        for i in 1..=20 {
            let failed = task(&job(i % 5), i as u32);
            state.record_failure(second(s), &worker(i), &failed);
        }
        assert_eq!(state.actions(second(s), 20, &none()), []);
    }
    assert!(state.is_domain_failing(second(20)));
    assert_eq!(state.actions(second(60), 20, &none()), []);
}

/// Applies random outcomes to a shard and returns the maximum number of workers in
/// quarantine. Without `bounded`, workers in quarantine aren't passed to `actions`.
fn max_quarantined(outcomes: &[(usize, usize, bool)], total: usize, bounded: bool) -> usize {
    let mut state = Attribution::default();
    let mut quarantined = none();
    let mut max = 0;
    for (step, (w, j, ok)) in outcomes.iter().enumerate() {
        let now = second(step as u64 * 2);
        let task_id = task(&job(*j), 0);
        match ok {
            true => state.record_success(now, &worker(w % total), &task_id),
            false => state.record_failure(now, &worker(w % total), &task_id),
        }
        let reported = if bounded { quarantined.clone() } else { none() };
        for action in state.actions(now, total, &reported) {
            match action {
                Action::Quarantine { worker, .. } => quarantined.insert(worker),
                Action::Readmit { worker, .. } => quarantined.swap_remove(&worker),
                Action::Park { .. } => false,
            };
        }
        max = max.max(quarantined.len());
    }
    max
}

fn check_bound(bounded: bool) -> Result<(), String> {
    let outcome = (0..40usize, 0..12usize, prop::bool::weighted(0.2));
    let inputs = (proptest::collection::vec(outcome, 1..300), 1..40usize);
    let config = Config {
        cases: 128,
        rng_seed: RngSeed::Fixed(0x9A),
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new(config)
        .run(&inputs, |(outcomes, total)| {
            let max = max_quarantined(&outcomes, total, bounded);
            // One in ten workers, and one worker in a shard of four to nine.
            let bound = if (4..10).contains(&total) {
                1
            } else {
                total / 10
            };
            prop_assert!(max <= bound, "{} of {}", max, total);
            Ok(())
        })
        .map_err(|e| e.to_string())
}

/// Guards against losing too much of a shard's capacity to quarantine.
#[test]
fn quarantine_is_bounded() {
    check_bound(true).unwrap();
}

/// The check above fails if workers already in quarantine aren't counted.
#[test]
fn bound_check_detects_uncounted_workers() {
    assert!(check_bound(false).is_err());
}
