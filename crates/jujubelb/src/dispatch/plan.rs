//! The regular pass: lost workers, stops, and starts of what is ready.

use arcstr::ArcStr;
use indexmap::IndexMap;

use super::job::TaskState;
use super::job_spec::{JobRecord, Run, Step, StepKey, TaskKey};
use super::placement::{self, Need};
use super::rank::{self, Rank};
use super::worker::{Held, Phase};
use super::{Dispatcher, Order, UNREACHABLE_WORKER_WAIT, WorkerOrder};
use crate::model::{Resources, ServiceName, Span, Time, WallTime, WorkerName, WorkerTime};

/// Time after which a stop without an end is sent again, on top of the longest
/// time that a stop takes.
const STOP_RETRY: Span = Span::from_millis(600);

/// How long a lasting task waits before it takes the room that is kept for
/// short ones.
const PATIENCE: Span = Span::from_millis(1_500);

/// How long a lasting task waits at most for the sake of short ones. It has to run
/// again 6 s after its last run.
const LONG_WAIT: Span = Span::from_millis(3_500);

/// Room of all workers, in percent, that lasting tasks leave to short ones until
/// then. A short task earns several times as much for its callers in the time for
/// which it needs a core.
const SPARE_ROOM: u64 = 8;

/// Time without progress after which a run is stopped. A task of seconds that
/// works at a tenth of its speed still shows progress several times in it.
const STALL: Span = Span::from_millis(2_500);

/// Covers the way of the last look of a leader that has resigned.
const LEASE_MARGIN: Span = Span::from_millis(300);

/// How long before a worker leaves its tasks are stopped, on top of the time
/// that the stop takes, so that their last checkpoint is listed in time.
const LEAVE_MARGIN: Span = Span::from_millis(700);

impl Dispatcher {
    /// One pass over everything that may have to be ordered now.
    pub fn plan(&mut self, wall: WallTime, now: Time) -> Vec<WorkerOrder> {
        if self.deposed {
            return Vec::new();
        }
        self.latest = now;
        self.begin_due(wall, now);
        self.expire_leases(now);
        self.settle(now);
        let mut orders = Vec::new();
        self.leave(now);
        self.find_stalled(now);
        self.fade_headroom(now);
        self.stop_unwanted(&mut orders, now);
        self.pace(&mut orders, now);
        self.start_ready(&mut orders, now);
        orders
    }

