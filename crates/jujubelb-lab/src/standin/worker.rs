//! Stand-in worker: runs tasks under a lease, reports usage with a lag, checkpoints, throttles and stops.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arcstr::ArcStr;
use indexmap::IndexMap;
use jujubelb::model::{
    Attempt, Checkpoint, DomainName, Epoch, Incarnation, Resources, ShardName, Span, TaskId,
    TaskSpec, Time, WorkerName, WorkerTime,
};
use jujubelb::worker::{
    Command, Phase, RefusalReason, RefusedCommand, SyncReport, SyncRequest, SyncResponse,
    TaskReport, TaskUsage,
};

use super::behaviour::Behaviours;
use super::ledger::{AttemptOutcome, Ledger};

/// Age of usage measurements when they are reported.
pub const USAGE_LAG: Span = Span::from_secs(2);

/// An attempt that is running, or that ended and is not forgotten yet.
#[derive(Debug)]
struct TrackedRun {
    attempt: Attempt,
    spec: TaskSpec,
    limit: Resources,
    phase: Phase,
    /// Progress when the attempt started or its speed last changed.
    progress: Span,
    /// Instant of `progress`.
    since: WorkerTime,
    checkpoint: Option<Checkpoint>,
    /// Whether a response has reported its outcome.
    reported: bool,
}

/// Fixed properties of a worker.
#[derive(Debug, Clone)]
pub struct Facts {
    /// The worker's name in the declarations.
    pub name: WorkerName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Capacity for tasks: the host's capacity without what is reserved for its endpoints.
    pub capacity: Resources,
    /// Whether every attempt fails here.
    pub broken: bool,
    /// How far the worker's clock is ahead of the clock of the process.
    pub offset: Span,
}

/// State of one stand-in worker.
#[derive(Debug)]
pub struct WorkerState {
    facts: Facts,
    incarnation: Incarnation,
    /// Shard, epoch and sequence number of the last accepted request.
    last_request: Option<(ShardName, Epoch, u64)>,
    /// Latest attempt of each task that is not forgotten yet.
    runs: IndexMap<TaskId, TrackedRun>,
    /// Highest attempt that ever started here, per task; older ones are refused.
    last_attempts: IndexMap<TaskId, Attempt>,
    version: u64,
    lease: Option<WorkerTime>,
    leaving: bool,
    /// When usage was last reported.
    usage_reported: WorkerTime,
    behaviours: Arc<Behaviours>,
    ledger: Arc<Mutex<Ledger>>,
}

fn lock(ledger: &Mutex<Ledger>) -> MutexGuard<'_, Ledger> {
    ledger.lock().unwrap_or_else(PoisonError::into_inner)
}

impl WorkerState {
    /// Creates a worker without tasks and without a lease.
    pub fn new(
        facts: Facts,
        incarnation: Incarnation,
        behaviours: Arc<Behaviours>,
        ledger: Arc<Mutex<Ledger>>,
    ) -> Self {
        Self {
            facts,
            incarnation,
            last_request: None,
            runs: IndexMap::new(),
            last_attempts: IndexMap::new(),
            version: 0,
            lease: None,
            leaving: false,
            usage_reported: WorkerTime::ZERO,
            behaviours,
            ledger,
        }
    }

    /// The worker's own clock at a time of the process.
    pub fn clock(&self, now: Time) -> WorkerTime {
        WorkerTime::from_micros(now.as_micros()) + self.facts.offset
    }

    /// The fixed properties.
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// Makes each later attempt fail, or not.
    pub fn set_broken(&mut self, broken: bool) {
        self.facts.broken = broken;
    }

    /// Announces that the worker is leaving, or not.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Number of running attempts.
    pub fn running(&self) -> usize {
        self.runs
            .values()
            .filter(|h| h.phase == Phase::Running)
            .count()
    }

    /// By how much the running tasks slow the endpoints on this host, in thousandths of the service time.
    pub fn noise(&self) -> u64 {
        let of = |h: &TrackedRun| {
            let wanted = self.behaviours.usage(&h.spec).cpu.0.max(1);
            let share = h.limit.cpu.0.min(wanted) * 1_000 / wanted;
            self.behaviours.of(&h.spec.class).noise * share / 1_000
        };
        self.runs
            .values()
            .filter(|h| h.phase == Phase::Running)
            .map(of)
            .sum()
    }

