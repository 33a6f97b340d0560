//! A worker: runs tasks under a lease, reports late, checkpoints, throttles and stops.

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
use super::ledger::{End, Ledger};

/// How old measured use is when it is reported.
pub const USAGE_LAG: Span = Span::from_secs(2);

/// One attempt that the worker knows.
#[derive(Debug)]
struct Held {
    attempt: Attempt,
    spec: TaskSpec,
    limit: Resources,
    phase: Phase,
    /// Progress when the attempt started or its speed last changed.
    progress: Span,
    /// Instant of `progress`.
    since: WorkerTime,
    checkpoint: Option<Checkpoint>,
    /// Whether an answer has told how it ended.
    reported: bool,
}

/// Fixed properties of a worker.
#[derive(Debug, Clone)]
pub struct Facts {
    /// Name.
    pub name: WorkerName,
    /// Failure domain.
    pub domain: DomainName,
    /// What the host has for tasks: its size without what its endpoints need.
    pub capacity: Resources,
    /// Whether every attempt fails here.
    pub broken: bool,
    /// Start of the worker's clock before that of the process.
    pub offset: Span,
}

/// A worker.
#[derive(Debug)]
pub struct WorkerState {
    facts: Facts,
    incarnation: Incarnation,
    /// Shard, epoch and number of the last request that was obeyed.
    obeys: Option<(ShardName, Epoch, u64)>,
    held: IndexMap<TaskId, Held>,
    seen: IndexMap<TaskId, Attempt>,
    version: u64,
    lease: Option<WorkerTime>,
    leaving: bool,
    reported: WorkerTime,
    behaviours: Arc<Behaviours>,
    ledger: Arc<Mutex<Ledger>>,
}

fn lock(ledger: &Mutex<Ledger>) -> MutexGuard<'_, Ledger> {
    ledger.lock().unwrap_or_else(PoisonError::into_inner)
}

