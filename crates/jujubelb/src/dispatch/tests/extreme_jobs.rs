//! Jobs with the largest numbers that a submission may have.

use super::{Simulation, job, long_running, step};
use crate::dispatch::{JobRecord, JobSpecError, MAX_STEPS, Schedule, Step};
use crate::model::{Resources, Span, WallTime};

/// Longest estimate that a submission may have, 3,000 years.
const LONGEST: Span = Span::from_millis(100_000_000_000_000);

fn scheduled(steps: Vec<Step>, interval: Span, count: u32) -> JobRecord {
    let mut record = job(0, steps);
    record.spec.schedule = Some(Schedule {
        first: WallTime::ZERO,
        interval,
        count,
    });
    record
}

/// Guards against sums over tasks that overflow: they panic, or start from zero again, so that
/// a task that no worker has room for is placed.
#[test]
fn the_largest_sizes_and_estimates_are_planned() {
    let mut sim = Simulation::new(2);
    let small = sim.submit(9, job(1, vec![step(4, 4, Span::from_millis(600))]));
    sim.run(Span::from_millis(200));
    assert_eq!(sim.running(small), 4);
    for (id, size) in (1..).zip([
        Resources::new(1_000_000_000_000, 1 << 60, u32::MAX),
        Resources::new(u64::MAX, u64::MAX, 0),
    ]) {
        let large = |step: Step| Step {
            size,
            estimate: LONGEST,
            ..step
        };
        let mut steps: Vec<Step> = vec![large(step(10_000, 1, LONGEST)); 4];
        steps[1].after = vec![0];
        steps[2].best_effort = true;
        steps[3] = large(long_running(100, 1));
        sim.submit(id, job(0, steps));
    }
    sim.run(Span::from_secs(1));
    assert!(sim.completed.contains_key(&small));
    assert_eq!(sim.starts.len(), 4);
}

/// Guards against a schedule whose occurrences are all due at once, and that holds up the
/// leader and takes all of its memory. The occurrences go on as earlier ones end.
#[test]
fn occurrences_that_are_all_due_begin_in_turn() {
    let mut sim = Simulation::new(2);
    let steps = vec![step(1, 64, Span::from_millis(20))];
    let endless = sim.submit(1, scheduled(steps, Span::ZERO, u32::MAX));
    sim.run(Span::from_millis(500));
    assert!(sim.running(endless) > 0);
    let first = sim.starts.len();
    sim.run(Span::from_millis(500));
    assert!(sim.starts.len() > first);
    assert!(sim.dispatcher.summary().waiting <= 1_000);
    let steps = vec![step(1, 64, Span::from_millis(20))];
    let some = sim.submit(2, scheduled(steps, Span::ZERO, 3));
    sim.cancel(endless);
    sim.run(Span::from_secs(1));
    assert!(sim.completed.contains_key(&some));
    let steps = vec![step(10_000, 1, LONGEST)];
    sim.submit(3, scheduled(steps, Span::ZERO, u32::MAX));
    sim.run(Span::from_millis(100));
    assert!(sim.dispatcher.summary().waiting <= 100_000);
}

/// Guards against a submission of a few bytes a step that takes seconds of the leader's time
/// or all of its memory.
#[test]
fn jobs_with_too_many_steps_or_tasks_are_refused() {
    let spec = |steps| job(0, steps).spec;
    let small = step(1, 1, Span::ZERO);
    assert_eq!(spec(vec![small.clone(); MAX_STEPS]).check(), Ok(()));
    let more = spec(vec![small; MAX_STEPS + 1]).check();
    assert_eq!(more, Err(JobSpecError::StepCount));
    let large = step(10_000, 1, Span::ZERO);
    assert_eq!(spec(vec![large.clone(); 10]).check(), Ok(()));
    let more = spec(vec![large; 11]).check();
    assert_eq!(more, Err(JobSpecError::JobTaskCount));
}
