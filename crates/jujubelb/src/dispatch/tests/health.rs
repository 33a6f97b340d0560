//! Workers whose runs fail or make no progress, and their return.

use arcstr::ArcStr;

use super::simulation::Fault;
use super::{Simulation, job, long_running, step};
use crate::dispatch::{JobRecord, JobStatus, QueueSettings, Step};
use crate::model::{Bytes, Resources, Span};

/// A lasting task that has waited for 6 s and finds capacity has to start within 3 s, and
/// disturbances of the last 4 s do not excuse a delay. A sound worker therefore has to be
/// in use again 7 s after its fault has ended.
const RETURN_BOUND: Span = Span::from_secs(7);

/// Time in which a short finite task runs on the only worker that may run it once the fault of
/// that worker has ended: a pause of up to 4 s before the next probe, and 4 s more for tasks whose
/// last attempt it is or that have to wait for the end of another probe.
const FINITE_RETURN_BOUND: Span = Span::from_millis(9_500);

/// Four workers with a long-running task each, of which the first one has failed the runs
/// that were started on it and is sound again.
fn recovered_worker() -> Simulation {
    let mut sim = Simulation::new(4);
    sim.submit(1, job(0, vec![long_running(4, 40)]));
    sim.run(Span::from_secs(1));
    assert!((0..4).all(|i| sim.runs_on(i) == 1));
    sim.worker(0).fault = Fault::FailingStarts;
    for i in 10..30 {
        sim.submit(i, job(0, vec![step(1, 16, Span::from_millis(400))]));
        sim.run(Span::from_millis(150));
    }
    sim.run(Span::from_secs(2));
    assert_eq!(sim.dispatcher.summary().sick, 1);
    sim.worker(0).fault = Fault::None;
    sim
}

/// Guards against a worker that stays out of use after its fault because it holds a
/// long-running task: it was probed only while it had no runs.
#[test]
fn a_worker_with_a_long_running_task_returns_for_short_tasks() {
    let mut sim = recovered_worker();
    for i in 100..140 {
        sim.submit(i, job(0, vec![step(1, 16, Span::from_millis(900))]));
    }
    sim.run(RETURN_BOUND);
    assert_eq!(sim.dispatcher.summary().sick, 0);
}

/// Guards against long-running tasks that wait although a worker that was faulty has
/// capacity. They never succeed, so their readiness has to count as evidence.
#[test]
fn a_worker_with_a_long_running_task_returns_for_long_running_tasks() {
    let mut sim = recovered_worker();
    let waiting = sim.submit(100, job(0, vec![long_running(6, 8)]));
    let last = sim.submit(101, job(0, vec![long_running(6, 8)]));
    sim.run(RETURN_BOUND);
    assert_eq!(sim.running(waiting) + sim.running(last), 12);
    assert_eq!(sim.dispatcher.summary().sick, 0);
}

/// Guards against probes that use up the attempts of a task: a job must not fail because
/// its task was the probe of a faulty worker each time.
#[test]
fn probes_do_not_use_the_last_attempt_of_a_task() {
    let mut sim = Simulation::new(4);
    for i in 0..3 {
        sim.worker(i).fault = Fault::Failing;
    }
    let mut keys = Vec::new();
    for i in 10..40 {
        keys.push(sim.submit(i, job(0, vec![step(1, 60, Span::from_millis(300))])));
        sim.run(Span::from_millis(300));
    }
    sim.run(Span::from_secs(10));
    let failed = keys
        .iter()
        .filter(|k| sim.dispatcher.job_status(**k) == Some(JobStatus::Failed));
    // The jobs that arrive before the faults are recognized may use up their attempts.
    assert!(failed.count() <= 3);
}

/// Guards against a fault of the whole fleet that takes every worker out of use: at most
/// three quarters of the workers are considered unhealthy at a time.
#[test]
fn a_quarter_of_the_workers_stays_in_use_when_all_fail() {
    let mut sim = Simulation::new(8);
    for i in 0..8 {
        sim.worker(i).fault = Fault::Failing;
    }
    for i in 10..60 {
        sim.submit(i, job(0, vec![step(1, 8, Span::from_millis(300))]));
        sim.run(Span::from_millis(60));
    }
    assert_eq!(sim.dispatcher.summary().sick, 6);
}

/// Guards against more than one probe of a worker at a time.
#[test]
fn an_unhealthy_worker_gets_one_probe_at_a_time() {
    let mut sim = Simulation::new(4);
    sim.worker(0).fault = Fault::Stalled;
    for i in 10..90 {
        sim.submit(i, job(0, vec![step(2, 16, Span::from_millis(500))]));
        sim.run(Span::from_millis(100));
        if sim.dispatcher.summary().sick == 1 && sim.starts.len() > 60 {
            assert!(sim.runs_on(0) <= 1, "{} probes", sim.runs_on(0));
        }
    }
    assert_eq!(sim.dispatcher.summary().sick, 1);
}