    /// The host dies: all attempts end and the worker forgets everything.
    pub fn restart(&mut self, now: Time, incarnation: Incarnation) {
        self.advance(now);
        for (task, run) in &self.runs {
            match run.phase {
                Phase::Running => {
                    lock(&self.ledger).end(task, run.attempt.0, AttemptOutcome::Lost, Span::ZERO);
                }
                // The result was lost before it was reported, so the task has to run again.
                Phase::Succeeded if !run.reported => lock(&self.ledger).result_lost(task),
                _ => {}
            }
        }
        self.runs.clear();
        self.last_attempts.clear();
        self.last_request = None;
        self.lease = None;
        self.version = 0;
        self.incarnation = incarnation;
    }

    /// Handles one request: fences it, or executes its commands and reports.
    pub fn sync(&mut self, now: Time, request: &SyncRequest) -> SyncResponse {
        self.advance(now);
        if let Some((shard, epoch, seq)) = &self.last_request {
            let stale = (request.epoch, request.seq) <= (*epoch, *seq);
            let other_shard = *shard != request.shard;
            if (other_shard && self.running() > 0) || (!other_shard && stale) {
                return SyncResponse::Fenced {
                    shard: shard.clone(),
                    epoch: *epoch,
                };
            }
        }
        self.last_request = Some((request.shard.clone(), request.epoch, request.seq));
        let clock = self.clock(now);
        let mut refused = Vec::new();
        // Leases and commands for an earlier incarnation refer to its clock and are ignored.
        if request
            .known_inventory
            .is_some_and(|(own, _)| own == self.incarnation)
        {
            self.lease = self.lease.max(request.lease);
            for command in &request.commands {
                self.execute(now, clock, command, &mut refused);
            }
        }
        SyncResponse::Report(self.report(clock, request.known_inventory, refused))
    }

    fn report(
        &mut self,
        clock: WorkerTime,
        known_inventory: Option<(Incarnation, u64)>,
        refused: Vec<RefusedCommand>,
    ) -> SyncReport {
        let known = known_inventory == Some((self.incarnation, self.version));
        for run in self.runs.values_mut() {
            run.reported = run.phase.is_ended();
        }
        let measured = clock.since(self.usage_reported) >= USAGE_LAG;
        if measured {
            self.usage_reported = clock;
        }
        SyncReport {
            worker: self.facts.name.clone(),
            incarnation: self.incarnation,
            at: clock,
            lease: self.lease,
            version: self.version,
            inventory: (!known).then(|| self.inventory()),
            usage: if measured {
                self.usage(clock)
            } else {
                Vec::new()
            },
            lag: USAGE_LAG,
            refused,
            leaving: self.leaving,
        }
    }

    fn inventory(&self) -> Vec<TaskReport> {
        let row = |(task, h): (&TaskId, &TrackedRun)| TaskReport {
            task: task.clone(),
            attempt: h.attempt,
            phase: h.phase,
            limit: h.limit,
            checkpoint: h.checkpoint.clone(),
        };
        self.runs.iter().map(row).collect()
    }

    fn usage(&self, clock: WorkerTime) -> Vec<TaskUsage> {
        let old = |h: &TrackedRun| h.phase == Phase::Running && clock.since(h.since) >= USAGE_LAG;
        let row = |(task, h): (&TaskId, &TrackedRun)| {
            let wanted = self.behaviours.usage(&h.spec);
            TaskUsage {
                task: task.clone(),
                attempt: h.attempt,
                used: clamp(wanted, h.limit),
                wanted: wanted.cpu,
            }
        };
        self.runs.iter().filter(|(_, h)| old(h)).map(row).collect()
    }

