//! Gives up runs whose lease has expired, and inherited tasks' wait for earlier leaders.

use super::Dispatcher;
use super::worker::{RunPhase, TrackedRun, Worker};
use crate::model::{Span, Time, WorkerName};

/// Allowance for the network delay of an earlier leader's last poll.
const LEASE_MARGIN: Span = Span::from_millis(300);

/// Longest time by this host's clock for which a lease lasts on a worker, whose clock may be
/// 2 % slow.
fn longest_duration(lease: Span) -> Span {
    lease.scale_up(103, 100) + LEASE_MARGIN
}

impl Dispatcher {
    /// Gives up the runs of workers whose lease has certainly expired, and removes workers
    /// that are no longer needed.
    pub(super) fn expire_leases(&mut self, now: Time) {
        let longest_lease = longest_duration(self.lease_cap);
        let mut lost = Vec::new();
        for (name, worker) in &self.workers {
            if !worker.runs.is_empty() && worker.is_lease_expired(now) {
                let has_ended = |r: &TrackedRun| match r.phase {
                    RunPhase::Starting => false,
                    RunPhase::Running if worker.is_admitted() => true,
                    // Outdated calls may still extend its lease.
                    RunPhase::Running | RunPhase::Unsure => {
                        worker.is_start_ruled_out(r, self.listed_until, longest_lease, now)
                    }
                };
                let expired = worker.runs.iter().filter(|(_, r)| has_ended(r));
                let known = lost.len();
                lost.extend(expired.map(|(t, r)| (name.clone(), *t, r.run)));
                if lost.len() > known {
                    log::warn!(worker:% = name, runs = lost.len() - known, age:% = now.since(worker.last_answer), lease:% = worker.longest_lease_left(); "the lease of a worker has expired");
                }
            }
        }
        for (name, task, run) in lost {
            self.count_loss(&name, task, run);
            self.run_lost(&name, task, run, "the worker's lease has expired", now);
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.update_load();
            }
        }
        let removed: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, w)| w.can_be_forgotten(self.inherited_resolved))
            .map(|(n, _)| n.clone())
            .collect();
        for name in removed {
            log::info!(worker:% = name; "worker removed: not listed and without runs");
            self.workers.shift_remove(&name);
            self.membership += 1;
            self.roster_dirty = true;
        }
    }

    /// Allows inherited tasks to start once every roster worker has listed all its runs and ends to
    /// this leader, or can't be reached and the longest lease that it may have been granted until
    /// the earlier leaders stopped has expired.
    pub(super) fn resolve_inherited(&mut self, now: Time) {
        if self.inherited_resolved {
            return;
        }
        // A call to a worker's former incarnation may have granted more than leaders ask for.
        let lease = longest_duration(self.lease_cap);
        let unknown = self.workers.values().filter(|w| w.may_hide_runs());
        // A worker that answers will list the rest.
        let is_answering = |w: &&Worker| w.fenced && w.reachable;
        let partly_listed = unknown.clone().filter(is_answering).count();
        let unreachable = unknown.count() - partly_listed;
        let leases_expired = self.earlier.quiet_for(now).is_some_and(|t| t > lease);
        if partly_listed == 0 && (unreachable == 0 || leases_expired) {
            self.earlier.clear();
            log::info!(waited:% = now.since(self.began), lease:% = lease, suspects = unreachable; "tasks inherited from earlier terms may start");
            self.inherited_resolved = true;
            for job in self.jobs.values_mut() {
                job.inherited = false;
                for step in job.occurrences.iter_mut().flat_map(|o| &mut o.steps) {
                    for task in &mut step.tasks {
                        task.inherited = false;
                        if !task.crashes.is_empty() {
                            // The wait for a worker apart from others begins when the task
                            // may start.
                            task.since = now;
                        }
                    }
                }
            }
        }
    }
}
