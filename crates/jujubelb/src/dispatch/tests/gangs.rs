//! Gangs: all members start or none.

use arcstr::ArcStr;

use super::simulation::TIME_STEP;
use super::{Simulation, job, step};
use crate::dispatch::{Incarnation, Order, PollReply, RunCompletion, RunOutcome, Step};
use crate::model::Span;

/// Guards against starting some members of a gang that then hold capacity while the others
/// wait.
#[test]
fn a_gang_waits_until_all_members_fit() {
    let mut sim = Simulation::new(1);
    let blocker = sim.submit(1, job(0, vec![step(1, 40, Span::from_secs(2))]));
    sim.run(Span::from_millis(200));
    let gang = Step {
        gang: true,
        ..step(4, 10, Span::from_secs(1))
    };
    let key = sim.submit(2, job(0, vec![gang]));
    sim.run(Span::from_secs(1));
    assert_eq!(sim.running(key), 0);
    sim.run(Span::from_secs(4));
    assert!(sim.completed.contains_key(&blocker));
    assert!(sim.completed.contains_key(&key));
}

/// Guards against spreading a gang over racks although a single rack has enough capacity.
#[test]
fn a_same_rack_gang_starts_on_one_rack() {
    let mut sim = Simulation::new(8);
    let gang = Step {
        gang: true,
        same_rack: true,
        ..step(6, 30, Span::from_secs(1))
    };
    sim.submit(1, job(0, vec![gang]));
    sim.run(Span::from_millis(400));
    let racks: std::collections::BTreeSet<_> = sim
        .starts
        .iter()
        .map(|(_, w, ..)| sim.workers[w].report.rack.clone())
        .collect();
    assert_eq!(sim.starts.len(), 6);
    assert_eq!(racks.len(), 1);
}

/// Guards against members that start again with different checkpoints and never work together:
/// the workers of a gang report the values that they have saved at different times.
#[test]
fn members_start_again_with_one_checkpoint() {
    let mut sim = Simulation::new(4);
    let gang = Step {
        gang: true,
        checkpoints: true,
        ..step(4, 40, Span::from_secs(9))
    };
    sim.submit(1, job(0, vec![gang]));
    sim.run(Span::from_millis(400));
    let members = sim.starts.clone();
    assert_eq!(members.len(), 4);
    for (i, (_, name, task, run)) in members.iter().enumerate() {
        sim.now = sim.now + TIME_STEP;
        let worker = &sim.workers[name];
        let reply = PollReply {
            incarnation: Some(Incarnation(worker.incarnation)),
            clock: worker.clock(sim.now),
            running: Vec::new(),
            finished: vec![RunCompletion {
                sequence: 1,
                task: *task,
                run: *run,
                outcome: RunOutcome::Broken,
                // The third worker has not saved any.
                checkpoint: (i != 2).then(|| ArcStr::from(format!("saved-{i}"))),
            }],
        };
        sim.dispatcher.poll_answered(name, sim.now, &reply, sim.now);
    }
    let orders = sim.dispatcher.plan(sim.wall(), sim.now);
    let checkpoints: Vec<Option<ArcStr>> = orders
        .iter()
        .filter_map(|order| match &order.order {
            Order::Start { checkpoint, .. } => Some(checkpoint.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(checkpoints, vec![Some(ArcStr::from("saved-3")); 4]);
}
