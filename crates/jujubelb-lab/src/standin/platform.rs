//! The complete stand-in platform of one deployment, served on its declared loopback addresses.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eyre::{Context, Result, ensure, eyre};
use indexmap::{IndexMap, IndexSet};
use jujubelb::config::Config;
use jujubelb::model::{EndpointName, Incarnation, Span, Time, WorkerName};
use rand::Rng;
use tokio::runtime::Runtime;
use tokio::sync::Semaphore;

use super::behaviour::Behaviours;
use super::endpoint::{Endpoint, Noise, Receipts};
use super::hosts::HostTable;
use super::ledger::Ledger;
use super::store::MemoryStore;
use super::worker::{Facts, WorkerState};
use super::worker_http::ServedWorker;
use super::{endpoint, hosts, server, store_http, worker_http};

/// Interval at which workers advance between requests.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(10);

/// The clock shared by the stand-ins.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// The time since the clock started.
    pub fn now(&self) -> Time {
        Time::ZERO + Span::from(self.0.elapsed())
    }
}

/// Workers that can't be reached, though they go on running.
#[derive(Debug, Default)]
pub struct Network(Mutex<IndexSet<WorkerName>>);

impl Network {
    /// Cuts a worker off, or connects it again.
    pub fn cut(&self, worker: &WorkerName, cut: bool) {
        let mut set = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if cut {
            set.insert(worker.clone());
        } else {
            set.shift_remove(worker);
        }
    }

    /// Whether a worker is cut off.
    pub fn is_cut(&self, worker: &WorkerName) -> bool {
        let set = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        set.contains(worker)
    }
}

/// Loopback addresses of the store and the host list.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Address on which the store listens.
    pub store: SocketAddr,
    /// Address on which the host list is served.
    pub hosts: SocketAddr,
}

/// Properties that a deployment's declarations do not have.
#[derive(Debug, Clone, Default)]
pub struct Reality {
    /// Real behaviour of task classes.
    pub behaviours: Behaviours,
    /// Mean service time of endpoints.
    pub service: Span,
}

/// The running platform. Dropping it stops all servers.
pub struct Platform {
    /// Store that the HTTP interface serves; its faults are set here.
    pub store: Arc<MemoryStore>,
    /// Host list with its lag.
    pub hosts: Arc<HostTable>,
    /// Reachability of workers.
    pub network: Arc<Network>,
    /// Record of attempts and checks.
    pub ledger: Arc<Mutex<Ledger>>,
    /// Requests that endpoints received.
    pub receipts: Arc<Receipts>,
    /// The clock of all stand-ins.
    pub clock: Clock,
    workers: IndexMap<WorkerName, Arc<Mutex<WorkerState>>>,
    leaving: IndexMap<EndpointName, (SocketAddr, Arc<AtomicBool>)>,
    addresses: IndexMap<WorkerName, SocketAddr>,
    runtime: Option<Runtime>,
}

