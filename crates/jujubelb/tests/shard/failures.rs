//! Each single failure that concerns a shard, with the behaviour that operators are promised.

use jujubelb::model::{
    Action, Attempt, Cause, Code, Epoch, JobSpec, Record, Resources, Span, TaskId,
};
use jujubelb::shard::{EVIDENCE_VALID, Input, LEASE, LEASE_WAIT, Offer, RENEWAL_AUTHORITY, Ticket};
use jujubelb::worker::Phase;

use super::support::ops::SETTLE;
use super::support::policy::Wish;
use super::support::store::Fault;
use super::support::world::{Mode, Sabotage, TICK, World, job};

const SECOND: Span = Span::from_secs(1);

/// Names of jobs by home shard; the home follows from the parity of the bytes.
const IN_A: &str = "j2";
const IN_B: &str = "j3";

fn world() -> World {
    let mut world = World::new(Sabotage::None);
    world.advance(SECOND + SECOND);
    world
}

/// A world in which a job of shard a runs with this many tasks.
fn running(tasks: u32) -> World {
    let mut world = world();
    world.submit(job(IN_A, tasks, 1_000));
    world.advance(SECOND + SECOND);
    assert_eq!(started(&world), tasks as usize);
    world
}

fn started(world: &World) -> usize {
    world.workers.iter().map(|(w, _)| w.running().count()).sum()
}

fn attempts(world: &World) -> Vec<String> {
    let all = world.workers.iter().flat_map(|(w, _)| {
        w.running()
            .map(|r| format!("{}#{} on {}", r.task, r.attempt, w.name))
    });
    all.collect()
}

fn finish(mut world: World) {
    world.settle(SETTLE);
    assert_eq!(world.oracle.violations, Vec::<String>::new());
}

fn records(world: &World, p: usize) -> Vec<Record> {
    let owner = world.processes[p].owner.as_ref().unwrap();
    owner.records(world.now, None, None)
}

/// Follows the parents of the newest record with this action to the root.
fn causes(world: &World, p: usize, action: Action) -> Vec<Cause> {
    let records = records(world, p);
    let mut next = records.iter().rev().find(|r| r.action == action);
    let mut causes = Vec::new();
    while let Some(record) = next {
        causes.push(record.cause);
        let parent = record.parent.as_ref();
        next = parent.and_then(|id| records.iter().find(|r| &r.id == id));
    }
    causes
}

/// Guards against tasks that stop or start anew when only the scheduler died.
#[test]
fn tasks_go_on_while_a_dead_scheduler_is_replaced() {
    let mut world = running(4);
    let before = attempts(&world);
    world.crash(0, false);
    world.advance(Span::from_secs(10));
    assert!(world.processes[0].owner.is_some() || world.processes[1].owner.is_some());
    assert_eq!(attempts(&world), before);
    finish(world);
}

/// Guards against a paused scheduler that acts after it was replaced.
#[test]
fn a_paused_scheduler_steps_down_when_it_wakes() {
    let mut world = running(4);
    world.submit(job("j4", 2, 500));
    world.pause(0, true);
    world.advance(Span::from_secs(20));
    world.wake(0);
    world.advance(SECOND);
    assert!(world.processes[0].owner.is_none());
    finish(world);
}

/// Guards against relocation before the lease has ended, and against none at all.
#[test]
fn work_moves_from_an_unreachable_worker_after_its_lease() {
    let mut world = running(1);
    world.workers[0].0.cut = true;
    // The last grant refers to a report of at most two exchanges ago.
    world.advance(LEASE.saturating_sub(SECOND + SECOND));
    assert_eq!(started(&world), 1, "the lease is in force until it ends");
    assert_eq!(world.workers[0].0.running().count(), 1);
    world.advance(Span::from_secs(6));
    assert_eq!(world.workers[1].0.running().count(), 1);
    let causes = causes(&world, 0, Action::Stop);
    let why = [Cause::WorkerUnreachable, Cause::WorkerUnreachable];
    assert_eq!(causes, why, "of the task, then of the worker");
    finish(world);
}

