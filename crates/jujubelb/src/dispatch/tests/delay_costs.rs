//! Who waits when there is too little room: what callers of each kind of work get.

use super::simulation::{Fault, TIME_STEP};
use super::{Simulation, job, long_running, step};
use crate::dispatch::job_spec::{JobKey, JobRecord, Step, StepKey, TaskKey};
use crate::dispatch::rank::RankContext;
use crate::model::{DomainName, ServiceName, Span};

/// Longest time that a long-running task may be without a run while a worker has room for it.
const MAX_LONG_RUNNING_PAUSE: Span = Span::from_secs(6);

/// An urgent job of so many tasks of 8 cores and half a second.
fn urgent(tasks: u32) -> JobRecord {
    job(0, vec![step(tasks, 8, Span::from_millis(500))])
}

fn batch(tasks: u32) -> JobRecord {
    job(2, vec![step(tasks, 8, Span::from_secs(2))])
}

fn is_done(sim: &Simulation, key: JobKey) -> bool {
    sim.completed.contains_key(&key)
}

/// Guards against a late urgent job that waits for as long as batches arrive that can be in time.
/// Load: a worker of 8 places gets 16 places of batches every 2 s, each with an objective of 4.5 s.
#[test]
fn a_late_urgent_job_does_not_wait_for_a_stream_of_batches() {
    let mut sim = Simulation::new(1);
    sim.submit(1, job(0, vec![step(8, 8, Span::from_secs(4))]));
    sim.run(Span::from_millis(200));
    let late = sim.submit(2, urgent(4));
    for id in 10..16 {
        sim.submit(2 * id, batch(8));
        sim.submit(2 * id + 1, batch(8));
        sim.run(Span::from_secs(1));
        if id >= 14 {
            // The worker is free after 4 s, and a run of the job takes 0.5 s.
            assert!(is_done(&sim, late));
        }
    }
}

/// Guards against a large urgent job that smaller late ones of its priority pass for ever.
/// Load: a worker of 8 places with work for 16 in each second, half of it late at once.
#[test]
fn small_late_jobs_do_not_pass_a_large_one_that_can_be_in_time() {
    let mut sim = Simulation::new(1);
    let occupied = sim.submit(1, job(0, vec![step(8, 8, Span::from_millis(1_500))]));
    sim.run(Span::from_millis(100));
    let small: Vec<_> = (2..18).map(|id| sim.submit(id, urgent(1))).collect();
    sim.run(Span::from_millis(1_000));
    let large = sim.submit(20, urgent(8));
    sim.run(Span::from_millis(1_300));
    assert!(is_done(&sim, occupied) && is_done(&sim, large));
    sim.run(Span::from_secs(2));
    assert!(small.iter().all(|k| is_done(&sim, *k)));
}

/// Time without a run of two long-running tasks on eight workers of 8 places each, to which urgent
/// jobs of one place and half a second come evenly, so many in each half second. All of them can be
/// in time, however long they wait, so that none gives way by being late.
fn long_running_wait(urgent_jobs: u64) -> Span {
    let mut sim = Simulation::new(8);
    sim.run(Span::from_secs(1));
    let steps_per_half_second = 25;
    let mut long = None;
    let mut waited = Span::ZERO;
    for tick in 0..1_000 {
        let at = sim.now;
        let submitted = |tick: u64| tick * urgent_jobs / steps_per_half_second;
        for id in submitted(tick)..submitted(tick + 1) {
            let mut record = urgent(1);
            record.queue.target_duration = Span::from_secs(60);
            sim.submit(1_000 + id, record);
        }
        if tick == 100 {
            long = Some(sim.submit(1, job(0, vec![long_running(2, 8)])));
        }
        sim.run(TIME_STEP);
        if long.is_some_and(|key| sim.running(key) < 2) {
            waited += sim.now.since(at);
        }
    }
    waited
}

/// Guards against long-running tasks that wait for longer than they may while places for them
/// become free. Loads: urgent work for 75 to 117 % of the room. Also on the full workers a place
/// becomes free in every pass, so that the bound holds.
#[test]
fn long_running_tasks_start_within_their_bound_beside_urgent_work() {
    for urgent_jobs in [48, 60, 64, 75] {
        let waited = long_running_wait(urgent_jobs);
        assert!(waited <= MAX_LONG_RUNNING_PAUSE, "{urgent_jobs}: {waited}");
    }
}

/// Guards against overdue jobs without an end. Load: a worker with 75 % of its room taken by
/// urgent work, and batches that are overdue from the beginning.
#[test]
fn overdue_jobs_end_beside_urgent_work() {
    let mut sim = Simulation::new(1);
    let overdue: Vec<_> = (1..7).map(|id| sim.submit(id, batch(16))).collect();
    for id in 10..80 {
        sim.submit(id, urgent(6));
        sim.run(Span::from_millis(500));
    }
    sim.run(Span::from_secs(20));
    assert!(overdue.iter().all(|k| is_done(&sim, *k)));
}

