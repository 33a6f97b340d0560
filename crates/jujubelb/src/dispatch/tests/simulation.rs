//! Simulated workers and a leader in simulated time.
//!
//! The workers follow the published worker protocol, and the dispatcher is driven as the
//! leader process drives it. Every start is checked: a task has one run at a time, does
//! not start after it has succeeded, and a worker's capacity is not exceeded. A success no
//! longer counts if the worker's lease has expired before it was acknowledged, but no task
//! starts after a success of it was acknowledged. Each start is also checked against the limit of
//! its customer, over all workers and with the runs that no leader knows of.

use std::collections::VecDeque;

use arcstr::ArcStr;
use indexmap::{IndexMap, IndexSet};

use crate::dispatch::poll::MAX_COMPLETIONS_PER_ANSWER;
use crate::dispatch::{
    Bounds, Commit, CustomerPolicy, Dispatcher, EarlierLeaders, Incarnation, InterferenceModel,
    JobKey, JobRecord, JobSpec, LeaderTerm, Order, PollReply, PollRequest, Progress, QueueSettings,
    Refusal, Roster, Run, RunCompletion, RunOutcome, RunStatus, StartAnswer, StartReply, Step,
    StepKey, StopReply, Succession, TaskKey, Term, TicketGrant, WorkerOrder, WorkerReport,
};
use crate::model::{
    Bytes, CustomerName, DomainName, Resources, ServiceName, Span, Time, WallTime, WorkerName,
    WorkerTime,
};

/// Simulated time per step.
pub(crate) const TIME_STEP: Span = Span::from_millis(20);

/// Number of steps that a worker's latency report covers, half a second.
const LATENCY_WINDOW_STEPS: usize = 25;

/// Difference between the tokens of two terms. The revisions of a leader's writes lie between
/// its token and that of the next leader.
pub(crate) const REVISIONS_PER_TERM: u64 = 1_000_000;

/// Time between two polls of a worker without new completions.
const POLL_INTERVAL: Span = Span::from_millis(500);

/// Time in which starts that were ordered under an earlier limit may still be carried out: they are
/// valid for 2.5 s.
const LIMIT_CHANGE: Span = Span::from_secs(4);

pub(crate) const BOUNDS: Bounds = Bounds {
    max_lease: Span::from_secs(6),
    max_stop: Span::from_millis(400),
    max_early_start: Span::from_millis(250),
    remote_factor: 2.0,
    evacuation: Span::from_secs(5),
    drain: Span::from_millis(2_500),
};

/// Reading of the clocks of the first incarnations when they start.
const FIRST_CLOCK: WorkerTime = WorkerTime::from_micros(300_000_000);

/// Fault of a simulated worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// No message reaches the worker, and none is answered.
    Partitioned,
    /// The process has ended, and connections are refused.
    Crashed,
    /// Start orders are not answered and take effect after this delay.
    DelayedStarts(Span),
    /// Messages take effect, and their answers are lost.
    LostAnswers,
    /// Every run fails immediately.
    Failing,
    /// Runs that start now fail immediately; earlier ones go on.
    FailingStarts,
    /// Runs make no progress.
    Stalled,
    /// Every start is refused for lack of capacity.
    NoCapacity,
    /// Pace orders do not arrive.
    LostPaces,
}

/// How a worker comes back after a faulty task has crashed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Return {
    SameName,
    NewName,
}

/// Starts of a finite task that crashes each worker that starts it. The platform allows two
/// after the third crash.
const MAX_FAULTY_STARTS: usize = 5;

/// Starts per minute of a long-running task that crashes each worker that starts it: four while
/// the interval between them grows, and then one in 6 s.
const MAX_FAULTY_STARTS_PER_MINUTE: usize = 13;

/// How long a worker that a faulty task has crashed is away.
const CRASH_DURATION: Span = Span::from_secs(3);

#[derive(Debug, Clone)]
struct FakeRun {
    run: Run,
    size: Resources,
    best_effort: bool,
    image: ArcStr,
    target: Option<Span>,
    pace: u32,
    /// Duration at full pace.
    duration: Span,
    /// Remaining duration at full pace; `None` for long-running tasks.
    remaining: Option<Span>,
    stopping: Option<Time>,
    fails: bool,
}

impl FakeRun {
    /// Progress in percent; 100 for a long-running task, which is ready.
    fn percent(&self) -> u32 {
        let Some(remaining) = self.remaining else {
            return 100;
        };
        let total = self.duration.as_micros().max(1);
        (total.saturating_sub(remaining.as_micros()) * 100 / total) as u32
    }
}