impl WorkerState {
    /// A worker that has just started.
    pub fn new(
        facts: Facts,
        incarnation: Incarnation,
        behaviours: Arc<Behaviours>,
        ledger: Arc<Mutex<Ledger>>,
    ) -> Self {
        Self {
            facts,
            incarnation,
            obeys: None,
            held: IndexMap::new(),
            seen: IndexMap::new(),
            version: 0,
            lease: None,
            leaving: false,
            reported: WorkerTime::ZERO,
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
        self.held
            .values()
            .filter(|h| h.phase == Phase::Running)
            .count()
    }

    /// By how much the running tasks slow the endpoints on this host, in thousandths of the service time.
    pub fn noise(&self) -> u64 {
        let of = |h: &Held| {
            let wanted = self.behaviours.usage(&h.spec).cpu.0.max(1);
            let share = h.limit.cpu.0.min(wanted) * 1_000 / wanted;
            self.behaviours.of(&h.spec.class).noise * share / 1_000
        };
        self.held
            .values()
            .filter(|h| h.phase == Phase::Running)
            .map(of)
            .sum()
    }

    /// The host dies: all attempts end and the worker forgets everything.
    pub fn restart(&mut self, now: Time, incarnation: Incarnation) {
        self.advance(now);
        for (task, held) in &self.held {
            match held.phase {
                Phase::Running => {
                    lock(&self.ledger).end(task, held.attempt.0, End::Lost, Span::ZERO);
                }
                // The result went down with the host before anybody heard of it,
                // so the task has to run again.
                Phase::Succeeded if !held.reported => lock(&self.ledger).unheard(task),
                _ => {}
            }
        }
        self.held.clear();
        self.seen.clear();
        self.obeys = None;
        self.lease = None;
        self.version = 0;
        self.incarnation = incarnation;
    }

    /// Carries out one exchange.
    pub fn sync(&mut self, now: Time, request: &SyncRequest) -> SyncResponse {
        self.advance(now);
        if let Some((shard, epoch, seq)) = &self.obeys {
            let stale = (request.epoch, request.seq) <= (*epoch, *seq);
            let foreign = *shard != request.shard;
            if (foreign && self.running() > 0) || (!foreign && stale) {
                return SyncResponse::Fenced {
                    shard: shard.clone(),
                    epoch: *epoch,
                };
            }
        }
        self.obeys = Some((request.shard.clone(), request.epoch, request.seq));
        let clock = self.clock(now);
        let mut refused = Vec::new();
        // A lease or command that refers to the clock of an earlier start has no meaning here.
        if request
            .known_inventory
            .is_some_and(|(own, _)| own == self.incarnation)
        {
            self.lease = self.lease.max(request.lease);
            for command in &request.commands {
                self.obey(now, clock, command, &mut refused);
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
        for held in self.held.values_mut() {
            held.reported = held.phase.is_ended();
        }
        let measured = clock.since(self.reported) >= USAGE_LAG;
        if measured {
            self.reported = clock;
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
        let row = |(task, h): (&TaskId, &Held)| TaskReport {
            task: task.clone(),
            attempt: h.attempt,
            phase: h.phase,
            limit: h.limit,
            checkpoint: h.checkpoint.clone(),
        };
        self.held.iter().map(row).collect()
    }

    fn usage(&self, clock: WorkerTime) -> Vec<TaskUsage> {
        let old = |h: &Held| h.phase == Phase::Running && clock.since(h.since) >= USAGE_LAG;
        let row = |(task, h): (&TaskId, &Held)| {
            let wanted = self.behaviours.usage(&h.spec);
            TaskUsage {
                task: task.clone(),
                attempt: h.attempt,
                used: clamp(wanted, h.limit),
                wanted: wanted.cpu,
            }
        };
        self.held.iter().filter(|(_, h)| old(h)).map(row).collect()
    }

    fn obey(
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
                let start = Start {
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
                .map(|()| self.end(task, Phase::Evicted, End::Evicted)),
            Command::Resize {
                task,
                attempt,
                limit,
            } => self.resize(clock, task, *attempt, *limit),
            Command::Stop { task, attempt } => self
                .running_attempt(task, *attempt)
                .map(|()| self.end(task, Phase::Stopped, End::Stopped)),
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
        start: &Start<'_>,
    ) -> Result<(), RefusalReason> {
        if self.held.get(task).is_some_and(|h| h.attempt == attempt) {
            return Ok(());
        }
        if self.seen.get(task).is_some_and(|last| attempt <= *last) {
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
        let progress = start.checkpoint.as_ref().map_or(Span::ZERO, saved_progress);
        self.seen.insert(task.clone(), attempt);
        let held = Held {
            attempt,
            spec: start.spec.clone(),
            limit: start.limit,
            phase: Phase::Running,
            progress,
            since: clock,
            checkpoint: start.checkpoint.clone(),
            reported: false,
        };
        self.held.insert(task.clone(), held);
        self.version += 1;
        let facts = &self.facts;
        lock(&self.ledger).start(now, task, attempt.0, &facts.name, &facts.domain, progress);
        Ok(())
    }

    fn running_attempt(&self, task: &TaskId, attempt: Attempt) -> Result<(), RefusalReason> {
        match self.held.get(task) {
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
        self.settle(clock, task);
        if let Some(held) = self.held.get_mut(task) {
            let name = format!("{task}@{attempt}:{}", held.progress.as_micros());
            held.checkpoint = Some(Checkpoint(ArcStr::from(name)));
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
        self.settle(clock, task);
        let others = self.limits();
        let Some(held) = self.held.get_mut(task) else {
            return Err(RefusalReason::Unknown);
        };
        if !(others.saturating_sub(&held.limit) + limit).fits(&self.facts.capacity) {
            return Err(RefusalReason::InsufficientCapacity);
        }
        held.limit = limit;
        self.version += 1;
        Ok(())
    }

    fn forget(&mut self, task: &TaskId, attempt: Attempt) {
        let ended = |h: &Held| h.attempt == attempt && h.phase.is_ended();
        if self.held.get(task).is_some_and(ended) {
            self.held.shift_remove(task);
            self.version += 1;
        }
    }

    /// Brings the progress of an attempt up to this instant.
    fn settle(&mut self, clock: WorkerTime, task: &TaskId) {
        let Some(held) = self.held.get_mut(task) else {
            return;
        };
        held.progress += speed(&self.behaviours, held, clock.since(held.since));
        held.since = clock;
    }

    fn end(&mut self, task: &TaskId, phase: Phase, end: End) {
        let Some(held) = self.held.get_mut(task) else {
            return;
        };
        held.phase = phase;
        self.version += 1;
        let saved = held.checkpoint.as_ref().map_or(Span::ZERO, saved_progress);
        lock(&self.ledger).end(task, held.attempt.0, end, saved);
    }

    fn limits(&self) -> Resources {
        let running = |h: &&Held| h.phase == Phase::Running;
        self.held.values().filter(running).map(|h| h.limit).sum()
    }

    fn check_load(&self) {
        let running = |h: &&Held| h.phase == Phase::Running;
        let used = |h: &Held| clamp(self.behaviours.usage(&h.spec), h.limit);
        let used = self.held.values().filter(running).map(used).sum();
        lock(&self.ledger).load(&self.facts.name, self.limits(), used, self.facts.capacity);
    }

    /// Lets time pass: ends what is finished, failed or without a lease.
    pub fn advance(&mut self, now: Time) {
        let clock = self.clock(now);
        let lapsed = self.lease.is_none_or(|l| clock >= l);
        let running: Vec<TaskId> = self
            .held
            .iter()
            .filter(|(_, h)| h.phase == Phase::Running)
            .map(|(t, _)| t.clone())
            .collect();
        for task in running {
            if lapsed {
                self.end(&task, Phase::Lapsed, End::Lost);
            } else {
                self.progress(clock, &task);
            }
        }
    }

    fn progress(&mut self, clock: WorkerTime, task: &TaskId) {
        let Some(held) = self.held.get(task) else {
            return;
        };
        let wanted = self.behaviours.usage(&held.spec);
        if wanted.memory > held.limit.memory {
            return self.end(task, Phase::OverLimit, End::Failed);
        }
        if self.facts.broken || self.behaviours.of(&held.spec.class).fails {
            return self.end(task, Phase::Failed, End::Failed);
        }
        let ran = held.progress + speed(&self.behaviours, held, clock.since(held.since));
        let duration = self.behaviours.duration(task, &held.spec);
        if duration.is_some_and(|d| ran >= d) {
            self.end(task, Phase::Succeeded, End::Done);
        }
    }
}

/// A start command without its identity.
struct Start<'a> {
    spec: &'a TaskSpec,
    limit: Resources,
    start_by: WorkerTime,
    checkpoint: &'a Option<Checkpoint>,
}

/// Progress made in `elapsed`; a task with too little processor time runs slower.
fn speed(behaviours: &Behaviours, held: &Held, elapsed: Span) -> Span {
    let wanted = behaviours.usage(&held.spec).cpu.0.max(1);
    let given = held.limit.cpu.0.min(wanted);
    Span::from_micros(elapsed.as_micros() * given / wanted)
}

fn clamp(wanted: Resources, limit: Resources) -> Resources {
    Resources::new(
        wanted.cpu.0.min(limit.cpu.0),
        wanted.memory.0.min(limit.memory.0),
        wanted.accelerators.min(limit.accelerators),
    )
}

fn saved_progress(checkpoint: &Checkpoint) -> Span {
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
