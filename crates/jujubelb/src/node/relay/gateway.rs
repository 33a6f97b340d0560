//! The leader's side: makes calls to workers directly or through a relay.

use std::sync::atomic::{
    AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering::Relaxed, Ordering::SeqCst,
};
use std::sync::{Arc, Mutex};

use arcstr::ArcStr;
use indexmap::IndexMap;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use tokio::sync::{Notify, oneshot};

use super::super::leader::ActiveTerm;
use super::super::peers::{self, PeerRequest, PeerResponse};
use super::super::state::{Node, lock, sleep};
use super::calls::Outbox;
use super::message::{Action, Call, CallResult, HostReport, RelayBatch, RelayResults};
use super::selection::{KnownHosts, announce_interval, needs_relays, relay_of};
use crate::dispatch::{
    Order, PollRequest, Refusal, Run, StartAnswer, StartReply, StopReply, TaskKey, WorkerOrder,
};
use crate::model::{DomainName, HostName, Span, Time, WorkerName};
use crate::platform::{
    CallError, ORDER_TIMEOUT, POLL_TIMEOUT_MARGIN, PollResult, STOP_TIMEOUT, WorkerClient,
    WorkerConnections,
};

/// Added to the timeout of a call for the way through the relay and back.
pub(crate) const RELAY_MARGIN: Span = Span::from_millis(900);

/// Time in which calls are collected before they are sent to a relay.
const COLLECT_PAUSE: Span = Span::from_millis(8);

/// Timeout of a batch. The relay answers when it has read it.
const BATCH_TIMEOUT: Span = Span::from_millis(900);

/// How long a new term waits for the announcements of hosts before it calls workers
/// directly. Hosts learn of a new leader within a second, and running tasks hold leases of
/// several seconds.
const MAX_RELAY_WAIT: Span = Span::from_millis(1_500);

/// Interval of choosing the relays anew.
const SELECTION_INTERVAL: Span = Span::from_millis(250);

/// Calls in a row without a result after which a relay is not used for a while. A relay
/// reports a worker's missing answer as a result, so that missing results are its own fault
/// or that of the way to it.
const MAX_MISSED_RESULTS: u32 = 8;

/// Connection of the leader to one relay.
#[derive(Debug)]
pub(super) struct RelayLink {
    report: HostReport,
    pub(super) outbox: Mutex<Outbox>,
    queued: Notify,
    /// Calls without a result since the last one with a result.
    missed: AtomicU32,
    /// Set when a batch or several calls have failed. The link is then replaced.
    pub(super) failed: AtomicBool,
}

impl RelayLink {
    pub(super) fn new(report: HostReport) -> Self {
        Self {
            report,
            outbox: Mutex::default(),
            queued: Notify::new(),
            missed: AtomicU32::new(0),
            failed: AtomicBool::new(false),
        }
    }
}

/// Makes the calls of one term to workers.
#[derive(Debug)]
pub(crate) struct WorkerGateway {
    connections: WorkerConnections,
    nonce: u64,
    /// Fencing token of the calls that are sent now. Only grows.
    token: AtomicU64,
    hosts: Mutex<KnownHosts>,
    links: Mutex<IndexMap<HostName, Arc<RelayLink>>>,
    /// Relay of each worker. Workers without an entry are called directly.
    routes: Mutex<Arc<IndexMap<WorkerName, Arc<RelayLink>>>>,
    /// Receivers of the results, by the identifier of the call.
    waiting: Mutex<IndexMap<u64, oneshot::Sender<CallResult>>>,
    call_count: AtomicU64,
    /// Metric of calls through relays.
    calls: Counter<u64>,
    worker_count: AtomicUsize,
    /// Set when the term is over. No call is sent after that.
    closed: AtomicBool,
}

/// Closes the gateway of a term when it is dropped, however the term ends.
#[derive(Debug)]
pub(crate) struct OpenGateway(pub(crate) Arc<WorkerGateway>);

impl Drop for OpenGateway {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Way of a call to a worker.
#[derive(Debug)]
enum Way {
    Direct,
    Relay(Arc<RelayLink>),
    /// The term is over.
    Closed,
}

impl WorkerGateway {
    pub(crate) fn new(
        connections: WorkerConnections,
        nonce: u64,
        token: u64,
        calls: Counter<u64>,
    ) -> Self {
        Self {
            connections,
            nonce,
            token: AtomicU64::new(token),
            hosts: Mutex::default(),
            links: Mutex::default(),
            routes: Mutex::default(),
            waiting: Mutex::default(),
            call_count: AtomicU64::new(0),
            calls,
            worker_count: AtomicUsize::new(0),
            closed: AtomicBool::new(false),
        }
    }

