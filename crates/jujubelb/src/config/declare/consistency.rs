//! Checks that need the complete set of files.

use indexmap::{IndexMap, IndexSet};

use super::builder::{ConfigBuilder, Kind};
use super::problem::Position;
use crate::config::{Config, Shard};
use crate::model::{JobSpec, Resources, ShardName, TaskKind, TeamName};

/// Maximum number of workers of one shard: 13 racks of 8 (design section 6).
pub const MAX_SHARD_WORKERS: usize = 104;

/// Runs all checks, applies the operations file and derives the shards.
pub(super) fn check(builder: &mut ConfigBuilder) {
    builder.check_references();
    let operations = std::mem::take(&mut builder.operations);
    operations.apply_to(&mut builder.config);
    derive_shards(builder);
    check_endpoints(builder);
    check_jobs(builder);
    check_watchers(builder);
}

/// Derives the shards from the racks and reports shards that span several domains.
fn derive_shards(builder: &mut ConfigBuilder) {
    let mut shards: IndexMap<ShardName, Shard> = IndexMap::new();
    let mut split = Vec::new();
    for (name, rack) in &builder.config.racks {
        let shard = shards.entry(rack.shard.clone()).or_insert_with(|| Shard {
            domain: rack.domain.clone(),
            racks: IndexSet::new(),
        });
        if shard.domain != rack.domain {
            split.push((name.clone(), rack.clone(), shard.domain.clone()));
        }
        shard.racks.insert(name.clone());
    }
    for (name, rack, other) in split {
        let message = format!(
            "rack {name} of shard {} is in domain {}, but other racks of the shard are in {other}",
            rack.shard, rack.domain
        );
        let remedy = "use a separate shard for the racks of each domain";
        report_at(builder, Kind::Rack, name.as_str(), message, remedy);
    }
    builder.config.shards = shards;
    check_shard_sizes(builder);
}

fn check_shard_sizes(builder: &mut ConfigBuilder) {
    let mut sizes: IndexMap<ShardName, usize> = IndexMap::new();
    for worker in builder.config.workers.keys() {
        if let Some(shard) = builder.config.shard_of(worker) {
            *sizes.entry(shard.clone()).or_default() += 1;
        }
    }
    for (shard, size) in sizes.into_iter().filter(|(_, s)| *s > MAX_SHARD_WORKERS) {
        let Some(rack) = builder.config.shards[&shard].racks.last().cloned() else {
            continue;
        };
        let message = format!(
            "shard {shard} has {size} workers, more than the maximum of {MAX_SHARD_WORKERS}"
        );
        let remedy = "assign some of its racks to another shard";
        report_at(builder, Kind::Rack, rack.as_str(), message, remedy);
    }
}

/// Reports endpoints whose worker is in another domain.
fn check_endpoints(builder: &mut ConfigBuilder) {
    let config = &builder.config;
    let wrong: Vec<_> = config
        .services
        .values()
        .flat_map(|s| &s.endpoints)
        .filter_map(|(name, endpoint)| {
            let worker = endpoint.worker.as_ref()?;
            let domain = config.domain_of(worker)?;
            (*domain != endpoint.domain).then(|| (name.clone(), worker.clone(), domain.clone()))
        })
        .collect();
    for (name, worker, domain) in wrong {
        let message =
            format!("endpoint {name} runs on worker {worker}, which is in domain {domain}");
        let remedy = "correct the `domain` or the `worker` of the endpoint";
        report_at(builder, Kind::Endpoint, name.as_str(), message, remedy);
    }
}

fn check_jobs(builder: &mut ConfigBuilder) {
    let mut found = Vec::new();
    for job in builder.config.jobs.values() {
        found.extend(job_errors(&builder.config, job).map(|(m, r)| (job.name.clone(), m, r)));
    }
    for (name, message, remedy) in found {
        report_at(builder, Kind::Job, name.as_str(), message, remedy);
    }
}

/// Returns the reasons why a job can never run in this deployment, each with a remedy.
fn job_errors<'a>(
    config: &'a Config,
    job: &'a JobSpec,
) -> impl Iterator<Item = (String, &'static str)> + use<> {
    let size = job.task.size;
    let name = &job.name;
    let mut errors = Vec::new();
    if !size.fits(&config.limits.task) {
        let limit = describe(&config.limits.task);
        let message = format!(
            "a task of {name} needs {}, more than the limit of {limit}",
            describe(&size)
        );
        errors.push((message, "reduce its size or raise `limits.task`"));
    }
    if job.tasks > config.limits.tasks {
        let (tasks, max) = (job.tasks, config.limits.tasks);
        let message = format!("{name} has {tasks} tasks, more than the limit of {max}");
        errors.push((message, "split the job or raise `limits.tasks`"));
    }
    if !config.fits_any_worker(job) {
        let message = format!(
            "no worker in the permitted domains is large enough for a task of {name} ({})",
            describe(&size)
        );
        errors.push((
            message,
            "reduce its size, or allow domains with larger workers",
        ));
    }
    if let Some(team) = config.teams.get(&job.team)
        && !size.fits(&team.quota)
    {
        let quota = describe(&team.quota);
        let message = format!(
            "a task of {name} needs {}, more than the quota of team {} ({quota})",
            describe(&size),
            job.team
        );
        errors.push((message, "reduce its size or raise the quota"));
    }
    errors.into_iter()
}

/// Reports teams whose watchers exceed the quota. All watchers of a team run at the
/// same time, so their total counts.
fn check_watchers(builder: &mut ConfigBuilder) {
    let mut sums: IndexMap<TeamName, Resources> = IndexMap::new();
    let is_watcher = |j: &&JobSpec| j.task.kind == TaskKind::Watcher;
    for job in builder.config.jobs.values().filter(is_watcher) {
        let sum = sums.entry(job.team.clone()).or_default();
        *sum = add(sum, &multiply(&job.task.size, job.tasks));
    }
    for (team, sum) in sums {
        let Some(quota) = builder.config.teams.get(&team).map(|t| t.quota) else {
            continue;
        };
        if !sum.fits(&quota) {
            let message = format!(
                "the watchers of team {team} need {} in total, more than its quota of {}",
                describe(&sum),
                describe(&quota)
            );
            let remedy = "raise the quota or reduce the watchers";
            report_at(builder, Kind::Team, team.as_str(), message, remedy);
        }
    }
}

/// Adds resources, saturating: declared amounts have no useful upper bound.
fn add(a: &Resources, b: &Resources) -> Resources {
    Resources::new(
        a.cpu.0.saturating_add(b.cpu.0),
        a.memory.0.saturating_add(b.memory.0),
        a.accelerators.saturating_add(b.accelerators),
    )
}

/// Multiplies resources by a number of tasks, saturating.
fn multiply(size: &Resources, n: u32) -> Resources {
    Resources::new(
        size.cpu.0.saturating_mul(n.into()),
        size.memory.0.saturating_mul(n.into()),
        size.accelerators.saturating_mul(n),
    )
}

/// Reports an error at the declaration of the named item.
fn report_at(builder: &mut ConfigBuilder, kind: Kind, name: &str, message: String, remedy: &str) {
    let at = builder.position_of(kind, name).unwrap_or(Position {
        file: 0,
        line: 1,
        column: 1,
    });
    builder.problems.push(at, message, remedy);
}

fn describe(size: &Resources) -> String {
    crate::config::format::resources(size)
}
