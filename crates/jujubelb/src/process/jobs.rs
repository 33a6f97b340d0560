//! Claims of job names in the store, which fix a job's home shard.

use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::model::{Code, JobName, JobSpec, ShardName};
use crate::shard::{home_shard, job_digest};
use crate::store::{Expect, Store, StoreError};

/// Prefix of the keys of job claims.
const PREFIX: &str = "jobs/";

/// Claim of a job's name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobClaim {
    /// Home shard, which accepts the job.
    pub(crate) shard: ShardName,
    /// Digest of the submission, as hexadecimal text.
    pub(crate) digest: String,
    /// Whether the configuration declared the job. It is cancelled when the
    /// configuration no longer does.
    pub(crate) declared: bool,
}

/// Why a job has no home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Unclaimed {
    pub(crate) code: Code,
    pub(crate) message: String,
}

impl Unclaimed {
    fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }
}

/// Key of a job's claim.
fn key(job: &JobName) -> String {
    format!("{PREFIX}{job}")
}

/// Claims the name of a job if it is free, and gives the home shard in every case.
/// A claim without acceptance by the owner has no effect, so a lost answer of
/// the store counts as "not accepted".
pub(crate) fn claim<S: Store>(
    store: &S,
    config: &Config,
    job: &JobSpec,
    declared: bool,
) -> Result<ShardName, Unclaimed> {
    let home = home_shard(config, &job.name)
        .ok_or_else(|| Unclaimed::new(Code::Impossible, "no workers are declared"))?;
    let wanted = JobClaim {
        shard: home.clone(),
        digest: blake3::Hash::from_bytes(job_digest(job))
            .to_hex()
            .to_string(),
        declared,
    };
    let value =
        serde_json::to_vec(&wanted).map_err(|e| Unclaimed::new(Code::Internal, e.to_string()))?;
    let found = match store.put(&key(&job.name), &value, Expect::Absent, None) {
        Ok(_) => return Ok(wanted.shard),
        Err(StoreError::Conflict { .. } | StoreError::Unknown(_)) => find(store, &job.name)?,
        Err(error) => return Err(unavailable(&error)),
    };
    match found {
        Some(claim) if claim.digest == wanted.digest && claim.declared == declared => {
            Ok(claim.shard)
        }
        Some(_) => Err(Unclaimed::new(
            Code::JobConflict,
            format!("the name {} belongs to a job with other content", job.name),
        )),
        None => Err(Unclaimed::new(
            Code::StoreUnavailable,
            "the job's name could not be claimed",
        )),
    }
}

/// The claim of a job's name, if there is one.
pub(crate) fn find<S: Store>(store: &S, job: &JobName) -> Result<Option<JobClaim>, Unclaimed> {
    let Some(entry) = store.get(&key(job)).map_err(|e| unavailable(&e))? else {
        return Ok(None);
    };
    serde_json::from_slice(&entry.value).map(Some).map_err(|e| {
        let text = format!("the claim of the job's name is damaged: {e}");
        Unclaimed::new(Code::Internal, text)
    })
}

fn unavailable(error: &StoreError) -> Unclaimed {
    Unclaimed::new(Code::StoreUnavailable, error.to_string())
}
