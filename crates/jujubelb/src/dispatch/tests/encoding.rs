//! Text forms, stored forms and the size of write batches.

use super::simulation::TIME_STEP;
use super::{Simulation, job, step};
use crate::dispatch::commit::MAX_ENTRIES_PER_COMMIT;
use crate::dispatch::{
    Crash, CrashDetail, Incarnation, JobKey, JobOutcome, JobRecord, JobSpec, OccurrenceProgress,
    Progress, QueueSettings, Run, StepProgress, TaskCrashes, TaskKey, TaskProgress,
};
use crate::model::{Span, WallTime, WorkerName};

/// Guards against text forms that are not unique. Workers compare tasks by their text form.
#[test]
fn task_keys_are_parsed_as_written() {
    let text = "5c0e7a21d94b36f8.0.1.17";
    let task = TaskKey::parse(text).unwrap();
    assert_eq!(task.to_string(), text);
    assert_eq!(task.index, 17);
    for bad in [
        "",
        "5c0e7a21d94b36f8.0.1",
        "5C0E7A21D94B36F8.0.1.1",
        "x.0.0.0",
    ] {
        assert_eq!(TaskKey::parse(bad), None, "{bad}");
    }
    assert_eq!(JobKey::parse("+c0e7a21d94b36f8"), None);
}

/// Guards against losing succeeded tasks in the stored form that the next leader reads.
#[test]
fn progress_keeps_done_tasks() {
    let mut step = StepProgress::default();
    for i in [0, 9, 31] {
        step.set_done(i);
    }
    step.tasks.push(TaskProgress {
        index: 3,
        failed: vec![Run(7), Run(3)],
        checkpoint: Some("a".into()),
    });
    let bytes = postcard::to_allocvec(&step).unwrap();
    let read: StepProgress = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read, step);
    assert!(read.is_done(9) && read.is_done(31) && !read.is_done(8) && !read.is_done(100));
}

/// Guards against a batch that exceeds the entry limit of a transaction after many jobs and
/// workers changed while the store was unavailable. The store would refuse every retry, so
/// nothing would become durable any more.
#[test]
fn a_batch_fits_into_a_transaction() {
    let mut sim = Simulation::new(4);
    sim.store_available = false;
    for i in 0..60 {
        sim.submit(i, job(0, vec![step(1, 2, Span::from_millis(200))]));
    }
    sim.run(Span::from_secs(4));
    sim.add_worker(4);
    sim.list_workers();
    // The worker joins the roster with its first answer.
    sim.run(TIME_STEP);
    let batch = sim.dispatcher.take_commit(sim.now).unwrap();
    assert!(batch.roster.is_some() && batch.model.is_some());
    assert!(batch.jobs.len() > MAX_ENTRIES_PER_COMMIT / 2);
    assert!(
        batch.entries() <= MAX_ENTRIES_PER_COMMIT,
        "{}",
        batch.entries()
    );
}

/// Guards against a state that another version can't read while hosts are updated one by one.
#[test]
fn progress_is_read_across_versions() {
    type Former = (Option<JobOutcome>, Vec<OccurrenceProgress>);
    let occurrences = vec![OccurrenceProgress {
        number: 3,
        steps: vec![StepProgress::default()],
    }];
    let former: Former = (None, occurrences.clone());
    let bytes = postcard::to_allocvec(&former).unwrap();
    let mut progress: Progress = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(progress.occurrences, occurrences);
    assert_eq!(progress.crashes, Vec::new());
    progress.crashes.push(TaskCrashes {
        occurrence: 3,
        step: 0,
        index: 5,
        crashes: vec![Crash {
            run: Run(10_001),
            worker: WorkerName::new("w1"),
        }],
    });
    let bytes = postcard::to_allocvec(&progress).unwrap();
    assert_eq!(postcard::from_bytes::<Progress>(&bytes).unwrap(), progress);
    assert_eq!(postcard::from_bytes::<Former>(&bytes).unwrap(), former);
}

/// Guards against jobs that another version can't read, and a token that is read where a former
/// version wrote none.
#[test]
fn jobs_are_read_across_versions() {
    type Former = (QueueSettings, JobSpec, WallTime);
    let mut record = job(1, vec![step(2, 4, Span::from_millis(200))]);
    let former: Former = (record.queue.clone(), record.spec.clone(), record.accepted);
    let bytes = postcard::to_allocvec(&(JobKey(7), &former)).unwrap();
    let read: (JobKey, JobRecord) = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read.1, record);
    assert_eq!(read.1.term_token, None);
    record.term_token = Some(70_001);
    let bytes = postcard::to_allocvec(&(JobKey(7), &record)).unwrap();
    let read: (JobKey, JobRecord) = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read.1, record);
    let read: (JobKey, Former) = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read.1, former);
}

/// Guards against a state with details of crashes that the previous version can't read, and
/// against one of that version that this one can't read.
#[test]
fn crash_details_are_read_across_versions() {
    type Former = (
        Option<JobOutcome>,
        Vec<OccurrenceProgress>,
        Vec<TaskCrashes>,
    );
    let crash = Crash {
        run: Run(10_001),
        worker: WorkerName::new("w1"),
    };
    let crashes = vec![TaskCrashes {
        occurrence: 3,
        step: 0,
        index: 5,
        crashes: vec![crash.clone()],
    }];
    let former: Former = (None, Vec::new(), crashes.clone());
    let bytes = postcard::to_allocvec(&former).unwrap();
    let mut progress: Progress = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(progress.crashes, crashes);
    assert_eq!(progress.crash_details, Vec::new());
    progress.crash_details.push(CrashDetail {
        occurrence: 3,
        step: 0,
        index: 5,
        crash,
        address: ([10, 0, 0, 1], 80).into(),
        incarnation: Some(Incarnation(7)),
        is_assumed: true,
    });
    let bytes = postcard::to_allocvec(&progress).unwrap();
    assert_eq!(postcard::from_bytes::<Progress>(&bytes).unwrap(), progress);
    assert_eq!(postcard::from_bytes::<Former>(&bytes).unwrap(), former);
}
