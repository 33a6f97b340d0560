//! Views of a shard for operators and peers.

use serde_json::{Value, json};

use super::io::{ShardSummary, TaskView, TeamUsage};
use super::owner::Owner;
use super::policy::{Policy, ShardView};
use super::state::{Task, TaskState};
use crate::model::{Record, Resources, Span, TaskId, Time};

impl<P: Policy> Owner<P> {
    /// Returns all tasks that have not ended, as planned.
    pub fn tasks(&self) -> Vec<TaskView> {
        let tasks = self.state.planned.tasks.iter();
        tasks
            .filter_map(|(id, task)| self.task_view(id, task))
            .collect()
    }

    fn task_view(&self, id: &TaskId, task: &Task) -> Option<TaskView> {
        let job = self.state.planned.jobs.get(&id.job)?;
        let mut view = TaskView {
            task: id.clone(),
            team: job.spec.team.clone(),
            priority: job.spec.task.priority,
            state: String::new(),
            attempt: task.attempt,
            worker: None,
            limit: Resources::ZERO,
            checkpoint: task.checkpoint.clone(),
        };
        view.state = match &task.state {
            TaskState::Queued if task.checkpoint.is_some() => "checkpointed".into(),
            TaskState::Queued => "queued".into(),
            TaskState::Offered { to } => format!("offered to {to}"),
            TaskState::Parked { cause } => format!("parked: {cause}"),
            TaskState::Assigned { worker, limit, .. } => {
                view.worker = Some(worker.clone());
                view.limit = *limit;
                let key = (id.clone(), task.attempt);
                let tracked = self.workers.get(worker);
                let report = tracked.and_then(|tracked| tracked.inventory.get(&key));
                let stopping = job.cancelled || self.evictions.contains_key(&key);
                match report {
                    _ if stopping => "stopping".into(),
                    Some(report) => report.phase.to_string(),
                    None => "assigned".into(),
                }
            }
        };
        Some(view)
    }

    /// Returns the decision records in effect, oldest first: those of `subject`, as
    /// an operator writes it, or of all subjects, and at most `since` old.
    pub fn records(&self, now: Time, subject: Option<&str>, since: Option<Span>) -> Vec<Record> {
        let newest = self.recorder.wall_time(now);
        let wanted = |record: &&Record| {
            let recent = since.is_none_or(|since| newest.since(record.at) <= since);
            recent && subject.is_none_or(|subject| is_about(record, subject))
        };
        let stored = self.state.stored.records.iter();
        let records = stored.chain(self.commits.unstored_records());
        records.filter(wanted).cloned().collect()
    }

    /// Returns the summary for peers; `None` if the shard is not declared.
    pub fn summary(&self, now: Time) -> Option<ShardSummary> {
        let mut summary = ShardSummary {
            shard: self.shard.clone(),
            domain: self.home_domain()?.clone(),
            owner: self.writer.node.clone(),
            epoch: self.epoch,
            free: Resources::ZERO,
            largest: Resources::ZERO,
            queued: 0,
            running: 0,
        };
        for view in self.worker_views(now).values() {
            if view.usable && !view.quarantined {
                summary.free += view.free;
                summary.largest = summary.largest.max(&view.free);
            }
        }
        for task in self.state.planned.tasks.values() {
            match task.state {
                TaskState::Queued => summary.queued += 1,
                TaskState::Assigned { .. } => summary.running += 1,
                _ => {}
            }
        }
        Some(summary)
    }

    /// Returns the usage of each team's quota, as the policy counts it.
    pub fn team_usage(&self, now: Time) -> Vec<TeamUsage> {
        let workers = self.worker_views(now);
        self.policy.team_usage(&ShardView {
            now,
            shard: &self.shard,
            config: &self.config,
            state: &self.state.planned,
            workers: &workers,
            backoff_until: &self.backoff_until,
            queued_since: &self.queued_since,
            peers: &self.peers,
            can_start: self.is_startable(now),
        })
    }

    /// Returns the state as JSON, with the sizes of all queues.
    pub fn dump(&self, now: Time) -> Value {
        let stored = &self.state.stored;
        let age = self.evidence.map(|began| now.since(began).as_micros());
        json!({
            "shard": self.shard,
            "epoch": self.epoch,
            "next_segment": stored.next_segment,
            "revision": self.config.revision,
            "evidence_age_us": age,
            "startable": self.is_startable(now),
            "renews": self.renews_leases(now),
            "former_owners": self.former_owners(),
            "sizes": {
                "jobs": stored.jobs.len(),
                "tasks": stored.tasks.len(),
                "planned_tasks": self.state.planned.tasks.len(),
                "ended_jobs": stored.ended_jobs.len(),
                "offers_answered": stored.answered_offers.len(),
                "records": stored.records.len(),
                "records_dropped": self.commits.dropped_items,
                "outbox": self.commits.waiting_items(),
                "evicting": self.evictions.len(),
                "backoff": self.backoff_until.len(),
                "queued": self.queued_since.len(),
                "offers_open": self.open_offers.len(),
                "cancellations_to_pass": self.open_cancellations.len(),
                "decisions_refused": self.refused_decisions,
            },
            "quarantined": stored.quarantined,
            "workers": self.dump_workers(now),
            "tasks": self.tasks(),
            "policy": self.policy.dump(),
        })
    }

    fn dump_workers(&self, now: Time) -> Value {
        let worker = |(name, tracked): (&_, &super::tracked_worker::TrackedWorker)| {
            json!({
                "worker": name,
                "declared": tracked.declared,
                "reached": tracked.is_reachable(now),
                "exchange": tracked.seq,
                "outstanding": tracked.in_flight,
                "silent_us": tracked.last_report.as_ref().map(|s| now.since(s.received_at).as_micros()),
                "inventory": tracked.inventory.len(),
                "starts_sent": tracked.sent_starts.len(),
                "committed": self.committed(name),
            })
        };
        self.workers.iter().map(worker).collect()
    }
}

/// Whether a record is about a subject, or names it as its place. Operators write a
/// subject by name or by kind and name.
fn is_about(record: &Record, subject: &str) -> bool {
    let text = record.subject.to_string();
    let name = text.split_once(' ').map_or(text.as_str(), |(_, name)| name);
    text == subject || name == subject || record.place.as_deref() == Some(subject)
}
