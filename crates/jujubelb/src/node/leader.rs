//! One term of this host as the leader: loads the state from the store, polls the
//! workers, sends them orders and makes changes durable.

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

use indexmap::IndexMap;
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinSet;

use super::candidacy::{Eligibility, Successors};
use super::config_check::ConfigRefresh;
use super::election::{self, ElectionWin, TermEnd};
use super::keys::{self, ChainMark, StoredJob};
use super::peers::{self, PeerRequest, PeerResponse};
use super::relay::{HostReport, OpenGateway, WorkerGateway, maintain_relays};
use super::state::{KnownLeader, Node, lock, sleep};
use super::supervision::PollTasks;
use super::voters::{self, maintain_voters};
use super::watch::{
    EvidenceDemand, WatchEvent, WatchObserver, WatchOptions, WatchPosition, watch_prefix,
};
use crate::dispatch::{
    Arrival, Commit, Dispatcher, EarlierLeader, InterferenceModel, JobKey, JobRecord, LEADER_GRACE,
    LeaderTerm, Order, Progress, Roster, Succession, VoterRecord, WorkerOrder, is_start_overdue,
};
use crate::model::{Span, Time, WorkerName};
use crate::platform::{
    CallError, KeyState, ORDER_PLACES, PolicyClient, PollResult, ReadResult, Revision, Txn,
    TxnError, WORKER_PREFIX, decode_worker,
};

/// Interval of renewing the leader's lease, which lasts 2 s.
const RENEWAL_INTERVAL: Span = Span::from_millis(500);

/// Time after which a renewal without an answer is sent again, beside the first, and pause
/// after a renewal that has failed. The store answers in 4 ms; with one call after the other,
/// two lost answers or connections in a row would cost the lease.
const RENEWAL_RETRY: Span = Span::from_millis(80);

/// Calls that one renewal makes at most. With a call's timeout of 900 ms a failed renewal and
/// the pause after it last 1.2 s, less than one call and [`RENEWAL_INTERVAL`], so that a leader
/// without the store notices the end of its grace period no later than with a single call.
const RENEWAL_ATTEMPTS: usize = 4;

/// Shortest time between two renewals that confirm the term. Jobs that arrive in between
/// share one, at a tenth of the price of a read.
const MIN_CONFIRMATION_INTERVAL: Span = Span::from_millis(10);

/// Time after which a renewal that should confirm the term is sent again, beside the first.
/// The store answers in 4 ms; an answer that is lost would otherwise cost the timeout of the
/// call, 900 ms.
const CONFIRMATION_RETRY: Span = Span::from_millis(80);

/// Renewals to confirm the term that may be on their way at the same time, which limits the
/// load on a store that does not answer.
const MAX_CONFIRMATIONS: usize = 8;

/// Pause after each write. A write holds all changes since the last one, so this
/// bounds the rate of calls to the store.
const COMMIT_PAUSE: Span = Span::from_millis(25);

/// Longest time in which a leader that hands over writes what it has not written yet. Three
/// attempts; the leader's lease lasts longer.
const MAX_FLUSH: Span = Span::from_millis(600);

/// Pause after a failed write.
const COMMIT_RETRY_PAUSE: Span = Span::from_millis(150);

/// Pause after each planning pass; events that arrive in the pause share one pass.
const PLAN_PAUSE: Span = Span::from_millis(12);

/// Longest wait for an event before the next planning pass, since some tasks become
/// due by time alone.
const MAX_PLAN_WAIT: Span = Span::from_millis(100);

/// Pause after a failed poll of a worker or a failed read of the store.
const POLL_RETRY_PAUSE: Span = Span::from_millis(200);

/// Longest wait for a commit before polling a worker whose reported outcomes can't be
/// acknowledged yet. The worker answers such a poll at once, so polling without this
/// wait would loop.
const MAX_ACKNOWLEDGE_WAIT: Span = Span::from_millis(300);

/// Concurrent starts and paces sent to one worker. Fewer than [`ORDER_PLACES`], since stops, which
/// take the rest, have to end a cancelled job in time.
const MAX_ORDERS_PER_WORKER: usize = 4;

/// Concurrent stops sent to one worker. As many as are sent at a time wait for a connection, which
/// shows that the open ones are needed.
const MAX_STOPS_PER_WORKER: usize = 2 * ORDER_PLACES;

/// Options for watching the workers' keys. The pause limits the calls to the store,
/// since each worker writes its key with every heartbeat.
const WORKER_KEYS: WatchOptions = WatchOptions {
    prefix: WORKER_PREFIX,
    wait: Span::from_millis(1_000),
    pause: Span::from_millis(300),
};

/// Options for watching the jobs and cancellations that hosts write. Hosts also notify
/// the leader directly.
const INTAKE_KEYS: WatchOptions = WatchOptions {
    prefix: keys::INTAKE_PREFIX,
    wait: Span::from_millis(1_000),
    pause: Span::from_millis(400),
};

/// Interval of checking whether a step waits for the policy service.
const POLICY_CHECK_INTERVAL: Span = Span::from_millis(60);

