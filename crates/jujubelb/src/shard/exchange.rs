//! Exchanges with workers: requests with a lease and commands, and the reports in reply.

use super::io::{Output, StepDownReason};
use super::owner::{MAX_EVIDENCE_AGE, Owner};
use super::policy::{Policy, PolicyEvent};
use super::tracked_worker::{
    LEASE_DURATION, MIN_SYNC_INTERVAL, ReportKind, SYNC_INTERVAL, TrackedWorker,
};
use crate::model::{Attempt, Code, Resources, Span, TaskId, Time, WorkerName, WorkerTime};
use crate::worker::{Command, Phase, SyncReport, SyncRequest, SyncResponse, TaskReport};

/// Time for an evicted task to write its checkpoint and stop. After it the task
/// is stopped without a checkpoint, because a hanging task must not prevent the
/// evacuation of a domain.
const EVICTION_TIMEOUT: Span = Span::from_secs(60);

impl<P: Policy> Owner<P> {
    /// Tracks all declared workers and those with assigned tasks, and removes
    /// workers that are neither and report no attempts.
    pub(super) fn update_workers(&mut self) {
        for tracked in self.workers.values_mut() {
            tracked.declared = false;
        }
        let config = self.config.clone();
        for (worker, _) in config.workers_of(&self.shard) {
            self.workers.entry(worker.clone()).or_default().declared = true;
        }
        let occupied: Vec<_> = self.state.occupied_workers().cloned().collect();
        for worker in occupied {
            self.workers.entry(worker).or_default();
        }
        let state = &self.state;
        self.workers.retain(|worker, tracked| {
            tracked.declared || state.is_occupied(worker) || !tracked.inventory.is_empty()
        });
    }

    /// Sends a request to every worker for which an exchange is due.
    pub(super) fn sync_workers(&mut self, now: Time) {
        for index in 0..self.workers.len() {
            let Some((worker, tracked)) = self.workers.get_index(index) else {
                return;
            };
            let gap = if tracked.sync_soon {
                MIN_SYNC_INTERVAL
            } else {
                SYNC_INTERVAL
            };
            let due = tracked.last_sent.is_none_or(|sent| now.since(sent) >= gap);
            if tracked.in_flight || !due {
                continue;
            }
            let worker = worker.clone();
            let request = self.sync_request(now, &worker);
            self.emit(Output::Sync(worker, request));
        }
    }

    fn sync_request(&mut self, now: Time, worker: &WorkerName) -> SyncRequest {
        let commands = self.commands(now, worker);
        let renews = self.may_renew(now);
        let mut request = SyncRequest {
            shard: self.shard.clone(),
            epoch: self.epoch,
            seq: 0,
            lease: None,
            known_inventory: None,
            commands: Vec::new(),
        };
        let Some(tracked) = self.workers.get_mut(worker) else {
            return request;
        };
        tracked.seq += 1;
        tracked.in_flight = true;
        tracked.sync_soon = false;
        tracked.last_sent = Some(now);
        request.seq = tracked.seq;
        let Some(last) = &tracked.last_report else {
            // The first request only announces the epoch and asks for the inventory.
            return request;
        };
        request.lease = renews.then_some(last.worker_time + LEASE_DURATION);
        request.known_inventory = Some((last.incarnation, last.version));
        for command in &commands {
            tracked.record_sent(command);
        }
        request.commands = commands;
        request
    }

    /// Returns the commands that bring a worker's last inventory in line with the stored state.
    fn commands(&mut self, now: Time, worker: &WorkerName) -> Vec<Command> {
        let Some(tracked) = self
            .workers
            .get(worker)
            .filter(|tracked| tracked.last_report.is_some())
        else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for ((task, attempt), report) in &tracked.inventory {
            let stored = self.state.stored_limit(task, *attempt, worker);
            let command = match stored {
                Some(_) if report.phase.is_ended() => None,
                Some(limit) => self.command_for_running(now, report, limit),
                // Its completion is not stored yet, so the worker has to keep the result.
                None if report.phase == Phase::Succeeded
                    && self.state.stored.is_queued_after(task, *attempt) =>
                {
                    None
                }
                None if report.phase.is_ended() => Some(Command::Forget {
                    task: task.clone(),
                    attempt: *attempt,
                }),
                None => Some(Command::Stop {
                    task: task.clone(),
                    attempt: *attempt,
                }),
            };
            commands.extend(command);
        }
        if let Some(start_by) = self.start_by(now, worker) {
            commands.extend(self.starts(worker, start_by));
        }
        commands
    }

    fn command_for_running(
        &self,
        now: Time,
        report: &TaskReport,
        limit: Resources,
    ) -> Option<Command> {
        let (task, attempt) = (report.task.clone(), report.attempt);
        if self.state.stored.jobs.get(&task.job)?.cancelled {
            return Some(Command::Stop { task, attempt });
        }
        if let Some(eviction) = self.evictions.get(&(task.clone(), attempt)) {
            return Some(match now.since(eviction.since) < EVICTION_TIMEOUT {
                true => Command::Evict { task, attempt },
                false => Command::Stop { task, attempt },
            });
        }
        (report.limit != limit).then_some(Command::Resize {
            task,
            attempt,
            limit,
        })
    }

