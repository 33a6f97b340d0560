//! A worker that obeys the protocol and tells what it really ran.

use indexmap::IndexMap;
use jujubelb::model::{
    Attempt, Checkpoint, Epoch, Incarnation, JobName, Resources, ShardName, Span, TaskId, Time,
    WorkerName, WorkerTime,
};
use jujubelb::worker::{
    Command, Phase, RefusalReason, RefusedCommand, SyncReport, SyncRequest, SyncResponse,
    TaskReport, TaskUsage,
};

/// A start that really happened.
#[derive(Debug, Clone)]
pub struct Started {
    pub worker: WorkerName,
    pub task: TaskId,
    pub attempt: Attempt,
    pub checkpoint: Option<Checkpoint>,
    pub at: Time,
}

/// What the tasks of a job do on any worker.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// What each one uses, which a worker with protection compares with the limit.
    pub used: Option<Resources>,
    /// How long an attempt runs and how it ends then.
    pub end: Option<(Span, Phase)>,
}

/// How long an attempt runs on a worker that fails everything.
const FAILS_AFTER: Span = Span::from_secs(1);

/// Time that a task takes to write its checkpoint and stop.
const STOP_TIME: Span = Span::from_millis(700);

/// The worker. It does not check its capacity, so that the oracle sees what the owner permits.
#[derive(Debug)]
pub struct FakeWorker {
    pub name: WorkerName,
    pub shard: ShardName,
    incarnation: u64,
    /// Start of the clock and its rate in permille of real time.
    clock: (u64, u64),
    obeyed: (Epoch, u64),
    lease: Option<WorkerTime>,
    pub attempts: IndexMap<(TaskId, Attempt), TaskReport>,
    newest: IndexMap<TaskId, Attempt>,
    /// Attempts that were told to stop, when they do, and their phase then.
    stopping: IndexMap<(TaskId, Attempt), (Time, Phase)>,
    version: u64,
    pub leaving: bool,
    /// Whether tasks ignore the wish for a last checkpoint.
    pub hangs: bool,
    /// Whether it does not answer.
    pub cut: bool,
    pub started: Vec<Started>,
    /// Completed attempts that the owner told to forget.
    pub forgotten: Vec<(TaskId, Attempt)>,
    /// Obeys any epoch, to show that the oracle notices.
    pub unfenced: bool,
    /// Whether everything that it starts fails.
    pub fails: bool,
    pub plans: IndexMap<JobName, Plan>,
    /// When each attempt that runs was started.
    began: IndexMap<(TaskId, Attempt), Time>,
}

impl FakeWorker {
    pub fn new(name: &str, shard: &str, clock: (u64, u64)) -> Self {
        Self {
            name: name.into(),
            shard: shard.into(),
            incarnation: 1,
            clock,
            obeyed: (Epoch(0), 0),
            lease: None,
            attempts: IndexMap::new(),
            newest: IndexMap::new(),
            stopping: IndexMap::new(),
            version: 1,
            leaving: false,
            hangs: false,
            cut: false,
            started: Vec::new(),
            forgotten: Vec::new(),
            unfenced: false,
            fails: false,
            plans: IndexMap::new(),
            began: IndexMap::new(),
        }
    }

    fn time(&self, now: Time) -> WorkerTime {
        WorkerTime::from_micros(self.clock.0 + now.as_micros() * self.clock.1 / 1000)
    }

    /// Attempts that run, in order of their start.
    pub fn running(&self) -> impl Iterator<Item = &TaskReport> {
        self.attempts.values().filter(|r| !r.phase.is_ended())
    }

    /// Sum of the limits in force.
    pub fn used(&self) -> Resources {
        self.running().map(|r| r.limit).sum()
    }

    /// Ends what ends by itself or uses more memory than its limit.
    fn follow_plans(&mut self, now: Time) {
        for (key, report) in &mut self.attempts {
            let Some(began) = self.began.get(key).filter(|_| !report.phase.is_ended()) else {
                continue;
            };
            let plan = self.plans.get(&report.task.job);
            let used = plan.and_then(|p| p.used).unwrap_or_default();
            let end = match self.fails {
                true => Some((FAILS_AFTER, Phase::Failed)),
                false => plan.and_then(|p| p.end),
            };
            if used.memory > report.limit.memory {
                report.phase = Phase::OverLimit;
            } else if let Some((span, phase)) = end
                && now.since(*began) >= span
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
            let used = self.plans.get(&report.task.job)?.used?;
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

    /// Stops what was told to stop and everything whose lease has ended.
    pub fn advance(&mut self, now: Time) {
        self.follow_plans(now);
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
        let ended = self.lease.is_some_and(|lease| self.time(now) > lease);
        if !ended {
            return;
        }
        self.lease = None;
        for report in self.attempts.values_mut().filter(|r| !r.phase.is_ended()) {
            report.phase = Phase::Lapsed;
            self.version += 1;
        }
    }

    /// Restarts; all attempts are lost and the clock goes back, so that instants
    /// of the former clock lie far ahead.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.clock.0 /= 2;
        self.stopping.clear();
        self.obeyed = (Epoch(0), 0);
        self.lease = None;
        self.attempts.clear();
        self.began.clear();
        self.newest.clear();
        self.version = 1;
    }

    /// Ends the n-th running attempt.
    pub fn finish(&mut self, n: usize, phase: Phase) -> Option<TaskId> {
        let count = self.running().count();
        let mut running = self.attempts.values_mut().filter(|r| !r.phase.is_ended());
        let report = running.nth(n % count.max(1))?;
        report.phase = phase;
        self.version += 1;
        Some(report.task.clone())
    }

    /// Has the n-th running attempt write a checkpoint.
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

    /// Carries out one exchange.
    pub fn sync(&mut self, now: Time, request: &SyncRequest) -> SyncResponse {
        self.advance(now);
        let newer = (request.epoch, request.seq) > self.obeyed || self.unfenced;
        if request.shard != self.shard || !newer {
            return SyncResponse::Fenced {
                shard: self.shard.clone(),
                epoch: self.obeyed.0,
            };
        }
        self.obeyed = (request.epoch, request.seq);
        let mut refused = Vec::new();
        let mine = request
            .known_inventory
            .is_some_and(|(i, _)| i.0 == self.incarnation);
        if mine {
            self.lease = self.lease.max(request.lease);
            self.advance(now);
            for command in &request.commands {
                refused.extend(self.obey(now, command));
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
            at: self.time(now),
            lease: self.lease,
            version: self.version,
            inventory: (!have).then_some(inventory),
            usage: self.usage(),
            lag: Span::ZERO,
            refused,
            leaving: self.leaving,
        })
    }

    fn obey(&mut self, now: Time, command: &Command) -> Option<RefusedCommand> {
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
                self.began.shift_remove(&key);
                self.version += 1;
                if report.phase == Phase::Succeeded {
                    self.forgotten.push((task.clone(), *attempt));
                }
                None
            }
        }
    }

    fn stop(&mut self, now: Time, task: &TaskId, attempt: Attempt, phase: Phase) {
        if self.hangs && phase == Phase::Evicted {
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
        if self.time(now) > *start_by || self.lease.is_none() {
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
        self.began.insert((task.clone(), *attempt), now);
        self.started.push(Started {
            worker: self.name.clone(),
            task: task.clone(),
            attempt: *attempt,
            checkpoint: checkpoint.clone(),
            at: now,
        });
        None
    }
}
