//! The scheduler process: owns shards of workers.

mod claim;
mod courier;
mod declared;
mod journal;
mod owner;
mod ownership;
mod pool;
mod sweep;
mod term;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError, Weak};

use indexmap::IndexSet;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use tokio::sync::oneshot;

use self::declared::Declared;
use self::owner::{Asked, Inboxes, Owners};
use self::ownership::Ownership;
use self::pool::Pool;
use crate::http::Server;
use crate::model::{Code, JobName, NodeName, ShardName, Span};
use crate::operator::Operators;
use crate::peer::{Call, Handler, PeerEvent, PeerThread, Peers, Reply, Role};
use crate::process::{ConfigNews, Configuration, Process, StartError, Threads};
use crate::settings::Settings;
use crate::shard::ShardSummary;
use crate::telemetry::{self, Inbox, Outlet, queue};
use crate::worker::HttpWorkerClient;

/// Entries of the queues to the owner thread.
const QUEUE: usize = 1_024;

/// Longest wait of threads that are woken by their queues.
const IDLE: Span = Span::from_millis(200);

/// Time for the answers to operators in flight at a planned stop.
const OPERATORS_STOP: Span = Span::from_millis(3_000);

/// What the threads share.
#[derive(Debug)]
pub(crate) struct Scheduler {
    process: Arc<Process>,
    peers: Peers,
    asked: Mutex<Outlet<Asked>>,
    shown: Mutex<Shown>,
    exchanges: Counter<u64>,
}

