//! One term as the leader: reads what the store has, looks at the workers,
//! sends orders and makes changes durable.

use std::sync::{Arc, Mutex};

use indexmap::{IndexMap, IndexSet};
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinSet;

use super::election::{self, Win};
use super::keys;
use super::peers::{self, Ask, Tell};
use super::state::{LeaderSeen, Node, lock, sleep};
use super::watch::{Follow, News, follow};
use crate::dispatch::{
    Commit, Dispatcher, InterferenceModel, JobKey, JobRecord, LEADER_GRACE, Order, Progress,
    Roster, WorkerOrder,
};
use crate::model::{Span, Time, WorkerName};
use crate::platform::{
    Advice, CallError, Item, Looked, Revision, Txn, TxnError, WORKER_PREFIX, Workers, decode_worker,
};

/// Time between two renewals of the leader's lease, which lasts 2 s.
const RENEWAL: Span = Span::from_millis(500);

/// Time between two writes. A write holds all changes since the last one, so
/// this bounds the calls a second.
const COMMIT_PAUSE: Span = Span::from_millis(25);

/// Pause after a write that failed.
const COMMIT_RETRY: Span = Span::from_millis(150);

/// Time between two passes over what is ready; events that come meanwhile are
/// served by one pass.
const PLAN_PAUSE: Span = Span::from_millis(12);

/// Longest time between two passes, for what becomes due by time alone.
const PLAN_TICK: Span = Span::from_millis(100);

/// Pause after a look that failed.
const LOOK_RETRY: Span = Span::from_millis(200);

/// Wait for a write before a worker is looked at with ends that can't be
/// acknowledged yet; such a look is answered at once.
const ACKNOWLEDGE_WAIT: Span = Span::from_millis(300);

/// Orders on their way to one worker at the same time.
const ORDERS_PER_WORKER: usize = 4;

/// How the workers' keys are followed. Each answered watch is a call, and
/// workers write at least every heartbeat.
const WORKERS: Follow = Follow {
    prefix: WORKER_PREFIX,
    wait: Span::from_millis(1_000),
    pause: Span::from_millis(300),
};

/// How the entries' writes are followed; entries also tell the leader directly.
const INTAKE: Follow = Follow {
    prefix: keys::INTAKE,
    wait: Span::from_millis(1_000),
    pause: Span::from_millis(400),
};

/// Pause before it is checked again whether a step waits for its policy service.
const ADVICE_PAUSE: Span = Span::from_millis(60);

/// Pause after a call to the policy service that failed; it refuses calls while
/// too many wait.
const ADVICE_RETRY: Span = Span::from_millis(300);

/// Pause between two questions to the host of the leader before.
const PREDECESSOR_PAUSE: Span = Span::from_millis(400);

/// Time between two lines on the load.
const REPORT: Span = Span::from_secs(5);

/// Time between two searches for jobs that ended long ago.
const EXPIRY: Span = Span::from_secs(20);

/// A term in progress.
#[derive(Debug)]
pub(crate) struct Lead {
    pub(crate) dispatcher: Mutex<Dispatcher>,
    workers: Workers,
    /// Woken when a pass may find something to order.
    plan: Notify,
    /// Woken when there is something to write.
    commit: Notify,
    /// Woken when something has been written.
    written: Notify,
    /// Orders on their way, by worker.
    lanes: Mutex<IndexMap<WorkerName, Arc<Semaphore>>>,
}

impl Lead {
    /// Takes a job that is stored.
    pub(crate) fn accept(&self, node: &Node, key: JobKey, record: JobRecord) {
        lock(&self.dispatcher).accept(key, record, None, false, node.wall(), node.now());
        self.plan.notify_one();
    }

    /// Takes a cancellation that is stored.
    pub(crate) fn cancel(&self, node: &Node, key: JobKey) {
        lock(&self.dispatcher).cancel(key, node.now());
        self.plan.notify_one();
        self.commit.notify_one();
    }

    fn lane(&self, worker: &WorkerName) -> Arc<Semaphore> {
        let mut lanes = lock(&self.lanes);
        let fresh = || Arc::new(Semaphore::new(ORDERS_PER_WORKER));
        lanes.entry(worker.clone()).or_insert_with(fresh).clone()
    }
}