    /// Whether workers may be called: the term needs no relays, has some, or has waited for
    /// them long enough. Direct calls to all workers of a large deployment take more
    /// connections and memory than a small host has.
    pub(crate) fn is_ready(&self, workers: usize, link_mbps: f64, term_age: Span) -> bool {
        !needs_relays(workers, link_mbps)
            || !lock(&self.routes).is_empty()
            || term_age > MAX_RELAY_WAIT
    }

    /// Raises the fencing token of the calls that are sent from now on.
    pub(crate) fn raise_token(&self, token: u64) {
        self.token.fetch_max(token, SeqCst);
    }

    fn token(&self) -> u64 {
        self.token.load(SeqCst)
    }

    fn direct(&self) -> WorkerClient {
        WorkerClient::new(self.connections.clone(), self.token())
    }

    /// Whether the token was raised after `token` was read for a call. If the call was refused
    /// because of its token, a later one may have overtaken it; otherwise the term is over.
    fn is_outdated(&self, token: u64) -> bool {
        token < self.token()
    }

    /// Records the report of a host that may become a relay. Returns after what time the
    /// host is to announce itself again.
    pub(crate) fn announced(&self, node: &Node, report: HostReport) -> Span {
        lock(&self.hosts).announced(report, node.now());
        announce_interval(self.worker_count.load(Relaxed), node.settings.link_mbps)
    }

    /// The hosts that have announced themselves recently.
    pub(crate) fn hosts(&self, now: Time) -> Vec<HostReport> {
        lock(&self.hosts).reports(now)
    }

    /// Number of workers of the term; 0 while it is not known.
    pub(crate) fn worker_count(&self) -> usize {
        self.worker_count.load(Relaxed)
    }

    /// Passes the results of a relay to the calls that wait for them. Results of another
    /// term, and of calls that were given up, are dropped.
    pub(crate) fn results_received(&self, received: RelayResults) {
        if received.nonce != self.nonce {
            return;
        }
        for (id, result) in received.results {
            self.resolve(id, result);
        }
    }

    fn resolve(&self, id: u64, result: CallResult) {
        if let Some(sender) = lock(&self.waiting).swap_remove(&id) {
            // The receiver may have given up in the meantime.
            let _ = sender.send(result);
        }
    }

    fn way(&self, worker: &WorkerName) -> Way {
        if self.closed.load(Relaxed) {
            return Way::Closed;
        }
        let routes = lock(&self.routes).clone();
        let link = routes.get(worker).filter(|l| !l.failed.load(Relaxed));
        link.map_or(Way::Direct, |l| Way::Relay(l.clone()))
    }

    /// Ends the use of the gateway. Calls that have not been sent are given up, and links
    /// are dropped. Connections to workers are closed, since the next leader needs the places that
    /// they take there.
    fn close(&self) {
        self.closed.store(true, Relaxed);
        self.connections.close_all();
        for (_, link) in lock(&self.links).drain(..) {
            link.failed.store(true, Relaxed);
        }
        *lock(&self.routes) = Arc::default();
    }

    #[cfg(test)]
    pub(super) fn add_link(&self, link: Arc<RelayLink>) {
        let routes = [(WorkerName::new("w"), link.clone())];
        *lock(&self.routes) = Arc::new(routes.into_iter().collect());
        lock(&self.links).insert(link.report.host.clone(), link);
    }

    /// Makes a call through a relay. Returns `None` if there is no result in time.
    pub(super) async fn call(
        &self,
        link: &RelayLink,
        action: Action,
        timeout: Span,
    ) -> Option<CallResult> {
        let result = self.await_result(link, action, timeout).await;
        let label = match result {
            Some(CallResult::NotSent) => "unsent",
            Some(_) => "answered",
            None => "missing",
        };
        self.calls.add(1, &[KeyValue::new("result", label)]);
        result
    }

    async fn await_result(
        &self,
        link: &RelayLink,
        action: Action,
        timeout: Span,
    ) -> Option<CallResult> {
        let id = self.call_count.fetch_add(1, Relaxed);
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting).insert(id, sender);
        lock(&link.outbox).push(Call { id, action });
        link.queued.notify_one();
        match tokio::time::timeout((timeout + RELAY_MARGIN).to_std(), receiver).await {
            Ok(result) => {
                link.missed.store(0, Relaxed);
                result.ok()
            }
            Err(_) => {
                lock(&self.waiting).swap_remove(&id);
                if link.missed.fetch_add(1, Relaxed) + 1 >= MAX_MISSED_RESULTS {
                    link.failed.store(true, Relaxed);
                }
                None
            }
        }
    }

