//! Several owners, one store, workers and the network between them, in virtual time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use indexmap::{IndexMap, IndexSet};
use jujubelb::config::{Config, Domain, Rack, Shard, Team, Worker};
use jujubelb::journal::{Journal, JournalError, Writer};
use jujubelb::model::{
    Attempt, Code, Incarnation, JobName, JobSpec, NodeName, Priority, Resources, Revision,
    ShardName, Span, TaskId, TaskKind, TaskSpec, Time, WallTime,
};
use jujubelb::shard::{
    Cancel, Identity, Input, Offer, Output, Owner, State, Submission, Task, TaskState, Ticket,
};
use jujubelb::worker::{SyncAnswer, SyncRequest};

use super::oracle::Oracle;
use super::policy::{Base, Scripted, Wish};
use super::store::FakeStore;
use super::worker::FakeWorker;

pub const TICK: Span = Span::from_millis(200);

/// Time without an owner after which another process takes over.
const TAKE_OVER: Span = Span::from_secs(5);

const SHARDS: [&str; 2] = ["a", "b"];
const NODES_PER_SHARD: usize = 3;
const WORKERS_PER_SHARD: usize = 2;

pub const CAPACITY: Resources = Resources::new(4_500, 9 << 30, 0);
pub const RESERVED: Resources = Resources::new(500, 1 << 30, 0);

/// What happens to a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Drop,
    LoseAnswer,
    /// It fails at once and arrives later.
    Delay,
    /// It arrives, and once more later.
    Duplicate,
    /// The answer arrives later.
    SlowAnswer,
    /// It arrives after this many milliseconds, and the answer then.
    Slow(u64),
}

/// A deliberate fault that the oracle has to notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sabotage {
    None,
    /// Neither the store nor the workers keep a former owner out.
    SkipFencing,
    /// Each owner takes its configuration for confirmed at any time.
    IgnoreEvidence,
    /// Each owner's clock runs eight times too fast, so that it does not wait for leases.
    IgnoreLeases,
    /// A new owner queues completed tasks again.
    RerunCompleted,
    /// A new owner forgets checkpoints.
    ForgetCheckpoints,
    /// A new owner loses a queued task.
    LoseTask,
    /// The configuration gives workers twice the capacity that they have.
    Overstate,
    /// A store that is down answers submissions as if it had stored them.
    AcceptUnstored,
}

type Clock = Box<dyn Fn() -> Time>;

/// One scheduler process, which may own one shard.
pub struct Process {
    pub node: NodeName,
    pub shard: ShardName,
    pub incarnation: u64,
    pub(super) offset: u64,
    /// How long before the present its reads of the configuration began.
    pub lag: Span,
    pub owner: Option<Owner<Scripted>>,
    pub(super) journal: Option<Journal<Arc<FakeStore>, Clock>>,
    pub(super) unresolved: Option<u64>,
    pub paused: bool,
    /// Whether its outputs are kept until it wakes.
    pub(super) holding: bool,
    pub(super) held: Vec<Output>,
    /// Whether nobody answers at its address.
    pub silent: bool,
    /// Whether it can't read the configuration.
    pub deaf: bool,
    pub(super) revision: Revision,
    pub wishes: Scripted,
}

pub struct World {
    pub now: Time,
    pub(super) clock: Arc<AtomicU64>,
    pub store: Arc<FakeStore>,
    pub workers: Vec<(FakeWorker, Resources)>,
    pub processes: Vec<Process>,
    pub oracle: Oracle,
    /// Configurations written, with the time of the write.
    pub(super) configs: Vec<(Time, Arc<Config>)>,
    pub(super) out_since: IndexMap<ShardName, Time>,
    pub modes: Vec<Mode>,
    /// Time on the way of requests that carry starts, in milliseconds.
    pub slow_starts: Option<u64>,
    /// The same for offers.
    pub offer_modes: Vec<Mode>,
    /// Requests under way: arrival, sender, its incarnation, worker.
    pub(super) transit: Vec<(Time, usize, u64, usize, SyncRequest)>,
    /// Pairs of process and worker that can't reach each other.
    pub cuts: IndexSet<(usize, usize)>,
    pub(super) late: Vec<(usize, SyncRequest)>,
    pub(super) late_offers: Vec<Offer>,
    pub(super) slow: Vec<(usize, u64, usize, Option<SyncAnswer>)>,
    pub(super) ownerless: IndexMap<ShardName, Time>,
    pub(super) tickets: u64,
    pub(super) submissions: IndexMap<Ticket, JobName>,
    pub(super) offers: IndexMap<Ticket, (usize, u64, TaskId, Attempt)>,
    pub(super) cancels: IndexMap<Ticket, (usize, u64, Cancel)>,
    /// Answers to operators' cancellations.
    pub cancelled: Vec<(JobName, Code)>,
    pub last_codes: IndexMap<JobName, Code>,
    pub(super) sabotage: Sabotage,
}

