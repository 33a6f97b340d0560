//! Exchanges with workers: lease, commands, and the reports that come back.

use super::io::{Output, StepDownReason};
use super::link::{LEASE_DURATION, Link, SYNC_EVERY, SYNC_GAP, Taken};
use super::owner::{MAX_EVIDENCE_AGE, Owner};
use super::policy::{Policy, PolicyEvent};
use crate::model::{Attempt, Code, Resources, Span, TaskId, Time, WorkerName, WorkerTime};
use crate::worker::{Command, Phase, SyncReport, SyncRequest, SyncResponse, TaskReport};

/// Time for a task to write its checkpoint and stop, after which it is stopped
/// without one: a task that hangs must not keep a domain from being cleared. To be tuned.
const EVICT_PATIENCE: Span = Span::from_secs(60);

impl<P: Policy> Owner<P> {
    /// Adds links for declared and occupied workers and drops those of no more use.
    pub(super) fn declare_links(&mut self) {
        for link in self.links.values_mut() {
            link.declared = false;
        }
        let config = self.config.clone();
        for (worker, _) in config.workers_of(&self.shard) {
            self.links.entry(worker.clone()).or_default().declared = true;
        }
        let occupied: Vec<_> = self.book.occupied().cloned().collect();
        for worker in occupied {
            self.links.entry(worker).or_default();
        }
        let book = &self.book;
        self.links.retain(|worker, link| {
            link.declared || book.is_occupied(worker) || !link.inventory.is_empty()
        });
    }

    /// Starts all exchanges that are due.
    pub(super) fn exchange(&mut self, now: Time) {
        for index in 0..self.links.len() {
            let Some((worker, link)) = self.links.get_index(index) else {
                return;
            };
            let gap = if link.eager { SYNC_GAP } else { SYNC_EVERY };
            let due = link.sent.is_none_or(|sent| now.since(sent) >= gap);
            if link.busy || !due {
                continue;
            }
            let worker = worker.clone();
            let request = self.request(now, &worker);
            self.out(Output::Sync(worker, request));
        }
    }

    fn request(&mut self, now: Time, worker: &WorkerName) -> SyncRequest {
        let commands = self.commands(now, worker);
        let renews = self.has_authority(now);
        let mut request = SyncRequest {
            shard: self.shard.clone(),
            epoch: self.epoch,
            seq: 0,
            lease: None,
            known_inventory: None,
            commands: Vec::new(),
        };
        let Some(link) = self.links.get_mut(worker) else {
            return request;
        };
        link.seq += 1;
        link.busy = true;
        link.eager = false;
        link.sent = Some(now);
        request.seq = link.seq;
        let Some(seen) = &link.seen else {
            // The first exchange only announces the epoch and asks for the inventory.
            return request;
        };
        request.lease = renews.then_some(seen.at + LEASE_DURATION);
        request.known_inventory = Some((seen.incarnation, seen.version));
        for command in &commands {
            link.note_sent(command);
        }
        request.commands = commands;
        request
    }