    fn execute(
        &mut self,
        now: Time,
        clock: WorkerTime,
        command: &Command,
        refused: &mut Vec<RefusedCommand>,
    ) {
        let result = match command {
            Command::Start {
                task,
                attempt,
                spec,
                limit,
                start_by,
                checkpoint,
            } => {
                let start = StartParams {
                    spec,
                    limit: *limit,
                    start_by: *start_by,
                    checkpoint,
                };
                self.start(now, clock, task, *attempt, &start)
            }
            Command::Checkpoint { task, attempt } => self.checkpoint(clock, task, *attempt),
            Command::Evict { task, attempt } => self
                .checkpoint(clock, task, *attempt)
                .map(|()| self.end(task, Phase::Evicted, AttemptOutcome::Evicted)),
            Command::Resize {
                task,
                attempt,
                limit,
            } => self.resize(clock, task, *attempt, *limit),
            Command::Stop { task, attempt } => self
                .running_attempt(task, *attempt)
                .map(|()| self.end(task, Phase::Stopped, AttemptOutcome::Stopped)),
            Command::Forget { task, attempt } => {
                self.forget(task, *attempt);
                Ok(())
            }
        };
        if let Err(reason) = result {
            let (task, attempt) = target(command);
            refused.push(RefusedCommand {
                task: task.clone(),
                attempt,
                reason,
            });
        }
        self.check_load();
    }

    fn start(
        &mut self,
        now: Time,
        clock: WorkerTime,
        task: &TaskId,
        attempt: Attempt,
        start: &StartParams<'_>,
    ) -> Result<(), RefusalReason> {
        if self.runs.get(task).is_some_and(|h| h.attempt == attempt) {
            return Ok(());
        }
        if self
            .last_attempts
            .get(task)
            .is_some_and(|last| attempt <= *last)
        {
            return Err(RefusalReason::OldAttempt);
        }
        if self.leaving {
            return Err(RefusalReason::Leaving);
        }
        if clock > start.start_by || self.lease.is_none_or(|l| l <= clock) {
            return Err(RefusalReason::TooLate);
        }
        if !(self.limits() + start.limit).fits(&self.facts.capacity) {
            return Err(RefusalReason::InsufficientCapacity);
        }
        let progress = start
            .checkpoint
            .as_ref()
            .map_or(Span::ZERO, checkpoint_progress);
        self.last_attempts.insert(task.clone(), attempt);
        let run = TrackedRun {
            attempt,
            spec: start.spec.clone(),
            limit: start.limit,
            phase: Phase::Running,
            progress,
            since: clock,
            checkpoint: start.checkpoint.clone(),
            reported: false,
        };
        self.runs.insert(task.clone(), run);
        self.version += 1;
        let facts = &self.facts;
        lock(&self.ledger).start(now, task, attempt.0, &facts.name, &facts.domain, progress);
        Ok(())
    }

    fn running_attempt(&self, task: &TaskId, attempt: Attempt) -> Result<(), RefusalReason> {
        match self.runs.get(task) {
            Some(h) if h.attempt == attempt && h.phase == Phase::Running => Ok(()),
            _ => Err(RefusalReason::Unknown),
        }
    }

    fn checkpoint(
        &mut self,
        clock: WorkerTime,
        task: &TaskId,
        attempt: Attempt,
    ) -> Result<(), RefusalReason> {
        self.running_attempt(task, attempt)?;
        self.update_progress(clock, task);
        if let Some(run) = self.runs.get_mut(task) {
            let name = format!("{task}@{attempt}:{}", run.progress.as_micros());
            run.checkpoint = Some(Checkpoint(ArcStr::from(name)));
            self.version += 1;
        }
        Ok(())
    }

    fn resize(
        &mut self,
        clock: WorkerTime,
        task: &TaskId,
        attempt: Attempt,
        limit: Resources,
    ) -> Result<(), RefusalReason> {
        self.running_attempt(task, attempt)?;
        self.update_progress(clock, task);
        let others = self.limits();
        let Some(run) = self.runs.get_mut(task) else {
            return Err(RefusalReason::Unknown);
        };
        if !(others.saturating_sub(&run.limit) + limit).fits(&self.facts.capacity) {
            return Err(RefusalReason::InsufficientCapacity);
        }
        run.limit = limit;
        self.version += 1;
        Ok(())
    }

    fn forget(&mut self, task: &TaskId, attempt: Attempt) {
        let ended = |h: &TrackedRun| h.attempt == attempt && h.phase.is_ended();
        if self.runs.get(task).is_some_and(ended) {
            self.runs.shift_remove(task);
            self.version += 1;
        }
    }

