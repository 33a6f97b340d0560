//! Workers that come and go, and the tasks on them.

use std::sync::Arc;
use std::time::Duration;

use super::fleet::Fleet;
use super::history::{History, Life, Record, Role, RunEnd, SentJob, SentStep, TaskName, What};
use super::interference::Interference;
use super::worker::{Machine, Refusal, StartOrder, Worker};

const SECOND: Duration = Duration::from_secs(1);

fn machine() -> Machine {
    Machine {
        service: "main".into(),
        zone: "za".into(),
        rack: "r0".into(),
        cpu: 10_000,
        memory: 10_000,
        guards_room: true,
        clock_rate: 1.0,
    }
}

fn worker(interference: Interference) -> Worker {
    let name = "w0".into();
    Worker::new(
        Life { name, life: 1 },
        machine(),
        interference,
        0,
        0,
        Duration::ZERO,
    )
}

/// A job with a task of 6 cores that takes 2 s unless it serves.
fn job(id: &str, role: Role) -> SentJob {
    let step = SentStep {
        count: 1,
        cpu: 6_000,
        memory: 100,
        work: 2 * SECOND,
        after: Vec::new(),
        checkpoints: false,
        lasts: matches!(role, Role::Serving { .. }),
        failing: 0.0,
        role,
    };
    SentJob {
        id: id.into(),
        prefix: "/batch/".into(),
        service: "main".into(),
        payload: "payload".into(),
        steps: vec![step],
    }
}

fn best_effort(id: &str, image: &str) -> SentJob {
    let image = image.into();
    job(id, Role::BestEffort { image })
}

fn serving(id: &str) -> SentJob {
    let (image, target) = ("serving".into(), SECOND);
    job(id, Role::Serving { image, target })
}

fn task(job: &SentJob) -> TaskName {
    TaskName::parse(&format!("{}.0.0.0", job.id)).unwrap()
}

/// Starts the task of a job at 0 s, with a lease of 6 s.
fn start(worker: &mut Worker, job: &SentJob, history: &History) -> Result<(), Refusal> {
    let order = StartOrder {
        task: task(job),
        run: 1,
        payload: job.payload.clone(),
        deadline_ms: 6_000,
        token: 0,
        checkpoint: None,
        late: false,
        fails: false,
    };
    worker.start(order, Some(job), Duration::ZERO, history)
}

/// The tail or the millicores that a worker reports of a job's task.
fn usage(worker: &Worker, job: &SentJob, now: Duration) -> u64 {
    let task = task(job);
    let (name, _, run) = worker.runs().find(|(name, ..)| **name == task).unwrap();
    worker.usage(name, run, now)
}

/// The first of some seeds of which a best-effort image has a slope in a range beside the
/// serving one.
fn seed_with_slope(range: std::ops::Range<f64>) -> Interference {
    let models = (0..100).map(Interference::new);
    let fits = |m: &Interference| range.contains(&m.slope("serving", "other"));
    models.into_iter().find(fits).unwrap()
}

/// Guards against best-effort tasks that are refused for want of processor time, which is not
/// counted, and against others that are not.
#[test]
fn processor_time_of_best_effort_tasks_is_not_counted() {
    let history = History::new();
    let mut worker = worker(Interference::new(1));
    assert_eq!(start(&mut worker, &serving("a"), &history), Ok(()));
    let other = best_effort("b", "other");
    assert_eq!(start(&mut worker, &other, &history), Ok(()));
    let plain = job("c", Role::Plain);
    assert_eq!(start(&mut worker, &plain, &history), Err(Refusal::Room));
}

/// Guards against paces without effect: the product would learn nothing from its orders.
#[test]
fn pace_slows_a_task_from_a_tenth_of_a_second_on() {
    let history = History::new();
    let mut worker = worker(Interference::new(1));
    let job = best_effort("a", "other");
    start(&mut worker, &job, &history).unwrap();
    let paced = worker.pace(&task(&job), 1, 50, 0, Duration::from_millis(900));
    assert_eq!(paced, Ok(()));
    worker.advance(Duration::from_millis(950), &history);
    assert_eq!(usage(&worker, &job, SECOND), 6_000);
    worker.advance(SECOND, &history);
    assert_eq!(usage(&worker, &job, SECOND), 3_000);
    // The second half takes 2 s at half the speed.
    assert!(!worker.advance(Duration::from_millis(2_990), &history));
    assert!(worker.advance(Duration::from_millis(3_010), &history));
    let ends: Vec<RunEnd> = worker.finished().map(|e| e.end).collect();
    assert_eq!(ends, [RunEnd::Done]);
}

/// Guards against a model in which best-effort tasks never or always disturb, so that the soak
/// plays nothing.
#[test]
fn strong_pairs_keep_a_serving_task_over_its_target() {
    let disturbed = |model: Interference| {
        let history = History::new();
        let mut worker = worker(model);
        let users = serving("a");
        start(&mut worker, &users, &history).unwrap();
        worker.advance(SECOND / 10, &history);
        let alone = usage(&worker, &users, SECOND / 10);
        start(&mut worker, &best_effort("b", "other"), &history).unwrap();
        worker.advance(SECOND, &history);
        let beside = usage(&worker, &users, SECOND);
        assert!(alone < 1_000 && beside > alone, "{alone} and {beside} ms");
        let over = |r: &Record| {
            let shown = |what: &What| {
                matches!(
                    what,
                    What::Disturbed {
                        disturbed: true,
                        ..
                    }
                )
            };
            r.events.iter().any(|e| shown(&e.what))
        };
        history.read(over)
    };
    assert!(disturbed(seed_with_slope(10.0..20.0)));
    assert!(!disturbed(seed_with_slope(0.5..0.8)));
}

/// Guards against serving tasks that miss their target by themselves: HARM would never be
/// checked while they do.
#[test]
fn serving_tasks_meet_their_target_alone() {
    let headrooms = (0..50).flat_map(|seed| {
        let model = Interference::new(seed);
        (0..150).map(move |tenth| model.undisturbed("a", Duration::from_millis(100 * tenth)))
    });
    let (least, most) = headrooms.fold((f64::MAX, 0.0_f64), |(a, b), h| (a.min(h), b.max(h)));
    assert!(least > 1.25 && most < 4.0, "{least} to {most}");
}

/// Guards against a worker that vanishes without a record of its end when two faults at its
/// place overlap: its runs would count as going on, and their next starts as second runs.
#[test]
fn a_worker_that_is_up_is_not_replaced() {
    let fleet = Fleet::new(vec![machine()], Arc::new(History::new()), 1);
    fleet.kill(0);
    fleet.revive(0, false);
    let life = |fleet: &Fleet| {
        let named = |worker: &mut super::worker::Worker, _: Option<Duration>, _: Duration| {
            worker.life.clone()
        };
        fleet.with(0, named)
    };
    let before = life(&fleet);
    fleet.revive(0, false);
    assert!(before.is_some());
    assert_eq!(life(&fleet), before);
}
