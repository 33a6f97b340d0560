//! Limits and shares of customers. [`Simulation`] checks each start against the limit.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::paused_leaders::PausedLeader;
use super::simulation::Fault;
use super::{Simulation, job, long_running, step};
use crate::dispatch::{CustomerPolicy, JobKey, JobRecord, Step, StepKey, TaskKey};
use crate::model::{Bytes, CustomerName, Resources, Span};
use crate::place::share;

/// Policy with a limit in cores; 0 is no limit.
fn cores(limit: u64) -> CustomerPolicy {
    CustomerPolicy {
        weight: 1,
        limit: Resources::new(limit * 1_000, 0, 0),
    }
}

fn of(customer: &str, steps: Vec<Step>) -> JobRecord {
    JobRecord {
        customer: Some(customer.into()),
        ..job(0, steps)
    }
}

fn gang(count: u32, cores: u64) -> Step {
    Step {
        gang: true,
        ..step(count, cores, Span::from_secs(2))
    }
}

fn hold(sim: &Simulation, job: JobKey) -> Option<String> {
    let step = StepKey {
        job,
        occurrence: 0,
        step: 0,
    };
    Some(sim.dispatcher.hold(step, sim.now)?.to_string())
}

/// Guards against a customer with more running on all workers together than its limit, with
/// best-effort tasks that are not counted, and against a limit that is not used up.
#[test]
fn a_customer_uses_its_limit_and_no_more() {
    for best_effort in [false, true] {
        let mut sim = Simulation::new(2);
        sim.set_customers(&[("limited", cores(40)), ("other", cores(0))]);
        let tasks = Step {
            best_effort,
            ..step(30, 4, Span::from_secs(1))
        };
        let limited = sim.submit(1, of("limited", vec![tasks]));
        let other = sim.submit(2, of("other", vec![step(16, 4, Span::from_secs(1))]));
        sim.run(Span::from_millis(200));
        assert_eq!((sim.running(limited), sim.running(other)), (10, 16));
        assert_eq!(hold(&sim, limited).unwrap(), "customer limit");
        sim.run(Span::from_secs(5));
        assert!(sim.completed.contains_key(&limited));
    }
}

/// Guards against a limit of one resource that binds another, and against one of memory that is
/// not applied.
#[test]
fn each_resource_has_its_own_limit() {
    let mut sim = Simulation::new(2);
    let memory = CustomerPolicy {
        weight: 1,
        limit: Resources::new(0, Bytes::from_gib(6).0, 0),
    };
    sim.set_customers(&[("limited", memory)]);
    let key = sim.submit(1, of("limited", vec![step(20, 4, Span::from_secs(1))]));
    sim.run(Span::from_millis(200));
    assert_eq!(sim.running(key), 3);
}

/// Guards against a task that never starts because it is larger than the limit.
#[test]
fn a_task_larger_than_the_limit_starts() {
    let mut sim = Simulation::new(2);
    sim.set_customers(&[("limited", cores(8))]);
    let large = sim.submit(1, of("limited", vec![step(3, 20, Span::from_secs(1))]));
    let small = sim.submit(2, of("limited", vec![step(2, 4, Span::from_secs(1))]));
    sim.run(Span::from_secs(8));
    assert!(sim.completed.contains_key(&large) && sim.completed.contains_key(&small));
}

/// Guards against members of a gang that start beyond the limit or one by one, and against a gang
/// that waits without a trace of the reason.
#[test]
fn a_gang_starts_whole_within_the_limit() {
    let mut sim = Simulation::new(2);
    sim.set_customers(&[("limited", cores(50))]);
    let first = sim.submit(1, of("limited", vec![step(1, 24, Span::from_secs(1))]));
    sim.run(Span::from_millis(200));
    let whole = sim.submit(2, of("limited", vec![gang(4, 10)]));
    sim.run(Span::from_millis(400));
    assert_eq!((sim.running(first), sim.running(whole)), (1, 0));
    assert_eq!(hold(&sim, whole).unwrap(), "customer limit");
    sim.run(Span::from_secs(1));
    assert_eq!(sim.running(whole), 4);
    sim.run(Span::from_secs(3));
    let one_more = sim.submit(3, of("limited", vec![gang(6, 10)]));
    sim.run(Span::from_secs(4));
    assert!(sim.completed.contains_key(&one_more));
    let large = sim.submit(4, of("limited", vec![gang(7, 10)]));
    sim.run(Span::from_secs(4));
    assert_eq!(sim.running(large), 0);
    assert_eq!(hold(&sim, large).unwrap(), "customer limit");
}