impl Platform {
    /// Starts the platform of a deployment. All addresses have to be loopback addresses.
    pub fn start(addresses: Addresses, config: &Config, reality: &Reality) -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(4)
            .thread_name("platform")
            .enable_all()
            .build()
            .wrap_err("can't start the stand-ins' threads")?;
        let mut platform = Self {
            store: Arc::default(),
            hosts: Arc::default(),
            network: Arc::default(),
            ledger: Arc::default(),
            receipts: Arc::default(),
            clock: Clock::start(),
            workers: IndexMap::new(),
            leaving: IndexMap::new(),
            addresses: IndexMap::new(),
            runtime: Some(runtime),
        };
        platform.serve_services(addresses)?;
        platform.serve_workers(config, reality)?;
        platform.serve_endpoints(config, reality)?;
        platform.run_workers()?;
        Ok(platform)
    }

    fn runtime(&self) -> Result<&Runtime> {
        self.runtime
            .as_ref()
            .ok_or_else(|| eyre!("the platform has stopped"))
    }

    fn launch(&self, rocket: rocket::Rocket<rocket::Build>) -> Result<()> {
        self.runtime()?.block_on(server::launch(rocket)).map(drop)
    }

    fn serve_services(&self, addresses: Addresses) -> Result<()> {
        let store = store_http::mount(
            server::build(require_loopback(addresses.store)?),
            Arc::clone(&self.store),
        );
        self.launch(store)?;
        let table = Arc::clone(&self.hosts);
        self.launch(hosts::mount(
            server::build(require_loopback(addresses.hosts)?),
            table,
            self.clock,
        ))
    }

    fn serve_workers(&mut self, config: &Config, reality: &Reality) -> Result<()> {
        let behaviours = Arc::new(reality.behaviours.clone());
        for (name, worker) in &config.workers {
            let domain = config
                .domain_of(name)
                .ok_or_else(|| eyre!("worker {name} has no rack"))?;
            let facts = Facts {
                name: name.clone(),
                domain: domain.clone(),
                capacity: worker.capacity.saturating_sub(&worker.reserved),
                broken: false,
                offset: Span::from_secs(rand::rng().random_range(10..10_000)),
            };
            let ledger = Arc::clone(&self.ledger);
            let state =
                WorkerState::new(facts, random_incarnation(), Arc::clone(&behaviours), ledger);
            let state = Arc::new(Mutex::new(state));
            let served = ServedWorker {
                state: Arc::clone(&state),
                network: Arc::clone(&self.network),
                clock: self.clock,
            };
            self.launch(worker_http::mount(
                server::build(require_loopback(worker.address)?),
                served,
            ))?;
            self.hosts.set(Time::ZERO, worker.address, false);
            self.addresses.insert(name.clone(), worker.address);
            self.workers.insert(name.clone(), state);
        }
        Ok(())
    }

    fn serve_endpoints(&mut self, config: &Config, reality: &Reality) -> Result<()> {
        for (name, declared) in config.services.values().flat_map(|s| &s.endpoints) {
            let served = Endpoint {
                name: name.clone(),
                service: reality.service,
                slots: Arc::new(Semaphore::new(declared.slots as usize)),
                leaving: Arc::default(),
                receipts: Arc::clone(&self.receipts),
                noise: self.noise_on(declared.worker.as_ref()),
                clock: self.clock,
            };
            self.launch(endpoint::mount(
                server::build(require_loopback(declared.address)?),
                &served,
            ))?;
            self.hosts.set(Time::ZERO, declared.address, false);
            self.leaving
                .insert(name.clone(), (declared.address, served.leaving));
        }
        Ok(())
    }

    fn noise_on(&self, worker: Option<&WorkerName>) -> Noise {
        match worker.and_then(|w| self.workers.get(w)).cloned() {
            Some(state) => Arc::new(move || lock(&state).noise()),
            None => Arc::new(|| 0),
        }
    }

    fn run_workers(&self) -> Result<()> {
        let workers: Vec<_> = self.workers.values().cloned().collect();
        let clock = self.clock;
        self.runtime()?.spawn(async move {
            let mut ticks = tokio::time::interval(ADVANCE_INTERVAL);
            loop {
                ticks.tick().await;
                for worker in &workers {
                    lock(worker).advance(clock.now());
                }
            }
        });
        Ok(())
    }

    /// The state of a worker.
    pub fn worker(&self, name: &WorkerName) -> Option<MutexGuard<'_, WorkerState>> {
        self.workers.get(name).map(|w| lock(w))
    }

    /// All workers' names.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerName> {
        self.workers.keys()
    }

    /// Whether an endpoint is declared.
    pub fn has_endpoint(&self, name: &EndpointName) -> bool {
        self.leaving.contains_key(name)
    }

    /// Restarts a worker's host without its tasks, under a new incarnation.
    pub fn restart_worker(&self, name: &WorkerName) {
        if let Some(mut worker) = self.worker(name) {
            worker.restart(self.clock.now(), random_incarnation());
        }
    }

    /// Sets whether an endpoint is leaving: its responses say so at once, the host list after its lag.
    pub fn set_leaving(&self, name: &EndpointName, leaving: bool) {
        if let Some((address, flag)) = self.leaving.get(name) {
            flag.store(leaving, Ordering::Relaxed);
            self.hosts.set(self.clock.now(), *address, leaving);
        }
    }

    /// Record of attempts and checks.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        lock(&self.ledger)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn random_incarnation() -> Incarnation {
    Incarnation(rand::rng().random())
}

pub(super) fn require_loopback(address: SocketAddr) -> Result<SocketAddr> {
    ensure!(
        address.ip().is_loopback(),
        "{address} is not a loopback address; stand-ins listen on loopback only"
    );
    Ok(address)
}