pub fn job(name: &str, tasks: u32, cpu: u64) -> JobSpec {
    JobSpec {
        name: name.into(),
        team: "sorting".into(),
        tasks,
        task: TaskSpec {
            kind: TaskKind::Batch,
            class: "sort".into(),
            priority: Priority::Batch,
            size: Resources::new(cpu, 1 << 30, 0),
            duration: None,
            domains: Vec::new(),
            reclaimable: false,
        },
    }
}

fn config(workers: usize) -> Config {
    let mut config = Config {
        revision: Revision(1),
        ..Config::default()
    };
    config.regions.insert("tunis".into());
    let team = Team {
        quota: Resources::new(1_000_000, 1 << 50, 0),
        weight: 1,
    };
    config.teams.insert("sorting".into(), team);
    for (i, shard) in SHARDS.iter().enumerate() {
        let domain = Domain {
            region: "tunis".into(),
            out: false,
        };
        config.domains.insert((*shard).into(), domain);
        let racks = [(*shard).into()].into_iter().collect();
        let domain = (*shard).into();
        config
            .shards
            .insert((*shard).into(), Shard { domain, racks });
        let rack = Rack {
            domain: (*shard).into(),
            shard: (*shard).into(),
        };
        config.racks.insert((*shard).into(), rack);
        for w in 0..workers {
            let worker = Worker {
                rack: (*shard).into(),
                address: ([127, 0, 0, 1], 1).into(),
                capacity: CAPACITY,
                reserved: RESERVED,
                protection: true,
            };
            let name = format!("w{}", i * workers + w);
            config.workers.insert(name.as_str().into(), worker);
        }
    }
    config
}

impl World {
    pub fn new(sabotage: Sabotage) -> Self {
        Self::sized(sabotage, WORKERS_PER_SHARD, Base::FirstFit)
    }

    /// A world with this many workers in each shard, whose owners have this policy.
    pub fn sized(sabotage: Sabotage, workers: usize, base: Base) -> Self {
        let mut config = config(workers);
        if sabotage == Sabotage::Overstate {
            for worker in config.workers.values_mut() {
                worker.capacity += CAPACITY;
            }
        }
        let now = Time::from_millis(1_000_000);
        let clock = Arc::new(AtomicU64::new(now.as_micros()));
        let mut world = Self {
            now,
            clock,
            store: Arc::default(),
            workers: Vec::new(),
            processes: Vec::new(),
            oracle: Oracle::default(),
            configs: vec![(Time::ZERO, Arc::new(config))],
            out_since: IndexMap::new(),
            modes: Vec::new(),
            slow_starts: None,
            offer_modes: Vec::new(),
            transit: Vec::new(),
            cuts: IndexSet::new(),
            late: Vec::new(),
            late_offers: Vec::new(),
            slow: Vec::new(),
            ownerless: IndexMap::new(),
            tickets: 0,
            submissions: IndexMap::new(),
            offers: IndexMap::new(),
            cancels: IndexMap::new(),
            cancelled: Vec::new(),
            last_codes: IndexMap::new(),
            sabotage,
        };
        world.populate(workers, base);
        world
    }

    fn populate(&mut self, workers: usize, base: Base) {
        let rates = [1_000, 970, 1_030, 990];
        for (i, shard) in SHARDS.iter().enumerate() {
            for w in 0..workers {
                let n = i * workers + w;
                let clock = (900_000_000 + 7_000_000 * n as u64, rates[n % rates.len()]);
                let mut worker = FakeWorker::new(&format!("w{n}"), shard, clock);
                worker.unfenced = self.sabotage == Sabotage::SkipFencing;
                let room = CAPACITY.saturating_sub(&RESERVED);
                self.workers.push((worker, room));
            }
            for n in 0..NODES_PER_SHARD {
                self.processes.push(Process {
                    node: format!("{shard}{n}").as_str().into(),
                    shard: (*shard).into(),
                    incarnation: 1,
                    offset: 1_234_567 * (i * NODES_PER_SHARD + n) as u64,
                    lag: Span::ZERO,
                    owner: None,
                    journal: None,
                    unresolved: None,
                    paused: false,
                    holding: false,
                    held: Vec::new(),
                    silent: false,
                    deaf: false,
                    revision: Revision(0),
                    wishes: Scripted::new(base),
                });
            }
        }
        if self.sabotage == Sabotage::SkipFencing {
            self.store.set_unfenced();
        }
        for shard in 0..SHARDS.len() {
            self.take_over(shard * NODES_PER_SHARD);
        }
    }

