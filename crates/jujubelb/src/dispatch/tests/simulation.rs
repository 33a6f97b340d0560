//! Workers of the published behaviour in simulated time, and a leader that is
//! driven as the process drives it. Every start is checked: one run of a task
//! at a time, no start after a good end, no worker over its room.

use std::collections::VecDeque;

use arcstr::ArcStr;
use indexmap::{IndexMap, IndexSet};

use crate::dispatch::{
    Bounds, Dispatcher, Incarnation, InterferenceModel, JobKey, JobRecord, JobSpec, Order,
    PollReply, Progress, QueueSettings, Refusal, Roster, Run, RunCompletion, RunOutcome, RunStatus,
    StartReply, Step, StepKey, StopReply, TaskKey, Term, TicketGrant, WorkerOrder, WorkerReport,
};
use crate::model::{
    Bytes, DomainName, Resources, ServiceName, Span, Time, WallTime, WorkerName, WorkerTime,
};

/// Time of one step of the world.
const STEP: Span = Span::from_millis(20);

/// Steps that a worker's figures cover: half a second.
const FIGURE_STEPS: usize = 25;

/// Time between two looks at a worker without news.
const LOOK_EVERY: Span = Span::from_millis(500);

pub(crate) const BOUNDS: Bounds = Bounds {
    max_lease: Span::from_secs(6),
    max_stop: Span::from_millis(400),
    max_early_start: Span::from_millis(250),
    remote_factor: 2.0,
};

/// How a fake worker treats what arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// Nothing arrives and nothing is answered.
    Cut,
    /// The process is gone and connections are refused.
    Dead,
    /// Starts are not answered and take effect this much later.
    Late(Span),
    /// Everything that is started fails at once.
    Failing,
    /// What is started makes no progress.
    Hanging,
    /// Every start is refused for want of room.
    Full,
}

#[derive(Debug, Clone)]
struct FakeRun {
    run: Run,
    size: Resources,
    best_effort: bool,
    image: ArcStr,
    target: Option<Span>,
    pace: u32,
    /// Work left at full pace; `None` for lasting tasks.
    left: Option<Span>,
    stopping: Option<Time>,
}

#[derive(Debug)]
pub(crate) struct FakeWorker {
    pub(crate) report: WorkerReport,
    pub(crate) fault: Fault,
    pub(crate) incarnation: u64,
    token: u64,
    deadline: WorkerTime,
    runs: IndexMap<TaskKey, FakeRun>,
    ends: Vec<RunCompletion>,
    count: u64,
    barred: IndexMap<TaskKey, Run>,
    late: Vec<(Time, TaskKey, Run, WorkerTime)>,
    looked: Time,
    news: bool,
    /// What fillers took in each of the last steps.
    presses: VecDeque<u32>,
}

impl FakeWorker {
    /// Each worker's clock has its own start.
    fn clock(&self, now: Time) -> WorkerTime {
        WorkerTime::from_micros(
            now.since(Time::from_millis(self.incarnation)).as_micros() + 7_000_000,
        )
    }

    fn end(&mut self, task: TaskKey, outcome: RunOutcome) {
        if let Some(run) = self.runs.shift_remove(&task) {
            self.count += 1;
            self.barred.insert(task, run.run);
            self.ends.push(RunCompletion {
                sequence: self.count,
                task,
                run: run.run,
                outcome,
                checkpoint: None,
            });
            self.news = true;
        }
    }

    fn used(&self) -> Resources {
        self.runs
            .values()
            .map(|r| match r.best_effort {
                true => Resources::new(0, r.size.memory.0, 0),
                false => r.size,
            })
            .sum()
    }

    /// Takes note of what the fillers take from serving tasks, in percent of the
    /// worker: a heavy one at full pace more than a target allows, a light one
    /// nothing.
    fn press(&mut self) {
        let press = |r: &FakeRun| match r.image.as_str() {
            "heavy" => 8 * r.pace,
            "light" => 0,
            _ => r.pace,
        };
        let press: u32 = self
            .runs
            .values()
            .filter(|r| r.best_effort)
            .map(press)
            .sum();
        self.presses.push_back((press / 10).min(97));
        if self.presses.len() > FIGURE_STEPS {
            self.presses.pop_front();
        }
    }