    /// Gives up what ran on workers whose lease has surely ended, and forgets
    /// workers that are gone.
    fn expire_leases(&mut self, now: Time) {
        let mut lost = Vec::new();
        for (name, worker) in &self.workers {
            if !worker.runs.is_empty() && worker.is_lapsed(now) {
                let runs = worker.runs.iter();
                let given_up = runs
                    .filter(|(_, h)| h.phase != Phase::Starting)
                    .map(|(t, h)| (name.clone(), *t, h.run));
                lost.extend(given_up);
            }
        }
        for (name, task, run) in lost {
            self.lose(&name, task, run, "the worker's lease has ended", now);
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.sum_up();
            }
        }
        let spent: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, w)| w.is_spent(self.settled))
            .map(|(n, _)| n.clone())
            .collect();
        for name in spent {
            log::info!(worker:% = name; "worker forgotten");
            self.workers.shift_remove(&name);
            self.roster_dirty = true;
        }
    }

    /// Decides whether tasks of earlier terms may run unseen.
    fn settle(&mut self, now: Time) {
        if self.settled {
            return;
        }
        let lease = self.bounds.max_lease.scale_up(103, 100) + LEASE_MARGIN;
        let wait = match self.term.predecessor_stopped {
            true => lease,
            false => UNREACHABLE_WORKER_WAIT + lease,
        };
        let suspects = self
            .workers
            .values()
            .filter(|w| w.rostered && !w.fenced)
            .count();
        let waited = now.since(self.started);
        if suspects == 0 || waited > wait {
            log::info!(waited:% = waited, suspects = suspects; "tasks of earlier terms may start");
            self.settled = true;
            for job in self.jobs.values_mut() {
                job.inherited = false;
                for step in job.occurrences.iter_mut().flat_map(|o| &mut o.steps) {
                    for task in &mut step.tasks {
                        task.inherited = false;
                    }
                }
            }
        }
    }

    /// Marks what has to be taken off workers that leave: lasting tasks at
    /// once, others shortly before the worker goes.
    fn leave(&mut self, now: Time) {
        let margin = self.bounds.max_stop + LEAVE_MARGIN;
        for worker in self.workers.values_mut() {
            let Some(leaves) = worker.leaves else {
                continue;
            };
            let soon = now + margin >= leaves;
            for (task, held) in &mut worker.runs {
                let step = self
                    .jobs
                    .get(&task.step.job)
                    .and_then(|j| j.record.spec.steps.get(usize::from(task.step.step)));
                let long_running = step.is_some_and(|s| s.long_running);
                let saves = step.is_some_and(|s| s.checkpoints);
                if held.phase == Phase::Running
                    && !held.unwanted
                    && (long_running || (saves && soon))
                {
                    log::info!(task:% = task, worker:% = worker.report.name, long_running = long_running; "stopping a run because its worker leaves");
                    held.unwanted = true;
                }
            }
        }
    }

    /// Marks runs that make no progress; other workers may do better.
    fn find_stalled(&mut self, now: Time) {
        for worker in self.workers.values_mut() {
            let mut stalled = Vec::new();
            for (task, held) in &mut worker.runs {
                let works = held.phase == Phase::Running && held.pace > 0 && !held.unwanted;
                let ends = self
                    .jobs
                    .get(&task.step.job)
                    .and_then(|j| j.record.spec.steps.get(usize::from(task.step.step)))
                    .is_some_and(|s| !s.long_running && !s.gang);
                if works && ends && worker.answered.since(held.progressed.max(held.paced)) > STALL {
                    log::warn!(task:% = task, worker:% = worker.report.name, percent = held.percent, age:% = now.since(held.since); "stopping a run that makes no progress");
                    held.unwanted = true;
                    stalled.push(task.step.job);
                }
            }
            for _ in stalled {
                if worker.health.overdue(now) {
                    log::warn!(worker:% = worker.report.name; "worker taken for sick: several runs make no progress");
                }
            }
        }
    }

    fn stop_unwanted(&mut self, orders: &mut Vec<WorkerOrder>, now: Time) {
        let retry = self.bounds.max_stop + STOP_RETRY;
        for (name, worker) in &mut self.workers {
            for (task, held) in &mut worker.runs {
                let wanted = !held.unwanted && held.phase != Phase::Unsure;
                if wanted || held.phase == Phase::Starting {
                    continue;
                }
                if held.stop_sent.is_some_and(|at| now.since(at) < retry) {
                    continue;
                }
                held.stop_sent = Some(now);
                orders.push(WorkerOrder {
                    worker: name.clone(),
                    address: worker.report.address,
                    order: Order::Stop {
                        task: *task,
                        run: held.run,
                    },
                });
            }
        }
    }

    fn start_ready(&mut self, orders: &mut Vec<WorkerOrder>, now: Time) {
        let mut ranked: Vec<(Rank, StepKey)> = Vec::with_capacity(self.ready.len());
        let mut idle = Vec::new();
        for key in &self.ready {
            let Some(job) = self.jobs.get(&key.job).filter(|j| j.outcome.is_none()) else {
                idle.push(*key);
                continue;
            };
            let step = usize::from(key.step);
            let occurrence = job.occurrence(key.occurrence);
            let open = occurrence.filter(|o| {
                o.steps.get(step).is_some_and(|s| s.waiting > 0) && job.is_step_open(o, step)
            });
            match open {
                Some(occurrence) => ranked.push((rank::rank(job, occurrence, step, now), *key)),
                None => idle.push(*key),
            }
        }
        for key in idle {
            self.ready.shift_remove(&key);
        }
        ranked.sort_unstable_by(|(a, _), (b, _)| rank::compare(a, b));
        let mut full = Full::default();
        for (_, key) in ranked {
            self.start_step(key, &mut full, orders, now);
        }
    }

    /// Starts as many tasks of a step as find room.
    fn start_step(
        &mut self,
        key: StepKey,
        full: &mut Full,
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
            .and_then(|j| j.step(key.occurrence, key.step))
        else {
            return;
        };
        let startable = |t: &super::job::Task| {
            t.state == TaskState::Waiting && t.after <= now && (!t.inherited || self.settled)
        };
        let waiting: Vec<u32> = (0u32..)
            .zip(&state.tasks)
            .filter(|(_, t)| startable(t))
            .map(|(i, _)| i)
            .collect();
        if step.gang {
            if waiting.len() == step.count as usize {
                self.start_gang(key, &record, step, orders, now);
            }
            return;
        }
        let waiting_for = |t: &super::job::Task| now.since(t.since);
        let longest = state.tasks.iter().filter(|t| startable(t)).map(waiting_for);
        let longest = longest.max().unwrap_or_default();
        let patient = longest <= PATIENCE || (longest <= LONG_WAIT && !self.has_spare_room());
        if full.covers(step, &record, patient) {
            return;
        }
        let mut placed: IndexMap<WorkerName, u32> = IndexMap::new();
        for index in waiting {
            let need = Need {
                key,
                step,
                service: &record.queue.service,
                rack: None,
                patient,
                advised: record.queue.ticket_lifetime.is_some(),
            };
            let Some(worker) = self.choose(&need, now) else {
                full.add(step, &record, patient);
                break;
            };
            let task = TaskKey { step: key, index };
            let run = self.next_run(&[task]);
            self.start(&worker, task, run, &record, step, orders, now);
            *placed.entry(worker).or_default() += 1;
        }
        log_placed(key, &record, &placed);
    }

    /// Whether the workers in use together have more room than is kept for short
    /// tasks. Lasting tasks that wait may then take what single workers keep:
    /// a short task finds room on another one.
    fn has_spare_room(&self) -> bool {
        let used = self.workers.values().filter(|w| w.fenced && w.listed);
        let (room, counted) = used.fold((0, 0), |(room, counted), w| {
            (
                room + w.report.capacity.cpu.0,
                counted + w.load.counted.cpu.0,
            )
        });
        counted * 100 < room * (100 - SPARE_ROOM)
    }

    /// Starts all tasks of a gang, or none.
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
        for rack in racks {
            let Some(chosen) = self.reserve_gang(key, record, step, rack.as_deref(), now) else {
                continue;
            };
            let tasks: Vec<TaskKey> = (0..step.count)
                .map(|index| TaskKey { step: key, index })
                .collect();
            let run = self.next_run(&tasks);
            let mut placed: IndexMap<WorkerName, u32> = IndexMap::new();
            for (task, worker) in tasks.into_iter().zip(chosen) {
                self.start(&worker, task, run, record, step, orders, now);
                *placed.entry(worker).or_default() += 1;
            }
            log_placed(key, record, &placed);
            return;
        }
    }

    /// Finds a worker for each member, without starting any.
    fn reserve_gang(
        &mut self,
        key: StepKey,
        record: &JobRecord,
        step: &Step,
        rack: Option<&str>,
        now: Time,
    ) -> Option<Vec<WorkerName>> {
        let need = Need {
            key,
            step,
            service: &record.queue.service,
            rack,
            patient: false,
            advised: record.queue.ticket_lifetime.is_some(),
        };
        let mut chosen = Vec::new();
        for index in 0..step.count {
            let Some(name) = self.choose(&need, now) else {
                break;
            };
            let held = self.held(Run(0), step, WorkerTime::ZERO, now);
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.runs.insert(TaskKey { step: key, index }, held);
                worker.sum_up();
            }
            chosen.push(name);
        }
        for (index, name) in (0u32..).zip(&chosen) {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.runs.shift_remove(&TaskKey { step: key, index });
                worker.sum_up();
            }
        }
        (chosen.len() == step.count as usize).then_some(chosen)
    }

    /// The best worker that could take a task now.
    fn choose(&self, need: &Need<'_>, now: Time) -> Option<WorkerName> {
        let mut best: Option<(f64, &WorkerName)> = None;
        for (name, worker) in &self.workers {
            if !placement::admits(worker, need, &self.evacuated, now) {
                continue;
            }
            if need.advised && self.ticket(need.key, worker, now).is_none() {
                continue;
            }
            let mut cost = placement::cost(worker, need);
            if need.step.best_effort {
                match placement::burden(worker, need, &self.slopes, &self.headrooms) {
                    Some(burden) => cost += burden,
                    None => continue,
                }
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }

    /// The ticket for a step on a worker.
    fn ticket(&self, step: StepKey, worker: &super::worker::Worker, now: Time) -> Option<&ArcStr> {
        self.permits.get(&step)?.ticket(worker, now)
    }

    /// The number for the next run of these tasks, which start together.
    fn next_run(&self, tasks: &[TaskKey]) -> Run {
        let last = |t: &TaskKey| Some(self.jobs.get(&t.step.job)?.task(*t)?.run);
        let highest = tasks.iter().filter_map(last).max().unwrap_or_default();
        Run(highest.0 + 1).max(self.first_run())
    }

    fn held(&self, run: Run, step: &Step, deadline: WorkerTime, now: Time) -> Held {
        Held {
            run,
            phase: Phase::Starting,
            size: step.size,
            best_effort: step.best_effort,
            image: step.image.clone().unwrap_or_default(),
            target: step.target,
            since: now,
            confirmed: Time::ZERO,
            deadline,
            stop_sent: None,
            stop_done: None,
            unwanted: false,
            percent: 0,
            progressed: now,
            usage: 0,
            pace: 100,
            earlier: 100,
            paced: Time::ZERO,
            harmed: None,
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one order")]
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
        let Some(clock) = self.workers.get(name).and_then(|w| w.clock_now(now)) else {
            return;
        };
        let deadline = self.start_deadline(clock);
        let held = self.held(run, step, deadline, now);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.lease = worker.lease.max(deadline);
        worker.load.add(&held);
        if step.best_effort {
            placement::strain(worker, &held, &self.slopes);
        }
        worker.runs.insert(task, held);
        if step.target.is_some() {
            placement::sum_strains(worker, &self.slopes);
        }
        let address = worker.report.address;
        let ticket = self
            .workers
            .get(name)
            .and_then(|w| self.ticket(task.step, w, now))
            .cloned();
        let mut checkpoint = None;
        if let Some(known) = self
            .jobs
            .get_mut(&task.step.job)
            .and_then(|j| j.task_mut(task))
        {
            known.run = run;
            checkpoint.clone_from(&known.checkpoint);
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

/// What found no room in this pass.
#[derive(Debug)]
struct Unplaced {
    size: Resources,
    /// Whether the search left room for short tasks, so that it says nothing of
    /// tasks that may take it.
    patient: bool,
    best_effort: bool,
    /// Of a filling task, which may be unwelcome where others are not.
    image: Option<ArcStr>,
    service: ServiceName,
}

/// Sizes that found no room in this pass; a larger one needs no search.
#[derive(Debug, Default)]
pub(super) struct Full {
    sizes: Vec<Unplaced>,
}

impl Full {
    pub(super) fn covers(&self, step: &Step, record: &JobRecord, patient: bool) -> bool {
        self.sizes.iter().any(|known| {
            known.size.fits(&step.size)
                && (patient || !known.patient)
                && known.best_effort == step.best_effort
                && known.image.as_ref() == step.image.as_ref().filter(|_| step.best_effort)
                && known.service == record.queue.service
        })
    }

    pub(super) fn add(&mut self, step: &Step, record: &JobRecord, patient: bool) {
        let anywhere = step.label.is_none() && step.per_worker.is_none();
        if anywhere {
            self.sizes.push(Unplaced {
                size: step.size,
                patient,
                best_effort: step.best_effort,
                image: step.image.clone().filter(|_| step.best_effort),
                service: record.queue.service.clone(),
            });
        }
    }
}

fn log_placed(key: StepKey, record: &JobRecord, placed: &IndexMap<WorkerName, u32>) {
    if placed.is_empty() {
        return;
    }
    let tasks: u32 = placed.values().sum();
    let workers: Vec<&str> = placed.keys().map(WorkerName::as_str).collect();
    log::info!(step:% = key, queue:% = record.queue.prefix, tasks = tasks, workers:? = workers; "tasks placed");
}