/// Pause after a failed call to the policy service, which refuses calls while its
/// queue is full.
const POLICY_RETRY_PAUSE: Span = Span::from_millis(300);

/// Interval of asking the host of an earlier leader whether its term is over, and of checking
/// whether fewer earlier leaders may act.
const LEADER_CHECK_INTERVAL: Span = Span::from_millis(400);

/// Interval of storing the ages of earlier leaders. What has passed since the last write is
/// lost to the next leader, which then waits longer.
const SUCCESSION_INTERVAL: Span = Span::from_secs(1);

/// Interval of logging the dispatch load.
const LOAD_LOG_INTERVAL: Span = Span::from_secs(5);

/// Interval of expiring jobs that ended long ago.
const EXPIRY_INTERVAL: Span = Span::from_secs(20);

/// The term that this host leads.
#[derive(Debug)]
pub(crate) struct ActiveTerm {
    pub(crate) dispatcher: Mutex<Dispatcher>,
    /// The dispatcher knows all jobs and cancellations that were stored up to this revision.
    intake_read: Revision,
    pub(crate) workers: Arc<WorkerGateway>,
    /// Notified when a planning pass may find something to order.
    plan_needed: Notify,
    /// Notified when the term has to be confirmed before it may act on what has arrived.
    confirmation_needed: Notify,
    /// Notified when there are changes to write.
    commit_needed: Notify,
    /// Notified after each successful write.
    committed: Notify,
    /// What this term asks of the watch of the workers' keys.
    entries_demand: EvidenceDemand,
    /// Limits the concurrent orders sent to each worker.
    order_slots: Mutex<IndexMap<WorkerName, Arc<OrderSlots>>>,
    /// Hosts that are able to succeed this leader.
    pub(crate) successors: Mutex<Successors>,
    /// Set when the leader makes room for a stronger host. The writer then returns as soon
    /// as there is nothing left to write.
    hands_over: AtomicBool,
    /// Number of workers noted by earlier terms; 0 if it is not known.
    noted_workers: u32,
    /// When the last successful renewal of the leader's lease was sent.
    renewed: Arc<Mutex<Time>>,
    /// When the last other call was sent that shows that the term is the newest one.
    confirmed: Mutex<Time>,
}

/// Limits the concurrent orders sent to one worker. Those that a relay sends for this leader keep
/// their slot until the result is there, so that neither waits for the other's connections.
#[derive(Debug)]
struct OrderSlots {
    /// Starts and paces.
    starts: Semaphore,
    stops: Semaphore,
}

impl OrderSlots {
    fn new() -> Self {
        Self {
            starts: Semaphore::new(MAX_ORDERS_PER_WORKER),
            stops: Semaphore::new(MAX_STOPS_PER_WORKER),
        }
    }

    fn of(&self, order: &Order) -> &Semaphore {
        match order {
            Order::Stop { .. } => &self.stops,
            Order::Start { .. } | Order::Pace { .. } => &self.starts,
        }
    }
}

impl ActiveTerm {
    /// Adds a job that is in the store to the dispatcher.
    pub(crate) fn accept(&self, node: &Node, key: JobKey, record: JobRecord) {
        let (wall, now) = (node.wall_time(), node.now());
        match lock(&self.dispatcher).accept(key, record, None, false, wall, now) {
            true => self.plan_needed.notify_one(),
            // The renewal that confirms the term starts a planning pass.
            false => self.confirmation_needed.notify_one(),
        }
    }

    /// Applies a cancellation that is in the store.
    pub(crate) fn cancel(&self, node: &Node, key: JobKey) {
        lock(&self.dispatcher).cancel(key, node.now());
        self.plan_needed.notify_one();
        self.commit_needed.notify_one();
    }

    /// Records that a batch is durable, and raises the fencing token if the batch asks for it.
    fn committed(&self, node: &Node, batch: &Commit, revision: Revision) {
        let mut dispatcher = lock(&self.dispatcher);
        if batch.raises_token {
            // Under the lock, so that no restart is noticed in between, and before the time is
            // read, since polls that are sent after it count as sent under the new token.
            self.workers.raise_token(revision.0);
        }
        dispatcher.committed(batch, revision.0, node.now());
    }

    /// Records the announcement of a host. Returns after what time it is to announce itself
    /// again.
    pub(crate) fn host_announced(
        &self,
        node: &Node,
        report: HostReport,
        eligibility: Eligibility,
    ) -> Span {
        lock(&self.successors).announced(&report, eligibility, node.now());
        self.workers.announced(node, report)
    }

    /// Number of workers; 0 if it is not known yet.
    pub(crate) fn worker_count(&self) -> u32 {
        u32::try_from(self.workers.worker_count()).unwrap_or(u32::MAX)
    }

    /// Lets the term end once what is not yet written has been written.
    pub(crate) fn mark_handover(&self) {
        self.hands_over.store(true, SeqCst);
        self.commit_needed.notify_one();
    }

    fn hands_over(&self) -> bool {
        self.hands_over.load(SeqCst)
    }