/// A start order that has not arrived at its worker yet.
#[derive(Debug, Clone, Copy)]
struct DelayedStart {
    at: Time,
    task: TaskKey,
    run: Run,
    deadline: WorkerTime,
    token: u64,
}

/// A poll that got no answer and is executed late, by whichever incarnation of its worker is
/// there then.
#[derive(Debug, Clone)]
pub(crate) struct LatePoll {
    worker: WorkerName,
    request: PollRequest,
    token: u64,
}

impl LatePoll {
    /// A poll that a leader sends now; `None` if it does not know the worker.
    pub(crate) fn unanswered(
        dispatcher: &mut Dispatcher,
        worker: &WorkerName,
        now: Time,
    ) -> Option<Self> {
        let poll = Self::sent(dispatcher, worker, now)?;
        dispatcher.poll_failed(worker, &poll.request, false, now);
        Some(poll)
    }

    /// A poll that a leader sends now, and of which nothing has become known yet.
    pub(crate) fn sent(
        dispatcher: &mut Dispatcher,
        worker: &WorkerName,
        now: Time,
    ) -> Option<Self> {
        let request = dispatcher.poll(worker, now)?;
        Some(Self {
            worker: worker.clone(),
            request,
            token: dispatcher.token(),
        })
    }
}

#[derive(Debug)]
pub(crate) struct FakeWorker {
    pub(crate) report: WorkerReport,
    pub(crate) fault: Fault,
    pub(crate) incarnation: u64,
    /// Reading of its clock when the incarnation started. Unrelated to that of the one before.
    initial_clock: WorkerTime,
    token: u64,
    deadline: WorkerTime,
    runs: IndexMap<TaskKey, FakeRun>,
    pub(crate) completions: Vec<RunCompletion>,
    completion_count: u64,
    /// Highest run of each task that must not start any more.
    rejected_runs: IndexMap<TaskKey, Run>,
    delayed_starts: Vec<DelayedStart>,
    last_poll: Time,
    has_completions: bool,
    /// How long the leader takes to learn of an end, beyond the time of a step.
    pub(crate) notice_delay: Span,
    /// When the leader polls for ends that it has not been told of.
    notice_at: Option<Time>,
    /// Interference of best-effort tasks in each of the last steps, in percent of the worker.
    interference: VecDeque<u32>,
    /// Tail latency of its serving tasks without best-effort tasks, in percent of the target.
    pub(crate) own_tail: u64,
}

impl FakeWorker {
    /// Reading of the worker's clock.
    pub(crate) fn clock(&self, now: Time) -> WorkerTime {
        self.initial_clock + now.since(Time::from_millis(self.incarnation))
    }

    fn complete(&mut self, task: TaskKey, outcome: RunOutcome) {
        if let Some(run) = self.runs.shift_remove(&task) {
            self.completion_count += 1;
            self.rejected_runs.insert(task, run.run);
            self.completions.push(RunCompletion {
                sequence: self.completion_count,
                task,
                run: run.run,
                outcome,
                checkpoint: None,
            });
            self.has_completions = true;
        }
    }

