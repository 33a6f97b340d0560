//! State shared by the tasks of the process.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexSet;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};
use tokio::sync::Notify;

use super::HostSettings;
use super::access::RefusalLog;
use super::config_check::ConfigReads;
use super::config_exchange::{ConfigQuestions, ConfigReport};
use super::keys::Leader;
use super::known_config::{ActiveConfig, ConfigEvidence, KnownConfig};
use super::known_load::{KnownLoad, LoadRefusal};
use super::leader::ActiveTerm;
use super::relay::Carrier;
use super::voters::Voter;
use super::watch::EvidenceDemand;
use crate::dispatch::{JobSpec, LoadEstimate, QueueSettings};
use crate::model::{DomainName, Span, Time, WallTime};
use crate::platform::{
    CallError, HttpClient, KvClient, OperatorConfig, Revision, WorkerConnections,
};
use crate::telemetry::{self, Clock, Metrics};

/// Locks a mutex, ignoring poisoning: no holder can leave the data inconsistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The leader according to the last read of the leader key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum KnownLeader {
    /// The store has not been read yet.
    Unknown,
    /// The leader key doesn't exist.
    Absent,
    /// The leader key names this leader. Its revision is the fencing token of the term.
    Present(Leader, Revision),
}

/// Outcome of the latest calls to the store.
#[derive(Debug, Clone, Copy)]
struct StoreHealth {
    /// Consecutive failed calls.
    failures: u32,
    /// When the first of these calls failed.
    failing_since: Time,
    /// When a call failed last; zero if none has.
    last_failure: Time,
}

/// Consecutive failed calls after which the store is considered unreachable from
/// this host.
const STORE_LOST_FAILURES: u32 = 2;

/// Counts a request as in flight until dropped.
pub(crate) struct InFlightGuard<'a>(&'a AtomicUsize);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, SeqCst);
    }
}

/// Metrics of the process.
#[derive(Debug)]
pub(crate) struct NodeMetrics {
    pub(crate) registry: Metrics,
    pub(crate) requests: Counter<u64>,
    pub(crate) request_durations: Histogram<f64>,
    pub(crate) store_calls: Counter<u64>,
    pub(crate) store_durations: Histogram<f64>,
    pub(crate) relay_calls: Counter<u64>,
    pub(crate) load_refusals: Counter<u64>,
    pub(crate) access_refusals: Counter<u64>,
}

impl NodeMetrics {
    fn new(registry: Metrics) -> Self {
        Self {
            requests: registry.counter(&telemetry::SUBMISSIONS),
            request_durations: registry.duration_histogram(&telemetry::REQUEST_DURATION),
            store_calls: registry.counter(&telemetry::STORE_CALLS),
            store_durations: registry.duration_histogram(&telemetry::STORE_CALL_DURATION),
            relay_calls: registry.counter(&telemetry::RELAY_CALLS),
            load_refusals: registry.counter(&telemetry::LOAD_REFUSALS),
            access_refusals: registry.counter(&telemetry::ACCESS_REFUSALS),
            registry,
        }
    }
}

/// State of the process of one host.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: HostSettings,
    pub(crate) clock: Clock,
    /// Client for other hosts and the policy service.
    pub(crate) client: HttpClient,
    /// Connections to workers, of this process as the leader and as a relay.
    pub(crate) workers: WorkerConnections,
    pub(crate) kv: KvClient,
    pub(crate) metrics: NodeMetrics,
    config: Mutex<KnownConfig>,
    /// Reads of the configuration by requests, one at a time.
    pub(crate) config_reads: tokio::sync::Mutex<ConfigReads>,
    /// Questions for the configuration to other hosts.
    pub(crate) config_questions: ConfigQuestions,
    /// Log lines for calls that are refused for their key.
    pub(crate) refusal_log: Mutex<RefusalLog>,
    evacuated: Mutex<IndexSet<DomainName>>,
    /// When the last call was sent whose answer has shown all evacuated domains.
    evacuations_proven: Mutex<Option<Time>>,
    /// What the leader of this process asks of the watch of the operator's keys.
    pub(crate) operator_demand: EvidenceDemand,
    /// Whether the operator's keys have been read once.
    operator_state_known: AtomicBool,
    leader: Mutex<KnownLeader>,
    load: Mutex<KnownLoad>,
    /// Notified when the leader, the evacuated domains or the draining state change.
    pub(crate) state_changed: Notify,
    /// Calls that this process makes for the leader.
    pub(crate) carrier: Carrier,
    /// The term that this process leads, if any.
    active_term: Mutex<Option<Arc<ActiveTerm>>>,
    /// Nonce of the term that this process leads or tries to win. Set before the
    /// election, and cleared only after the last call to a worker has ended.
    term_nonce: Mutex<Option<u64>>,
    store_health: Mutex<StoreHealth>,
    /// Votes of this host on the terms of others.
    pub(crate) voter: Mutex<Voter>,
    draining: AtomicBool,
    inflight: AtomicUsize,
}

