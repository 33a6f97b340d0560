//! What the owner knows of one worker.

use indexmap::{IndexMap, IndexSet};

use crate::journal::Change;
use crate::model::{Attempt, Incarnation, Resources, Span, TaskId, Time, WorkerTime};
use crate::worker::{Refused, Report, TaskReport};

/// Length of a worker lease. To be tuned.
pub const LEASE_DURATION: Span = Span::from_secs(15);

/// Time after which a lease that refers to a report has certainly ended,
/// counted from the receipt of the report: 5 % for clock drift and 1 s.
pub const LEASE_EXPIRY_WAIT: Span = Span::from_millis(15_000 * 105 / 100 + 1_000);

/// Time between exchanges without commands. To be tuned.
pub(super) const SYNC_INTERVAL: Span = Span::from_secs(1);

/// Shortest time between exchanges with one worker. To be tuned.
pub(super) const MIN_SYNC_INTERVAL: Span = Span::from_millis(50);

/// What the last report said.
#[derive(Debug, Clone)]
pub(super) struct LastReport {
    pub incarnation: Incarnation,
    pub worker_time: WorkerTime,
    pub received_at: Time,
    pub version: u64,
    pub leaving: bool,
}

#[derive(Debug, Default)]
pub(super) struct TrackedWorker {
    /// Whether the configuration in force has the worker in this shard.
    pub declared: bool,
    /// Number of the last exchange.
    pub seq: u64,
    /// Whether an exchange is outstanding.
    pub in_flight: bool,
    /// Start of the last exchange.
    pub last_sent: Option<Time>,
    /// Last report to this owner.
    pub last_report: Option<LastReport>,
    pub inventory: IndexMap<(TaskId, Attempt), TaskReport>,
    /// Number of the last answered exchange.
    pub answered_seq: u64,
    /// Attempts whose start was sent by this owner, with the number of the exchange.
    pub sent_starts: IndexMap<(TaskId, Attempt), u64>,
    /// Largest limits sent since the last answered exchange; they may be in force.
    pub sent_limits: IndexMap<(TaskId, Attempt), Resources>,
    /// Refusals in the last report.
    pub refusals: Vec<Refused>,
    /// Time after which no lease on this worker is in force, if none is renewed.
    pub lease_bound: Time,
    /// When an operator confirmed that the host is dead.
    pub confirmed_dead: Option<Time>,
    /// Whether the attempts on it were given up after the lease had ended.
    pub relocated: bool,
    /// Whether commands may be waiting.
    pub sync_soon: bool,
}

/// What changed with a report.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ReportKind {
    /// The report continues the last one.
    Same,
    /// The first report to this owner.
    First,
    /// The worker restarted; these attempts had been sent to the former incarnation or seen there.
    Restarted(IndexSet<(TaskId, Attempt)>),
    /// The report can't be used.
    Unusable,
}

impl TrackedWorker {
    /// Whether the worker answered recently enough that a lease may be in force.
    pub(super) fn is_reachable(&self, now: Time) -> bool {
        self.last_report.is_some() && !self.relocated && now < self.lease_bound
    }

    /// Takes in a report received at `now`.
    pub(super) fn apply_report(&mut self, now: Time, report: Report) -> ReportKind {
        let kind = self.classify(&report);
        if kind == ReportKind::Unusable {
            return kind;
        }
        if let ReportKind::Restarted(known) = &kind {
            self.inventory.clear();
            // Kept as answered starts until their ends are stored, so that no append
            // failure in between makes them look as if they had never been sent.
            self.sent_starts = known.iter().map(|key| (key.clone(), 0)).collect();
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

    fn classify(&self, report: &Report) -> ReportKind {
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
            let known = self.inventory.keys().chain(self.sent_starts.keys());
            return ReportKind::Restarted(known.cloned().collect());
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

    /// Room to count for an attempt with this stored or planned limit.
    pub(super) fn committed_limit(&self, key: &(TaskId, Attempt), limit: Resources) -> Resources {
        self.committed_limit_with(self.inventory.get(key), key, limit)
    }

    /// The same, given the attempt's entry in the inventory.
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