    /// Whether it has ends that the leader polls for now.
    fn is_end_noticed(&mut self, now: Time) -> bool {
        if !self.has_completions {
            self.notice_at = None;
            return false;
        }
        now >= *self.notice_at.get_or_insert(now + self.notice_delay)
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

    /// Records the current interference of best-effort tasks. A task with the image `heavy`
    /// at full pace exceeds what a target allows; one with the image `light` has no effect.
    fn record_interference(&mut self) {
        let effect = |r: &FakeRun| match r.image.as_str() {
            "heavy" => 8 * r.pace,
            "light" => 0,
            _ => r.pace,
        };
        let total: u32 = self
            .runs
            .values()
            .filter(|r| r.best_effort)
            .map(effect)
            .sum();
        self.interference.push_back((total / 10).min(97));
        if self.interference.len() > LATENCY_WINDOW_STEPS {
            self.interference.pop_front();
        }
    }

    /// Tail latency of a serving task over the last half second, in milliseconds. It is
    /// inversely proportional to the idle share of the worker.
    fn tail_latency(&self, target: Span) -> u64 {
        let sum: u32 = self.interference.iter().sum();
        let mean = sum / (self.interference.len() as u32).max(1);
        target.as_millis() * self.own_tail / u64::from(100 - mean)
    }
}

pub(crate) struct Simulation {
    pub(crate) now: Time,
    /// Limits that the workers and the leaders go by.
    bounds: Bounds,
    pub(crate) dispatcher: Dispatcher,
    /// Number of writes; there are fewer than [`REVISIONS_PER_TERM`].
    commits: u64,
    /// What the store holds about earlier leaders.
    succession: Succession,
    succession_written: Time,
    pub(crate) workers: IndexMap<WorkerName, FakeWorker>,
    pub(crate) jobs: IndexMap<JobKey, JobRecord>,
    /// Durable states of jobs, as the store holds them.
    pub(crate) states: IndexMap<JobKey, Progress>,
    pub(crate) roster: Roster,
    pub(crate) model: InterferenceModel,
    /// Tasks that have succeeded, except where the worker's lease has expired before the
    /// success was acknowledged.
    pub(crate) done: IndexSet<TaskKey>,
    /// Tasks of which a success was acknowledged.
    pub(crate) acknowledged: IndexSet<TaskKey>,
    pub(crate) starts: Vec<(Time, WorkerName, TaskKey, Run)>,
    pub(crate) completed: IndexMap<JobKey, Time>,
    /// Whether the store accepts writes.
    pub(crate) store_available: bool,
    /// Whether the evacuated domains and the entries of workers are read all the time.
    pub(crate) watches_answered: bool,
    /// Issued tickets by their text, each with its step, its worker and its expiry.
    pub(crate) tickets: IndexMap<ArcStr, (StepKey, WorkerName, Time)>,
    /// Number of starts that were refused because of the ticket.
    pub(crate) rejected_tickets: usize,
    pub(crate) cancelled: IndexSet<JobKey>,
    /// Since when the serving tasks of a worker have been above their target.
    above_target: IndexMap<WorkerName, Time>,
    /// Longest time for which serving tasks were above their target.
    pub(crate) longest_violation: Span,
    /// Tasks that crash each worker that starts them.
    pub(crate) faulty: IndexSet<TaskKey>,
    /// Cores of the runs that each crash by a faulty task has ended, with the task.
    pub(crate) lost_cores: Vec<(TaskKey, u64)>,
    pub(crate) back: Return,
    /// Workers that a faulty task has crashed, with the time at which they are back.
    crashed: Vec<(Time, WorkerName)>,
    /// Number of starts that were refused for lack of capacity.
    pub(crate) rejected_capacity: usize,
    /// Terms of the customers by version of the configuration, with the time at which each came
    /// into force.
    pub(crate) policies: Vec<(Time, IndexMap<CustomerName, CustomerPolicy>)>,
}

/// The term with a number, which is its nonce as well.
pub(crate) fn leader_term(number: u64) -> LeaderTerm {
    LeaderTerm {
        nonce: number,
        address: ([10, 1, 0, number as u8], 80).into(),
    }
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
        term_token: None,
        customer: None,
    }
}

impl Simulation {
    /// Creates a simulation of workers with 64 cores in racks of four, all known to the
    /// first leader.
    pub(crate) fn new(workers: usize) -> Self {
        Self::with_max_lease(workers, BOUNDS.max_lease)
    }

