//! Reasons for which ready steps wait.

use super::simulation::Fault;
use super::{Simulation, job, long_running, step};
use crate::dispatch::{JobKey, Step, StepKey};
use crate::model::Span;

fn hold(sim: &Simulation, job: JobKey) -> Option<String> {
    let step = StepKey {
        job,
        occurrence: 0,
        step: 0,
    };
    Some(sim.dispatcher.hold(step, sim.now)?.to_string())
}

/// Guards against a step that waits without a trace of the reason.
#[test]
fn a_waiting_step_names_what_rules_out_each_worker() {
    let mut sim = Simulation::new(2);
    sim.submit(1, job(0, vec![long_running(2, 40)]));
    sim.run(Span::from_millis(500));
    let unlabelled = Step {
        label: Some("gpu".into()),
        ..step(1, 4, Span::from_secs(1))
    };
    let unlabelled = sim.submit(2, job(0, vec![unlabelled]));
    let large = sim.submit(3, job(0, vec![step(1, 60, Span::from_secs(1))]));
    let untested = Step {
        best_effort: true,
        ..step(1, 7, Span::from_secs(1))
    };
    let untested = sim.submit(4, job(2, vec![untested]));
    let placed = sim.submit(5, job(0, vec![step(1, 4, Span::from_secs(1))]));
    sim.run(Span::from_millis(100));
    assert_eq!(hold(&sim, unlabelled).unwrap(), "workers: label=2");
    assert_eq!(hold(&sim, large).unwrap(), "workers: processor=2");
    let reason = "workers: unknown-interference=2";
    assert_eq!(hold(&sim, untested).unwrap(), reason);
    assert_eq!(hold(&sim, placed), None);
}

/// Guards against taking a wait for earlier terms for one for a worker.
#[test]
fn a_waiting_step_names_earlier_terms() {
    let mut sim = Simulation::new(2);
    sim.worker(0).fault = Fault::Partitioned;
    let key = sim.submit(1, job(0, vec![step(1, 4, Span::from_secs(1))]));
    sim.change_leader();
    sim.run(Span::from_secs(2));
    assert_eq!(hold(&sim, key).unwrap(), "earlier terms");
}

/// Guards against a starved step that waits without a trace of what refuses it.
#[test]
fn a_starved_step_names_serving_tasks_above_their_target() {
    let mut sim = Simulation::new(2);
    sim.submit(1, job(0, vec![long_running(2, 40)]));
    sim.run(Span::from_millis(500));
    for worker in sim.dispatcher.workers.values_mut() {
        for run in worker.runs.values_mut() {
            run.above_target = Some(sim.now);
        }
    }
    let untested = Step {
        best_effort: true,
        ..step(1, 7, Span::from_secs(1))
    };
    let job = sim.submit(2, job(2, vec![untested]));
    let step = StepKey {
        job,
        occurrence: 0,
        step: 0,
    };
    let refusals = sim.dispatcher.starved_refusals(step, sim.now).unwrap();
    assert_eq!(refusals.to_string(), "admits=2 above=2; runs=0 paused=0");
}