    /// The mark that each write of the term leaves.
    fn chain_mark(&self, nonce: u64) -> ChainMark {
        let workers = match self.worker_count() {
            0 => self.noted_workers,
            count => count,
        };
        ChainMark { nonce, workers }
    }

    /// When the term was last known to be the newest one.
    pub(crate) fn authority(&self) -> Time {
        let renewed = *lock(&self.renewed);
        renewed.max(*lock(&self.confirmed))
    }

    /// Records that a call that was sent at this time shows that the term is the newest one.
    pub(crate) fn confirmed_newest(&self, sent: Time) {
        let mut confirmed = lock(&self.confirmed);
        *confirmed = confirmed.max(sent);
    }

    /// The hosts that have announced themselves recently.
    pub(crate) fn hosts(&self, now: Time) -> Vec<HostReport> {
        self.workers.hosts(now)
    }

    /// Whether an earlier leader may still act.
    pub(crate) fn may_act(&self, leader: LeaderTerm, now: Time) -> bool {
        let earlier = lock(&self.dispatcher).earlier_leaders(now);
        earlier.iter().any(|l| l.term == Some(leader))
    }

    /// Records that an earlier leader can't extend leases any more.
    pub(crate) fn leader_stopped(&self, nonce: u64, now: Time) {
        lock(&self.dispatcher).leader_stopped(nonce, now);
        self.plan_needed.notify_one();
    }

    fn order_slots(&self, worker: &WorkerName) -> Arc<OrderSlots> {
        let mut slots = lock(&self.order_slots);
        let new_slots = || Arc::new(OrderSlots::new());
        slots
            .entry(worker.clone())
            .or_insert_with(new_slots)
            .clone()
    }
}

/// Leads until the term is over, then lets the next leader start at once.
pub(crate) async fn lead_term(node: &Arc<Node>, win: ElectionWin) {
    let began = node.now();
    let mut tasks = JoinSet::new();
    let renewed = Arc::new(Mutex::new(win.lease_requested));
    tasks.spawn(renew_lease(
        node.clone(),
        win.lease,
        win.nonce,
        renewed.clone(),
    ));
    let loaded = tokio::select! {
        loaded = load_term(node, &win, renewed.clone()) => loaded,
        _ = tasks.join_next() => None,
    };
    let mut end = TermEnd {
        earlier: Vec::new(),
        handed_over: false,
    };
    if let Some(term) = loaded {
        let term = Arc::new(term);
        let _open = OpenGateway(term.workers.clone());
        node.set_active_term(Some(term.clone()));
        log::info!(took:% = node.now().since(began), figures:? = lock(&term.dispatcher).summary(); "term started");
        let mut writer = JoinSet::new();
        writer.spawn(write_changes(
            node.clone(),
            term.clone(),
            win.chain_revision,
            win.nonce,
        ));
        tasks.spawn(confirm_term(node.clone(), term.clone(), win.lease));
        tasks.spawn(dispatch_orders(node.clone(), term.clone()));
        tasks.spawn(maintain_relays(node.clone(), term.clone()));
        tasks.spawn(watch_workers(node.clone(), term.clone()));
        tasks.spawn(watch_intake(node.clone(), term.clone()));
        if let Some(address) = node.settings.policy_address {
            let policy = PolicyClient::new(node.client.clone(), address);
            tasks.spawn(request_tickets(node.clone(), term.clone(), policy));
        }
        tasks.spawn(store_succession(
            node.clone(),
            term.clone(),
            win.nonce,
            win.chain_revision,
            win.earlier.at(node.now()),
        ));
        tasks.spawn(ask_earlier_leaders(
            node.clone(),
            term.clone(),
            win.voters.clone(),
        ));
        tasks.spawn(maintain_voters(
            node.clone(),
            term.clone(),
            win.leader,
            win.chain_revision,
            win.voters.clone(),
        ));
        tasks.spawn(election::await_successor(
            node.clone(),
            term.clone(),
            win.after_handover,
        ));
        // Every task runs for the whole term: the first that returns ends the term.
        tokio::select! { _ = tasks.join_next() => {}, _ = writer.join_next() => {} }
        end.handed_over = term.hands_over();
        if end.handed_over {
            // No task makes changes any more, so the writer comes to an end.
            tasks.shutdown().await;
            let flush = tokio::time::timeout(MAX_FLUSH.to_std(), writer.join_next());
            if flush.await.is_err() {
                log::warn!("changes not written before handing over; workers report them again");
            }
        }
        writer.shutdown().await;
        end.earlier = lock(&term.dispatcher).earlier_leaders(node.now());
    } else {
        end.earlier = win.earlier.at(node.now());
    }
    node.set_active_term(None);
    tasks.shutdown().await;
    node.set_term_nonce(None);
    log::warn!(term = win.term.number, lasted:% = node.now().since(began), draining = node.is_draining(); "term ended");
    election::resign(node, win.nonce, win.chain_revision, end).await;
    election::revoke_lease(node, win.lease).await;
    if node.is_known_leader(win.nonce) {
        node.set_leader(KnownLeader::Absent);
    }
}

