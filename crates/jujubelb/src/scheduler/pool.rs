//! A small pool of threads that exchange with workers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use super::Scheduler;
use crate::model::{ShardName, WorkerName};
use crate::process::{Running, StartError, Threads};
use crate::telemetry::{Inbox, Outlet, queue};
use crate::worker::{SyncRequest, SyncResponse, WorkerClient, WorkerError};

/// Threads for exchanges. One that gets no answer occupies its thread for up to
/// 2 s, so the workers of one dead rack leave half of them to the others.
const THREADS: usize = 16;

/// An exchange to be carried out.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) shard: ShardName,
    pub(super) worker: WorkerName,
    pub(super) address: SocketAddr,
    pub(super) request: SyncRequest,
}

/// The result of an exchange.
#[derive(Debug)]
pub(super) struct Exchanged {
    pub(super) shard: ShardName,
    pub(super) worker: WorkerName,
    pub(super) result: Result<SyncResponse, WorkerError>,
}

/// The owner thread's side of the pool. Each thread has one exchange at a time;
/// the others wait here, at most one for each worker.
#[derive(Debug)]
pub(super) struct Pool {
    lanes: Vec<Lane>,
    waiting: VecDeque<Exchange>,
}

#[derive(Debug)]
struct Lane {
    work: Outlet<Exchange>,
    results: Inbox<Exchanged>,
    busy: bool,
}

impl Pool {
    /// Starts the threads.
    pub(super) fn start<W: WorkerClient + 'static>(
        scheduler: &Scheduler,
        workers: &Arc<W>,
        threads: &mut Threads,
    ) -> Result<Self, StartError> {
        let queues = &scheduler.process.queues;
        let mut lanes = Vec::new();
        for _ in 0..THREADS {
            let (work, inbox) = queue(queues, "worker-exchanges", 1);
            let (outlet, results) = queue(queues, "worker-results", 1);
            let workers = workers.clone();
            threads.spawn("workers", move |running| {
                serve(&*workers, inbox, outlet, &running);
            })?;
            lanes.push(Lane {
                work,
                results,
                busy: false,
            });
        }
        Ok(Self {
            lanes,
            waiting: VecDeque::new(),
        })
    }

    /// Has results wake this thread.
    pub(super) fn wake_here(&self) {
        for lane in &self.lanes {
            lane.results.wake_here();
        }
    }

    /// Exchanges that wait for a thread.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds an exchange.
    pub(super) fn add(&mut self, exchange: Exchange) {
        self.waiting.push_back(exchange);
        self.assign();
    }

    /// Takes the results that are there.
    pub(super) fn results(&mut self) -> Vec<Exchanged> {
        let mut results = Vec::new();
        for lane in &mut self.lanes {
            if let Some(result) = lane.results.pop() {
                lane.busy = false;
                results.push(result);
            }
        }
        self.assign();
        results
    }

    fn assign(&mut self) {
        for lane in self.lanes.iter_mut().filter(|lane| !lane.busy) {
            let Some(exchange) = self.waiting.pop_front() else {
                return;
            };
            match lane.work.push(exchange) {
                Ok(()) => lane.busy = true,
                Err(exchange) => self.waiting.push_front(exchange),
            }
        }
    }
}

fn serve<W: WorkerClient>(
    workers: &W,
    mut work: Inbox<Exchange>,
    mut results: Outlet<Exchanged>,
    running: &Running,
) {
    work.wake_here();
    while running.goes_on() {
        let Some(exchange) = work.pop() else {
            running.wait(super::IDLE);
            continue;
        };
        let result = workers.sync(exchange.address, &exchange.request);
        let done = Exchanged {
            shard: exchange.shard,
            worker: exchange.worker,
            result,
        };
        if results.push(done).is_err() {
            // There is one exchange at a time, so the queue has room.
            log::error!("the result of an exchange was not taken");
        }
    }
}