    /// Brings the progress of an attempt up to this instant.
    fn update_progress(&mut self, clock: WorkerTime, task: &TaskId) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        run.progress += progress_during(&self.behaviours, run, clock.since(run.since));
        run.since = clock;
    }

    fn end(&mut self, task: &TaskId, phase: Phase, outcome: AttemptOutcome) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        run.phase = phase;
        self.version += 1;
        let checkpointed = run
            .checkpoint
            .as_ref()
            .map_or(Span::ZERO, checkpoint_progress);
        lock(&self.ledger).end(task, run.attempt.0, outcome, checkpointed);
    }

    fn limits(&self) -> Resources {
        let running = |h: &&TrackedRun| h.phase == Phase::Running;
        self.runs.values().filter(running).map(|h| h.limit).sum()
    }

    fn check_load(&self) {
        let running = |h: &&TrackedRun| h.phase == Phase::Running;
        let used = |h: &TrackedRun| clamp(self.behaviours.usage(&h.spec), h.limit);
        let used = self.runs.values().filter(running).map(used).sum();
        lock(&self.ledger).load(&self.facts.name, self.limits(), used, self.facts.capacity);
    }

    /// Advances to `now`: ends attempts that are complete, failed or no longer covered by the lease.
    pub fn advance(&mut self, now: Time) {
        let clock = self.clock(now);
        let lapsed = self.lease.is_none_or(|l| clock >= l);
        let running: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, h)| h.phase == Phase::Running)
            .map(|(t, _)| t.clone())
            .collect();
        for task in running {
            if lapsed {
                self.end(&task, Phase::Lapsed, AttemptOutcome::Lost);
            } else {
                self.progress(clock, &task);
            }
        }
    }

    fn progress(&mut self, clock: WorkerTime, task: &TaskId) {
        let Some(run) = self.runs.get(task) else {
            return;
        };
        let wanted = self.behaviours.usage(&run.spec);
        if wanted.memory > run.limit.memory {
            return self.end(task, Phase::OverLimit, AttemptOutcome::Failed);
        }
        if self.facts.broken || self.behaviours.of(&run.spec.class).fails {
            return self.end(task, Phase::Failed, AttemptOutcome::Failed);
        }
        let ran = run.progress + progress_during(&self.behaviours, run, clock.since(run.since));
        let duration = self.behaviours.duration(task, &run.spec);
        if duration.is_some_and(|d| ran >= d) {
            self.end(task, Phase::Succeeded, AttemptOutcome::Succeeded);
        }
    }
}

/// Fields of a start command apart from task and attempt.
struct StartParams<'a> {
    spec: &'a TaskSpec,
    limit: Resources,
    start_by: WorkerTime,
    checkpoint: &'a Option<Checkpoint>,
}

/// Progress made in `elapsed`; a task with too little processor time runs slower.
fn progress_during(behaviours: &Behaviours, run: &TrackedRun, elapsed: Span) -> Span {
    let wanted = behaviours.usage(&run.spec).cpu.0.max(1);
    let given = run.limit.cpu.0.min(wanted);
    Span::from_micros(elapsed.as_micros() * given / wanted)
}

fn clamp(wanted: Resources, limit: Resources) -> Resources {
    Resources::new(
        wanted.cpu.0.min(limit.cpu.0),
        wanted.memory.0.min(limit.memory.0),
        wanted.accelerators.min(limit.accelerators),
    )
}

fn checkpoint_progress(checkpoint: &Checkpoint) -> Span {
    let text = checkpoint.0.rsplit(':').next().and_then(|t| t.parse().ok());
    Span::from_micros(text.unwrap_or(0))
}

fn target(command: &Command) -> (&TaskId, Attempt) {
    match command {
        Command::Start { task, attempt, .. }
        | Command::Checkpoint { task, attempt }
        | Command::Evict { task, attempt }
        | Command::Resize { task, attempt, .. }
        | Command::Stop { task, attempt }
        | Command::Forget { task, attempt } => (task, *attempt),
    }
}

#[cfg(test)]
mod tests;