/// Leads until the term is over.
pub(crate) async fn lead(node: &Arc<Node>, win: Win) {
    let began = node.now();
    let mut tasks = JoinSet::new();
    let renewed = Arc::new(Mutex::new(win.since));
    tasks.spawn(renew(node.clone(), win.lease, win.nonce, renewed.clone()));
    let loaded = tokio::select! {
        loaded = load(node, &win) => loaded,
        _ = tasks.join_next() => None,
    };
    if let Some(lead) = loaded {
        let lead = Arc::new(lead);
        node.set_lead(Some(lead.clone()));
        log::info!(took:% = node.now().since(began), figures:? = lock(&lead.dispatcher).summary(); "term begun");
        tasks.spawn(write_changes(
            node.clone(),
            lead.clone(),
            win.chain,
            win.nonce,
        ));
        tasks.spawn(give_orders(node.clone(), lead.clone()));
        tasks.spawn(follow_workers(node.clone(), lead.clone()));
        tasks.spawn(follow_intake(node.clone(), lead.clone()));
        if let Some(address) = node.settings.advice {
            let advice = Advice::new(node.client.clone(), address);
            tasks.spawn(seek_advice(node.clone(), lead.clone(), advice));
        }
        if let Some(before) = win.before.filter(|_| !win.term.predecessor_stopped) {
            tasks.spawn(ask_predecessor(node.clone(), lead.clone(), before));
        }
        // Each task runs as long as the term; the first to end ends it.
        tasks.join_next().await;
    }
    node.set_lead(None);
    tasks.shutdown().await;
    node.set_term(None);
    log::warn!(term = win.term.number, lasted:% = node.now().since(began), draining = node.is_draining(); "term over");
    election::resign(node, win.nonce).await;
    election::give_up(node, win.lease).await;
    if node.leader() == leader_seen(node, win.nonce) {
        node.set_leader(LeaderSeen::Absent);
    }
}

fn leader_seen(node: &Node, nonce: u64) -> LeaderSeen {
    LeaderSeen::Present(keys::Leader {
        host: node.settings.host.clone(),
        peers: node.settings.peers,
        nonce,
    })
}

/// Renews the lease; ends when the term has to end.
async fn renew(
    node: Arc<Node>,
    lease: crate::platform::LeaseId,
    nonce: u64,
    renewed: Arc<Mutex<Time>>,
) {
    loop {
        let news = node.news.notified();
        tokio::select! { () = news => {}, () = sleep(RENEWAL) => {} }
        if node.is_draining() {
            return;
        }
        if node.leader() != leader_seen(&node, nonce) {
            log::warn!(leader:? = node.leader(); "the leader's key is no longer ours");
            return;
        }
        let sent = node.now();
        match node.store_called("renewal", sent, node.kv.keep(lease).await) {
            Ok(true) => *lock(&renewed) = sent,
            Ok(false) => {
                log::warn!(lease:% = lease; "the leader's lease has ended");
                return;
            }
            Err(error) => {
                let age = node.now().since(*lock(&renewed));
                log::warn!(lease:% = lease, age:% = age, error:% = error; "lease not renewed");
                if age > LEADER_GRACE {
                    return;
                }
            }
        }
    }
}

async fn read_all(node: &Node, prefix: &str) -> Result<Vec<Item>, CallError> {
    let sent = node.now();
    let result = node.kv.range(prefix).await;
    node.store_called("range", sent, result).map(|r| r.content)
}

async fn read_until_done(node: &Node, prefix: &str) -> Vec<Item> {
    loop {
        match read_all(node, prefix).await {
            Ok(items) => return items,
            Err(error) => {
                log::warn!(prefix = prefix, error:% = error; "state not read; trying again");
                sleep(LOOK_RETRY).await;
            }
        }
    }
}

/// Reads what earlier terms have left.
async fn load(node: &Node, win: &Win) -> Option<Lead> {
    let roster: Roster = read_until_done(node, keys::ROSTER)
        .await
        .into_iter()
        .find_map(|i| keys::decode(&i.key, &i.value?))
        .unwrap_or_default();
    let model: InterferenceModel = read_until_done(node, keys::MODEL)
        .await
        .into_iter()
        .find_map(|i| keys::decode(&i.key, &i.value?))
        .unwrap_or_default();
    let states: IndexMap<JobKey, Progress> = read_until_done(node, keys::STATES)
        .await
        .into_iter()
        .filter_map(|i| {
            let key = keys::job_of(&i.key, keys::STATES)?;
            Some((key, keys::decode(&i.key, &i.value?)?))
        })
        .collect();
    let intake = read_until_done(node, keys::INTAKE).await;
    let workers = read_until_done(node, WORKER_PREFIX).await;
    let (now, wall) = (node.now(), node.wall());
    let mut dispatcher = Dispatcher::new(win.term, node.settings.bounds, &roster, model, now);
    for item in &intake {
        if let Some(key) = keys::job_of(&item.key, keys::JOBS)
            && let Some(record) = item
                .value
                .as_deref()
                .and_then(|v| keys::decode(&item.key, v))
        {
            dispatcher.accept(key, record, states.get(&key), true, wall, now);
        }
    }
    for item in &intake {
        if let Some(key) = keys::job_of(&item.key, keys::CANCELS) {
            dispatcher.cancel(key, now);
        }
    }
    let listed = workers
        .iter()
        .filter_map(|i| decode_worker(&i.key, i.value.as_deref()?));
    dispatcher.workers_listed(listed.collect(), now);
    dispatcher.set_evacuated(node.evacuated());
    Some(Lead {
        dispatcher: Mutex::new(dispatcher),
        workers: Workers::new(node.client.clone(), win.term.token),
        plan: Notify::new(),
        commit: Notify::new(),
        written: Notify::new(),
        lanes: Mutex::new(IndexMap::new()),
    })
}