    /// Tail of a serving task's response times over the last half second. It
    /// grows with the inverse of what is left idle.
    fn tail(&self, target: Span) -> u64 {
        let sum: u32 = self.presses.iter().sum();
        let mean = sum / (self.presses.len() as u32).max(1);
        target.as_millis() * 30 / u64::from(100 - mean)
    }
}

pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) workers: IndexMap<WorkerName, FakeWorker>,
    pub(crate) jobs: IndexMap<JobKey, JobRecord>,
    /// Durable states, as the store would have them.
    pub(crate) states: IndexMap<JobKey, Progress>,
    pub(crate) roster: Roster,
    pub(crate) model: InterferenceModel,
    pub(crate) done: IndexSet<TaskKey>,
    pub(crate) starts: Vec<(Time, WorkerName, TaskKey, Run)>,
    pub(crate) completed: IndexMap<JobKey, Time>,
    /// Whether the store takes writes.
    pub(crate) store_up: bool,
    /// Tickets by their text: the step, the worker, the end.
    pub(crate) tickets: IndexMap<ArcStr, (StepKey, WorkerName, Time)>,
    /// Starts that were refused for their ticket.
    pub(crate) bad_tickets: usize,
    cancelled: IndexSet<JobKey>,
    /// Since when a worker's serving tasks are above their target.
    harmed: IndexMap<WorkerName, Time>,
    /// The longest time that serving tasks were above their target.
    pub(crate) longest_harm: Span,
}

pub(crate) fn step(count: u32, cores: u64, estimate: Span) -> Step {
    Step {
        count,
        size: Resources::new(cores * 1_000, Bytes::from_gib(2).0, 0),
        estimate,
        ..Step::default()
    }
}

pub(crate) fn long_running(count: u32, cores: u64) -> Step {
    Step {
        long_running: true,
        target: Some(Span::from_millis(100)),
        ..step(count, cores, Span::from_millis(300))
    }
}

pub(crate) fn job(priority: u8, steps: Vec<Step>) -> JobRecord {
    JobRecord {
        queue: QueueSettings {
            host: ArcStr::from("desk.example"),
            prefix: ArcStr::from("/work/"),
            service: ServiceName::new("desk"),
            priority,
            attempts: 3,
            slack_factor: 2.0,
            target_duration: Span::from_millis(500),
            ticket_lifetime: None,
        },
        spec: JobSpec {
            payload: ArcStr::from("payload"),
            steps,
            schedule: None,
        },
        accepted: WallTime::from_micros(0),
    }
}

impl World {
    /// A world with workers of 64 cores in racks of four, all known to a first leader.
    pub(crate) fn new(workers: usize) -> Self {
        let now = Time::from_millis(1_000);
        let term = Term {
            token: 10,
            number: 0,
            predecessor_stopped: false,
        };
        let mut world = Self {
            now,
            dispatcher: Dispatcher::new(
                term,
                BOUNDS,
                &Roster::default(),
                InterferenceModel::default(),
                now,
            ),
            workers: IndexMap::new(),
            jobs: IndexMap::new(),
            states: IndexMap::new(),
            roster: Roster::default(),
            model: InterferenceModel::default(),
            done: IndexSet::new(),
            starts: Vec::new(),
            completed: IndexMap::new(),
            store_up: true,
            tickets: IndexMap::new(),
            bad_tickets: 0,
            cancelled: IndexSet::new(),
            harmed: IndexMap::new(),
            longest_harm: Span::ZERO,
        };
        for i in 0..workers {
            world.add_worker(i);
        }
        world.list();
        world.run(Span::from_millis(200));
        world
    }

    pub(crate) fn add_worker(&mut self, i: usize) {
        let name = WorkerName::new(format!("w{i}"));
        let report = WorkerReport {
            name: name.clone(),
            address: ([10, 0, 0, i as u8], 80).into(),
            service: ServiceName::new("desk"),
            domain: DomainName::new(["a", "b"][i % 2]),
            labels: vec![ArcStr::from("kind"), ArcStr::from(format!("r{}", i / 4))],
            rack: Some(ArcStr::from(format!("r{}", i / 4))),
            capacity: Resources::new(64_000, Bytes::from_gib(256).0, 0),
            drain_remaining: None,
            incarnation: Some(Incarnation(1)),
        };
        let worker = FakeWorker {
            report,
            fault: Fault::None,
            incarnation: 1,
            token: 0,
            deadline: WorkerTime::ZERO,
            runs: IndexMap::new(),
            ends: Vec::new(),
            count: 0,
            barred: IndexMap::new(),
            late: Vec::new(),
            looked: Time::ZERO,
            news: false,
            presses: VecDeque::new(),
        };
        self.workers.insert(name, worker);
    }