/// A job of the customer `limited` with a queue of this priority; 0 goes first.
fn limited(priority: u8, steps: Vec<Step>) -> JobRecord {
    JobRecord {
        customer: Some("limited".into()),
        ..job(priority, steps)
    }
}

/// Submits small tasks of the customer `limited` whose ends are spread over a second, and as many
/// of later rank as keep it at a limit of 40 cores for 10 s.
fn submit_small_tasks(sim: &mut Simulation) {
    for i in 0..10 {
        let estimate = Span::from_millis(500 + 100 * i);
        sim.submit(i + 1, limited(0, vec![step(1, 4, estimate)]));
    }
    let last = vec![step(140, 4, Span::from_millis(700))];
    sim.submit(20, limited(9, last));
    sim.run(Span::from_millis(200));
    assert_eq!(sim.cores_of("limited"), 40);
}

/// Guards against a large task that waits for as long as smaller ones of later rank take what ends
/// give back.
#[test]
fn smaller_tasks_of_later_rank_do_not_hold_up_a_large_one() {
    let mut sim = Simulation::new(2);
    sim.set_customers(&[("limited", cores(40))]);
    submit_small_tasks(&mut sim);
    let large = sim.submit(30, limited(0, vec![step(1, 30, Span::from_secs(1))]));
    sim.run(Span::from_secs(3));
    assert!(sim.completed.contains_key(&large));
}

/// Guards against a task larger than the limit that never starts beside a long-running one.
#[test]
fn a_task_larger_than_the_limit_starts_beside_a_long_running_one() {
    let mut sim = Simulation::new(2);
    sim.set_customers(&[("limited", cores(8))]);
    sim.submit(1, limited(0, vec![long_running(1, 4)]));
    sim.run(Span::from_secs(1));
    let large = sim.submit(2, limited(0, vec![step(1, 20, Span::from_secs(1))]));
    sim.run(Span::from_secs(4));
    assert!(sim.completed.contains_key(&large));
}

/// Guards against a gang that waits for as long as smaller steps of later rank take what ends give
/// back.
#[test]
fn smaller_tasks_of_later_rank_do_not_hold_up_a_gang() {
    let mut sim = Simulation::new(2);
    sim.set_customers(&[("limited", cores(40))]);
    submit_small_tasks(&mut sim);
    let whole = sim.submit(30, limited(0, vec![gang(3, 10)]));
    sim.run(Span::from_secs(5));
    assert!(sim.completed.contains_key(&whole));
}

/// Guards against a gang that keeps all other steps of its customer from starting although it does
/// not fit beside what the customer has running for good.
#[test]
fn a_gang_that_does_not_fit_the_limit_holds_up_nothing() {
    for standing in [0, 1] {
        let mut sim = Simulation::new(2);
        sim.set_customers(&[("limited", cores(40))]);
        sim.submit(1, limited(0, vec![long_running(1, 10 + 10 * standing)]));
        sim.run(Span::from_secs(1));
        let whole = sim.submit(2, limited(0, vec![gang(4 + (1 - standing as u32), 10)]));
        let small = sim.submit(3, limited(9, vec![step(10, 4, Span::from_secs(1))]));
        sim.run(Span::from_secs(6));
        assert_eq!(sim.running(whole), 0);
        assert!(sim.completed.contains_key(&small), "standing {standing}");
    }
}

/// Guards against a step that its limit holds back in part, and that full workers refuse, counting
/// as work that can be in time: starved steps of others get no idle capacity then.
#[test]
fn a_step_that_is_held_in_part_is_refused_by_full_workers() {
    let mut sim = Simulation::new(2);
    sim.set_customers(&[("limited", cores(8)), ("other", cores(0))]);
    sim.submit(1, of("other", vec![step(32, 4, Span::from_secs(60))]));
    sim.run(Span::from_secs(1));
    assert_eq!(sim.cores_of("other"), 128);
    let mut record = limited(0, vec![step(5, 8, Span::from_secs(1))]);
    record.queue.target_duration = Span::from_secs(600);
    let key = sim.submit(2, record);
    sim.run(Span::from_secs(8));
    assert_eq!(sim.running(key), 0);
    assert_eq!(sim.dispatcher.timely_demand.highest(), 0);
}

