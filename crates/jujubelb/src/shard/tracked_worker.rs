//! The owner's knowledge of one worker: its last report, its lease, and the commands sent to it.

use indexmap::{IndexMap, IndexSet};

use crate::journal::Change;
use crate::model::{Attempt, Incarnation, Resources, Span, TaskId, Time, WorkerTime};
use crate::worker::{RefusedCommand, SyncReport, TaskReport};

/// Duration of a worker lease, counted from the worker's time in its last report.
pub const LEASE_DURATION: Span = Span::from_secs(15);

/// Time from the receipt of a report after which a lease that was granted in
/// reply to it has certainly expired: the lease with 5 % for clock drift, and 1 s.
pub const LEASE_EXPIRY_WAIT: Span = Span::from_millis(15_000 * 105 / 100 + 1_000);

/// Time between exchanges with a worker when no commands wait.
pub(super) const SYNC_INTERVAL: Span = Span::from_secs(1);

/// Minimum time between exchanges with one worker.
pub(super) const MIN_SYNC_INTERVAL: Span = Span::from_millis(50);

/// Parts of a worker's last report that apply to the worker as a whole.
#[derive(Debug, Clone)]
pub(super) struct LastReport {
    pub incarnation: Incarnation,
    /// Time of the report by the worker's clock.
    pub worker_time: WorkerTime,
    /// Time of receipt by the owner's clock.
    pub received_at: Time,
    /// Version of the inventory.
    pub version: u64,
    pub leaving: bool,
}

#[derive(Debug, Default)]
pub(super) struct TrackedWorker {
    /// Whether the active configuration has the worker in this shard.
    pub declared: bool,
    /// Number of the last exchange.
    pub seq: u64,
    /// Whether an exchange is in flight.
    pub in_flight: bool,
    /// Start of the last exchange.
    pub last_sent: Option<Time>,
    /// Last usable report to this owner.
    pub last_report: Option<LastReport>,
    /// Attempts in the last report that contained an inventory.
    pub inventory: IndexMap<(TaskId, Attempt), TaskReport>,
    /// Number of the last answered exchange.
    pub answered_seq: u64,
    /// Attempts whose start this owner sent, with the number of the exchange.
    pub sent_starts: IndexMap<(TaskId, Attempt), u64>,
    /// Largest limits sent since the last answered exchange. The worker may have applied them.
    pub sent_limits: IndexMap<(TaskId, Attempt), Resources>,
    /// Refusals in the last report.
    pub refusals: Vec<RefusedCommand>,
    /// Time after which the worker's lease has certainly expired, if it is not renewed.
    pub lease_bound: Time,
    /// Time at which an operator confirmed that the host is dead.
    pub confirmed_dead: Option<Time>,
    /// Whether its attempts were considered lost because its lease expired.
    pub relocated: bool,
    /// Whether commands may be waiting, so that the next exchange starts early.
    pub sync_soon: bool,
}

/// How a report relates to the previous one.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ReportKind {
    /// From the same incarnation as the previous report.
    Same,
    /// First report to this owner.
    First,
    /// From a new incarnation. Contains the attempts that were sent to the
    /// previous incarnation or reported by it.
    Restarted(IndexSet<(TaskId, Attempt)>),
    /// Ignored: it is out of date, or it lacks an inventory that the owner needs.
    Unusable,
}

impl TrackedWorker {
    /// Whether the worker replied recently enough that it may hold a lease.
    pub(super) fn is_reachable(&self, now: Time) -> bool {
        self.last_report.is_some() && !self.relocated && now < self.lease_bound
    }

    /// Updates the state with a report received at `now`.
    pub(super) fn apply_report(&mut self, now: Time, report: SyncReport) -> ReportKind {
        let kind = self.classify(&report);
        if kind == ReportKind::Unusable {
            return kind;
        }
        if let ReportKind::Restarted(previous) = &kind {
            self.inventory.clear();
            // Retained as answered starts until their ends are stored. Otherwise, after
            // a failed append, they would count as never sent.
            self.sent_starts = previous.iter().map(|key| (key.clone(), 0)).collect();
        }
        if let Some(inventory) = report.inventory {
            let keyed = inventory
                .into_iter()
                .map(|r| ((r.task.clone(), r.attempt), r));
            self.inventory = keyed.collect();
        }
        self.answered_seq = self.seq;
        self.sent_limits.clear();
        self.refusals = report.refused;
        self.lease_bound = now + LEASE_EXPIRY_WAIT;
        self.relocated = false;
        self.confirmed_dead = None;
        self.last_report = Some(LastReport {
            incarnation: report.incarnation,
            worker_time: report.at,
            received_at: now,
            version: report.version,
            leaving: report.leaving,
        });
        kind
    }

    fn classify(&self, report: &SyncReport) -> ReportKind {
        let Some(last) = &self.last_report else {
            return match report.inventory {
                Some(_) => ReportKind::First,
                None => ReportKind::Unusable,
            };
        };
        if last.incarnation != report.incarnation {
            if report.inventory.is_none() {
                return ReportKind::Unusable;
            }
            let previous = self.inventory.keys().chain(self.sent_starts.keys());
            return ReportKind::Restarted(previous.cloned().collect());
        }
        if report.at < last.worker_time
            || (report.version != last.version && report.inventory.is_none())
        {
            return ReportKind::Unusable;
        }
        ReportKind::Same
    }

    /// Forgets the starts of attempts whose end is stored.
    pub(super) fn forget_starts(&mut self, changes: &[Change]) {
        for change in changes {
            if let Change::Ended { task, attempt, .. } = change {
                self.sent_starts.swap_remove(&(task.clone(), *attempt));
            }
        }
    }

    /// Whether the last answered exchange, or one before it, carried the start of an attempt.
    pub(super) fn is_start_answered(&self, key: &(TaskId, Attempt)) -> bool {
        self.sent_starts
            .get(key)
            .is_some_and(|seq| *seq <= self.answered_seq)
    }

    /// Capacity to commit for an attempt with this stored or planned limit: the largest of
    /// this limit and those that the worker reported or may have applied.
    pub(super) fn committed_limit(&self, key: &(TaskId, Attempt), limit: Resources) -> Resources {
        self.committed_limit_with(self.inventory.get(key), key, limit)
    }

    /// Like `committed_limit`, with the attempt's entry in the inventory given.
    pub(super) fn committed_limit_with(
        &self,
        report: Option<&TaskReport>,
        key: &(TaskId, Attempt),
        limit: Resources,
    ) -> Resources {
        let mut committed = limit;
        if let Some(report) = report.filter(|r| !r.phase.is_ended()) {
            committed = committed.max(&report.limit);
        }
        if let Some(sent) = self.sent_limits.get(key) {
            committed = committed.max(sent);
        }
        committed
    }
}