/// Renews the leader's lease. Returns when the term has to end: the process drains, the
/// lease or the leader key is lost, or no renewal has succeeded for the grace period.
async fn renew_lease(
    node: Arc<Node>,
    lease: crate::platform::LeaseId,
    nonce: u64,
    renewed: Arc<Mutex<Time>>,
) {
    let mut pause = RENEWAL_INTERVAL;
    loop {
        let changed = node.state_changed.notified();
        tokio::select! { () = changed => {}, () = sleep(pause) => {} }
        if node.is_draining() {
            return;
        }
        if !node.is_known_leader(nonce) {
            log::warn!(leader:? = node.leader(); "the leader key no longer names this term");
            return;
        }
        match renew_with_retries(&node, lease).await {
            Some(Ok((sent, true))) => {
                *lock(&renewed) = sent;
                pause = RENEWAL_INTERVAL;
            }
            Some(Ok((_, false))) => {
                log::warn!(lease:% = lease; "the leader's lease has expired");
                return;
            }
            failed => {
                let error = failed.and_then(Result::err).map(|e| e.to_string());
                let age = node.now().since(*lock(&renewed));
                log::warn!(lease:% = lease, age:% = age, error:% = error.unwrap_or_default(); "lease not renewed");
                if age > LEADER_GRACE {
                    return;
                }
                pause = RENEWAL_RETRY;
            }
        }
    }
}

/// Renews the lease by calls beside each other, until one is answered. Returns when the answered
/// call was sent and whether the lease was renewed, or the last error.
async fn renew_with_retries(
    node: &Arc<Node>,
    lease: crate::platform::LeaseId,
) -> Option<Result<(Time, bool), CallError>> {
    let mut calls = JoinSet::new();
    let mut last = None;
    for attempt in 1..=RENEWAL_ATTEMPTS {
        let (caller, sent) = (node.clone(), node.now());
        calls.spawn(async move {
            let result = caller.kv.renew_lease(lease).await;
            let result = caller.record_store_call("renewal", sent, result);
            result.map(|renewed| (sent, renewed))
        });
        let retry = sleep(RENEWAL_RETRY);
        tokio::pin!(retry);
        loop {
            let answer = tokio::select! {
                () = &mut retry, if attempt < RENEWAL_ATTEMPTS => break,
                answer = calls.join_next(), if !calls.is_empty() => answer,
                else => break,
            };
            last = answer.and_then(Result::ok).or(last);
            if let Some(Ok(_)) = last {
                return last;
            }
        }
    }
    last
}

/// Confirms the term by renewals of the lease while it has learned of something that it may
/// not act on before. The leader key is bound to the lease, and the next leader is elected
/// only once that key is gone, so a renewal that succeeds shows that none was elected before.
/// Never returns, since the return of a term's task ends the term.
async fn confirm_term(node: Arc<Node>, term: Arc<ActiveTerm>, lease: crate::platform::LeaseId) {
    let mut calls = JoinSet::new();
    let mut last_sent = Arrival::default();
    loop {
        let (arrived, needed) = {
            let dispatcher = lock(&term.dispatcher);
            (dispatcher.last_arrival(), dispatcher.needs_confirmation())
        };
        while calls.try_join_next().is_some() {}
        if !needed {
            term.confirmation_needed.notified().await;
            continue;
        }
        if calls.len() < MAX_CONFIRMATIONS {
            last_sent = arrived;
            calls.spawn(confirm_arrivals(node.clone(), term.clone(), lease, arrived));
        }
        sleep(MIN_CONFIRMATION_INTERVAL).await;
        if lock(&term.dispatcher).last_arrival() == last_sent {
            tokio::select! {
                () = term.confirmation_needed.notified() => {},
                () = sleep(CONFIRMATION_RETRY) => {},
            }
        }
    }
}

/// Renews the lease once, and confirms what had arrived before.
async fn confirm_arrivals(
    node: Arc<Node>,
    term: Arc<ActiveTerm>,
    lease: crate::platform::LeaseId,
    arrived: Arrival,
) {
    let sent = node.now();
    let result = node.kv.renew_lease(lease).await;
    match node.record_store_call("renewal", sent, result) {
        Ok(true) => {
            term.confirmed_newest(sent);
            lock(&term.dispatcher).term_confirmed(arrived);
            term.confirmation_needed.notify_one();
            term.plan_needed.notify_one();
        }
        // The renewal of the lease ends the term.
        Ok(false) => {}
        Err(error) => {
            log::debug!(lease:% = lease, error:% = error; "term not confirmed; trying again");
        }
    }
}

async fn read_all(node: &Node, prefix: &str) -> Result<ReadResult<Vec<KeyState>>, CallError> {
    let sent = node.now();
    let result = node.kv.range(prefix).await;
    node.record_store_call("range", sent, result)
}

