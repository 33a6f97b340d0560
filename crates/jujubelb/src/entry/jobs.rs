//! Submission and cancellation of jobs.

use std::sync::Arc;

use rocket::State;
use rocket::data::Data;
use rocket::response::Response;
use serde::Serialize;

use super::EntryProcess;
use crate::config::Config;
use crate::http::body;
use crate::http::response::{self, Failure};
use crate::model::{Bytes, Code, JobName, JobSpec, ShardName, Span, TaskKind};
use crate::peer::{Call, CallError, Reply};
use crate::process::jobs;
use crate::shard::{Cancellation, Submission};

/// Maximum size of a submission.
const MAX_JOB_SIZE: Bytes = Bytes(64 << 10);

/// Time for the owner's reply over all tries. It is longer than a planned handoff of the
/// shard.
const OWNER_TIMEOUT: Span = Span::from_millis(5_000);

/// Delay before the owner is looked up again.
const OWNER_RETRY_DELAY: Span = Span::from_millis(200);

/// Maximum length of a job's name.
const MAX_NAME_BYTES: usize = 100;

/// Body of the response to a successful submission or cancellation.
#[derive(Debug, Serialize)]
struct JobResult {
    code: Code,
    number: u16,
    job: JobName,
    message: String,
}

/// Submits a job.
#[rocket::post("/v1/jobs", data = "<data>")]
pub(super) async fn submit(entry: &State<Arc<EntryProcess>>, data: Data<'_>) -> JobResponse {
    let result = entry.submit(data).await;
    let code = result.as_ref().map_or_else(|f| f.code, |a| a.code);
    entry.stats.submitted(code);
    JobResponse::new(entry, result)
}

/// Cancels a job.
#[rocket::delete("/v1/jobs/<name>")]
pub(super) async fn cancel(entry: &State<Arc<EntryProcess>>, name: &str) -> JobResponse {
    let result = entry.cancel(name).await;
    JobResponse::new(entry, result)
}

/// Response to a submission or cancellation.
pub(super) struct JobResponse(Response<'static>);

impl JobResponse {
    fn new(entry: &EntryProcess, result: Result<JobResult, Failure>) -> Self {
        let closing = entry.process.is_draining();
        Self(match result {
            Ok(result) => response::json(result.code, &result, closing),
            Err(failure) => response::failure(failure, closing),
        })
    }
}

impl<'r> rocket::response::Responder<'r, 'static> for JobResponse {
    fn respond_to(self, _: &'r rocket::Request<'_>) -> rocket::response::Result<'static> {
        Ok(self.0)
    }
}

impl EntryProcess {
    async fn submit(self: &Arc<Self>, data: Data<'_>) -> Result<JobResult, Failure> {
        let job = read_job(data).await?;
        if self.process.is_draining() {
            return Err(Failure::from(Code::Draining));
        }
        let config = self.process.active_config.config();
        validate(&config, &job)?;
        let (process, claimed) = (self.process.clone(), job.clone());
        let shard =
            run_blocking(move || jobs::claim(&process.store, &config, &claimed, false)).await?;
        let submission = Submission {
            shard: shard.clone(),
            job: job.clone(),
        };
        let (code, message) = self.call_owner(&shard, Call::Submit(submission)).await?;
        job_result(job.name, code, message)
    }

    async fn cancel(self: &Arc<Self>, name: &str) -> Result<JobResult, Failure> {
        let job = JobName::from(name);
        let (process, wanted) = (self.process.clone(), job.clone());
        let Some(claim) = run_blocking(move || jobs::find(&process.store, &wanted)).await? else {
            let text = format!("the job {name:?} does not exist");
            return Err(Failure::new(Code::NotFound, text));
        };
        let cancel = Cancellation {
            shard: claim.shard.clone(),
            job: job.clone(),
        };
        let (code, message) = self.call_owner(&claim.shard, Call::Cancel(cancel)).await?;
        job_result(job, code, message)
    }