/// Guards against urgent jobs that find no room because long-running tasks, which keep theirs,
/// start first. Load: long-running tasks for twice the room beside late urgent jobs.
#[test]
fn late_urgent_jobs_start_before_long_running_tasks() {
    let mut sim = Simulation::new(1);
    sim.submit(1, job(0, vec![step(8, 8, Span::from_secs(3))]));
    sim.run(Span::from_millis(800));
    let late = sim.submit(2, urgent(8));
    sim.run(Span::from_millis(1_000));
    let long = sim.submit(3, job(0, vec![long_running(16, 8)]));
    sim.run(Span::from_millis(2_400));
    assert!(is_done(&sim, late));
    sim.run(MAX_LONG_RUNNING_PAUSE);
    assert!(sim.running(long) > 0);
}

/// Guards against an order of equal steps that depends on how the leader learned of them: a
/// new leader reads the records in another order, and jobs would change places with each term.
#[test]
fn leaders_rank_equal_jobs_alike() {
    let places = |ids: [u64; 6]| {
        let mut sim = Simulation::new(1);
        sim.run(Span::from_millis(500));
        for id in ids {
            sim.submit(id, urgent(8));
        }
        sim.run(Span::from_secs(5));
        let mut order: Vec<u64> = sim.starts.iter().map(|(_, _, t, _)| t.step.job.0).collect();
        order.dedup();
        order
    };
    assert_eq!(places([1, 2, 3, 4, 5, 6]), places([6, 2, 5, 1, 4, 3]));
}

/// Guards against a cost that differs with what the leader has learned in its term. Load: urgent,
/// batch and long-running work for three times the room, taken over by a second leader.
#[test]
fn a_new_leader_ranks_as_the_one_before() {
    let mut sim = Simulation::new(1);
    sim.submit(1, job(0, vec![step(8, 8, Span::from_secs(60))]));
    sim.run(Span::from_millis(500));
    for id in 10..16 {
        sim.submit(id, urgent(1 + id as u32 % 3));
        sim.submit(id + 10, batch(2 + id as u32 % 4));
    }
    let two_steps = |first: Step, second: Step| {
        let after = vec![0];
        vec![first, Step { after, ..second }]
    };
    let chain = two_steps(
        step(3, 8, Span::from_secs(1)),
        step(1, 8, Span::from_secs(1)),
    );
    sim.submit(40, job(1, chain));
    sim.submit(41, job(0, vec![long_running(3, 8)]));
    sim.run(Span::from_millis(1_500));
    let before = ranked_jobs(&mut sim);
    sim.replace_leader(true);
    let arrived = sim.dispatcher.last_arrival();
    sim.dispatcher.term_confirmed(arrived);
    let after = ranked_jobs(&mut sim);
    // The first job runs, which the second leader does not know yet.
    let after: Vec<_> = after.into_iter().filter(|id| *id != 1).collect();
    assert_eq!(before, after);
    assert_eq!(after.len(), 14);
}

fn ranked_jobs(sim: &mut Simulation) -> Vec<u64> {
    let ranked = sim.dispatcher.ranked_steps(sim.now);
    ranked.into_iter().map(|(_, k)| k.job.0).collect()
}

/// Guards against a new leader that takes the age of a job for the wait of its long-running tasks,
/// and starts them before all urgent work.
#[test]
fn the_wait_of_a_long_running_task_begins_anew_with_the_term() {
    let mut sim = Simulation::new(1);
    sim.submit(1, job(0, vec![step(8, 8, Span::from_secs(300))]));
    sim.submit(2, job(0, vec![long_running(2, 8)]));
    sim.run(Span::from_secs(100));
    sim.submit(3, urgent(4));
    sim.run(Span::from_millis(100));
    sim.replace_leader(true);
    let arrived = sim.dispatcher.last_arrival();
    sim.dispatcher.term_confirmed(arrived);
    let ranked = ranked_jobs(&mut sim);
    let place = |id| ranked.iter().position(|j| *j == id);
    assert!(place(3) < place(2), "{ranked:?}");
}

/// Guards against a long-running step that counts the time of the steps before it as a wait.
#[test]
fn the_wait_of_a_long_running_step_begins_when_it_is_ready() {
    let mut sim = Simulation::new(1);
    let first = step(1, 8, Span::from_secs(60));
    let second = Step {
        after: vec![0],
        ..long_running(1, 8)
    };
    sim.submit(1, job(0, vec![first, second]));
    sim.submit(2, job(0, vec![step(7, 8, Span::from_secs(120))]));
    sim.run(Span::from_secs(59));
    let urgent = sim.submit(3, urgent(1));
    sim.run(Span::from_millis(2_200));
    assert!(is_done(&sim, urgent), "starts: {:?}", sim.starts);
}

