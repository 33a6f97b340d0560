//! Jobs that are cancelled, fail or are parked, and a faulty policy.

use jujubelb::model::Code;
use jujubelb::shard::MAX_EVIDENCE_AGE;
use jujubelb::worker::Phase;

use super::{IN_A, IN_B, SECOND, finish, running, started, world};
use crate::support::policy::PolicyCommand;
use crate::support::world::{TICK, job};

/// Guards against a cancelled job that continues to run, and against different
/// answers to a repeated cancellation.
#[test]
fn a_cancelled_job_stops_and_a_repeat_gets_the_same_answer() {
    let mut world = running(2);
    world.submit(job(IN_B, 20, 1_000));
    world.cancel(&IN_A.into());
    world.cancel(&IN_A.into());
    world.cancel(&"unknown".into());
    world.cancel(&IN_B.into());
    world.advance(SECOND + SECOND + SECOND);
    assert_eq!(started(&world), 0);
    world.cancel(&IN_A.into());
    world.advance(SECOND);
    let done = world
        .cancel_codes
        .iter()
        .filter(|(_, code)| *code == Code::Done);
    assert_eq!(done.count(), 4);
    assert!(
        world
            .cancel_codes
            .contains(&("unknown".into(), Code::NotFound))
    );
    finish(world);
}

/// Guards against a failing task that is attempted again at once, or for ever at the same rate.
#[test]
fn failed_tasks_are_attempted_again_after_growing_pauses() {
    let mut world = running(1);
    let mut starts = Vec::new();
    for _ in 0..200 {
        let newest = world
            .workers
            .iter_mut()
            .filter_map(|(w, _)| w.finish(0, Phase::Failed));
        if newest.count() > 0 {
            starts.push(world.now);
        }
        world.advance(TICK);
    }
    let pauses: Vec<_> = starts.windows(2).map(|w| w[1].since(w[0])).collect();
    assert!(pauses.len() >= 3, "{pauses:?}");
    assert!(pauses.windows(2).all(|w| w[1] > w[0]), "{pauses:?}");
    finish(world);
}

/// Guards against a parked job that is attempted again or can't be cancelled.
#[test]
fn a_parked_job_waits_for_its_cancellation() {
    let mut world = world();
    world.processes[0].config_unreadable = true;
    world.advance(MAX_EVIDENCE_AGE);
    world.submit(job(IN_A, 2, 500));
    world.advance(SECOND);
    world.command_policy(0, PolicyCommand::Park(0));
    world.advance(SECOND);
    world.processes[0].config_unreadable = false;
    world.advance(SECOND + SECOND);
    assert_eq!(started(&world), 0);
    let owner = world.processes[0].owner.as_ref().unwrap();
    assert!(
        owner
            .tasks()
            .iter()
            .all(|task| task.state.starts_with("parked"))
    );
    world.cancel(&IN_A.into());
    world.advance(SECOND);
    assert!(
        world.processes[0]
            .owner
            .as_ref()
            .unwrap()
            .tasks()
            .is_empty()
    );
    finish(world);
}

/// Guards against a policy that assigns more than the capacity or assigns tasks
/// to workers that accept none.
#[test]
fn a_faulty_policy_can_not_exceed_capacity() {
    let mut world = world();
    world.workers[1].0.leaving = true;
    world.advance(SECOND + SECOND);
    world.submit(job(IN_A, 8, 1_000));
    for _ in 0..20 {
        world.command_policy(0, PolicyCommand::Overcommit);
        world.command_policy(0, PolicyCommand::Resize(0, 9_000));
        world.advance(TICK);
    }
    assert_eq!(world.workers[0].0.running().count(), 4);
    assert_eq!(world.workers[1].0.running().count(), 0);
    let dump = world.processes[0].owner.as_ref().unwrap().dump(world.now);
    assert!(
        dump["sizes"]["decisions_refused"].as_u64() > Some(20),
        "{dump}"
    );
    finish(world);
}
