//! Threads that carry out the blocking sync calls to workers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use super::Scheduler;
use crate::model::{ShardName, WorkerName};
use crate::process::{Running, StartError, Threads};
use crate::telemetry::{QueueReceiver, QueueSender, queue};
use crate::worker::{SyncRequest, SyncResponse, WorkerClient, WorkerError};

/// Threads for sync calls. An unanswered call occupies its thread for up to 2 s;
/// with 16 threads, the workers of one dead rack leave half of them to the others.
const POOL_THREADS: usize = 16;

/// A sync call to one worker.
#[derive(Debug)]
pub(super) struct SyncCall {
    pub(super) shard: ShardName,
    pub(super) worker: WorkerName,
    pub(super) address: SocketAddr,
    pub(super) request: SyncRequest,
}

/// The result of one sync call.
#[derive(Debug)]
pub(super) struct SyncResult {
    pub(super) shard: ShardName,
    pub(super) worker: WorkerName,
    pub(super) result: Result<SyncResponse, WorkerError>,
}

/// The owner thread's side of the pool. Each thread carries out one call at a
/// time; the others wait here, at most one for each worker.
#[derive(Debug)]
pub(super) struct SyncPool {
    pool_threads: Vec<PoolThread>,
    waiting: VecDeque<SyncCall>,
}

#[derive(Debug)]
struct PoolThread {
    calls: QueueSender<SyncCall>,
    results: QueueReceiver<SyncResult>,
    busy: bool,
}

impl SyncPool {
    /// Starts the pool threads.
    pub(super) fn start<W: WorkerClient + 'static>(
        scheduler: &Scheduler,
        workers: &Arc<W>,
        threads: &mut Threads,
    ) -> Result<Self, StartError> {
        let queues = &scheduler.process.queues;
        let mut pool_threads = Vec::new();
        for _ in 0..POOL_THREADS {
            let (calls, call_receiver) = queue(queues, "worker-exchanges", 1);
            let (result_sender, results) = queue(queues, "worker-results", 1);
            let workers = workers.clone();
            threads.spawn("workers", move |running| {
                run_calls(&*workers, call_receiver, result_sender, &running);
            })?;
            pool_threads.push(PoolThread {
                calls,
                results,
                busy: false,
            });
        }
        Ok(Self {
            pool_threads,
            waiting: VecDeque::new(),
        })
    }

    /// Makes each result wake the calling thread.
    pub(super) fn register_reader(&self) {
        for thread in &self.pool_threads {
            thread.results.register_reader();
        }
    }

    /// Number of calls that wait for a free thread.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a call behind the waiting ones.
    pub(super) fn enqueue(&mut self, call: SyncCall) {
        self.waiting.push_back(call);
        self.assign_waiting();
    }

    /// Takes the available results without waiting.
    pub(super) fn take_results(&mut self) -> Vec<SyncResult> {
        let mut results = Vec::new();
        for thread in &mut self.pool_threads {
            if let Some(result) = thread.results.pop() {
                thread.busy = false;
                results.push(result);
            }
        }
        self.assign_waiting();
        results
    }

    fn assign_waiting(&mut self) {
        for thread in self.pool_threads.iter_mut().filter(|thread| !thread.busy) {
            let Some(call) = self.waiting.pop_front() else {
                return;
            };
            match thread.calls.push(call) {
                Ok(()) => thread.busy = true,
                Err(call) => self.waiting.push_front(call),
            }
        }
    }
}

fn run_calls<W: WorkerClient>(
    workers: &W,
    mut calls: QueueReceiver<SyncCall>,
    mut results: QueueSender<SyncResult>,
    running: &Running,
) {
    calls.register_reader();
    while running.is_active() {
        let Some(call) = calls.pop() else {
            running.wait(super::MAX_IDLE_WAIT);
            continue;
        };
        let result = workers.sync(call.address, &call.request);
        let sync_result = SyncResult {
            shard: call.shard,
            worker: call.worker,
            result,
        };
        if results.push(sync_result).is_err() {
            // Only one call is outstanding for each thread, so its queue is never full.
            log::error!("the result of a sync call was dropped, because the result queue is full");
        }
    }
}