/// Reads all keys with a prefix, trying again until the store answers.
async fn read_all_with_retries(node: &Node, prefix: &str) -> ReadResult<Vec<KeyState>> {
    loop {
        match read_all(node, prefix).await {
            Ok(read) => return read,
            Err(error) => {
                log::warn!(prefix = prefix, error:% = error; "state can't be read from the store; trying again");
                sleep(POLL_RETRY_PAUSE).await;
            }
        }
    }
}

/// Loads the state that earlier terms have stored.
pub(super) async fn load_term(
    node: &Node,
    win: &ElectionWin,
    renewed: Arc<Mutex<Time>>,
) -> Option<ActiveTerm> {
    let roster: Roster = read_all_with_retries(node, keys::ROSTER)
        .await
        .content
        .into_iter()
        .find_map(|i| keys::decode(&i.key, &i.value?))
        .unwrap_or_default();
    let model: InterferenceModel = read_all_with_retries(node, keys::MODEL)
        .await
        .content
        .into_iter()
        .find_map(|i| keys::decode(&i.key, &i.value?))
        .unwrap_or_default();
    let states: IndexMap<JobKey, Progress> = read_all_with_retries(node, keys::STATE_PREFIX)
        .await
        .content
        .into_iter()
        .filter_map(|i| {
            let key = keys::parse_job(&i.key, keys::STATE_PREFIX)?;
            Some((key, keys::decode(&i.key, &i.value?)?))
        })
        .collect();
    let intake = read_all_with_retries(node, keys::INTAKE_PREFIX).await;
    let workers_read = node.now();
    let workers = read_all_with_retries(node, WORKER_PREFIX).await;
    let (now, wall_time) = (node.now(), node.wall_time());
    let mut dispatcher = Dispatcher::new(
        win.term,
        node.settings.bounds,
        win.earlier.clone(),
        &roster,
        model,
        now,
    );
    dispatcher.set_authority(win.lease_requested);
    for item in &intake.content {
        let (Some(key), Some(value)) = (
            keys::parse_job(&item.key, keys::JOB_PREFIX),
            item.value.as_deref(),
        ) else {
            continue;
        };
        match StoredJob::decode(&item.key, value) {
            StoredJob::Accepted(Some(record)) => {
                dispatcher.accept(key, *record, states.get(&key), true, wall_time, now);
            }
            StoredJob::Accepted(None) => {}
            StoredJob::Withdrawn => dispatcher.job_withdrawn(key, now),
        }
    }
    for item in &intake.content {
        if let Some(key) = keys::parse_job(&item.key, keys::CANCEL_PREFIX) {
            dispatcher.cancel(key, now);
        }
    }
    let listed = workers
        .content
        .iter()
        .filter_map(|i| decode_worker(&i.key, i.value.as_deref()?));
    dispatcher.workers_listed(listed.collect(), now);
    dispatcher.confirm_entries(workers_read);
    dispatcher.set_evacuated(node.evacuated());
    Some(ActiveTerm {
        dispatcher: Mutex::new(dispatcher),
        intake_read: intake.revision,
        workers: Arc::new(WorkerGateway::new(
            node.workers.clone(),
            win.nonce,
            win.term.token,
            node.metrics.relay_calls.clone(),
        )),
        plan_needed: Notify::new(),
        confirmation_needed: Notify::new(),
        commit_needed: Notify::new(),
        committed: Notify::new(),
        entries_demand: EvidenceDemand::default(),
        order_slots: Mutex::new(IndexMap::new()),
        successors: Mutex::default(),
        hands_over: AtomicBool::new(false),
        noted_workers: win.workers,
        renewed,
        confirmed: Mutex::new(win.lease_requested),
    })
}

/// Asks the policy service about the steps that wait for it. Makes one request at a
/// time, since the service handles the calls of a host one after the other.
async fn request_tickets(node: Arc<Node>, term: Arc<ActiveTerm>, policy: PolicyClient) {
    loop {
        let sent = node.now();
        let request = lock(&term.dispatcher).next_ticket_request(sent);
        let Some(request) = request else {
            sleep(POLICY_CHECK_INTERVAL).await;
            continue;
        };
        match policy.request_tickets(&request).await {
            Ok(grant) => {
                lock(&term.dispatcher).tickets_granted(&request, &grant, sent);
                term.plan_needed.notify_one();
            }
            Err(error) => {
                log::warn!(step:% = request.step, asked = request.workers.len(), error:% = error; "call to the policy service failed; trying again");
                sleep(POLICY_RETRY_PAUSE).await;
            }
        }
    }
}

/// Asks the host of each earlier leader that may still act whether its term is over, and its
/// voters to refuse it. Never returns, since the return of a term's task ends the term.
async fn ask_earlier_leaders(node: Arc<Node>, term: Arc<ActiveTerm>, voters: VoterRecord) {
    let mut calls = JoinSet::new();
    for leader in lock(&term.dispatcher).earlier_leaders(node.now()) {
        let Some(leader) = leader.term else {
            continue;
        };
        calls.spawn(await_leader_stop(node.clone(), term.clone(), leader));
        if let Some(voters) = voters.of_term(leader.nonce).cloned() {
            let (node, term) = (node.clone(), term.clone());
            calls.spawn(async move {
                voters::end_authority(&node, &term, leader, &voters).await;
            });
        }
    }
    while calls.join_next().await.is_some() {}
    std::future::pending().await
}

