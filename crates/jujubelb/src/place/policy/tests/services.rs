//! Services on the same workers as batch tasks, and failing or returning workers.

use super::fake::{FakeOwner, GIB, config, job, worker};
use super::{causes, cores, starts, task};
use crate::config::{Endpoint, Service};
use crate::journal::AttemptOutcome;
use crate::model::{Bytes, Cause, Priority, Resources, ServiceName, Span};
use crate::place::LatencyReport;
use crate::shard::{Choice, Decision, Policy, PolicyEvent};
use crate::worker::Phase;

/// A shard in which each worker has an endpoint of one service.
fn serving_shard(count: usize) -> FakeOwner {
    let mut config = config(&[count]);
    let domain = config.domains.first().unwrap().0.clone();
    let endpoint = |i: usize| Endpoint {
        domain: domain.clone(),
        address: ([127, 0, 0, 1], 1).into(),
        worker: Some(worker(i)),
        slots: 8,
        connections: 64,
        leaving: false,
    };
    let service = Service {
        deadline: Span::from_millis(200),
        body: Bytes(1 << 20),
        queue: 100,
        endpoints: (0..count)
            .map(|i| (format!("endpoint-{i}").as_str().into(), endpoint(i)))
            .collect(),
    };
    config
        .services
        .insert(ServiceName::from("booking"), service);
    FakeOwner::new(config)
}

/// Runs for `seconds`; each worker sends one latency report a second.
fn run_with_reports(
    fake: &mut FakeOwner,
    seconds: usize,
    micros: impl Fn(&FakeOwner, usize) -> u64,
) -> Vec<Decision> {
    let mut decisions = Vec::new();
    for _ in 0..seconds {
        (0..10).for_each(|_| decisions.extend(fake.step()));
        for i in 0..fake.placed.len() {
            let report = LatencyReport {
                service: ServiceName::from("booking"),
                worker: worker(i),
                mean: Span::from_micros(micros(fake, i)),
                count: 200,
                load: 500,
                age: Span::from_secs(5),
            };
            fake.policy
                .on_event(fake.now, PolicyEvent::LatencyReported(&report));
        }
    }
    decisions
}

/// Latency in microseconds that grows with the cores of the noisy class on a worker.
fn disturbed_latency(fake: &FakeOwner, i: usize) -> u64 {
    let tasks = fake.placed[&worker(i)].iter();
    let noisy = tasks.filter(|(id, _)| id.job.as_str() == "noisy");
    let cores: u64 = noisy
        .filter_map(|(_, t)| t.1)
        .map(|l| l.cpu.0 / 1_000)
        .sum();
    20_000 + 4_000 * cores
}

/// Guards against a class with an unknown effect that starts on all workers with
/// services at once.
#[test]
fn unknown_class_starts_on_few_workers() {
    let mut fake = serving_shard(32);
    run_with_reports(&mut fake, 10, |_, _| 20_000);
    fake.submit(job("noisy", 64, Priority::Batch, cores(4)));
    let first = fake.step();
    assert!((1..=2).contains(&starts(&first)), "{}", starts(&first));
    let later = run_with_reports(&mut fake, 60, |_, _| 20_000);
    assert_eq!(
        starts(&first) + starts(&later),
        64,
        "a class without effect runs on all workers"
    );
}

/// Guards against a class that slows services and stays on their workers, or is
/// repeatedly placed there and evicted.
#[test]
fn class_that_slows_services_is_avoided() {
    let mut fake = serving_shard(16);
    run_with_reports(&mut fake, 10, |_, _| 20_000);
    fake.submit(job("noisy", 32, Priority::Batch, cores(8)));
    let decisions = run_with_reports(&mut fake, 240, disturbed_latency);
    let late = (0..16)
        .filter(|i| disturbed_latency(&fake, *i) > 40_000)
        .count();
    assert_eq!(late, 0);
    let evicted = decisions
        .iter()
        .filter(|d| matches!(d.choice, Choice::Evict { .. }));
    assert!(evicted.count() <= 4);
    assert!(causes(&decisions, Cause::Interference) > 0);
}