    /// Takes the calls of the next batch. Calls that were given up while they waited are left
    /// out: their missing results count as missing answers already.
    pub(super) fn take_batch(&self, link: &RelayLink) -> (Vec<ArcStr>, Vec<Call>) {
        let (payloads, mut calls) = lock(&link.outbox).take_batch();
        let waiting = lock(&self.waiting);
        calls.retain(|call| waiting.contains_key(&call.id));
        (payloads, calls)
    }

    async fn order(&self, link: &RelayLink, order: &WorkerOrder) -> Option<CallResult> {
        let action = Action::Order(order.clone(), None);
        let timeout = match order.order {
            Order::Stop { .. } => STOP_TIMEOUT,
            Order::Start { .. } | Order::Pace { .. } => ORDER_TIMEOUT,
        };
        self.call(link, action, timeout).await
    }

    /// Starts a run. `may_send` is asked each time before the order is sent, and again when it has
    /// waited for a connection.
    pub(crate) async fn start(
        &self,
        order: &WorkerOrder,
        may_send: impl Fn() -> bool,
    ) -> StartAnswer {
        loop {
            let token = self.token();
            if !may_send() {
                return StartReply::NotSent.into();
            }
            let answer = self.send_start(order, &may_send).await;
            // A refused order has had no effect, so it is sent again under the raised token.
            let is_fenced = answer.reply == StartReply::Refused(Refusal::Fence);
            if !is_fenced || !self.is_outdated(token) {
                return answer;
            }
        }
    }

    async fn send_start(&self, order: &WorkerOrder, may_send: impl Fn() -> bool) -> StartAnswer {
        let link = match self.way(&order.worker) {
            Way::Direct => return self.direct().start(order, may_send).await,
            Way::Closed => return StartReply::NotSent.into(),
            Way::Relay(link) => link,
        };
        match self.order(&link, order).await {
            Some(CallResult::StartAnswered(answer)) => answer,
            Some(CallResult::Started(reply)) => reply.into(),
            Some(CallResult::NotSent) => StartReply::NotSent.into(),
            _ => StartReply::NoAnswer.into(),
        }
    }

    /// Stops a run.
    pub(crate) async fn stop(&self, order: &WorkerOrder, task: TaskKey, run: Run) -> StopReply {
        loop {
            let token = self.token();
            let reply = self.send_stop(order, task, run).await;
            if reply != StopReply::Fenced || !self.is_outdated(token) {
                return reply;
            }
        }
    }

    async fn send_stop(&self, order: &WorkerOrder, task: TaskKey, run: Run) -> StopReply {
        let link = match self.way(&order.worker) {
            Way::Direct => return self.direct().stop(order, task, run).await,
            Way::Closed => return StopReply::NoAnswer,
            Way::Relay(link) => link,
        };
        match self.order(&link, order).await {
            Some(CallResult::Stopped(reply)) => reply,
            _ => StopReply::NoAnswer,
        }
    }

    /// Sets the pace of a run. Returns whether the worker accepted it.
    pub(crate) async fn pace(
        &self,
        order: &WorkerOrder,
        task: TaskKey,
        run: Run,
        percent: u32,
    ) -> bool {
        match self.way(&order.worker) {
            Way::Relay(link) => matches!(self.order(&link, order).await, Some(CallResult::Paced)),
            Way::Direct => self.direct().pace(order, task, run, percent).await,
            Way::Closed => false,
        }
    }

    /// Polls a worker.
    pub(crate) async fn poll(
        &self,
        worker: &WorkerName,
        request: &PollRequest,
    ) -> Result<PollResult, CallError> {
        loop {
            let token = self.token();
            let result = self.send_poll(worker, request).await;
            if !matches!(result, Ok(PollResult::Fenced)) || !self.is_outdated(token) {
                return result;
            }
        }
    }

    async fn send_poll(
        &self,
        worker: &WorkerName,
        request: &PollRequest,
    ) -> Result<PollResult, CallError> {
        let link = match self.way(worker) {
            Way::Direct => return self.direct().poll(worker, request).await,
            Way::Closed => {
                let reason = "the term is over".to_owned();
                return Err(CallError::NotSent(request.address, reason));
            }
            Way::Relay(link) => link,
        };
        let action = Action::Poll(worker.clone(), request.clone());
        let timeout = request.wait + POLL_TIMEOUT_MARGIN;
        let relay = link.report.peer_address;
        match self.call(&link, action, timeout).await {
            Some(CallResult::Polled(reply)) => Ok(PollResult::Reply(reply)),
            Some(CallResult::PollFenced) => Ok(PollResult::Fenced),
            Some(CallResult::PollReplaced) => Ok(PollResult::Replaced),
            Some(CallResult::PollFailed(true) | CallResult::NotSent) => Err(CallError::NotSent(
                request.address,
                format!("the relay {relay} has not reached the worker"),
            )),
            _ => Err(CallError::NoResponse(
                request.address,
                format!("no result of the relay {relay}"),
            )),
        }
    }

