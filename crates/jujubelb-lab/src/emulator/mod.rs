//! Emulator of the platform on loopback addresses, by its published protocol: the store,
//! workers and the operator. Each host has an address of its own for the store, so that the
//! link of one host can be disturbed while the others work.

pub(crate) mod customers;
pub(crate) mod fleet;
pub(crate) mod history;
pub(crate) mod http;
pub(crate) mod interference;
pub(crate) mod platform;
pub(crate) mod registry;
pub(crate) mod store;
#[cfg(test)]
mod tests;
pub(crate) mod worker;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use arcstr::ArcStr;
use eyre::Result;

use customers::Customer;
use fleet::Fleet;
use history::{History, What};
use http::Link;
use platform::entries::{self, Queue};
use platform::settings::HostPlace;
use platform::store_api::StoreApi;
use platform::worker_api::WorkerApi;
use registry::Registry;
use store::Store;
use worker::{MAX_LEASE, Machine};

/// Port of the store on each of its addresses.
const STORE_PORT: u16 = 8169;

/// Port of each worker.
const WORKER_PORT: u16 = 9_000;

/// Port on which a host takes clients' requests.
const CLIENT_PORT: u16 = 8161;

/// Last part of the address of the first host, of its store, and of the first worker.
const FIRST_ADDRESSES: [u8; 3] = [10, 60, 110];

/// Most hosts and most workers of a deployment; each has its own loopback address.
pub(crate) const MAX_HOSTS: usize = 40;
pub(crate) const MAX_WORKERS: usize = 120;

/// How long the store keeps its history.
const HISTORY_KEPT: Duration = Duration::from_secs(20);

/// Failure domains, over which hosts and workers are spread.
pub(crate) const ZONES: [&str; 3] = ["za", "zb", "zc"];

/// Parts of a deployment.
#[derive(Debug, Clone)]
pub(crate) struct Layout {
    /// Second and third part of all loopback addresses.
    pub(crate) net: (u8, u8),
    pub(crate) hosts: usize,
    pub(crate) machines: Vec<Machine>,
    pub(crate) link_mbps: f64,
}

impl Layout {
    fn address(&self, group: usize, index: usize, port: u16) -> SocketAddr {
        let last = FIRST_ADDRESSES[group] + index as u8;
        let ip = Ipv4Addr::new(127, self.net.0, self.net.1, last);
        SocketAddr::from((ip, port))
    }

    fn max_lease(&self) -> Duration {
        let leases = self.machines.iter().map(|m| m.max_lease);
        leases.max().unwrap_or(MAX_LEASE)
    }

    pub(crate) fn host(&self, index: usize) -> HostPlace {
        HostPlace {
            name: format!("h{index}"),
            zone: ZONES[index % ZONES.len()].to_owned(),
            clients: self.address(0, index, CLIENT_PORT),
            store: self.address(1, index, STORE_PORT),
            link_mbps: self.link_mbps,
            max_lease: self.max_lease(),
        }
    }
}

/// A running emulator.
#[derive(Debug)]
pub(crate) struct Emulator {
    pub(crate) history: Arc<History>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) store: Arc<StoreApi>,
    pub(crate) registry: Arc<Registry>,
    /// Link of each host to the store.
    pub(crate) store_links: Vec<Arc<Link>>,
    /// Link of all hosts to each worker.
    pub(crate) worker_links: Vec<Arc<Link>>,
}

impl Emulator {
    /// Starts the store and the workers of a deployment.
    pub(crate) async fn start(layout: &Layout, seed: u64) -> Result<Self> {
        let history = Arc::new(History::new());
        let store = Store::new(HISTORY_KEPT);
        let store = Arc::new(StoreApi::new(store, history.clone()));
        let fleet = Fleet::new(layout.machines.clone(), history.clone(), seed);
        let fleet = Arc::new(fleet);
        let mut store_links = Vec::new();
        for host in 0..layout.hosts {
            let link = Arc::new(Link::new(seed ^ host as u64));
            http::listen(layout.host(host).store, link.clone(), store.clone()).await?;
            store_links.push(link);
        }
        let mut worker_links = Vec::new();
        let mut addresses = Vec::new();
        for place in 0..layout.machines.len() {
            let link = Arc::new(Link::new(!seed ^ place as u64));
            let address = layout.address(2, place, WORKER_PORT);
            let api = WorkerApi {
                fleet: fleet.clone(),
                place,
                history: history.clone(),
            };
            http::listen(address, link.clone(), Arc::new(api)).await?;
            worker_links.push(link);
            addresses.push(address);
        }
        let registry = Arc::new(Registry::new(addresses));
        tokio::spawn(fleet.clone().advance());
        tokio::spawn(registry::register(
            registry.clone(),
            fleet.clone(),
            store.clone(),
            history.clone(),
        ));
        Ok(Self {
            history,
            fleet,
            store,
            registry,
            store_links,
            worker_links,
        })
    }

    /// Writes a configuration, as the operator does. Without customers, no queue needs a key.
    pub(crate) fn configure(&self, version: u64, queues: &[Queue], customers: Vec<Customer>) {
        let value = entries::config(version, queues, &customers);
        let value = value.to_string().into_bytes();
        self.store
            .with(|store, now| store.write(entries::CONFIG_KEY, value, now));
        let prefixes = queues.iter().map(|q| q.prefix.clone()).collect();
        self.history.add(What::Configured {
            prefixes,
            customers,
        });
    }

    /// Requests that nothing more be started in a zone.
    pub(crate) fn evacuate(&self, zone: &str) {
        let key = entries::evacuation_key(zone);
        self.store
            .with(|store, now| store.write(&key, b"{}".to_vec(), now));
        let zone = ArcStr::from(zone);
        self.history.add(What::Evacuated { zone });
    }

    /// Takes an evacuation back.
    pub(crate) fn restore(&self, zone: &str) {
        let key = entries::evacuation_key(zone);
        let zone = ArcStr::from(zone);
        // Recorded before the change, which may take effect at once.
        self.history.add(What::Restored { zone });
        self.store.with(|store, now| store.delete(&key, now));
    }
}