    /// Commands for a worker, as the stored state and its last inventory demand.
    fn commands(&mut self, now: Time, worker: &WorkerName) -> Vec<Command> {
        let Some(link) = self.links.get(worker).filter(|link| link.seen.is_some()) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for ((task, attempt), report) in &link.inventory {
            let stored = self.book.stored_limit(task, *attempt, worker);
            let command = match stored {
                Some(_) if report.phase.is_ended() => None,
                Some(limit) => self.command_for_running(now, report, limit),
                // Its completion is not stored yet.
                None if report.phase == Phase::Succeeded
                    && self.book.stored.is_waiting_after(task, *attempt) =>
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
        if self.book.stored.jobs.get(&task.job)?.cancelled {
            return Some(Command::Stop { task, attempt });
        }
        if let Some(eviction) = self.evicting.get(&(task.clone(), attempt)) {
            return Some(match now.since(eviction.since) < EVICT_PATIENCE {
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

    /// Last instant for a start, by the worker's clock; absent if no start is permitted.
    ///
    /// The report was made before it was received, so the validity that remains
    /// at the receipt, added to the report's timestamp, ends no later than the
    /// evidence does. It is shortened for a worker's clock that runs 5 % slow.
    fn start_by(&self, now: Time, worker: &WorkerName) -> Option<WorkerTime> {
        let link = self.links.get(worker)?;
        let seen = link.seen.as_ref()?;
        let reached = link.declared && link.is_reached(now) && !seen.leaving;
        if !reached || !self.is_startable(now) || !self.has_authority(now) {
            return None;
        }
        let valid_until = self.evidence? + MAX_EVIDENCE_AGE;
        let remaining = valid_until.since(seen.received);
        let remaining = Span::from_micros(remaining.as_micros() * 100 / 105);
        (remaining > Span::ZERO).then_some(seen.at + remaining)
    }

    /// Starts of attempts that are stored and were not sent before.
    fn starts(&self, worker: &WorkerName, start_by: WorkerTime) -> Vec<Command> {
        let Some(link) = self.links.get(worker) else {
            return Vec::new();
        };
        let mut free = self.capacity(worker);
        let mut starts = Vec::new();
        for (task, attempt, limit) in self.book.assigned(worker) {
            let key = (task.clone(), attempt);
            let room = link.room(&key, limit);
            let fits = room.fits(&free);
            free = free.saturating_sub(&room);
            let sent = link.starts.contains_key(&key) || link.inventory.contains_key(&key);
            let stored = self.book.stored_limit(task, attempt, worker);
            let Some(limit) = stored.filter(|_| !sent && fits) else {
                continue;
            };
            if self.evicting.contains_key(&key) {
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
        let job = self.book.stored.jobs.get(&task.job)?;
        let planned = self.book.planned.jobs.get(&task.job)?;
        if planned.cancelled || planned.parked.is_some() {
            return None;
        }
        Some(Command::Start {
            task: task.clone(),
            attempt,
            spec: job.spec.task.clone(),
            limit,
            start_by,
            checkpoint: self.book.stored.tasks.get(task)?.checkpoint.clone(),
        })
    }

    /// What tasks may use on a worker; nothing if it is not declared.
    pub(super) fn capacity(&self, worker: &WorkerName) -> Resources {
        let declared = self.config.workers.get(worker);
        declared.map_or(Resources::ZERO, |w| w.capacity.saturating_sub(&w.reserved))
    }

    /// Takes in the answer of an exchange.
    pub(super) fn take_answer(&mut self, now: Time, worker: &WorkerName, answer: SyncResponse) {
        match answer {
            SyncResponse::Report(report) if &report.worker == worker => {
                self.take_report(now, worker, report);
            }
            SyncResponse::Fenced { shard, epoch } if shard == self.shard && epoch > self.epoch => {
                self.step_down(StepDownReason::Fenced(epoch), Code::StoreUnknown);
            }
            _ => self.sync_failed(worker),
        }
    }

    /// Notes that an exchange failed; its commands may have been obeyed.
    pub(super) fn sync_failed(&mut self, worker: &WorkerName) {
        if let Some(link) = self.links.get_mut(worker) {
            link.busy = false;
        }
    }

    fn take_report(&mut self, now: Time, worker: &WorkerName, report: SyncReport) {
        let stopping = self.is_stopping();
        let Some(link) = self.links.get_mut(worker).filter(|l| l.busy) else {
            return;
        };
        link.busy = false;
        let lag = report.lag;
        let usage = report.usage.clone();
        let taken = link.take(now, report);
        if stopping {
            // Only the lease goes on; the next owner acts on the inventory.
            return;
        }
        match taken {
            Taken::Unusable => return,
            Taken::First => link.eager = true,
            Taken::Same => {}
            Taken::Restarted(known) => {
                link.eager = true;
                self.policy
                    .on_event(now, PolicyEvent::WorkerRestarted(worker));
                self.restarted(now, worker, &known);
            }
        }
        if !usage.is_empty() {
            let worker = worker.clone();
            let news = PolicyEvent::UsageReported {
                worker: &worker,
                usage: &usage,
                lag,
            };
            self.policy.on_event(now, news);
        }
        self.reconcile(now, worker);
    }

    /// Lets an exchange follow soon if commands wait.
    pub(super) fn wake(&mut self, worker: &WorkerName) {
        if let Some(link) = self.links.get_mut(worker) {
            link.eager = true;
        }
    }
}

impl Link {
    fn note_sent(&mut self, command: &Command) {
        match command {
            Command::Start {
                task,
                attempt,
                limit,
                ..
            } => {
                let key = (task.clone(), *attempt);
                self.starts.insert(key.clone(), self.seq);
                self.limits.insert(key, *limit);
            }
            Command::Resize {
                task,
                attempt,
                limit,
            } => {
                let known = self.limits.entry((task.clone(), *attempt)).or_default();
                *known = known.max(limit);
            }
            _ => {}
        }
    }
}
