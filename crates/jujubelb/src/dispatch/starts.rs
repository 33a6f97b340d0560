//! Starts the waiting tasks of a step on workers that have capacity for them.

use std::cmp::Reverse;

use indexmap::{IndexMap, IndexSet};

use super::crash::Isolation;
use super::health;
use super::job::{Task, TaskState};
use super::job_spec::{JobRecord, StepKey, TaskKey};
use super::launch::log_placement;
use super::placement::PlacementRequest;
use super::unplaced::UnplacedSizes;
use super::worker::Worker;
use super::{Dispatcher, WorkerOrder};
use crate::model::{ServiceName, Span, Time, WorkerName};

/// How long a long-running task waits before it may use the reserve for short tasks, if the
/// workers of its service together have spare capacity.
const MIN_RESERVE_WAIT: Span = Span::from_millis(1_500);

/// How long a long-running task waits before it may use the reserve for short tasks in any
/// case. It has to run again within 6 s of the end of its last run.
const MAX_RESERVE_WAIT: Span = Span::from_millis(3_500);

/// Part of the processor time of a service's workers that counts as needed for short tasks. Per
/// core and second, a short task is worth several times as much to its caller as a
/// long-running one.
const SHORT_TASK_POOL_PERCENT: u64 = 8;

impl Dispatcher {
    /// Whether a task may start as far as the task itself is concerned.
    pub(super) fn is_startable(&self, task: &Task, now: Time) -> bool {
        task.state == TaskState::Waiting
            && task.not_before <= now
            && (!task.inherited || self.inherited_resolved)
    }

    /// Starts as many tasks of a step as the workers have capacity for.
    pub(super) fn start_step(
        &mut self,
        key: StepKey,
        unplaced: &mut UnplacedSizes,
        orders: &mut Vec<WorkerOrder>,
        now: Time,
    ) {
        self.start_waiting(key, usize::MAX, false, unplaced, orders, now);
    }

    /// Starts the task of a step that has waited for longest, or its gang.
    pub(super) fn start_first_task(
        &mut self,
        key: StepKey,
        unplaced: &mut UnplacedSizes,
        orders: &mut Vec<WorkerOrder>,
        now: Time,
    ) {
        let job = self.jobs.get(&key.job);
        let step = job.and_then(|j| j.record.spec.steps.get(usize::from(key.step)));
        let is_gang = step.is_some_and(|s| s.gang);
        let limit = if is_gang { usize::MAX } else { 1 };
        self.start_waiting(key, limit, false, unplaced, orders, now);
    }

    /// Starts one task of a starved step.
    pub(super) fn start_starved_step(
        &mut self,
        key: StepKey,
        orders: &mut Vec<WorkerOrder>,
        now: Time,
    ) {
        self.start_waiting(key, 1, true, &mut UnplacedSizes::default(), orders, now);
    }

    /// Starts waiting tasks of a step, at most `limit`.
    fn start_waiting(
        &mut self,
        key: StepKey,
        limit: usize,
        starved: bool,
        unplaced: &mut UnplacedSizes,
        orders: &mut Vec<WorkerOrder>,
        now: Time,
    ) {
        let Some(record) = self.job_record(key.job) else {
            return;
        };
        let Some(step) = record.spec.steps.get(usize::from(key.step)) else {
            return;
        };
        let Some(state) = self
            .jobs
            .get(&key.job)
            .filter(|j| j.outcome.is_none())
            .and_then(|j| j.step(key.occurrence, key.step))
        else {
            return;
        };
        let startable = |t: &Task| self.is_startable(t, now);
        let mut waiting: Vec<u32> = (0u32..)
            .zip(&state.tasks)
            .filter(|(_, t)| startable(t))
            .map(|(i, _)| i)
            .collect();
        if limit < waiting.len() {
            waiting.sort_by_key(|i| state.tasks[*i as usize].waiting_since.unwrap_or(now));
            waiting.truncate(limit);
        }
        if step.gang && waiting.len() < step.count as usize {
            return;
        }
        let mut tasks = waiting.iter().map(|i| TaskKey {
            step: key,
            index: *i,
        });
        if let Some(faulty) = tasks.find(|t| self.is_faulty(*t)) {
            self.give_up(faulty, now);
            return;
        }
        let allowed = self.allowed_starts(key, step, waiting.len());
        let held = waiting.len() - allowed;
        if !waiting.is_empty() && (allowed == 0 || (step.gang && held > 0)) {
            self.hold_limited(key, waiting.len(), now);
            return;
        }
        if step.gang {
            self.start_gang(key, &record, step, orders, now);
            return;
        }
        let wait_time = |t: &Task| now.since(t.since);
        let longest_wait = state.tasks.iter().filter(|t| startable(t)).map(wait_time);
        let longest_wait = longest_wait.max().unwrap_or_default();
        let keep_reserve = step.long_running
            && (longest_wait <= MIN_RESERVE_WAIT
                || (longest_wait <= MAX_RESERVE_WAIT
                    && !self.has_spare_capacity(&record.queue.service)));
        let may_probe = |i: &u32| self.may_probe(key, *i, &record);
        if unplaced.covers(step, &record, keep_reserve, || {
            waiting.iter().any(may_probe)
        }) {
            return;
        }
        let mut suspects: IndexMap<Isolation, Vec<u32>> = IndexMap::new();
        let mut others = Vec::new();
        for index in waiting {
            let task = &state.tasks[index as usize];
            match task.isolation_at(step.long_running, now) {
                Isolation::None => others.push(index),
                isolation => suspects.entry(isolation).or_default().push(index),
            }
        }
        let (probes, others): (Vec<u32>, Vec<u32>) = others.into_iter().partition(may_probe);
        // The other tasks of the step start, so only the workers can keep it waiting.
        self.count_held(key, held);
        let mut request = PlacementRequest {
            key,
            step,
            service: &record.queue.service,
            rack: None,
            keep_reserve,
            probe_after: None,
            isolation: Isolation::None,
            needs_ticket: record.queue.ticket_lifetime.is_some(),
            starved,
        };
        for (mut tasks, may_probe) in [(others, false), (probes, true)] {
            // What the limit holds back says nothing about the workers.
            tasks.truncate(self.allowed_starts(key, step, tasks.len()));
            if !self.start_or_probe(&tasks, may_probe, &mut request, &record, orders, now) {
                unplaced.add(step, &record, keep_reserve, may_probe);
            }
        }
        for (isolation, tasks) in suspects {
            request.isolation = isolation;
            // A probe of a worker should not be a task that may crash it, unless no other
            // worker qualifies.
            if isolation.is_spread() {
                let may_probe = tasks.iter().all(|i| self.may_probe(key, *i, &record));
                self.start_or_probe(&tasks, may_probe, &mut request, &record, orders, now);
            } else {
                request.probe_after = None;
                self.start_tasks(&tasks, &request, &record, orders, now);
            }
        }
    }

