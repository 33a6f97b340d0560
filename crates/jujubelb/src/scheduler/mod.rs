//! The scheduler process: owns shards of workers and places tasks on them.

mod claim;
mod declared_jobs;
mod journal_thread;
mod owner_calls;
mod owner_thread;
mod ownership;
mod sweep;
mod sync_pool;
mod term;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError, Weak};

use indexmap::IndexSet;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use tokio::sync::oneshot;

use self::declared_jobs::DeclaredJobs;
use self::owner_thread::{OwnerQueues, OwnerRequest, OwnerThread};
use self::ownership::OwnershipThread;
use self::sync_pool::SyncPool;
use crate::http::Server;
use crate::model::{Code, JobName, NodeName, ShardName, Span};
use crate::operator::OperatorApi;
use crate::peer::{Call, Handler, PeerEvent, PeerThread, Peers, Reply, Role};
use crate::process::{ConfigEvent, Configuration, Process, StartError, Threads};
use crate::settings::Settings;
use crate::shard::ShardSummary;
use crate::telemetry::{self, QueueReceiver, QueueSender, queue};
use crate::worker::HttpWorkerClient;

/// Capacity of each queue to the owner thread, in entries.
const QUEUE_CAPACITY: usize = 1_024;

/// Longest sleep of a thread that its queue wakes; bounds how late it notices a stop.
const MAX_IDLE_WAIT: Span = Span::from_millis(200);

/// Time for operator requests in flight to complete at a planned stop.
const OPERATOR_DRAIN_TIMEOUT: Span = Span::from_millis(3_000);

/// State shared by the threads of the process.
#[derive(Debug)]
pub(crate) struct Scheduler {
    process: Arc<Process>,
    peers: Peers,
    requests: Mutex<QueueSender<OwnerRequest>>,
    owned: Mutex<OwnedShards>,
    sync_count: Counter<u64>,
}

/// Owned shards as last published by the owner thread.
#[derive(Debug, Default)]
struct OwnedShards {
    summaries: Vec<ShardSummary>,
    names: IndexSet<ShardName>,
}

/// A running scheduler process.
#[derive(Debug)]
pub struct SchedulerHandle {
    scheduler: Arc<Scheduler>,
    operators: Server,
    threads: Threads,
    peers: PeerThread,
}

impl SchedulerHandle {
    /// Starts the threads and servers of a scheduler process.
    pub fn start(settings: Settings) -> Result<Self, StartError> {
        let process = Process::new(settings, Role::Scheduler)?;
        let (event_sender, peer_events) = queue(&process.queues, "peers", QUEUE_CAPACITY);
        let (request_sender, requests) = queue(&process.queues, "asked", QUEUE_CAPACITY);
        let call_handler = PeerCallHandler::default();
        let (peers, peer_thread) = Peers::start(
            process.identity(),
            process.clock,
            call_handler.clone(),
            event_sender,
        )?;
        process.register_metrics(&peers);
        let scheduler = Arc::new(Scheduler {
            sync_count: process.metrics.counter(&telemetry::SYNCS),
            process: process.clone(),
            peers: peers.clone(),
            requests: Mutex::new(request_sender),
            owned: Mutex::default(),
        });
        scheduler.register_metrics();
        // The cell is empty: this is the only call of `set`.
        let _ = call_handler.0.set(Arc::downgrade(&scheduler));
        let threads = start_threads(&scheduler, peer_events, requests)?;
        let local = scheduler.clone();
        let operators = OperatorApi::new(process.clone(), peers, move |call| {
            let local = local.clone();
            Box::pin(async move { local.ask(call).await })
        })?;
        let operators = operators.serve()?;
        log::info!(node:% = process.node, operators:% = operators.address(); "the scheduler process started");
        Ok(Self {
            scheduler,
            operators,
            threads,
            peers: peer_thread,
        })
    }

    /// The address that serves operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// The address that serves peers.
    pub fn peers(&self) -> SocketAddr {
        self.scheduler.peers.address()
    }

    /// Stops as planned: hands all shards over, then ends. Returns whether all
    /// were handed over within `settings.stop`.
    pub fn stop(mut self) -> bool {
        let process = &self.scheduler.process;
        let timeout = Span::from(process.settings.stop);
        let deadline = process.clock.now() + timeout;
        process.start_draining();
        self.scheduler.peers.announce_draining();
        let (done, mut handoff_done) = oneshot::channel();
        self.scheduler.send_request(OwnerRequest::Stop(done));
        let mut complete = false;
        while !complete && process.clock.now() < deadline {
            std::thread::sleep(STOP_POLL_INTERVAL);
            complete = handoff_done.try_recv().is_ok();
        }
        self.operators.drain(OPERATOR_DRAIN_TIMEOUT);
        self.threads.join();
        self.peers.stop();
        log::info!(whole = complete; "the scheduler process stopped");
        complete
    }

    /// Ends at once without handing shards over, like a crash.
    pub fn abort(mut self) {
        self.peers.stop();
        self.operators.abort();
        self.threads.join();
    }
}

/// Longest wait for the list of live jobs, which is requested again after a second.
const LIVE_JOBS_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

/// Interval of checking whether all shards are handed over.
const STOP_POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(20);

