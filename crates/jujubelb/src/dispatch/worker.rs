//! What the leader knows of a worker: room, runs, clock and lease.

use std::net::SocketAddr;

use arcstr::ArcStr;
use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::health::Health;
use super::job_spec::{JobKey, Run, TaskKey};
use super::pace::{Headrooms, Trace};
use crate::model::{DomainName, Resources, ServiceName, Span, Time, WorkerName, WorkerTime};
use crate::place::headroom::{HeadroomEstimate, INITIAL_HEADROOM};

/// Start time of a worker's present incarnation; differs after each restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A worker as it describes itself.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerReport {
    /// Its name; stays over restarts.
    pub name: WorkerName,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The service whose pool it belongs to.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its kind, its rack and any other label.
    pub labels: Vec<ArcStr>,
    /// Its rack.
    pub rack: Option<ArcStr>,
    /// What it offers in all.
    pub capacity: Resources,
    /// `Some` while it leaves: the least time that is left.
    pub drain_remaining: Option<Span>,
    /// Its incarnation.
    pub incarnation: Option<Incarnation>,
}

/// What is known of a run on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Phase {
    /// The start is on its way.
    Starting,
    /// The worker has confirmed it.
    Running,
    /// The start was not answered; it may run, now or later.
    Unsure,
}

/// A run that occupies a worker, or may.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    pub(crate) run: Run,
    pub(crate) phase: Phase,
    pub(crate) size: Resources,
    pub(crate) best_effort: bool,
    /// What it runs.
    pub(crate) image: ArcStr,
    /// Bound for the tail of the response times, of a task that serves.
    pub(crate) target: Option<Span>,
    /// When it was ordered, or first seen.
    pub(crate) since: Time,
    /// When the worker confirmed it.
    pub(crate) confirmed: Time,
    /// The start has no effect after this time of the worker's clock.
    pub(crate) deadline: WorkerTime,
    /// When the last stop was sent.
    pub(crate) stop_sent: Option<Time>,
    /// When a stop was answered.
    pub(crate) stop_done: Option<Time>,
    /// Whether the run has to end.
    pub(crate) unwanted: bool,
    /// The worker's figures of the last look.
    pub(crate) percent: u32,
    /// When `percent` last changed.
    pub(crate) progressed: Time,
    pub(crate) usage: u64,
    /// Share of its speed that the run was told to work at, in percent.
    pub(crate) pace: u32,
    /// The share before that.
    pub(crate) earlier: u32,
    /// When the share last changed.
    pub(crate) paced: Time,
    /// Since when a serving task's tail has been above its target.
    pub(crate) harmed: Option<Time>,
}

/// Slowest rate of a worker's clock, as a share of ours in percent.
const SLOWEST_CLOCK: u64 = 98;

/// Covers the delay between reading a clock and using it.
const CLOCK_MARGIN: Span = Span::from_millis(300);

#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) report: WorkerReport,
    /// Whether the store lists it. An unlisted worker gets no new tasks.
    pub(crate) listed: bool,
    /// When it may be gone, while it leaves.
    pub(crate) leaves: Option<Time>,
    /// Whether it has seen this leader's token in its present incarnation.
    pub(crate) fenced: bool,
    /// Whether the durable roster names it.
    pub(crate) rostered: bool,
    /// Its clock at a moment of ours that was not earlier.
    pub(crate) clock: Option<(WorkerTime, Time)>,
    /// The latest deadline that it may have been given.
    pub(crate) lease: WorkerTime,
    /// Whether the last look was answered. One that wasn't may still arrive and
    /// extend the lease, so the next ones give no lease until one is answered.
    pub(crate) reached: bool,
    /// Highest end that may be acknowledged.
    pub(crate) acknowledged: u64,
    /// Highest end that was taken in.
    pub(crate) seen: u64,
    /// The ends up to `seen` are durable once this change is.
    pub(crate) pending: u64,
    /// When it last answered a look.
    pub(crate) answered: Time,
    /// No starts before this time.
    pub(crate) paused: Time,
    /// When the paces of its filling tasks were last adjusted.
    pub(crate) adjusted: Time,
    /// What its filling tasks take from its serving ones, by job.
    pub(crate) strains: Vec<Strain>,
    /// The image of a filling task there whose effect is not known yet.
    pub(crate) untested: Option<ArcStr>,
    /// Filling tasks that have ended just now.
    pub(crate) traces: Vec<Trace>,
    /// What runs there or may run there.
    pub(crate) runs: IndexMap<TaskKey, Held>,
    pub(crate) health: Health,
    /// Present sums over `runs`.
    pub(crate) load: Load,
}

