//! Each rule is shown to fail on a history that breaks it, and to hold on one that does not.

use std::time::Duration;

use super::{Violation, check};
use crate::emulator::customers::{Customer, Key};
use crate::emulator::history::{
    Answer, Event, Life, Record, Role, RunEnd, SentJob, SentStep, TaskName, What,
};

const JOB: &str = "00000000000000aa";

/// A history in the making; times are seconds.
struct Draft {
    record: Record,
}

fn step(count: u32, after: &[u16], lasts: bool) -> SentStep {
    SentStep {
        count,
        cpu: 1_000,
        memory: 100,
        work: Duration::from_secs(1),
        after: after.to_vec(),
        checkpoints: true,
        lasts,
        failing: 0.0,
        role: Role::Plain,
    }
}

fn life(name: &str, life: u64) -> Life {
    let name = name.into();
    Life { name, life }
}

fn task(step: usize, index: u32) -> TaskName {
    TaskName {
        job: JOB.into(),
        occurrence: 0,
        step,
        index,
    }
}

fn started(worker: &str, step: usize, run: u64) -> What {
    What::Started {
        worker: life(worker, 1),
        zone: "za".into(),
        service: "main".into(),
        task: task(step, 0),
        run,
        payload: "payload".into(),
        checkpoint: None,
        late: false,
        over_room: false,
    }
}

fn ended(worker: &str, number: u64, step: usize, run: u64, end: RunEnd) -> What {
    What::Ended {
        worker: life(worker, 1),
        number,
        task: task(step, 0),
        run,
        end,
    }
}

fn noted(worker: &str, number: u64) -> What {
    let worker = life(worker, 1);
    What::Acknowledged { worker, number }
}

fn submit(answer: Answer) -> [What; 2] {
    let job = || JOB.into();
    [
        What::SubmitSent {
            job: job(),
            host: 0,
        },
        What::SubmitAnswered { job: job(), answer },
    ]
}

fn cancel(answer: Answer) -> [What; 2] {
    let job = || JOB.into();
    [
        What::CancelSent {
            job: job(),
            host: 0,
        },
        What::CancelAnswered { job: job(), answer },
    ]
}

fn shown(asked: f64, state: Option<&str>) -> What {
    What::StateShown {
        job: JOB.into(),
        asked: Duration::from_secs_f64(asked),
        state: state.map(Into::into),
    }
}

fn fault(id: u64) -> What {
    let text = "test".to_owned();
    What::FaultBegan {
        id,
        text,
        host: None,
    }
}

impl Draft {
    /// A job with these steps that is accepted at 1 s.
    fn accepted(steps: Vec<SentStep>) -> Self {
        Self::submitted(steps).with(1.0, submit(Answer::Status(200)))
    }

    fn submitted(steps: Vec<SentStep>) -> Self {
        let job = SentJob {
            id: JOB.into(),
            customer: None,
            prefix: "/batch/".into(),
            service: "main".into(),
            payload: "payload".into(),
            steps,
        };
        let mut record = Record::default();
        record.jobs.insert(JOB.into(), job);
        Self { record }
    }

    fn with(mut self, at: f64, what: impl IntoIterator<Item = What>) -> Self {
        let at = Duration::from_secs_f64(at);
        let events = what.into_iter().map(|what| Event { at, what });
        self.record.events.extend(events);
        self
    }

    fn found(self) -> Vec<Violation> {
        check(&self.record)
    }

    #[track_caller]
    fn breaks(self, rule: &str, text: &str) {
        let found = self.found();
        assert!(
            found
                .iter()
                .any(|v| v.rule == rule && v.text.contains(text)),
            "{rule} with {text:?} not found: {found:#?}"
        );
    }

    #[track_caller]
    fn holds(self) {
        assert_eq!(self.found(), []);
    }
}

/// A job of one task that runs from 2 s to 3 s, and is acknowledged.
fn completed_job() -> Draft {
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, [started("w1", 0, 1)])
        .with(3.0, [ended("w1", 1, 0, 1, RunEnd::Done)])
        .with(3.2, [noted("w1", 1)])
        .with(4.0, [shown(3.9, Some("completed"))])
}

#[test]
fn history_of_completed_job_is_clean() {
    completed_job().holds();
}

