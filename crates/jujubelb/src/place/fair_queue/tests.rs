use super::*;

fn team(name: &str) -> TeamName {
    TeamName::from(name)
}

fn task(job: &str, index: u32) -> TaskId {
    TaskId {
        job: JobName::from(job),
        index,
    }
}

fn queue() -> FairQueue {
    let mut queue = FairQueue::default();
    queue.set_capacity(Resources::new(100_000, 100, 0));
    queue
}

fn cpu(millicores: u64) -> Resources {
    Resources::new(millicores, 0, 0)
}

/// Starts the next task and returns it.
fn start(queue: &mut FairQueue, now: Time, size: &Resources) -> Option<QueuedTask> {
    let head = queue.peek(now)?;
    assert!(queue.remove(&head.task));
    queue.charge(&head.team, size);
    queue.record_start(now, &head);
    Some(head)
}

/// Guards against batch work that delays urgent work which was queued later.
#[test]
fn urgent_precedes_batch() {
    let mut queue = queue();
    queue.push(Time::ZERO, &team("a"), &task("night", 0), Priority::Batch);
    queue.push(
        Time::from_millis(5),
        &team("a"),
        &task("check", 0),
        Priority::Urgent,
    );
    assert_eq!(
        queue.peek(Time::from_millis(5)).unwrap().task,
        task("check", 0)
    );
}

/// Guards against a team with a long backlog that takes more than its weight.
#[test]
fn teams_share_by_weight() {
    let mut queue = queue();
    queue.set_weight(&team("heavy"), 3);
    for i in 0..100 {
        queue.push(Time::ZERO, &team("heavy"), &task("h", i), Priority::Batch);
        queue.push(Time::ZERO, &team("light"), &task("l", i), Priority::Batch);
    }
    for _ in 0..80 {
        start(&mut queue, Time::ZERO, &cpu(1_000)).unwrap();
    }
    assert_eq!(queue.used(&team("heavy")), cpu(60_000));
    assert_eq!(queue.used(&team("light")), cpu(20_000));
}

/// Runs an endless stream of urgent work and of small batch tasks of a team
/// with a lower share. Returns how long an old batch job waited, if it started.
/// Without counted starts, no turn ever comes.
fn wait_of_the_old_job(counted: bool) -> Option<Span> {
    let mut queue = queue();
    queue.charge(&team("late"), &cpu(90_000));
    queue.push(Time::ZERO, &team("late"), &task("old", 0), Priority::Batch);
    for second in 0..2_000u32 {
        let now = Time::from_millis(u64::from(second) * 1_000);
        let urgent = task(&format!("urgent-{second}"), 0);
        let small = task(&format!("small-{second}"), 0);
        queue.push(now, &team("stream"), &urgent, Priority::Urgent);
        queue.push(now, &team("stream"), &small, Priority::Batch);
        let head = queue.peek(now)?;
        queue.remove(&head.task);
        if counted {
            queue.record_start(now, &head);
        }
        if head.team == team("late") {
            return Some(now.since(Time::ZERO));
        }
    }
    None
}

/// Guards against an order that keeps one batch job waiting for ever.
#[test]
fn nothing_starves_under_an_endless_stream() {
    let bound = Span::from_secs(
        STARVATION_AGE.as_micros() / 1_000_000 + u64::from(STARTS_PER_STARVING_TURN) + 1,
    );
    assert!(wait_of_the_old_job(true).unwrap() <= bound);
}

/// The check above catches an order without turns for starving work.
#[test]
fn the_starvation_check_catches_missing_turns() {
    assert_eq!(wait_of_the_old_job(false), None);
}

/// Guards against jobs that starve in some order of submissions and starts.
#[test]
fn each_job_starts_in_a_bounded_number_of_turns() {
    use proptest::prelude::*;
    use proptest::test_runner::{Config, RngSeed, TestRunner};
    let config = Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(0xFA1),
        failure_persistence: None,
        ..Config::default()
    };
    let job = (0..6u32, any::<bool>(), 0..40u64);
    TestRunner::new(config)
        .run(&proptest::collection::vec(job, 1..40), |jobs| {
            let mut queue = queue();
            for (i, (t, urgent, used)) in jobs.iter().enumerate() {
                let team = team(&format!("team-{t}"));
                let priority = if *urgent {
                    Priority::Urgent
                } else {
                    Priority::Batch
                };
                queue.charge(&team, &cpu(used * 1_000));
                queue.push(Time::ZERO, &team, &task(&format!("job-{i}"), 0), priority);
            }
            let old = STARVATION_AGE.as_micros();
            for step in 0..jobs.len() as u64 * u64::from(STARTS_PER_STARVING_TURN + 1) {
                let now = Time::from_micros(old + step);
                let fresh = task(&format!("fresh-{step}"), 0);
                queue.push(now, &team("fresh"), &fresh, Priority::Urgent);
                let head = queue.peek(now).unwrap();
                queue.remove(&head.task);
                queue.record_start(now, &head);
            }
            let left = (0..jobs.len()).filter(|i| {
                let old = task(&format!("job-{i}"), 0);
                queue.queued_since(&old).is_some()
            });
            prop_assert_eq!(left.count(), 0);
            Ok(())
        })
        .unwrap();
}

/// Guards against a blocked job that hides the jobs behind it, or is lost.
#[test]
fn a_blocked_job_lets_others_pass_and_returns() {
    let mut queue = queue();
    queue.push(Time::ZERO, &team("a"), &task("big", 0), Priority::Batch);
    queue.push(
        Time::from_millis(1),
        &team("a"),
        &task("small", 0),
        Priority::Batch,
    );
    queue.block(&JobName::from("big"));
    assert_eq!(queue.peek(Time::ZERO).unwrap().task, task("small", 0));
    queue.push(
        Time::from_millis(2),
        &team("a"),
        &task("big", 1),
        Priority::Batch,
    );
    assert_eq!(queue.peek(Time::ZERO).unwrap().task, task("small", 0));
    queue.unblock();
    assert_eq!(queue.peek(Time::ZERO).unwrap().task, task("big", 0));
}

/// Guards against counts and indexes that drift apart in waves of submissions
/// and cancellations.
#[test]
fn waves_leave_nothing_behind() {
    let mut queue = queue();
    for wave in 0..3u32 {
        let job = format!("wave-{wave}");
        for i in 0..10_000 {
            queue.push(Time::ZERO, &team("a"), &task(&job, i), Priority::Batch);
        }
        assert_eq!(queue.len(Priority::Batch), 10_000);
        queue.block(&JobName::from(job.as_str()));
        for i in 0..10_000 {
            assert!(queue.remove(&task(&job, i)));
        }
        queue.unblock();
        assert_eq!(queue.len(Priority::Batch), 0);
        assert_eq!(queue.peek(Time::ZERO), None);
        assert!(queue.batch_ages.is_empty() && queue.jobs.is_empty());
    }
}
