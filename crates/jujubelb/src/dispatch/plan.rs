//! The scheduling pass: expires leases, stops runs, adjusts paces and starts ready tasks.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use arcstr::ArcStr;
use indexmap::IndexMap;

use super::crash::Isolation;
use super::health;
use super::job::TaskState;
use super::job_spec::{JobRecord, Run, Step, StepKey, TaskKey};
use super::placement::{self, Obstacle, PlacementRequest};
use super::rank::{self, StepRank};
use super::starvation::SEARCHED_WORKERS;
use super::worker::{RunPhase, TrackedRun, Worker};
use super::{Dispatcher, Order, WorkerOrder};
use crate::model::{Resources, ServiceName, Span, Time, WallTime, WorkerName, WorkerTime};

/// Time added to [`Bounds::max_stop`](super::Bounds::max_stop) before a stop order whose run
/// has not completed is sent again.
const STOP_RETRY_MARGIN: Span = Span::from_millis(600);

/// Longest time for which the answer to a stop order, or the note that there is none, is
/// awaited before the order is repeated. Calls through another host end well before.
pub(super) const MAX_STOP_ANSWER: Span = Span::from_secs(4);

/// Stops of one worker that may be outstanding. Six are sent at a time and time out after 0.4 s, so
/// that all have an end within 3.2 s, before [`MAX_STOP_ANSWER`], also on a worker that answers none.
pub(super) const MAX_OUTSTANDING_STOPS: usize = 48;

/// How long a long-running task waits before it may use the reserve for short tasks, if the
/// workers together have spare capacity.
const MIN_RESERVE_WAIT: Span = Span::from_millis(1_500);

/// How long a long-running task waits before it may use the reserve for short tasks in any
/// case. It has to run again within 6 s of the end of its last run.
const MAX_RESERVE_WAIT: Span = Span::from_millis(3_500);

/// Part of the processor time of all workers that counts as needed for short tasks. Per
/// core and second, a short task is worth several times as much to its caller as a
/// long-running one.
const SHORT_TASK_POOL_PERCENT: u64 = 8;

/// Time without progress after which a run at full pace is stopped, longer in proportion at a
/// lower pace. Progress is reported in whole percents, so a task of four minutes reports it at
/// full pace within this time.
const STALL_TIMEOUT: Span = Span::from_millis(2_500);

/// Allowance for the network delay of an earlier leader's last poll.
const LEASE_MARGIN: Span = Span::from_millis(300);

/// Time added to [`Bounds::max_stop`](super::Bounds::max_stop) when tasks are stopped before
/// their worker leaves, so that their last checkpoint is reported in time.
const DRAIN_MARGIN: Span = Span::from_millis(700);

/// Longest time by this host's clock for which a lease lasts on a worker, whose clock may be
/// 2 % slow.
fn longest_duration(lease: Span) -> Span {
    lease.scale_up(103, 100) + LEASE_MARGIN
}

impl Dispatcher {
    /// Makes one scheduling pass and returns the orders to send. Returns none once the term
    /// is over.
    pub fn plan(&mut self, wall: WallTime, now: Time) -> Vec<WorkerOrder> {
        if self.deposed {
            return Vec::new();
        }
        self.last_pass = now;
        self.begin_due_occurrences(wall, now);
        self.expire_leases(now);
        self.resolve_inherited(now);
        let mut orders = Vec::new();
        self.stop_on_draining(now);
        self.stop_stalled(now);
        self.decay_slopes(now);
        self.stop_unwanted(&mut orders, now);
        self.adjust_paces(&mut orders, now);
        self.count_customers();
        if self.may_start(now) && self.check_evidence(now) {
            self.start_ready(&mut orders, now);
        }
        self.report_waits(now);
        self.report_customers(now);
        self.count_load(now);
        orders
    }