fn start_threads(
    scheduler: &Arc<Scheduler>,
    peers: QueueReceiver<PeerEvent>,
    requests: QueueReceiver<OwnerRequest>,
) -> Result<Threads, StartError> {
    let process = &scheduler.process;
    let (config_sender, config): (_, QueueReceiver<ConfigEvent>) =
        queue(&process.queues, "configuration", QUEUE_CAPACITY);
    let (acquired_sender, acquired) = queue(&process.queues, "taken-shards", QUEUE_CAPACITY);
    let (ended_sender, ended) = queue(&process.queues, "ended-shards", QUEUE_CAPACITY);
    let mut threads = Threads::new();
    let workers =
        HttpWorkerClient::new().map_err(|e| StartError::Client("workers", e.to_string()))?;
    let pool = SyncPool::start(scheduler, &Arc::new(workers), &mut threads)?;
    let queues = OwnerQueues {
        config,
        peers,
        requests,
        acquired,
    };
    let owners = OwnerThread::new(scheduler.clone(), queues, pool, ended_sender);
    threads.spawn("owners", move |running| owners.run(&running))?;
    let ownership = OwnershipThread::new(scheduler.clone(), acquired_sender, ended);
    threads.spawn("ownership", move |running| ownership.run(&running))?;
    let sweep_scheduler = scheduler.clone();
    threads.spawn("sweep", move |running| {
        sweep::run(&sweep_scheduler, &running)
    })?;
    let declared = DeclaredJobs::new(scheduler.clone());
    threads.spawn("declared-jobs", move |running| declared.run(&running))?;
    let configuration = Configuration::new(process.clone(), scheduler.peers.clone(), config_sender);
    threads.spawn("configuration", move |running| configuration.run(&running))?;
    Ok(threads)
}

impl Scheduler {
    /// Queues a request for the owner thread.
    fn send_request(&self, request: OwnerRequest) {
        let mut sender = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        if sender.push(request).is_err() {
            // The dropped request closes its reply channel, which tells the waiting caller.
            log::warn!("the request queue of the owner thread is full; a request was dropped");
        }
    }

    /// Passes a call to the owner thread and waits for the reply.
    async fn ask(&self, call: Call) -> Reply {
        let (reply, answer) = oneshot::channel();
        self.send_request(OwnerRequest::Call(Box::new(call), reply));
        answer.await.unwrap_or_else(|_| {
            let text = "the owners are busy or the process is stopping".into();
            Reply::Code(Code::PeerUnknown, text)
        })
    }

    /// Whether this process owns a shard, as last published by the owner thread.
    fn owns(&self, shard: &ShardName) -> bool {
        self.owned_shards().names.contains(shard)
    }

    /// Calls the owner of a shard from a thread without a runtime.
    fn call_owner_blocking(
        self: &Arc<Self>,
        shard: &ShardName,
        call: Call,
        timeout: Span,
    ) -> Option<Reply> {
        let (done, result) = std::sync::mpsc::sync_channel(1);
        let (scheduler, shard) = (self.clone(), shard.clone());
        self.peers.spawn(async move {
            let _ = done.send(scheduler.call_owner(&shard, call, timeout).await);
        });
        result.recv().ok().flatten()
    }

    /// Live jobs of all owned shards, for threads without a runtime. Empty on timeout.
    fn live_jobs(&self) -> Vec<JobName> {
        let (reply, jobs) = std::sync::mpsc::sync_channel(1);
        self.send_request(OwnerRequest::Jobs(reply));
        // The queue drops the request once the owner thread has ended.
        jobs.recv_timeout(LIVE_JOBS_TIMEOUT).unwrap_or_default()
    }

    /// Summaries of all known shards: those that peers report and those of this process.
    fn known_shards(&self) -> Vec<ShardSummary> {
        let mut summaries = self.peers.with_membership(|members| {
            let present = members.present();
            present
                .flat_map(|member| member.heartbeat.shards.clone())
                .collect::<Vec<_>>()
        });
        summaries.extend(self.owned_shards().summaries.clone());
        summaries
    }

    /// Publishes the owned shards to the other threads and, by heartbeat, to the peers.
    fn publish_shards(&self, summaries: &[ShardSummary]) {
        let mut owned = self.owned_shards();
        owned.summaries = summaries.to_vec();
        owned.names = summaries.iter().map(|s| s.shard.clone()).collect();
        drop(owned);
        self.peers
            .update_heartbeat(|beat| beat.shards = summaries.to_vec());
    }

    fn owned_shards(&self) -> std::sync::MutexGuard<'_, OwnedShards> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count_sync(&self, result: &'static str) {
        self.sync_count.add(1, &[KeyValue::new("result", result)]);
    }

    fn register_metrics(self: &Arc<Self>) {
        let metrics = &self.process.metrics;
        let scheduler = Arc::downgrade(self);
        metrics.observable_gauge(&telemetry::SHARDS, move |observe| {
            if let Some(scheduler) = scheduler.upgrade() {
                observe(scheduler.owned_shards().summaries.len() as f64, &[]);
            }
        });
        let scheduler = Arc::downgrade(self);
        metrics.observable_gauge(&telemetry::TASKS, move |observe| {
            let Some(scheduler) = scheduler.upgrade() else {
                return;
            };
            for summary in &scheduler.owned_shards().summaries {
                let shard = KeyValue::new("shard", summary.shard.to_string());
                for (state, count) in [("queued", summary.queued), ("running", summary.running)] {
                    let labels = [shard.clone(), KeyValue::new("state", state)];
                    observe(f64::from(count), &labels);
                }
            }
        });
    }
}

/// Handles calls of peers. The cell is empty until the scheduler is constructed.
#[derive(Debug, Clone, Default)]
struct PeerCallHandler(Arc<OnceLock<Weak<Scheduler>>>);

impl Handler for PeerCallHandler {
    async fn handle(&self, _: NodeName, call: Call) -> Reply {
        let Some(scheduler) = self.0.get().and_then(Weak::upgrade) else {
            let text = "the process is starting or stopping";
            return Reply::Code(Code::Draining, text.into());
        };
        match call {
            // Replied to directly, because the evidence ages while it waits in a queue.
            Call::Config(revision) => scheduler.process.active_config.reply(revision),
            call => scheduler.ask(call).await,
        }
    }
}