/// Guards against a task that waits for a worker apart from others and takes the only start that the
/// limit allows.
#[test]
fn a_suspect_does_not_hold_the_limit_of_the_other_tasks() {
    let mut sim = Simulation::new(2);
    sim.set_customers(&[("limited", cores(4))]);
    sim.submit(1, job(0, vec![long_running(4, 8)]));
    sim.run(Span::from_secs(3));
    let key = sim.submit(2, limited(0, vec![step(4, 4, Span::from_secs(1))]));
    let step = StepKey {
        job: key,
        occurrence: 0,
        step: 0,
    };
    let first = TaskKey { step, index: 0 };
    sim.faulty.insert(first);
    while !sim.starts.iter().any(|(_, _, t, _)| *t == first) {
        sim.run(Span::from_millis(20));
    }
    let crashed = sim.now;
    while sim.starts.iter().filter(|(_, _, t, _)| *t == first).count() < 2 {
        sim.run(Span::from_millis(20));
        assert!(sim.now.since(crashed) < Span::from_secs(60));
    }
    let others = sim.done.iter().filter(|t| t.step == step).count();
    assert!(others >= 1, "{others} after {:?}", sim.now.since(crashed));
}

/// Guards against weights so large that the part of a customer has no digits left, so that its surge
/// has no effect.
#[test]
fn a_share_of_large_weights_is_exact() {
    let capacity = Resources::new(100, 100, 0);
    let all = 2 * u64::from(u32::MAX);
    let exceeds = |cpu| share::exceeds_part(&Resources::new(cpu, 0, 0), &capacity, u32::MAX, all);
    assert!(exceeds(60) && !exceeds(50));
}

/// Guards against long-running tasks that put the finite, urgent jobs of their customer behind the
/// overdue work of others, also in calm times.
#[test]
fn standing_tasks_do_not_put_urgent_jobs_of_their_customer_last() {
    let mut sim = Simulation::new(4);
    sim.set_customers(&[("standing", cores(0)), ("other", cores(0))]);
    sim.submit(1, of("standing", vec![long_running(35, 6)]));
    sim.run(Span::from_secs(6));
    // The other customer has more than the rest of the workers to do, all of it overdue.
    let mut record = of("other", vec![step(2_000, 2, Span::from_millis(400))]);
    record.queue.priority = 9;
    record.queue.target_duration = Span::ZERO;
    record.queue.slack_factor = 1.0;
    sim.submit(2, record);
    sim.run(Span::from_secs(3));
    let mut urgent = Vec::new();
    for i in 0..6 {
        let steps = vec![step(1, 2, Span::from_millis(400))];
        urgent.push((sim.submit(10 + i, of("standing", steps)), sim.now));
        sim.run(Span::from_millis(400));
    }
    sim.run(Span::from_secs(2));
    for (key, at) in urgent {
        let took = sim.completed.get(&key).map(|end| end.since(at));
        assert!(
            took.is_some_and(|t| t <= Span::from_millis(1_500)),
            "{took:?}"
        );
    }
}

/// Guards against starts above a lowered limit, runs that are stopped by it, and a raised one that
/// has no effect.
#[test]
fn a_changed_limit_applies_to_the_next_starts() {
    let mut sim = Simulation::new(2);
    sim.set_customers(&[("limited", cores(40))]);
    let key = sim.submit(1, of("limited", vec![step(40, 4, Span::from_secs(3))]));
    sim.run(Span::from_secs(1));
    sim.set_customers(&[("limited", cores(16))]);
    sim.run(Span::from_secs(1));
    assert_eq!(sim.cores_of("limited"), 40);
    sim.run(Span::from_secs(2));
    assert_eq!(sim.cores_of("limited"), 16);
    sim.set_customers(&[("limited", cores(80))]);
    sim.run(Span::from_millis(200));
    assert_eq!(sim.cores_of("limited"), 80);
    let old = [(CustomerName::from("limited"), cores(400))].into();
    sim.dispatcher.set_customers(1, &old);
    sim.run(Span::from_millis(200));
    assert_eq!(sim.running(key), 20, "an older configuration is applied");
}

