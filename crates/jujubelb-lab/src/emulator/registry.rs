//! Entries by which workers register in the store, with heartbeats.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;

use arcstr::ArcStr;
use indexmap::IndexMap;

use super::fleet::Fleet;
use super::history::{History, Life, What};
use super::http::lock;
use super::platform::entries;
use super::platform::store_api::StoreApi;

/// Interval of a worker's heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Heartbeats after whose absence an entry is removed.
const MAX_MISSED: u32 = 3;

/// Interval at which heartbeats are looked for. Below the time in which entries have to be
/// back after an outage of the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

#[derive(Debug)]
struct Entry {
    written: Duration,
    sequence: u64,
    draining: bool,
    life: Life,
}

/// Which workers reach the store, and when each was last heard.
#[derive(Debug)]
pub(crate) struct Registry {
    addresses: Vec<SocketAddr>,
    cut: Vec<AtomicBool>,
    /// Whether the store takes no heartbeats at all.
    store_down: AtomicBool,
    entries: Mutex<IndexMap<ArcStr, Entry>>,
}

impl Registry {
    pub(crate) fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            cut: addresses.iter().map(|_| AtomicBool::new(false)).collect(),
            addresses,
            store_down: AtomicBool::new(false),
            entries: Mutex::default(),
        }
    }

    /// Sets whether a worker is cut off from the store.
    pub(crate) fn set_cut(&self, place: usize, cut: bool) {
        self.cut[place].store(cut, Relaxed);
    }

    /// Sets whether no worker reaches the store.
    pub(crate) fn set_store_down(&self, down: bool) {
        self.store_down.store(down, Relaxed);
    }

    fn reaches_store(&self, place: usize) -> bool {
        !self.store_down.load(Relaxed) && !self.cut[place].load(Relaxed)
    }

    /// Removes the entry of a worker that has left.
    pub(crate) fn forget(&self, name: &ArcStr, store: &StoreApi) {
        if lock(&self.entries).shift_remove(name).is_some() {
            store.with(|store, now| store.delete(&entries::worker_key(name), now));
        }
    }

    fn beat(&self, place: usize, fleet: &Fleet, store: &StoreApi, history: &History) {
        let mut known = lock(&self.entries);
        let written = fleet.with(place, |worker, drains, now| {
            let life = worker.life.clone();
            let last = known.get(&life.name).filter(|e| e.life == life);
            let draining = drains.is_some();
            let due = last.is_none_or(|e| {
                now.saturating_sub(e.written) >= HEARTBEAT || e.draining != draining
            });
            if !due {
                return None;
            }
            let sequence = last.map_or(1, |e| e.sequence + 1);
            let newly_draining = draining && !last.is_some_and(|e| e.draining);
            let value = entries::worker(worker, self.addresses[place], sequence, drains);
            let entry = Entry {
                written: now,
                sequence,
                draining,
                life,
            };
            Some((entry, value, newly_draining))
        });
        let Some(Some((entry, value, newly_draining))) = written else {
            return;
        };
        let worker = entry.life.clone();
        let key = entries::worker_key(&worker.name);
        known.insert(worker.name.clone(), entry);
        store.with(|store, now| store.write(&key, value.to_string().into_bytes(), now));
        if newly_draining {
            history.add(What::Draining { worker });
        }
    }

    fn remove_silent(&self, store: &StoreApi, now: Duration) {
        let silent = |e: &Entry| now.saturating_sub(e.written) > HEARTBEAT * MAX_MISSED;
        lock(&self.entries).retain(|name, entry| {
            if silent(entry) {
                store.with(|store, now| store.delete(&entries::worker_key(name), now));
            }
            !silent(entry)
        });
    }
}

/// Writes the entries of the workers, and removes those of silent ones. Never returns.
pub(crate) async fn register(
    registry: Arc<Registry>,
    fleet: Arc<Fleet>,
    store: Arc<StoreApi>,
    history: Arc<History>,
) {
    loop {
        for place in 0..registry.addresses.len() {
            if registry.reaches_store(place) {
                registry.beat(place, &fleet, &store, &history);
            }
        }
        registry.remove_silent(&store, history.now());
        // Ends leases that are due even if no host calls.
        store.with(|_, _| ());
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
