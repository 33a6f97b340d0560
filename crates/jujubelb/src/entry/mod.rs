//! The entry process: accepts callers' requests and job submissions.

mod calls;
mod claims;
mod control;
mod desk;
mod forward;
mod headers;
mod hosts;
mod jobs;
mod serve;
mod stats;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::{Build, Rocket};
use tokio::sync::Semaphore;

pub use headers::{CALLER, CODE, DEADLINE, IDEMPOTENT, KEY, LEAVING, MAY_HAVE_RUN, PRIORITY};

use self::calls::Calls;
use self::control::Control;
use self::desk::Desk;
use self::serve::Requests;
use self::stats::Stats;
use crate::hosts::HttpHostList;
use crate::http::Server;
use crate::model::Span;
use crate::operator::{self, Operators};
use crate::peer::{News, PeerThread, Peers, Role};
use crate::process::{Configuration, Process, StartError, Threads};
use crate::settings::Settings;
use crate::telemetry::{Inbox, queue};

/// Threads that serve callers. An entry host is small and shared with the scheduler process.
const THREADS: usize = 4;

/// Entries of the queues to the control thread.
const QUEUE: usize = 256;

/// What request handlers and threads share.
#[derive(Debug)]
pub(crate) struct EntryProcess {
    process: Arc<Process>,
    peers: Peers,
    desk: Desk,
    client: reqwest::Client,
    bodies: Semaphore,
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
        // The settings were checked for this role, so the address is there.
        let address = process
            .settings
            .callers
            .unwrap_or(process.settings.operators);
        let (beats, peer_news) = queue(&process.queues, "peers", QUEUE);
        let calls = Calls::default();
        let (peers, peer_thread) =
            Peers::start(process.identity(), process.clock, calls.clone(), beats)?;
        let entry = Arc::new(EntryProcess {
            desk: Desk::new(
                process.node.clone(),
                process.settings.domain.clone(),
                process.clock,
                Span::from(process.settings.key_lifetime),
            ),
            client: forward::client()
                .map_err(|e| StartError::Client("endpoints", e.to_string()))?,
            bodies: Semaphore::new(serve::BODIES),
            stats: Stats::new(process.clock, &process.metrics),
            peers: peers.clone(),
            process: process.clone(),
        });
        process.show_metrics(&peers);
        // Set once, here.
        let _ = calls.0.set(Arc::downgrade(&entry));
        let threads = start_threads(&entry, peer_news)?;
        let local = entry.clone();
        let operators = Operators::new(process.clone(), peers, move |call| {
            let local = local.clone();
            Box::pin(async move { local.answer(call) })
        })?;
        let operators = operators.serve()?;
        let served = entry.clone();
        let callers = Server::start("callers", address, THREADS, move |rocket| {
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

    /// The address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// The address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// The address for peers.
    pub fn peers(&self) -> SocketAddr {
        self.entry.peers.address()
    }

    /// A planned stop: tells the balancer and the peers, then accepts nothing
    /// more and finishes every request in flight. Returns whether all were
    /// finished within the time of the settings.
    pub fn stop(mut self) -> bool {
        let process = &self.entry.process;
        let settings = &process.settings;
        let (notice, limit) = (settings.notice, settings.stop);
        process.start_draining();
        self.entry.peers.tell_draining();
        std::thread::sleep(notice);
        self.entry.desk.decide(|now, state| state.router.drain(now));
        let whole = self.callers.drain(Span::from(limit - notice));
        self.operators.drain(OPERATORS_STOP);
        self.threads.join();
        self.peers.stop();
        log::info!(whole = whole; "the entry process stopped");
        whole
    }

    /// Ends at once, as a crash would.
    pub fn abort(mut self) {
        self.callers.abort();
        self.operators.abort();
        self.peers.stop();
        self.threads.join();
    }
}

/// Time for the answers to operators in flight at a planned stop.
const OPERATORS_STOP: Span = Span::from_millis(3_000);

fn start_threads(entry: &Arc<EntryProcess>, peer_news: Inbox<News>) -> Result<Threads, StartError> {
    let process = &entry.process;
    let (config_out, config_in) = queue(&process.queues, "configuration", QUEUE);
    let (hosts_out, hosts_in) = queue(&process.queues, "host-list", QUEUE);
    let mut threads = Threads::new();
    let list = HttpHostList::new(process.settings.host_list)
        .map_err(|e| StartError::Client("host list", e.to_string()))?;
    threads.spawn("host-list", move |running| {
        hosts::run(&list, hosts_out, &running);
    })?;
    let configuration = Configuration::new(process.clone(), entry.peers.clone(), config_out);
    threads.spawn("configuration", move |running| configuration.run(&running))?;
    let control = Control::new(entry.clone(), config_in, peer_news, hosts_in);
    threads.spawn("control", move |running| control.run(&running))?;
    Ok(threads)
}

fn mount(rocket: Rocket<Build>, entry: &Arc<EntryProcess>) -> Rocket<Build> {
    rocket
        .manage(entry.clone())
        .manage(entry.process.clone())
        .mount("/", Requests(entry.clone()).routes())
        .mount("/", rocket::routes![jobs::submit, jobs::cancel])
        .mount("/", operator::health_routes())
        .register("/", operator::catchers())
}