/// Guards against accepted jobs that never end because the configuration no longer names their
/// customer.
#[test]
fn jobs_of_a_removed_customer_are_done() {
    for change in [false, true] {
        let mut sim = Simulation::new(2);
        sim.set_customers(&[("removed", cores(8))]);
        let key = sim.submit(1, of("removed", vec![step(12, 4, Span::from_secs(1))]));
        sim.run(Span::from_millis(200));
        sim.set_customers(&[]);
        sim.run(Span::from_millis(200));
        assert_eq!(sim.cores_of("removed"), 8);
        if change {
            sim.change_leader();
        }
        sim.run(Span::from_secs(10));
        assert!(sim.completed.contains_key(&key), "change {change}");
    }
}

/// Guards against a new leader that starts tasks beyond a limit which it has not read, and one that
/// holds up jobs without a customer until then.
#[test]
fn a_new_leader_reads_the_configuration_before_it_starts_tasks_of_customers() {
    let mut sim = Simulation::new(2);
    let limited = sim.submit(1, of("limited", vec![step(20, 4, Span::from_secs(1))]));
    let free = sim.submit(2, job(0, vec![step(2, 4, Span::from_secs(1))]));
    sim.run(Span::from_secs(3));
    assert!(sim.completed.contains_key(&free));
    assert_eq!(sim.running(limited), 0);
    assert_eq!(hold(&sim, limited).unwrap(), "configuration");
    sim.set_customers(&[("limited", cores(40))]);
    sim.run(Span::from_millis(200));
    assert_eq!(sim.running(limited), 10);
}

/// Guards against runs on a worker out of reach that a new leader does not count, and against a
/// limit that such a worker uses up for others.
#[test]
fn a_new_leader_counts_inherited_runs_that_it_has_not_seen() {
    let mut sim = Simulation::new(3);
    sim.set_customers(&[("limited", cores(40)), ("other", cores(40))]);
    sim.submit(1, of("limited", vec![step(10, 4, Span::from_secs(30))]));
    sim.run(Span::from_millis(400));
    assert_eq!(sim.cores_of("limited"), 40);
    for i in 0..3 {
        let is_used = sim.runs_on(i) > 0;
        sim.worker(i).fault = if is_used {
            Fault::Partitioned
        } else {
            Fault::None
        };
    }
    sim.change_leader();
    let limited = sim.submit(2, of("limited", vec![step(10, 4, Span::from_secs(1))]));
    let other = sim.submit(3, of("other", vec![step(10, 4, Span::from_secs(1))]));
    sim.run(Span::from_secs(1));
    assert_eq!((sim.running(limited), sim.running(other)), (0, 10));
    sim.run(Span::from_secs(40));
    for i in 0..3 {
        sim.worker(i).fault = Fault::None;
    }
    sim.run(Span::from_secs(60));
    assert!(sim.completed.contains_key(&limited));
}

/// Guards against runs of a cancelled job that a new leader does not count because it has not seen
/// them: they go on until their worker is reached.
#[test]
fn unseen_runs_of_a_cancelled_job_count() {
    for cancelled_before in [false, true] {
        let mut sim = Simulation::new(3);
        sim.set_customers(&[("limited", cores(40))]);
        let first = sim.submit(1, of("limited", vec![step(10, 4, Span::from_secs(30))]));
        sim.run(Span::from_millis(400));
        for i in 0..3 {
            if sim.runs_on(i) > 0 {
                sim.worker(i).fault = Fault::Partitioned;
            }
        }
        if cancelled_before {
            sim.cancel(first);
            sim.run(Span::from_millis(200));
        }
        sim.change_leader();
        sim.cancel(first);
        let next = sim.submit(2, of("limited", vec![step(10, 4, Span::from_secs(1))]));
        sim.run(Span::from_secs(1));
        assert_eq!((sim.cores_of("limited"), sim.running(next)), (40, 0));
        sim.run(Span::from_secs(40));
        assert!(sim.completed.contains_key(&next));
    }
}