/// Asks the policy service about the steps that wait for it, one at a time; it
/// serves the calls of a host in turn.
async fn seek_advice(node: Arc<Node>, lead: Arc<Lead>, advice: Advice) {
    loop {
        let sent = node.now();
        let question = lock(&lead.dispatcher).next_ticket_request(sent);
        let Some(question) = question else {
            sleep(ADVICE_PAUSE).await;
            continue;
        };
        match advice.ask(&question).await {
            Ok(grant) => {
                lock(&lead.dispatcher).tickets_granted(&question, &grant, sent);
                lead.plan.notify_one();
            }
            Err(error) => {
                log::warn!(step:% = question.step, asked = question.workers.len(), error:% = error; "policy service has not answered; asking again");
                sleep(ADVICE_RETRY).await;
            }
        }
    }
}

/// Asks the host of the leader before until it says that the term is over: a
/// process that was killed is soon followed by another one at its address.
/// Never ends, because it runs beside what ends the term.
async fn ask_predecessor(node: Arc<Node>, lead: Arc<Lead>, before: keys::Leader) {
    loop {
        let stopped = match before.host == node.settings.host {
            true => !node.has_term(before.nonce),
            false => matches!(
                peers::ask(&node, before.peers, &Ask::Leads(before.nonce), peers::QUICK).await,
                Ok(Tell::Leads(false))
            ),
        };
        if stopped {
            lock(&lead.dispatcher).predecessor_stopped(node.now());
            lead.plan.notify_one();
            return std::future::pending().await;
        }
        sleep(PREDECESSOR_PAUSE).await;
    }
}

