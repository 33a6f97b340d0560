//! Baseline policy: the first worker with enough free capacity for the declared size.

use indexmap::IndexMap;

use super::policy::{Choice, Decision, Policy, PolicyEvent, ShardView};
use super::state::Task;
use crate::model::{
    Cause, DomainName, Fact, JobSpec, Priority, Resources, ShardName, TaskId, Time, Unit,
    WorkerName,
};

/// Assigns urgent tasks first and then all others, both in order of arrival, to
/// the first worker with enough free capacity for the declared size. Tasks that
/// may not run in the shard's domain at present are handed off to the shard with
/// the most free memory that may run them.
#[derive(Debug, Default)]
pub struct FirstFit;

impl Policy for FirstFit {
    fn choose(&mut self, view: &ShardView<'_>) -> Vec<Decision> {
        let mut free: IndexMap<&WorkerName, Resources> = view
            .workers
            .iter()
            .filter(|(_, worker)| worker.usable && !worker.quarantined)
            .map(|(name, worker)| (name, worker.free))
            .collect();
        let mut queue: Vec<_> = view.state.queued_tasks().collect();
        queue.sort_by_key(|(_, _, job)| job.task.priority != Priority::Urgent);
        queue
            .into_iter()
            .filter(|(id, _, _)| {
                view.backoff_until
                    .get(*id)
                    .is_none_or(|until| *until <= view.now)
            })
            .filter_map(|entry| place(view, &mut free, entry))
            .collect()
    }

    fn on_event(&mut self, _now: Time, _event: PolicyEvent<'_>) {}
}

fn place(
    view: &ShardView<'_>,
    free: &mut IndexMap<&WorkerName, Resources>,
    (id, _, job): (&TaskId, &Task, &JobSpec),
) -> Option<Decision> {
    let size = job.task.size;
    let home = view.config.shards.get(view.shard).map(|s| &s.domain);
    let permitted = home.is_some_and(|d| permits(job, d) && view.config.in_service(d));
    if !permitted {
        return hand_off(view, id, job);
    }
    if !view.can_start {
        return None;
    }
    let (worker, available) = free
        .iter_mut()
        .find(|(_, available)| size.fits(available))?;
    let facts = vec![
        Fact::new("free-memory", signed(available.memory.0), Unit::Bytes),
        Fact::new("size-memory", signed(size.memory.0), Unit::Bytes),
        Fact::new("free-cpu", signed(available.cpu.0), Unit::Millicores),
        Fact::new("size-cpu", signed(size.cpu.0), Unit::Millicores),
    ];
    *available = available.saturating_sub(&size);
    Some(Decision {
        choice: Choice::Assign {
            task: id.clone(),
            worker: (*worker).clone(),
            limit: size,
        },
        cause: Cause::Scheduled,
        facts,
        parent: None,
    })
}

fn hand_off(view: &ShardView<'_>, id: &TaskId, job: &JobSpec) -> Option<Decision> {
    let target = view
        .peers
        .iter()
        .filter(|peer| &peer.shard != view.shard && view.config.in_service(&peer.domain))
        .filter(|peer| permits(job, &peer.domain) && job.task.size.fits(&peer.largest))
        .max_by_key(|peer| peer.free.memory)?;
    Some(Decision {
        choice: Choice::HandOff {
            task: id.clone(),
            to: ShardName::clone(&target.shard),
        },
        cause: Cause::RoomElsewhere,
        facts: vec![Fact::new(
            "free-memory",
            signed(target.free.memory.0),
            Unit::Bytes,
        )],
        parent: None,
    })
}

fn permits(job: &JobSpec, domain: &DomainName) -> bool {
    job.task.domains.is_empty() || job.task.domains.contains(domain)
}

fn signed(n: u64) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}