/// Guards against a backlog that stops its customer for as long as one worker is out of reach.
#[test]
fn a_worker_out_of_reach_takes_its_own_room_of_a_limit_and_not_the_backlog() {
    let mut sim = Simulation::new(4);
    sim.set_customers(&[("limited", cores(160))]);
    sim.submit(1, of("limited", vec![step(400, 4, Span::from_secs(4))]));
    sim.run(Span::from_millis(400));
    sim.worker(0).fault = Fault::Partitioned;
    sim.change_leader();
    let new = sim.submit(2, of("limited", vec![step(10, 4, Span::from_secs(1))]));
    sim.run(Span::from_secs(6));
    assert!(sim.completed.contains_key(&new));
}

/// Guards against a backlog of best-effort tasks that counts with all the processor time for which one
/// worker out of reach has memory.
#[test]
fn best_effort_tasks_that_are_not_listed_count_a_multiple_of_their_worker() {
    let mut sim = Simulation::new(4);
    sim.set_customers(&[("limited", cores(40))]);
    let tasks = Step {
        best_effort: true,
        ..step(400, 8, Span::from_secs(30))
    };
    sim.submit(1, of("limited", vec![tasks]));
    sim.run(Span::from_millis(400));
    assert_eq!(sim.cores_of("limited"), 40);
    sim.worker(0).fault = Fault::Partitioned;
    // Memory for 128 tasks of 8 cores permits 1,024 cores; the worker has 64.
    sim.set_customers(&[("limited", cores(400))]);
    sim.change_leader();
    let new = sim.submit(2, of("limited", vec![step(4, 4, Span::from_secs(1))]));
    sim.run(Span::from_secs(3));
    assert!(sim.completed.contains_key(&new));
}

/// Guards against two leaders that each start tasks up to the limit.
#[test]
fn a_paused_leader_and_the_next_one_keep_one_limit() {
    let mut carried_out = 0;
    for reached in 0..4 {
        let mut sim = Simulation::new(4);
        sim.set_customers(&[("limited", cores(40))]);
        let first = sim.submit(1, of("limited", vec![step(10, 4, Span::from_secs(8))]));
        let mut old = PausedLeader::pause(&mut sim);
        // The next leader does not reach the workers on which the earlier one starts tasks.
        for i in 0..4 - reached {
            sim.worker(i).fault = Fault::Partitioned;
        }
        sim.change_leader();
        let second = sim.submit(2, of("limited", vec![step(20, 4, Span::from_secs(8))]));
        sim.run(Span::from_secs(1));
        let before = sim.starts.len();
        old.send(&mut sim);
        carried_out += sim.starts.len() - before;
        sim.run(Span::from_secs(3));
        for i in 0..4 {
            sim.worker(i).fault = Fault::None;
        }
        sim.run(Span::from_secs(60));
        assert!(
            sim.completed.contains_key(&first) && sim.completed.contains_key(&second),
            "{reached} workers reached"
        );
    }
    assert!(carried_out > 0, "the earlier leader has started nothing");
}

/// Guards against starts without an answer that don't count and are carried out late, and against
/// ones that count for good.
#[test]
fn starts_without_an_answer_count_until_they_are_ruled_out() {
    let faults = [
        Fault::DelayedStarts(Span::from_secs(2)),
        Fault::LostAnswers,
        Fault::Partitioned,
    ];
    for fault in faults {
        let mut sim = Simulation::new(2);
        sim.set_customers(&[("limited", cores(40))]);
        sim.worker(0).fault = fault;
        let key = sim.submit(1, of("limited", vec![step(30, 4, Span::from_secs(4))]));
        let mut reached = false;
        for _ in 0..50 {
            sim.run(Span::from_millis(100));
            let counted = sim.dispatcher.customer_loads();
            reached |= counted.iter().any(|c| c.cores == 40.0 && c.held > 0);
        }
        assert!(reached, "{fault:?} ended before the limit was reached");
        sim.worker(0).fault = Fault::None;
        sim.run(Span::from_secs(40));
        assert!(sim.completed.contains_key(&key), "{fault:?}");
    }
}