    /// The present by the calendar, which all processes agree on.
    fn calendar(&self) -> WallTime {
        WallTime::from_millis(1_700_000_000_000 + self.now.as_micros() / 1_000)
    }

    /// The present by a process's clock.
    pub fn local(&self, p: usize) -> Time {
        let rate = if self.sabotage == Sabotage::IgnoreLeases {
            8
        } else {
            1
        };
        Time::from_micros(self.now.as_micros() * rate + self.processes[p].offset)
    }

    pub fn config_at(&self, time: Time) -> Arc<Config> {
        let seen = self.configs.iter().rev().find(|(at, _)| *at <= time);
        seen.map_or_else(|| self.configs[0].1.clone(), |(_, config)| config.clone())
    }

    /// Opens the shard in a process, if the store permits.
    pub fn take_over(&mut self, p: usize) {
        let process = &self.processes[p];
        if process.paused || process.owner.is_some() {
            return;
        }
        let me = Writer {
            node: process.node.clone(),
            incarnation: Incarnation(process.incarnation),
        };
        let (clock, offset) = (self.clock.clone(), process.offset);
        let clock: Clock =
            Box::new(move || Time::from_micros(clock.load(Ordering::Relaxed) + offset));
        let shard = process.shard.clone();
        let opened = Journal::open(self.store.clone(), clock, shard.clone(), me.clone());
        self.watch_log();
        let (journal, mut opened) = match opened {
            Ok(opened) => opened,
            Err(JournalError::Corrupt { key, reason }) => panic!("{key}: {reason}"),
            Err(_) => return,
        };
        self.spoil(&mut opened.state);
        let now = self.local(p);
        let read = self.now - self.processes[p].lag;
        let config = self.config_at(read);
        let identity = Identity {
            shard,
            me,
            clocks: (now, self.calendar()),
        };
        let process = &mut self.processes[p];
        process.revision = config.revision;
        let policy = process.wishes.renewed();
        process.owner = Some(Owner::new(identity, now, now, opened, config, policy));
        process.journal = Some(journal);
        process.unresolved = None;
        process.held.clear();
    }

    /// Damages the state of a new owner, to show that the oracle notices.
    fn spoil(&self, state: &mut State) {
        match self.sabotage {
            Sabotage::RerunCompleted => {
                for id in &self.oracle.completed {
                    if let Some(job) = state.jobs.get_mut(&id.job) {
                        job.left += 1;
                        let task = Task {
                            state: TaskState::Queued,
                            attempt: Attempt(100),
                            checkpoint: None,
                            failures: 0,
                        };
                        state.tasks.insert(id.clone(), task);
                    }
                }
            }
            Sabotage::ForgetCheckpoints => {
                for task in state.tasks.values_mut() {
                    task.checkpoint = None;
                }
            }
            Sabotage::LoseTask => {
                let lost = state.queued().next().map(|(id, _, _)| id.clone());
                if let Some(id) = lost {
                    state.tasks.shift_remove(&id);
                }
            }
            _ => {}
        }
    }

    /// Passes an input to the owner in a process and carries out what it gives out.
    pub fn give(&mut self, p: usize, input: Input) {
        let now = self.local(p);
        let process = &mut self.processes[p];
        let Some(owner) = &mut process.owner else {
            return;
        };
        owner.handle(now, input);
        let outputs = owner.take_outputs();
        if process.holding {
            process.held.extend(outputs);
            return;
        }
        self.carry_out(p, outputs);
    }

    fn carry_out(&mut self, p: usize, outputs: Vec<Output>) {
        for output in outputs {
            self.carry_out_one(p, output);
        }
        self.look();
    }

    fn carry_out_one(&mut self, p: usize, output: Output) {
        match output {
            Output::Append(segment) => {
                let Some(journal) = &mut self.processes[p].journal else {
                    return;
                };
                let seq = segment.seq;
                let result = journal.append(&segment);
                self.appended(p, seq, result);
            }
            Output::Sync(worker, request) => self.sync(p, worker.as_str(), request),
            Output::Submitted(ticket, code) => {
                if let Some(job) = self.submissions.shift_remove(&ticket) {
                    self.watch_log();
                    self.oracle.answered(&job, code);
                    self.last_codes.insert(job, code);
                }
            }
            Output::Cancelled(ticket, code) => self.cancel_answered(ticket, code),
            Output::Offer(offer) => self.send_offer(p, offer),
            Output::PassCancel(cancel) => self.pass_cancel(p, cancel),
            Output::Answer(ticket, _, answer) => {
                if let Some((from, incarnation, task, attempt)) = self.offers.shift_remove(&ticket)
                    && self.processes[from].incarnation == incarnation
                    && !self.processes[from].paused
                {
                    self.give(from, Input::Answer(task, attempt, answer));
                }
            }
            Output::StepDown(_) => {
                self.processes[p].owner = None;
                self.processes[p].journal = None;
            }
        }
    }

