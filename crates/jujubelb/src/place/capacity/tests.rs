use super::*;
use crate::model::{
    Attempt, Bytes, ClassName, DomainName, JobName, Millicores, Priority, Resources, Span, TaskId,
    TaskKind, TaskSpec,
};
use crate::shard::{AssignedTask, WorkerView};

fn task(index: u32) -> TaskId {
    TaskId {
        job: JobName::from("job"),
        index,
    }
}

fn spec(size: Resources) -> TaskSpec {
    TaskSpec {
        kind: TaskKind::Batch,
        class: ClassName::from("class"),
        priority: Priority::Batch,
        size,
        duration: Some(Span::from_secs(60)),
        domains: Vec::new(),
        reclaimable: true,
    }
}

fn worker(limits: &[(u64, Option<u64>)]) -> WorkerView {
    let assigned_task = |(i, (limit, confirmed)): (usize, &(u64, Option<u64>))| AssignedTask {
        task: task(i as u32),
        attempt: Attempt(1),
        limit: Resources::new(*limit, 0, 0),
        reported_limit: confirmed.map(|c| Resources::new(c, 0, 0)),
        running: true,
        stopping: false,
    };
    WorkerView {
        domain: DomainName::from("domain"),
        capacity: Resources::new(100, 100, 0),
        reserved: Resources::new(20, 0, 0),
        free: Resources::ZERO,
        protection: true,
        usable: true,
        quarantined: false,
        assigned: limits.iter().enumerate().map(assigned_task).collect(),
    }
}

/// Guards against not noticing that a worker's capacity was declared smaller than the
/// limits of its tasks.
#[test]
fn limits_above_capacity_count_as_overcommit() {
    assert_eq!(
        overcommit(&worker(&[(50, None), (30, None)])),
        Resources::ZERO
    );
    assert_eq!(
        overcommit(&worker(&[(50, None), (40, None)])).cpu,
        Millicores(10)
    );
}

/// Guards against changing a limit while a change is in progress, since their
/// confirmations couldn't be distinguished.
#[test]
fn limit_is_not_confirmed_during_a_change() {
    let worker = worker(&[(50, Some(50)), (30, Some(40)), (10, None)]);
    let confirmed: Vec<_> = worker.assigned.iter().map(is_confirmed).collect();
    assert_eq!(confirmed, [true, false, false]);
}

/// Guards against a class declared ten times too small whose tasks fail on each start.
#[test]
fn class_declared_too_small_gets_a_larger_reservation() {
    let mut sizes = SizeEstimator::default();
    let spec = spec(Resources::new(100, 100 << 20, 0));
    let need = Resources::new(1_000, 1_000 << 20, 0);
    for _ in 0..30 {
        sizes.observe(&spec.class, &spec.size, &need);
    }
    let reservation = sizes.reservation(&spec);
    assert!(need.fits(&reservation));
    assert!(reservation.fits(&Resources::new(2_000, 2_000 << 20, 0)));
}

/// Guards against a class declared ten times too large that keeps capacity reserved.
#[test]
fn limit_of_a_task_declared_too_large_shrinks() {
    let mut sizes = SizeEstimator::default();
    let spec = spec(Resources::new(10_000, 10 << 30, 0));
    let used = Resources::new(1_000, 1 << 30, 0);
    let mut peak = PeakUse::default();
    peak.add(&used, used.cpu);
    assert_eq!(
        sizes.shrunk_limit((&spec.class, true), &spec.size, &peak),
        None
    );
    peak.add(&used, used.cpu);
    peak.add(&used, used.cpu);
    let limit = sizes
        .shrunk_limit((&spec.class, true), &spec.size, &peak)
        .unwrap();
    assert!(used.fits(&limit) && limit.fits(&Resources::new(2_000, 2 << 30, 0)));
    (0..30).for_each(|_| sizes.observe(&spec.class, &spec.size, &used));
    assert_eq!(sizes.reservation(&spec).memory, spec.size.memory);
    assert!(sizes.reservation(&spec).cpu.0 < 2_000);
}

/// Guards against retries with the same exceeded memory limit, and against one outlier
/// that raises the estimate of a class with many observations.
#[test]
fn exceeded_memory_limit_doubles() {
    let mut sizes = SizeEstimator::default();
    let spec = spec(Resources::new(100, 64 << 20, 0));
    let doubled = sizes.record_limit_exceeded(&spec.class, &spec.size, &spec.size);
    assert_eq!(doubled.memory, Bytes(128 << 20));
    assert!(doubled.fits(&sizes.reservation(&spec)));
    (0..100)
        .for_each(|_| sizes.observe(&spec.class, &spec.size, &Resources::new(100, 32 << 20, 0)));
    assert_eq!(sizes.reservation(&spec).memory, spec.size.memory);
}

/// Guards against large reservations for small tasks because other tasks of their class
/// are large, and against a margin on correctly declared sizes.
#[test]
fn tasks_of_several_sizes_in_a_class_keep_their_sizes() {
    let mut sizes = SizeEstimator::default();
    let size = |cores: u64| Resources::new(cores * 1_000, cores << 30, 0);
    for i in 0..100 {
        let size = size(1 + i % 4);
        sizes.observe(&ClassName::from("class"), &size, &size);
    }
    for cores in 1..=4 {
        assert_eq!(
            sizes.reservation(&spec(size(cores))).memory,
            size(cores).memory
        );
    }
}

/// Guards against a snapshot that loses estimates.
#[test]
fn estimates_survive_a_snapshot() {
    let mut sizes = SizeEstimator::default();
    let spec = spec(Resources::new(100, 100, 0));
    sizes.observe(&spec.class, &spec.size, &Resources::new(900, 1 << 30, 0));
    let bytes = postcard::to_stdvec(&sizes.state()).unwrap();
    let restored = SizeEstimator::restore(postcard::from_bytes(&bytes).unwrap());
    assert_eq!(restored.reservation(&spec), sizes.reservation(&spec));
}
