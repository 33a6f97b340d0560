//! A small deployment on loopback: the stand-in platform and real processes.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use jujubelb::config::declare;
use jujubelb::entry::EntryHandle;
use jujubelb::model::{Revision, Span};
use jujubelb::operator::api::{ApplyRequest, ApplyResponse, TasksView};
use jujubelb::scheduler::SchedulerHandle;
use jujubelb::settings::Settings;
use jujubelb_lab::standin::behaviour::Behaviours;
use jujubelb_lab::standin::platform::{Addresses, Platform, Reality};
use reqwest::blocking::{Client, RequestBuilder, Response};

pub const TOKEN: &str = "operator-token-0123456789";

/// Longest wait for a condition. Conditions normally hold within seconds.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// Loopback addresses with ports that are free for TCP and UDP at the time of the call.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    // Each call uses its own loopback address, because another test could otherwise bind
    // a port between this check and its use.
    static CALLS: AtomicUsize = AtomicUsize::new(1);
    let own = format!("127.77.{}.1:0", CALLS.fetch_add(1, SeqCst) % 250);
    let bound = |_| loop {
        let tcp = TcpListener::bind(&own).unwrap();
        let address = tcp.local_addr().unwrap();
        if let Ok(udp) = UdpSocket::bind(address) {
            return (tcp, udp, address);
        }
    };
    let sockets: Vec<_> = (0..count).map(bound).collect();
    sockets.into_iter().map(|(_, _, address)| address).collect()
}

pub struct Deployment {
    pub platform: Platform,
    pub files: IndexMap<String, String>,
    pub http: Client,
    addresses: Addresses,
    hosts: Vec<(SocketAddr, SocketAddr)>,
    dir: PathBuf,
}

impl Deployment {
    /// A platform with one domain, `hosts` entry hosts, two workers and one endpoint.
    pub fn new(hosts: usize, service: Span) -> Self {
        let free = free_addresses(5 + 2 * hosts);
        let peers: Vec<_> = free[5..].chunks(2).map(|c| (c[0], c[1])).collect();
        let text = declarations(&free[2..5], &peers);
        let files = IndexMap::from([("all.yaml".to_owned(), text)]);
        let config = declare::check(&files).unwrap();
        let addresses = Addresses {
            store: free[0],
            hosts: free[1],
        };
        let reality = Reality {
            behaviours: Behaviours::default(),
            service,
        };
        Self {
            platform: Platform::start(addresses, &config, &reality).unwrap(),
            files,
            http: Client::builder().no_proxy().build().unwrap(),
            addresses,
            hosts: peers,
            dir: credentials_dir(),
        }
    }

    pub fn settings(&self, host: usize, entry: bool) -> Settings {
        let (entry_peer, scheduler_peer) = (self.hosts[host].0, self.hosts[host].1);
        let seeds = self
            .hosts
            .iter()
            .zip(1..)
            .flat_map(|((entry, scheduler), n)| {
                [
                    (format!("host-{n}/entry").as_str().into(), *entry),
                    (format!("host-{n}/scheduler").as_str().into(), *scheduler),
                ]
            });
        let any = "127.0.0.1:0".parse().unwrap();
        Settings {
            host: format!("host-{}", host + 1).as_str().into(),
            domain: "home-a".into(),
            callers: entry.then_some(any),
            operators: any,
            peers: if entry { entry_peer } else { scheduler_peer },
            store: self.addresses.store,
            host_list: self.addresses.hosts,
            seeds: seeds.collect(),
            keys: vec![self.dir.join("key")],
            tokens: vec![self.dir.join("token")],
            stop: Duration::from_secs(30),
            notice: Duration::from_millis(200),
            key_lifetime: Duration::from_secs(600),
        }
    }

    pub fn entry(&self, host: usize) -> EntryHandle {
        EntryHandle::start(self.settings(host, true)).unwrap()
    }

    pub fn scheduler(&self, host: usize) -> SchedulerHandle {
        SchedulerHandle::start(self.settings(host, false)).unwrap()
    }

    pub fn operator(&self, request: RequestBuilder) -> Response {
        request.bearer_auth(TOKEN).send().unwrap()
    }