    fn appended(&mut self, p: usize, seq: u64, result: Result<(), JournalError>) {
        self.watch_log();
        let input = match result {
            Ok(()) => Input::Appended(seq, Ok(())),
            Err(JournalError::Store(_)) if self.sabotage == Sabotage::AcceptUnstored => {
                Input::Appended(seq, Ok(()))
            }
            Err(JournalError::Store(error)) => Input::Appended(seq, Err(error)),
            Err(JournalError::Fenced(epoch)) => Input::Fenced(epoch),
            Err(JournalError::Unresolved(_)) => {
                self.processes[p].unresolved = Some(seq);
                return;
            }
            Err(JournalError::Corrupt { key, reason }) => panic!("{key}: {reason}"),
        };
        self.processes[p].unresolved = None;
        self.give(p, input);
    }

    /// The process that owns a shard as far as peers can tell.
    pub fn owner_of(&self, shard: &ShardName) -> Option<usize> {
        let owners = (0..self.processes.len()).filter(|p| {
            let process = &self.processes[*p];
            &process.shard == shard && process.owner.is_some() && !process.paused
        });
        owners.max_by_key(|p| self.processes[*p].owner.as_ref().map(Owner::epoch))
    }

    pub(super) fn ticket(&mut self) -> Ticket {
        self.tickets += 1;
        Ticket(self.tickets)
    }

    /// The home shard of a job, as its claim in the store says.
    fn home(job: &JobName) -> ShardName {
        let n = job.as_str().bytes().map(usize::from).sum::<usize>();
        SHARDS[n % SHARDS.len()].into()
    }

    pub fn submit(&mut self, job: JobSpec) {
        let shard = Self::home(&job.name);
        let Some(p) = self.owner_of(&shard) else {
            return;
        };
        let ticket = self.ticket();
        self.submissions.insert(ticket, job.name.clone());
        self.oracle.jobs.entry(job.name.clone()).or_default().open += 1;
        self.give(p, Input::Submit(ticket, Submission { shard, job }));
    }

    pub fn cancel(&mut self, job: &JobName) {
        let shard = Self::home(job);
        let Some(p) = self.owner_of(&shard) else {
            return;
        };
        let ticket = self.ticket();
        let job = job.clone();
        let cancel = Cancel { shard, job };
        self.cancels.insert(ticket, (usize::MAX, 0, cancel.clone()));
        self.give(p, Input::Cancel(ticket, cancel));
    }

    /// Writes a changed configuration.
    pub fn configure(&mut self, change: impl FnOnce(&mut Config)) {
        let mut config = Config::clone(&self.configs[self.configs.len() - 1].1);
        change(&mut config);
        config.revision = config.revision.next();
        for (name, domain) in &config.domains {
            let shard = ShardName::from(name.as_str());
            if domain.out {
                self.out_since.entry(shard).or_insert(self.now);
            } else {
                self.out_since.shift_remove(&shard);
            }
        }
        self.configs.push((self.now, Arc::new(config)));
    }

    pub fn set_out(&mut self, shard: usize, out: bool) {
        let name = SHARDS[shard % SHARDS.len()];
        self.configure(|config| config.domains[name].out = out);
    }

    pub fn wish(&mut self, p: usize, wish: Wish) {
        self.processes[p].wishes.wishes.lock().unwrap().push(wish);
    }

    pub fn crash(&mut self, p: usize, silent: bool) {
        let process = &mut self.processes[p];
        process.owner = None;
        process.journal = None;
        process.unresolved = None;
        process.held.clear();
        process.paused = false;
        process.holding = false;
        process.incarnation += 1;
        process.silent = silent;
    }

    /// Stops a process in its tracks; with `holding`, after one more tick whose
    /// outputs it carries out when it wakes. The tick comes with a fresh
    /// confirmation of the configuration.
    pub fn pause(&mut self, p: usize, holding: bool) {
        if self.processes[p].paused {
            return;
        }
        if holding {
            self.processes[p].holding = true;
            self.read_config(p);
            self.give(p, Input::Tick);
        }
        self.processes[p].paused = true;
    }