// Guards against a checker of TWICE that misses a second run beside a running one.
#[test]
fn run_beside_another_breaks_twice() {
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, [started("w1", 0, 1)])
        .with(2.5, [started("w2", 0, 2)])
        .breaks("TWICE", "while run 1 is on w1#1");
}

// Guards against a checker that counts a run on a dead worker as running.
#[test]
fn run_after_crash_is_allowed() {
    let worker = life("w1", 1);
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, [started("w1", 0, 1)])
        .with(2.2, [What::Died { worker }])
        .with(2.5, [started("w2", 0, 2)])
        .with(3.5, [ended("w2", 1, 0, 2, RunEnd::Done), noted("w2", 1)])
        .with(4.0, [shown(3.9, Some("completed"))])
        .holds();
}

// Guards against a checker that looks only at ends acknowledged before the second start.
#[test]
fn start_after_done_breaks_twice_even_if_noted_later() {
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, [started("w1", 0, 1)])
        .with(3.0, [ended("w1", 1, 0, 1, RunEnd::Done)])
        .with(4.0, [started("w2", 0, 2)])
        .with(5.0, [noted("w1", 1)])
        .breaks("TWICE", "after it was done");
}

// Guards against a checker that counts an end that was lost with the lease.
#[test]
fn start_after_unnoted_end_is_allowed() {
    let worker = life("w1", 1);
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, [started("w1", 0, 1)])
        .with(3.0, [ended("w1", 1, 0, 1, RunEnd::Done), fault(1)])
        .with(8.0, [What::Lapsed { worker }, What::FaultEnded { id: 1 }])
        .with(9.0, [started("w2", 0, 2)])
        .with(9.5, [noted("w1", 1)])
        .with(10.0, [ended("w2", 1, 0, 2, RunEnd::Done), noted("w2", 1)])
        .with(11.0, [shown(10.9, Some("completed"))])
        .holds();
}

// Guards against a checker that misses a step that starts too early.
#[test]
fn start_before_earlier_step_breaks_order() {
    Draft::accepted(vec![step(2, &[], false), step(1, &[0], false)])
        .with(2.0, [started("w1", 0, 1)])
        .with(3.0, [ended("w1", 1, 0, 1, RunEnd::Done)])
        .with(3.5, [started("w1", 1, 1)])
        .breaks("ORDER", "before task 1 of step 0 is done");
}

// Guards against a checker that doesn't count failures.
#[test]
fn start_after_three_failures_breaks_budget() {
    let mut draft = Draft::accepted(vec![step(1, &[], false)]);
    for run in 1..=3 {
        let end = ended("w1", run, 0, run, RunEnd::Failed);
        draft = draft.with(
            run as f64 + 1.0,
            [started("w1", 0, run), end, noted("w1", run)],
        );
    }
    draft
        .with(6.0, [started("w1", 0, 4)])
        .breaks("BUDGET", "after 3 failures");
}

// Guards against a checker that ignores capacity.
#[test]
fn start_beyond_capacity_breaks_limit() {
    let mut start = started("w1", 0, 1);
    if let What::Started { over_room, .. } = &mut start {
        *over_room = true;
    }
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, [start])
        .breaks("LIMIT", "which is full");
}

// Guards against a checker that trusts the identifier of a job.
#[test]
fn start_of_unknown_job_breaks_unasked() {
    Draft {
        record: Record::default(),
    }
    .with(2.0, [started("w1", 0, 1)])
    .breaks("UNASKED", "no client has sent the job");
}

// Guards against a checker that doesn't compare the payload.
#[test]
fn start_with_other_payload_breaks_unasked() {
    let mut start = started("w1", 0, 1);
    if let What::Started { payload, .. } = &mut start {
        *payload = "other".into();
    }
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, [start])
        .breaks("UNASKED", "the payload is \"other\"");
}

// Guards against a checker that accepts any task of a known job.
#[test]
fn start_of_unknown_task_breaks_unasked() {
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, [started("w1", 1, 1)])
        .breaks("UNASKED", "the job has no such task");
}

// Guards against a checker that doesn't compare checkpoints.
#[test]
fn start_with_foreign_checkpoint_breaks_unasked() {
    let mut start = started("w1", 0, 1);
    if let What::Started { checkpoint, .. } = &mut start {
        *checkpoint = Some("001000other".into());
    }
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, [start])
        .breaks("UNASKED", "no run has saved the checkpoint");
}