    /// Lists all workers that are up.
    pub(crate) fn list(&mut self) {
        let listed = self
            .workers
            .values()
            .filter(|w| w.fault != Fault::Dead)
            .map(|w| WorkerReport {
                incarnation: Some(Incarnation(w.incarnation)),
                ..w.report.clone()
            })
            .collect();
        self.dispatcher.workers_listed(listed, self.now);
    }

    pub(crate) fn worker(&mut self, i: usize) -> &mut FakeWorker {
        &mut self.workers[i]
    }

    pub(crate) fn submit(&mut self, id: u64, record: JobRecord) -> JobKey {
        let key = JobKey(id);
        let wall = self.wall();
        let record = JobRecord {
            accepted: wall,
            ..record
        };
        self.jobs.insert(key, record.clone());
        self.dispatcher
            .accept(key, record, None, false, wall, self.now);
        key
    }

    pub(crate) fn cancel(&mut self, key: JobKey) {
        self.cancelled.insert(key);
        self.dispatcher.cancel(key, self.now);
    }

    pub(crate) fn wall(&self) -> WallTime {
        WallTime::from_micros(1_700_000_000_000_000 + self.now.as_micros())
    }

    /// A new leader with what the store has; the old one is forgotten.
    pub(crate) fn change_leader(&mut self) {
        self.follow_leader(false);
    }