/// What the owner thread last told about its shards.
#[derive(Debug, Default)]
struct Shown {
    shards: Vec<ShardSummary>,
    owned: IndexSet<ShardName>,
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
    /// Starts a scheduler process.
    pub fn start(settings: Settings) -> Result<Self, StartError> {
        let process = Process::new(settings, Role::Scheduler)?;
        let (beats, peer_news) = queue(&process.queues, "peers", QUEUE);
        let (asked_out, asked) = queue(&process.queues, "asked", QUEUE);
        let calls = Calls::default();
        let (peers, peer_thread) =
            Peers::start(process.identity(), process.clock, calls.clone(), beats)?;
        process.show_metrics(&peers);
        let scheduler = Arc::new(Scheduler {
            exchanges: process.metrics.counter(&telemetry::SYNCS),
            process: process.clone(),
            peers: peers.clone(),
            asked: Mutex::new(asked_out),
            shown: Mutex::default(),
        });
        scheduler.show_metrics();
        // Set once, here.
        let _ = calls.0.set(Arc::downgrade(&scheduler));
        let threads = start_threads(&scheduler, peer_news, asked)?;
        let local = scheduler.clone();
        let operators = Operators::new(process.clone(), peers, move |call| {
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

    /// The address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// The address for peers.
    pub fn peers(&self) -> SocketAddr {
        self.scheduler.peers.address()
    }

    /// A planned stop: hands all shards over, then ends. Returns whether all
    /// were handed over within the time of the settings.
    pub fn stop(mut self) -> bool {
        let process = &self.scheduler.process;
        let limit = Span::from(process.settings.stop);
        let end = process.clock.now() + limit;
        process.start_draining();
        self.scheduler.peers.announce_draining();
        let (done, mut handed) = oneshot::channel();
        self.scheduler.put(Asked::Stop(done));
        let mut whole = false;
        while !whole && process.clock.now() < end {
            std::thread::sleep(STOP_STEP);
            whole = handed.try_recv().is_ok();
        }
        self.operators.drain(OPERATORS_STOP);
        self.threads.join();
        self.peers.stop();
        log::info!(whole = whole; "the scheduler process stopped");
        whole
    }

    /// Ends at once, as a crash would.
    pub fn abort(mut self) {
        self.peers.stop();
        self.operators.abort();
        self.threads.join();
    }
}

/// Longest wait for the list of live jobs; it is asked for again after a second.
const JOBS_PATIENCE: std::time::Duration = std::time::Duration::from_secs(1);

/// Interval of looking whether all shards are handed over.
const STOP_STEP: std::time::Duration = std::time::Duration::from_millis(20);

fn start_threads(
    scheduler: &Arc<Scheduler>,
    peers: Inbox<PeerEvent>,
    asked: Inbox<Asked>,
) -> Result<Threads, StartError> {
    let process = &scheduler.process;
    let (config_out, config): (_, Inbox<ConfigNews>) =
        queue(&process.queues, "configuration", QUEUE);
    let (taken_out, taken) = queue(&process.queues, "taken-shards", QUEUE);
    let (ended_out, ended) = queue(&process.queues, "ended-shards", QUEUE);
    let mut threads = Threads::new();
    let workers =
        HttpWorkerClient::new().map_err(|e| StartError::Client("workers", e.to_string()))?;
    let pool = Pool::start(scheduler, &Arc::new(workers), &mut threads)?;
    let inboxes = Inboxes {
        config,
        peers,
        asked,
        taken,
    };
    let owners = Owners::new(scheduler.clone(), inboxes, pool, ended_out);
    threads.spawn("owners", move |running| owners.run(&running))?;
    let ownership = Ownership::new(scheduler.clone(), taken_out, ended);
    threads.spawn("ownership", move |running| ownership.run(&running))?;
    let swept = scheduler.clone();
    threads.spawn("sweep", move |running| sweep::run(&swept, &running))?;
    let declared = Declared::new(scheduler.clone());
    threads.spawn("declared-jobs", move |running| declared.run(&running))?;
    let configuration = Configuration::new(process.clone(), scheduler.peers.clone(), config_out);
    threads.spawn("configuration", move |running| configuration.run(&running))?;
    Ok(threads)
}

impl Scheduler {
    /// Puts something into the queue of the owner thread.
    fn put(&self, asked: Asked) {
        let mut outlet = self.asked.lock().unwrap_or_else(PoisonError::into_inner);
        if outlet.push(asked).is_err() {
            // Whoever waits for the answer sees that it is dropped.
            log::warn!("the queue to the owners is full");
        }
    }

    /// Asks the owner thread.
    async fn ask(&self, call: Call) -> Reply {
        let (reply, answer) = oneshot::channel();
        self.put(Asked::Call(Box::new(call), reply));
        answer.await.unwrap_or_else(|_| {
            let text = "the owners are busy or the process is stopping".into();
            Reply::Code(Code::PeerUnknown, text)
        })
    }

    /// Whether this process owns a shard, as the owner thread last told.
    fn owns(&self, shard: &ShardName) -> bool {
        self.shown().owned.contains(shard)
    }

    /// Calls the owner of a shard from a thread without a runtime.
    fn call_owner_blocking(
        self: &Arc<Self>,
        shard: &ShardName,
        call: Call,
        limit: Span,
    ) -> Option<Reply> {
        let (done, result) = std::sync::mpsc::sync_channel(1);
        let (scheduler, shard) = (self.clone(), shard.clone());
        self.peers.spawn(async move {
            let _ = done.send(scheduler.call_owner(&shard, call, limit).await);
        });
        result.recv().ok().flatten()
    }

    /// Live jobs of all owned shards, asked from a thread without a runtime.
    fn live_jobs(&self) -> Vec<JobName> {
        let (reply, jobs) = std::sync::mpsc::sync_channel(1);
        self.put(Asked::Jobs(reply));
        // The queue drops the question when the owner thread has ended.
        jobs.recv_timeout(JOBS_PATIENCE).unwrap_or_default()
    }

    /// The summaries of all shards known, those of this process included.
    fn known_shards(&self) -> Vec<ShardSummary> {
        let mut summaries = self.peers.with_membership(|members| {
            let present = members.present();
            present
                .flat_map(|member| member.heartbeat.shards.clone())
                .collect::<Vec<_>>()
        });
        summaries.extend(self.shown().shards.clone());
        summaries
    }

    /// Shows the owned shards to the other threads and the peers.
    fn show(&self, summaries: &[ShardSummary]) {
        let mut shown = self.shown();
        shown.shards = summaries.to_vec();
        shown.owned = summaries.iter().map(|s| s.shard.clone()).collect();
        drop(shown);
        self.peers
            .update_heartbeat(|beat| beat.shards = summaries.to_vec());
    }

    fn shown(&self) -> std::sync::MutexGuard<'_, Shown> {
        self.shown.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count_exchange(&self, result: &'static str) {
        self.exchanges.add(1, &[KeyValue::new("result", result)]);
    }

    fn show_metrics(self: &Arc<Self>) {
        let metrics = &self.process.metrics;
        let scheduler = Arc::downgrade(self);
        metrics.watch_gauge(&telemetry::SHARDS, move |observe| {
            if let Some(scheduler) = scheduler.upgrade() {
                observe(scheduler.shown().shards.len() as f64, &[]);
            }
        });
        let scheduler = Arc::downgrade(self);
        metrics.watch_gauge(&telemetry::TASKS, move |observe| {
            let Some(scheduler) = scheduler.upgrade() else {
                return;
            };
            for summary in &scheduler.shown().shards {
                let shard = KeyValue::new("shard", summary.shard.to_string());
                for (state, count) in [("queued", summary.queued), ("running", summary.running)] {
                    let labels = [shard.clone(), KeyValue::new("state", state)];
                    observe(f64::from(count), &labels);
                }
            }
        });
    }
}

/// Answers calls of peers once the scheduler process is complete.
#[derive(Debug, Clone, Default)]
struct Calls(Arc<OnceLock<Weak<Scheduler>>>);

impl Handler for Calls {
    async fn handle(&self, _: NodeName, call: Call) -> Reply {
        let Some(scheduler) = self.0.get().and_then(Weak::upgrade) else {
            let text = "the process is starting or stopping";
            return Reply::Code(Code::Draining, text.into());
        };
        match call {
            // Answered at once, because start evidence ages on the way.
            Call::Config(revision) => scheduler.process.board.reply(revision),
            call => scheduler.ask(call).await,
        }
    }
}