    /// Gives up the runs of workers whose lease has certainly expired, and removes workers
    /// that are no longer needed.
    fn expire_leases(&mut self, now: Time) {
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
    fn resolve_inherited(&mut self, now: Time) {
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

    /// Marks runs on draining workers to be stopped: long-running tasks immediately, tasks
    /// with checkpoints shortly before the worker leaves.
    fn stop_on_draining(&mut self, now: Time) {
        let margin = self.bounds.max_stop + DRAIN_MARGIN;
        for worker in self.workers.values_mut() {
            let Some(deadline) = worker.drain_deadline else {
                continue;
            };
            let soon = now + margin >= deadline;
            for (task, tracked) in &mut worker.runs {
                let step = self
                    .jobs
                    .get(&task.step.job)
                    .and_then(|j| j.record.spec.steps.get(usize::from(task.step.step)));
                let long_running = step.is_some_and(|s| s.long_running);
                let has_checkpoints = step.is_some_and(|s| s.checkpoints);
                if tracked.phase == RunPhase::Running
                    && !tracked.must_stop
                    && (long_running || (has_checkpoints && soon))
                {
                    log::info!(task:% = task, worker:% = worker.report.name, lasting = long_running; "stopping a run because its worker is draining");
                    tracked.must_stop = true;
                }
            }
        }
    }

    /// Marks runs without progress to be stopped, so that they restart on another worker.
    fn stop_stalled(&mut self, now: Time) {
        let mut ejections = self.ejection_slots();
        for worker in self.workers.values_mut() {
            let mut stalled = Vec::new();
            for (task, tracked) in &mut worker.runs {
                let active =
                    tracked.phase == RunPhase::Running && tracked.pace > 0 && !tracked.must_stop;
                let finite = self
                    .jobs
                    .get(&task.step.job)
                    .and_then(|j| j.record.spec.steps.get(usize::from(task.step.step)))
                    .is_some_and(|s| !s.long_running && !s.gang);
                if active
                    && finite
                    && worker
                        .last_answer
                        .since(tracked.last_progress.max(tracked.pace_changed))
                        > STALL_TIMEOUT.scale_up(100, tracked.pace.into())
                {
                    log::warn!(task:% = task, worker:% = worker.report.name, percent = tracked.percent, age:% = now.since(tracked.since); "stopping a run that makes no progress");
                    tracked.must_stop = true;
                    stalled.push(task.step.job);
                }
            }
            for _ in stalled {
                if worker.health.record_stall(now, ejections > 0) {
                    ejections -= 1;
                    log::warn!(worker:% = worker.report.name; "worker considered unhealthy: several runs make no progress");
                }
            }
        }
    }

    /// Orders stops of runs that are not wanted, on each worker as many as may be outstanding. Those
    /// that were not stopped yet go first, so that lost stops don't hold up the others.
    fn stop_unwanted(&mut self, orders: &mut Vec<WorkerOrder>, now: Time) {
        let retry = self.bounds.max_stop + STOP_RETRY_MARGIN;
        for (name, worker) in &mut self.workers {
            let mut outstanding = 0;
            let mut due: Vec<(&TaskKey, &mut TrackedRun)> = Vec::new();
            for (task, tracked) in &mut worker.runs {
                let keep = !tracked.must_stop && tracked.phase != RunPhase::Unsure;
                if keep || tracked.phase == RunPhase::Starting {
                    continue;
                }
                let pause = match tracked.stop_pending {
                    true => MAX_STOP_ANSWER,
                    false => retry,
                };
                if tracked.stop_sent.is_none_or(|at| now.since(at) >= pause) {
                    due.push((task, tracked));
                } else {
                    outstanding += usize::from(tracked.stop_pending);
                }
            }
            due.sort_by_key(|(_, tracked)| tracked.stop_sent);
            due.truncate(MAX_OUTSTANDING_STOPS.saturating_sub(outstanding));
            for (task, tracked) in due {
                tracked.stop_sent = Some(now);
                tracked.stop_pending = true;
                orders.push(WorkerOrder {
                    worker: name.clone(),
                    address: worker.report.address,
                    order: Order::Stop {
                        task: *task,
                        run: tracked.run,
                    },
                });
            }
        }
    }

    fn start_ready(&mut self, orders: &mut Vec<WorkerOrder>, now: Time) {
        let mut ranked: Vec<(StepRank, StepKey)> = Vec::with_capacity(self.ready.len());
        let mut not_ready = Vec::new();
        for key in &self.ready {
            let Some(job) = self.jobs.get(&key.job).filter(|j| j.outcome.is_none()) else {
                not_ready.push(*key);
                continue;
            };
            if job.arrival > self.confirmed {
                continue;
            }
            let step = usize::from(key.step);
            let occurrence = job.occurrence(key.occurrence);
            let startable = occurrence.filter(|o| {
                o.steps.get(step).is_some_and(|s| s.waiting > 0) && job.is_step_ready(o, step)
            });
            match startable {
                Some(occurrence) => {
                    let beyond_share = self.is_beyond_share(job);
                    let rank = rank::rank(job, occurrence, step, beyond_share, now);
                    ranked.push((rank, *key));
                }
                None => not_ready.push(*key),
            }
        }
        for key in not_ready {
            self.ready.shift_remove(&key);
        }
        ranked.sort_unstable_by(|(a, _), (b, _)| rank::compare(a, b));
        let in_use = self.workers.values().filter(|w| w.listed);
        let probing = in_use.clone().filter(|w| w.is_probing(now)).count();
        self.probe_slots = health::probe_slots(in_use.count(), probing);
        let mut unplaced = UnplacedSizes::default();
        for (_, key) in &ranked {
            self.start_step(*key, &mut unplaced, orders, now);
        }
        let long_running = ranked.partition_point(|(rank, _)| rank.is_long_running());
        self.start_starved(&ranked[long_running..], orders, now);
    }

    /// Starts as many tasks of a step as the workers have capacity for.
    fn start_step(
        &mut self,
        key: StepKey,
        unplaced: &mut UnplacedSizes,
        orders: &mut Vec<WorkerOrder>,
        now: Time,
    ) {
        self.start_waiting(key, false, unplaced, orders, now);
    }

    /// Starts one task of a starved step.
    pub(super) fn start_starved_step(
        &mut self,
        key: StepKey,
        orders: &mut Vec<WorkerOrder>,
        now: Time,
    ) {
        self.start_waiting(key, true, &mut UnplacedSizes::default(), orders, now);
    }

    /// Starts waiting tasks of a step, only one if the step is starved.
    fn start_waiting(
        &mut self,
        key: StepKey,
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
        let startable = |t: &super::job::Task| self.is_startable(t, now);
        let mut waiting: Vec<u32> = (0u32..)
            .zip(&state.tasks)
            .filter(|(_, t)| startable(t))
            .map(|(i, _)| i)
            .collect();
        if starved {
            waiting.truncate(1);
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
        let wait_time = |t: &super::job::Task| now.since(t.since);
        let longest_wait = state.tasks.iter().filter(|t| startable(t)).map(wait_time);
        let longest_wait = longest_wait.max().unwrap_or_default();
        let keep_reserve = step.long_running
            && (longest_wait <= MIN_RESERVE_WAIT
                || (longest_wait <= MAX_RESERVE_WAIT && !self.has_spare_capacity()));
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

    /// Whether a task may test the health of an unhealthy worker as soon as a probe is due. A
    /// probe that fails must not use up the attempts of the task.
    pub(super) fn may_probe(&self, step: StepKey, index: u32, record: &JobRecord) -> bool {
        let spec = record.spec.steps.get(usize::from(step.step));
        let unlimited = spec.is_some_and(|s| s.long_running);
        let task = self
            .jobs
            .get(&step.job)
            .and_then(|j| j.task(TaskKey { step, index }));
        let failures = task.map_or(0, |t| t.failed.len());
        self.probe_slots > 0 && (unlimited || failures + 1 < record.queue.attempts as usize)
    }

    /// How many more workers may be considered unhealthy.
    pub(super) fn ejection_slots(&self) -> usize {
        let in_use = self.workers.values().filter(|w| w.listed);
        let unhealthy = in_use.clone().filter(|w| w.health.is_unhealthy()).count();
        health::ejection_slots(in_use.count(), unhealthy)
    }

    /// Whether the workers in use together have more free capacity than short tasks need.
    /// Waiting long-running tasks may then use the reserve of a single worker, because
    /// short tasks find capacity on another one.
    fn has_spare_capacity(&self) -> bool {
        let in_use = self.workers.values().filter(|w| w.fenced && w.listed);
        let (capacity, reserved) = in_use.fold((0, 0), |(capacity, reserved), w| {
            (
                capacity + w.report.capacity.cpu.0,
                reserved + w.load.reserved.cpu.0,
            )
        });
        reserved * 100 < capacity * (100 - SHORT_TASK_POOL_PERCENT)
    }

    /// Starts all tasks of a gang or none. Falls back to several racks if no single rack has
    /// enough capacity.
    fn start_gang(
        &mut self,
        key: StepKey,
        record: &JobRecord,
        step: &Step,
        orders: &mut Vec<WorkerOrder>,
        now: Time,
    ) {
        let racks: Vec<Option<String>> = if step.same_rack {
            let mut racks: Vec<Option<String>> = self
                .workers
                .values()
                .filter_map(|w| w.report.rack.as_ref())
                .map(|r| Some(r.to_string()))
                .collect();
            racks.sort();
            racks.dedup();
            racks.push(None);
            racks
        } else {
            vec![None]
        };
        let may_probe = (0..step.count).all(|i| self.may_probe(key, i, record));
        let probes = match (may_probe, self.probe_slots) {
            (true, _) => vec![Some(Span::ZERO)],
            (false, 0) => vec![None],
            (false, _) => vec![None, Some(health::LAST_ATTEMPT_DELAY)],
        };
        let places = probes
            .iter()
            .flat_map(|probe| racks.iter().map(move |rack| (*probe, rack.as_deref())));
        for (probe_after, rack) in places {
            let Some(chosen) = self.reserve_gang(key, record, step, probe_after, rack, now) else {
                continue;
            };
            let tasks: Vec<TaskKey> = (0..step.count)
                .map(|index| TaskKey { step: key, index })
                .collect();
            let run = self.next_run(&tasks);
            let mut tasks_by_worker: IndexMap<WorkerName, u32> = IndexMap::new();
            for (task, worker) in tasks.into_iter().zip(chosen) {
                self.start(&worker, task, run, record, step, orders, now);
                *tasks_by_worker.entry(worker).or_default() += 1;
            }
            log_placement(key, record, &tasks_by_worker);
            return;
        }
    }

    /// How far the members of a gang are kept apart from other tasks.
    fn gang_isolation(&self, key: StepKey, now: Time) -> Isolation {
        let first = TaskKey {
            step: key,
            index: 0,
        };
        let job = self.jobs.get(&key.job);
        let task = job.and_then(|j| j.task(first));
        // Several members may share a worker, so they do not exclude each other.
        let isolation = task.map(|t| t.isolation_at(false, now)).unwrap_or_default();
        isolation.min(Isolation::Apart)
    }

    /// Finds workers for all members of a gang, without starting any.
    fn reserve_gang(
        &mut self,
        key: StepKey,
        record: &JobRecord,
        step: &Step,
        probe_after: Option<Span>,
        rack: Option<&str>,
        now: Time,
    ) -> Option<Vec<WorkerName>> {
        let members = step.count as usize;
        if self.allowed_starts(key, step, members) < members {
            return None;
        }
        let request = PlacementRequest {
            key,
            step,
            service: &record.queue.service,
            rack,
            keep_reserve: false,
            probe_after,
            isolation: self.gang_isolation(key, now),
            needs_ticket: record.queue.ticket_lifetime.is_some(),
            starved: false,
        };
        let mut chosen = Vec::new();
        for index in 0..step.count {
            let Some(name) = self.choose_worker(&request, now) else {
                break;
            };
            // Members are one probe together, so a member that has a place excludes no other.
            let tracked = TrackedRun {
                since: Time::ZERO,
                ..self.new_run(Run(0), step, WorkerTime::ZERO, now)
            };
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.runs.insert(TaskKey { step: key, index }, tracked);
                worker.update_load();
            }
            chosen.push(name);
        }
        for (index, name) in (0u32..).zip(&chosen) {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.runs.shift_remove(&TaskKey { step: key, index });
                worker.update_load();
            }
        }
        (chosen.len() == step.count as usize).then_some(chosen)
    }

    /// The worker with the lowest cost on which a task could start now.
    fn choose_worker(&self, request: &PlacementRequest<'_>, now: Time) -> Option<WorkerName> {
        let best = (0..self.workers.len())
            .filter_map(|i| self.candidate(i, request, now))
            .min()?;
        Some(self.workers.get_index(best.worker)?.0.clone())
    }

    /// The workers on which a task could start now, with the lowest cost first.
    fn candidates(
        &self,
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> BinaryHeap<Reverse<Candidate>> {
        (0..self.workers.len())
            .filter_map(|i| self.candidate(i, request, now))
            .map(Reverse)
            .collect()
    }

    /// The same among [`SEARCHED_WORKERS`], other ones with each search; among all if none of
    /// these qualifies.
    fn some_candidates(
        &mut self,
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> BinaryHeap<Reverse<Candidate>> {
        let count = self.workers.len();
        if count <= SEARCHED_WORKERS {
            return self.candidates(request, now);
        }
        let first = self.search_start % count;
        self.search_start = first + SEARCHED_WORKERS;
        let found: BinaryHeap<_> = (first..first + SEARCHED_WORKERS)
            .filter_map(|i| self.candidate(i % count, request, now))
            .map(Reverse)
            .collect();
        match found.is_empty() {
            true => self.candidates(request, now),
            false => found,
        }
    }

    /// The worker with an index, with its cost, if a task could start on it now.
    fn candidate(
        &self,
        index: usize,
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> Option<Candidate> {
        let (_, worker) = self.workers.get_index(index)?;
        let cost = self.assess(worker, request, now).ok()?;
        Some(Candidate {
            cost,
            worker: index,
        })
    }

    /// The cost of starting a task on a worker now, or why it can't start there.
    pub(super) fn assess(
        &self,
        worker: &Worker,
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> Result<f64, Obstacle> {
        // The worker may have restarted since its last answer. The new incarnation would obey an
        // older leader, and late calls to the former one; the next answer names it.
        if worker.arrival > self.confirmed || !worker.is_answering() {
            return Err(Obstacle::NotReady);
        }
        if let Some(obstacle) = placement::obstacle(worker, request, &self.evacuated, now) {
            return Err(obstacle);
        }
        if request.needs_ticket && self.ticket(request.key, worker, now).is_none() {
            return Err(Obstacle::Ticket);
        }
        let long_running = request.step.long_running;
        if !self.is_up_long_enough(worker, request.isolation, long_running, now) {
            return Err(Obstacle::Isolation);
        }
        let mut cost = placement::cost(worker, request);
        if request.isolation > Isolation::None {
            cost += placement::exposure_cost(worker, now) + worker.loss_cost();
        }
        if request.step.best_effort {
            cost += placement::interference_cost(worker, request, &self.slopes, &self.headrooms)?;
        }
        Ok(cost)
    }

    /// The workers on which a task could start now, with their costs.
    pub(super) fn usable_workers<'a>(
        &'a self,
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> impl Iterator<Item = (f64, &'a Worker)> {
        let workers = self.workers.values();
        workers.filter_map(move |w| Some((self.assess(w, request, now).ok()?, w)))
    }

    /// Valid ticket for running a step on a worker.
    fn ticket(&self, step: StepKey, worker: &Worker, now: Time) -> Option<&ArcStr> {
        self.step_tickets.get(&step)?.ticket(worker, now)
    }

    /// Run number for the next start of these tasks, which start together.
    fn next_run(&self, tasks: &[TaskKey]) -> Run {
        let last = |t: &TaskKey| Some(self.jobs.get(&t.step.job)?.task(*t)?.run);
        let highest = tasks.iter().filter_map(last).max().unwrap_or_default();
        Run(highest.0 + 1).max(self.first_run())
    }

    fn new_run(&self, run: Run, step: &Step, deadline: WorkerTime, now: Time) -> TrackedRun {
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
    fn start(
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

/// A worker on which a task could start.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Candidate {
    cost: f64,
    /// Index into the dispatcher's workers, which decides between equal costs.
    worker: usize,
}

impl Eq for Candidate {}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_cost = self.cost.total_cmp(&other.cost);
        by_cost.then(self.worker.cmp(&other.worker))
    }
}

/// A request for which no worker was found in this pass.
#[derive(Debug)]
struct UnplacedSize {
    size: Resources,
    /// Whether the search kept the reserve for short tasks free. If so, it says nothing
    /// about tasks that may use the reserve.
    keep_reserve: bool,
    /// Whether the search included unhealthy workers that are due a probe. If not, it says
    /// nothing about tasks that may probe them.
    may_probe: bool,
    best_effort: bool,
    /// Image of a best-effort task; `None` for others. Whether a worker admits a best-effort
    /// task depends on its image.
    image: Option<ArcStr>,
    service: ServiceName,
}

/// Requests for which no worker was found in this pass. The search is skipped for a request
/// at least as large.
#[derive(Debug, Default)]
pub(super) struct UnplacedSizes {
    sizes: Vec<UnplacedSize>,
}

impl UnplacedSizes {
    pub(super) fn covers(
        &self,
        step: &Step,
        record: &JobRecord,
        keep_reserve: bool,
        may_probe: impl Fn() -> bool,
    ) -> bool {
        self.sizes.iter().any(|known| {
            known.size.fits(&step.size)
                && (keep_reserve || !known.keep_reserve)
                && (known.may_probe || !may_probe())
                && known.best_effort == step.best_effort
                && known.image.as_ref() == step.image.as_ref().filter(|_| step.best_effort)
                && known.service == record.queue.service
        })
    }

    pub(super) fn add(
        &mut self,
        step: &Step,
        record: &JobRecord,
        keep_reserve: bool,
        may_probe: bool,
    ) {
        // A step that lacks tickets says nothing about room.
        let unconstrained = step.label.is_none()
            && step.per_worker.is_none()
            && record.queue.ticket_lifetime.is_none();
        if unconstrained {
            self.sizes.push(UnplacedSize {
                size: step.size,
                keep_reserve,
                may_probe,
                best_effort: step.best_effort,
                image: step.image.clone().filter(|_| step.best_effort),
                service: record.queue.service.clone(),
            });
        }
    }
}

fn log_placement(key: StepKey, record: &JobRecord, tasks_by_worker: &IndexMap<WorkerName, u32>) {
    if tasks_by_worker.is_empty() {
        return;
    }
    let tasks: u32 = tasks_by_worker.values().sum();
    let workers: Vec<&str> = tasks_by_worker.keys().map(WorkerName::as_str).collect();
    log::info!(step:% = key, queue:% = record.queue.prefix, tasks = tasks, workers:? = workers; "tasks placed");
}
