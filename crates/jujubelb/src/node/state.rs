//! What the parts of the process share.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arcstr::ArcStr;
use indexmap::{IndexMap, IndexSet};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};
use tokio::sync::Notify;

use super::HostSettings;
use super::keys::Leader;
use super::leader::Lead;
use crate::model::{DomainName, Span, Time, WallTime};
use crate::platform::{CallError, Client, Kv, Operator, Queue};
use crate::telemetry::{self, Clock, Metrics};

/// Locks a mutex that no holder can leave in a bad state.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The configuration with its queues by host name.
#[derive(Debug, Default)]
pub(crate) struct InForce {
    pub(crate) operator: Operator,
    /// Queues of a host name, longest prefix first.
    queues: IndexMap<ArcStr, Vec<usize>>,
}

impl InForce {
    pub(crate) fn new(operator: Operator) -> Self {
        let mut queues: IndexMap<ArcStr, Vec<usize>> = IndexMap::new();
        for (i, queue) in operator.queues.iter().enumerate() {
            queues.entry(queue.terms.host.clone()).or_default().push(i);
        }
        for list in queues.values_mut() {
            list.sort_by_key(|&i| std::cmp::Reverse(operator.queues[i].terms.prefix.len()));
        }
        Self { operator, queues }
    }

    /// The queue for a host name with the longest prefix of a path.
    pub(crate) fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let list = self.queues.get(host)?;
        list.iter()
            .map(|&i| &self.operator.queues[i])
            .find(|q| path.starts_with(q.terms.prefix.as_str()))
    }
}

/// The leader's key as last seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LeaderSeen {
    /// The store has not been read yet.
    Unknown,
    /// There is none.
    Absent,
    /// This one.
    Present(Leader),
}

/// How calls to the store have gone lately.
#[derive(Debug, Clone, Copy)]
struct StoreHealth {
    /// Calls that have failed since the last one that was answered.
    failures: u32,
    /// When the first of these failed.
    since: Time,
}

/// Failed calls in a row after which the store is taken for lost from here.
const LOST_AFTER: u32 = 2;

/// Counts a request until it is answered.
pub(crate) struct InFlight<'a>(&'a AtomicUsize);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, SeqCst);
    }
}

/// Metrics of the process.
#[derive(Debug)]
pub(crate) struct Figures {
    pub(crate) registry: Metrics,
    pub(crate) requests: Counter<u64>,
    pub(crate) durations: Histogram<f64>,
    pub(crate) store_calls: Counter<u64>,
    pub(crate) store_times: Histogram<f64>,
}

impl Figures {
    fn new(registry: Metrics) -> Self {
        Self {
            requests: registry.counter(&telemetry::SUBMISSIONS),
            durations: registry.durations(&telemetry::REQUEST_TIME),
            store_calls: registry.counter(&telemetry::STORE_CALLS),
            store_times: registry.durations(&telemetry::STORE_TIME),
            registry,
        }
    }
}

/// One process.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: HostSettings,
    pub(crate) clock: Clock,
    pub(crate) client: Client,
    pub(crate) kv: Kv,
    pub(crate) figures: Figures,
    config: Mutex<Option<Arc<InForce>>>,
    evacuated: Mutex<IndexSet<DomainName>>,
    leader: Mutex<LeaderSeen>,
    /// Woken when the leader's key or the evacuated domains have changed.
    pub(crate) news: Notify,
    /// Present while this process leads.
    lead: Mutex<Option<Arc<Lead>>>,
    /// Nonce of the term of this process, from before it wins until its last call
    /// to a worker has ended.
    term: Mutex<Option<u64>>,
    store: Mutex<StoreHealth>,
    draining: AtomicBool,
    inflight: AtomicUsize,
}

