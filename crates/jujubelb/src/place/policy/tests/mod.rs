use proptest::prelude::*;
use proptest::test_runner::{Config as RunConfig, RngSeed, TestCaseError, TestRunner};

use self::fake::{Counting, FakeOwner, GIB, config, job, peer, shard, worker};
use super::*;
use crate::journal::AttemptOutcome;
use crate::model::{Attempt, Cause, Priority, Resources};
use crate::shard::Choice;
use crate::worker::Phase;

mod fake;
mod services;

fn cores(n: u64) -> Resources {
    Resources::new(n * 1_000, n * 4 * GIB, 0)
}

fn task(job: &str, index: u32) -> TaskId {
    TaskId {
        job: job.into(),
        index,
    }
}

fn starts(decisions: &[Decision]) -> usize {
    let assigned = decisions.iter().map(|d| &d.choice);
    assigned
        .filter(|c| matches!(c, Choice::Assign { .. }))
        .count()
}

fn causes(decisions: &[Decision], wanted: Cause) -> usize {
    decisions.iter().filter(|d| d.cause == wanted).count()
}

#[derive(Debug, Clone)]
enum Event {
    Submit {
        size: (u64, u64),
        factor: (u64, u64),
        batch: bool,
    },
    Pass,
    /// A worker executes the commands for every third task, from an offset.
    Execute(usize, usize),
    Report(usize),
    Finish(usize),
    OverLimit(usize),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let size = (1..16_000u64, 1..64u64);
    let tenths = || proptest::sample::select(vec![1u64, 2, 5, 10, 20, 50, 100]);
    let factor = (tenths(), tenths());
    let event = prop_oneof![
        2 => (size, factor, any::<bool>()).prop_map(|(size, factor, batch)| Event::Submit { size, factor, batch }),
        6 => Just(Event::Pass),
        9 => (0..3usize, 0..3usize).prop_map(|(w, r)| Event::Execute(w, r)),
        6 => (0..3usize).prop_map(Event::Report),
        1 => (0..60usize).prop_map(Event::Finish),
        1 => (0..60usize).prop_map(Event::OverLimit),
    ];
    proptest::collection::vec(event, 40..400)
}

/// Applies the events, with use between a tenth of and ten times the declared size.
/// Fails if the confirmed limits on a worker exceed its capacity.
fn run(events: &[Event], counting: Counting) -> Result<(), TestCaseError> {
    let mut fake = FakeOwner::new(config(&[3]));
    fake.counting = counting;
    let mut factors = Vec::new();
    for event in events {
        match event {
            Event::Submit {
                size,
                factor,
                batch,
            } => {
                let priority = if *batch {
                    Priority::Batch
                } else {
                    Priority::Urgent
                };
                let size = Resources::new(size.0, size.1 * GIB, 0);
                fake.submit(job(&format!("{}", factors.len()), 6, priority, size));
                factors.push((size, *factor));
            }
            Event::Pass => drop(fake.pass()),
            Event::Execute(i, offset) => fake.execute_some(&worker(*i), |n| n % 3 == *offset),
            Event::Report(i) => fake.report(&worker(*i), |id| {
                let (size, (cpu, memory)) = factors[id.job.as_str().parse::<usize>().unwrap()];
                Resources::new(size.cpu.0 * cpu / 10, size.memory.0 * memory / 10, 0)
            }),
            Event::Finish(i) | Event::OverLimit(i) => {
                let running: Vec<_> = fake
                    .placed
                    .values()
                    .flat_map(|t| t.keys().cloned())
                    .collect();
                let over = matches!(event, Event::OverLimit(_));
                let (outcome, phase) = match over {
                    true => (AttemptOutcome::Failure, Phase::OverLimit),
                    false => (AttemptOutcome::Success, Phase::Succeeded),
                };
                if let Some(id) = running.get(*i) {
                    fake.end(id, outcome, phase);
                }
            }
        }
        for i in 0..3 {
            let sum = fake.confirmed_limits(&worker(i));
            prop_assert!(sum.fits(&Resources::new(32_000, 128 * GIB, 0)), "{sum:?}");
        }
    }
    Ok(())
}

fn check(counting: Counting) -> Result<(), String> {
    let config = RunConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(0xCAFE),
        failure_persistence: None,
        ..RunConfig::default()
    };
    TestRunner::new(config)
        .run(&events(), |events| run(&events, counting))
        .map_err(|e| e.to_string())
}

/// Property P1: the confirmed limits on a host never exceed its capacity, whatever
/// sizes are declared and whatever use is reported.
#[test]
fn confirmed_limits_never_exceed_host_capacity() {
    check(Counting::Largest).unwrap();
}

