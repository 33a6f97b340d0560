//! Leaders of following terms that act beside each other on the same workers.
//!
//! An old leader goes on for a while after the next one was elected: it is paused, cut from
//! the store, or its calls to the store are not answered. Both learn of the same new jobs.
//! [`Simulation`] checks each start, so a task that runs twice fails the seed.
//!
//! Hosts store jobs without a condition, or under the token of the leader that they know, which
//! the store compares with its newest one. What they know may be old, their writes arrive late
//! or get no answer, and they try again.

use std::panic::{AssertUnwindSafe, catch_unwind};

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::simulation::{BOUNDS, Fault, LatePoll, REVISIONS_PER_TERM, TIME_STEP, leader_term};
use super::{Simulation, job, long_running, step};
use crate::dispatch::{
    Arrival, Dispatcher, EarlierLeaders, InterferenceModel, JobKey, JobOutcome, JobRecord, Roster,
    Succession, Term, WorkerOrder,
};
use crate::model::{Span, Time, WorkerName};

/// Seeds that a test run plays; `JUJUBELB_TERM_SEEDS` sets another number.
const DEFAULT_SEEDS: u64 = 4_000;

/// How many more short seeds are played than long ones.
const LONG_SEED_RATIO: u64 = 20;

/// Simulated time of one seed. Shorter than the leases of workers, so that a run that is
/// started twice cannot go unnoticed because the first one lapsed.
const DURATION: Span = Span::from_millis(4_500);

const WORKERS: usize = 4;

/// Simulated time of a seed that outlasts the wait for leaders that can't be asked.
const LONG_DURATION: Span = Span::from_secs(46);

/// Longest time that a leader acts after the election of the next one, less the longest time
/// without a renewal before that election.
const MAX_ACTING: u64 = 15_700;

/// What a leader is told of, by watch or by a message of another host.
#[derive(Debug, Clone, Copy)]
enum Notice {
    /// A job, and the token that its record names.
    Job(JobKey, Option<u64>),
    Cancellation(JobKey),
}

/// How hosts store jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Storing {
    /// At once and without a condition.
    Unconditional,
    /// Most jobs under the token of the leader that the host knows.
    UnderTokens,
}

/// A host's transaction that stores a job, on its way to the store.
#[derive(Debug, Clone)]
struct JobWrite {
    key: JobKey,
    record: JobRecord,
    at_store: Time,
    /// Token of the leader that the host knows, which the store expects to be the newest.
    token: Option<u64>,
    /// Whether the host gets the answer.
    answered: bool,
}

/// A renewal of the leader's lease on its way to the store and back.
#[derive(Debug, Clone, Copy)]
struct Renewal {
    arrived: Arrival,
    at_store: Time,
    answer: Time,
    /// Whether the store had this leader as the newest; `None` before the call arrives.
    executed: Option<bool>,
    lost: bool,
}

struct Leader {
    dispatcher: Dispatcher,
    number: u64,
    /// What its election has stored about earlier leaders, and when.
    succession: Succession,
    elected: Time,
    /// When its term begins to act: it has read the state from the store.
    loads: Time,
    loaded: bool,
    /// When its process ends, unless it notices before that its term is over.
    ends: Time,
    /// Since when it does not reach the store.
    cut: Time,
    /// Since when it reaches no worker but dark ones, which it alone reaches.
    confined: Time,
    /// Whether its host answers once the leader has ended.
    answers: bool,
    resigned: bool,
    ended: bool,
    /// Whether its voters may confirm its term while it does not reach the store. A later leader
    /// makes them refuse.
    has_votes: bool,
    inbox: Vec<(Time, Notice)>,
    renewal: Option<Renewal>,
}

fn term(number: u64) -> Term {
    Term {
        token: REVISIONS_PER_TERM * (number + 1),
        number,
    }
}