/// Asks the host of an earlier leader until it answers that its term is over, or the leader
/// can no longer act. After the process was killed, the restarted one at the same address
/// gives this answer.
async fn await_leader_stop(node: Arc<Node>, term: Arc<ActiveTerm>, leader: LeaderTerm) {
    while term.may_act(leader, node.now()) {
        let stopped = match leader.address == node.settings.peer_address {
            true => !node.holds_term(leader.nonce),
            false => matches!(
                peers::call_peer(
                    &node,
                    leader.address,
                    &PeerRequest::LeadsTerm(leader.nonce),
                    peers::MEMORY_TIMEOUT
                )
                .await,
                Ok(PeerResponse::LeadsTerm(false))
            ),
        };
        if stopped {
            term.leader_stopped(leader.nonce, node.now());
            return;
        }
        sleep(LEADER_CHECK_INTERVAL).await;
    }
}

/// Stores the earlier leaders that may still act whenever there are fewer, and their ages
/// regularly, for a next leader. `stored` is what the election has stored. Never returns,
/// since the return of a term's task ends the term.
async fn store_succession(
    node: Arc<Node>,
    term: Arc<ActiveTerm>,
    nonce: u64,
    elected: Revision,
    stored: Vec<EarlierLeader>,
) {
    let mut count = stored.len();
    let mut written = node.now();
    while count > 0 {
        let now = node.now();
        let earlier = lock(&term.dispatcher).earlier_leaders(now);
        if earlier.len() != count || now.since(written) >= SUCCESSION_INTERVAL {
            let succession = Succession { nonce, earlier };
            match election::store_succession(&node, elected, &succession).await {
                Ok(()) => (count, written) = (succession.earlier.len(), now),
                // A newer leader was elected; the renewal of the lease ends the term.
                Err(TxnError::Conflict) => break,
                Err(error) => {
                    log::warn!(earlier = succession.earlier.len(), error:% = error; "earlier leaders are not stored; trying again");
                }
            }
        }
        sleep(LEADER_CHECK_INTERVAL).await;
    }
    std::future::pending().await
}

/// Passes changes of the workers' keys to the dispatcher.
pub(super) async fn watch_workers(node: Arc<Node>, term: Arc<ActiveTerm>) {
    let observer = WorkerEntries {
        node: node.clone(),
        term,
    };
    watch_prefix(node, WORKER_KEYS, WatchPosition::default(), observer).await;
}

/// Takes the workers' keys into the state of a term.
struct WorkerEntries {
    node: Arc<Node>,
    term: Arc<ActiveTerm>,
}

impl WatchObserver for WorkerEntries {
    fn apply(&mut self, event: WatchEvent) {
        let now = self.node.now();
        let mut dispatcher = lock(&self.term.dispatcher);
        dispatcher.entries_read(now);
        match event {
            WatchEvent::Snapshot(items) => {
                let listed = items
                    .iter()
                    .filter_map(|i| decode_worker(&i.key, i.value.as_deref()?));
                dispatcher.workers_listed(listed.collect(), now);
            }
            WatchEvent::Changes(items) => {
                for item in items {
                    let report = item
                        .value
                        .as_deref()
                        .and_then(|v| decode_worker(&item.key, v));
                    match report {
                        Some(report) => dispatcher.worker_listed(report, now),
                        None => {
                            if let Some(name) = item.key.strip_prefix(WORKER_PREFIX) {
                                dispatcher.worker_unlisted(&WorkerName::new(name));
                            }
                        }
                    }
                }
            }
        }
        self.term.plan_needed.notify_one();
        self.term.commit_needed.notify_one();
    }

    fn answered(&mut self, sent: Time) {
        lock(&self.term.dispatcher).confirm_entries(sent);
    }

    fn demand(&self) -> Option<&EvidenceDemand> {
        Some(&self.term.entries_demand)
    }
}

/// Passes new jobs and cancellations to the dispatcher.
pub(super) async fn watch_intake(node: Arc<Node>, term: Arc<ActiveTerm>) {
    let observer = node.clone();
    // To read thousands of jobs a second time takes a busy leader seconds, in which it would learn of
    // no cancellation.
    let position = WatchPosition::after(term.intake_read);
    watch_prefix(node, INTAKE_KEYS, position, move |event| {
        let (WatchEvent::Snapshot(items) | WatchEvent::Changes(items)) = event;
        for item in &items {
            let Some(value) = item.value.as_deref() else {
                continue;
            };
            let Some(key) = keys::parse_job(&item.key, keys::JOB_PREFIX) else {
                continue;
            };
            match StoredJob::decode(&item.key, value) {
                StoredJob::Accepted(Some(record)) => term.accept(&observer, key, *record),
                StoredJob::Accepted(None) => {}
                StoredJob::Withdrawn => {
                    lock(&term.dispatcher).job_withdrawn(key, observer.now());
                }
            }
        }
        for item in items.iter().filter(|i| i.value.is_some()) {
            if let Some(key) = keys::parse_job(&item.key, keys::CANCEL_PREFIX) {
                term.cancel(&observer, key);
            }
        }
    })
    .await;
}

