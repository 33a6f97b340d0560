//! Workers that come and go, and the tasks on them.

use std::sync::Arc;
use std::time::Duration;

use super::customers::{Customer, Key};
use super::fleet::Fleet;
use super::history::{History, Life, Record, Role, RunEnd, SentJob, SentStep, TaskName, What};
use super::http::{self, Link, Reply, Request, Service, Treatment};
use super::interference::Interference;
use super::platform::entries::{self, Queue};
use super::platform::worker_api::WorkerApi;
use super::worker::{LONGER_MAX_LEASE, Machine, Refusal, StartOrder, Worker};

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
        max_lease: LONGER_MAX_LEASE,
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
        customer: None,
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

/// A call to the worker `w0` that is carried out late.
async fn call_late(api: &WorkerApi, path: &str, body: serde_json::Value) -> Reply {
    let request = Request {
        method: "POST".to_owned(),
        path: path.to_owned(),
        query: Default::default(),
        headers: [("expect-instance".to_owned(), "w0".to_owned())].into(),
        body: body.to_string().into_bytes(),
        late: true,
    };
    api.serve(request).await
}

/// Guards against restarts that show nothing of calls to the former life: its clock has to be
/// unrelated to that of the next one, which carries these calls out until it has seen a newer
/// token. A deadline of a clock that was ahead grants the longest lease.
#[tokio::test]
async fn a_restarted_worker_carries_out_late_calls_on_another_clock() {
    let (mut ahead, mut behind) = (0, 0);
    for seed in 0..20 {
        let history = Arc::new(History::new());
        let fleet = Arc::new(Fleet::new(vec![machine()], history.clone(), seed));
        let api = WorkerApi {
            fleet: fleet.clone(),
            place: 0,
            history,
        };
        let clock = || fleet.with(0, |w, _, now| w.clock_ms(now)).unwrap();
        let former = clock();
        fleet.kill(0);
        fleet.revive(0, true);
        let next = clock();
        if former.abs_diff(next) < 60_000 {
            continue;
        }
        let deadline_ms = former + 6_000;
        let start = |task: &str, token: u64| {
            serde_json::json!({"task": task, "run": 1, "spec": "", "deadline_ms": deadline_ms,
                "fencing_token": token})
        };
        let reply = call_late(&api, "/run-start", start("a.0.0.0", 3)).await;
        if next > former {
            ahead += 1;
            assert_eq!(reply.status, 409);
            assert!(reply.body.contains("late"), "{}", reply.body);
        } else {
            behind += 1;
            assert_eq!(reply.status, 200);
            let hold = serde_json::json!({"deadline_ms": deadline_ms, "fencing_token": 3});
            assert_eq!(call_late(&api, "/hold", hold).await.status, 200);
        }
        let newer = serde_json::json!({"fencing_token": 4});
        assert_eq!(call_late(&api, "/hold", newer).await.status, 200);
        let reply = call_late(&api, "/run-start", start("b.0.0.0", 3)).await;
        assert_eq!(reply.status, 409);
        assert!(reply.body.contains("fence"), "{}", reply.body);
    }
    assert!(ahead >= 3 && behind >= 3, "{ahead} ahead, {behind} behind");
}

/// Guards against leases that a deadline on another clock makes longer than the longest one, or
/// not as long, so that the soak would not show starts before a lease has run out.
#[test]
fn deadline_on_a_clock_that_was_ahead_grants_the_longest_lease() {
    let history = History::new();
    let mut worker = worker(Interference::new(1));
    start(&mut worker, &serving("a"), &history).unwrap();
    let former = Some(2_816_000);
    let held = worker.hold(0, former, 0, SECOND, &history);
    assert_eq!(held, Ok(()));
    // A later deadline on its own clock does not shorten the lease.
    let held = worker.hold(0, Some(8_000), 0, 2 * SECOND, &history);
    assert_eq!(held, Ok(()));
    assert!(!worker.advance(Duration::from_millis(10_990), &history));
    assert!(worker.advance(Duration::from_millis(11_010), &history));
    let ends: Vec<RunEnd> = worker.finished().map(|e| e.end).collect();
    assert_eq!(ends, [RunEnd::Lapsed]);
}

/// Guards against calls in the network that are lost while a worker is down: the next life has to
/// carry them out, with the token of the former one.
#[tokio::test]
async fn calls_that_arrive_while_a_worker_is_down_reach_its_next_life() {
    let history = Arc::new(History::new());
    let fleet = Arc::new(Fleet::new(vec![machine()], history.clone(), 1));
    let api = WorkerApi {
        fleet: fleet.clone(),
        place: 0,
        history: history.clone(),
    };
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let link = Arc::new(Link::new(1));
    http::listen(address, link.clone(), Arc::new(api))
        .await
        .unwrap();
    fleet.kill(0);
    link.set(Treatment::Late(SECOND / 2), 1.0);
    let call = reqwest::Client::builder()
        .no_proxy()
        .timeout(SECOND / 5)
        .build()
        .unwrap();
    let call = call.post(format!("http://{address}/hold"));
    let call = call.header("Expect-Instance", "w0");
    let answer = call.body(r#"{"fencing_token": 3}"#).send().await;
    assert!(answer.is_err(), "{answer:?}");
    fleet.revive(0, true);
    let hold = || fleet.with(0, |w, _, now| w.hold(0, None, 0, now, &history));
    assert_eq!(hold(), Some(Ok(())));
    let until = tokio::time::Instant::now() + 10 * SECOND;
    while hold() != Some(Err(Refusal::Fence)) {
        assert!(tokio::time::Instant::now() < until, "the call is lost");
        tokio::time::sleep(SECOND / 100).await;
    }
}

/// Guards against a configuration without customers that differs from those of earlier seeds, and
/// against customers that a host can't read.
#[test]
fn configuration_holds_customers_only_if_there_are_any() {
    let queue = Queue {
        prefix: "/open/".into(),
        service: "main".into(),
        priority: 0,
        public: true,
    };
    let plain = entries::config(1, std::slice::from_ref(&queue), &[]);
    assert!(plain.get("tenants").is_none() && plain["routes"][0].get("public").is_none());
    let (id, text) = ("a-1".into(), "qwertz".into());
    let customer = Customer {
        name: "a".into(),
        keys: vec![Key { id, text }],
        weight: 3,
        max_cpu: 5_000,
        max_memory: 0,
    };
    let config = entries::config(1, &[queue], &[customer]);
    assert_eq!(config["routes"][0]["public"], true);
    let tenants = serde_json::json!([{
        "name": "a",
        "api_keys": ["qwertz"],
        "weight": 3,
        "max_count": {"cpu": 5_000, "mem_mb": 0, "gpu": 0},
    }]);
    assert_eq!(config["tenants"], tenants);
}