    /// Chooses the relays for these workers, and replaces links that have failed.
    fn update_routes(
        self: &Arc<Self>,
        node: &Arc<Node>,
        workers: &IndexMap<WorkerName, DomainName>,
    ) {
        if self.closed.load(Relaxed) {
            return;
        }
        let now = node.now();
        self.worker_count.store(workers.len(), Relaxed);
        let mut links = lock(&self.links);
        let mut hosts = lock(&self.hosts);
        for link in links.values().filter(|l| l.failed.load(Relaxed)) {
            log::warn!(relay:% = link.report.host; "calls through the relay have failed; it is not used for a while");
            hosts.suspend(&link.report.host, now);
        }
        let mut counts: IndexMap<DomainName, usize> = IndexMap::new();
        for domain in workers.values() {
            *counts.entry(domain.clone()).or_default() += 1;
        }
        let chosen = hosts.select(&counts, node.settings.link_mbps, now);
        drop(hosts);
        let is_chosen = |report: &HostReport| chosen.values().flatten().any(|r| r == report);
        let before = links.len();
        links.retain(|_, link| is_chosen(&link.report) && !link.failed.load(Relaxed));
        let kept = links.len();
        for report in chosen.values().flatten() {
            if links.contains_key(&report.host) {
                continue;
            }
            log::info!(relay:% = report.host, domain:% = report.domain; "relay in use");
            let link = Arc::new(RelayLink::new(report.clone()));
            links.insert(report.host.clone(), link.clone());
            tokio::spawn(send_batches(
                node.clone(),
                self.clone(),
                Arc::downgrade(&link),
            ));
        }
        let unchanged = before == kept && kept == links.len();
        let known = lock(&self.routes).clone();
        if unchanged && workers.keys().all(|w| known.contains_key(w)) {
            return;
        }
        let route = |(worker, domain): (&WorkerName, &DomainName)| {
            let relay = relay_of(worker, chosen.get(domain)?)?;
            Some((worker.clone(), links.get(&relay.host)?.clone()))
        };
        let routes: IndexMap<WorkerName, Arc<RelayLink>> =
            workers.iter().filter_map(route).collect();
        if !unchanged {
            log::info!(relays = links.len(), workers = routes.len(); "relays of workers changed");
        }
        *lock(&self.routes) = Arc::new(routes);
    }
}

/// Sends the calls of a link in batches until the link is replaced.
async fn send_batches(
    node: Arc<Node>,
    gateway: Arc<WorkerGateway>,
    link: std::sync::Weak<RelayLink>,
) {
    loop {
        let Some(link) = link.upgrade() else {
            return;
        };
        if lock(&link.outbox).is_empty() {
            let queued = link.queued.notified();
            tokio::select! { () = queued => {}, () = sleep(SELECTION_INTERVAL) => {} }
            sleep(COLLECT_PAUSE).await;
            continue;
        }
        let (payloads, calls) = gateway.take_batch(&link);
        if calls.is_empty() {
            continue;
        }
        let ids: Vec<u64> = calls.iter().map(|c| c.id).collect();
        if link.failed.load(Relaxed) {
            for id in ids {
                gateway.resolve(id, CallResult::NotSent);
            }
            continue;
        }
        let batch = RelayBatch {
            leader: node.settings.peer_address,
            nonce: gateway.nonce,
            token: gateway.token(),
            payloads,
            calls,
        };
        let request = PeerRequest::RelayCalls(batch);
        let sent = peers::call_peer(&node, link.report.peer_address, &request, BATCH_TIMEOUT).await;
        let error = match sent {
            Ok(PeerResponse::Acknowledged(_)) => continue,
            Ok(_) => None,
            Err(error) => Some(error),
        };
        let had_no_effect = error.as_ref().is_none_or(CallError::had_no_effect);
        let reason = error.map_or("not a relay".to_owned(), |e| e.to_string());
        log::warn!(relay:% = link.report.host, calls = ids.len(), unsent = had_no_effect, reason = reason; "batch of worker calls not acknowledged");
        link.failed.store(true, Relaxed);
        for id in ids {
            match had_no_effect {
                true => gateway.resolve(id, CallResult::NotSent),
                // The relay may have made the call: without its result, the answer is missing.
                false => drop(lock(&gateway.waiting).swap_remove(&id)),
            }
        }
    }
}

/// Chooses the relays of a term again and again. Never returns.
pub(crate) async fn maintain_relays(node: Arc<Node>, term: Arc<ActiveTerm>) {
    loop {
        let workers = lock(&term.dispatcher).worker_domains();
        term.workers.update_routes(&node, &workers);
        sleep(SELECTION_INTERVAL).await;
    }
}