/// Makes changes durable, one batch at a time. Returns when another host has written
/// as the leader, or when the term hands over and all changes are written.
async fn write_changes(
    node: Arc<Node>,
    term: Arc<ActiveTerm>,
    mut chain_revision: Revision,
    nonce: u64,
) {
    let mut last_expiry = node.now();
    loop {
        let now = node.now();
        if now.since(last_expiry) > EXPIRY_INTERVAL {
            last_expiry = now;
            lock(&term.dispatcher).expire(now);
        }
        let batch = lock(&term.dispatcher).take_commit(node.now());
        let Some(batch) = batch else {
            if term.hands_over() {
                return;
            }
            tokio::select! { () = term.commit_needed.notified() => {}, () = sleep(RENEWAL_INTERVAL) => {} }
            continue;
        };
        let sent = node.now();
        let result = node
            .kv
            .txn(&commit_transaction(
                &batch,
                chain_revision,
                term.chain_mark(nonce),
            ))
            .await;
        let may_be_stored = match result {
            Ok(revision) => {
                chain_revision = revision;
                term.confirmed_newest(sent);
                let _ = node.record_store_call("txn", sent, Ok(()));
                term.committed(&node, &batch, revision);
                term.committed.notify_waiters();
                sleep(COMMIT_PAUSE).await;
                continue;
            }
            Err(TxnError::Call(error)) => {
                let unclear = !error.had_no_effect();
                log::warn!(jobs = batch.jobs.len(), roster = batch.roster.is_some(), error:% = error; "commit failed; trying again");
                let _ = node.record_store_call::<()>("txn", sent, Err(error));
                unclear
            }
            Err(TxnError::Conflict | TxnError::LeaseExpired) => {
                log::warn!(jobs = batch.jobs.len(); "commit refused: the commit chain has changed");
                true
            }
        };
        lock(&term.dispatcher).commit_failed(&batch);
        // Either this write was made though its response was lost, or an earlier write
        // of this term without a response was made late.
        if may_be_stored && let Ok(read) = node.kv.get(keys::COMMIT_CHAIN).await {
            let is_own_write = read.content.as_ref().and_then(|i| {
                let value = i.value.as_deref()?;
                Some(keys::decode::<ChainMark>(keys::COMMIT_CHAIN, value)?.nonce == nonce)
            });
            if is_own_write != Some(true) {
                log::warn!("another host has written as the leader; ending the term");
                return;
            }
            chain_revision = read.content.map_or(chain_revision, |i| i.revision);
        }
        sleep(COMMIT_RETRY_PAUSE).await;
    }
}

fn commit_transaction(batch: &Commit, chain_revision: Revision, mark: ChainMark) -> Txn {
    let mut txn = Txn::default()
        .expect(keys::COMMIT_CHAIN, chain_revision)
        .put(keys::COMMIT_CHAIN, &keys::encode(&mark), None);
    for (key, progress) in &batch.jobs {
        txn = txn.put(keys::state(*key), &keys::encode(progress), None);
    }
    if let Some(roster) = &batch.roster {
        txn = txn.put(keys::ROSTER, &keys::encode(roster), None);
    }
    if let Some(model) = &batch.model {
        txn = txn.put(keys::MODEL, &keys::encode(model), None);
    }
    for key in &batch.forgotten {
        for name in [keys::job(*key), keys::cancel(*key), keys::state(*key)] {
            txn = txn.delete(name);
        }
    }
    txn
}