/// Guards against a new owner that relocates although the former one, which
/// does not know that it was replaced, still renews the lease.
#[test]
fn a_new_owner_waits_for_a_former_one_that_renews() {
    let mut world = running(1);
    // The other worker would tell the former owner of the higher epoch.
    world.cuts.extend([(1, 0), (0, 1)]);
    world.take_over(1);
    world.processes[0].silent = true;
    world.advance(Span::from_secs(60));
    assert_eq!(attempts(&world), ["j2/0#1 on w0"]);
    world.crash(0, false);
    world.advance(LEASE_WAIT + SECOND + SECOND);
    assert_eq!(attempts(&world), ["j2/0#2 on w1"]);
    finish(world);
}

/// Guards against waiting for ever for a former owner whose host is gone.
#[test]
fn a_silent_former_owner_counts_as_stopped_when_its_authority_has_ended() {
    let mut world = running(1);
    world.crash(0, true);
    world.workers[0].0.cut = true;
    world.advance(Span::from_secs(60));
    assert_eq!(started(&world), 0);
    world.advance(RENEWAL_AUTHORITY);
    assert_eq!(started(&world), 0, "5 % for drift are still to pass");
    world.advance(Span::from_secs(300));
    assert_eq!(attempts(&world), ["j2/0#2 on w1"]);
    finish(world);
}

/// Guards against ignoring an operator's word that a host is dead.
#[test]
fn a_confirmed_dead_host_is_given_up_after_the_lease() {
    let mut world = running(1);
    world.crash(0, true);
    world.workers[0].0.cut = true;
    world.advance(Span::from_secs(60));
    world.give(1, Input::ConfirmDead("w0".into()));
    world.advance(Span::from_secs(10));
    assert_eq!(started(&world), 0);
    world.advance(Span::from_secs(10));
    assert_eq!(attempts(&world), ["j2/0#2 on w1"]);
    finish(world);
}

/// Guards against losing the work of a restarted worker or its checkpoint.
#[test]
fn a_restarted_workers_tasks_resume_from_their_checkpoints() {
    let mut world = running(2);
    world.workers[0].0.checkpoint(0);
    world.workers[0].0.checkpoint(1);
    world.advance(SECOND + SECOND);
    world.workers[0].0.restart();
    world.advance(SECOND + SECOND + SECOND);
    let resumed = world.workers.iter().flat_map(|(w, _)| w.running());
    let resumed: Vec<_> = resumed.filter(|r| r.checkpoint.is_some()).collect();
    assert_eq!(resumed.len(), 2);
    let why = [Cause::WorkerRestarted, Cause::WorkerRestarted];
    assert_eq!(
        causes(&world, 0, Action::Stop),
        why,
        "of the task, then of the worker"
    );
    finish(world);
}

/// Guards against acceptance, starts or lost completions while the store is down.
#[test]
fn nothing_is_accepted_started_or_forgotten_while_the_store_is_down() {
    let mut world = running(2);
    world.store.set_down(true);
    world.submit(job("j4", 1, 500));
    world.advance(SECOND);
    assert_eq!(world.last_codes["j4"], Code::StoreUnavailable);
    world.workers[0].0.finish(0, Phase::Succeeded);
    world.advance(Span::from_secs(30));
    assert!(world.oracle.completed.is_empty());
    assert_eq!(started(&world), 1, "running tasks go on");
    world.store.set_down(false);
    world.advance(Span::from_secs(5));
    assert_eq!(world.oracle.completed.len(), 1);
    finish(world);
}

/// Guards against tasks that stop during an outage that has to be tolerated,
/// and against leases that are renewed for ever.
#[test]
fn leases_are_renewed_for_an_hour_without_the_store_but_not_for_ever() {
    let mut world = running(2);
    world.store.set_down(true);
    world.advance(Span::from_secs(3_600));
    assert_eq!(started(&world), 2);
    world.advance(Span::from_secs(1_800) + LEASE_WAIT);
    assert_eq!(started(&world), 0);
    finish(world);
}

/// Guards against an eviction that waits for the store although a stop needs no stored intent.
#[test]
fn evictions_go_on_while_the_store_is_down() {
    let mut world = running(1);
    world.store.set_down(true);
    world.advance(SECOND);
    world.wish(0, Wish::Evict(0));
    world.advance(SECOND + SECOND + SECOND);
    assert_eq!(started(&world), 0);
    finish(world);
}

