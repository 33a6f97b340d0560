use proptest::prelude::*;
use proptest::test_runner::{Config as RunConfig, RngSeed, TestCaseError, TestRunner};

use self::fake::{Counting, Fake, GIB, config, job, peer, shard, worker};
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
    /// The worker obeys the commands for every third of its tasks.
    Obey(usize, usize),
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
    9 => (0..3usize, 0..3usize).prop_map(|(w, r)| Event::Obey(w, r)),
    6 => (0..3usize).prop_map(Event::Report),
    1 => (0..60usize).prop_map(Event::Finish),
    1 => (0..60usize).prop_map(Event::OverLimit),
    ];
    proptest::collection::vec(event, 40..400)
}

/// Runs the events with use that differs from the declared size by up to ten
/// times either way. Fails if the limits in force on a worker exceed it.
fn run(events: &[Event], counting: Counting) -> Result<(), TestCaseError> {
    let mut fake = Fake::new(config(&[3]));
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
            Event::Obey(i, rest) => fake.obey_some(&worker(*i), |n| n % 3 == *rest),
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
            let sum = fake.in_force(&worker(i));
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

/// Guards against P1: limits in force above a host, whatever the sizes and reports are.
#[test]
fn limits_in_force_never_exceed_a_host() {
    check(Counting::Largest).unwrap();
}

/// The check above catches room that is freed before the worker confirms, and
/// room counted by the declared size.
#[test]
fn the_capacity_check_catches_wrong_counting() {
    assert!(check(Counting::Planned).is_err());
    assert!(check(Counting::Declared).is_err());
}

/// Guards against urgent work that waits behind batch work on a full shard, and
/// against more evictions than it needs.
#[test]
fn urgent_work_preempts_the_cheapest_batch_work() {
    let mut fake = Fake::new(config(&[2]));
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

/// Guards against urgent work that is kept while another shard has room.
#[test]
fn urgent_work_is_handed_off_before_anything_is_evicted() {
    let mut fake = Fake::new(config(&[1, 4]));
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

/// Guards against batch work that is handed off although room appears at once.
#[test]
fn batch_work_waits_before_it_is_handed_off() {
    let mut fake = Fake::new(config(&[1, 4]));
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

/// Guards against a task that no shard starts and that goes to and fro between
/// them, so that it never grows old enough to be put in front. Work that leaves a
/// domain at once still does.
#[test]
fn a_task_that_was_moved_waits_longer_before_it_is_moved_again() {
    let ten = Span::from_secs(10);
    let wait = |attempt| start::lengthened(ten, Attempt(attempt));
    assert_eq!(wait(0), ten);
    assert_eq!(wait(3), Span::from_secs(80));
    assert!(wait(1_000) > crate::place::fair::STARVING);
    assert_eq!(start::lengthened(Span::ZERO, Attempt(3)), Span::ZERO);
}

/// Guards against work that stays queued in a domain that operators took out,
/// or starts there again. The owner itself evicts what runs there.
#[test]
fn the_work_of_a_leaving_domain_is_handed_off() {
    let mut fake = Fake::new(config(&[2, 4]));
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

/// Guards against a team that uses more than its share in this shard.
#[test]
fn the_share_of_the_quota_bounds_a_team() {
    let mut fake = Fake::new(config(&[4]));
    fake.config.teams[0].quota = Resources::new(40_000, 1 << 40, 0);
    fake.submit(job("batch", 30, Priority::Batch, cores(4)));
    let all: Vec<_> = (0..300).flat_map(|_| fake.step()).collect();
    assert_eq!(fake.running(), 10);
    assert_eq!(causes(&all, Cause::QuotaExhausted), 1);
}

/// Guards against a job that can never fit and waits for ever.
#[test]
fn a_job_that_never_fits_is_parked() {
    let mut fake = Fake::new(config(&[2]));
    fake.submit(job("huge", 2, Priority::Batch, cores(33)));
    let decisions = fake.step();
    assert!(matches!(&decisions[..], [d] if d.cause == Cause::Impossible && !d.facts.is_empty()));
    assert_eq!(fake.step(), []);
}

/// Guards against a task that is stopped for its memory and retried with the
/// same limit for ever.
#[test]
fn a_task_over_its_limit_gets_twice_as_much_until_no_host_has_more() {
    let mut fake = Fake::new(config(&[2]));
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

/// Guards against a large batch task that small ones keep out for ever.
#[test]
fn a_large_task_starts_beside_an_endless_stream_of_small_ones() {
    let mut fake = Fake::new(config(&[2]));
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

/// Guards against a memory limit that stays when use comes close to it, and
/// against one that keeps room which is not used.
#[test]
fn limits_follow_use() {
    let mut fake = Fake::new(config(&[1]));
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
    let limit = |fake: &Fake, name: &str| fake.state.assignment(&task(name, 0)).unwrap().1;
    assert!(limit(&fake, "grows").memory.0 > 8 * GIB);
    assert!(limit(&fake, "shrinks").memory.0 < 2 * GIB);
    assert_eq!(
        limit(&fake, "shrinks").cpu.0,
        16_000,
        "not declared reclaimable"
    );
}

/// Guards against a snapshot that is taken from one format and read as another.
#[test]
fn unreadable_estimates_are_ignored() {
    let mut policy = PlacementPolicy::new(1);
    let saved = policy.save();
    policy.restore(&saved[..saved.len() / 2]);
    policy.restore(&[0xff; 40]);
    assert_eq!(policy.save(), saved);
}
