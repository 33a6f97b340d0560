//! Best-effort tasks beside serving tasks.

use super::{Simulation, job, long_running, step};
use crate::dispatch::Step;
use crate::model::{Bytes, Span};

fn best_effort(count: u32, cores: u64, estimate: Span) -> Step {
    Step {
        best_effort: true,
        checkpoints: true,
        ..step(count, cores, estimate)
    }
}

/// Time in which the headroom of serving tasks without neighbours becomes known. Before, no
/// image of unknown interference is placed beside them.
const BASELINE: Span = Span::from_millis(2_500);

/// Guards against placing a batch beside serving tasks, where it would be slowed, while
/// other workers are free.
#[test]
fn best_effort_tasks_avoid_serving_tasks() {
    let mut sim = Simulation::new(4);
    sim.submit(1, job(0, vec![long_running(8, 13)]));
    sim.run(Span::from_millis(500));
    let key = sim.submit(2, job(2, vec![best_effort(16, 7, Span::from_secs(2))]));
    sim.run(Span::from_secs(4));
    assert!(sim.completed.contains_key(&key));
}

/// Guards against serving tasks that spread over all workers with batches, and against
/// displaced best-effort tasks that stay paused instead of moving to another worker.
#[test]
fn serving_tasks_displace_best_effort_tasks() {
    let mut sim = Simulation::new(4);
    let key = sim.submit(1, job(2, vec![best_effort(32, 7, Span::from_secs(3))]));
    sim.run(Span::from_millis(500));
    sim.submit(2, job(0, vec![long_running(4, 13)]));
    sim.run(Span::from_secs(14));
    assert!(sim.completed.contains_key(&key));
    let serving: std::collections::BTreeSet<_> = sim
        .starts
        .iter()
        .filter(|(_, _, t, _)| t.step.job.0 == 2)
        .map(|(_, w, ..)| w.clone())
        .collect();
    assert_eq!(serving.len(), 1);
}

/// Guards against slowing a batch without interference because of another one on the same
/// worker, and against serving tasks that stay above their target.
#[test]
fn only_the_cause_of_high_tail_latency_is_slowed() {
    let mut sim = Simulation::new(1);
    let serving = long_running(2, 10);
    sim.submit(1, job(0, vec![serving]));
    sim.run(BASELINE);
    let harmless = Step {
        image: Some("light".into()),
        ..best_effort(3, 6, Span::from_secs(3))
    };
    let harmful = Step {
        image: Some("heavy".into()),
        checkpoints: false,
        ..best_effort(1, 6, Span::from_secs(3))
    };
    let light = sim.submit(2, job(2, vec![harmless]));
    sim.submit(3, job(2, vec![harmful]));
    sim.run(Span::from_secs(6));
    assert!(sim.completed.contains_key(&light));
    assert!(sim.longest_violation < Span::from_secs(4));
}

/// Guards against skipping the search for a batch because an earlier one of the same size,
/// whose image interferes with the serving tasks, could not be placed.
#[test]
fn an_unplaced_batch_does_not_block_another_image() {
    let mut sim = Simulation::new(1);
    sim.submit(1, job(0, vec![long_running(2, 10)]));
    sim.run(BASELINE);
    let image = |name: &str| Step {
        image: Some(name.into()),
        ..best_effort(2, 6, Span::from_secs(1))
    };
    // Both images run once, so that their interference is known.
    sim.submit(2, job(2, vec![image("light")]));
    sim.run(Span::from_secs(3));
    sim.submit(3, job(2, vec![image("heavy")]));
    sim.run(Span::from_secs(3));
    sim.submit(4, job(1, vec![image("heavy")]));
    let light = sim.submit(5, job(2, vec![image("light")]));
    sim.run(Span::from_millis(2_500));
    assert!(sim.completed.contains_key(&light));
}

/// Guards against filling up a worker with serving tasks of a second image. Best-effort
/// tasks interfere with some images only, so two workers with one image each can take more
/// of them than a worker with both.
#[test]
fn serving_images_are_kept_on_separate_workers() {
    let mut sim = Simulation::new(3);
    for (i, image) in [(0, "red"), (1, "blue")] {
        let mut serving = long_running(4, 10);
        serving.image = Some(image.into());
        serving.size.memory = Bytes::from_gib(40);
        sim.submit(i, job(0, vec![serving]));
        sim.run(Span::from_millis(500));
    }
    let workers = |id: u64| -> std::collections::BTreeSet<_> {
        let starts = sim.starts.iter().filter(|(_, _, t, _)| t.step.job.0 == id);
        starts.map(|(_, w, ..)| w.clone()).collect()
    };
    assert_eq!(workers(0).len(), 1);
    assert_eq!(workers(1).len(), 1);
    assert_ne!(workers(0), workers(1));
}

/// Guards against a best-effort job that never runs: its image takes more headroom than the
/// serving tasks on each worker can spare, and newer jobs use the processor time.
#[test]
fn a_late_batch_runs_though_each_worker_refuses_its_image() {
    let mut sim = Simulation::new(2);
    let mut serving = long_running(2, 10);
    serving.size.memory = Bytes::from_gib(100);
    sim.submit(1, job(0, vec![serving.clone()]));
    sim.submit(2, job(0, vec![serving]));
    sim.run(BASELINE);
    let image = |name: &str, count| Step {
        image: Some(name.into()),
        ..best_effort(count, 6, Span::from_secs(1))
    };
    // Both images run once, so that their interference is known.
    for (id, name) in [(3, "light"), (4, "heavy")] {
        sim.submit(id, job(2, vec![image(name, 2)]));
        sim.run(Span::from_secs(4));
    }
    let heavy = sim.submit(5, job(2, vec![image("heavy", 2)]));
    let submitted = sim.now;
    for id in 6..36 {
        sim.submit(id, job(2, vec![image("light", 16)]));
        sim.run(Span::from_secs(1));
    }
    let starts = sim.starts.iter();
    let first = starts
        .filter(|(_, _, t, _)| t.step.job == heavy)
        .map(|s| s.0);
    let waited = first.min().map(|at| at.since(submitted));
    assert!(waited.is_some_and(|w| w < Span::from_secs(5)), "{waited:?}");
    assert!(sim.completed.contains_key(&heavy));
    assert!(sim.longest_violation < Span::from_secs(4));
}