    /// Returns the latest start time by the worker's clock, or `None` if no start is permitted.
    ///
    /// The worker made the report before the owner received it. The validity that
    /// remained at the receipt, added to the report's timestamp, therefore ends no
    /// later than the evidence does. It is shortened for a worker's clock that
    /// runs 5 % slow.
    fn start_by(&self, now: Time, worker: &WorkerName) -> Option<WorkerTime> {
        let tracked = self.workers.get(worker)?;
        let last = tracked.last_report.as_ref()?;
        let reached = tracked.declared && tracked.is_reachable(now) && !last.leaving;
        if !reached || !self.is_startable(now) || !self.may_renew(now) {
            return None;
        }
        let valid_until = self.evidence? + MAX_EVIDENCE_AGE;
        let remaining = valid_until.since(last.received_at);
        let remaining = Span::from_micros(remaining.as_micros() * 100 / 105);
        (remaining > Span::ZERO).then_some(last.worker_time + remaining)
    }

    /// Returns the starts of stored assignments that were not sent before and fit the capacity.
    fn starts(&self, worker: &WorkerName, start_by: WorkerTime) -> Vec<Command> {
        let Some(tracked) = self.workers.get(worker) else {
            return Vec::new();
        };
        let mut free = self.capacity(worker);
        let mut starts = Vec::new();
        for (task, attempt, limit) in self.state.assigned(worker) {
            let key = (task.clone(), attempt);
            let committed = tracked.committed_limit(&key, limit);
            let fits = committed.fits(&free);
            free = free.saturating_sub(&committed);
            let sent =
                tracked.sent_starts.contains_key(&key) || tracked.inventory.contains_key(&key);
            let stored = self.state.stored_limit(task, attempt, worker);
            let Some(limit) = stored.filter(|_| !sent && fits) else {
                continue;
            };
            if self.evictions.contains_key(&key) {
                continue;
            }
            starts.extend(self.start(task, attempt, limit, start_by));
        }
        starts
    }

    fn start(
        &self,
        task: &TaskId,
        attempt: Attempt,
        limit: Resources,
        start_by: WorkerTime,
    ) -> Option<Command> {
        let job = self.state.stored.jobs.get(&task.job)?;
        let planned = self.state.planned.jobs.get(&task.job)?;
        if planned.cancelled || planned.parked.is_some() {
            return None;
        }
        Some(Command::Start {
            task: task.clone(),
            attempt,
            spec: job.spec.task.clone(),
            limit,
            start_by,
            checkpoint: self.state.stored.tasks.get(task)?.checkpoint.clone(),
        })
    }

    /// Capacity of a worker for tasks; zero if the worker is not declared.
    pub(super) fn capacity(&self, worker: &WorkerName) -> Resources {
        let declared = self.config.workers.get(worker);
        declared.map_or(Resources::ZERO, |w| w.capacity.saturating_sub(&w.reserved))
    }

    /// Handles the reply of an exchange.
    pub(super) fn handle_sync_reply(
        &mut self,
        now: Time,
        worker: &WorkerName,
        reply: SyncResponse,
    ) {
        match reply {
            SyncResponse::Report(report) if &report.worker == worker => {
                self.handle_report(now, worker, report);
            }
            SyncResponse::Fenced { shard, epoch } if shard == self.shard && epoch > self.epoch => {
                self.step_down(StepDownReason::Fenced(epoch), Code::StoreUnknown);
            }
            _ => self.sync_failed(worker),
        }
    }

    /// Ends a failed exchange. The worker may have carried out its commands.
    pub(super) fn sync_failed(&mut self, worker: &WorkerName) {
        if let Some(tracked) = self.workers.get_mut(worker) {
            tracked.in_flight = false;
        }
    }

    fn handle_report(&mut self, now: Time, worker: &WorkerName, report: SyncReport) {
        let stopping = self.is_stopping();
        let Some(tracked) = self.workers.get_mut(worker).filter(|l| l.in_flight) else {
            return;
        };
        tracked.in_flight = false;
        let lag = report.lag;
        let usage = report.usage.clone();
        let kind = tracked.apply_report(now, report);
        if stopping {
            // Only the lease is renewed; the next owner acts on the inventory.
            return;
        }
        match kind {
            ReportKind::Unusable => return,
            ReportKind::First => tracked.sync_soon = true,
            ReportKind::Same => {}
            ReportKind::Restarted(previous) => {
                tracked.sync_soon = true;
                self.policy
                    .on_event(now, PolicyEvent::WorkerRestarted(worker));
                self.handle_restart(now, worker, &previous);
            }
        }
        if !usage.is_empty() {
            let worker = worker.clone();
            let event = PolicyEvent::UsageReported {
                worker: &worker,
                usage: &usage,
                lag,
            };
            self.policy.on_event(now, event);
        }
        self.reconcile(now, worker);
    }

    /// Requests an early exchange with a worker, because commands may wait for it.
    pub(super) fn request_sync(&mut self, worker: &WorkerName) {
        if let Some(tracked) = self.workers.get_mut(worker) {
            tracked.sync_soon = true;
        }
    }
}

impl TrackedWorker {
    fn record_sent(&mut self, command: &Command) {
        match command {
            Command::Start {
                task,
                attempt,
                limit,
                ..
            } => {
                let key = (task.clone(), *attempt);
                self.sent_starts.insert(key.clone(), self.seq);
                self.sent_limits.insert(key, *limit);
            }
            Command::Resize {
                task,
                attempt,
                limit,
            } => {
                let largest = self
                    .sent_limits
                    .entry((task.clone(), *attempt))
                    .or_default();
                *largest = largest.max(limit);
            }
            _ => {}
        }
    }
}
