//! A simulated worker that follows the protocol and exposes what it actually ran.

use indexmap::IndexMap;
use jujubelb::model::{
    Attempt, Checkpoint, Epoch, Incarnation, JobName, Resources, ShardName, Span, TaskId, Time,
    WorkerName, WorkerTime,
};
use jujubelb::worker::{
    Command, Phase, RefusalReason, RefusedCommand, SyncReport, SyncRequest, SyncResponse,
    TaskReport, TaskUsage,
};

/// An actual start of an attempt.
#[derive(Debug, Clone)]
pub struct StartEvent {
    pub worker: WorkerName,
    pub task: TaskId,
    pub attempt: Attempt,
    pub checkpoint: Option<Checkpoint>,
    pub at: Time,
}

/// Behaviour of the tasks of a job on any worker.
#[derive(Debug, Clone, Copy)]
pub struct TaskBehaviour {
    /// Usage of each task, which a worker with protection compares with the limit.
    pub used: Option<Resources>,
    /// Run time of an attempt and the phase in which it ends.
    pub end: Option<(Span, Phase)>,
}

/// Run time of an attempt on a worker on which all attempts fail.
const FAILURE_DELAY: Span = Span::from_secs(1);

/// Time for a task to write its checkpoint and stop.
const STOP_TIME: Span = Span::from_millis(700);

/// The worker. It does not check its capacity, so that the oracle sees what the owner permits.
#[derive(Debug)]
pub struct FakeWorker {
    pub name: WorkerName,
    pub shard: ShardName,
    incarnation: u64,
    /// Offset of the clock in microseconds and its rate in permille of real time.
    clock: (u64, u64),
    highest_request: (Epoch, u64),
    lease: Option<WorkerTime>,
    pub attempts: IndexMap<(TaskId, Attempt), TaskReport>,
    newest: IndexMap<TaskId, Attempt>,
    /// Attempts that are to stop, with the time and the phase of their end.
    stopping: IndexMap<(TaskId, Attempt), (Time, Phase)>,
    version: u64,
    pub leaving: bool,
    /// Whether tasks ignore evictions, so that only a stop ends them.
    pub ignores_evictions: bool,
    /// Whether it can't be reached.
    pub unreachable: bool,
    pub started: Vec<StartEvent>,
    /// Succeeded attempts that the owner told the worker to forget.
    pub forgotten: Vec<(TaskId, Attempt)>,
    /// Whether it accepts requests of any epoch, so that the oracle can detect missing fencing.
    pub ignores_fencing: bool,
    /// Whether all its attempts fail.
    pub fails_all: bool,
    pub behaviours: IndexMap<JobName, TaskBehaviour>,
    /// Start time of each attempt.
    started_at: IndexMap<(TaskId, Attempt), Time>,
}

impl FakeWorker {
    pub fn new(name: &str, shard: &str, clock: (u64, u64)) -> Self {
        Self {
            name: name.into(),
            shard: shard.into(),
            incarnation: 1,
            clock,
            highest_request: (Epoch(0), 0),
            lease: None,
            attempts: IndexMap::new(),
            newest: IndexMap::new(),
            stopping: IndexMap::new(),
            version: 1,
            leaving: false,
            ignores_evictions: false,
            unreachable: false,
            started: Vec::new(),
            forgotten: Vec::new(),
            ignores_fencing: false,
            fails_all: false,
            behaviours: IndexMap::new(),
            started_at: IndexMap::new(),
        }
    }

    fn local_time(&self, now: Time) -> WorkerTime {
        WorkerTime::from_micros(self.clock.0 + now.as_micros() * self.clock.1 / 1000)
    }

    /// Running attempts, in order of their start.
    pub fn running(&self) -> impl Iterator<Item = &TaskReport> {
        self.attempts.values().filter(|r| !r.phase.is_ended())
    }

    /// Sum of the limits of running attempts.
    pub fn limits_in_use(&self) -> Resources {
        self.running().map(|r| r.limit).sum()
    }