    /// Applies the declarations and waits until the entry process is ready.
    pub fn apply(&self, entry: &EntryHandle) -> ApplyResponse {
        let text = &self.files["all.yaml"];
        let answer = self.apply_text(entry, "change-1", Revision(0), text);
        self.wait_until("readiness", || {
            let url = format!("http://{}/ready", entry.callers());
            self.http.get(url).send().unwrap().status() == 200
        });
        answer
    }

    /// Applies `text` as the complete declarations.
    pub fn apply_text(
        &self,
        entry: &EntryHandle,
        change: &str,
        expected: Revision,
        text: &str,
    ) -> ApplyResponse {
        let request = ApplyRequest {
            change: change.into(),
            author: "test".into(),
            expected,
            files: IndexMap::from([("all.yaml".to_owned(), Some(text.to_owned()))]),
        };
        let url = format!("http://{}/v1/apply", entry.operators());
        let response = self.operator(self.http.post(url).json(&request));
        assert_eq!(response.status(), 200, "{}", response.text().unwrap());
        response.json().unwrap()
    }

    /// Repeats a request until it is served with status 200.
    pub fn request_until_served(&self, entry: &EntryHandle) -> Response {
        let url = format!("http://{}/svc/hello/some/path?x=1", entry.callers());
        let mut answer = None;
        self.wait_until("an answer", || {
            let request = self.http.get(&url).header("Lab-Request", "first");
            let response = request.send().unwrap();
            let done = response.status() == 200;
            answer = Some(response);
            done
        });
        answer.unwrap()
    }

    pub fn tasks(&self, operators: SocketAddr) -> TasksView {
        let url = format!("http://{operators}/v1/tasks");
        self.operator(self.http.get(url)).json().unwrap()
    }

    /// Polls a condition every 20 ms until it holds; panics after `CONDITION_TIMEOUT`.
    pub fn wait_until(&self, what: &str, mut reached: impl FnMut() -> bool) {
        let start = Instant::now();
        while !reached() {
            assert!(
                start.elapsed() < CONDITION_TIMEOUT,
                "timed out after {CONDITION_TIMEOUT:?} waiting for {what}"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Result code in the header of a response.
pub fn code(response: &Response) -> u16 {
    let value = response
        .headers()
        .get("Jujubelb-Code")
        .expect("missing Jujubelb-Code header");
    value.to_str().unwrap().parse().unwrap()
}

fn credentials_dir() -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let name = format!(
        "jujubelb-processes-{}-{}",
        std::process::id(),
        COUNT.fetch_add(1, SeqCst)
    );
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir).unwrap();
    std::fs::write(dir.join("key"), "k".repeat(40)).unwrap();
    std::fs::write(dir.join("token"), TOKEN).unwrap();
    dir
}

fn declarations(platform: &[SocketAddr], hosts: &[(SocketAddr, SocketAddr)]) -> String {
    let hosts: String = hosts
.iter()
.zip(1..)
.map(|((entry, scheduler), n)| {
format!(
"  - name: host-{n}\n    domain: home-a\n    entry: {entry}\n    scheduler: {scheduler}\n"
)
})
.collect();
    format!(
        "regions: [home]
domains:
  - name: home-a
    region: home
hosts:
{hosts}racks:
  - name: rack-1
    domain: home-a
    shard: home-a-1
    workers:
      - name: worker-1
        address: {}
        cpu: 8
        memory: 32 GiB
      - name: worker-2
        address: {}
        cpu: 8
        memory: 32 GiB
services:
  - name: hello
    deadline: 5s
    endpoints:
      - name: hello-1
        domain: home-a
        address: {}
teams:
  - name: everyone
    quota: {{ cpu: 12, memory: 48 GiB }}
jobs:
  - name: tidy-up
    team: everyone
    tasks: 4
    cpu: 1500m
    memory: 2 GiB
    duration: 1s
watchers:
  - name: watch
    team: everyone
    tasks: 2
    cpu: 1
    memory: 1 GiB
",
        platform[0], platform[1], platform[2]
    )
}
