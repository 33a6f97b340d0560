//! Checks that need the whole set of files.

use indexmap::{IndexMap, IndexSet};

use super::draft::{Draft, Kind};
use super::problem::At;
use crate::config::{Config, Shard};
use crate::model::{JobSpec, Resources, ShardName, TaskKind, TeamName};

/// Most workers of one shard: 13 racks of 8 (design section 6).
pub const MAX_SHARD_WORKERS: usize = 104;

/// Runs all checks and derives the shards.
pub(super) fn check(draft: &mut Draft) {
    draft.check_references();
    let operations = std::mem::take(&mut draft.operations);
    operations.impose(&mut draft.config);
    shards(draft);
    endpoints(draft);
    jobs(draft);
    watchers(draft);
}

/// Derives the shards from the racks.
fn shards(draft: &mut Draft) {
    let mut shards: IndexMap<ShardName, Shard> = IndexMap::new();
    let mut split = Vec::new();
    for (name, rack) in &draft.config.racks {
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
            "rack {name} of shard {} stands in {}, but other racks of the shard stand in {other}",
            rack.shard, rack.domain
        );
        let remedy = "give the racks of each domain a shard of their own";
        push(draft, Kind::Rack, name.as_str(), message, remedy);
    }
    draft.config.shards = shards;
    shard_sizes(draft);
}

fn shard_sizes(draft: &mut Draft) {
    let mut sizes: IndexMap<ShardName, usize> = IndexMap::new();
    for worker in draft.config.workers.keys() {
        if let Some(shard) = draft.config.shard_of(worker) {
            *sizes.entry(shard.clone()).or_default() += 1;
        }
    }
    for (shard, size) in sizes.into_iter().filter(|(_, s)| *s > MAX_SHARD_WORKERS) {
        let Some(rack) = draft.config.shards[&shard].racks.last().cloned() else {
            continue;
        };
        let message = format!("shard {shard} has {size} workers, more than {MAX_SHARD_WORKERS}");
        let remedy = "declare its last racks with a further shard";
        push(draft, Kind::Rack, rack.as_str(), message, remedy);
    }
}

/// An endpoint runs on a worker of its own domain.
fn endpoints(draft: &mut Draft) {
    let config = &draft.config;
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
        let message = format!("endpoint {name} runs on worker {worker}, which stands in {domain}");
        let remedy = "correct the `domain` or the `worker` of the endpoint";
        push(draft, Kind::Endpoint, name.as_str(), message, remedy);
    }
}

fn jobs(draft: &mut Draft) {
    let mut found = Vec::new();
    for job in draft.config.jobs.values() {
        found.extend(job_errors(&draft.config, job).map(|(m, r)| (job.name.clone(), m, r)));
    }
    for (name, message, remedy) in found {
        push(draft, Kind::Job, name.as_str(), message, remedy);
    }
}

/// Why a job can never run in this deployment, with what to do.
fn job_errors<'a>(
    config: &'a Config,
    job: &'a JobSpec,
) -> impl Iterator<Item = (String, &'static str)> + use<> {
    let size = job.task.size;
    let name = &job.name;
    let mut errors = Vec::new();
    if !size.fits(&config.limits.task) {
        let limit = show(&config.limits.task);
        let message = format!(
            "a task of {name} needs {}, above the limit {limit}",
            show(&size)
        );
        errors.push((message, "reduce its size or raise `limits.task`"));
    }
    if job.tasks > config.limits.tasks {
        let (tasks, most) = (job.tasks, config.limits.tasks);
        let message = format!("{name} has {tasks} tasks, above the limit of {most}");
        errors.push((message, "split the job or raise `limits.tasks`"));
    }
    if !config.fits_any_worker(job) {
        let message = format!("no worker can ever hold a task of {name} ({})", show(&size));
        errors.push((
            message,
            "reduce its size, or allow domains with larger workers",
        ));
    }
    if let Some(team) = config.teams.get(&job.team)
        && !size.fits(&team.quota)
    {
        let quota = show(&team.quota);
        let message = format!(
            "a task of {name} needs {}, above the quota {quota} of team {}",
            show(&size),
            job.team
        );
        errors.push((message, "reduce its size or raise the quota"));
    }
    errors.into_iter()
}

/// All watchers of a team run at the same time, so their sum has to be within the quota.
fn watchers(draft: &mut Draft) {
    let mut sums: IndexMap<TeamName, Resources> = IndexMap::new();
    let standing = |j: &&JobSpec| j.task.kind == TaskKind::Watcher;
    for job in draft.config.jobs.values().filter(standing) {
        let sum = sums.entry(job.team.clone()).or_default();
        *sum = add(sum, &times(&job.task.size, job.tasks));
    }
    for (team, sum) in sums {
        let Some(quota) = draft.config.teams.get(&team).map(|t| t.quota) else {
            continue;
        };
        if !sum.fits(&quota) {
            let message = format!(
                "the watchers of team {team} need {} together, above its quota {}",
                show(&sum),
                show(&quota)
            );
            let remedy = "raise the quota or reduce the watchers";
            push(draft, Kind::Team, team.as_str(), message, remedy);
        }
    }
}

/// The sum, at most the largest number: declared amounts may be absurd.
fn add(a: &Resources, b: &Resources) -> Resources {
    Resources::new(
        a.cpu.0.saturating_add(b.cpu.0),
        a.memory.0.saturating_add(b.memory.0),
        a.accelerators.saturating_add(b.accelerators),
    )
}

fn times(size: &Resources, n: u32) -> Resources {
    Resources::new(
        size.cpu.0.saturating_mul(n.into()),
        size.memory.0.saturating_mul(n.into()),
        size.accelerators.saturating_mul(n),
    )
}

fn push(draft: &mut Draft, kind: Kind, name: &str, message: String, remedy: &str) {
    let at = draft.at(kind, name).unwrap_or(At {
        file: 0,
        line: 1,
        column: 1,
    });
    draft.problems.push(at, message, remedy);
}

/// An amount of resources for people.
fn show(size: &Resources) -> String {
    crate::config::format::resources(size)
}