/// Guards against steps that go first at any priority because they declare no size or duration.
/// Load: a job of the lowest priority without an estimate, and one with accelerators and few cores.
#[test]
fn work_that_is_not_declared_does_not_precede_urgent_jobs() {
    let mut sim = Simulation::new(1);
    sim.submit(1, job(0, vec![step(8, 8, Span::from_secs(60))]));
    sim.run(Span::from_millis(500));
    sim.submit(2, job(2, vec![step(1, 8, Span::ZERO)]));
    let mut accelerated = step(1, 1, Span::from_secs(1));
    accelerated.size.accelerators = 4;
    sim.submit(3, job(2, vec![accelerated]));
    sim.submit(4, urgent(2));
    sim.run(Span::from_millis(100));
    assert_eq!(ranked_jobs(&mut sim), [4, 2, 3]);
}

/// Guards against a lost task of a long-running job that waits for longer the more tasks the job
/// has: a run of one is worth the same in each.
#[test]
fn a_lost_task_of_a_large_job_ranks_as_that_of_a_small_one() {
    let mut sim = Simulation::new(1);
    sim.submit(1, job(0, vec![step(8, 8, Span::from_secs(60))]));
    sim.run(Span::from_millis(500));
    sim.submit(2, job(0, vec![long_running(1_000, 8)]));
    sim.submit(3, job(0, vec![long_running(1, 8)]));
    sim.submit(4, job(0, vec![long_running(1, 16)]));
    sim.run(Span::from_millis(100));
    assert_eq!(ranked_jobs(&mut sim), [2, 3, 4]);
}

/// Guards against starts that a worker refuses and that begin the wait of their task anew, so that
/// it never goes first.
#[test]
fn a_refused_start_does_not_begin_the_wait_anew() {
    let mut sim = Simulation::new(1);
    sim.worker(0).fault = Fault::NoCapacity;
    let key = sim.submit(1, job(0, vec![long_running(1, 8)]));
    sim.run(Span::from_secs(5));
    let task = TaskKey {
        step: first_step(key),
        index: 0,
    };
    let run = sim.dispatcher.jobs[&key].task(task).map(|t| t.run);
    // Each start takes a number.
    assert!(run > Some(sim.dispatcher.first_run()), "{run:?}");
    let refused = long_running_context(&sim, key).wait;
    assert!(refused >= Span::from_millis(4_900), "{refused}");
    sim.worker(0).fault = Fault::None;
    sim.run(Span::from_secs(2));
    assert_eq!(sim.running(key), 1);
    assert_eq!(long_running_context(&sim, key).wait, Span::ZERO);
}

/// Guards against tasks that raise their step while they can't start: here those that an earlier
/// term may have started.
#[test]
fn tasks_that_may_not_start_do_not_raise_their_step() {
    let mut sim = Simulation::new(2);
    let key = sim.submit(1, job(0, vec![long_running(2, 8)]));
    sim.run(Span::from_secs(2));
    sim.worker(0).fault = Fault::Partitioned;
    sim.worker(1).fault = Fault::Partitioned;
    sim.change_leader();
    sim.run(Span::from_secs(5));
    assert!(!sim.dispatcher.inherited_resolved);
    let unresolved = long_running_context(&sim, key).wait;
    assert_eq!(unresolved, Span::ZERO);
}

/// Guards against a gate for the bound of long-running tasks that counts other services, and
/// workers that get no starts.
#[test]
fn spare_capacity_is_that_of_the_workers_of_a_service_that_get_starts() {
    let mut sim = Simulation::new(1);
    for i in 1..12 {
        sim.add_worker(i);
        sim.worker(i).report.service = ServiceName::new("mill");
    }
    sim.list_workers();
    let mut full = job(2, vec![step(88, 8, Span::from_secs(60))]);
    full.queue.service = ServiceName::new("mill");
    let full = sim.submit(1, full);
    sim.run(Span::from_secs(3));
    assert_eq!(sim.running(full), 88);
    let spare = sim.dispatcher.spare_services();
    assert_eq!(spare, [ServiceName::new("desk")].into());
    // The domain of the only worker of the service.
    sim.dispatcher.set_evacuated([DomainName::new("a")].into());
    assert!(sim.dispatcher.spare_services().is_empty());
}

fn long_running_context(sim: &Simulation, key: JobKey) -> RankContext {
    let dispatcher = &sim.dispatcher;
    let spare = dispatcher.spare_services();
    dispatcher.rank_context(&dispatcher.jobs[&key], first_step(key), &spare, sim.now)
}

fn first_step(job: JobKey) -> StepKey {
    StepKey {
        job,
        occurrence: 0,
        step: 0,
    }
}