/// Plans, sends the resulting orders, and keeps one polling task for each worker.
/// Returns when a worker has seen a higher fencing token.
pub(super) async fn dispatch_orders(node: Arc<Node>, term: Arc<ActiveTerm>) {
    let began = node.now();
    let mut last_load_log = began;
    let mut polls = PollTasks::default();
    let mut polled_membership = None;
    let mut last_arrival = Arrival::default();
    let mut refresh = ConfigRefresh::default();
    let start_poll = |worker| poll_worker(node.clone(), term.clone(), worker);
    loop {
        let planned = node.now();
        // Read before the domains, which may then only be newer.
        let evacuations_proven = node.evacuations_proven();
        let (orders, missing, workers, deposed) = {
            let mut dispatcher = lock(&term.dispatcher);
            dispatcher.set_evacuated(node.evacuated());
            if let Some(config) = node.config() {
                dispatcher.set_customers(config.operator.version, &config.operator.customers);
            }
            if let Some(sent) = evacuations_proven {
                dispatcher.confirm_evacuations(sent);
            }
            dispatcher.set_store_lost(node.is_store_lost());
            dispatcher.set_authority(term.authority());
            let orders = dispatcher.plan(node.wall_time(), planned);
            let unconfirmed = dispatcher.last_arrival();
            if dispatcher.needs_confirmation() && unconfirmed != last_arrival {
                last_arrival = unconfirmed;
                term.confirmation_needed.notify_one();
            }
            let current = dispatcher.membership();
            let workers = (polled_membership != Some(current)).then(|| dispatcher.workers());
            (
                orders,
                dispatcher.missing_evidence(planned),
                workers.map(|w| (current, w)),
                dispatcher.is_deposed(),
            )
        };
        if deposed {
            return;
        }
        refresh.start_if_due(&node);
        if let Some(oldest) = missing.evacuations {
            node.operator_demand.ask(oldest);
        }
        if let Some(oldest) = missing.entries {
            term.entries_demand.ask(oldest);
        }
        let now = node.now();
        if now.since(last_load_log) > LOAD_LOG_INTERVAL {
            last_load_log = now;
            log::info!(figures:? = lock(&term.dispatcher).summary(); "dispatch load");
        }
        if let Some((membership, workers)) = workers
            && term
                .workers
                .is_ready(workers.len(), node.settings.link_mbps, now.since(began))
        {
            polled_membership = Some(membership);
            polls.update(workers, start_poll);
        }
        polls.restart_failed(start_poll);
        for order in orders {
            tokio::spawn(send_order(node.clone(), term.clone(), order, planned));
        }
        sleep(PLAN_PAUSE).await;
        tokio::select! { () = term.plan_needed.notified() => {}, () = sleep(MAX_PLAN_WAIT) => {} }
    }
}

/// Sends an order that was planned at `planned`, and passes the answer to the dispatcher.
async fn send_order(node: Arc<Node>, term: Arc<ActiveTerm>, order: WorkerOrder, planned: Time) {
    let slots = term.order_slots(&order.worker);
    // Stops do not wait behind starts. At most one for each run is outstanding.
    let Ok(_permit) = slots.of(&order.order).acquire().await else {
        return;
    };
    let worker = &order.worker;
    match &order.order {
        Order::Start { task, run, .. } => {
            let may_send = || {
                let now = node.now();
                let dispatcher = lock(&term.dispatcher);
                !is_start_overdue(planned, now)
                    && dispatcher.is_start_permitted(worker, now)
                    && dispatcher.may_send_start(worker, *task, *run)
            };
            let answer = term.workers.start(&order, may_send).await;
            lock(&term.dispatcher).start_answered(worker, *task, *run, answer, node.now());
        }
        Order::Stop { task, run } => {
            let reply = term.workers.stop(&order, *task, *run).await;
            lock(&term.dispatcher).stop_answered(worker, *task, *run, reply, planned, node.now());
        }
        Order::Pace { task, run, percent } => {
            let accepted = term.workers.pace(&order, *task, *run, *percent).await;
            lock(&term.dispatcher).pace_answered(worker, *task, *run, *percent, accepted);
            return;
        }
    }
    term.plan_needed.notify_one();
}

/// Polls one worker until the dispatcher drops it or the worker fences this term.
async fn poll_worker(node: Arc<Node>, term: Arc<ActiveTerm>, worker: WorkerName) {
    let mut failures = 0u32;
    loop {
        let committed = term.committed.notified();
        let next_request = || {
            let mut dispatcher = lock(&term.dispatcher);
            dispatcher.set_authority(term.authority());
            dispatcher.poll(&worker, node.now())
        };
        let request = next_request();
        let Some(mut request) = request else {
            return;
        };
        if request.pending_ack {
            tokio::select! { () = committed => {}, () = sleep(MAX_ACKNOWLEDGE_WAIT) => {} }
            match next_request() {
                Some(next) => request = next,
                None => return,
            }
        }
        let sent = node.now();
        match term.workers.poll(&worker, &request).await {
            Ok(PollResult::Reply(reply)) => {
                if failures > 1 {
                    log::info!(worker:% = worker, failures = failures; "worker is reachable again");
                }
                failures = 0;
                let mut dispatcher = lock(&term.dispatcher);
                dispatcher.poll_answered(&worker, sent, &reply, node.now());
                let changes = dispatcher.has_changes();
                drop(dispatcher);
                if changes {
                    term.commit_needed.notify_one();
                }
                term.plan_needed.notify_one();
            }
            Ok(PollResult::Fenced) => {
                lock(&term.dispatcher).poll_fenced(&worker);
                term.plan_needed.notify_one();
                return;
            }
            Ok(PollResult::Replaced) => {
                failures += 1;
                lock(&term.dispatcher).worker_replaced(&worker, node.now());
                term.plan_needed.notify_one();
                sleep(POLL_RETRY_PAUSE).await;
            }
            Err(error) => {
                let had_no_effect = error.had_no_effect();
                lock(&term.dispatcher).poll_failed(&worker, &request, had_no_effect, node.now());
                failures += 1;
                if failures == 2 {
                    log::warn!(worker:% = worker, error:% = error; "worker is unreachable");
                }
                sleep(POLL_RETRY_PAUSE).await;
            }
        }
    }
}
