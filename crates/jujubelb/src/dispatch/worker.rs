//! The leader's view of a worker: capacity, runs, clock and lease.

use std::collections::VecDeque;
use std::net::SocketAddr;

use arcstr::ArcStr;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::confirmation::Arrival;
use super::crash::Isolation;
use super::health::Health;
use super::job_spec::{JobKey, Run, TaskKey};
use super::pace::{EndedRun, Headrooms};
use crate::model::{
    DomainName, FastMap, Resources, ServiceName, Span, Time, WorkerName, WorkerTime,
};
use crate::place::headroom::{HeadroomEstimate, INITIAL_HEADROOM};

/// Start time of a worker process as the worker reports it; differs after each restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Description of a worker, as the worker writes it to the store.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerReport {
    /// Name of the worker; does not change with a restart.
    pub name: WorkerName,
    /// Address of the worker's order interface.
    pub address: SocketAddr,
    /// Service whose pool of workers it belongs to.
    pub service: ServiceName,
    /// Failure domain that the worker is in.
    pub domain: DomainName,
    /// Labels that a step can require: the kind, the rack and any other ones.
    pub labels: Vec<ArcStr>,
    /// Rack that the worker is in; `None` if it does not say.
    pub rack: Option<ArcStr>,
    /// Total resources for tasks.
    pub capacity: Resources,
    /// Minimum time until a draining worker leaves; `None` while it is not draining.
    pub drain_remaining: Option<Span>,
    /// Current incarnation; `None` if it is not known.
    pub incarnation: Option<Incarnation>,
}

/// Assumed state of a run on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum RunPhase {
    /// The start order has been sent and not answered.
    Starting,
    /// The worker has confirmed the run.
    Running,
    /// The start order got no answer; the run may exist or may still begin.
    Unsure,
}

/// Whether calls that were made to an earlier incarnation of a worker may still take effect on
/// the current one. A call names only the worker, so the token has to tell them apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    /// They can't: the incarnation has seen a higher token, or will see that of a new term
    /// before anything is started on it.
    Admitted,
    /// They may: the token was not raised since the incarnation was noticed.
    AwaitsToken,
    /// The token was raised at this time, and no poll that was sent later has been answered.
    AwaitsPoll(Time),
}

/// A run that occupies or may occupy a worker.
#[derive(Debug, Clone)]
pub(crate) struct TrackedRun {
    pub(crate) run: Run,
    pub(crate) phase: RunPhase,
    pub(crate) size: Resources,
    pub(crate) best_effort: bool,
    pub(crate) long_running: bool,
    pub(crate) image: ArcStr,
    /// Upper bound for the tail latency; `None` unless it is a serving task.
    pub(crate) target: Option<Span>,
    /// When the start was ordered, or an adopted run was first seen.
    pub(crate) since: Time,
    /// When the worker confirmed the run.
    pub(crate) confirmed: Time,
    /// When the worker last listed the run as running.
    pub(crate) last_listed: Time,
    /// How far the run is kept apart from others until it has outlived its probation.
    pub(crate) isolation: Isolation,
    /// Time on the worker's clock after which the start order has no effect.
    pub(crate) deadline: WorkerTime,
    /// Lower bound for the worker's clock when the start was ordered. An answer with an earlier
    /// reading comes from another incarnation.
    pub(crate) order_clock: WorkerTime,
    pub(crate) stop_sent: Option<Time>,
    /// Whether the last stop order has no answer yet, not even that there is none.
    pub(crate) stop_pending: bool,
    /// When the worker first confirmed a stop of the run in its current incarnation.
    pub(crate) stop_confirmed: Option<Time>,
    pub(crate) must_stop: bool,
    /// Whether it started because its step was starved, see [`starvation`](super::starvation).
    pub(crate) starved: bool,
    /// Progress of the run, or readiness of a serving task, at the last poll.
    pub(crate) percent: u32,
    /// When `percent` last changed.
    pub(crate) last_progress: Time,
    /// Tail latency in milliseconds of a serving task, otherwise processor time in use in
    /// millicores, at the last poll.
    pub(crate) usage: u64,
    /// Ordered speed in percent of full speed.
    pub(crate) pace: u32,
    /// Ordered speed before the last change.
    pub(crate) previous_pace: u32,
    /// When `pace` last changed.
    pub(crate) pace_changed: Time,
    /// Pace at which the worker lets the run work as far as is known; `None` if another pace than
    /// `pace` may be in force, so that it has to be ordered.
    pub(crate) worker_pace: Option<u32>,
    /// Since when the tail latency of a serving task has been above its target.
    pub(crate) above_target: Option<Time>,
}