// Guards against a checker that ignores the service of a queue.
#[test]
fn start_on_other_service_breaks_route() {
    let mut start = started("w1", 0, 1);
    if let What::Started { service, .. } = &mut start {
        *service = "side".into();
    }
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, [start])
        .breaks("ROUTE", "the worker belongs to side");
}

// Guards against a job that runs although all its callers were told that it does not.
#[test]
fn start_of_refused_job_breaks_refused() {
    Draft::submitted(vec![step(1, &[], false)])
        .with(1.0, submit(Answer::Status(503)))
        .with(1.5, submit(Answer::Status(429)))
        .with(2.0, [started("w1", 0, 1)])
        .breaks("REFUSED", "all submissions of the job were rejected");
}

// Guards against a checker that counts an unanswered submission as rejected.
#[test]
fn start_after_unanswered_submission_is_allowed() {
    Draft::submitted(vec![step(1, &[], false)])
        .with(1.0, submit(Answer::Nothing))
        .with(1.5, submit(Answer::Status(503)))
        .with(2.0, [started("w1", 0, 1)])
        .with(3.0, [ended("w1", 1, 0, 1, RunEnd::Done), noted("w1", 1)])
        .holds();
}

// Guards against a checker that misses a start long after a cancellation.
#[test]
fn start_after_cancellation_breaks_unasked() {
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, cancel(Answer::Status(200)))
        .with(5.4, [started("w1", 0, 1)])
        .breaks("UNASKED", "after the job was cancelled");
}

// Guards against a bound on time that is applied near a fault, where the rules except it.
#[test]
fn start_after_cancellation_near_fault_is_allowed() {
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, cancel(Answer::Status(200)))
        .with(3.0, [fault(1), What::FaultEnded { id: 1 }])
        .with(5.4, [started("w1", 0, 1)])
        .with(6.0, [ended("w1", 1, 0, 1, RunEnd::Stopped), noted("w1", 1)])
        .holds();
}

// Guards against a cancelled job that runs on.
#[test]
fn run_long_after_cancellation_breaks_unasked() {
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, [started("w1", 0, 1)])
        .with(10.0, cancel(Answer::Status(200)))
        .with(
            15.0,
            [ended("w1", 1, 0, 1, RunEnd::Stopped), noted("w1", 1)],
        )
        .breaks("UNASKED", "is still on w1#1");
}

// Guards against a checker that stops looking after the first disturbed span.
#[test]
fn run_after_cancellation_breaks_unasked_once_calm() {
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, [started("w1", 0, 1)])
        .with(10.0, cancel(Answer::Status(200)))
        .with(11.0, [fault(1)])
        .with(12.0, [What::FaultEnded { id: 1 }])
        .with(
            25.0,
            [ended("w1", 1, 0, 1, RunEnd::Stopped), noted("w1", 1)],
        )
        .breaks("UNASKED", "is still on w1#1");
}

// Guards against a checker that misses starts in an evacuated zone.
#[test]
fn start_in_evacuated_zone_breaks_evac() {
    let zone = || "za".into();
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, [What::Evacuated { zone: zone() }])
        .with(7.5, [started("w1", 0, 1)])
        .breaks("EVAC", "after the zone was evacuated");
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, [What::Evacuated { zone: zone() }])
        .with(7.0, [What::Restored { zone: zone() }])
        .with(7.5, [started("w1", 0, 1)])
        .with(8.5, [ended("w1", 1, 0, 1, RunEnd::Done), noted("w1", 1)])
        .with(9.0, [shown(8.9, Some("completed"))])
        .holds();
}

// Guards against a checker that misses starts on a worker that leaves.
#[test]
fn start_on_draining_worker_breaks_drain() {
    let worker = life("w1", 1);
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, [What::Draining { worker }])
        .with(5.0, [started("w1", 0, 1)])
        .breaks("DRAIN", "after the worker drains");
}

// Guards against an accepted job that is forgotten.
#[test]
fn accepted_job_without_end_breaks_lost() {
    Draft::accepted(vec![step(1, &[], false)])
        .with(60.0, [shown(59.9, Some("queued"))])
        .breaks("LOST", "is not over at the end; shown: queued");
}