impl Node {
    pub(crate) fn new(settings: HostSettings, client: Client, registry: Metrics) -> Self {
        let kv = Kv::new(client.clone(), settings.store);
        Self {
            settings,
            clock: Clock::start(),
            client,
            kv,
            figures: Figures::new(registry),
            config: Mutex::new(None),
            evacuated: Mutex::new(IndexSet::new()),
            leader: Mutex::new(LeaderSeen::Unknown),
            news: Notify::new(),
            lead: Mutex::new(None),
            term: Mutex::new(None),
            store: Mutex::new(StoreHealth {
                failures: 0,
                since: Time::ZERO,
            }),
            draining: AtomicBool::new(false),
            inflight: AtomicUsize::new(0),
        }
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn wall(&self) -> WallTime {
        Clock::wall()
    }

    /// The configuration in force, if one is known.
    pub(crate) fn config(&self) -> Option<Arc<InForce>> {
        lock(&self.config).clone()
    }

    /// Puts a configuration in force, unless a later one is.
    pub(crate) fn set_config(&self, operator: Operator) {
        let mut config = lock(&self.config);
        let known = config.as_ref().map(|c| c.operator.version);
        if known.is_some_and(|v| v >= operator.version) {
            return;
        }
        log::info!(version = operator.version, before:? = known, queues = operator.queues.len(); "configuration in force");
        *config = Some(Arc::new(InForce::new(operator)));
    }

    pub(crate) fn evacuated(&self) -> IndexSet<DomainName> {
        lock(&self.evacuated).clone()
    }

    pub(crate) fn change_evacuated(&self, change: impl FnOnce(&mut IndexSet<DomainName>)) {
        change(&mut lock(&self.evacuated));
        self.news.notify_waiters();
    }

    pub(crate) fn leader(&self) -> LeaderSeen {
        lock(&self.leader).clone()
    }

    pub(crate) fn set_leader(&self, seen: LeaderSeen) {
        let mut leader = lock(&self.leader);
        if *leader != seen {
            match &seen {
                LeaderSeen::Present(l) => {
                    log::info!(leader:% = l.host, address:% = l.peers; "leader known");
                }
                LeaderSeen::Absent => log::warn!("no leader"),
                LeaderSeen::Unknown => {}
            }
            *leader = seen;
            self.news.notify_waiters();
        }
    }

    /// The leader's address, unless this process leads.
    pub(crate) fn other_leader(&self) -> Option<Leader> {
        match self.leader() {
            LeaderSeen::Present(leader) if leader.host != self.settings.host => Some(leader),
            _ => None,
        }
    }

    /// Whether this process leads the term with a nonce, or may still win it.
    pub(crate) fn has_term(&self, nonce: u64) -> bool {
        *lock(&self.term) == Some(nonce)
    }

    pub(crate) fn set_term(&self, nonce: Option<u64>) {
        *lock(&self.term) = nonce;
    }

    pub(crate) fn lead(&self) -> Option<Arc<Lead>> {
        lock(&self.lead).clone()
    }

    pub(crate) fn set_lead(&self, lead: Option<Arc<Lead>>) {
        *lock(&self.lead) = lead;
    }

    /// Takes note of how a call to the store went, and passes its result on.
    pub(crate) fn store_called<T>(
        &self,
        kind: &'static str,
        sent: Time,
        result: Result<T, CallError>,
    ) -> Result<T, CallError> {
        let now = self.now();
        let ok = match &result {
            // Any status is an answer of the store, but 503 and 429 may be meant
            // for this host alone.
            Ok(_) => true,
            Err(error) => matches!(error, CallError::Status(_, s) if !matches!(s, 429 | 500..)),
        };
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("result", if ok { "answered" } else { "failed" }),
        ];
        self.figures.store_calls.add(1, &labels);
        self.figures
            .store_times
            .record(now.since(sent).as_secs_f64(), &labels[..1]);
        let mut health = lock(&self.store);
        if ok {
            if health.failures >= LOST_AFTER {
                log::info!(outage:% = now.since(health.since), failures = health.failures; "store regained");
            }
            health.failures = 0;
        } else {
            if health.failures == 0 {
                health.since = now;
            }
            health.failures += 1;
            if health.failures == LOST_AFTER
                && let Err(error) = &result
            {
                log::warn!(error:% = error, call = kind; "store lost");
            }
        }
        result
    }

    /// Whether the store doesn't answer this host.
    pub(crate) fn is_store_lost(&self) -> bool {
        lock(&self.store).failures >= LOST_AFTER
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(SeqCst)
    }

    pub(crate) fn drain(&self) {
        self.draining.store(true, SeqCst);
        self.news.notify_waiters();
    }

    pub(crate) fn arrived(&self) -> InFlight<'_> {
        self.inflight.fetch_add(1, SeqCst);
        InFlight(&self.inflight)
    }

    pub(crate) fn inflight(&self) -> usize {
        self.inflight.load(SeqCst)
    }
}

/// Sleeps for a span.
pub(crate) async fn sleep(span: Span) {
    tokio::time::sleep(span.to_std()).await;
}
