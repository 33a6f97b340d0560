//! A fake worker that applies each command immediately.

use indexmap::IndexMap;
use jujubelb::model::{
    Attempt, Incarnation, Millicores, Resources, Span, TaskId, Time, WorkerName, WorkerTime,
};
use jujubelb::worker::{Command, Phase, SyncReport, SyncRequest, TaskReport, TaskUsage};

pub(super) struct Worker {
    name: WorkerName,
    version: u64,
    pub(super) tasks: IndexMap<(TaskId, Attempt), TaskReport>,
    /// When usage was last reported.
    measured: Time,
}

impl Worker {
    pub(super) fn new(name: WorkerName) -> Self {
        Self {
            name,
            version: 1,
            tasks: IndexMap::new(),
            measured: Time::ZERO,
        }
    }

    pub(super) fn add(&mut self, task: TaskId, attempt: Attempt, limit: Resources) {
        let report = TaskReport {
            task: task.clone(),
            attempt,
            phase: Phase::Running,
            limit,
            checkpoint: None,
        };
        self.tasks.insert((task, attempt), report);
        self.version += 1;
    }

    pub(super) fn running(&self) -> usize {
        let running = |report: &&TaskReport| !report.phase.is_ended();
        self.tasks.values().filter(running).count()
    }

    /// Completes the oldest running task successfully; `false` if none runs.
    pub(super) fn finish(&mut self) -> bool {
        let mut tasks = self.tasks.values_mut();
        let Some(report) = tasks.find(|report| !report.phase.is_ended()) else {
            return false;
        };
        report.phase = Phase::Succeeded;
        self.version += 1;
        true
    }

    /// Applies the commands; returns the report and the number of starts.
    pub(super) fn sync(&mut self, now: Time, request: &SyncRequest) -> (SyncReport, u64) {
        let starts = request.commands.iter().map(|c| self.apply_command(c)).sum();
        let known = request.known_inventory == Some((Incarnation(1), self.version));
        let fresh = now.since(self.measured) >= Span::from_secs(1);
        let mut usage = Vec::new();
        if fresh {
            self.measured = now;
            usage = self.usage();
        }
        let report = SyncReport {
            worker: self.name.clone(),
            incarnation: Incarnation(1),
            at: WorkerTime::from_micros(now.as_micros()),
            lease: request.lease,
            version: self.version,
            inventory: (!known).then(|| self.tasks.values().cloned().collect()),
            usage,
            lag: Span::from_secs(2),
            refused: Vec::new(),
            leaving: false,
        };
        (report, starts)
    }

    fn usage(&self) -> Vec<TaskUsage> {
        let running = self.tasks.values().filter(|r| !r.phase.is_ended());
        let usage = |report: &TaskReport| {
            let cpu = report.limit.cpu.0 * 7 / 10;
            TaskUsage {
                task: report.task.clone(),
                attempt: report.attempt,
                used: Resources::new(cpu, report.limit.memory.0 * 7 / 10, 0),
                wanted: Millicores(cpu),
            }
        };
        running.map(usage).collect()
    }

    fn apply_command(&mut self, command: &Command) -> u64 {
        let (task, attempt) = match command {
            Command::Start {
                task,
                attempt,
                limit,
                ..
            } => {
                self.add(task.clone(), *attempt, *limit);
                return 1;
            }
            Command::Checkpoint { task, attempt }
            | Command::Evict { task, attempt }
            | Command::Resize { task, attempt, .. }
            | Command::Stop { task, attempt }
            | Command::Forget { task, attempt } => (task, attempt),
        };
        let key = (task.clone(), *attempt);
        self.version += 1;
        if let Command::Forget { .. } = command {
            self.tasks.swap_remove(&key);
        } else if let Some(report) = self.tasks.get_mut(&key) {
            match command {
                Command::Resize { limit, .. } => report.limit = *limit,
                Command::Evict { .. } => report.phase = Phase::Evicted,
                Command::Stop { .. } => report.phase = Phase::Stopped,
                _ => {}
            }
        }
        0
    }
}
