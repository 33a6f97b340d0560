//! What a leader learns of at the beginning of its term.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use tokio::time::{Duration, sleep, timeout};

use super::super::keys;
use super::super::leader::watch_intake;
use super::super::state::lock;
use super::decoding::record;
use super::node_with_store;
use super::scripted_store::{begin_term, changes, page, query_value, serve_store};
use crate::dispatch::{JobKey, JobStatus};

/// How long a leader may take to learn of a cancellation.
const LIMIT: Duration = Duration::from_secs(3);

const JOB: JobKey = JobKey(0xab);

/// Whether the jobs have been read once.
static IS_READ: AtomicBool = AtomicBool::new(false);

/// A store that holds a job, which is cancelled right after the jobs were read. To read them again
/// takes longer than the test.
fn answer(path: &str) -> Option<String> {
    if query_value(path, "prefix").as_deref() != Some(keys::INTAKE_PREFIX) {
        return Some(page(&[], false));
    }
    if path.starts_with("/kv-range") {
        let name = keys::job(JOB);
        let value = BASE64_STANDARD.encode(keys::encode(&record()));
        let item = format!(r#"{{"key":"{name}","value":"{value}","revision":5}}"#);
        return (!IS_READ.swap(true, SeqCst)).then(|| page(&[item], false));
    }
    let is_first = query_value(path, "after").as_deref() == Some("9");
    let name = keys::cancel(JOB);
    let item = format!(r#"{{"key":"{name}","value":"","revision":10}}"#);
    is_first.then(|| changes(&[item], 10))
}

/// Guards against tasks of a cancelled job that start because a new leader reads all jobs a second
/// time before it learns of the cancellation.
#[tokio::test]
async fn a_new_leader_learns_of_cancellations_without_reading_all_jobs_again() {
    let node = Arc::new(node_with_store(serve_store(answer).await));
    let term = Arc::new(begin_term(&node).await);
    let status = || lock(&term.dispatcher).job_status(JOB);
    assert_eq!(status(), Some(JobStatus::Queued));
    let watch = tokio::spawn(watch_intake(node.clone(), term.clone()));
    let cancelled = timeout(LIMIT, async {
        while status() != Some(JobStatus::Cancelled) {
            sleep(Duration::from_millis(10)).await;
        }
    });
    let in_time = cancelled.await.is_ok();
    watch.abort();
    assert!(in_time, "status: {:?}", status());
}
