//! Late best-effort steps that each worker refuses.

use super::{Simulation, job, long_running, step};
use crate::dispatch::Step;
use crate::model::Span;

/// Time in which the headroom of serving tasks without neighbours becomes known.
const BASELINE: Span = Span::from_millis(2_500);

/// A step whose tasks the serving tasks of a worker can't bear at full pace.
fn harmful(count: u32, estimate: Span) -> Step {
    Step {
        best_effort: true,
        checkpoints: true,
        image: Some("heavy".into()),
        ..step(count, 6, estimate)
    }
}

/// Guards against accepted jobs without a run because others are paused or slowed on all workers.
#[test]
fn each_late_job_has_a_run_though_many_more_wait_than_workers_sustain() {
    let mut sim = Simulation::new(1);
    sim.submit(1, job(0, vec![long_running(2, 10)]));
    sim.run(BASELINE);
    let mut late = Vec::new();
    for id in 2..14 {
        late.push(sim.submit(id, job(2, vec![harmful(1, Span::from_secs(2))])));
    }
    sim.run(Span::from_secs(20));
    let idle = late
        .iter()
        .filter(|k| !sim.completed.contains_key(*k) && sim.running(**k) == 0);
    assert_eq!(idle.count(), 0);
    sim.run(Span::from_secs(60));
    assert!(late.iter().all(|k| sim.completed.contains_key(k)));
    assert!(sim.longest_violation < Span::from_secs(4));
}
