//! Paces of best-effort runs on their workers, and what the leader knows of them.

use super::{Simulation, job, step};
use crate::dispatch::{Step, TaskKey};
use crate::model::Span;

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