    /// Starts as many of these tasks of a step as the workers have capacity for, also on unhealthy
    /// workers that are due a probe if the tasks may be one. If they must not, they are probes only
    /// of workers for which no other task has come. Returns whether all have been started.
    fn start_or_probe(
        &mut self,
        tasks: &[u32],
        may_probe: bool,
        request: &mut PlacementRequest<'_>,
        record: &JobRecord,
        orders: &mut Vec<WorkerOrder>,
        now: Time,
    ) -> bool {
        request.probe_after = may_probe.then_some(Span::ZERO);
        let started = self.start_tasks(tasks, request, record, orders, now);
        let left = &tasks[started..];
        if !may_probe && self.probe_slots > 0 {
            request.probe_after = Some(health::LAST_ATTEMPT_DELAY);
            return self.start_tasks(left, request, record, orders, now) == left.len();
        }
        left.is_empty()
    }

    /// Starts as many of these tasks of a step as the workers have capacity for, in their order.
    /// Returns how many.
    fn start_tasks(
        &mut self,
        tasks: &[u32],
        request: &PlacementRequest<'_>,
        record: &JobRecord,
        orders: &mut Vec<WorkerOrder>,
        now: Time,
    ) -> usize {
        if tasks.is_empty() {
            return 0;
        }
        let (key, step) = (request.key, request.step);
        let allowed = self.allowed_starts(key, step, tasks.len());
        let tasks = &tasks[..allowed.min(tasks.len())];
        if tasks.is_empty() {
            return 0;
        }
        // A start changes the cost of its own worker only, so one search serves all tasks.
        let mut candidates = match request.starved && step.data_rack.is_none() {
            true => self.some_candidates(request, now),
            false => self.candidates(request, now),
        };
        let mut tasks_by_worker: IndexMap<WorkerName, u32> = IndexMap::new();
        let mut started = 0;
        for &index in tasks {
            let Some(Reverse(best)) = candidates.pop() else {
                break;
            };
            let Some((name, _)) = self.workers.get_index(best.worker) else {
                break;
            };
            let name = name.clone();
            let task = TaskKey { step: key, index };
            let run = self.next_run(&[task]);
            self.start(&name, task, run, record, step, orders, now);
            if request.starved {
                self.mark_starved(&name, task);
            }
            candidates.extend(self.candidate(best.worker, request, now).map(Reverse));
            *tasks_by_worker.entry(name).or_default() += 1;
            started += 1;
        }
        log_placement(key, record, &tasks_by_worker);
        started
    }

    pub(super) fn mark_starved(&mut self, name: &WorkerName, task: TaskKey) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if let Some(tracked) = worker.runs.get_mut(&task) {
            tracked.starved = true;
        }
        worker.update_load();
    }

    /// Services whose workers together have more free capacity than short tasks need.
    pub(super) fn spare_services(&self) -> IndexSet<ServiceName> {
        let services: IndexSet<&ServiceName> =
            self.open_workers().map(|w| &w.report.service).collect();
        let spare = services.into_iter().filter(|s| self.has_spare_capacity(s));
        spare.cloned().collect()
    }

    /// Whether the workers of a service together have more free capacity than short tasks need.
    /// Waiting long-running tasks may then use the reserve of a single worker, because short tasks
    /// find capacity on another one.
    fn has_spare_capacity(&self, service: &ServiceName) -> bool {
        let workers = self.open_workers().filter(|w| w.report.service == *service);
        let (capacity, reserved) = workers.fold((0, 0), |(capacity, reserved), w| {
            (
                capacity + w.report.capacity.cpu.0,
                reserved + w.load.reserved.cpu.0,
            )
        });
        reserved * 100 < capacity * (100 - SHORT_TASK_POOL_PERCENT)
    }

    /// Workers that may get starts.
    fn open_workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values().filter(|w| {
            let in_use = w.fenced && w.listed && w.drain_deadline.is_none();
            in_use && !w.health.is_unhealthy() && !self.evacuated.contains(&w.report.domain)
        })
    }
}
