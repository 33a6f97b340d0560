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
use crate::peer::{Call, CallFailure, Reply};
use crate::process::jobs;
use crate::shard::{Cancellation, Submission};

/// Largest submission in bytes.
const LIMIT: Bytes = Bytes(64 << 10);

/// Time for the owner's answer, in all tries together. It outlasts a planned
/// change of the owner.
const PATIENCE: Span = Span::from_millis(5_000);

/// Wait before the owner is looked for again.
const AGAIN: Span = Span::from_millis(200);

/// Longest name of a job.
const NAME: usize = 100;

/// Answer to a submission or cancellation.
#[derive(Debug, Serialize)]
struct JobAnswer {
    code: Code,
    number: u16,
    job: JobName,
    message: String,
}

/// Accepts a job.
#[rocket::post("/v1/jobs", data = "<data>")]
pub(super) async fn submit(entry: &State<Arc<EntryProcess>>, data: Data<'_>) -> Answer {
    let result = entry.submit(data).await;
    let code = result.as_ref().map_or_else(|f| f.code, |a| a.code);
    entry.stats.submitted(code);
    Answer::new(entry, result)
}

/// Cancels a job.
#[rocket::delete("/v1/jobs/<name>")]
pub(super) async fn cancel(entry: &State<Arc<EntryProcess>>, name: &str) -> Answer {
    let result = entry.cancel(name).await;
    Answer::new(entry, result)
}

/// A finished response.
pub(super) struct Answer(Response<'static>);

impl Answer {
    fn new(entry: &EntryProcess, result: Result<JobAnswer, Failure>) -> Self {
        let closing = entry.process.is_draining();
        Self(match result {
            Ok(answer) => response::json(answer.code, &answer, closing),
            Err(failure) => response::failure(failure, closing),
        })
    }
}

impl<'r> rocket::response::Responder<'r, 'static> for Answer {
    fn respond_to(self, _: &'r rocket::Request<'_>) -> rocket::response::Result<'static> {
        Ok(self.0)
    }
}

impl EntryProcess {
    async fn submit(self: &Arc<Self>, data: Data<'_>) -> Result<JobAnswer, Failure> {
        let job = read(data).await?;
        if self.process.is_draining() {
            return Err(Failure::from(Code::Draining));
        }
        let config = self.process.board.config();
        check(&config, &job)?;
        let (process, claimed) = (self.process.clone(), job.clone());
        let shard = blocking(move || jobs::claim(&process.store, &config, &claimed, false)).await?;
        let submission = Submission {
            shard: shard.clone(),
            job: job.clone(),
        };
        let (code, message) = self.ask_owner(&shard, Call::Submit(submission)).await?;
        answer_for(job.name, code, message)
    }

    async fn cancel(self: &Arc<Self>, name: &str) -> Result<JobAnswer, Failure> {
        let job = JobName::from(name);
        let (process, wanted) = (self.process.clone(), job.clone());
        let Some(claim) = blocking(move || jobs::find(&process.store, &wanted)).await? else {
            let text = format!("no job {name:?} is known");
            return Err(Failure::new(Code::NotFound, text));
        };
        let cancel = Cancellation {
            shard: claim.shard.clone(),
            job: job.clone(),
        };
        let (code, message) = self.ask_owner(&claim.shard, Call::Cancel(cancel)).await?;
        answer_for(job, code, message)
    }

    /// Calls the owner of a shard, also if the shard changes hands meanwhile.
    /// The calls are idempotent.
    async fn ask_owner(&self, shard: &ShardName, call: Call) -> Result<(Code, String), Failure> {
        let clock = self.process.clock;
        let end = clock.now() + PATIENCE;
        let mut failure = Failure::new(
            Code::NotOwner,
            format!("no owner of the shard {shard} is known"),
        );
        let mut sent = false;
        loop {
            let left = end.since(clock.now());
            if left == Span::ZERO {
                if sent {
                    failure.code = Code::PeerUnknown;
                }
                return Err(failure);
            }
            if let Some(owner) = self.peers.owner_of(shard) {
                match self.peers.call(&owner, call.clone(), left).await {
                    Ok(Reply::Code(Code::NotOwner, text)) => {
                        failure = Failure::new(Code::NotOwner, text);
                    }
                    Ok(Reply::Code(code, text)) => return Ok((code, text)),
                    Ok(_) => return Err(Failure::from(Code::Internal)),
                    Err(error) => {
                        sent |= matches!(error, CallFailure::Unknown(_));
                        failure = Failure::new(error.code(), error.to_string());
                    }
                }
            }
            tokio::time::sleep(AGAIN.to_std()).await;
        }
    }
}

fn answer_for(job: JobName, code: Code, message: String) -> Result<JobAnswer, Failure> {
    match code {
        Code::Accepted | Code::AlreadyAccepted | Code::Done => Ok(JobAnswer {
            code,
            number: code.number(),
            job,
            message,
        }),
        code if message.is_empty() => Err(Failure::from(code)),
        code => Err(Failure::new(code, message)),
    }
}

/// Runs calls to the store away from the threads that serve requests.
async fn blocking<T: Send + 'static>(
    call: impl FnOnce() -> Result<T, jobs::Unclaimed> + Send + 'static,
) -> Result<T, Failure> {
    match tokio::task::spawn_blocking(call).await {
        Ok(result) => result.map_err(|e| Failure::new(e.code, e.message)),
        Err(error) => Err(Failure::new(Code::Internal, error.to_string())),
    }
}

async fn read(data: Data<'_>) -> Result<JobSpec, Failure> {
    let body = body::read(data, LIMIT).await?;
    serde_json::from_slice(&body)
        .map_err(|error| Failure::new(Code::Malformed, format!("the job is malformed: {error}")))
}

/// Checks a submitted job against the configuration, as declared jobs are checked.
fn check(config: &Config, job: &JobSpec) -> Result<(), Failure> {
    let malformed = |text: String| Err(Failure::new(Code::Malformed, text));
    let name = job.name.as_str();
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > NAME || !name.chars().all(allowed) {
        return malformed(format!(
            "`name` has to have 1 to {NAME} letters, digits, `-`, `_` or `.`"
        ));
    }
    if job.tasks == 0 || job.tasks > config.limits.tasks {
        return malformed(format!("`tasks` has to be 1 to {}", config.limits.tasks));
    }
    if (job.task.kind == TaskKind::Watcher) != job.task.duration.is_none() {
        return malformed("`duration` has to be absent for watchers and present otherwise".into());
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