/// Longest time after which a worker executes a call that it has not answered. The platform
/// names seconds; up to 12 s were seen.
const MAX_CALL_DELAY: Span = Span::from_secs(12);

/// Time in which a worker that has started writes its entry to the store. Workers write one
/// with each heartbeat, every 1.5 s.
const REGISTRATION_TIME: Span = Span::from_secs(2);

/// Lowest assumed rate of a worker's clock relative to this host's clock.
const MIN_CLOCK_RATE_PERCENT: u64 = 98;

/// Allowance for the delay between reading a clock and using the value.
pub(crate) const CLOCK_MARGIN: Span = Span::from_millis(300);

#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) report: WorkerReport,
    /// When the first report of the reported incarnation came.
    pub(crate) reported: Time,
    /// Whether a poll that was sent after `reported` was answered by another incarnation,
    /// which is then a later one. Labels, service and room of that one are not known.
    pub(crate) report_outdated: bool,
    /// Whether the store lists the worker. An unlisted worker gets no new tasks.
    pub(crate) listed: bool,
    /// Earliest time at which a draining worker may be gone; `None` while it is not draining.
    pub(crate) drain_deadline: Option<Time>,
    /// Whether its current incarnation has seen this leader's fencing token.
    pub(crate) fenced: bool,
    /// Whether all runs that earlier leaders have started on it are known: an answer under this
    /// leader's token has listed its runs, and all ends that it keeps were read.
    pub(crate) fully_listed: bool,
    /// Whether late calls to an earlier incarnation are ruled out. Nothing is started before.
    pub(crate) admission: Admission,
    /// When this term learned of the current incarnation, in the order of arrivals. Nothing
    /// is started on it before the term is confirmed after that.
    pub(crate) arrival: Arrival,
    /// Address at which the durable roster has the worker; `None` if it is not in it. Nothing is
    /// started at another address, since the next leader has to find every worker with runs.
    pub(crate) roster_address: Option<SocketAddr>,
    /// Incarnation that gave the last answer to a poll. All that is known of runs and
    /// completions refers to it; the report may be of an earlier or later incarnation.
    pub(crate) incarnation: Option<Incarnation>,
    /// Last reading of the worker's clock, with a local time at or after the reading.
    pub(crate) clock_reading: Option<(WorkerTime, Time)>,
    /// Latest lease deadline that the worker may have received.
    pub(crate) lease_deadline: WorkerTime,
    /// Latest deadline of a start on the current incarnation. A lease that it has granted lasts as
    /// long, whatever becomes of the polls.
    pub(crate) start_deadline: WorkerTime,
    /// Whether the last poll was answered. A poll without an answer may still arrive and
    /// extend the lease, so the following polls carry no lease until one is answered.
    pub(crate) reachable: bool,
    /// Whether another worker answers at its address, which shows that its process has ended.
    pub(crate) replaced: bool,
    /// Since when the worker may have restarted unnoticed: a start got no answer, or an answer
    /// came from another incarnation. Nothing starts until a poll that was sent later is answered.
    pub(crate) restart_suspected: Option<Time>,
    /// When the last call that may extend a lease was given up without an answer. Its deadline
    /// is a time on the clock of one incarnation, and does not bind another one that executes it.
    pub(crate) unanswered: Time,
    /// Whether the last answer listed completions, which the worker keeps until a later poll
    /// acknowledges them.
    pub(crate) keeps_completions: bool,
    /// Highest sequence number of a completion that may be acknowledged.
    pub(crate) acknowledged: u64,
    /// Highest sequence number of a completion that has been processed.
    pub(crate) processed: u64,
    /// Completions above `acknowledged` whose effects may not be durable, in the order of
    /// their sequence numbers. The last one is `processed`.
    pub(crate) unacknowledged: VecDeque<ProcessedCompletions>,
    /// When the worker last answered a poll.
    pub(crate) last_answer: Time,
    pub(crate) paused_until: Time,
    /// When the paces of its best-effort tasks were last adjusted.
    pub(crate) pace_adjusted: Time,
    /// Interference of its best-effort tasks with its serving tasks, one entry per job.
    pub(crate) interference: Vec<JobInterference>,
    /// Image of a best-effort task on it whose interference is still unknown.
    pub(crate) untested_image: Option<ArcStr>,
    /// Best-effort runs that ended within the window of the worker's latency reports.
    pub(crate) ended_runs: Vec<EndedRun>,
    pub(crate) runs: FastMap<TaskKey, TrackedRun>,
    /// When the current incarnation first answered a poll of this term.
    pub(crate) answering_since: Time,
    pub(crate) health: Health,
    /// Totals of `runs`.
    pub(crate) load: Load,
}

