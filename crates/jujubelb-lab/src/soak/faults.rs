//! Carries out the planned faults.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use reqwest::Client;
use rustix::process::Signal;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::plan::{Fault, LATE_BEFORE_CRASH, Peers, Planned, Target};
use super::processes::{METRICS_PORT, Processes};
use crate::emulator::Emulator;
use crate::emulator::history::{Record, What};
use crate::emulator::http::{Link, Treatment};
use crate::emulator::platform::entries::{QUEUE_HOST, worker_key};
use crate::emulator::platform::settings::HostPlace;

/// Time after a worker's report until it leaves.
const DRAIN: Duration = Duration::from_millis(4_000);

/// Share of the calls shortly before a crash that the next life of a worker carries out.
const LATE_SHARE: f64 = 0.5;

/// Interval of checking whether a process is back.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a host's state dump may take; a stopped process gives none.
const STATE_TIMEOUT: Duration = Duration::from_millis(300);

/// Cancellations of jobs that don't exist, sent at a time to each host. Each makes the host call
/// the store, on a connection of its own.
const BURST_REQUESTS: u64 = 8;

/// How long a burst may take.
const BURST_TIMEOUT: Duration = Duration::from_millis(300);

/// How long the next end of a run is awaited. Some end each second beside bursts.
const MAX_END_WAIT: Duration = Duration::from_secs(1);

/// Interval of looking for an end. Its worker is polled and it is stored some milliseconds later.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(3);

/// What clients may send by mistake.
const BAD_BYTES: [&[u8]; 4] = [
    b"\x16\x03\x01\x02\x00\x01\x00\xff\xfe",
    b"POST /batch/0123456789abcdef HTTP/1.1\r\nHost: q.example\r\nContent-Length: 9\r\n\r\n{\"spec\":1",
    b"POST /batch/0123456789abcdef HTTP/1.1\r\nHost: q.example\r\nContent-Length: 12\r\n\r\n{\"steps\":[]}",
    b"GET /batch/%zz%00\xff HTTP/1.1\r\nHost: \xff\xfe\r\nDeadline-Ms: -1e99\r\n\r\n",
];

/// Entry of a worker that could be used, if anything answered at its address.
const UNANSWERED_ENTRY: &str = r#"{"service":"main","address":"127.0.0.1:1","zone":"a",
    "state":"ready","room":{"cpu":64000,"mem_mb":262144},"labels":["plain","r1"],"born":1}"#;

/// Changes of that entry, each with the part that is replaced. The first leaves it as it is.
const ENTRY_CHANGES: [(&str, &str); 6] = [
    ("", ""),
    ("\"main\"", "7"),
    ("\"main\"", "\"unknown\""),
    ("64000", "18446744073709551616"),
    (":1\"", ":65536\""),
    (":1\"", ":0\""),
];

/// Depth of nesting beyond what decoders that recurse take.
const DEEP_NESTING: usize = 30_000;

/// An entry of another writer, which names no worker to use. The number chooses its kind.
fn bad_entry(number: u128) -> Vec<u8> {
    let kind = number as usize % (ENTRY_CHANGES.len() + 2);
    if let Some((part, odd)) = ENTRY_CHANGES.get(kind) {
        return UNANSWERED_ENTRY.replacen(part, odd, 1).into_bytes();
    }
    if kind == ENTRY_CHANGES.len() {
        let nested = "[".repeat(DEEP_NESTING) + &"]".repeat(DEEP_NESTING);
        return UNANSWERED_ENTRY.replace("\"r1\"", &nested).into_bytes();
    }
    b"{\"service\":7,\xff".to_vec()
}

/// Everything that faults are done to.
#[derive(Debug)]
pub(crate) struct Scene {
    pub(crate) emulator: Arc<Emulator>,
    pub(crate) processes: Arc<Processes>,
    pub(crate) hosts: Vec<HostPlace>,
    pub(crate) http: Client,
    pub(crate) last_fault: AtomicU64,
    /// Wakes the operator for a change of the configuration.
    pub(crate) change_now: Arc<Notify>,
}

