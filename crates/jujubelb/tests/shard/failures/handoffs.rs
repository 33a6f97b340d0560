//! Handoffs between shards that are interrupted, repeated or delayed.

use jujubelb::model::{Action, Attempt, Code, Epoch, JobSpec, Span, TaskId};
use jujubelb::shard::{Input, Offer, RequestId};
use jujubelb::worker::Phase;

use super::{IN_A, SECOND, attempts, finish, records, running, started, world};
use crate::support::policy::PolicyCommand;
use crate::support::store::WriteFault;
use crate::support::world::{MessageFault, job};

/// Guards against a decision record that names the wrong shard of a handoff.
#[test]
fn each_record_of_a_handoff_names_the_other_shard() {
    let mut world = running(1);
    world.set_out(0, true);
    world.advance(Span::from_secs(8));
    let ends = [
        (0, Action::HandOff, "a", "b"),
        (3, Action::Receive, "b", "a"),
    ];
    for (p, action, own, other) in ends {
        let records = records(&world, p);
        let record = records.iter().find(|r| r.action == action).unwrap();
        assert_eq!(record.place.as_deref(), Some(other), "{action}");
        assert_eq!(record.shard.as_ref().unwrap().0.as_str(), own, "{action}");
    }
    finish(world);
}

/// Guards against a cancellation that does not reach tasks that were handed off.
#[test]
fn a_cancellation_follows_tasks_that_were_handed_off() {
    let mut world = running(3);
    world.set_out(0, true);
    world.advance(Span::from_secs(8));
    assert_eq!(started(&world), 3);
    world.cancel(&IN_A.into());
    world.advance(Span::from_secs(4));
    assert_eq!(world.cancel_codes, [(IN_A.into(), Code::Done)]);
    assert_eq!(started(&world), 0);
    finish(world);
}

/// Guards against a task that runs in both shards after an interrupted handoff.
#[test]
fn a_handoff_survives_interruption_at_each_step() {
    for interruption in 0..6 {
        let mut world = running(2);
        world.command_policy(0, PolicyCommand::Evict(0));
        world.advance(SECOND);
        match interruption {
            0 => world.offer_faults = vec![MessageFault::Drop; 2],
            1 => world.offer_faults = vec![MessageFault::LoseReply; 2],
            2 => world.offer_faults = vec![MessageFault::Delay, MessageFault::Duplicate],
            3 => world
                .store
                .fail_writes([WriteFault::Refuse, WriteFault::LoseReply]),
            _ => {}
        }
        world.set_out(0, true);
        world.advance(Span::from_millis(1_400));
        match interruption {
            4 => world.crash(0, false),
            5 => world.crash(3, false),
            _ => {}
        }
        world.advance(Span::from_secs(15));
        world.deliver_delayed();
        world.advance(Span::from_secs(5));
        let places = attempts(&world);
        assert_eq!(places.len(), 2, "{interruption}: {places:?}");
        finish(world);
    }
}

/// Guards against an offer that was refused and withdrawn, but is accepted when a
/// delayed copy of it arrives.
#[test]
fn a_late_copy_of_a_refused_offer_is_not_taken() {
    let mut world = world();
    world.set_out(1, true);
    // One task does not fit into shard a, so it waits in the queue.
    world.submit(job(IN_A, 3, 3_000));
    world.advance(SECOND + SECOND);
    world.offer_faults = vec![MessageFault::Duplicate];
    world.command_policy(0, PolicyCommand::HandOff(0));
    world.advance(SECOND);
    world.set_out(1, false);
    for (worker, _) in &mut world.workers {
        worker.finish(0, Phase::Succeeded);
    }
    world.advance(SECOND + SECOND);
    assert_eq!(
        started(&world),
        1,
        "the refused task runs in its home shard"
    );
    world.deliver_delayed();
    world.advance(SECOND + SECOND);
    assert_eq!(started(&world), 1);
    finish(world);
}

/// Guards against a refusal that also applies to later offers of the same task.
#[test]
fn a_refused_task_can_be_offered_to_the_same_shard_again() {
    let mut world = world();
    world.set_out(1, true);
    world.submit(job(IN_A, 3, 3_000));
    world.advance(SECOND + SECOND);
    world.command_policy(0, PolicyCommand::HandOff(0));
    world.advance(SECOND);
    world.set_out(1, false);
    world.advance(SECOND);
    world.command_policy(0, PolicyCommand::HandOff(0));
    world.advance(SECOND + SECOND);
    let received = world.workers[2..]
        .iter()
        .map(|(w, _)| w.running().count())
        .sum::<usize>();
    assert_eq!(received, 1);
    finish(world);
}

fn offer(job: JobSpec, index: u32, epoch: u64) -> Offer {
    Offer {
        from: "a".into(),
        to: "b".into(),
        epoch: Epoch(epoch),
        task: TaskId {
            job: job.name.clone(),
            index,
        },
        job,
        attempt: Attempt(0),
        checkpoint: None,
        parent: None,
    }
}

/// Guards against accepting an offer of a replaced owner that arrives after the
/// answer to its first copy has left the retained answers.
#[test]
fn an_offer_of_a_replaced_owner_stays_stale() {
    const MORE_THAN_RETAINED: u32 = 6_000;
    let mut world = world();
    // Accepted by another shard, which this world does not have.
    world.oracle.jobs.entry("old".into()).or_default().may_run = true;
    let old = offer(job("old", 1, 1_000), 0, 1);
    world.send_input(3, Input::Offer(RequestId(1_000_000), old.clone()));
    world.advance(SECOND + SECOND);
    assert_eq!(started(&world), 1);
    world.workers[2].0.finish(0, Phase::Succeeded);
    world.advance(SECOND + SECOND);
    for index in 0..MORE_THAN_RETAINED {
        let next = offer(job("next", MORE_THAN_RETAINED, 8_000), index, 2);
        let request = RequestId(2_000_000 + u64::from(index));
        world.send_input(3, Input::Offer(request, next));
    }
    world.advance(SECOND + SECOND);
    world.send_input(3, Input::Offer(RequestId(3_000_000), old));
    world.advance(SECOND + SECOND);
    assert_eq!(world.oracle.violations, Vec::<String>::new());
}

/// Guards against accepting an offer of a replaced owner after the offer of its
/// successor was accepted.
#[test]
fn a_held_back_offer_of_a_replaced_owner_is_not_taken() {
    let mut world = world();
    world.submit(job(IN_A, 3, 3_000));
    world.advance(SECOND + SECOND);
    world.offer_faults = vec![MessageFault::Delay];
    world.command_policy(0, PolicyCommand::HandOff(0));
    world.advance(Span::from_millis(600));
    world.crash(0, false);
    world.advance(Span::from_secs(10));
    let received = world.workers[2..]
        .iter()
        .map(|(w, _)| w.running().count())
        .sum::<usize>();
    assert_eq!(received, 1, "the successor repeated the offer");
    world.deliver_delayed();
    world.advance(SECOND + SECOND);
    finish(world);
}