    /// Creates a simulation whose workers grant leases of up to `max_lease`.
    pub(crate) fn with_max_lease(workers: usize, max_lease: Span) -> Self {
        let bounds = Bounds {
            max_lease,
            ..BOUNDS
        };
        let now = Time::from_millis(1_000);
        let term = Term {
            token: REVISIONS_PER_TERM,
            number: 0,
        };
        let mut sim = Self {
            now,
            bounds,
            commits: 0,
            dispatcher: Dispatcher::new(
                term,
                bounds,
                EarlierLeaders::new(&Succession::empty(0), now),
                &Roster::default(),
                InterferenceModel::default(),
                now,
            ),
            succession: Succession::empty(0),
            succession_written: now,
            workers: IndexMap::new(),
            jobs: IndexMap::new(),
            states: IndexMap::new(),
            roster: Roster::default(),
            model: InterferenceModel::default(),
            done: IndexSet::new(),
            acknowledged: IndexSet::new(),
            starts: Vec::new(),
            completed: IndexMap::new(),
            store_available: true,
            watches_answered: true,
            tickets: IndexMap::new(),
            rejected_tickets: 0,
            cancelled: IndexSet::new(),
            above_target: IndexMap::new(),
            longest_violation: Span::ZERO,
            faulty: IndexSet::new(),
            lost_cores: Vec::new(),
            back: Return::SameName,
            crashed: Vec::new(),
            rejected_capacity: 0,
            policies: Vec::new(),
        };
        for i in 0..workers {
            sim.add_worker(i);
        }
        sim.list_workers();
        sim.run(Span::from_millis(200));
        sim
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
            initial_clock: FIRST_CLOCK,
            token: 0,
            deadline: WorkerTime::ZERO,
            runs: IndexMap::new(),
            completions: Vec::new(),
            completion_count: 0,
            rejected_runs: IndexMap::new(),
            delayed_starts: Vec::new(),
            last_poll: Time::ZERO,
            has_completions: false,
            notice_delay: Span::ZERO,
            notice_at: None,
            interference: VecDeque::new(),
            own_tail: 30,
        };
        self.workers.insert(name, worker);
    }

    /// Changes the policies of the customers.
    pub(crate) fn set_customers(&mut self, policies: &[(&str, CustomerPolicy)]) {
        let named = |(name, policy): &(&str, CustomerPolicy)| (CustomerName::from(*name), *policy);
        self.policies
            .push((self.now, policies.iter().map(named).collect()));
        self.read_configuration();
    }

    /// Passes the present configuration to the dispatcher.
    pub(crate) fn read_configuration(&mut self) {
        if let Some((_, policies)) = self.policies.last() {
            self.dispatcher
                .set_customers(self.policies.len() as u64, policies);
        }
    }

    /// The runs of a customer on all workers, known or not.
    fn runs_of(&self, customer: &str) -> impl Iterator<Item = (&TaskKey, &FakeRun)> + Clone {
        let up = self.workers.values().filter(|w| w.fault != Fault::Crashed);
        up.flat_map(|w| w.runs.iter()).filter(move |(task, _)| {
            let owner = self.jobs[&task.step.job].customer.as_ref();
            owner.is_some_and(|c| c.as_str() == customer)
        })
    }

    /// Cores that a customer has running on all workers, known or not.
    pub(crate) fn cores_of(&self, customer: &str) -> u64 {
        let runs = self.runs_of(customer);
        runs.map(|(_, run)| run.size.cpu.0).sum::<u64>() / 1_000
    }

    /// Checks that what the customer of a task that has just started has running is no more than its
    /// limit and this task. While a change reaches the leader the higher limit counts.
    fn check_limit(&self, task: TaskKey) {
        let record = &self.jobs[&task.step.job];
        let Some(customer) = &record.customer else {
            return;
        };
        let last = self.policies.len().saturating_sub(1);
        let in_force = self.policies.iter().enumerate().filter(|(i, _)| {
            let next = self.policies.get(i + 1);
            *i == last || next.is_some_and(|(at, _)| self.now.since(*at) < LIMIT_CHANGE)
        });
        let mut limits = in_force.filter_map(|(_, (_, t))| Some(t.get(customer)?.limit));
        let runs = self.runs_of(customer.as_str());
        let used: Resources = runs.map(|(_, r)| r.size).sum();
        let started = record.spec.steps[usize::from(task.step.step)].size;
        let counted = used.saturating_sub(&started);
        let is_within = |limit: Resources| {
            let parts = [
                (limit.cpu.0, counted.cpu.0),
                (limit.memory.0, counted.memory.0),
                (limit.accelerators.into(), counted.accelerators.into()),
            ];
            parts
                .iter()
                .all(|(limit, used)| *limit == 0 || used <= limit)
        };
        let known = self
            .policies
            .last()
            .is_some_and(|(_, t)| t.contains_key(customer));
        assert!(
            !known || limits.any(is_within),
            "{customer} has {used:?} running at {:?}",
            self.now
        );
    }

    /// Passes a full list of the workers that are up to the dispatcher.
    pub(crate) fn list_workers(&mut self) {
        let listed = self
            .workers
            .values()
            .filter(|w| w.fault != Fault::Crashed)
            .map(|w| WorkerReport {
                incarnation: Some(Incarnation(w.incarnation)),
                ..w.report.clone()
            })
            .collect();
        self.dispatcher.workers_listed(listed, self.now);
        self.dispatcher.entries_read(self.now);
        self.confirm_evidence();
    }

    /// Records that the evacuated domains and the entries of workers have been read now.
    pub(crate) fn confirm_evidence(&mut self) {
        self.dispatcher.confirm_evacuations(self.now);
        self.dispatcher.confirm_entries(self.now);
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

    /// Replaces the leader by a new one that loads the state from the store.
    pub(crate) fn change_leader(&mut self) {
        self.replace_leader(false);
    }

    /// Replaces the leader. `resigned` says that the previous one is known to have stopped.
    pub(crate) fn replace_leader(&mut self, resigned: bool) {
        let old = self.dispatcher.term();
        let term = Term {
            token: old.token + REVISIONS_PER_TERM,
            number: old.number + 1,
        };
        self.succession = Succession::following(
            leader_term(old.number),
            resigned,
            Some(&self.succession),
            term.number,
        );
        self.succession_written = self.now;
        self.dispatcher = Dispatcher::new(
            term,
            self.bounds,
            EarlierLeaders::new(&self.succession, self.now),
            &self.roster,
            self.model.clone(),
            self.now,
        );
        for (key, record) in &self.jobs {
            let progress = self.states.get(key);
            let wall = WallTime::from_micros(1_700_000_000_000_000 + self.now.as_micros());
            self.dispatcher
                .accept(*key, record.clone(), progress, true, wall, self.now);
        }
        for key in &self.cancelled {
            self.dispatcher.cancel(*key, self.now);
        }
        self.read_configuration();
        self.list_workers();
    }

    /// Stores the earlier leaders as the leader process does.
    fn store_succession(&mut self) {
        let earlier = self.dispatcher.earlier_leaders(self.now);
        let fewer = earlier.len() < self.succession.earlier.len();
        let due =
            !earlier.is_empty() && self.now.since(self.succession_written) >= Span::from_secs(1);
        if self.store_available && (fewer || due) {
            self.succession.earlier = earlier;
            self.succession_written = self.now;
        }
    }

    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TIME_STEP;
            self.restore_crashed();
            self.advance_workers();
            self.poll_due();
            self.commit();
            self.store_succession();
            let arrived = self.dispatcher.last_arrival();
            self.dispatcher.term_confirmed(arrived);
            self.dispatcher.set_authority(self.now);
            self.dispatcher.set_store_lost(!self.store_available);
            if self.store_available {
                self.dispatcher.entries_read(self.now);
                if self.watches_answered {
                    self.confirm_evidence();
                }
            }
            let orders = self.dispatcher.plan(self.wall(), self.now);
            for order in orders {
                self.execute(&order);
            }
        }
    }

    /// Answers the dispatcher's next ticket request: the workers with these indices may run
    /// the step.
    pub(crate) fn grant_tickets(&mut self, allowed: &[usize], lifetime: Span) {
        let now = self.now;
        let Some(request) = self.dispatcher.next_ticket_request(now) else {
            return;
        };
        let names: Vec<WorkerName> = allowed
            .iter()
            .filter_map(|&i| Some(self.workers.get_index(i)?.0.clone()))
            .collect();
        let mut tickets = Vec::new();
        for name in request.workers.iter().filter(|w| names.contains(w)) {
            let text = ArcStr::from(format!("t{}", self.tickets.len()));
            let ticket = (request.step, name.clone(), now + lifetime);
            self.tickets.insert(text.clone(), ticket);
            tickets.push((name.clone(), text));
        }
        self.dispatcher
            .tickets_granted(&request, &TicketGrant { tickets, lifetime }, now);
    }

    /// Number of tasks of a job that are running.
    pub(crate) fn running(&self, key: JobKey) -> usize {
        self.workers
            .values()
            .filter(|w| w.fault != Fault::Crashed)
            .flat_map(|w| w.runs.keys())
            .filter(|t| t.step.job == key)
            .count()
    }

    /// Number of completions that a worker lists because they are not acknowledged.
    pub(crate) fn unacknowledged(&self, i: usize) -> usize {
        self.workers[i].completions.len()
    }

    /// Sets the pace of all best-effort runs on a worker, without an order of the leader.
    pub(crate) fn set_pace(&mut self, i: usize, percent: u32) {
        let runs = self.worker(i).runs.values_mut();
        runs.filter(|r| r.best_effort)
            .for_each(|r| r.pace = percent);
    }

    /// Number of runs on a worker.
    pub(crate) fn runs_on(&self, i: usize) -> usize {
        self.workers[i].runs.len()
    }

    pub(crate) fn advance_workers(&mut self) {
        let now = self.now;
        for (name, worker) in &mut self.workers {
            worker.record_interference();
            let target = worker.runs.values().find_map(|r| r.target);
            if target.is_some_and(|t| worker.tail_latency(t) > t.as_millis()) {
                let since = *self.above_target.entry(name.clone()).or_insert(now);
                self.longest_violation = self.longest_violation.max(now.since(since));
            } else {
                self.above_target.shift_remove(name);
            }
            if worker.fault == Fault::Crashed {
                continue;
            }
            if worker.clock(now) > worker.deadline {
                let ends = worker.completions.iter();
                for end in ends.filter(|e| e.outcome == RunOutcome::Done) {
                    self.done.shift_remove(&end.task);
                }
                for task in worker.runs.keys().copied().collect::<Vec<_>>() {
                    worker.complete(task, RunOutcome::Lapsed);
                }
            }
            let mut ended = Vec::new();
            for (task, run) in &mut worker.runs {
                if run.stopping.is_some_and(|at| now >= at) {
                    ended.push((*task, RunOutcome::Stopped));
                } else if worker.fault == Fault::Failing || run.fails {
                    ended.push((*task, RunOutcome::Failed));
                } else if let Some(remaining) = &mut run.remaining
                    && worker.fault != Fault::Stalled
                {
                    *remaining = remaining.saturating_sub(TIME_STEP.scale_up(run.pace.into(), 100));
                    if *remaining == Span::ZERO {
                        ended.push((*task, RunOutcome::Done));
                    }
                }
            }
            for (task, outcome) in ended {
                worker.complete(task, outcome);
                if outcome == RunOutcome::Done {
                    self.done.insert(task);
                }
            }
        }
        let due: Vec<(WorkerName, DelayedStart)> = self
            .workers
            .iter_mut()
            .filter(|(_, w)| w.fault != Fault::Crashed)
            .flat_map(|(name, w)| {
                let (ready, rest) = std::mem::take(&mut w.delayed_starts)
                    .into_iter()
                    .partition::<Vec<_>, _>(|start| start.at <= now);
                w.delayed_starts = rest;
                let name = name.clone();
                ready.into_iter().map(move |start| (name.clone(), start))
            })
            .collect();
        for (name, start) in due {
            let _ = self.start(&name, start.task, start.run, start.deadline, start.token);
        }
    }

    fn poll_due(&mut self) {
        for name in self.dispatcher.workers() {
            let now = self.now;
            let due = self
                .workers
                .get_mut(&name)
                .is_some_and(|w| w.is_end_noticed(now) || now.since(w.last_poll) >= POLL_INTERVAL);
            // The leader polls a worker that it has reached and not admitted without a pause.
            let known = &self.dispatcher.workers[&name];
            if due || (known.fenced && !known.is_admitted()) {
                self.poll_by_name(&name);
            }
        }
    }

    /// Polls a worker immediately.
    pub(crate) fn poll_worker(&mut self, i: usize) {
        let name = self.workers.get_index(i).unwrap().0.clone();
        self.poll_by_name(&name);
    }

    pub(crate) fn poll_by_name(&mut self, name: &WorkerName) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.last_poll = now;
            let fault = worker.fault;
            let Some(request) = self.dispatcher.poll(name, now) else {
                return;
            };
            match fault {
                Fault::Partitioned => {
                    self.dispatcher.poll_failed(name, &request, false, now);
                    return;
                }
                Fault::Crashed => {
                    self.dispatcher.poll_failed(name, &request, true, now);
                    return;
                }
                _ => {}
            }
            let token = self.dispatcher.token();
            if !self.execute_poll(name, &request, token) {
                self.dispatcher.poll_fenced(name);
                return;
            }
            let worker = &mut self.workers[name];
            // The leader polls again for those that an answer has no room for.
            worker.has_completions = worker.completions.len() > MAX_COMPLETIONS_PER_ANSWER;
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
                        percent: run.percent(),
                        usage: run
                            .target
                            .map_or(run.size.cpu.0, |t| worker.tail_latency(t)),
                    })
                    .collect(),
                finished: worker
                    .completions
                    .iter()
                    .take(MAX_COMPLETIONS_PER_ANSWER)
                    .cloned()
                    .collect(),
            };
            if fault == Fault::LostAnswers {
                self.dispatcher.poll_failed(name, &request, false, now);
                return;
            }
            self.dispatcher.poll_answered(name, now, &reply, now);
        }
    }

    /// Executes a poll on its worker. Returns false if the worker has seen a higher token.
    fn execute_poll(&mut self, name: &WorkerName, request: &PollRequest, token: u64) -> bool {
        let now = self.now;
        let worker = &mut self.workers[name];
        if token < worker.token {
            return false;
        }
        worker.token = token;
        if let Some(deadline) = request.lease_deadline {
            let latest_deadline = worker.clock(now) + self.bounds.max_lease;
            worker.deadline = worker.deadline.max(deadline.min(latest_deadline));
        }
        let known = worker.completions.iter();
        let forgotten = known.filter(|e| e.sequence <= request.acknowledged);
        let succeeded = forgotten.filter(|e| e.outcome == RunOutcome::Done);
        self.acknowledged.extend(succeeded.map(|e| e.task));
        worker
            .completions
            .retain(|e| e.sequence > request.acknowledged);
        true
    }

    /// Polls a worker without an answer, and without an effect until
    /// [`execute_late`](Self::execute_late).
    pub(crate) fn poll_late(&mut self, i: usize) -> LatePoll {
        let name = self.workers.get_index(i).unwrap().0.clone();
        LatePoll::unanswered(&mut self.dispatcher, &name, self.now).unwrap()
    }

    /// Whether the worker of a late poll lists an end that the poll acknowledges.
    pub(crate) fn would_forget(&self, poll: &LatePoll) -> bool {
        let mut ends = self.workers[&poll.worker].completions.iter();
        ends.any(|end| end.sequence <= poll.request.acknowledged)
    }

    /// Executes a late poll, unless its worker is down.
    pub(crate) fn execute_late(&mut self, poll: &LatePoll) {
        if self.workers[&poll.worker].fault != Fault::Crashed {
            self.execute_poll(&poll.worker, &poll.request, poll.token);
        }
    }

    pub(crate) fn commit(&mut self) {
        if !self.store_available {
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
            self.committed(&commit);
        }
        for key in self.jobs.keys() {
            if self.dispatcher.job_status(*key) == Some(crate::dispatch::JobStatus::Completed) {
                self.completed.entry(*key).or_insert(self.now);
            }
        }
    }

    /// Tells the dispatcher that a batch is durable.
    pub(crate) fn committed(&mut self, commit: &Commit) {
        self.commits += 1;
        let revision = self.dispatcher.term().token + self.commits;
        self.dispatcher.committed(commit, revision, self.now);
    }

    pub(crate) fn execute(&mut self, order: &WorkerOrder) {
        let name = &order.worker;
        let now = self.now;
        let token = self.dispatcher.token();
        let fault = self.workers[name].fault;
        match &order.order {
            Order::Start {
                task,
                run,
                deadline,
                ticket,
                ..
            } => {
                let needs_ticket = self.jobs[&task.step.job].queue.ticket_lifetime.is_some();
                let known = ticket.as_ref().and_then(|t| self.tickets.get(t));
                let valid = known.is_some_and(|(step, worker, expires)| {
                    *step == task.step && worker == name && now < *expires
                });
                let reply = match fault {
                    _ if needs_ticket && !valid => {
                        self.rejected_tickets += 1;
                        StartReply::Refused(Refusal::Ticket)
                    }
                    Fault::Crashed => StartReply::NotSent,
                    Fault::Partitioned => StartReply::NoAnswer,
                    Fault::DelayedStarts(delay) => {
                        let start = DelayedStart {
                            at: now + delay,
                            task: *task,
                            run: *run,
                            deadline: *deadline,
                            token,
                        };
                        self.workers[name].delayed_starts.push(start);
                        StartReply::NoAnswer
                    }
                    Fault::LostAnswers => {
                        let _ = self.start(name, *task, *run, *deadline, token);
                        StartReply::NoAnswer
                    }
                    Fault::NoCapacity => StartReply::Refused(Refusal::Room),
                    _ => self.start(name, *task, *run, *deadline, token),
                };
                let is_answered = !matches!(reply, StartReply::NotSent | StartReply::NoAnswer);
                let clock = is_answered.then(|| self.workers[name].clock(now));
                let answer = StartAnswer { reply, clock };
                self.dispatcher
                    .start_answered(name, *task, *run, answer, now);
            }
            Order::Stop { task, run } => {
                let worker = &mut self.workers[name];
                let reply = match fault {
                    Fault::Crashed | Fault::Partitioned => StopReply::NoAnswer,
                    _ if token < worker.token => StopReply::Fenced,
                    _ => {
                        let highest = worker.rejected_runs.entry(*task).or_default();
                        *highest = (*highest).max(*run);
                        if let Some(tracked) = worker.runs.get_mut(task).filter(|r| r.run == *run) {
                            tracked.stopping.get_or_insert(now + TIME_STEP);
                        }
                        match fault {
                            Fault::LostAnswers => StopReply::NoAnswer,
                            _ => StopReply::Stopped,
                        }
                    }
                };
                self.dispatcher
                    .stop_answered(name, *task, *run, reply, now, now);
            }
            Order::Pace { task, run, percent } => {
                let is_lost = matches!(
                    fault,
                    Fault::LostPaces | Fault::Partitioned | Fault::Crashed
                );
                let listed = self.workers[name].runs.get_mut(task);
                let tracked = listed.filter(|r| r.run == *run && !is_lost);
                let accepted = tracked.is_some();
                if let Some(tracked) = tracked {
                    tracked.pace = *percent;
                }
                self.dispatcher
                    .pace_answered(name, *task, *run, *percent, accepted);
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
        if worker.rejected_runs.get(&task).is_some_and(|b| run <= *b) {
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
            self.rejected_capacity += 1;
            return StartReply::Refused(Refusal::Room);
        }
        let elsewhere = self
            .workers
            .values()
            .filter(|w| w.fault != Fault::Crashed)
            .find(|w| w.runs.contains_key(&task));
        assert!(elsewhere.is_none(), "{task} runs twice at {now:?}");
        assert!(
            step.long_running || !self.done.contains(&task),
            "{task} starts after it has succeeded"
        );
        assert!(
            step.long_running || !self.acknowledged.contains(&task),
            "{task} starts after its success was acknowledged"
        );
        if self.faulty.contains(&task) {
            // A long-running task is restarted however its runs end.
            let (window, limit) = match step.long_running {
                true => (Span::from_secs(60), MAX_FAULTY_STARTS_PER_MINUTE),
                false => (now.since(Time::ZERO), MAX_FAULTY_STARTS),
            };
            let earlier = self.starts.iter();
            let crashed = earlier
                .filter(|(at, _, t, _)| *t == task && now.since(*at) < window)
                .count();
            assert!(
                crashed < limit,
                "{task} starts after it has crashed {crashed} workers"
            );
            let beside = worker.used().cpu.0 / 1_000;
            self.lost_cores.push((task, beside));
        }
        let worker = &mut self.workers[name];
        worker.token = worker.token.max(token);
        let latest_deadline = worker.clock(now) + self.bounds.max_lease;
        worker.deadline = worker.deadline.max(deadline.min(latest_deadline));
        let fails = worker.fault == Fault::FailingStarts;
        worker.runs.insert(
            task,
            FakeRun {
                run,
                size: step.size,
                best_effort: step.best_effort,
                image: step.image.unwrap_or_default(),
                target: step.target,
                pace: 100,
                duration: step.estimate,
                remaining: (!step.long_running).then_some(step.estimate),
                stopping: None,
                fails,
            },
        );
        self.starts.push((now, name.clone(), task, run));
        self.check_limit(task);
        if self.faulty.contains(&task) {
            let i = self.workers.get_index_of(name).unwrap();
            self.crash_worker(i);
            self.crashed.push((now + CRASH_DURATION, name.clone()));
        }
        StartReply::Started
    }

    /// Brings back workers that a faulty task has crashed.
    fn restore_crashed(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.crashed)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.crashed = rest;
        for (_, name) in &due {
            match self.back {
                Return::SameName => {
                    let i = self.workers.get_index_of(name).unwrap();
                    self.restart_worker(i);
                }
                Return::NewName => self.add_worker(self.workers.len()),
            }
        }
        if !due.is_empty() {
            self.list_workers();
        }
    }

    /// Ends the worker's process together with its runs.
    pub(crate) fn crash_worker(&mut self, i: usize) {
        let worker = self.worker(i);
        worker.fault = Fault::Crashed;
        worker.runs.clear();
        worker.completions.clear();
        worker.delayed_starts.clear();
    }

    /// Ends the worker's process while delayed starts are under way, which its next incarnation
    /// executes.
    pub(crate) fn crash_before_delayed_starts(&mut self, i: usize) {
        let starts = std::mem::take(&mut self.worker(i).delayed_starts);
        self.crash_worker(i);
        self.worker(i).delayed_starts = starts;
    }

    /// Time by a worker's clock until its lease ends.
    pub(crate) fn lease_left(&self, i: usize) -> Span {
        self.workers[i]
            .deadline
            .since(self.workers[i].clock(self.now))
    }

    /// Whether starts are under way to a worker.
    pub(crate) fn has_delayed_starts(&self, i: usize) -> bool {
        !self.workers[i].delayed_starts.is_empty()
    }

    /// Starts a new incarnation of a crashed worker, whose clock starts at zero.
    pub(crate) fn restart_worker(&mut self, i: usize) {
        self.restart_with_clock(i, WorkerTime::ZERO);
    }

    /// Starts a new incarnation of a crashed worker with this reading of its clock.
    pub(crate) fn restart_with_clock(&mut self, i: usize, clock: WorkerTime) {
        let incarnation = self.now.as_micros() / 1_000;
        let worker = self.worker(i);
        worker.fault = Fault::None;
        worker.incarnation = incarnation;
        worker.initial_clock = clock;
        worker.token = 0;
        worker.deadline = WorkerTime::ZERO;
        worker.completion_count = 0;
        worker.rejected_runs.clear();
    }
}