/// What a worker's runs take.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Load {
    /// Counted against the room.
    pub(crate) counted: Resources,
    /// Processor time that is in use or will be, in millicores. Declared sizes
    /// are far off, so what a run was seen to use goes before what it asks for.
    pub(crate) demand: u64,
    /// Tasks with a target for their response times.
    pub(crate) serving: u32,
    /// Tasks that fill.
    pub(crate) fillers: u32,
}

/// Share of its processor time, in percent, that a serving task is taken to use;
/// its figures tell only the tail of its response times.
const SERVING_USE: u64 = 45;

impl Load {
    pub(crate) fn add(&mut self, held: &Held) {
        let size = held.size;
        if held.best_effort {
            self.counted += Resources::new(0, size.memory.0, size.accelerators);
            self.fillers += 1;
        } else {
            self.counted += size;
        }
        self.demand += held.demand();
        self.serving += u32::from(held.target.is_some());
    }
}

/// What filling tasks take from the serving tasks of one job on a worker.
#[derive(Debug, Clone)]
pub(crate) struct Strain {
    pub(crate) job: JobKey,
    pub(crate) image: ArcStr,
    /// Headroom that the filling tasks take at their present pace.
    pub(crate) taken: f64,
}

impl Strain {
    /// Headroom that the load of the job's own users leaves.
    pub(crate) fn own(&self, known: &Headrooms) -> f64 {
        known
            .get(&self.job)
            .map_or(INITIAL_HEADROOM, HeadroomEstimate::expected)
    }
}

impl Held {
    /// Processor time that the run uses at full pace, in millicores.
    pub(crate) fn demand(&self) -> u64 {
        if self.target.is_some() {
            self.size.cpu.0 * SERVING_USE / 100
        } else if self.usage > 0 && self.pace == 100 {
            self.usage
        } else {
            self.size.cpu.0
        }
    }
}

impl Worker {
    pub(crate) fn new(report: WorkerReport, now: Time) -> Self {
        let mut worker = Self {
            report,
            listed: true,
            leaves: None,
            fenced: false,
            rostered: false,
            clock: None,
            lease: WorkerTime::ZERO,
            reached: true,
            acknowledged: 0,
            seen: 0,
            pending: 0,
            answered: Time::ZERO,
            paused: Time::ZERO,
            adjusted: Time::ZERO,
            strains: Vec::new(),
            untested: None,
            traces: Vec::new(),
            runs: IndexMap::new(),
            health: Health::default(),
            load: Load::default(),
        };
        worker.set_leaving(now);
        worker
    }

    /// Takes a new report of the same worker.
    pub(crate) fn refresh(&mut self, report: WorkerReport, now: Time) {
        self.listed = true;
        self.report = report;
        self.set_leaving(now);
    }

    fn set_leaving(&mut self, now: Time) {
        self.leaves = match (self.report.drain_remaining, self.leaves) {
            (Some(left), Some(known)) => Some((now + left).max(known)),
            (Some(left), None) => Some(now + left),
            (None, _) => None,
        };
    }

    /// Its clock now, at least.
    pub(crate) fn clock_now(&self, now: Time) -> Option<WorkerTime> {
        let (clock, at) = self.clock?;
        let elapsed = now.since(at).as_micros() * SLOWEST_CLOCK / 100;
        Some(clock + Span::from_micros(elapsed))
    }

    /// Whether everything that it was given has surely ended.
    pub(crate) fn is_lapsed(&self, now: Time) -> bool {
        self.clock_now(now)
            .is_some_and(|clock| clock > self.lease + CLOCK_MARGIN)
    }

    /// An amount of processor time as a share of the worker.
    pub(crate) fn share(&self, millicores: u64) -> f64 {
        millicores as f64 / self.report.capacity.cpu.0.max(1) as f64
    }

    /// Sums up its runs.
    pub(crate) fn sum_up(&mut self) {
        let mut load = Load::default();
        for held in self.runs.values() {
            load.add(held);
        }
        self.load = load;
    }

    /// Whether it may be given tasks now.
    pub(crate) fn is_open(&self, now: Time) -> bool {
        self.listed
            && self.leaves.is_none()
            && self.fenced
            && self.rostered
            && self.paused <= now
            && now.since(self.answered) < FRESH
            && self.health.is_open(now, self.runs.len())
    }
}

/// A worker that hasn't answered a look for this long gets no starts. A look
/// waits for at most 1.5 s.
const FRESH: Span = Span::from_millis(2_500);