/// Guards against batch tasks that wait forever for missing latency reports.
#[test]
fn missing_reports_do_not_block_batch_tasks() {
    let mut fake = serving_shard(4);
    fake.submit(job("batch", 8, Priority::Batch, cores(4)));
    (0..700).for_each(|_| drop(fake.step()));
    assert_eq!(fake.running(), 8);
}

/// Guards against placing more tasks on a worker on which all tasks fail.
#[test]
fn failing_worker_gets_no_tasks() {
    let mut fake = FakeOwner::new(config(&[20]));
    let mut quarantined = Vec::new();
    for round in 0..200 {
        fake.submit(job(&format!("job-{round}"), 4, Priority::Batch, cores(4)));
        quarantined.extend(fake.step());
        let running: Vec<_> = fake
            .placed
            .iter()
            .flat_map(|(w, tasks)| tasks.keys().map(|t| (w.clone(), t.clone())))
            .collect();
        for (place, id) in running {
            let (outcome, phase) = match place == worker(3) {
                true => (AttemptOutcome::Failure, Phase::Failed),
                false => (AttemptOutcome::Success, Phase::Succeeded),
            };
            fake.end(&id, outcome, phase);
        }
    }
    assert_eq!(causes(&quarantined, Cause::WorkerFailing), 1);
    assert!(fake.state.quarantined.contains(&worker(3)));
    let after = (0..20).flat_map(|i| {
        fake.submit(job(&format!("after-{i}"), 10, Priority::Batch, cores(4)));
        fake.pass()
    });
    let there =
        after.filter(|d| matches!(&d.choice, Choice::Assign { worker: w, .. } if *w == worker(3)));
    assert_eq!(there.count(), 0);
}

/// Guards against a breach of property P1 on a worker that enforces no limits.
#[test]
fn use_above_capacity_evicts_on_a_worker_without_enforcement() {
    let mut fake = FakeOwner::new(config(&[1]));
    fake.config.workers[0].protection = false;
    fake.submit(job("batch", 4, Priority::Batch, cores(8)));
    (0..20).for_each(|_| drop(fake.step()));
    fake.report(&worker(0), |_| Resources::new(8_000, 40 * GIB, 0));
    let decisions = fake.pass();
    let evicted = decisions
        .iter()
        .filter(|d| matches!(d.choice, Choice::Evict { .. }) && d.cause == Cause::OverCapacity);
    assert_eq!(
        evicted.count(),
        1,
        "evicting one of four tasks reduces 160 GiB to 120 GiB"
    );
}

/// Guards against starting all queued tasks at once on a returning worker.
#[test]
fn returning_worker_starts_tasks_at_a_limited_rate() {
    let mut fake = FakeOwner::new(config(&[1]));
    fake.unreachable.insert(worker(0));
    fake.submit(job("batch", 32, Priority::Batch, cores(1)));
    (0..20).for_each(|_| drop(fake.step()));
    fake.unreachable.clear();
    let first: Vec<_> = (0..10).flat_map(|_| fake.step()).collect();
    assert!((1..=6).contains(&starts(&first)));
    (0..150).for_each(|_| drop(fake.step()));
    assert_eq!(fake.running(), 32);
}

/// Guards against decisions without the numbers that explain them.
#[test]
fn decisions_carry_the_numbers_compared() {
    let mut fake = FakeOwner::new(config(&[1]));
    fake.submit(job("batch", 9, Priority::Batch, cores(4)));
    let all: Vec<_> = (0..60).flat_map(|_| fake.step()).collect();
    assert!(all.iter().all(|d| !d.facts.is_empty()));
    let delayed = all.iter().find(|d| d.cause == Cause::NoCapacity).unwrap();
    assert_eq!(
        delayed.choice,
        Choice::Delay {
            task: task("batch", 8)
        }
    );
    let names: Vec<_> = delayed.facts.iter().map(|f| f.name.as_str()).collect();
    assert!(names.starts_with(&["need-cpu", "free-cpu", "need-memory", "free-memory"]));
}