/// Completions that one answer of a worker has added.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProcessedCompletions {
    /// Highest sequence number among them.
    pub(crate) last: u64,
    /// Number of the last change when they were processed. Their effects are durable once
    /// this change is.
    pub(crate) change: u64,
}

/// Resources that the runs of a worker take.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Load {
    /// Declared sizes, which are limited by the worker's capacity. Best-effort tasks
    /// reserve no processor time.
    pub(crate) reserved: Resources,
    /// Processor time in use or soon to be in use, in millicores. Observed usage takes
    /// precedence over declared sizes, which are far from accurate.
    pub(crate) cpu_demand: u64,
    /// Number of tasks with a latency target.
    pub(crate) serving_tasks: u32,
    pub(crate) best_effort_tasks: u32,
    /// Number of runs on probation.
    pub(crate) suspects: u32,
    /// Number of runs on probation beside which nothing may start.
    pub(crate) lone_suspects: u32,
    /// Number of runs of starved steps.
    pub(crate) starved_runs: u32,
}

/// Share of its declared processor time that a serving task is assumed to use. Workers
/// report only the tail latency of serving tasks, not their usage.
const SERVING_CPU_PERCENT: u64 = 45;

impl Load {
    pub(crate) fn add(&mut self, tracked: &TrackedRun) {
        let size = tracked.size;
        if tracked.best_effort {
            self.reserved += Resources::new(0, size.memory.0, size.accelerators);
            self.best_effort_tasks += 1;
        } else {
            self.reserved += size;
        }
        self.cpu_demand = self.cpu_demand.saturating_add(tracked.cpu_demand());
        self.serving_tasks += u32::from(tracked.target.is_some());
        self.suspects += u32::from(tracked.isolation > Isolation::None);
        self.lone_suspects += u32::from(tracked.isolation == Isolation::Alone);
        self.starved_runs += u32::from(tracked.starved);
    }
}

/// Interference of a worker's best-effort tasks with the serving tasks of one job.
#[derive(Debug, Clone)]
pub(crate) struct JobInterference {
    pub(crate) job: JobKey,
    pub(crate) image: ArcStr,
    /// Expected loss of headroom at the current paces of the best-effort tasks.
    pub(crate) headroom_taken: f64,
}

impl JobInterference {
    /// Expected headroom of the job without best-effort tasks beside it.
    pub(crate) fn baseline(&self, known: &Headrooms) -> f64 {
        known
            .get(&self.job)
            .map_or(INITIAL_HEADROOM, HeadroomEstimate::expected)
    }
}

