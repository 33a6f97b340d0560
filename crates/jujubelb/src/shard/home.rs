//! Choice of the shard that accepts a job.

use crate::config::Config;
use crate::model::{JobName, ShardName};

/// Proposes the home shard of a new job by rendezvous hashing: the shard with
/// the highest hash of job and shard among the shards of domains in service, or
/// among all shards if no domain is in service.
///
/// The result changes with the set of shards, so it is only a proposal. The
/// process writes it to `jobs/<job>` with create-if-absent, and the value found
/// there is authoritative, for submitted and for declared jobs alike. Declared
/// jobs therefore reach an owner through `Input::Submit` too, and no change of
/// the set of shards can make a second shard accept a job.
///
/// The process repeats the submission of each declared job until it is
/// answered; a repeat with unchanged content is recognised by the digest. A
/// declaration that changed under the same name is answered with a conflict. To
/// cancel the jobs whose declarations were removed, also those removed while no
/// process was running, the process compares the claims that are marked as
/// declared with the active configuration and passes `Input::Cancel` to the
/// home shards that the claims name.
pub fn home_shard<'a>(config: &'a Config, job: &JobName) -> Option<&'a ShardName> {
    let weight = |shard: &ShardName| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(job.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(shard.as_str().as_bytes());
        *hasher.finalize().as_bytes()
    };
    let serving = |name: &&ShardName| {
        let shard = config.shards.get(*name);
        shard.is_some_and(|shard| config.in_service(&shard.domain))
    };
    let best = config
        .shards
        .keys()
        .filter(serving)
        .max_by_key(|n| weight(n));
    best.or_else(|| config.shards.keys().max_by_key(|n| weight(n)))
}