/// Guards against a task that is accepted or started twice after a lost answer of the store.
#[test]
fn lost_answers_of_the_store_change_nothing() {
    let mut world = world();
    world
        .store
        .fail_writes([Fault::LoseAnswer, Fault::LoseRequest, Fault::Delay]);
    world.submit(job(IN_A, 3, 1_000));
    world.advance(SECOND + SECOND + SECOND);
    assert_eq!(started(&world), 3);
    finish(world);
}

/// Guards against starts in a domain that can't read the operators' intent, and
/// against stopping what runs there.
#[test]
fn a_partitioned_domain_keeps_its_tasks_and_starts_none() {
    let mut world = running(1);
    for process in &mut world.processes {
        process.deaf = true;
    }
    world.advance(EVIDENCE_VALID);
    world.submit(job("j4", 2, 500));
    world.advance(Span::from_secs(60));
    assert_eq!(attempts(&world), ["j2/0#1 on w0"]);
    let delayed = records(&world, 0)
        .iter()
        .any(|r| r.cause == Cause::StaleEvidence);
    assert!(delayed);
    finish(world);
}

/// Guards against a start command that arrives long after the domain was taken out.
#[test]
fn a_start_that_is_long_on_its_way_is_not_obeyed() {
    let mut world = world();
    world.slow_starts = Some(4_400);
    world.submit(job(IN_A, 2, 1_000));
    world.advance(Span::from_millis(800));
    let owner = world.processes[0].owner.as_ref().unwrap();
    let dump = owner.dump(world.now);
    assert_eq!(dump["workers"][0]["starts_sent"], 2, "{dump}");
    world.set_out(0, true);
    world.advance(Span::from_secs(10));
    finish(world);
}

/// Guards against a planned stop that interrupts running work or leaves the
/// next owner waiting.
#[test]
fn a_planned_stop_interrupts_nothing() {
    let mut world = running(4);
    let before = attempts(&world);
    world.give(0, Input::Stop);
    world.advance(SECOND);
    assert!(world.processes[0].owner.is_none());
    world.take_over(1);
    world.advance(SECOND);
    assert!(
        world.processes[1]
            .owner
            .as_ref()
            .unwrap()
            .formers()
            .is_empty()
    );
    let stopped = causes(&world, 1, Action::TakeOver);
    assert_eq!(stopped.first(), Some(&Cause::PlannedStop));
    world.advance(Span::from_secs(20));
    assert_eq!(attempts(&world), before);
    finish(world);
}

/// Guards against leases that end because a planned stop can't be stored.
#[test]
fn a_planned_stop_without_the_store_keeps_renewing_leases() {
    let mut world = running(4);
    let before = attempts(&world);
    world.store.set_down(true);
    world.give(0, Input::Stop);
    world.advance(Span::from_secs(60));
    assert_eq!(attempts(&world), before);
    world.store.set_down(false);
    world.advance(Span::from_secs(10));
    assert!(world.processes[0].owner.is_some() || world.processes[1].owner.is_some());
    assert_eq!(attempts(&world), before);
    finish(world);
}