impl Scene {
    /// The host that says that it leads, or else the first one.
    async fn find_leader(&self) -> usize {
        for (index, host) in self.hosts.iter().enumerate() {
            let url = format!("http://{}:{METRICS_PORT}/state", host.clients.ip());
            let Ok(response) = self.http.get(url).timeout(STATE_TIMEOUT).send().await else {
                continue;
            };
            if let Ok(state) = response.json::<serde_json::Value>().await
                && !state["dispatch"].is_null()
            {
                return index;
            }
        }
        0
    }

    async fn host(&self, target: Target) -> usize {
        match target {
            Target::Host(index) => index,
            Target::Leader => self.find_leader().await,
        }
    }

    /// Waits until the process of a host runs again.
    async fn await_process(&self, host: usize) {
        while !self.processes.runs(host) {
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Does a fault and undoes it after its time.
    pub(crate) async fn play(&self, planned: Planned) {
        if planned.fault == Fault::Change {
            // A change of the operator disturbs nothing: bounds hold after it.
            return self.act(planned, 0).await;
        }
        let history = &self.emulator.history;
        let id = self.last_fault.fetch_add(1, Relaxed);
        let host = match planned.fault {
            Fault::Kill(target)
            | Fault::Terminate(target)
            | Fault::Pause(target)
            | Fault::Reload(target)
            | Fault::StoreLink(target, ..)
            | Fault::BadRequests(target) => self.host(target).await,
            _ => 0,
        };
        if let Fault::WorkerDrain(worker) = planned.fault {
            // An announced departure is no fault until the worker is gone.
            self.emulator.fleet.drain(worker, DRAIN);
            sleep(DRAIN).await;
        }
        let text = format!("{:?} for {:?} (host {host})", planned.fault, planned.time);
        let only = planned.fault.has_host().then_some(host);
        history.add(What::FaultBegan {
            id,
            text,
            host: only,
        });
        self.act(planned, host).await;
        history.add(What::FaultEnded { id });
    }

    async fn act(&self, planned: Planned, host: usize) {
        let time = planned.time;
        match planned.fault {
            Fault::Kill(_) => {
                self.processes.stop(host, Signal::KILL, time);
                self.await_process(host).await;
            }
            Fault::Terminate(_) => {
                self.processes.stop(host, Signal::TERM, time);
                self.await_process(host).await;
            }
            Fault::Pause(_) => {
                self.processes.signal(host, Signal::STOP);
                sleep(time).await;
                self.processes.signal(host, Signal::CONT);
            }
            Fault::Reload(_) => self.processes.signal(host, Signal::HUP),
            Fault::KillAll => {
                let all = 0..self.hosts.len();
                for host in all.clone() {
                    self.processes.stop(host, Signal::KILL, time);
                }
                for host in all {
                    self.await_process(host).await;
                }
            }
            Fault::StoreLink(_, treatment, share) => {
                disturb(&self.emulator.store_links[host], treatment, share, time).await;
            }
            Fault::Store(treatment, share, pauses) => {
                self.disturb_store(treatment, share, pauses, time).await;
            }
            Fault::ForgetHistory => self.emulator.store.with(|s, _| s.forget_history()),
            Fault::WorkerLink(worker, treatment, share) => {
                disturb(&self.emulator.worker_links[worker], treatment, share, time).await;
            }
            Fault::WorkerCrash(worker, same_name) => {
                self.emulator.fleet.kill(worker);
                self.come_back(worker, same_name, time).await;
            }
            Fault::WorkerRestart(worker, late) => {
                let link = &self.emulator.worker_links[worker];
                let until_back = Treatment::Late(LATE_BEFORE_CRASH + late);
                disturb(link, until_back, LATE_SHARE, LATE_BEFORE_CRASH).await;
                self.emulator.fleet.kill(worker);
                disturb(link, Treatment::Late(late), 1.0, time).await;
                self.emulator.fleet.revive(worker, true);
            }
            Fault::WorkerDrain(worker) => {
                if let Some(life) = self.emulator.fleet.kill(worker) {
                    let store = &self.emulator.store;
                    self.emulator.registry.forget(&life.name, store);
                }
                self.come_back(worker, false, time).await;
            }
            Fault::WorkerCut(worker) => {
                self.emulator.registry.set_cut(worker, true);
                sleep(time).await;
                self.emulator.registry.set_cut(worker, false);
            }
            Fault::BadEntry => {
                let key = worker_key("w-unreadable");
                let store = &self.emulator.store;
                // Not drawn, so that the plans of earlier seeds stay as they are.
                let entry = bad_entry(planned.at.as_millis());
                store.with(|s, now| s.write(&key, entry, now));
                sleep(time).await;
                store.with(|s, now| s.delete(&key, now));
            }
            Fault::Change => self.change_now.notify_one(),
            Fault::BadRequests(_) => self.send_bad_requests(host).await,
            Fault::SilentConnections(peers) => {
                self.open_connections().await;
                self.silence_connections(peers);
            }
            Fault::SilentAtEnd(peers) => {
                self.await_end().await;
                self.silence_connections(peers);
            }
        }
    }

    async fn come_back(&self, worker: usize, same_name: bool, after: Duration) {
        let link = &self.emulator.worker_links[worker];
        disturb(link, Treatment::Reset, 1.0, after).await;
        self.emulator.fleet.revive(worker, same_name);
    }

    async fn disturb_store(&self, treatment: Treatment, share: f64, pauses: bool, time: Duration) {
        let down = share >= 1.0
            && matches!(
                treatment,
                Treatment::Reset | Treatment::Silence | Treatment::Refuse(_)
            );
        let links = &self.emulator.store_links;
        links.iter().for_each(|l| l.set(treatment, share));
        if down {
            self.emulator.registry.set_store_down(true);
        }
        if down && pauses {
            self.emulator.store.pause_leases();
        }
        sleep(time).await;
        if down && pauses {
            self.emulator.store.resume_leases(time);
        }
        if down {
            self.emulator.registry.set_store_down(false);
        }
        links.iter().for_each(|l| l.set(Treatment::Pass, 0.0));
    }

    /// Sends a burst of requests, so that the hosts open connections.
    async fn open_connections(&self) {
        let mut burst = JoinSet::new();
        for host in &self.hosts {
            for job in 0..BURST_REQUESTS {
                let url = format!("http://{}/batch/{job:016x}", host.clients);
                let request = self.http.delete(url).header("Host", QUEUE_HOST);
                burst.spawn(request.timeout(BURST_TIMEOUT).send());
            }
        }
        // The requests only open connections; what they are answered doesn't matter.
        while burst.join_next().await.is_some() {}
    }

    /// Waits until a run ends, but not for long.
    async fn await_end(&self) {
        let history = &self.emulator.history;
        let known = history.read(|record| record.events.len());
        let ended = |record: &Record| {
            let new = record.events.iter().skip(known);
            new.rev().any(|e| matches!(e.what, What::Ended { .. }))
        };
        let until = Instant::now() + MAX_END_WAIT;
        while Instant::now() < until && !history.read(ended) {
            sleep(END_CHECK_INTERVAL).await;
        }
    }

    fn silence_connections(&self, peers: Peers) {
        let emulator = &self.emulator;
        if peers.include_hosts() {
            self.processes.silence_peers();
        }
        if peers.include_store() {
            emulator
                .store_links
                .iter()
                .for_each(|l| l.silence_connections());
        }
        if peers.include_workers() {
            emulator
                .worker_links
                .iter()
                .for_each(|l| l.silence_connections());
        }
        self.change_now.notify_one();
    }

    async fn send_bad_requests(&self, host: usize) {
        for bytes in BAD_BYTES {
            // The process may be down, and may close the connection early.
            if let Ok(mut stream) = TcpStream::connect(self.hosts[host].clients).await {
                let _ = stream.write_all(bytes).await;
                sleep(CHECK_INTERVAL).await;
            }
        }
    }

    /// Ends what overlapping faults may have left behind.
    pub(crate) fn calm(&self) {
        let emulator = &self.emulator;
        for link in emulator.store_links.iter().chain(&emulator.worker_links) {
            link.set(Treatment::Pass, 0.0);
        }
        for host in 0..self.hosts.len() {
            self.processes.signal(host, Signal::CONT);
        }
    }
}

async fn disturb(link: &Link, treatment: Treatment, share: f64, time: Duration) {
    link.set(treatment, share);
    sleep(time).await;
    link.set(Treatment::Pass, 0.0);
}