struct Overlap {
    rng: StdRng,
    /// Decides what is known of earlier leaders.
    evidence: StdRng,
    /// Decides which polls are executed late.
    delays: StdRng,
    /// Decides what voters answer, and when they are asked.
    votes: StdRng,
    late_polls: Vec<(Time, LatePoll)>,
    sim: Simulation,
    leaders: Vec<Leader>,
    /// Number of the newest leader at the store.
    newest: u64,
    elections: Vec<Time>,
    next_job: u64,
    /// What the store holds about earlier leaders.
    succession: Succession,
    duration: Span,
    /// Number of the leader that alone reaches a worker, and since when.
    dark: Vec<(WorkerName, u64, Time)>,
    /// Index of the leader that makes calls now.
    acting: usize,
    storing: Storing,
    writes: Vec<JobWrite>,
}

impl Overlap {
    /// Jobs are stored without a condition on the leader.
    fn new(seed: u64) -> Self {
        Self::short(seed, Storing::Unconditional)
    }

    /// Jobs are stored under the tokens that hosts know.
    fn under_tokens(seed: u64) -> Self {
        Self::short(seed, Storing::UnderTokens)
    }

    fn short(seed: u64, storing: Storing) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let sim = Simulation::new(WORKERS);
        let mut elections = vec![sim.now + Span::from_millis(rng.random_range(300..1_500))];
        if rng.random_bool(0.5) {
            elections.push(elections[0] + Span::from_millis(rng.random_range(100..1_200)));
        }
        let mut overlap = Self::start(seed, rng, sim, elections, DURATION);
        overlap.storing = storing;
        overlap
    }

    /// Leaders that follow each other while some workers are dark: no leader reaches them,
    /// except for one that may go on for a long time after its term.
    fn long(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let sim = Simulation::new(WORKERS);
        let mut elections = vec![sim.now + Span::from_millis(rng.random_range(1_000..3_000))];
        for _ in 0..rng.random_range(1..4) {
            let last = elections[elections.len() - 1];
            elections.push(last + Span::from_millis(rng.random_range(500..14_000)));
        }
        let mut overlap = Self::start(seed, rng, sim, elections, LONG_DURATION);
        for i in 0..WORKERS - 1 {
            if overlap.rng.random_bool(0.6) {
                let leader = overlap.rng.random_range(0..overlap.elections.len());
                let successor = overlap.elections[leader];
                let since = successor - Span::from_millis(overlap.rng.random_range(0..400));
                let name = overlap.sim.workers.keys()[i].clone();
                overlap.dark.push((name, leader as u64, since));
            }
        }
        let record = job(0, vec![long_running(3 * WORKERS as u32, 4)]);
        overlap.submit(record);
        overlap
    }

    fn start(
        seed: u64,
        rng: StdRng,
        sim: Simulation,
        elections: Vec<Time>,
        duration: Span,
    ) -> Self {
        let mut overlap = Self {
            rng,
            evidence: StdRng::seed_from_u64(!seed),
            delays: StdRng::seed_from_u64(seed.rotate_left(32)),
            votes: StdRng::seed_from_u64(!seed.rotate_left(32)),
            late_polls: Vec::new(),
            sim,
            leaders: Vec::new(),
            newest: 0,
            elections,
            next_job: 1,
            succession: Succession::empty(0),
            duration,
            dark: Vec::new(),
            acting: 0,
            storing: Storing::Unconditional,
            writes: Vec::new(),
        };
        let mut first = overlap.leader(0);
        std::mem::swap(&mut first.dispatcher, &mut overlap.sim.dispatcher);
        first.loaded = true;
        overlap.leaders.push(first);
        overlap
    }

    /// A leader that is elected now.
    fn leader(&mut self, number: u64) -> Leader {
        let now = self.sim.now;
        let next = self.elections.get(number as usize).copied();
        let next = next.unwrap_or(now + self.duration);
        let rng = &mut self.rng;
        let is_long = self.duration == LONG_DURATION;
        let goes_on = is_long && rng.random_bool(0.5);
        // It has not renewed its lease for a while when the next leader is elected.
        let cut = match goes_on || rng.random_bool(0.5) {
            true => next - Span::from_millis(rng.random_range(0..300)),
            false => next + self.duration,
        };
        let loads = now + Span::from_millis(rng.random_range(0..400));
        let ends = match (goes_on, is_long) {
            (true, _) => next + Span::from_millis(rng.random_range(0..MAX_ACTING)),
            (false, true) => next - TIME_STEP.scale_up(3, 1),
            (false, false) => next + Span::from_millis(rng.random_range(0..2_500)),
        };
        let confined = match is_long {
            true => next,
            false => next + self.duration,
        };
        let answers = self.evidence.random_bool(0.5);
        let resigned = self.evidence.random_bool(0.5);
        Leader {
            dispatcher: Dispatcher::new(
                term(number),
                BOUNDS,
                EarlierLeaders::new(&Succession::empty(number), now),
                &Roster::default(),
                InterferenceModel::default(),
                now,
            ),
            number,
            succession: self.succession.clone(),
            elected: now,
            loads,
            loaded: false,
            ends,
            cut,
            confined,
            answers,
            resigned,
            ended: false,
            has_votes: true,
            inbox: Vec::new(),
            renewal: None,
        }
    }

    fn play(&mut self) {
        let end = self.sim.now + self.duration;
        while self.sim.now < end {
            self.sim.now = self.sim.now + TIME_STEP;
            self.sim.advance_workers();
            self.change_store();
            self.crash_workers();
            self.execute_late_polls();
            let mut order: Vec<usize> = (0..self.leaders.len()).collect();
            order.shuffle(&mut self.rng);
            for i in order {
                self.act(i);
            }
        }
    }

    /// Jobs and cancellations are stored, leaders are elected, and renewals arrive.
    fn change_store(&mut self) {
        let now = self.sim.now;
        let is_long = self.duration == LONG_DURATION;
        if self.rng.random_bool(if is_long { 0.002 } else { 0.1 }) {
            let count = self.rng.random_range(1..4);
            let estimate = Span::from_millis(self.rng.random_range(300..3_000));
            self.submit(job(0, vec![step(count, 4, estimate)]));
        }
        let (due, later) = std::mem::take(&mut self.writes)
            .into_iter()
            .partition(|w| w.at_store <= now);
        self.writes = later;
        let due: Vec<JobWrite> = due;
        for write in due {
            self.store_job(write);
        }
        if !is_long && self.rng.random_bool(0.01) && !self.sim.jobs.is_empty() {
            let i = self.rng.random_range(0..self.sim.jobs.len());
            let key = self.sim.jobs.keys()[i];
            self.sim.cancelled.insert(key);
            self.notify(Notice::Cancellation(key));
        }
        let number = self.newest + 1;
        if self
            .elections
            .get(self.newest as usize)
            .is_some_and(|at| *at <= now)
        {
            self.newest = number;
            // A leader that is elected between the end of another one and its resignation
            // asks it.
            let last = &self.leaders[self.leaders.len() - 1];
            let is_read = self.evidence.random_bool(0.95);
            self.succession = Succession::following(
                leader_term(last.number),
                last.ended && last.resigned,
                Some(&self.succession).filter(|_| is_read),
                number,
            );
            let leader = self.leader(number);
            self.leaders.push(leader);
        }
        for leader in &mut self.leaders {
            if let Some(renewal) = &mut leader.renewal
                && renewal.executed.is_none()
                && renewal.at_store <= now
            {
                renewal.executed = Some(leader.number == self.newest);
            }
        }
    }

    /// A caller submits a job.
    fn submit(&mut self, mut record: JobRecord) {
        record.accepted = self.sim.wall();
        let key = JobKey(self.next_job);
        self.next_job += 1;
        match self.storing {
            Storing::Unconditional => {
                self.sim.jobs.insert(key, record);
                self.notify(Notice::Job(key, None));
            }
            Storing::UnderTokens => self.send_job(key, &record),
        }
    }

    /// A host sends a job to the store. If it gets no answer, it tries again, and the first
    /// attempt may arrive after the second.
    fn send_job(&mut self, key: JobKey, record: &JobRecord) {
        let now = self.sim.now;
        let rng = &mut self.rng;
        let known = match rng.random_bool(0.3) {
            true => self.newest.saturating_sub(rng.random_range(1..3)),
            false => self.newest,
        };
        let token = rng.random_bool(0.8).then(|| term(known).token);
        let mut write = JobWrite {
            key,
            record: record.clone(),
            at_store: now + Span::from_millis(rng.random_range(0..60)),
            token,
            answered: rng.random_bool(0.7),
        };
        if !write.answered {
            write.at_store = now + Span::from_millis(rng.random_range(0..1_200));
            let again = JobWrite {
                at_store: now + Span::from_millis(rng.random_range(100..800)),
                token: token.filter(|_| rng.random_bool(0.7)),
                answered: true,
                ..write.clone()
            };
            self.writes.push(again);
        }
        self.writes.push(write);
    }

    /// The store executes a write. Each leader may see the record by its watch, and the host
    /// tells the leaders of it, with a token only if its own write was made and answered.
    fn store_job(&mut self, write: JobWrite) {
        let JobWrite { key, token, .. } = write;
        let is_newest = token.is_none_or(|t| t == term(self.newest).token);
        if is_newest && !self.sim.jobs.contains_key(&key) {
            let record = JobRecord {
                term_token: token,
                ..write.record
            };
            self.sim.jobs.insert(key, record);
            self.notify(Notice::Job(key, token));
            if write.answered {
                self.notify(Notice::Job(key, token));
            }
        } else if write.answered && token.is_some() {
            let delay = Span::from_millis(self.rng.random_range(0..60));
            self.writes.push(JobWrite {
                at_store: self.sim.now + delay,
                token: None,
                ..write
            });
        } else if write.answered {
            self.notify(Notice::Job(key, None));
        }
    }

    /// Tells every leader, once or twice, after a delay of its own.
    fn notify(&mut self, notice: Notice) {
        let now = self.sim.now;
        for leader in &mut self.leaders {
            for _ in 0..self.rng.random_range(1..3) {
                let delay = Span::from_millis(self.rng.random_range(0..600));
                leader.inbox.push((now + delay, notice));
            }
        }
    }

    /// Executes late polls at the latest at their time, and often just when the worker has an
    /// end to forget.
    fn execute_late_polls(&mut self) {
        let now = self.sim.now;
        let (due, later) =
            std::mem::take(&mut self.late_polls)
                .into_iter()
                .partition(|(at, poll)| {
                    let harms = self.sim.would_forget(poll) && self.delays.random_bool(0.5);
                    *at <= now || harms
                });
        self.late_polls = later;
        let due: Vec<(Time, LatePoll)> = due;
        for (_, poll) in &due {
            self.sim.execute_late(poll);
        }
    }

    fn crash_workers(&mut self) {
        if self.duration == LONG_DURATION || !self.rng.random_bool(0.01) {
            return;
        }
        let i = self.rng.random_range(0..WORKERS);
        // An end that no leader has made durable is forgotten with the worker.
        let lost: Vec<_> = self
            .sim
            .worker(i)
            .completions
            .iter()
            .map(|c| c.task)
            .collect();
        for task in lost {
            let states = &self.sim.states;
            let durable = states.get(&task.step.job).is_some_and(|p| {
                p.outcome == Some(JobOutcome::Completed)
                    || p.occurrences
                        .iter()
                        .flat_map(|o| o.steps.get(usize::from(task.step.step)))
                        .any(|s| s.is_done(task.index))
            });
            if !durable {
                self.sim.done.shift_remove(&task);
            }
        }
        self.sim.crash_worker(i);
        // The waiting poll of each leader breaks off, and may be executed later.
        let (name, now) = (self.sim.workers.keys()[i].clone(), self.sim.now);
        for leader in self.leaders.iter_mut().filter(|l| l.loaded) {
            if let Some(poll) = LatePoll::unanswered(&mut leader.dispatcher, &name, now)
                && self.delays.random_bool(0.5)
            {
                let delay = Span::from_millis(self.delays.random_range(0..2_000));
                self.late_polls.push((now + delay, poll));
            }
        }
        self.sim.restart_worker(i);
    }

    /// One step of a leader.
    fn act(&mut self, i: usize) {
        let now = self.sim.now;
        self.acting = i;
        let leader = &mut self.leaders[i];
        leader.ended |= now >= leader.ends || leader.dispatcher.is_deposed();
        if leader.ended || now < leader.loads {
            return;
        }
        std::mem::swap(&mut leader.dispatcher, &mut self.sim.dispatcher);
        self.load(i);
        self.read_inbox(i);
        self.renew(i);
        self.prove_authority(i);
        self.follow_earlier_leaders(i);
        self.poll_workers();
        let reachable = now < self.leaders[i].cut;
        if reachable && self.rng.random_bool(0.6) {
            match self.leaders[i].number == self.newest {
                true => self.sim.commit(),
                // The write expects the commit chain as this term left it.
                false => self.leaders[i].ended = true,
            }
        }
        if !self.leaders[i].ended && self.rng.random_bool(0.8) {
            self.sim.confirm_evidence();
            let orders = self.sim.dispatcher.plan(self.sim.wall(), now);
            for order in &orders {
                self.send(order);
            }
        }
        std::mem::swap(&mut self.leaders[i].dispatcher, &mut self.sim.dispatcher);
    }

    /// Reads the state from the store, as it is now.
    fn load(&mut self, i: usize) {
        if std::mem::replace(&mut self.leaders[i].loaded, true) {
            return;
        }
        let now = self.sim.now;
        let sim = &mut self.sim;
        let term = term(self.leaders[i].number);
        let leader = &self.leaders[i];
        let earlier = EarlierLeaders::new(&leader.succession, leader.elected);
        sim.dispatcher =
            Dispatcher::new(term, BOUNDS, earlier, &sim.roster, sim.model.clone(), now);
        sim.dispatcher.set_authority(leader.elected);
        let wall = sim.wall();
        for (key, record) in &sim.jobs {
            let progress = sim.states.get(key);
            sim.dispatcher
                .accept(*key, record.clone(), progress, true, wall, now);
        }
        for key in &sim.cancelled {
            sim.dispatcher.cancel(*key, now);
        }
        sim.list_workers();
    }

    fn read_inbox(&mut self, i: usize) {
        let (now, wall) = (self.sim.now, self.sim.wall());
        let inbox = std::mem::take(&mut self.leaders[i].inbox);
        let (due, later) = inbox.into_iter().partition(|(at, _)| *at <= now);
        self.leaders[i].inbox = later;
        let due: Vec<(Time, Notice)> = due;
        for (_, notice) in due {
            match notice {
                Notice::Job(key, token) => {
                    let mut record = self.sim.jobs[&key].clone();
                    record.term_token = token;
                    self.sim
                        .dispatcher
                        .accept(key, record, None, false, wall, now);
                }
                Notice::Cancellation(key) => self.sim.dispatcher.cancel(key, now),
            }
        }
    }

    /// Takes the answer of a renewal, and sends the next one if the term needs it.
    fn renew(&mut self, i: usize) {
        let now = self.sim.now;
        let leader = &mut self.leaders[i];
        match leader.renewal {
            Some(renewal) if renewal.answer > now => return,
            Some(renewal) if !renewal.lost && now < leader.cut => match renewal.executed {
                Some(true) => self.sim.dispatcher.term_confirmed(renewal.arrived),
                Some(false) => leader.ended = true,
                None => {}
            },
            _ => {}
        }
        leader.renewal = self.sim.dispatcher.needs_confirmation().then(|| {
            let at_store = now + Span::from_millis(self.rng.random_range(0..80));
            Renewal {
                arrived: self.sim.dispatcher.last_arrival(),
                at_store,
                answer: at_store + Span::from_millis(self.rng.random_range(20..200)),
                executed: None,
                lost: self.rng.random_bool(0.2),
            }
        });
    }

    /// Learns from the store, or else from its voters, that the term is the newest. The voters may
    /// not know of a newer leader that has not asked them to refuse.
    fn prove_authority(&mut self, i: usize) {
        let now = self.sim.now;
        let leader = &self.leaders[i];
        let renews = now < leader.cut && leader.number == self.newest;
        if renews || (leader.has_votes && self.votes.random_bool(0.1)) {
            self.sim.dispatcher.set_authority(now);
        }
    }

    /// Takes the answers of hosts whose leaders have ended, makes the voters of earlier terms
    /// refuse, and stores who is left.
    fn follow_earlier_leaders(&mut self, i: usize) {
        let now = self.sim.now;
        for other in 0..i {
            if self.votes.random_bool(0.02) {
                self.leaders[other].has_votes = false;
                let number = self.leaders[other].number;
                self.sim.dispatcher.leader_stopped(number, now);
            }
        }
        for other in &self.leaders[..i] {
            if other.ended && other.answers && self.evidence.random_bool(0.02) {
                self.sim.dispatcher.leader_stopped(other.number, now);
            }
        }
        let leader = &self.leaders[i];
        if leader.number == self.newest && now < leader.cut && self.evidence.random_bool(0.05) {
            self.succession = Succession {
                nonce: leader.number,
                earlier: self.sim.dispatcher.earlier_leaders(now),
            };
        }
    }

    /// Whether the acting leader reaches a worker.
    fn reaches(&self, name: &WorkerName) -> bool {
        let (now, leader) = (self.sim.now, &self.leaders[self.acting]);
        let dark = self.dark.iter().find(|(n, ..)| n == name);
        match dark {
            Some((_, number, since)) if *since <= now => *number == leader.number,
            _ => now < leader.confined,
        }
    }

    fn poll_workers(&mut self) {
        let mut names: Vec<WorkerName> = self.sim.workers.keys().cloned().collect();
        names.shuffle(&mut self.rng);
        for name in names {
            if self.rng.random_bool(0.15) {
                self.with_fault(&name, |sim| sim.poll_by_name(&name));
            }
        }
    }

    fn send(&mut self, order: &WorkerOrder) {
        self.with_fault(&order.worker, |sim| sim.execute(order));
    }

    /// Makes a call that does not arrive, arrives late or is not answered now and then.
    fn with_fault(&mut self, name: &WorkerName, call: impl FnOnce(&mut Simulation)) {
        let fault = match self.rng.random_range(0..20) {
            _ if !self.reaches(name) => Fault::Partitioned,
            0 => Fault::Partitioned,
            1 => Fault::LostAnswers,
            2 => Fault::DelayedStarts(Span::from_millis(self.rng.random_range(20..600))),
            _ => Fault::None,
        };
        self.sim.workers[name].fault = fault;
        call(&mut self.sim);
        self.sim.workers[name].fault = Fault::None;
    }
}