/// A best-effort job on two workers of which half is free; the traffic ends at 10 s.
fn best_effort_job() -> Draft {
    let joined = |name| What::Joined {
        worker: life(name, 1),
        service: "main".into(),
        cpu: 3_000,
        memory: 1_000,
    };
    let step = |after: &[u16]| SentStep {
        role: Role::BestEffort { image: "b".into() },
        ..step(1, after, false)
    };
    Draft::accepted(vec![step(&[]), step(&[0])])
        .with(1.0, [joined("w1"), joined("w2")])
        .with(10.0, [What::TrafficEnded])
}

fn left(worker: &str) -> What {
    let worker = life(worker, 1);
    What::Died { worker }
}

// Guards against best-effort jobs that wait for good beside serving tasks: they have no bound on
// their end, so that only the time without a run shows that they are lost.
#[test]
fn idle_job_after_the_traffic_breaks_lost() {
    best_effort_job()
        .with(27.5, [shown(27.4, Some("queued"))])
        .breaks("LOST", "nothing of its job runs since 24.000 s");
    // A run of its first step before does not help the second one.
    best_effort_job()
        .with(11.0, [started("w1", 0, 1)])
        .with(25.0, [ended("w1", 1, 0, 1, RunEnd::Done), noted("w1", 1)])
        .with(29.0, [shown(28.9, Some("running"))])
        .breaks("LOST", ".0.1.0 of 1000 millicores");
}

// Guards against a checker that counts the time before the bound, or a short pause after it.
#[test]
fn job_that_is_idle_for_a_short_time_is_allowed() {
    best_effort_job()
        .with(27.0, [shown(26.9, Some("queued"))])
        .holds();
    best_effort_job()
        .with(26.5, [started("w1", 0, 1)])
        .with(28.0, [ended("w1", 1, 0, 1, RunEnd::Done), noted("w1", 1)])
        .with(30.5, [started("w1", 1, 1)])
        .with(60.0, [shown(59.9, Some("running"))])
        .holds();
}

// Guards against a checker that ignores disturbances at the end.
#[test]
fn idle_job_near_fault_is_allowed() {
    best_effort_job()
        .with(21.0, [fault(1), What::FaultEnded { id: 1 }])
        .with(27.9, [shown(27.8, Some("queued"))])
        .holds();
    best_effort_job()
        .with(21.0, [fault(1), What::FaultEnded { id: 1 }])
        .with(28.1, [shown(28.0, Some("queued"))])
        .breaks("LOST", "nothing of its job runs");
}

// Guards against a checker that asks for a start on workers that are full or gone.
#[test]
fn idle_job_without_capacity_is_allowed() {
    let shown = || [shown(39.9, Some("queued"))];
    best_effort_job()
        .with(11.0, [left("w1"), left("w2")])
        .with(40.0, shown())
        .holds();
    // Half is in use by another job.
    let busy = beside_other_job(step(3, &[], false)).with(40.0, shown());
    let found = busy.found();
    assert!(!found.iter().any(|v| v.rule == "LOST"), "{found:#?}");
    // Only one more task of 1,000 millicores fits beside the best-effort tasks.
    let image = "b".into();
    let best_effort = SentStep {
        role: Role::BestEffort { image },
        ..step(5, &[], false)
    };
    let busy = beside_other_job(best_effort).with(40.0, shown());
    let found = busy.found();
    assert!(!found.iter().any(|v| v.rule == "LOST"), "{found:#?}");
}

// Guards against a checker that counts the processor time of best-effort tasks as in use: a few
// that run would excuse all that wait.
#[test]
fn idle_job_beside_best_effort_tasks_breaks_lost() {
    let image = "b".into();
    let best_effort = SentStep {
        role: Role::BestEffort { image },
        ..step(3, &[], false)
    };
    beside_other_job(best_effort)
        .with(40.0, [shown(39.9, Some("queued"))])
        .breaks("LOST", "nothing of its job runs");
}

/// A best-effort job beside another one, with up to three tasks on each of both workers, which
/// have 3,000 millicores each.
fn beside_other_job(step: SentStep) -> Draft {
    let other = |index| {
        let name = if index < 3 { "w1" } else { "w2" };
        let mut start = started(name, 0, 1);
        if let What::Started { task, .. } = &mut start {
            task.job = "00000000000000bb".into();
            task.index = index;
        }
        start
    };
    let mut draft = best_effort_job().with(11.0, (0..step.count).map(other));
    let job = SentJob {
        id: "00000000000000bb".into(),
        steps: vec![step],
        ..draft.record.jobs[JOB].clone()
    };
    draft.record.jobs.insert(job.id.clone(), job);
    draft
}