/// Guards against runs of a restarted worker that count for good, and against ones that stop
/// counting while they may go on.
#[test]
fn a_restarted_worker_gives_its_part_of_a_limit_back() {
    let mut sim = Simulation::new(2);
    sim.set_customers(&[("limited", cores(100))]);
    let key = sim.submit(1, of("limited", vec![long_running(20, 5)]));
    sim.run(Span::from_secs(1));
    assert_eq!(sim.running(key), 20);
    sim.crash_worker(0);
    sim.run(Span::from_secs(1));
    sim.restart_worker(0);
    sim.list_workers();
    sim.run(Span::from_secs(12));
    assert_eq!(sim.running(key), 20);
}

/// Guards against steps that wait for a limit and keep starved steps of others from starting, or
/// start beyond the estimates as soon as the limit permits.
#[test]
fn a_step_that_waits_for_a_limit_is_neither_timely_demand_nor_refused() {
    let mut sim = Simulation::new(2);
    sim.set_customers(&[("limited", cores(4))]);
    let tasks = Step {
        best_effort: true,
        ..step(50, 4, Span::from_secs(20))
    };
    let mut record = of("limited", vec![tasks]);
    record.queue.target_duration = Span::from_secs(600);
    let key = sim.submit(1, record.clone());
    record.queue.target_duration = Span::ZERO;
    record.spec.steps[0].estimate = Span::from_millis(100);
    let late = sim.submit(2, record);
    sim.run(Span::from_secs(8));
    let late = StepKey {
        job: late,
        occurrence: 0,
        step: 0,
    };
    assert!(!sim.dispatcher.is_starved(late, sim.now));
    assert_eq!(sim.running(key), 1);
    assert_eq!(sim.dispatcher.timely_demand.highest(), 0);
    assert_eq!(sim.dispatcher.summary().starved, 0);
    assert_eq!(sim.dispatcher.summary().longest_wait_ms, 0);
}

/// How callers of customers that send their usual load fare while one sends 7.5 times its usual.
#[derive(Debug, Default)]
struct Surge {
    jobs: usize,
    in_time: usize,
    longest: Span,
}

/// Plays ten customers that together use 85 % of the workers, and one of them with 7.5 times its
/// usual load for 6.5 s. `named` says whether the jobs name their customers.
fn play_surge(named: bool) -> (Surge, Surge) {
    const CUSTOMERS: [&str; 10] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "hot"];
    let objective = Span::from_millis(2_500);
    let mut sim = Simulation::new(8);
    sim.set_customers(&CUSTOMERS.map(|name| (name, cores(0))));
    let mut sent = Vec::new();
    let mut id = 0;
    let interval = Span::from_millis(20);
    for tick in 0..900u64 {
        let surge = (100..425).contains(&tick);
        for (i, name) in CUSTOMERS.iter().enumerate() {
            // A job takes 32 core-seconds; a usual customer sends one in 0.74 s.
            let period = if surge && *name == "hot" { 5 } else { 37 };
            if (tick + 4 * i as u64).is_multiple_of(period) {
                let steps = vec![step(8, 4, Span::from_secs(1))];
                let record = match named {
                    true => of(name, steps),
                    false => job(0, steps),
                };
                id += 1;
                sent.push((*name, sim.now, tick, sim.submit(id, record)));
            }
        }
        sim.run(interval);
    }
    sim.run(Span::from_secs(30));
    let (mut others, mut hot) = (Surge::default(), Surge::default());
    for (name, at, tick, key) in sent {
        if !(100..600).contains(&tick) {
            continue;
        }
        let took = sim.completed[&key].since(at);
        let group = if name == "hot" { &mut hot } else { &mut others };
        group.jobs += 1;
        group.in_time += usize::from(took <= objective);
        group.longest = group.longest.max(took);
    }
    (others, hot)
}

/// Guards against a customer whose surge makes the jobs of all others late while the workers are
/// full.
#[test]
fn a_surge_of_one_customer_does_not_delay_the_others() {
    let (without, _) = play_surge(false);
    let (others, hot) = play_surge(true);
    println!("without {without:?}, with {others:?}, hot {hot:?}");
    assert!(others.in_time * 100 >= others.jobs * 99, "{others:?}");
    assert!(without.in_time < others.in_time, "{without:?}");
    assert!(others.longest < without.longest, "{without:?} {others:?}");
}