fn seeds() -> u64 {
    std::env::var("JUJUBELB_TERM_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(DEFAULT_SEEDS)
}

/// Plays a number of seeds, none of which may fail, and returns the sum of what they count.
fn play(seeds: u64, new: fn(u64) -> Overlap, count: fn(&Overlap) -> usize) -> usize {
    let mut total = 0;
    let failing: Vec<u64> = (0..seeds)
        .filter(|seed| {
            let play = || {
                let mut overlap = new(*seed);
                overlap.play();
                count(&overlap)
            };
            catch_unwind(AssertUnwindSafe(play))
                .map(|count| total += count)
                .is_err()
        })
        .collect();
    assert!(
        failing.is_empty(),
        "{} of {seeds} seeds fail: {failing:?}",
        failing.len()
    );
    total
}

/// Guards against two runs of a task that are started by leaders of following terms, of which
/// the older has not noticed that its term is over.
#[test]
fn no_task_runs_twice_while_terms_overlap() {
    let seeds = seeds();
    let starts = play(seeds, Overlap::new, |o| o.sim.starts.len());
    assert!(starts as u64 > 4 * seeds, "{starts} starts are too few");
}

/// Guards against starting inherited tasks while an earlier leader may still extend the
/// leases of workers that no later one reaches, and against waiting anew at each change.
#[test]
fn no_task_runs_twice_while_earlier_leaders_act() {
    let seeds = seeds() / LONG_SEED_RATIO;
    let restarts = play(seeds, Overlap::long, |overlap| {
        let starts = &overlap.sim.starts;
        let first = |i: usize| starts[..i].iter().all(|s| s.2 != starts[i].2);
        (0..starts.len()).filter(|i| !first(*i)).count()
    });
    assert!(restarts as u64 > seeds, "{restarts} restarts are too few");
}

/// Guards against two runs of a task of which one leader starts the job on the strength of its
/// token, and another one because it takes the job for its own.
#[test]
fn no_task_runs_twice_with_jobs_stored_under_tokens() {
    let seeds = seeds();
    let starts = play(seeds, Overlap::under_tokens, |o| o.sim.starts.len());
    assert!(starts as u64 > 4 * seeds, "{starts} starts are too few");
}