impl TrackedRun {
    /// Expected processor time of the run at full pace, in millicores.
    pub(crate) fn cpu_demand(&self) -> u64 {
        if self.target.is_some() {
            self.size.cpu.0.saturating_mul(SERVING_CPU_PERCENT) / 100
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
            reported: now,
            report_outdated: false,
            listed: true,
            drain_deadline: None,
            fenced: false,
            fully_listed: false,
            admission: Admission::AwaitsToken,
            arrival: Arrival::default(),
            roster_address: None,
            incarnation: None,
            clock_reading: None,
            lease_deadline: WorkerTime::ZERO,
            start_deadline: WorkerTime::ZERO,
            reachable: true,
            replaced: false,
            restart_suspected: None,
            unanswered: Time::ZERO,
            keeps_completions: false,
            acknowledged: 0,
            processed: 0,
            unacknowledged: VecDeque::new(),
            last_answer: Time::ZERO,
            paused_until: Time::ZERO,
            pace_adjusted: Time::ZERO,
            interference: Vec::new(),
            untested_image: None,
            ended_runs: Vec::new(),
            runs: FastMap::default(),
            answering_since: Time::ZERO,
            health: Health::default(),
            load: Load::default(),
        };
        worker.update_drain_deadline(now);
        worker
    }

    /// Replaces the report with a newer one of the same worker.
    pub(crate) fn update_report(&mut self, report: WorkerReport, now: Time) {
        self.listed = true;
        if report.address != self.report.address {
            self.replaced = false;
        }
        if report.incarnation != self.report.incarnation {
            self.reported = now;
            self.report_outdated = false;
        }
        self.report = report;
        self.update_drain_deadline(now);
    }

    /// Whether the report is of the incarnation that was last polled, as far as is known.
    pub(crate) fn is_report_current(&self) -> bool {
        let (reported, polled) = (self.report.incarnation, self.incarnation);
        reported.is_none() || polled.is_none() || reported == polled
    }

    /// Whether the current incarnation has seen this leader's token, and late calls to an
    /// earlier one are ruled out.
    pub(crate) fn is_admitted(&self) -> bool {
        self.fenced && self.admission == Admission::Admitted
    }

    /// Whether the last poll was answered, and no call since shows that the worker may have
    /// restarted.
    pub(crate) fn is_answering(&self) -> bool {
        self.reachable && self.restart_suspected.is_none()
    }

    /// Whether the report may be of a later incarnation than the one that was last polled.
    pub(crate) fn has_newer_report(&self) -> bool {
        !self.is_report_current() && !self.report_outdated
    }

    fn update_drain_deadline(&mut self, now: Time) {
        self.drain_deadline = match (self.report.drain_remaining, self.drain_deadline) {
            (Some(left), Some(known)) => Some((now + left).max(known)),
            (Some(left), None) => Some(now + left),
            (None, _) => None,
        };
    }

    /// Lower bound for the worker's clock now; `None` before the first answer.
    pub(crate) fn min_clock(&self, now: Time) -> Option<WorkerTime> {
        let (clock, at) = self.clock_reading?;
        let elapsed = now.since(at).as_micros() * MIN_CLOCK_RATE_PERCENT / 100;
        Some(clock + Span::from_micros(elapsed))
    }

    /// Lower bound for the worker's clock at a time before or after its last reading; `None`
    /// before the first answer.
    pub(crate) fn clock_at(&self, time: Time) -> Option<WorkerTime> {
        let (clock, at) = self.clock_reading?;
        if time >= at {
            return self.min_clock(time);
        }
        let elapsed = at.since(time).as_micros();
        Some(WorkerTime::from_micros(
            clock.as_micros().saturating_sub(elapsed),
        ))
    }

    /// Longest time by the worker's clock for which its lease may have lasted from its last answer.
    pub(crate) fn longest_lease_left(&self) -> Span {
        let read = self
            .clock_reading
            .map_or(WorkerTime::ZERO, |(clock, _)| clock);
        self.lease_deadline.since(read)
    }