async fn follow_workers(node: Arc<Node>, lead: Arc<Lead>) {
    let watcher = node.clone();
    follow(node, WORKERS, move |news| {
        let now = watcher.now();
        let mut dispatcher = lock(&lead.dispatcher);
        match news {
            News::All(items) => {
                let listed = items
                    .iter()
                    .filter_map(|i| decode_worker(&i.key, i.value.as_deref()?));
                dispatcher.workers_listed(listed.collect(), now);
            }
            News::Changes(items) => {
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
        lead.plan.notify_one();
        lead.commit.notify_one();
    })
    .await;
}

async fn follow_intake(node: Arc<Node>, lead: Arc<Lead>) {
    let watcher = node.clone();
    follow(node, INTAKE, move |news| {
        let (News::All(items) | News::Changes(items)) = news;
        for item in &items {
            let Some(value) = item.value.as_deref() else {
                continue;
            };
            if let Some(key) = keys::job_of(&item.key, keys::JOBS)
                && let Some(record) = keys::decode(&item.key, value)
            {
                lead.accept(&watcher, key, record);
            }
        }
        for item in items.iter().filter(|i| i.value.is_some()) {
            if let Some(key) = keys::job_of(&item.key, keys::CANCELS) {
                lead.cancel(&watcher, key);
            }
        }
    })
    .await;
}

/// Makes changes durable, a batch at a time; ends when another host leads.
async fn write_changes(node: Arc<Node>, lead: Arc<Lead>, mut chain: Revision, nonce: u64) {
    let mut expired = node.now();
    loop {
        let now = node.now();
        if now.since(expired) > EXPIRY {
            expired = now;
            lock(&lead.dispatcher).expire(now);
        }
        let batch = lock(&lead.dispatcher).take_commit(node.now());
        let Some(batch) = batch else {
            tokio::select! { () = lead.commit.notified() => {}, () = sleep(RENEWAL) => {} }
            continue;
        };
        let sent = node.now();
        let result = node.kv.txn(&transaction(&batch, chain, nonce)).await;
        let failed = match result {
            Ok(revision) => {
                chain = revision;
                let _ = node.store_called("txn", sent, Ok(()));
                lock(&lead.dispatcher).committed(&batch, node.now());
                lead.written.notify_waiters();
                sleep(COMMIT_PAUSE).await;
                continue;
            }
            Err(TxnError::Call(error)) => {
                let effect = !error.had_no_effect();
                log::warn!(jobs = batch.jobs.len(), roster = batch.roster.is_some(), error:% = error; "changes not written; trying again");
                let _ = node.store_called::<()>("txn", sent, Err(error));
                effect
            }
            Err(TxnError::Conflict | TxnError::LeaseEnded) => {
                log::warn!(jobs = batch.jobs.len(); "changes not written: the condition didn't hold");
                true
            }
        };
        lock(&lead.dispatcher).commit_failed(&batch);
        // The write may have been made, or a late one has come before it.
        if failed && let Ok(read) = node.kv.get(keys::CHAIN).await {
            let ours = read.content.as_ref().and_then(|i| {
                let value = i.value.as_deref()?;
                Some(keys::decode::<u64>(keys::CHAIN, value)? == nonce)
            });
            if ours != Some(true) {
                log::warn!("another host has written as the leader");
                return;
            }
            chain = read.content.map_or(chain, |i| i.revision);
        }
        sleep(COMMIT_RETRY).await;
    }
}

fn transaction(batch: &Commit, chain: Revision, nonce: u64) -> Txn {
    let mut txn =
        Txn::default()
            .expect(keys::CHAIN, chain)
            .put(keys::CHAIN, &keys::encode(&nonce), None);
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

/// Looks for what can be ordered, sends it, and keeps a look at each worker.
async fn give_orders(node: Arc<Node>, lead: Arc<Lead>) {
    let mut reported = node.now();
    let mut looks = JoinSet::new();
    let mut looked: IndexSet<WorkerName> = IndexSet::new();
    loop {
        let (orders, workers, deposed) = {
            let mut dispatcher = lock(&lead.dispatcher);
            dispatcher.set_evacuated(node.evacuated());
            let orders = dispatcher.plan(node.wall(), node.now());
            (orders, dispatcher.workers(), dispatcher.is_deposed())
        };
        if deposed {
            return;
        }
        let now = node.now();
        if now.since(reported) > REPORT {
            reported = now;
            log::info!(figures:? = lock(&lead.dispatcher).summary(); "dispatch load");
        }
        looked.retain(|w| workers.contains(w));
        for worker in workers {
            if looked.insert(worker.clone()) {
                looks.spawn(keep_looking(node.clone(), lead.clone(), worker));
            }
        }
        while looks.try_join_next().is_some() {}
        for dispatch in orders {
            tokio::spawn(send(node.clone(), lead.clone(), dispatch));
        }
        sleep(PLAN_PAUSE).await;
        tokio::select! { () = lead.plan.notified() => {}, () = sleep(PLAN_TICK) => {} }
    }
}

async fn send(node: Arc<Node>, lead: Arc<Lead>, dispatch: WorkerOrder) {
    let lane = lead.lane(&dispatch.worker);
    let Ok(_permit) = lane.acquire().await else {
        return;
    };
    let worker = &dispatch.worker;
    match &dispatch.order {
        Order::Start { task, run, .. } => {
            let reply = lead.workers.start(&dispatch).await;
            lock(&lead.dispatcher).start_answered(worker, *task, *run, reply, node.now());
        }
        Order::Stop { task, run } => {
            let reply = lead.workers.stop(&dispatch, *task, *run).await;
            lock(&lead.dispatcher).stop_answered(worker, *task, *run, reply, node.now());
        }
        Order::Pace { task, run, percent } => {
            lead.workers.pace(&dispatch, *task, *run, *percent).await;
            return;
        }
    }
    lead.plan.notify_one();
}

/// Looks at one worker until it is forgotten.
async fn keep_looking(node: Arc<Node>, lead: Arc<Lead>, worker: WorkerName) {
    let mut failures = 0u32;
    loop {
        let written = lead.written.notified();
        let request = lock(&lead.dispatcher).poll(&worker, node.now());
        let Some(mut request) = request else {
            return;
        };
        if request.pending_ack {
            tokio::select! { () = written => {}, () = sleep(ACKNOWLEDGE_WAIT) => {} }
            match lock(&lead.dispatcher).poll(&worker, node.now()) {
                Some(next) => request = next,
                None => return,
            }
        }
        let sent = node.now();
        match lead.workers.look(&worker, &request).await {
            Ok(Looked::Lists(reply)) => {
                if failures > 1 {
                    log::info!(worker:% = worker, failures = failures; "worker reached again");
                }
                failures = 0;
                let mut dispatcher = lock(&lead.dispatcher);
                dispatcher.poll_answered(&worker, sent, &reply, node.now());
                let changes = dispatcher.has_changes();
                drop(dispatcher);
                if changes {
                    lead.commit.notify_one();
                }
                lead.plan.notify_one();
            }
            Ok(Looked::Fenced) => {
                lock(&lead.dispatcher).poll_fenced(&worker);
                lead.plan.notify_one();
                return;
            }
            Err(error) => {
                let unsent = error.had_no_effect();
                lock(&lead.dispatcher).poll_failed(&worker, &request, unsent);
                failures += 1;
                if failures == 2 {
                    log::warn!(worker:% = worker, error:% = error; "worker lost");
                }
                sleep(LOOK_RETRY).await;
            }
        }
    }
}