    pub fn wake(&mut self, p: usize) {
        let process = &mut self.processes[p];
        if !process.paused {
            return;
        }
        process.paused = false;
        process.holding = false;
        let held = std::mem::take(&mut process.held);
        self.carry_out(p, held);
        self.deliver_answers();
    }

    /// Lets time pass.
    pub fn advance(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        self.now = self.now + TICK;
        self.clock.store(self.now.as_micros(), Ordering::Relaxed);
        self.look();
        self.deliver_transit();
        let peers: Vec<_> = (0..self.processes.len())
            .filter(|p| !self.processes[*p].paused)
            .filter_map(|p| self.processes[p].owner.as_ref()?.summary(self.local(p)))
            .collect();
        for p in 0..self.processes.len() {
            if self.processes[p].paused || self.processes[p].owner.is_none() {
                continue;
            }
            self.read_config(p);
            self.ask_formers(p);
            self.resolve(p);
            self.give(p, Input::Peers(peers.clone()));
            self.give(p, Input::Tick);
            self.snapshot(p);
        }
        self.replace_owners();
    }

    fn resolve(&mut self, p: usize) {
        let Some(seq) = self.processes[p].unresolved else {
            return;
        };
        if let Some(journal) = &mut self.processes[p].journal {
            let result = journal.resolve();
            self.appended(p, seq, result);
        }
    }

    fn snapshot(&mut self, p: usize) {
        let process = &mut self.processes[p];
        if let (Some(journal), Some(owner)) = (&mut process.journal, &process.owner) {
            // More often than in use, so that short runs have snapshots too.
            if journal.next() % 16 == 15 {
                let _ = journal.snapshot(owner.stored(), &owner.policy_state());
            }
            let _ = journal.tidy(8);
        }
    }

    /// Has a process take over each shard that nobody has owned for some time.
    fn replace_owners(&mut self) {
        for shard in SHARDS {
            let shard = ShardName::from(shard);
            if self.owner_of(&shard).is_some() {
                self.ownerless.shift_remove(&shard);
                continue;
            }
            let since = *self.ownerless.entry(shard.clone()).or_insert(self.now);
            if self.now.since(since) >= TAKE_OVER {
                let free = self
                    .processes
                    .iter()
                    .position(|p| p.shard == shard && !p.paused && !p.silent && p.owner.is_none());
                if let Some(p) = free {
                    self.take_over(p);
                }
            }
        }
    }

    fn watch_log(&mut self) {
        for (key, value) in self.store.take_segments() {
            self.oracle.log(&key, &value);
        }
    }

    /// Has the oracle look at what runs now.
    pub fn look(&mut self) {
        self.watch_log();
        for (worker, _) in &mut self.workers {
            worker.advance(self.now);
            let out = self.out_since.get(&worker.shard).copied();
            for key in std::mem::take(&mut worker.forgotten) {
                self.oracle.forgotten(&key);
            }
            for start in std::mem::take(&mut worker.started) {
                self.oracle.start(&start, out);
            }
        }
        self.oracle.look(&self.workers);
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.store.heal();
        self.store.deliver_late();
        self.modes.clear();
        self.offer_modes.clear();
        self.slow_starts = None;
        self.cuts.clear();
        for (worker, _) in &mut self.workers {
            worker.cut = false;
            worker.leaving = false;
            worker.fails = false;
            worker.plans.clear();
        }
        for process in &mut self.processes {
            process.silent = false;
            process.deaf = false;
            process.lag = Span::ZERO;
            process.wishes.wishes.lock().unwrap().clear();
        }
        for p in 0..self.processes.len() {
            self.wake(p);
        }
        self.deliver_late();
        self.configure(|config| {
            for domain in config.domains.values_mut() {
                domain.out = false;
            }
        });
    }

    /// Ends all faults and has everything that runs succeed, until all accepted
    /// work has ended or the bound is reached.
    pub fn settle(&mut self, bound: Span) {
        use jujubelb::worker::Phase;
        self.heal();
        let until = self.now + bound;
        while self.now < until && !self.is_settled() {
            for (worker, _) in &mut self.workers {
                worker.finish(0, Phase::Succeeded);
            }
            self.tick();
        }
        if !self.is_settled() {
            let left = self.oracle.unfinished();
            self.oracle
                .violations
                .push(format!("accepted work was lost: {left:?}"));
        }
    }

    fn is_settled(&self) -> bool {
        let idle = |w: &FakeWorker| !w.running().any(|r| self.oracle.is_cancelled(&r.task.job));
        self.oracle.unfinished().is_empty() && self.workers.iter().all(|(w, _)| idle(w))
    }
}
