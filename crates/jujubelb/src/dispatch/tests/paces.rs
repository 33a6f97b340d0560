//! Paces of best-effort runs on their workers, and what the leader knows of them.

use super::simulation::Fault;
use super::{Simulation, job, long_running, step};
use crate::dispatch::{Order, Step, TaskKey};
use crate::model::{Span, Time};

fn best_effort(count: u32, estimate: Span) -> Step {
    Step {
        best_effort: true,
        image: Some("heavy".into()),
        ..step(count, 6, estimate)
    }
}

fn starts(sim: &Simulation, is_wanted: impl Fn(&TaskKey) -> bool) -> usize {
    sim.starts
        .iter()
        .filter(|(_, _, t, _)| is_wanted(t))
        .count()
}

/// Guards against a run that stands still, and counts against its worker, after a change of the leader.
#[test]
fn an_adopted_run_that_is_paused_goes_on() {
    let mut sim = Simulation::new(1);
    let key = sim.submit(1, job(2, vec![best_effort(2, Span::from_secs(3))]));
    sim.run(Span::from_secs(1));
    sim.set_pace(0, 0);
    sim.change_leader();
    sim.run(Span::from_secs(4));
    assert!(sim.completed.contains_key(&key));
    assert_eq!(starts(&sim, |t| t.step.job == key), 2);
}

/// Guards against a run that disturbs serving tasks for good because the order that slows it was lost.
#[test]
fn a_lost_pace_order_is_repeated() {
    let mut sim = Simulation::new(1);
    let key = sim.submit(1, job(2, vec![best_effort(2, Span::from_secs(30))]));
    sim.run(Span::from_millis(500));
    sim.worker(0).fault = Fault::LostPaces;
    sim.submit(2, job(0, vec![long_running(2, 10)]));
    sim.run(Span::from_secs(3));
    sim.worker(0).fault = Fault::None;
    sim.run(Span::from_secs(10));
    assert!(starts(&sim, |t| t.step.job == key) >= 2);
    let violation = sim.longest_violation;
    assert!(violation < Span::from_secs(5), "{violation:?}");
}

/// Guards against stopping a slowed run of a long task because its progress takes longer to show.
#[test]
fn a_slowed_run_of_a_long_task_does_not_look_stalled() {
    let mut sim = Simulation::new(1);
    let key = sim.submit(1, job(2, vec![best_effort(1, Span::from_secs(80))]));
    sim.run(Span::from_secs(1));
    sim.set_pace(0, 20);
    let now = sim.now;
    let worker = &mut sim.dispatcher.workers[0];
    // The leader changes no pace before then.
    worker.pace_adjusted = now + Span::from_secs(60);
    for run in worker.runs.values_mut() {
        run.pace = 20;
    }
    sim.run(Span::from_secs(20));
    assert_eq!(starts(&sim, |t| t.step.job == key), 1);
}

/// Guards against a serving task that stays above its target because a paused run counts as the cause.
#[test]
fn a_run_at_work_is_slowed_although_a_paused_one_interferes_more() {
    let mut sim = Simulation::new(1);
    sim.submit(1, job(0, vec![long_running(2, 10)]));
    sim.submit(2, job(2, vec![best_effort(1, Span::from_secs(60))]));
    sim.submit(3, job(2, vec![best_effort(1, Span::from_secs(60))]));
    sim.run(Span::from_secs(4));
    let now = sim.now;
    let worker = &mut sim.dispatcher.workers[0];
    assert_eq!(worker.load.best_effort_tasks, 2);
    let mut last = true;
    for run in worker.runs.values_mut().rev() {
        if run.best_effort {
            run.pace = if last { 0 } else { 40 };
            run.worker_pace = Some(run.pace);
            last = false;
        } else {
            run.above_target = Some(now);
        }
    }
    worker.pace_adjusted = Time::ZERO;
    let mut orders = Vec::new();
    sim.dispatcher.adjust_paces(&mut orders, now);
    let paces = orders.iter().filter_map(|o| match o.order {
        Order::Pace { percent, .. } => Some(percent),
        _ => None,
    });
    assert!(paces.max().is_some_and(|p| p <= 20));
}
/// Guards against a run that can't be moved and is paused for as long as its worker lacks headroom.
#[test]
fn a_paused_run_without_checkpoints_goes_on_in_its_turn() {
    let mut sim = Simulation::new(1);
    sim.submit(1, job(0, vec![long_running(2, 10)]));
    sim.run(Span::from_millis(2_500));
    let key = sim.submit(2, job(2, vec![best_effort(1, Span::from_secs(8))]));
    sim.run(Span::from_millis(200));
    sim.worker(0).own_tail = 80;
    sim.run(Span::from_secs(60));
    assert!(sim.completed.contains_key(&key));
}