    /// Ends attempts whose run time is over or that use more memory than their limit.
    fn apply_behaviours(&mut self, now: Time) {
        for (key, report) in &mut self.attempts {
            let Some(started_at) = self
                .started_at
                .get(key)
                .filter(|_| !report.phase.is_ended())
            else {
                continue;
            };
            let behaviour = self.behaviours.get(&report.task.job);
            let used = behaviour.and_then(|p| p.used).unwrap_or_default();
            let end = match self.fails_all {
                true => Some((FAILURE_DELAY, Phase::Failed)),
                false => behaviour.and_then(|p| p.end),
            };
            if used.memory > report.limit.memory {
                report.phase = Phase::OverLimit;
            } else if let Some((span, phase)) = end
                && now.since(*started_at) >= span
            {
                report.phase = phase;
            } else {
                continue;
            }
            self.version += 1;
        }
    }

    fn usage(&self) -> Vec<TaskUsage> {
        let usage = self.running().filter_map(|report| {
            let used = self.behaviours.get(&report.task.job)?.used?;
            let cpu = used.cpu.min(report.limit.cpu);
            Some(TaskUsage {
                task: report.task.clone(),
                attempt: report.attempt,
                used: Resources { cpu, ..used },
                wanted: used.cpu,
            })
        });
        usage.collect()
    }

    /// Ends attempts that are to stop by now, and all attempts if the lease has expired.
    pub fn advance(&mut self, now: Time) {
        self.apply_behaviours(now);
        let due = self.stopping.iter().filter(|(_, (at, _))| *at <= now);
        let due: Vec<_> = due.map(|(key, (_, phase))| (key.clone(), *phase)).collect();
        for (key, phase) in due {
            self.stopping.shift_remove(&key);
            if self.attempts.get(&key).is_some_and(|r| !r.phase.is_ended()) {
                if phase == Phase::Evicted {
                    self.write_checkpoint(&key);
                }
                self.version += 1;
                self.attempts[&key].phase = phase;
            }
        }
        let ended = self.lease.is_some_and(|lease| self.local_time(now) > lease);
        if !ended {
            return;
        }
        self.lease = None;
        for report in self.attempts.values_mut().filter(|r| !r.phase.is_ended()) {
            report.phase = Phase::Lapsed;
            self.version += 1;
        }
    }

