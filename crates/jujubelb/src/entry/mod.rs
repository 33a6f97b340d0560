//! The entry process: forwards callers' requests to endpoints and accepts job submissions.

mod claims;
mod control;
mod forward;
mod headers;
mod host_list_poller;
mod jobs;
mod peer_calls;
mod serve;
mod shared_router;
mod stats;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::{Build, Rocket};
use tokio::sync::Semaphore;

pub use headers::{CALLER, CODE, DEADLINE, IDEMPOTENT, KEY, LEAVING, MAY_HAVE_RUN, PRIORITY};

use self::control::ControlThread;
use self::peer_calls::PeerCallHandler;
use self::serve::ServiceHandler;
use self::shared_router::SharedRouter;
use self::stats::Stats;
use crate::hosts::HttpHostList;
use crate::http::Server;
use crate::model::Span;
use crate::operator::{self, OperatorApi};
use crate::peer::{PeerEvent, PeerThread, Peers, Role};
use crate::process::{Configuration, Process, StartError, Threads};
use crate::settings::Settings;
use crate::telemetry::{QueueReceiver, queue};

/// Number of threads that serve callers. An entry host is small, and the scheduler
/// process runs on it too.
const CALLER_THREADS: usize = 4;

/// Capacity of the queues to the control thread, in entries.
const QUEUE_LENGTH: usize = 256;

/// State shared by the request handlers and threads of an entry process.
#[derive(Debug)]
pub(crate) struct EntryProcess {
    process: Arc<Process>,
    peers: Peers,
    shared_router: SharedRouter,
    client: reqwest::Client,
    /// Free memory for bodies, in units of `serve::BODY_UNIT_BYTES`.
    body_memory: Semaphore,
    stats: Stats,
}

/// A running entry process.
#[derive(Debug)]
pub struct EntryHandle {
    entry: Arc<EntryProcess>,
    callers: Server,
    operators: Server,
    threads: Threads,
    peers: PeerThread,
}

impl EntryHandle {
    /// Starts an entry process.
    pub fn start(settings: Settings) -> Result<Self, StartError> {
        let process = Process::new(settings, Role::Entry)?;
        // The settings were validated for this role, so the address is present.
        let address = process
            .settings
            .callers
            .unwrap_or(process.settings.operators);
        let (peer_outlet, peer_inbox) = queue(&process.queues, "peers", QUEUE_LENGTH);
        let call_handler = PeerCallHandler::default();
        let (peers, peer_thread) = Peers::start(
            process.identity(),
            process.clock,
            call_handler.clone(),
            peer_outlet,
        )?;
        let entry = Arc::new(EntryProcess {
            shared_router: SharedRouter::new(
                process.node.clone(),
                process.settings.domain.clone(),
                process.clock,
                Span::from(process.settings.key_lifetime),
            ),
            client: forward::client()
                .map_err(|e| StartError::Client("endpoints", e.to_string()))?,
            body_memory: Semaphore::new(serve::BODY_MEMORY_UNITS),
            stats: Stats::new(process.clock, &process.metrics),
            peers: peers.clone(),
            process: process.clone(),
        });
        process.register_metrics(&peers);
        // This is the only call of `set`, so it does not fail.
        let _ = call_handler.0.set(Arc::downgrade(&entry));
        let threads = start_threads(&entry, peer_inbox)?;
        let local = entry.clone();
        let operators = OperatorApi::new(process.clone(), peers, move |call| {
            let local = local.clone();
            Box::pin(async move { local.handle_call(call) })
        })?;
        let operators = operators.serve()?;
        let served = entry.clone();
        let callers = Server::start("callers", address, CALLER_THREADS, move |rocket| {
            mount(rocket, &served)
        })?;
        log::info!(node:% = process.node, callers:% = callers.address(), operators:% = operators.address(); "the entry process started");
        Ok(Self {
            entry,
            callers,
            operators,
            threads,
            peers: peer_thread,
        })
    }

    /// The address that serves callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// The address that serves operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// The address that serves peers.
    pub fn peers(&self) -> SocketAddr {
        self.entry.peers.address()
    }

    /// Performs a planned stop: reports it to the load balancer and the peers, then
    /// refuses new requests and finishes those in flight. Returns whether all were
    /// finished within the time of the settings.
    pub fn stop(mut self) -> bool {
        let process = &self.entry.process;
        let settings = &process.settings;
        let (notice, limit) = (settings.notice, settings.stop);
        process.start_draining();
        self.entry.peers.announce_draining();
        std::thread::sleep(notice);
        self.entry
            .shared_router
            .with_state(|now, state| state.router.drain(now));
        let complete = self.callers.drain(Span::from(limit - notice));
        self.operators.drain(OPERATOR_DRAIN_TIMEOUT);
        self.threads.join();
        self.peers.stop();
        log::info!(whole = complete; "the entry process stopped");
        complete
    }

    /// Stops at once without finishing requests, like a crash.
    pub fn abort(mut self) {
        self.callers.abort();
        self.operators.abort();
        self.peers.stop();
        self.threads.join();
    }
}

/// Time for finishing operators' requests during a planned stop.
const OPERATOR_DRAIN_TIMEOUT: Span = Span::from_millis(3_000);

fn start_threads(
    entry: &Arc<EntryProcess>,
    peer_inbox: QueueReceiver<PeerEvent>,
) -> Result<Threads, StartError> {
    let process = &entry.process;
    let (config_out, config_in) = queue(&process.queues, "configuration", QUEUE_LENGTH);
    let (hosts_out, hosts_in) = queue(&process.queues, "host-list", QUEUE_LENGTH);
    let mut threads = Threads::new();
    let list = HttpHostList::new(process.settings.host_list)
        .map_err(|e| StartError::Client("host list", e.to_string()))?;
    threads.spawn("host-list", move |running| {
        host_list_poller::run(&list, hosts_out, &running);
    })?;
    let configuration = Configuration::new(process.clone(), entry.peers.clone(), config_out);
    threads.spawn("configuration", move |running| configuration.run(&running))?;
    let control = ControlThread::new(entry.clone(), config_in, peer_inbox, hosts_in);
    threads.spawn("control", move |running| control.run(&running))?;
    Ok(threads)
}

fn mount(rocket: Rocket<Build>, entry: &Arc<EntryProcess>) -> Rocket<Build> {
    rocket
        .manage(entry.clone())
        .manage(entry.process.clone())
        .mount("/", ServiceHandler(entry.clone()).routes())
        .mount("/", rocket::routes![jobs::submit, jobs::cancel])
        .mount("/", operator::health_routes())
        .register("/", operator::catchers())
}
