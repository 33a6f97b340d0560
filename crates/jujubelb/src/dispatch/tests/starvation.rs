//! Late best-effort steps that each worker refuses.

use super::simulation::TIME_STEP;
use super::{Simulation, job, long_running, step};
use crate::dispatch::{JobKey, Order, Step, WorkerOrder};
use crate::model::{Span, Time};

/// Time in which the headroom of serving tasks without neighbours becomes known.
const BASELINE: Span = Span::from_millis(2_500);

/// A step whose tasks the serving tasks of a worker can't bear at full pace.
fn harmful(count: u32, estimate: Span) -> Step {
    Step {
        best_effort: true,
        checkpoints: true,
        image: Some("heavy".into()),
        ..step(count, 6, estimate)
    }
}

/// Guards against accepted jobs without a run because others are paused or slowed on all workers.
#[test]
fn each_late_job_has_a_run_though_many_more_wait_than_workers_sustain() {
    let mut sim = Simulation::new(1);
    sim.submit(1, job(0, vec![long_running(2, 10)]));
    sim.run(BASELINE);
    let mut late = Vec::new();
    for id in 2..14 {
        late.push(sim.submit(id, job(2, vec![harmful(1, Span::from_secs(2))])));
    }
    sim.run(Span::from_secs(20));
    let idle = late
        .iter()
        .filter(|k| !sim.completed.contains_key(*k) && sim.running(**k) == 0);
    assert_eq!(idle.count(), 0);
    sim.run(Span::from_secs(60));
    assert!(late.iter().all(|k| sim.completed.contains_key(k)));
    assert!(sim.longest_violation < Span::from_secs(4));
}

/// Longest time during a span for which one of these jobs had no run and was not completed.
fn longest_idle(sim: &mut Simulation, keys: &[JobKey], span: Span) -> Span {
    let interval = Span::from_millis(100);
    let end = sim.now + span;
    let mut active = vec![sim.now; keys.len()];
    let mut longest = Span::ZERO;
    while sim.now < end {
        sim.run(interval);
        for (key, active) in keys.iter().zip(&mut active) {
            if sim.completed.contains_key(key) || sim.running(*key) > 0 {
                *active = sim.now;
            }
            longest = longest.max(sim.now.since(*active));
        }
    }
    longest
}

/// Guards against a late job without a run while each worker has a serving task above its target.
#[test]
fn a_late_job_has_a_run_though_serving_tasks_are_above_their_target() {
    let mut sim = Simulation::new(1);
    sim.worker(0).own_tail = 120;
    sim.submit(1, job(0, vec![long_running(2, 10)]));
    sim.run(BASELINE);
    let late = sim.submit(2, job(2, vec![harmful(1, Span::from_secs(1))]));
    sim.run(Span::from_secs(10));
    assert!(sim.running(late) > 0);
    sim.worker(0).own_tail = 30;
    sim.run(Span::from_secs(20));
    assert!(sim.completed.contains_key(&late));
}

/// Guards against a step without a run for as long as its objective lasts.
#[test]
fn a_refused_step_that_can_be_in_time_starts() {
    let mut sim = Simulation::new(1);
    sim.submit(1, job(0, vec![long_running(2, 10)]));
    sim.run(BASELINE);
    let step = harmful(2, Span::from_secs(60));
    let timely: Vec<_> = (2..6)
        .map(|id| sim.submit(id, job(2, vec![step.clone()])))
        .collect();
    let idle = longest_idle(&mut sim, &timely, Span::from_secs(40));
    assert!(idle < Span::from_secs(6), "{idle}");
}

/// Guards against late jobs without a run because a step that can be in time finds no worker.
#[test]
fn late_jobs_start_beside_a_timely_step_that_finds_no_worker() {
    let mut sim = Simulation::new(1);
    sim.submit(1, job(0, vec![long_running(2, 10)]));
    sim.run(BASELINE);
    let mut timely = harmful(1, Span::from_secs(120));
    timely.label = Some("none".into());
    sim.submit(2, job(2, vec![timely]));
    let late: Vec<_> = (3..9)
        .map(|id| sim.submit(id, job(2, vec![harmful(1, Span::from_secs(4))])))
        .collect();
    // Their objective ends after 8.5 s.
    let idle = longest_idle(&mut sim, &late, Span::from_secs(30));
    assert!(idle < Span::from_secs(9), "{idle}");
}

/// Guards against a run that stays paused beside a loaded serving task while another worker has room.
#[test]
fn a_paused_run_leaves_a_worker_that_stays_above_its_target() {
    let mut sim = Simulation::new(2);
    sim.worker(0).own_tail = 85;
    sim.worker(1).own_tail = 85;
    sim.submit(1, job(0, vec![long_running(2, 40)]));
    sim.run(BASELINE);
    let late = sim.submit(2, job(2, vec![harmful(1, Span::from_secs(30))]));
    sim.run(Span::from_secs(15));
    let runs_there = |sim: &Simulation, i: usize| {
        let mut runs = sim.dispatcher.workers[i].runs.values();
        runs.any(|r| r.starved)
    };
    let place = usize::from(!runs_there(&sim, 0));
    assert!(runs_there(&sim, place));
    sim.worker(place).own_tail = 120;
    sim.worker(1 - place).own_tail = 30;
    sim.run(Span::from_secs(150));
    assert!(sim.completed.contains_key(&late));
}