/// Seeds that CI plays; `JUJUBELB_CUSTOMER_SEEDS` plays more.
const DEFAULT_SEEDS: u64 = 30;

/// Plays jobs of customers with changes of the leader, the limits and the workers.
fn play_random(seed: u64) {
    const NAMES: [&str; 3] = ["a", "b", "c"];
    let mut rng = StdRng::seed_from_u64(seed);
    let mut sim = Simulation::new(6);
    let limits = |rng: &mut StdRng| NAMES.map(|name| (name, cores(rng.random_range(10..160))));
    sim.set_customers(&limits(&mut rng));
    let mut keys = Vec::new();
    for _ in 0..60 {
        let i = rng.random_range(0..6);
        let event = rng.random_range(0..12);
        println!(
            "{:?} event {event} at {i}, {:?}",
            sim.now,
            sim.dispatcher.customer_loads()
        );
        match event {
            0..5 => {
                let (count, size) = (rng.random_range(1..30), rng.random_range(1..9));
                let tasks = Step {
                    gang: count <= 4 && rng.random_bool(0.5),
                    best_effort: rng.random_bool(0.3),
                    ..step(count, size, Span::from_millis(rng.random_range(300..5_000)))
                };
                let name = NAMES[rng.random_range(0..3)];
                keys.push(sim.submit(keys.len() as u64 + 1, of(name, vec![tasks])));
            }
            5 => sim.replace_leader(rng.random_bool(0.5)),
            6 => {
                let policy = limits(&mut rng);
                sim.set_customers(&policy);
            }
            7 if sim.worker(i).fault != Fault::Crashed => {
                sim.worker(i).fault = match rng.random_range(0..3) {
                    0 => Fault::Partitioned,
                    1 => Fault::LostAnswers,
                    _ => Fault::DelayedStarts(Span::from_secs(2)),
                };
            }
            8 => crash(&mut sim, i),
            9 if !keys.is_empty() => sim.cancel(keys[rng.random_range(0..keys.len())]),
            _ => restore(&mut sim, i),
        }
        sim.run(Span::from_millis(rng.random_range(2..60) * 20));
    }
    (0..6).for_each(|i| restore(&mut sim, i));
    // Every gang fits into these limits, and all work into the time.
    sim.set_customers(&NAMES.map(|name| (name, cores(160))));
    sim.run(Span::from_secs(150));
    let counted = sim.dispatcher.customer_loads();
    assert!(
        counted.iter().all(|c| c.cores == 0.0),
        "seed {seed}: {counted:?}"
    );
    for key in keys.iter().filter(|k| !sim.cancelled.contains(*k)) {
        assert!(
            sim.completed.contains_key(key),
            "seed {seed}: {key} waits for {:?}",
            hold(&sim, *key)
        );
    }
}

/// Ends a worker's process. Successes of which no leader knows are lost with it.
fn crash(sim: &mut Simulation, i: usize) {
    for end in &sim.workers[i].completions {
        if !sim.acknowledged.contains(&end.task) {
            sim.done.shift_remove(&end.task);
        }
    }
    sim.crash_worker(i);
}

fn restore(sim: &mut Simulation, i: usize) {
    match sim.worker(i).fault {
        Fault::Crashed => {
            sim.restart_worker(i);
            sim.list_workers();
        }
        _ => sim.worker(i).fault = Fault::None,
    }
}

/// Guards against a customer above its limit, or with jobs that are never done, after any sequence of
/// changes of leaders, limits and workers.
#[test]
fn no_customer_exceeds_its_limit_while_leaders_limits_and_workers_change() {
    let seeds = std::env::var("JUJUBELB_CUSTOMER_SEEDS");
    let seeds = seeds.map_or(DEFAULT_SEEDS, |s| s.parse().unwrap());
    let first = std::env::var("JUJUBELB_CUSTOMER_FIRST").map_or(0, |s| s.parse().unwrap());
    for seed in first..first + seeds {
        println!("seed {seed}");
        play_random(seed);
    }
}