// Guards against a best-effort job that is forgotten although it does not have to be over.
#[test]
fn best_effort_job_that_is_unknown_breaks_lost() {
    best_effort_job()
        .with(11.0, [started("w1", 0, 1)])
        .with(60.0, [What::TrafficEnded])
        .breaks("LOST", "is not over at the end; shown: nothing");
}

/// A serving task that best-effort tasks keep over its target from 10 s on.
fn disturbed_task() -> Draft {
    Draft::accepted(vec![step(1, &[], true)])
        .with(2.0, [started("w1", 0, 1)])
        .with(10.0, [disturbed(true)])
}

fn disturbed(disturbed: bool) -> What {
    What::Disturbed {
        worker: life("w1", 1),
        task: task(0, 0),
        disturbed,
    }
}

// Guards against serving tasks that stay over their target because of best-effort tasks.
#[test]
fn serving_task_that_is_disturbed_for_long_breaks_harm() {
    let text = "is over its target since 10.000 s";
    disturbed_task()
        .with(14.5, [disturbed(false)])
        .breaks("HARM", text);
    disturbed_task()
        .with(14.5, [left("w1")])
        .breaks("HARM", text);
    disturbed_task()
        .with(20.0, [shown(19.9, Some("running"))])
        .breaks("HARM", text);
}

// Guards against a checker that adds up short times over the target, or ignores faults.
#[test]
fn serving_task_that_is_disturbed_for_a_short_time_is_allowed() {
    disturbed_task()
        .with(14.0, [disturbed(false)])
        .with(14.1, [disturbed(true)])
        .with(18.0, [disturbed(false)])
        .holds();
    disturbed_task()
        .with(11.0, [fault(1), What::FaultEnded { id: 1 }])
        .with(18.9, [disturbed(false)])
        .holds();
}

// Guards against a host that denies a job which another host has accepted.
#[test]
fn accepted_job_shown_as_missing_breaks_lost() {
    completed_job()
        .with(6.0, [shown(5.9, None)])
        .breaks("LOST", "shown as not existing");
}

// Guards against an end that is shown without cause.
#[test]
fn unfounded_ends_break_lost_and_mixed() {
    let job = || Draft::accepted(vec![step(1, &[], false)]);
    job()
        .with(3.0, [shown(2.9, Some("failed"))])
        .breaks("LOST", "failed without cause");
    job()
        .with(3.0, [shown(2.9, Some("cancelled"))])
        .breaks("LOST", "nobody has cancelled it");
    job()
        .with(3.0, [shown(2.9, Some("completed"))])
        .breaks("MIXED", "is not done");
    job()
        .with(3.0, [shown(2.9, Some("odd"))])
        .breaks("MIXED", "can't be read");
}

// Guards against a task that lasts and is not started again.
#[test]
fn lasting_task_that_is_away_breaks_lost() {
    Draft::accepted(vec![step(1, &[], true)])
        .with(2.0, [started("w1", 0, 1)])
        .with(4.0, [ended("w1", 1, 0, 1, RunEnd::Failed), noted("w1", 1)])
        .with(20.0, [started("w1", 0, 2)])
        .breaks("LOST", "which lasts, is away since 4.000 s");
}

// Guards against cancellations without an answer.
#[test]
fn late_cancellations_break_acks() {
    let mut draft = Draft::accepted(vec![step(1, &[], false)]);
    for number in 0..3 {
        let job = arcstr::ArcStr::from(format!("00000000000000b{number}"));
        let answer = |status| What::CancelAnswered {
            job: job.clone(),
            answer: Answer::Status(status),
        };
        draft = draft.with(
            2.0,
            [
                What::SubmitAnswered {
                    job: job.clone(),
                    answer: Answer::Status(200),
                },
                What::CancelSent {
                    job: job.clone(),
                    host: 0,
                },
                answer(503),
            ],
        );
    }
    let job = arcstr::ArcStr::from("00000000000000b1");
    let answer = Answer::Status(200);
    draft
        .with(12.0, [What::CancelAnswered { job, answer }])
        .breaks("Acks", "1 of 3 cancellations");
}