/// The check above fails if capacity is freed before the worker confirms, or if it
/// is counted by the declared size.
#[test]
fn capacity_check_detects_incorrect_counting() {
    assert!(check(Counting::Planned).is_err());
    assert!(check(Counting::Declared).is_err());
}

/// Guards against urgent tasks that wait for batch tasks on a full shard, and
/// against more evictions than needed.
#[test]
fn urgent_task_preempts_cheapest_batch_task() {
    let mut fake = FakeOwner::new(config(&[2]));
    fake.submit(job("batch", 16, Priority::Batch, cores(4)));
    (0..60).for_each(|_| drop(fake.step()));
    assert_eq!(fake.running(), 16);
    fake.submit(job("check", 1, Priority::Urgent, cores(4)));
    let since = fake.now;
    let decisions = fake.step();
    assert_eq!(causes(&decisions, Cause::Preempted), 1);
    while fake.attempts(&task("check", 0)).0 == 0 {
        fake.step();
    }
    assert!(fake.now.since(since) < Span::from_millis(2_800));
    let (_, limit, _) = fake.state.assignment(&task("check", 0)).unwrap();
    assert_eq!(limit, cores(4));
}

/// Guards against evictions for an urgent task while another shard has free capacity.
#[test]
fn urgent_task_is_handed_off_rather_than_preempting() {
    let mut fake = FakeOwner::new(config(&[1, 4]));
    fake.submit(job("batch", 8, Priority::Batch, cores(4)));
    (0..60).for_each(|_| drop(fake.step()));
    fake.peers = vec![peer(1, cores(32))];
    fake.submit(job("check", 1, Priority::Urgent, cores(4)));
    let decisions = fake.step();
    let expected = Choice::HandOff {
        task: task("check", 0),
        to: shard(1),
    };
    assert!(
        decisions.iter().any(|d| d.choice == expected),
        "{decisions:?}"
    );
    assert_eq!(causes(&decisions, Cause::Preempted), 0);
}

/// Guards against immediate handoffs of batch tasks, since capacity often becomes
/// free soon.
#[test]
fn batch_task_waits_before_handoff() {
    let mut fake = FakeOwner::new(config(&[1, 4]));
    fake.peers = vec![peer(1, cores(32))];
    fake.submit(job("first", 8, Priority::Batch, cores(4)));
    (0..60).for_each(|_| drop(fake.step()));
    fake.submit(job("second", 1, Priority::Batch, cores(4)));
    let early: Vec<_> = (0..90).flat_map(|_| fake.step()).collect();
    assert_eq!(
        causes(&early, Cause::NoCapacity),
        1,
        "one delay, no handoff"
    );
    let late: Vec<_> = (0..20).flat_map(|_| fake.step()).collect();
    assert!(
        late.iter()
            .any(|d| matches!(d.choice, Choice::HandOff { .. }))
    );
}

/// Guards against a task that no shard starts and that moves between shards so often
/// that it never counts as starving. Tasks that have to leave a failure domain are
/// still handed off at once.
#[test]
fn handoff_delay_doubles_with_each_attempt() {
    let ten = Span::from_secs(10);
    let wait = |attempt| queue_pass::handoff_backoff(ten, Attempt(attempt));
    assert_eq!(wait(0), ten);
    assert_eq!(wait(3), Span::from_secs(80));
    assert!(wait(1_000) > crate::place::fair_queue::STARVATION_AGE);
    assert_eq!(
        queue_pass::handoff_backoff(Span::ZERO, Attempt(3)),
        Span::ZERO
    );
}

/// Guards against tasks that stay queued or restart in a domain that operators took
/// out of service. The owner itself evicts the tasks that run there.
#[test]
fn tasks_of_a_domain_out_of_service_are_handed_off() {
    let mut fake = FakeOwner::new(config(&[2, 4]));
    fake.peers = vec![peer(1, cores(1_000))];
    fake.submit(job("batch", 8, Priority::Batch, cores(4)));
    (0..10).for_each(|_| drop(fake.step()));
    fake.config.domains[0].out = true;
    fake.config.revision = fake.config.revision.next();
    let running: Vec<_> = fake
        .placed
        .values()
        .flat_map(|t| t.keys().cloned())
        .collect();
    running
        .iter()
        .for_each(|id| fake.end(id, AttemptOutcome::Eviction, Phase::Evicted));
    let moved: Vec<_> = (0..20).flat_map(|_| fake.step()).collect();
    let handed = moved
        .iter()
        .filter(|d| matches!(d.choice, Choice::HandOff { .. }));
    assert_eq!(handed.count(), 8);
    assert_eq!(starts(&moved), 0);
}

