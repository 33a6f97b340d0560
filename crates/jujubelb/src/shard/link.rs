//! What the owner knows of one worker.

use indexmap::{IndexMap, IndexSet};

use crate::journal::Change;
use crate::model::{Attempt, Incarnation, Resources, Span, TaskId, Time, WorkerTime};
use crate::worker::{RefusedCommand, SyncReport, TaskReport};

/// Length of a worker lease. To be tuned.
pub const LEASE_DURATION: Span = Span::from_secs(15);

/// Time after which a lease that refers to a report has certainly ended,
/// counted from the receipt of the report: 5 % for clock drift and 1 s.
pub const LEASE_EXPIRY_WAIT: Span = Span::from_millis(15_000 * 105 / 100 + 1_000);

/// Time between exchanges without commands. To be tuned.
pub(super) const SYNC_EVERY: Span = Span::from_secs(1);

/// Shortest time between exchanges with one worker. To be tuned.
pub(super) const SYNC_GAP: Span = Span::from_millis(50);

/// What the last report said.
#[derive(Debug, Clone)]
pub(super) struct Seen {
    pub incarnation: Incarnation,
    pub at: WorkerTime,
    pub received: Time,
    pub version: u64,
    pub leaving: bool,
}

#[derive(Debug, Default)]
pub(super) struct Link {
    /// Whether the configuration in force has the worker in this shard.
    pub declared: bool,
    /// Number of the last exchange.
    pub seq: u64,
    /// Whether an exchange is outstanding.
    pub busy: bool,
    /// Start of the last exchange.
    pub sent: Option<Time>,
    /// Last report to this owner.
    pub seen: Option<Seen>,
    pub inventory: IndexMap<(TaskId, Attempt), TaskReport>,
    /// Number of the last answered exchange.
    pub answered: u64,
    /// Attempts whose start was sent by this owner, with the number of the exchange.
    pub starts: IndexMap<(TaskId, Attempt), u64>,
    /// Largest limits sent since the last answered exchange; they may be in force.
    pub limits: IndexMap<(TaskId, Attempt), Resources>,
    /// Refusals in the last report.
    pub refused: Vec<RefusedCommand>,
    /// Time after which no lease on this worker is in force, if none is renewed.
    pub bound: Time,
    /// When an operator confirmed that the host is dead.
    pub dead: Option<Time>,
    /// Whether the attempts on it were given up after the lease had ended.
    pub lost: bool,
    /// Whether commands may be waiting.
    pub eager: bool,
}

/// What changed with a report.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Taken {
    /// The report continues the last one.
    Same,
    /// The first report to this owner.
    First,
    /// The worker restarted; these attempts had been sent to the former incarnation or seen there.
    Restarted(IndexSet<(TaskId, Attempt)>),
    /// The report can't be used.
    Unusable,
}

impl Link {
    /// Whether the worker answered recently enough that a lease may be in force.
    pub(super) fn is_reached(&self, now: Time) -> bool {
        self.seen.is_some() && !self.lost && now < self.bound
    }

    /// Takes in a report received at `now`.
    pub(super) fn take(&mut self, now: Time, report: SyncReport) -> Taken {
        let taken = self.compare(&report);
        if taken == Taken::Unusable {
            return taken;
        }
        if let Taken::Restarted(known) = &taken {
            self.inventory.clear();
            // Kept as answered starts until their ends are stored, so that no append
            // failure in between makes them look as if they had never been sent.
            self.starts = known.iter().map(|key| (key.clone(), 0)).collect();
        }
        if let Some(inventory) = report.inventory {
            let keyed = inventory
                .into_iter()
                .map(|r| ((r.task.clone(), r.attempt), r));
            self.inventory = keyed.collect();
        }
        self.answered = self.seq;
        self.limits.clear();
        self.refused = report.refused;
        self.bound = now + LEASE_EXPIRY_WAIT;
        self.lost = false;
        self.dead = None;
        self.seen = Some(Seen {
            incarnation: report.incarnation,
            at: report.at,
            received: now,
            version: report.version,
            leaving: report.leaving,
        });
        taken
    }

    fn compare(&self, report: &SyncReport) -> Taken {
        let Some(seen) = &self.seen else {
            return match report.inventory {
                Some(_) => Taken::First,
                None => Taken::Unusable,
            };
        };
        if seen.incarnation != report.incarnation {
            if report.inventory.is_none() {
                return Taken::Unusable;
            }
            let known = self.inventory.keys().chain(self.starts.keys());
            return Taken::Restarted(known.cloned().collect());
        }
        if report.at < seen.at || (report.version != seen.version && report.inventory.is_none()) {
            return Taken::Unusable;
        }
        Taken::Same
    }

    /// Forgets the starts of attempts whose end is stored.
    pub(super) fn forget_starts(&mut self, changes: &[Change]) {
        for change in changes {
            if let Change::Ended { task, attempt, .. } = change {
                self.starts.swap_remove(&(task.clone(), *attempt));
            }
        }
    }

    /// Whether the last answered exchange, or one before it, carried the start of an attempt.
    pub(super) fn start_answered(&self, key: &(TaskId, Attempt)) -> bool {
        self.starts
            .get(key)
            .is_some_and(|seq| *seq <= self.answered)
    }

    /// Room to count for an attempt with this stored or planned limit.
    pub(super) fn room(&self, key: &(TaskId, Attempt), limit: Resources) -> Resources {
        self.room_by(self.inventory.get(key), key, limit)
    }

    /// The same, given the attempt's entry in the inventory.
    pub(super) fn room_by(
        &self,
        report: Option<&TaskReport>,
        key: &(TaskId, Attempt),
        limit: Resources,
    ) -> Resources {
        let mut room = limit;
        if let Some(report) = report.filter(|r| !r.phase.is_ended()) {
            room = room.max(&report.limit);
        }
        if let Some(sent) = self.limits.get(key) {
            room = room.max(sent);
        }
        room
    }
}