    /// The same; `predecessor_stopped` tells that the old one has stopped for certain.
    pub(crate) fn follow_leader(&mut self, predecessor_stopped: bool) {
        let old = self.dispatcher.term();
        let term = Term {
            token: old.token + 10,
            number: old.number + 1,
            predecessor_stopped,
        };
        self.dispatcher = Dispatcher::new(term, BOUNDS, &self.roster, self.model.clone(), self.now);
        for (key, record) in &self.jobs {
            let progress = self.states.get(key);
            let wall = WallTime::from_micros(1_700_000_000_000_000 + self.now.as_micros());
            self.dispatcher
                .accept(*key, record.clone(), progress, true, wall, self.now);
        }
        for key in &self.cancelled {
            self.dispatcher.cancel(*key, self.now);
        }
        self.list();
    }

    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.work();
            self.look();
            self.write();
            let orders = self.dispatcher.plan(self.wall(), self.now);
            for order in orders {
                self.order(&order);
            }
        }
    }

    /// A policy service that lets steps run on the workers with these numbers.
    pub(crate) fn advise(&mut self, allowed: &[usize], lifetime: Span) {
        let now = self.now;
        let Some(question) = self.dispatcher.next_ticket_request(now) else {
            return;
        };
        let names: Vec<WorkerName> = allowed
            .iter()
            .filter_map(|&i| Some(self.workers.get_index(i)?.0.clone()))
            .collect();
        let mut tickets = Vec::new();
        for name in question.workers.iter().filter(|w| names.contains(w)) {
            let text = ArcStr::from(format!("t{}", self.tickets.len()));
            let ticket = (question.step, name.clone(), now + lifetime);
            self.tickets.insert(text.clone(), ticket);
            tickets.push((name.clone(), text));
        }
        self.dispatcher
            .tickets_granted(&question, &TicketGrant { tickets, lifetime }, now);
    }

    /// Number of tasks of a job that run now.
    pub(crate) fn running(&self, key: JobKey) -> usize {
        self.workers
            .values()
            .filter(|w| w.fault != Fault::Dead)
            .flat_map(|w| w.runs.keys())
            .filter(|t| t.step.job == key)
            .count()
    }

    fn work(&mut self) {
        let now = self.now;
        for (name, worker) in &mut self.workers {
            worker.press();
            let target = worker.runs.values().find_map(|r| r.target);
            if target.is_some_and(|t| worker.tail(t) > t.as_millis()) {
                let since = *self.harmed.entry(name.clone()).or_insert(now);
                self.longest_harm = self.longest_harm.max(now.since(since));
            } else {
                self.harmed.shift_remove(name);
            }
            if worker.fault == Fault::Dead {
                continue;
            }
            if worker.clock(now) > worker.deadline {
                for task in worker.runs.keys().copied().collect::<Vec<_>>() {
                    worker.end(task, RunOutcome::Lapsed);
                }
            }
            let mut ended = Vec::new();
            for (task, run) in &mut worker.runs {
                if run.stopping.is_some_and(|at| now >= at) {
                    ended.push((*task, RunOutcome::Stopped));
                } else if worker.fault == Fault::Failing {
                    ended.push((*task, RunOutcome::Failed));
                } else if let Some(left) = &mut run.left
                    && worker.fault != Fault::Hanging
                {
                    *left = left.saturating_sub(STEP.scale_up(run.pace.into(), 100));
                    if *left == Span::ZERO {
                        ended.push((*task, RunOutcome::Done));
                    }
                }
            }
            for (task, how) in ended {
                worker.end(task, how);
                if how == RunOutcome::Done {
                    self.done.insert(task);
                }
            }
        }
        let due: Vec<(WorkerName, TaskKey, Run, WorkerTime)> = self
            .workers
            .iter_mut()
            .flat_map(|(name, w)| {
                let (ready, rest) = std::mem::take(&mut w.late)
                    .into_iter()
                    .partition::<Vec<_>, _>(|(at, ..)| *at <= now);
                w.late = rest;
                let name = name.clone();
                ready
                    .into_iter()
                    .map(move |(_, task, run, deadline)| (name.clone(), task, run, deadline))
            })
            .collect();
        for (name, task, run, deadline) in due {
            let token = self.workers[&name].token;
            let _ = self.start(&name, task, run, deadline, token);
        }
    }

    fn look(&mut self) {
        for name in self.dispatcher.workers() {
            let now = self.now;
            let due = self
                .workers
                .get(&name)
                .is_some_and(|w| w.news || now.since(w.looked) >= LOOK_EVERY);
            if due {
                self.look_at_worker(&name);
            }
        }
    }

    /// One look, now.
    pub(crate) fn look_at(&mut self, i: usize) {
        let name = self.workers.get_index(i).unwrap().0.clone();
        self.look_at_worker(&name);
    }

    fn look_at_worker(&mut self, name: &WorkerName) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.looked = now;
            let Some(request) = self.dispatcher.poll(name, now) else {
                return;
            };
            match worker.fault {
                Fault::Cut => {
                    self.dispatcher.poll_failed(name, &request, false);
                    return;
                }
                Fault::Dead => {
                    self.dispatcher.poll_failed(name, &request, true);
                    return;
                }
                _ => {}
            }
            let token = self.dispatcher.term().token;
            if token < worker.token {
                self.dispatcher.poll_fenced(name);
                return;
            }
            worker.news = false;
            worker.token = token;
            if let Some(deadline) = request.lease_deadline {
                let most = worker.clock(now) + BOUNDS.max_lease;
                worker.deadline = worker.deadline.max(deadline.min(most));
            }
            worker.ends.retain(|e| e.sequence > request.acknowledged);
            let reply = PollReply {
                incarnation: Some(Incarnation(worker.incarnation)),
                clock: worker.clock(now),
                running: worker
                    .runs
                    .iter()
                    .map(|(task, run)| RunStatus {
                        task: *task,
                        run: run.run,
                        checkpoint: None,
                        percent: run.left.map_or(100, |left| (left.as_millis() % 101) as u32),
                        usage: run.target.map_or(run.size.cpu.0, |t| worker.tail(t)),
                    })
                    .collect(),
                finished: worker.ends.clone(),
            };
            self.dispatcher.poll_answered(name, now, &reply, now);
        }
    }

    fn write(&mut self) {
        if !self.store_up {
            return;
        }
        if let Some(commit) = self.dispatcher.take_commit(self.now) {
            self.states.extend(commit.jobs.iter().cloned());
            if let Some(model) = &commit.model {
                self.model = model.clone();
            }
            if let Some(roster) = &commit.roster {
                self.roster = roster.clone();
            }
            self.dispatcher.committed(&commit, self.now);
        }
        for key in self.jobs.keys() {
            if self.dispatcher.job_status(*key) == Some(crate::dispatch::JobStatus::Completed) {
                self.completed.entry(*key).or_insert(self.now);
            }
        }
    }

    fn order(&mut self, dispatch: &WorkerOrder) {
        let name = &dispatch.worker;
        let now = self.now;
        let token = self.dispatcher.term().token;
        let fault = self.workers[name].fault;
        match &dispatch.order {
            Order::Start {
                task,
                run,
                deadline,
                ticket,
                ..
            } => {
                let policy = self.jobs[&task.step.job].queue.ticket_lifetime.is_some();
                let held = ticket.as_ref().and_then(|t| self.tickets.get(t));
                let good = held.is_some_and(|(step, worker, until)| {
                    *step == task.step && worker == name && now < *until
                });
                let reply = match fault {
                    _ if policy && !good => {
                        self.bad_tickets += 1;
                        StartReply::Refused(Refusal::Ticket)
                    }
                    Fault::Dead => StartReply::NotSent,
                    Fault::Cut => StartReply::NoAnswer,
                    Fault::Late(delay) => {
                        let late = (now + delay, *task, *run, *deadline);
                        self.workers[name].late.push(late);
                        StartReply::NoAnswer
                    }
                    Fault::Full => StartReply::Refused(Refusal::Room),
                    _ => self.start(name, *task, *run, *deadline, token),
                };
                self.dispatcher
                    .start_answered(name, *task, *run, reply, now);
            }
            Order::Stop { task, run } => {
                let worker = &mut self.workers[name];
                let reply = match fault {
                    Fault::Dead | Fault::Cut => StopReply::NoAnswer,
                    _ => {
                        let barred = worker.barred.entry(*task).or_default();
                        *barred = (*barred).max(*run);
                        if let Some(held) = worker.runs.get_mut(task).filter(|r| r.run == *run) {
                            held.stopping.get_or_insert(now + STEP);
                        }
                        StopReply::Stopped
                    }
                };
                self.dispatcher.stop_answered(name, *task, *run, reply, now);
            }
            Order::Pace { task, run, percent } => {
                if let Some(held) = self.workers[name].runs.get_mut(task)
                    && held.run == *run
                {
                    held.pace = *percent;
                }
            }
        }
    }

    fn start(
        &mut self,
        name: &WorkerName,
        task: TaskKey,
        run: Run,
        deadline: WorkerTime,
        token: u64,
    ) -> StartReply {
        let record = &self.jobs[&task.step.job];
        let step = record.spec.steps[usize::from(task.step.step)].clone();
        let now = self.now;
        let worker = &self.workers[name];
        if token < worker.token {
            return StartReply::Refused(Refusal::Fence);
        }
        if worker.barred.get(&task).is_some_and(|b| run <= *b) {
            return StartReply::Refused(Refusal::Old);
        }
        if worker.clock(now) > deadline {
            return StartReply::Refused(Refusal::Late);
        }
        let mut size = step.size;
        if step.best_effort {
            size.cpu.0 = 0;
        }
        if !(worker.used() + size).fits(&worker.report.capacity) {
            return StartReply::Refused(Refusal::Room);
        }
        let elsewhere = self
            .workers
            .values()
            .filter(|w| w.fault != Fault::Dead)
            .find(|w| w.runs.contains_key(&task));
        assert!(elsewhere.is_none(), "{task} runs twice at {now:?}");
        assert!(
            step.long_running || !self.done.contains(&task),
            "{task} starts after its good end"
        );
        let worker = &mut self.workers[name];
        worker.deadline = worker.deadline.max(deadline);
        worker.runs.insert(
            task,
            FakeRun {
                run,
                size: step.size,
                best_effort: step.best_effort,
                image: step.image.unwrap_or_default(),
                target: step.target,
                pace: 100,
                left: (!step.long_running).then_some(step.estimate),
                stopping: None,
            },
        );
        self.starts.push((now, name.clone(), task, run));
        StartReply::Started
    }

    /// The worker's process dies; what ran is gone.
    pub(crate) fn kill(&mut self, i: usize) {
        let worker = self.worker(i);
        worker.fault = Fault::Dead;
        worker.runs.clear();
        worker.ends.clear();
        worker.late.clear();
    }

    /// A new incarnation of a dead worker.
    pub(crate) fn revive(&mut self, i: usize) {
        let incarnation = self.now.as_micros() / 1_000;
        let worker = self.worker(i);
        worker.fault = Fault::None;
        worker.incarnation = incarnation;
        worker.token = 0;
        worker.deadline = WorkerTime::ZERO;
        worker.count = 0;
        worker.barred.clear();
    }
}