// Guards against ends that no host takes note of.
#[test]
fn unacknowledged_end_breaks_acks() {
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, [started("w1", 0, 1)])
        .with(3.0, [ended("w1", 1, 0, 1, RunEnd::Done)])
        .with(15.0, [shown(14.9, Some("completed"))])
        .breaks("Acks", "1 of 1 ends");
}

// Guards against a host that goes on with a queue that was withdrawn, and against one that
// does not learn of a new queue.
#[test]
fn old_configuration_breaks_config() {
    let configured = |prefixes: &[&str]| What::Configured {
        prefixes: prefixes.iter().map(|p| (*p).into()).collect(),
        customers: Vec::new(),
    };
    let seen = |asked, exists| What::QueueShown {
        host: 0,
        prefix: "/passing/".into(),
        asked: Duration::from_secs_f64(asked),
        exists,
    };
    completed_job()
        .with(10.0, [configured(&[])])
        .with(13.0, [seen(12.9, true)])
        .breaks("CONFIG", "says that /passing/ exists");
    completed_job()
        .with(10.0, [configured(&["/passing/"])])
        .with(12.0, [seen(11.9, false)])
        .with(13.0, [seen(12.9, true)])
        .holds();
    completed_job()
        .with(10.0, [configured(&["/passing/"])])
        .with(13.0, [seen(12.9, false)])
        .breaks("CONFIG", "does not exist");
}

// Guards against a process that ends by itself unnoticed.
#[test]
fn process_that_ends_breaks_fault() {
    let text = "the process ended by itself".to_owned();
    completed_job()
        .with(10.0, [What::ProcessFailed { host: 1, text }])
        .breaks("FAULT", "host 1: the process ended by itself");
}

// Guards against a delay of the machine that is counted as one of the product.
#[test]
fn delay_of_the_soak_counts_as_fault() {
    let by = Duration::from_secs(2);
    Draft::accepted(vec![step(1, &[], false)])
        .with(2.0, cancel(Answer::Status(200)))
        .with(5.0, [What::Delayed { by }])
        .with(5.4, [started("w1", 0, 1)])
        .with(6.0, [ended("w1", 1, 0, 1, RunEnd::Stopped), noted("w1", 1)])
        .holds();
}

fn key(id: &str) -> Key {
    Key {
        id: id.into(),
        text: format!("text of {id}").into(),
    }
}

/// A configuration with a customer that has these keys and may have this many millicores running.
fn customer(keys: &[&str], max_cpu: u64) -> What {
    What::Configured {
        prefixes: Vec::new(),
        customers: vec![Customer {
            name: "large".into(),
            keys: keys.iter().map(|id| key(id)).collect(),
            weight: 1,
            max_cpu,
            max_memory: 0,
        }],
    }
}

fn answered(asked: f64, id: Option<&str>, status: u16) -> What {
    What::KeyAnswered {
        host: 0,
        key: id.map(key),
        asked: Duration::from_secs_f64(asked),
        status,
    }
}

// Guards against a host that serves calls with any key, or none, also while it is cut off.
#[test]
fn call_with_unknown_key_that_is_served_breaks_route() {
    let draft = || {
        completed_job()
            .with(4.5, [customer(&["a"], 0)])
            .with(4.6, [fault(1)])
    };
    draft()
        .with(5.0, [answered(4.9, Some("b"), 200)])
        .breaks("ROUTE", "Key(b)), which no configuration held");
    draft()
        .with(5.0, [answered(4.9, None, 200)])
        .breaks("ROUTE", "None, which no configuration held");
    // One that is held later doesn't allow earlier calls.
    draft()
        .with(5.0, [answered(4.9, Some("b"), 200)])
        .with(6.0, [customer(&["a", "b"], 0)])
        .breaks("ROUTE", "which no configuration held");
    draft()
        .with(5.0, [answered(4.9, Some("b"), 401)])
        .with(5.1, [answered(5.0, None, 401)])
        .with(5.2, [answered(5.1, Some("a"), 200)])
        .holds();
}