/// Guards against a team that uses more than this shard's share of its quota.
#[test]
fn quota_share_limits_a_team() {
    let mut fake = FakeOwner::new(config(&[4]));
    fake.config.teams[0].quota = Resources::new(40_000, 1 << 40, 0);
    fake.submit(job("batch", 30, Priority::Batch, cores(4)));
    let all: Vec<_> = (0..300).flat_map(|_| fake.step()).collect();
    assert_eq!(fake.running(), 10);
    assert_eq!(causes(&all, Cause::QuotaExhausted), 1);
}

/// Guards against a job that waits forever although no worker is large enough.
#[test]
fn job_that_fits_no_worker_is_parked() {
    let mut fake = FakeOwner::new(config(&[2]));
    fake.submit(job("huge", 2, Priority::Batch, cores(33)));
    let decisions = fake.step();
    assert!(matches!(&decisions[..], [d] if d.cause == Cause::Impossible && !d.facts.is_empty()));
    assert_eq!(fake.step(), []);
}

/// Guards against endless retries of a task that exceeds its memory limit with the
/// same limit.
#[test]
fn exceeded_memory_limit_doubles_up_to_the_largest_host() {
    let mut fake = FakeOwner::new(config(&[2]));
    let mut declared = job("grows", 1, Priority::Batch, cores(1));
    declared.task.size.memory.0 = 20 * GIB;
    fake.submit(declared);
    let mut limits = Vec::new();
    for _ in 0..400 {
        fake.step();
        let id = task("grows", 0);
        if let Some((_, limit, _)) = fake.state.assignment(&id) {
            limits.push(limit.memory.0 / GIB);
            fake.end(&id, AttemptOutcome::Failure, Phase::OverLimit);
        }
    }
    assert!(
        limits.windows(2).all(|w| w[1] >= (2 * w[0]).min(128)),
        "{limits:?}"
    );
    assert!(limits.len() <= 4, "{limits:?}");
    let parked = fake.state.jobs.values().all(|j| j.parked.is_some());
    assert!(parked);
}

/// Guards against a large batch task that never starts because smaller tasks take
/// all capacity that becomes free.
#[test]
fn large_task_starts_despite_a_stream_of_small_ones() {
    let mut fake = FakeOwner::new(config(&[2]));
    fake.submit(job("first", 64, Priority::Batch, cores(1)));
    (0..300).for_each(|_| drop(fake.step()));
    fake.submit(job("large", 1, Priority::Batch, cores(30)));
    for round in 0..1_200u64 {
        let name = format!("small-{round}");
        fake.submit(job(&name, 1, Priority::Batch, cores(1)));
        let oldest = fake.placed.values().flat_map(|t| t.keys().cloned()).next();
        let small = oldest.filter(|id| id.job.as_str() != "large");
        small
            .iter()
            .for_each(|id| fake.end(id, AttemptOutcome::Success, Phase::Succeeded));
        fake.now = fake.now + Span::from_secs(2);
        fake.step();
    }
    assert!(fake.attempts(&task("large", 0)).0 > 0);
}

/// Guards against a memory limit that doesn't grow when use approaches it, and
/// against one that keeps unused capacity reserved.
#[test]
fn limits_follow_use() {
    let mut fake = FakeOwner::new(config(&[1]));
    fake.submit(job("grows", 1, Priority::Batch, cores(2)));
    fake.submit(job("shrinks", 1, Priority::Batch, cores(16)));
    fake.step();
    for _ in 0..6 {
        fake.report(&worker(0), |id| match id.job.as_str() {
            "grows" => Resources::new(2_000, 8 * GIB, 0),
            _ => Resources::new(1_000, GIB, 0),
        });
        fake.step();
    }
    let limit = |fake: &FakeOwner, name: &str| fake.state.assignment(&task(name, 0)).unwrap().1;
    assert!(limit(&fake, "grows").memory.0 > 8 * GIB);
    assert!(limit(&fake, "shrinks").memory.0 < 2 * GIB);
    assert_eq!(
        limit(&fake, "shrinks").cpu.0,
        16_000,
        "not declared reclaimable"
    );
}

/// Guards against failures on a snapshot that was written in another format.
#[test]
fn unreadable_estimates_are_ignored() {
    let mut policy = PlacementPolicy::new(1);
    let saved = policy.save();
    policy.restore(&saved[..saved.len() / 2]);
    policy.restore(&[0xff; 40]);
    assert_eq!(policy.save(), saved);
}