    /// Calls the owner of a shard, and repeats the call if the owner changes or does not
    /// reply. The calls are idempotent.
    async fn call_owner(&self, shard: &ShardName, call: Call) -> Result<(Code, String), Failure> {
        let clock = self.process.clock;
        let end = clock.now() + OWNER_TIMEOUT;
        let mut failure = Failure::new(
            Code::NotOwner,
            format!("no owner of the shard {shard} is known"),
        );
        let mut sent = false;
        loop {
            let remaining = end.since(clock.now());
            if remaining == Span::ZERO {
                if sent {
                    failure.code = Code::PeerUnknown;
                }
                return Err(failure);
            }
            if let Some(owner) = self.peers.owner_of(shard) {
                match self.peers.call(&owner, call.clone(), remaining).await {
                    Ok(Reply::Code(Code::NotOwner, text)) => {
                        failure = Failure::new(Code::NotOwner, text);
                    }
                    Ok(Reply::Code(code, text)) => return Ok((code, text)),
                    Ok(_) => return Err(Failure::from(Code::Internal)),
                    Err(error) => {
                        sent |= matches!(error, CallError::Unknown(_));
                        failure = Failure::new(error.code(), error.to_string());
                    }
                }
            }
            tokio::time::sleep(OWNER_RETRY_DELAY.to_std()).await;
        }
    }
}

fn job_result(job: JobName, code: Code, message: String) -> Result<JobResult, Failure> {
    match code {
        Code::Accepted | Code::AlreadyAccepted | Code::Done => Ok(JobResult {
            code,
            number: code.number(),
            job,
            message,
        }),
        code if message.is_empty() => Err(Failure::from(code)),
        code => Err(Failure::new(code, message)),
    }
}

/// Runs a blocking call to the store outside the threads that serve requests.
async fn run_blocking<T: Send + 'static>(
    call: impl FnOnce() -> Result<T, jobs::ClaimError> + Send + 'static,
) -> Result<T, Failure> {
    match tokio::task::spawn_blocking(call).await {
        Ok(result) => result.map_err(|e| Failure::new(e.code, e.message)),
        Err(error) => Err(Failure::new(Code::Internal, error.to_string())),
    }
}

async fn read_job(data: Data<'_>) -> Result<JobSpec, Failure> {
    let body = body::read(data, MAX_JOB_SIZE).await?;
    serde_json::from_slice(&body)
        .map_err(|error| Failure::new(Code::Malformed, format!("the job is malformed: {error}")))
}

/// Checks a submitted job against the configuration, by the same rules as declared jobs.
fn validate(config: &Config, job: &JobSpec) -> Result<(), Failure> {
    let malformed = |text: String| Err(Failure::new(Code::Malformed, text));
    let name = job.name.as_str();
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        return malformed(format!(
            "`name` must have 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`"
        ));
    }
    if job.tasks == 0 || job.tasks > config.limits.tasks {
        return malformed(format!("`tasks` must be 1 to {}", config.limits.tasks));
    }
    if (job.task.kind == TaskKind::Watcher) != job.task.duration.is_none() {
        return malformed("`duration` must be absent for watchers and present otherwise".into());
    }
    if config.jobs.contains_key(&job.name) {
        let text = format!("the job {name} is declared in the configuration");
        return Err(Failure::new(Code::JobConflict, text));
    }
    if !config.teams.contains_key(&job.team) {
        let text = format!("the team {} is not declared", job.team);
        return Err(Failure::new(Code::UnknownTeam, text));
    }
    for domain in &job.task.domains {
        if !config.domains.contains_key(domain) {
            return malformed(format!("the domain {domain} is not declared"));
        }
    }
    if !job.task.size.fits(&config.limits.task) {
        let text = "the size of a task is above the limit of the deployment";
        return Err(Failure::new(Code::Impossible, text));
    }
    if !config.fits_any_worker(job) {
        let text = "no worker in the permitted domains is large enough for one task";
        return Err(Failure::new(Code::Impossible, text));
    }
    Ok(())
}