/// Guards against work that stays in a domain taken out, loses its checkpoint
/// on the way to another one, or moves without an explanation.
#[test]
fn work_of_a_domain_taken_out_resumes_elsewhere() {
    let mut world = running(3);
    world.set_out(0, true);
    world.advance(Span::from_secs(8));
    let places = attempts(&world);
    assert_eq!(places.len(), 3, "{places:?}");
    assert!(
        places
            .iter()
            .all(|p| p.ends_with("w2") || p.ends_with("w3")),
        "{places:?}"
    );
    let resumed = world.workers.iter().flat_map(|(w, _)| w.running());
    assert!(resumed.into_iter().all(|r| r.checkpoint.is_some()));
    let why = causes(&world, 0, Action::HandOff);
    let root = &why[why.len() - 3..];
    assert_eq!(
        root[1..],
        [Cause::DomainOut, Cause::ConfigChange],
        "{why:?}"
    );
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

/// Guards against a cancelled job that runs on, and against answers that differ
/// when the cancellation is repeated.
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
        .cancelled
        .iter()
        .filter(|(_, code)| *code == Code::Done);
    assert_eq!(done.count(), 4);
    assert!(
        world
            .cancelled
            .contains(&("unknown".into(), Code::NotFound))
    );
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
    world.give(3, Input::Offer(Ticket(1_000_000), old.clone()));
    world.advance(SECOND + SECOND);
    assert_eq!(started(&world), 1);
    world.workers[2].0.finish(0, Phase::Succeeded);
    world.advance(SECOND + SECOND);
    for index in 0..MORE_THAN_KEPT {
        let next = offer(job("next", MORE_THAN_KEPT, 8_000), index, 2);
        let ticket = Ticket(2_000_000 + u64::from(index));
        world.give(3, Input::Offer(ticket, next));
    }
    world.advance(SECOND + SECOND);
    world.give(3, Input::Offer(Ticket(3_000_000), old));
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

/// Guards against a policy that gives out more than there is, or assigns to
/// workers that may get nothing.
#[test]
fn a_faulty_policy_can_not_exceed_capacity() {
    let mut world = world();
    world.workers[1].0.leaving = true;
    world.advance(SECOND + SECOND);
    world.submit(job(IN_A, 8, 1_000));
    for _ in 0..20 {
        world.wish(0, Wish::Overcommit);
        world.wish(0, Wish::Resize(0, 9_000));
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

/// Guards against room that is given to another task while a larger limit may be in force.
#[test]
fn room_is_free_only_after_a_smaller_limit_is_confirmed() {
    let mut world = running(1);
    world.modes = vec![Mode::LoseAnswer; 6];
    world.wish(0, Wish::Resize(0, 4_000));
    world.advance(Span::from_millis(1_600));
    assert_eq!(world.workers[0].0.used(), Resources::new(4_000, 4 << 30, 0));
    world.cuts.insert((0, 0));
    world.wish(0, Wish::Resize(0, 250));
    world.submit(job("j4", 8, 1_000));
    world.advance(SECOND + SECOND);
    let owner = world.processes[0].owner.as_ref().unwrap();
    let on_first = owner
        .tasks()
        .iter()
        .filter(|t| t.worker == Some("w0".into()))
        .count();
    assert_eq!(on_first, 1, "the larger limit may still be in force");
    world.cuts.clear();
    world.modes.clear();
    world.advance(SECOND + SECOND);
    finish(world);
}

/// Guards against a failing task that is tried without pause or without end.
#[test]
fn failed_attempts_are_tried_again_after_growing_pauses() {
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

/// Guards against a parked job that is tried again, and one that can't be cancelled.
#[test]
fn a_parked_job_waits_for_its_cancellation() {
    let mut world = world();
    world.processes[0].deaf = true;
    world.advance(EVIDENCE_VALID);
    world.submit(job(IN_A, 2, 500));
    world.advance(SECOND);
    world.wish(0, Wish::Park(0));
    world.advance(SECOND);
    world.processes[0].deaf = false;
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

/// Guards against a quarantine that a new owner forgets.
#[test]
fn quarantine_outlives_its_owner() {
    let mut world = world();
    world.wish(0, Wish::Quarantine(true));
    world.advance(SECOND);
    world.crash(0, false);
    world.advance(Span::from_secs(8));
    world.submit(job(IN_A, 2, 500));
    world.advance(SECOND + SECOND);
    assert_eq!(world.workers[0].0.running().count(), 0);
    assert_eq!(world.workers[1].0.running().count(), 2);
    finish(world);
}

/// Guards against work on a worker that leaves or is no longer declared.
#[test]
fn work_moves_from_workers_that_leave_or_are_removed() {
    let mut world = running(2);
    world.workers[0].0.leaving = true;
    world.advance(Span::from_secs(5));
    assert_eq!(world.workers[0].0.running().count(), 0);
    assert_eq!(world.workers[1].0.running().count(), 2);
    world.workers[0].0.leaving = false;
    world.configure(|config| {
        config.workers.shift_remove("w1");
    });
    world.advance(Span::from_secs(6));
    assert_eq!(world.workers[1].0.running().count(), 0);
    assert_eq!(world.workers[0].0.running().count(), 2);
    finish(world);
}

/// Guards against a task that hangs and keeps its domain from being cleared.
#[test]
fn a_task_that_does_not_stop_for_its_checkpoint_is_stopped_without_one() {
    let mut world = running(1);
    world.workers[0].0.hangs = true;
    world.wish(0, Wish::Evict(0));
    world.advance(Span::from_secs(50));
    assert_eq!(attempts(&world), ["j2/0#1 on w0"]);
    world.advance(Span::from_secs(20));
    assert_eq!(attempts(&world), ["j2/0#2 on w0"]);
    finish(world);
}
