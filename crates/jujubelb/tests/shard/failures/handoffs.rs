//! Hand-offs between shards that are interrupted, repeated or late.

use jujubelb::model::{Action, Attempt, Code, Epoch, JobSpec, Span, TaskId};
use jujubelb::shard::{Input, Offer, RequestId};
use jujubelb::worker::Phase;

use super::{IN_A, SECOND, attempts, finish, records, running, started, world};
use crate::support::policy::Wish;
use crate::support::store::Fault;
use crate::support::world::{Mode, job};

/// Guards against an explanation that names the wrong end of a hand-off.
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
    assert_eq!(world.cancelled, [(IN_A.into(), Code::Done)]);
    assert_eq!(started(&world), 0);
    finish(world);
}

/// Guards against a task that runs at both ends of an interrupted handoff.
#[test]
fn a_handoff_survives_interruption_at_each_step() {
    for interruption in 0..6 {
        let mut world = running(2);
        world.wish(0, Wish::Evict(0));
        world.advance(SECOND);
        match interruption {
            0 => world.offer_modes = vec![Mode::Drop; 2],
            1 => world.offer_modes = vec![Mode::LoseAnswer; 2],
            2 => world.offer_modes = vec![Mode::Delay, Mode::Duplicate],
            3 => world.store.fail_writes([Fault::Refuse, Fault::LoseAnswer]),
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
        world.deliver_late();
        world.advance(Span::from_secs(5));
        let places = attempts(&world);
        assert_eq!(places.len(), 2, "{interruption}: {places:?}");
        finish(world);
    }
}

/// Guards against an offer that was refused and withdrawn, and is taken after
/// all when a copy of it arrives late.
#[test]
fn a_late_copy_of_a_refused_offer_is_not_taken() {
    let mut world = world();
    world.set_out(1, true);
    // Too large for the rest of shard a, so that it waits in the queue.
    world.submit(job(IN_A, 3, 3_000));
    world.advance(SECOND + SECOND);
    world.offer_modes = vec![Mode::Duplicate];
    world.wish(0, Wish::HandOff(0));
    world.advance(SECOND);
    world.set_out(1, false);
    for (worker, _) in &mut world.workers {
        worker.finish(0, Phase::Succeeded);
    }
    world.advance(SECOND + SECOND);
    assert_eq!(started(&world), 1, "the refused task runs at home");
    world.deliver_late();
    world.advance(SECOND + SECOND);
    assert_eq!(started(&world), 1);
    finish(world);
}

/// Guards against a refusal that holds for ever, also for a later offer of the same task.
#[test]
fn a_refused_task_can_be_offered_to_the_same_shard_again() {
    let mut world = world();
    world.set_out(1, true);
    world.submit(job(IN_A, 3, 3_000));
    world.advance(SECOND + SECOND);
    world.wish(0, Wish::HandOff(0));
    world.advance(SECOND);
    world.set_out(1, false);
    world.advance(SECOND);
    world.wish(0, Wish::HandOff(0));
    world.advance(SECOND + SECOND);
    let taken = world.workers[2..]
        .iter()
        .map(|(w, _)| w.running().count())
        .sum::<usize>();
    assert_eq!(taken, 1);
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

/// Guards against an offer of a replaced owner that arrives when the answer to
/// its repeat is no longer kept.
#[test]
fn an_offer_of_a_replaced_owner_is_stale_for_ever() {
    const MORE_THAN_KEPT: u32 = 6_000;
    let mut world = world();
    // Accepted by another shard, which this world does not have.
    world.oracle.jobs.entry("old".into()).or_default().may_run = true;
    let old = offer(job("old", 1, 1_000), 0, 1);
    world.give(3, Input::Offer(RequestId(1_000_000), old.clone()));
    world.advance(SECOND + SECOND);
    assert_eq!(started(&world), 1);
    world.workers[2].0.finish(0, Phase::Succeeded);
    world.advance(SECOND + SECOND);
    for index in 0..MORE_THAN_KEPT {
        let next = offer(job("next", MORE_THAN_KEPT, 8_000), index, 2);
        let ticket = RequestId(2_000_000 + u64::from(index));
        world.give(3, Input::Offer(ticket, next));
    }
    world.advance(SECOND + SECOND);
    world.give(3, Input::Offer(RequestId(3_000_000), old));
    world.advance(SECOND + SECOND);
    assert_eq!(world.oracle.violations, Vec::<String>::new());
}

/// Guards against an offer of a replaced owner that is taken after its successor settled it.
#[test]
fn a_held_back_offer_of_a_replaced_owner_is_not_taken() {
    let mut world = world();
    world.submit(job(IN_A, 3, 3_000));
    world.advance(SECOND + SECOND);
    world.offer_modes = vec![Mode::Delay];
    world.wish(0, Wish::HandOff(0));
    world.advance(Span::from_millis(600));
    world.crash(0, false);
    world.advance(Span::from_secs(10));
    let ours = world.workers[2..]
        .iter()
        .map(|(w, _)| w.running().count())
        .sum::<usize>();
    assert_eq!(ours, 1, "the successor repeated the offer");
    world.deliver_late();
    world.advance(SECOND + SECOND);
    finish(world);
}