// Guards against a host that goes on with a withdrawn key, also if further configurations follow
// within the bound.
#[test]
fn withdrawn_key_that_is_served_late_breaks_config() {
    let draft = || {
        completed_job()
            .with(5.0, [customer(&["a", "b"], 0)])
            .with(10.0, [customer(&["b"], 0)])
            .with(12.0, [customer(&["b"], 5_000)])
    };
    draft()
        .with(13.0, [answered(12.9, Some("a"), 200)])
        .breaks("CONFIG", "Key(a), which was withdrawn 2.900 s");
    draft()
        .with(12.9, [answered(12.7, Some("a"), 200)])
        .with(13.0, [answered(12.9, Some("a"), 401)])
        .with(13.1, [answered(12.9, Some("b"), 200)])
        .holds();
    // A fault in the last seconds excuses it.
    draft()
        .with(12.5, [fault(1), What::FaultEnded { id: 1 }])
        .with(16.4, [answered(16.3, Some("a"), 200)])
        .holds();
    draft()
        .with(12.5, [fault(1), What::FaultEnded { id: 1 }])
        .with(16.8, [answered(16.7, Some("a"), 200)])
        .breaks("CONFIG", "which was withdrawn 6.700 s");
}

// Guards against a checker that excuses all hosts while one of them is cut off or the leader is lost.
#[test]
fn fault_of_a_host_excuses_no_other_host_from_withdrawn_keys() {
    let draft = |host| {
        let fault = What::FaultBegan {
            id: 1,
            text: "test".to_owned(),
            host: Some(host),
        };
        completed_job()
            .with(5.0, [customer(&["a", "b"], 0)])
            .with(9.0, [fault])
            .with(10.0, [customer(&["b"], 0)])
            .with(13.0, [answered(12.9, Some("a"), 200)])
    };
    draft(0).holds();
    draft(1).breaks("CONFIG", "Key(a), which was withdrawn");
}

// Guards against a host that refuses a key that is held.
#[test]
fn held_key_that_is_refused_late_breaks_config() {
    let draft = || {
        completed_job()
            .with(5.0, [customer(&["a"], 0)])
            .with(10.0, [customer(&["a", "b"], 0)])
    };
    draft()
        .with(13.0, [answered(12.9, Some("b"), 401)])
        .breaks("CONFIG", "answers 401 to Key(b), which was added 2.900 s");
    draft()
        .with(11.0, [answered(10.9, Some("a"), 401)])
        .breaks("CONFIG", "answers 401 to Key(a), which was added 5.900 s");
    draft()
        .with(12.9, [answered(12.7, Some("b"), 401)])
        .with(13.0, [answered(12.9, Some("b"), 503)])
        .holds();
    // Withdrawn while the call was under way.
    draft()
        .with(20.0, [customer(&["a"], 0)])
        .with(20.1, [answered(19.9, Some("b"), 401)])
        .holds();
}

// Guards against a host that asks for a key on a queue that needs none.
#[test]
fn refused_submission_to_a_public_queue_breaks_config() {
    let submitted = || Draft::submitted(vec![step(1, &[], false)]);
    submitted()
        .with(1.0, submit(Answer::Status(401)))
        .breaks("CONFIG", "to a public queue is answered 401");
    let mut of_customer = submitted();
    of_customer.record.jobs[JOB].customer = Some("large".into());
    of_customer.with(1.0, submit(Answer::Status(401))).holds();
}

// Guards against a 401 that is taken for an unclear answer: what was refused must not start.
#[test]
fn start_of_job_with_refused_key_breaks_refused() {
    Draft::submitted(vec![step(1, &[], false)])
        .with(1.0, submit(Answer::Status(401)))
        .with(2.0, [started("w1", 0, 1)])
        .breaks("REFUSED", "all submissions of the job were rejected");
}

// Guards against hosts whose logs show keys.
#[test]
fn key_in_a_log_breaks_leak() {
    let key = key("a");
    completed_job()
        .with(10.0, [What::KeyLogged { host: 1, key }])
        .breaks("LEAK", "the output of host 1 contains Key(a)");
}

/// A job of a customer with tasks of 1,000 millicores and 100 MiB each.
fn job_of_customer() -> Draft {
    let mut draft = Draft::accepted(vec![step(5, &[], false)]);
    draft.record.jobs[JOB].customer = Some("large".into());
    draft
}

