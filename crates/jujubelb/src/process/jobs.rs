//! Claims of job names in the store, which determine the home shard of a job.

use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::model::{Code, JobName, JobSpec, ShardName};
use crate::shard::{home_shard, job_digest};
use crate::store::{Expect, Store, StoreError};

/// Prefix of the store keys of job claims.
const CLAIM_PREFIX: &str = "jobs/";

/// Claim of a job name, stored as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobClaim {
    /// Home shard, whose owner accepts the job.
    pub(crate) shard: ShardName,
    /// Digest of the job specification, as hexadecimal text.
    pub(crate) digest: String,
    /// Whether the configuration declared the job, which is then cancelled once the
    /// configuration no longer declares it.
    pub(crate) declared: bool,
}

/// Why a job has no home shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ClaimError {
    pub(crate) code: Code,
    pub(crate) message: String,
}

impl ClaimError {
    fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }
}

/// Store key of the claim of a job name.
fn claim_key(job: &JobName) -> String {
    format!("{CLAIM_PREFIX}{job}")
}

/// Claims the name of a job if it is free and returns the home shard of the claim,
/// new or existing. A claim has no effect before the owner accepts the job, so a
/// lost reply of the store counts as "not accepted".
pub(crate) fn claim<S: Store>(
    store: &S,
    config: &Config,
    job: &JobSpec,
    declared: bool,
) -> Result<ShardName, ClaimError> {
    let home = home_shard(config, &job.name)
        .ok_or_else(|| ClaimError::new(Code::Impossible, "no workers are declared"))?;
    let new_claim = JobClaim {
        shard: home.clone(),
        digest: blake3::Hash::from_bytes(job_digest(job))
            .to_hex()
            .to_string(),
        declared,
    };
    let value = serde_json::to_vec(&new_claim)
        .map_err(|e| ClaimError::new(Code::Internal, e.to_string()))?;
    let existing = match store.put(&claim_key(&job.name), &value, Expect::Absent, None) {
        Ok(_) => return Ok(new_claim.shard),
        Err(StoreError::Conflict { .. } | StoreError::Unknown(_)) => find(store, &job.name)?,
        Err(error) => return Err(unavailable(&error)),
    };
    match existing {
        Some(claim) if claim.digest == new_claim.digest && claim.declared == declared => {
            Ok(claim.shard)
        }
        Some(_) => Err(ClaimError::new(
            Code::JobConflict,
            format!("the name {} belongs to a job with other content", job.name),
        )),
        None => Err(ClaimError::new(
            Code::StoreUnavailable,
            "the job's name could not be claimed",
        )),
    }
}

/// Reads the claim of a job name; `None` if the name is free.
pub(crate) fn find<S: Store>(store: &S, job: &JobName) -> Result<Option<JobClaim>, ClaimError> {
    let Some(entry) = store.get(&claim_key(job)).map_err(|e| unavailable(&e))? else {
        return Ok(None);
    };
    serde_json::from_slice(&entry.value).map(Some).map_err(|e| {
        let text = format!("the claim of the job's name is damaged: {e}");
        ClaimError::new(Code::Internal, text)
    })
}

fn unavailable(error: &StoreError) -> ClaimError {
    ClaimError::new(Code::StoreUnavailable, error.to_string())
}
