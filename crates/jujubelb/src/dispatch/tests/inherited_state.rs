//! Leaders whose stored state is older than what workers report.

use super::simulation::Fault;
use super::{Simulation, job, step};
use crate::dispatch::{JobRecord, Schedule, Step, TaskKey};
use crate::model::{Resources, Span, WallTime};

/// Time between two occurrences of a job.
const INTERVAL: Span = Span::from_secs(60);

/// A job of which as many occurrences are due before `now`, each with these steps.
fn overdue_job(steps: Vec<Step>, count: u32, now: WallTime) -> JobRecord {
    let mut record = job(1, steps);
    let age = INTERVAL.scale_up(u64::from(count), 1);
    record.spec.schedule = Some(Schedule {
        first: WallTime::from_micros(now.as_micros() - age.as_micros()),
        interval: INTERVAL,
        count,
    });
    record
}

/// A step of tasks that are so small that a worker runs hundreds.
fn small_tasks(count: u32, estimate: Span) -> Step {
    Step {
        size: Resources::new(100, 0, 0),
        ..step(count, 1, estimate)
    }
}

/// Guards against tasks that start again although they are done, since an answer lists no more than
/// 500 ends.
#[test]
fn ends_behind_the_first_answer_count() {
    for ends in [499, 500, 501, 640] {
        let mut sim = Simulation::new(1);
        let steps = vec![small_tasks(ends, Span::from_millis(900))];
        let key = sim.submit(1, job(1, steps));
        sim.run(Span::from_millis(500));
        assert_eq!(sim.running(key), ends as usize);
        sim.worker(0).fault = Fault::Partitioned;
        sim.run(Span::from_secs(1));
        assert_eq!(sim.unacknowledged(0), ends as usize);
        sim.worker(0).fault = Fault::None;
        sim.change_leader();
        sim.run(Span::from_secs(3));
        assert!(sim.completed.contains_key(&key), "{ends} ends");
        assert_eq!(sim.starts.len(), ends as usize);
    }
}

/// Guards against ends of occurrences that a new leader has not begun: their tasks would start
/// again, or the occurrences between would never run.
#[test]
fn occurrences_that_only_the_former_leader_has_begun_run_once() {
    const COUNT: u32 = 2_500;
    let mut sim = Simulation::new(8);
    let steps = vec![step(2, 1, Span::from_millis(400))];
    let key = sim.submit(1, overdue_job(steps, COUNT, sim.wall()));
    for _ in 0..3 {
        sim.run(Span::from_millis(500));
        sim.store_available = false;
        sim.run(Span::from_millis(900));
        sim.store_available = true;
        sim.change_leader();
    }
    sim.run(Span::from_secs(30));
    assert!(sim.completed.contains_key(&key));
    let tasks = sim.done.iter().filter(|t| t.step.job == key);
    assert_eq!(tasks.count(), 2 * COUNT as usize);
}

/// Guards against the other tasks of such an occurrence, which no event would start.
#[test]
fn the_other_tasks_of_an_adopted_occurrence_start() {
    let mut sim = Simulation::new(1);
    let steps = vec![step(2, 60, Span::from_millis(300))];
    let record = overdue_job(steps, 1, sim.wall());
    sim.store_available = false;
    let key = sim.submit(1, record);
    sim.run(Span::from_millis(100));
    let started: Vec<TaskKey> = sim.starts.iter().map(|(_, _, task, _)| *task).collect();
    assert_eq!(started.len(), 1);
    sim.change_leader();
    sim.poll_worker(0);
    sim.store_available = true;
    sim.run(Span::from_secs(3));
    assert!(sim.completed.contains_key(&key));
}