fn started_task(worker: &str, index: u32) -> What {
    let mut start = started(worker, 0, 1);
    if let What::Started { task, .. } = &mut start {
        task.index = index;
    }
    start
}

/// Violations of QUOTA; the job is not over in these histories.
fn beyond_limit(draft: Draft) -> usize {
    let found = draft.found();
    found.iter().filter(|v| v.rule == "QUOTA").count()
}

// Guards against a customer that occupies more than its limit on several workers together.
#[test]
fn start_beyond_the_limit_of_a_customer_breaks_quota() {
    let tasks = |workers: &[&str]| -> Vec<What> {
        let starts = (0..).zip(workers).map(|(i, w)| started_task(w, i));
        starts.collect()
    };
    // 2,000 of 1,900 are within a tenth; the task that begins is the one more.
    let draft = || job_of_customer().with(1.5, [customer(&[], 1_900)]);
    assert_eq!(
        beyond_limit(draft().with(2.0, tasks(&["w1", "w2", "w1"]))),
        0
    );
    draft()
        .with(2.0, tasks(&["w1", "w2", "w1", "w2"]))
        .breaks("QUOTA", "large has 3000 of at most 1900 millicores");
    // Ends and losses of workers make room.
    let ended = draft()
        .with(2.0, tasks(&["w1", "w2", "w1"]))
        .with(2.5, [left("w1")])
        .with(3.0, [started_task("w3", 3), started_task("w3", 4)]);
    assert_eq!(beyond_limit(ended), 0);
    let mut memory = customer(&[], 0);
    if let What::Configured { customers, .. } = &mut memory {
        customers[0].max_memory = 150;
    }
    job_of_customer()
        .with(1.5, [memory])
        .with(2.0, tasks(&["w1", "w2", "w1"]))
        .breaks("QUOTA", "large has 200 of at most 150 MiB");
    // A start that is carried out late counts as any other.
    let mut late = started_task("w2", 3);
    if let What::Started { late, .. } = &mut late {
        *late = true;
    }
    draft()
        .with(2.0, tasks(&["w1", "w2", "w1"]))
        .with(3.0, [late])
        .breaks("QUOTA", "large has 3000");
}

// Guards against a checker that takes the newest limit before it has to be in force, or an older one
// for good.
#[test]
fn highest_limit_that_may_be_in_force_counts() {
    let draft = |lowered: f64| {
        job_of_customer()
            .with(1.5, [customer(&[], 5_000)])
            .with(lowered, [customer(&[], 1_000)])
            .with(10.0, (0..2).map(|i| started_task("w1", i)))
    };
    assert_eq!(
        beyond_limit(draft(9.0).with(11.7, [started_task("w2", 2)])),
        0
    );
    draft(9.0)
        .with(11.9, [started_task("w2", 2)])
        .breaks("QUOTA", "2000 of at most 1000 millicores");
    // Faults delay the time from which only the new one counts.
    let disturbed = || draft(9.0).with(11.0, [fault(1), What::FaultEnded { id: 1 }]);
    assert_eq!(
        beyond_limit(disturbed().with(14.9, [started_task("w2", 2)])),
        0
    );
    disturbed()
        .with(15.1, [started_task("w2", 2)])
        .breaks("QUOTA", "2000 of at most 1000 millicores");
    // A start may come just before the record of a limit that allows it.
    let raised = job_of_customer()
        .with(1.5, [customer(&[], 1_000)])
        .with(9.0, (0..3).map(|i| started_task("w1", i)))
        .with(9.1, [customer(&[], 5_000)]);
    assert_eq!(beyond_limit(raised), 0);
}

// Guards against a checker that asks for a start beyond the limit of a customer.
#[test]
fn idle_job_of_a_customer_at_half_of_its_limit_is_allowed() {
    let draft = |max_cpu| {
        let mut draft = beside_other_job(step(1, &[], false));
        for job in draft.record.jobs.values_mut() {
            job.customer = Some("large".into());
        }
        draft
            .with(12.0, [customer(&[], max_cpu)])
            .with(40.0, [shown(39.9, Some("queued"))])
    };
    let found = draft(2_000).found();
    assert!(!found.iter().any(|v| v.rule == "LOST"), "{found:#?}");
    draft(2_100).breaks("LOST", "nothing of its job runs");
}