/// Guards against serving tasks above their target because each start works at full pace at first.
#[test]
fn a_stream_of_late_jobs_leaves_serving_tasks_below_their_target() {
    for own_tail in [30, 50, 70, 90] {
        let mut sim = Simulation::new(1);
        sim.worker(0).own_tail = own_tail;
        sim.submit(1, job(0, vec![long_running(2, 10)]));
        sim.run(BASELINE);
        for id in 2..100 {
            sim.submit(id, job(2, vec![harmful(1, Span::from_secs(2))]));
            sim.run(Span::from_millis(400));
        }
        let longest = sim.longest_violation;
        assert!(longest < Span::from_secs(4), "{own_tail} %: {longest}");
    }
}

/// Guards against jobs whose only run never has its turn behind several runs of one step.
#[test]
fn one_run_of_each_step_goes_on_before_a_second_one() {
    let mut sim = Simulation::new(1);
    let wide = sim.submit(1, job(2, vec![harmful(6, Span::from_secs(60))]));
    sim.run(Span::from_millis(300));
    let single = sim.submit(2, job(2, vec![harmful(1, Span::from_secs(60))]));
    sim.run(Span::from_secs(1));
    let worker = &mut sim.dispatcher.workers[0];
    worker.runs.values_mut().for_each(|r| r.starved = true);
    worker.update_load();
    let jobs: Vec<_> = worker.sustained_runs().iter().map(|t| t.step.job).collect();
    assert!(jobs.contains(&single) && jobs.contains(&wide), "{jobs:?}");
}

/// Guards against a backlog without runs because a few steps that can be in time keep coming.
#[test]
fn a_backlog_starts_beside_a_few_timely_steps() {
    let workers = 40;
    let mut sim = Simulation::new(workers);
    (0..workers).for_each(|i| sim.worker(i).own_tail = 70);
    sim.submit(1, job(0, vec![long_running(workers as u32, 40)]));
    sim.run(BASELINE);
    let late: Vec<_> = (2..122)
        .map(|id| sim.submit(id, job(2, vec![harmful(1, Span::from_secs(1))])))
        .collect();
    // Their objective ends after 2.5 s.
    sim.run(Span::from_secs(3));
    let mut idle = Vec::new();
    for id in 200..210 {
        sim.submit(id, job(2, vec![harmful(1, Span::from_secs(60))]));
        sim.run(Span::from_secs(1));
        let has_none = |k: &&JobKey| !sim.completed.contains_key(*k) && sim.running(**k) == 0;
        idle.push(late.iter().filter(has_none).count());
    }
    assert_eq!(idle.last(), Some(&0), "{idle:?}");
}

/// Guards against jobs that stand still from the end of each of their runs until it is known.
#[test]
fn a_late_job_goes_on_while_the_end_of_its_run_is_not_known() {
    let mut sim = Simulation::new(1);
    sim.worker(0).notice_delay = Span::from_millis(300);
    sim.submit(1, job(0, vec![long_running(2, 10)]));
    sim.run(BASELINE);
    let tasks = 20;
    let late = sim.submit(2, job(2, vec![harmful(tasks, Span::from_secs(1))]));
    sim.run(Span::from_secs(8));
    assert!(sim.running(late) > 0);
    let is_over = |sim: &Simulation| {
        let done = sim.done.iter().filter(|t| t.step.job == late);
        done.count() == tasks as usize
    };
    let mut idle = Span::ZERO;
    while !is_over(&sim) && sim.now < Time::from_millis(120_000) {
        sim.run(TIME_STEP);
        if sim.running(late) == 0 && !is_over(&sim) {
            idle += TIME_STEP;
        }
    }
    assert!(is_over(&sim));
    assert_eq!(idle, Span::ZERO);
}

/// Guards against a full leader that starts so many late jobs that leases lapse.
#[test]
fn late_jobs_wait_while_many_starts_have_no_answer() {
    let workers = 100;
    let mut sim = Simulation::new(workers);
    (0..workers).for_each(|i| sim.worker(i).own_tail = 70);
    sim.submit(1, job(0, vec![long_running(workers as u32, 40)]));
    sim.run(BASELINE);
    for id in 2..802 {
        sim.submit(id, job(2, vec![harmful(2, Span::from_secs(20))]));
    }
    // They count as refused after 2 s, and are held back for 4 s after they counted as in time.
    sim.run(Span::from_millis(5_900));
    let mut starts = 0;
    for _ in 0..20 {
        sim.now = sim.now + TIME_STEP;
        let orders = sim.dispatcher.plan(sim.wall(), sim.now);
        let is_start = |o: &&WorkerOrder| matches!(o.order, Order::Start { .. });
        starts += orders.iter().filter(is_start).count();
    }
    assert!((1..=240).contains(&starts), "{starts}");
}