/// A job whose tasks may fail `attempts` times.
fn with_attempts(attempts: u32, record: JobRecord) -> JobRecord {
    JobRecord {
        queue: QueueSettings {
            attempts,
            ..record.queue
        },
        ..record
    }
}

/// A step that only the worker of [`only_worker_sick`] may run.
fn special(step: Step) -> Step {
    Step {
        label: Some(ArcStr::from("special")),
        ..step
    }
}

/// Four workers, of which the first one alone has a label and is large. The runs that were started
/// on it have failed, and it is sound again.
fn only_worker_sick() -> Simulation {
    let mut sim = Simulation::new(4);
    sim.worker(0).report.labels.push(ArcStr::from("special"));
    for i in 1..4 {
        sim.worker(i).report.capacity = Resources::new(16_000, Bytes::from_gib(256).0, 0);
    }
    sim.list_workers();
    sim.worker(0).fault = Fault::Failing;
    for i in 10..14 {
        let record = job(0, vec![special(step(1, 8, Span::from_millis(300)))]);
        sim.submit(i, with_attempts(1, record));
        sim.run(Span::from_secs(1));
    }
    assert_eq!(sim.dispatcher.summary().sick, 1);
    sim.worker(0).fault = Fault::None;
    sim
}

/// Guards against a task that waits for good because its last attempt is no probe and no other
/// task comes to probe the only worker that may run it.
#[test]
fn a_last_attempt_starts_on_the_only_worker_after_its_fault() {
    let mut sim = only_worker_sick();
    let record = job(0, vec![special(step(2, 8, Span::from_millis(300)))]);
    let key = sim.submit(100, with_attempts(1, record));
    sim.run(FINITE_RETURN_BOUND);
    assert!(sim.completed.contains_key(&key));
}

/// Guards against a gang that waits for good because its last attempt is no probe.
#[test]
fn the_last_attempt_of_a_gang_starts_on_the_only_worker_after_its_fault() {
    let mut sim = only_worker_sick();
    let gang = Step {
        gang: true,
        ..special(step(1, 8, Span::from_millis(300)))
    };
    let key = sim.submit(100, with_attempts(1, job(0, vec![gang])));
    sim.run(FINITE_RETURN_BOUND);
    assert!(sim.completed.contains_key(&key));
}

/// Guards against tasks that wait for good because one task of their step has a single attempt
/// left: none of them was a probe then.
#[test]
fn a_step_probes_although_one_of_its_tasks_must_not() {
    let mut sim = only_worker_sick();
    sim.worker(0).fault = Fault::FailingStarts;
    let record = job(0, vec![special(step(3, 8, Span::from_secs(1)))]);
    let key = sim.submit(100, with_attempts(2, record));
    while sim.starts.iter().all(|(_, _, t, _)| t.step.job != key) {
        sim.run(Span::from_millis(20));
    }
    sim.run(Span::from_millis(300));
    sim.worker(0).fault = Fault::None;
    sim.run(RETURN_BOUND);
    assert!(sim.completed.contains_key(&key));
}

/// Guards against a step that waits for good behind one of the same size that must not probe the
/// only worker with room.
#[test]
fn a_step_that_must_not_probe_hides_none_that_may() {
    let mut sim = only_worker_sick();
    let large = || job(0, vec![step(1, 32, Span::from_millis(300))]);
    let first = sim.submit(100, with_attempts(1, large()));
    let second = sim.submit(101, job(1, vec![step(1, 32, Span::from_millis(300))]));
    // In time for a probe, and too early for one by the first job.
    sim.run(Span::from_secs(4));
    assert!(sim.completed.contains_key(&second));
    assert!(sim.completed.contains_key(&first));
}

/// Guards against a gang that waits for good because several members need the room of a worker
/// that gets one probe at a time.
#[test]
fn a_gang_probes_a_worker_with_several_members() {
    let mut sim = only_worker_sick();
    let gang = Step {
        gang: true,
        ..step(2, 32, Span::from_millis(300))
    };
    let key = sim.submit(100, job(0, vec![gang]));
    sim.run(RETURN_BOUND);
    assert!(sim.completed.contains_key(&key));
}

/// Guards against tasks that wait until a long probe has ended, although it shows no fault.
#[test]
fn a_long_probe_does_not_hold_back_other_tasks() {
    let mut sim = only_worker_sick();
    sim.submit(100, job(0, vec![special(step(1, 8, Span::from_secs(60)))]));
    sim.run(Span::from_secs(5));
    let key = sim.submit(101, job(0, vec![special(step(1, 8, Span::from_secs(1)))]));
    sim.run(FINITE_RETURN_BOUND);
    assert!(sim.completed.contains_key(&key));
}