    /// Restarts the worker. All attempts are lost, and the clock goes back, so that
    /// times of the previous incarnation are far in the future.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.clock.0 /= 2;
        self.stopping.clear();
        self.highest_request = (Epoch(0), 0);
        self.lease = None;
        self.attempts.clear();
        self.started_at.clear();
        self.newest.clear();
        self.version = 1;
    }

    /// Ends the n-th running attempt in this phase.
    pub fn finish(&mut self, n: usize, phase: Phase) -> Option<TaskId> {
        let count = self.running().count();
        let mut running = self.attempts.values_mut().filter(|r| !r.phase.is_ended());
        let report = running.nth(n % count.max(1))?;
        report.phase = phase;
        self.version += 1;
        Some(report.task.clone())
    }

    /// Writes a checkpoint of the n-th running attempt.
    pub fn checkpoint(&mut self, n: usize) {
        let count = self.running().count();
        let nth = self.running().nth(n % count.max(1));
        let key = nth.map(|r| (r.task.clone(), r.attempt));
        if let Some(key) = key {
            self.write_checkpoint(&key);
        }
    }

    fn write_checkpoint(&mut self, key: &(TaskId, Attempt)) {
        self.version += 1;
        let name = format!(
            "{}@{}#{}/{}",
            key.0, self.name, self.incarnation, self.version
        );
        let report = self.attempts.get_mut(key).unwrap();
        report.checkpoint = Some(Checkpoint(name.into()));
    }

    /// Handles one request of an owner.
    pub fn sync(&mut self, now: Time, request: &SyncRequest) -> SyncResponse {
        self.advance(now);
        let newer = (request.epoch, request.seq) > self.highest_request || self.ignores_fencing;
        if request.shard != self.shard || !newer {
            return SyncResponse::Fenced {
                shard: self.shard.clone(),
                epoch: self.highest_request.0,
            };
        }
        self.highest_request = (request.epoch, request.seq);
        let mut refused = Vec::new();
        let mine = request
            .known_inventory
            .is_some_and(|(i, _)| i.0 == self.incarnation);
        if mine {
            self.lease = self.lease.max(request.lease);
            self.advance(now);
            for command in &request.commands {
                refused.extend(self.execute(now, command));
            }
        }
        self.report(now, request, refused)
    }

    fn report(
        &self,
        now: Time,
        request: &SyncRequest,
        refused: Vec<RefusedCommand>,
    ) -> SyncResponse {
        let have = request.known_inventory == Some((Incarnation(self.incarnation), self.version));
        let inventory = self.attempts.values().cloned().collect();
        SyncResponse::Report(SyncReport {
            worker: self.name.clone(),
            incarnation: Incarnation(self.incarnation),
            at: self.local_time(now),
            lease: self.lease,
            version: self.version,
            inventory: (!have).then_some(inventory),
            usage: self.usage(),
            lag: Span::ZERO,
            refused,
            leaving: self.leaving,
        })
    }

    fn execute(&mut self, now: Time, command: &Command) -> Option<RefusedCommand> {
        match command {
            Command::Start { .. } => self.start(now, command),
            Command::Checkpoint { task, attempt } => {
                let key = (task.clone(), *attempt);
                if self.attempts.get(&key).is_some_and(|r| !r.phase.is_ended()) {
                    self.write_checkpoint(&key);
                }
                None
            }
            Command::Evict { task, attempt } => {
                self.stop(now, task, *attempt, Phase::Evicted);
                None
            }
            Command::Stop { task, attempt } => {
                self.stop(now, task, *attempt, Phase::Stopped);
                None
            }
            Command::Resize {
                task,
                attempt,
                limit,
            } => {
                if let Some(report) = self.attempts.get_mut(&(task.clone(), *attempt)) {
                    report.limit = *limit;
                    self.version += 1;
                }
                None
            }
            Command::Forget { task, attempt } => {
                let key = (task.clone(), *attempt);
                let report = self.attempts.shift_remove(&key)?;
                self.started_at.shift_remove(&key);
                self.version += 1;
                if report.phase == Phase::Succeeded {
                    self.forgotten.push((task.clone(), *attempt));
                }
                None
            }
        }
    }

    fn stop(&mut self, now: Time, task: &TaskId, attempt: Attempt, phase: Phase) {
        if self.ignores_evictions && phase == Phase::Evicted {
            return;
        }
        let key = (task.clone(), attempt);
        self.stopping.entry(key).or_insert((now + STOP_TIME, phase));
    }

    fn start(&mut self, now: Time, command: &Command) -> Option<RefusedCommand> {
        let Command::Start {
            task,
            attempt,
            limit,
            start_by,
            checkpoint,
            ..
        } = command
        else {
            return None;
        };
        let refuse = |reason| {
            Some(RefusedCommand {
                task: task.clone(),
                attempt: *attempt,
                reason,
            })
        };
        if self
            .newest
            .get(task)
            .is_some_and(|newest| newest >= attempt)
        {
            return refuse(RefusalReason::OldAttempt);
        }
        if self.local_time(now) > *start_by || self.lease.is_none() {
            return refuse(RefusalReason::TooLate);
        }
        if self.leaving {
            return refuse(RefusalReason::Leaving);
        }
        self.newest.insert(task.clone(), *attempt);
        self.version += 1;
        let report = TaskReport {
            task: task.clone(),
            attempt: *attempt,
            phase: Phase::Running,
            limit: *limit,
            checkpoint: checkpoint.clone(),
        };
        self.attempts.insert((task.clone(), *attempt), report);
        self.started_at.insert((task.clone(), *attempt), now);
        self.started.push(StartEvent {
            worker: self.name.clone(),
            task: task.clone(),
            attempt: *attempt,
            checkpoint: checkpoint.clone(),
            at: now,
        });
        None
    }
}
