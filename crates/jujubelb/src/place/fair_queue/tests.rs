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

/// Guards against batch tasks that delay urgent tasks queued later.
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

/// Guards against a team with many queued tasks that gets more than its weighted share.
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

/// Queues an endless stream of urgent tasks and of small batch tasks of a team with a
/// lower share. Returns how long an old batch job waited, if it started. If starts
/// aren't counted, starving tasks never get their turn.
fn old_job_wait(counted: bool) -> Option<Span> {
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

/// Guards against an order in which a batch job waits forever.
#[test]
fn old_batch_job_starts_despite_an_endless_stream() {
    let bound = Span::from_secs(
        STARVATION_AGE.as_micros() / 1_000_000 + u64::from(STARTS_PER_STARVING_TURN) + 1,
    );
    assert!(old_job_wait(true).unwrap() <= bound);
}

/// The check above fails if starving tasks get no turn.
#[test]
fn starvation_check_detects_missing_turns() {
    assert_eq!(old_job_wait(false), None);
}

/// Guards against starvation of jobs in some order of submissions and starts.
#[test]
fn each_job_starts_within_a_bounded_number_of_starts() {
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

/// Guards against a blocked job that also blocks others or never returns.
#[test]
fn blocked_job_is_skipped_until_unblocked() {
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

/// Guards against counts and indexes that become inconsistent after many submissions
/// and cancellations.
#[test]
fn queue_is_empty_after_mass_cancellation() {
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
