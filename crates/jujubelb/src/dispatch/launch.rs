//! Orders the start of one run on a worker that was chosen for it.

use indexmap::IndexMap;

use super::crash::Isolation;
use super::job::TaskState;
use super::job_spec::{JobRecord, Run, Step, StepKey, TaskKey};
use super::placement;
use super::worker::{RunPhase, TrackedRun};
use super::{Dispatcher, Order, WorkerOrder};
use crate::model::{Time, WorkerName, WorkerTime};

impl Dispatcher {
    /// Run number for the next start of these tasks, which start together.
    pub(super) fn next_run(&self, tasks: &[TaskKey]) -> Run {
        let last = |t: &TaskKey| Some(self.jobs.get(&t.step.job)?.task(*t)?.run);
        let highest = tasks.iter().filter_map(last).max().unwrap_or_default();
        Run(highest.0 + 1).max(self.first_run())
    }

    pub(super) fn new_run(
        &self,
        run: Run,
        step: &Step,
        deadline: WorkerTime,
        now: Time,
    ) -> TrackedRun {
        TrackedRun {
            run,
            phase: RunPhase::Starting,
            size: step.size,
            best_effort: step.best_effort,
            long_running: step.long_running,
            image: step.image.clone().unwrap_or_default(),
            target: step.target,
            since: now,
            confirmed: Time::ZERO,
            last_listed: Time::ZERO,
            isolation: Isolation::None,
            deadline,
            order_clock: WorkerTime::ZERO,
            stop_sent: None,
            stop_pending: false,
            stop_confirmed: None,
            must_stop: false,
            starved: false,
            percent: 0,
            last_progress: now,
            usage: 0,
            pace: 100,
            previous_pace: 100,
            pace_changed: Time::ZERO,
            worker_pace: Some(100),
            above_target: None,
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the arguments make up one order")]
    pub(super) fn start(
        &mut self,
        name: &WorkerName,
        task: TaskKey,
        run: Run,
        record: &JobRecord,
        step: &Step,
        orders: &mut Vec<WorkerOrder>,
        now: Time,
    ) {
        let worker = self.workers.get(name);
        let Some((clock, last)) =
            worker.and_then(|w| Some((w.min_clock(now)?, w.clock_at(self.authority)?)))
        else {
            return;
        };
        let deadline = self.start_deadline(clock, last);
        let tracked = TrackedRun {
            isolation: self.isolation(task),
            order_clock: clock,
            ..self.new_run(run, step, deadline, now)
        };
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.health.is_unhealthy() {
            log::info!(task:% = task, worker:% = name; "probing an unhealthy worker");
            self.probe_slots = self.probe_slots.saturating_sub(1);
        }
        worker.lease_deadline = worker.lease_deadline.max(deadline);
        worker.start_deadline = worker.start_deadline.max(deadline);
        worker.load.add(&tracked);
        if step.best_effort {
            placement::add_interference(worker, &tracked, &self.slopes);
        }
        worker.runs.insert(task, tracked);
        if step.target.is_some() {
            placement::update_interference(worker, &self.slopes);
        }
        let address = worker.report.address;
        self.count_start(task);
        let ticket = self
            .workers
            .get(name)
            .and_then(|w| self.ticket(task.step, w, now))
            .cloned();
        let mut checkpoint = None;
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            checkpoint = job.checkpoint(task);
            if let Some(known) = job.task_mut(task) {
                known.run = run;
            }
        }
        self.set_state(task, TaskState::Placed(name.clone()));
        orders.push(WorkerOrder {
            worker: name.clone(),
            address,
            order: Order::Start {
                task,
                run,
                payload: record.spec.payload.clone(),
                deadline,
                checkpoint: checkpoint.filter(|_| step.checkpoints),
                ticket,
            },
        });
    }
}

pub(super) fn log_placement(
    key: StepKey,
    record: &JobRecord,
    tasks_by_worker: &IndexMap<WorkerName, u32>,
) {
    if tasks_by_worker.is_empty() {
        return;
    }
    let tasks: u32 = tasks_by_worker.values().sum();
    let workers: Vec<&str> = tasks_by_worker.keys().map(WorkerName::as_str).collect();
    log::info!(step:% = key, queue:% = record.queue.prefix, tasks = tasks, workers:? = workers; "tasks placed");
}