impl Node {
    pub(crate) fn new(settings: HostSettings, kv: KvClient, registry: Metrics) -> Self {
        Self {
            settings,
            clock: Clock::start(),
            client: HttpClient::default(),
            workers: WorkerConnections::default(),
            kv,
            metrics: NodeMetrics::new(registry),
            config: Mutex::default(),
            config_reads: tokio::sync::Mutex::default(),
            config_questions: ConfigQuestions::default(),
            refusal_log: Mutex::default(),
            evacuated: Mutex::new(IndexSet::new()),
            evacuations_proven: Mutex::new(None),
            operator_demand: EvidenceDemand::default(),
            operator_state_known: AtomicBool::new(false),
            leader: Mutex::new(KnownLeader::Unknown),
            load: Mutex::default(),
            state_changed: Notify::new(),
            carrier: Carrier::default(),
            active_term: Mutex::new(None),
            term_nonce: Mutex::new(None),
            store_health: Mutex::new(StoreHealth {
                failures: 0,
                failing_since: Time::ZERO,
                last_failure: Time::ZERO,
            }),
            voter: Mutex::default(),
            draining: AtomicBool::new(false),
            inflight: AtomicUsize::new(0),
        }
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn wall_time(&self) -> WallTime {
        Clock::wall()
    }

    /// The active configuration; `None` until one was read.
    pub(crate) fn config(&self) -> Option<Arc<ActiveConfig>> {
        lock(&self.config).active().cloned()
    }

    /// Activates a configuration, unless its version is not newer than the active one.
    pub(crate) fn set_config(&self, operator: OperatorConfig, revision: Revision) {
        lock(&self.config).activate(operator, revision);
    }

    /// Records that the configuration of a revision can't be decoded; zero if the revision can't
    /// be read either.
    pub(crate) fn mark_config_unreadable(&self, revision: Revision) {
        if revision == Revision::default() {
            return self.mark_config_doubtful(revision);
        }
        lock(&self.config).mark_unreadable(revision);
    }

    /// Records an item that can't be decoded and may be a newer configuration.
    pub(crate) fn mark_config_doubtful(&self, revision: Revision) {
        let now = self.now();
        lock(&self.config).mark_doubtful(revision, now);
    }

    /// Records that a read of the configuration's key sent at this time was answered.
    pub(crate) fn settle_config_doubt(&self, sent: Time) {
        lock(&self.config).settle_doubt(sent);
    }

    /// Records that a call to the store sent at this time has shown the newest configuration.
    pub(crate) fn confirm_config(&self, sent: Time) {
        lock(&self.config).confirm(sent);
    }

    /// Takes what another host has said of the configuration, in answer to a call sent at this time.
    pub(crate) fn learn_config(&self, report: ConfigReport, sent: Time) {
        let mut config = lock(&self.config);
        if let Some(copy) = report.newer {
            config.activate((*copy).into(), report.revision);
        }
        if let Some(age) = report.age {
            config.confirm_by_peer(report.version, age, sent);
        }
    }

    /// What this host can tell others of the configuration, of which they know version `known`.
    pub(crate) fn config_report(&self, known: u64) -> Option<ConfigReport> {
        let now = self.now();
        lock(&self.config).report(known, now)
    }

    /// Whether callers may have to present the key of a customer.
    pub(crate) fn has_customers(&self) -> bool {
        lock(&self.config).has_customers()
    }

    /// Age from which the evidence of which configuration is the newest does not suffice.
    fn evidence_bound(&self, config: &KnownConfig) -> Span {
        self.settings.evidence_bound(config.has_customers())
    }

    /// Age of the evidence of which configuration is the newest; `None` without any.
    pub(crate) fn config_age(&self) -> Option<Span> {
        let now = self.now();
        lock(&self.config).evidence_age(now)
    }

    /// Whether the store has to be asked which configuration is the newest.
    pub(crate) fn is_config_overdue(&self) -> bool {
        let now = self.now();
        let config = lock(&self.config);
        config.is_overdue(now, self.evidence_bound(&config))
    }

    /// Whether the configuration's key has to be read: there is no recent evidence, or an item
    /// that can't be decoded may be a newer configuration.
    pub(crate) fn is_config_read_needed(&self) -> bool {
        self.is_config_overdue() || lock(&self.config).is_doubtful()
    }

    /// The active configuration, and what shows that it is the newest; `None` until one was
    /// read.
    pub(crate) fn config_with_evidence(&self) -> Option<(Arc<ActiveConfig>, ConfigEvidence)> {
        let now = self.now();
        let config = lock(&self.config);
        let active = config.active()?.clone();
        let evidence = config.evidence(now, self.evidence_bound(&config));
        Some((active, evidence))
    }

    pub(crate) fn evacuated(&self) -> IndexSet<DomainName> {
        lock(&self.evacuated).clone()
    }

    /// Records that a call to the store sent at this time has shown all evacuated domains.
    pub(crate) fn confirm_evacuated(&self, sent: Time) {
        let mut proven = lock(&self.evacuations_proven);
        *proven = (*proven).max(Some(sent));
    }

    /// When the last call was sent whose answer has shown all evacuated domains.
    pub(crate) fn evacuations_proven(&self) -> Option<Time> {
        *lock(&self.evacuations_proven)
    }

    pub(crate) fn change_evacuated(&self, change: impl FnOnce(&mut IndexSet<DomainName>)) {
        change(&mut lock(&self.evacuated));
        self.state_changed.notify_waiters();
    }

    /// Whether the configuration and the evacuated domains have been read since the start.
    pub(crate) fn is_operator_state_known(&self) -> bool {
        self.operator_state_known.load(SeqCst)
    }

    /// Records that the operator's keys have been read.
    pub(crate) fn set_operator_state_known(&self) {
        self.operator_state_known.store(true, SeqCst);
        self.state_changed.notify_waiters();
    }

    pub(crate) fn leader(&self) -> KnownLeader {
        lock(&self.leader).clone()
    }

    pub(crate) fn set_leader(&self, seen: KnownLeader) {
        let mut leader = lock(&self.leader);
        if *leader != seen {
            match &seen {
                KnownLeader::Present(l, token) => {
                    log::info!(leader:% = l.host, address:% = l.peer_address, token = token.0; "leader changed");
                }
                KnownLeader::Absent => log::warn!("there is no leader"),
                KnownLeader::Unknown => {}
            }
            *leader = seen;
            self.state_changed.notify_waiters();
        }
    }

    /// The leader, if it is known and is another host.
    pub(crate) fn remote_leader(&self) -> Option<Leader> {
        match self.leader() {
            KnownLeader::Present(leader, _) if leader.host != self.settings.host => Some(leader),
            _ => None,
        }
    }

    /// Revision of the leader key as this host knows it; `None` if no leader is known.
    pub(crate) fn leader_revision(&self) -> Option<Revision> {
        match *lock(&self.leader) {
            KnownLeader::Present(_, revision) => Some(revision),
            KnownLeader::Unknown | KnownLeader::Absent => None,
        }
    }

    /// Records the estimate in the leader's answer to a call that was sent at this time.
    pub(crate) fn learn_load(&self, estimate: Option<LoadEstimate>, sent: Time) {
        lock(&self.load).learn(estimate, sent, self.leader_revision());
    }

    /// Why a submission is to be refused for load; `None` if it is to be accepted.
    pub(crate) fn load_refusal(
        &self,
        queue: &QueueSettings,
        spec: &JobSpec,
    ) -> Option<LoadRefusal> {
        let now = self.now();
        if let Some(term) = self.active_term() {
            self.learn_load(lock(&term.dispatcher).load_estimate(now), now);
        }
        lock(&self.load).refuses(queue, spec, self.leader_revision(), now)
    }

    /// Whether the leader key, as this host knows it, names the term of this process with a
    /// nonce.
    pub(crate) fn is_known_leader(&self, nonce: u64) -> bool {
        let settings = &self.settings;
        matches!(&*lock(&self.leader), KnownLeader::Present(leader, _)
            if leader.host == settings.host
                && leader.peer_address == settings.peer_address
                && leader.nonce == nonce)
    }

    /// Whether this process leads the term with this nonce, or may still win it.
    pub(crate) fn holds_term(&self, nonce: u64) -> bool {
        *lock(&self.term_nonce) == Some(nonce)
    }

    pub(crate) fn set_term_nonce(&self, nonce: Option<u64>) {
        *lock(&self.term_nonce) = nonce;
    }

    pub(crate) fn active_term(&self) -> Option<Arc<ActiveTerm>> {
        lock(&self.active_term).clone()
    }

    pub(crate) fn set_active_term(&self, term: Option<Arc<ActiveTerm>>) {
        *lock(&self.active_term) = term;
    }

    /// Records the duration and outcome of a call to the store, and returns its result.
    pub(crate) fn record_store_call<T>(
        &self,
        kind: &'static str,
        sent: Time,
        result: Result<T, CallError>,
    ) -> Result<T, CallError> {
        let now = self.now();
        let ok = match &result {
            // Any other status shows that the store works, but it may answer 429 or
            // 5xx to this host alone.
            Ok(_) => true,
            Err(error) => {
                matches!(error, CallError::UnexpectedStatus(_, s) if !matches!(s, 429 | 500..))
            }
        };
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("result", if ok { "answered" } else { "failed" }),
        ];
        self.metrics.store_calls.add(1, &labels);
        self.metrics
            .store_durations
            .record(now.since(sent).as_secs_f64(), &labels[..1]);
        let mut health = lock(&self.store_health);
        if ok {
            if health.failures >= STORE_LOST_FAILURES {
                log::info!(outage:% = now.since(health.failing_since), failures = health.failures; "the store is reachable again");
            }
            health.failures = 0;
        } else {
            if health.failures == 0 {
                health.failing_since = now;
            }
            health.failures += 1;
            health.last_failure = now;
            if health.failures == STORE_LOST_FAILURES
                && let Err(error) = &result
            {
                log::warn!(error:% = error, call = kind; "the store is unreachable");
            }
        }
        result
    }

    /// Whether the store is considered unreachable from this host.
    pub(crate) fn is_store_lost(&self) -> bool {
        lock(&self.store_health).failures >= STORE_LOST_FAILURES
    }

    /// Time since the last failed call to the store, or since the start of the process.
    pub(crate) fn store_calm(&self) -> Span {
        self.now().since(lock(&self.store_health).last_failure)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(SeqCst)
    }

    pub(crate) fn drain(&self) {
        self.draining.store(true, SeqCst);
        self.state_changed.notify_waiters();
    }

    pub(crate) fn track_request(&self) -> InFlightGuard<'_> {
        self.inflight.fetch_add(1, SeqCst);
        InFlightGuard(&self.inflight)
    }

    pub(crate) fn inflight(&self) -> usize {
        self.inflight.load(SeqCst)
    }
}

/// Sleeps for a span.
pub(crate) async fn sleep(span: Span) {
    tokio::time::sleep(span.to_std()).await;
}