    /// Counts calls that are not known to be meant for this incarnation and may have been executed
    /// up to this reading of the clock. Their deadlines may be times on another clock, so each
    /// may have granted the longest lease of all.
    pub(crate) fn count_outdated_calls(&mut self, until: WorkerTime, longest_lease: Span) {
        self.lease_deadline = self.lease_deadline.max(until + longest_lease);
    }

    /// Whether the worker's lease has certainly expired, so that all its runs have ended.
    pub(crate) fn is_lease_expired(&self, now: Time) -> bool {
        self.min_clock(now)
            .is_some_and(|clock| clock > self.lease_deadline + CLOCK_MARGIN)
    }

    /// Whether a start without an answer has no effect any more, given that the lease has
    /// expired on the clock of the incarnation that was polled. Another incarnation may have
    /// executed it as well, with a lease of up to `longest_lease` from then on. There is none if
    /// the store, read at `listed` after it would have registered, does not show it.
    pub(crate) fn is_start_ruled_out(
        &self,
        tracked: &TrackedRun,
        listed: Time,
        longest_lease: Span,
        now: Time,
    ) -> bool {
        let restarted = self.has_newer_report() || tracked.since < self.answering_since;
        let is_known = listed > self.unanswered + REGISTRATION_TIME;
        (is_known && !restarted)
            || now.since(self.unanswered.max(tracked.since)) > MAX_CALL_DELAY + longest_lease
    }

    /// An amount of processor time as a fraction of the worker's capacity.
    pub(crate) fn cpu_share(&self, millicores: u64) -> f64 {
        millicores as f64 / self.report.capacity.cpu.0.max(1) as f64
    }

    /// Records that the completions up to `last` were processed when `change` was the last
    /// change.
    pub(crate) fn record_processed(&mut self, last: u64, change: u64) {
        if last > self.processed {
            self.processed = last;
            self.unacknowledged
                .push_back(ProcessedCompletions { last, change });
        }
    }

    /// Allows the worker to forget the completions whose effects are durable, given the last
    /// change up to which all changes are.
    pub(crate) fn acknowledge(&mut self, durable: u64) {
        while let Some(first) = self.unacknowledged.front()
            && first.change <= durable
        {
            self.acknowledged = first.last;
            self.unacknowledged.pop_front();
        }
    }

    /// Recomputes `load` from `runs`.
    pub(crate) fn update_load(&mut self) {
        let mut load = Load::default();
        for tracked in self.runs.values() {
            load.add(tracked);
        }
        self.load = load;
    }

    /// Whether the worker may hold runs of earlier leaders that it has not listed to this one.
    pub(crate) fn may_hide_runs(&self) -> bool {
        self.roster_address.is_some() && !self.fully_listed && !self.replaced
    }

    /// Whether the worker runs a task that tests its health.
    pub(crate) fn is_probing(&self, now: Time) -> bool {
        let is_probe = |r: &TrackedRun| self.health.is_probe(r.since, now);
        self.health.is_unhealthy() && self.runs.values().any(is_probe)
    }

    /// Whether the worker's health allows a start. `probe_after` is how long the probe of an
    /// unhealthy worker has to be due before the task may be one; `None` if it must not.
    pub(crate) fn accepts_health(&self, probe_after: Option<Span>, now: Time) -> bool {
        let is_due = |delay| self.health.is_probe_due(now - delay);
        !self.health.is_unhealthy() || (probe_after.is_some_and(is_due) && !self.is_probing(now))
    }

    /// Whether tasks may be started on the worker now, if its health allows it.
    pub(crate) fn accepts_start(&self, now: Time) -> bool {
        self.listed
            && self.drain_deadline.is_none()
            && self.is_admitted()
            && self.roster_address == Some(self.report.address)
            // What runs on an incarnation is known only after a poll, and its labels and
            // room only from its own report.
            && self.is_report_current()
            && self.paused_until <= now
            && now.since(self.last_answer) < MAX_ANSWER_AGE
    }
}

/// A worker gets no starts if its last answer to a poll is older. A poll waits for at
/// most 1.5 s.
const MAX_ANSWER_AGE: Span = Span::from_millis(2_500);
