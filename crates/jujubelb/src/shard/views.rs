//! What operators and peers see of a shard.

use serde_json::{Value, json};

use super::io::{ShardSummary, TaskView, TeamUsage};
use super::owner::Owner;
use super::policy::{Policy, ShardView};
use super::state::{Task, TaskState};
use crate::model::{Record, Resources, Span, TaskId, Time};

impl<P: Policy> Owner<P> {
    /// All tasks that have not ended, as planned.
    pub fn tasks(&self) -> Vec<TaskView> {
        let tasks = self.book.planned.tasks.iter();
        tasks
            .filter_map(|(id, task)| self.task_view(id, task))
            .collect()
    }

    fn task_view(&self, id: &TaskId, task: &Task) -> Option<TaskView> {
        let job = self.book.planned.jobs.get(&id.job)?;
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
                let link = self.links.get(worker);
                let report = link.and_then(|link| link.inventory.get(&key));
                let stopping = job.cancelled || self.evicting.contains_key(&key);
                match report {
                    _ if stopping => "stopping".into(),
                    Some(report) => report.phase.to_string(),
                    None => "assigned".into(),
                }
            }
        };
        Some(view)
    }

    /// Decision records in effect, oldest first: of one subject, as an operator
    /// writes it, or of all, and at most `since` old.
    pub fn records(&self, now: Time, subject: Option<&str>, since: Option<Span>) -> Vec<Record> {
        let newest = self.recorder.wall(now);
        let wanted = |record: &&Record| {
            let recent = since.is_none_or(|since| newest.since(record.at) <= since);
            recent && subject.is_none_or(|subject| is_about(record, subject))
        };
        let stored = self.book.stored.records.iter();
        let records = stored.chain(self.outbox.unstored());
        records.filter(wanted).cloned().collect()
    }

    /// What peers are told about the shard.
    pub fn summary(&self, now: Time) -> Option<ShardSummary> {
        let mut summary = ShardSummary {
            shard: self.shard.clone(),
            domain: self.home()?.clone(),
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
        for task in self.book.planned.tasks.values() {
            match task.state {
                TaskState::Queued => summary.queued += 1,
                TaskState::Assigned { .. } => summary.running += 1,
                _ => {}
            }
        }
        Some(summary)
    }

    /// Use of each team's quota, as the policy counts it.
    pub fn team_usage(&self, now: Time) -> Vec<TeamUsage> {
        let workers = self.worker_views(now);
        self.policy.team_usage(&ShardView {
            now,
            shard: &self.shard,
            config: &self.config,
            state: &self.book.planned,
            workers: &workers,
            backoff_until: &self.backoff,
            queued_since: &self.queued,
            peers: &self.peers,
            can_start: self.is_startable(now),
        })
    }

    /// The state as JSON, with the sizes of all queues.
    pub fn dump(&self, now: Time) -> Value {
        let stored = &self.book.stored;
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
                "planned_tasks": self.book.planned.tasks.len(),
                "ended_jobs": stored.ended_jobs.len(),
                "offers_answered": stored.answered_offers.len(),
                "records": stored.records.len(),
                "records_dropped": self.outbox.dropped,
                "outbox": self.outbox.waiting(),
                "evicting": self.evicting.len(),
                "backoff": self.backoff.len(),
                "queued": self.queued.len(),
                "offers_open": self.offers.len(),
                "cancellations_to_pass": self.passes.len(),
                "decisions_refused": self.refused,
            },
            "quarantined": stored.quarantined,
            "workers": self.dump_workers(now),
            "tasks": self.tasks(),
            "policy": self.policy.dump(),
        })
    }

    fn dump_workers(&self, now: Time) -> Value {
        let worker = |(name, link): (&_, &super::link::Link)| {
            json!({
                "worker": name,
                "declared": link.declared,
                "reached": link.is_reached(now),
                "exchange": link.seq,
                "outstanding": link.busy,
                "silent_us": link.seen.as_ref().map(|s| now.since(s.received).as_micros()),
                "inventory": link.inventory.len(),
                "starts_sent": link.starts.len(),
                "committed": self.committed(name),
            })
        };
        self.links.iter().map(worker).collect()
    }
}

/// Whether a record is about a subject as an operator writes it: by name, or by kind and name.
fn is_about(record: &Record, subject: &str) -> bool {
    let text = record.subject.to_string();
    let name = text.split_once(' ').map_or(text.as_str(), |(_, name)| name);
    text == subject || name == subject || record.place.as_deref() == Some(subject)
}
