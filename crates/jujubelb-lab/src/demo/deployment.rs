//! The demo's deployment: three failure domains in two regions, seven entry hosts.

use std::net::{Ipv4Addr, SocketAddr};

use indexmap::IndexMap;
use jujubelb::model::{ClassName, Span, TaskId};

use crate::standin::behaviour::{Behaviour, Behaviours};
use crate::standin::platform::{Addresses, Reality};

/// Failure domains with their number of entry hosts.
pub const DOMAINS: [(&str, u8); 3] = [("kokura", 3), ("hakata", 2), ("kagoshima", 2)];

/// Workers in each domain, one endpoint on each.
pub const WORKERS: u8 = 8;

/// Port of processes' peers; also of workers and endpoints, which have addresses of their own.
const PORT: u16 = 7_001;

/// An entry host of the demo.
#[derive(Debug, Clone)]
pub struct DemoHost {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: &'static str,
    /// Its address.
    pub ip: Ipv4Addr,
}

impl DemoHost {
    /// Address of the entry process for peers.
    pub fn entry(&self) -> SocketAddr {
        (self.ip, PORT).into()
    }

    /// Address of the scheduler process for peers.
    pub fn scheduler(&self) -> SocketAddr {
        (self.ip, PORT + 1).into()
    }

    /// Address of the entry process for callers.
    pub fn callers(&self) -> SocketAddr {
        (self.ip, PORT + 2).into()
    }

    /// Address of the entry process for operators.
    pub fn entry_operators(&self) -> SocketAddr {
        (self.ip, PORT + 3).into()
    }

    /// Address of the scheduler process for operators.
    pub fn scheduler_operators(&self) -> SocketAddr {
        (self.ip, PORT + 4).into()
    }
}

/// Addresses of one demo. Two demos with different networks don't collide.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Second part of all loopback addresses.
    pub net: u8,
}

impl Deployment {
    /// Addresses of the platform's services.
    pub fn platform(&self) -> Addresses {
        Addresses {
            store: self.address(0, 1),
            hosts: self.address(0, 2),
        }
    }

    fn address(&self, part: u8, number: u8) -> SocketAddr {
        (Ipv4Addr::new(127, self.net, part, number), PORT).into()
    }

    /// The entry hosts.
    pub fn hosts(&self) -> Vec<DemoHost> {
        let names = DOMAINS
            .iter()
            .flat_map(|(domain, count)| (0..*count).map(move |_| *domain));
        names
            .zip(1_u8..)
            .map(|(domain, number)| DemoHost {
                name: format!("entry-{number}"),
                domain,
                ip: Ipv4Addr::new(127, self.net, 1, number),
            })
            .collect()
    }

    /// The declarations by file name.
    pub fn files(&self) -> IndexMap<String, String> {
        let named = |(name, text): (&str, String)| (name.to_owned(), text);
        [
            ("domains.yaml", self.domains()),
            ("hosts.yaml", self.host_file()),
            ("workers.yaml", self.workers()),
            ("desk.yaml", self.services()),
            ("teams.yaml", TEAMS.to_owned()),
        ]
        .into_iter()
        .map(named)
        .collect()
    }

    fn domains(&self) -> String {
        "regions: [kita-kyushu, minami-kyushu]\n\
         domains:\n\
         - { name: kokura, region: kita-kyushu }\n\
         - { name: hakata, region: kita-kyushu }\n\
         - { name: kagoshima, region: minami-kyushu }\n"
            .to_owned()
    }

    fn host_file(&self) -> String {
        let row = |h: DemoHost| {
            format!(
                "- {{ name: {}, domain: {}, entry: \"{}\", scheduler: \"{}\" }}\n",
                h.name,
                h.domain,
                h.entry(),
                h.scheduler()
            )
        };
        let rows: String = self.hosts().into_iter().map(row).collect();
        format!("hosts:\n{rows}")
    }

    fn workers(&self) -> String {
        let rack = |(number, (domain, _)): (usize, &(&str, u8))| {
            format!(
                "- name: {domain}-rack\n  domain: {domain}\n  shard: {domain}-1\n  workers:\n  \
                 - {{ name: \"{domain}-{{}}\", count: {WORKERS}, address: \"127.{net}.{part}.{{}}:{PORT}\", \
                 cpu: 16, memory: 64 GiB, reserved: {{ cpu: 4, memory: 16 GiB }}, protection: true }}\n",
                net = self.net,
                part = 10 + number,
            )
        };
        let rows: String = DOMAINS.iter().enumerate().map(rack).collect();
        format!("racks:\n{rows}")
    }

    fn services(&self) -> String {
        let group = |(number, (domain, _)): (usize, &(&str, u8))| {
            format!(
                "  - {{ name: \"desk-{domain}-{{}}\", count: {WORKERS}, domain: {domain}, \
                 address: \"127.{net}.{part}.{{}}:{PORT}\", worker: \"{domain}-{{}}\", slots: 8, connections: 64 }}\n",
                net = self.net,
                part = 20 + number,
            )
        };
        let rows: String = DOMAINS.iter().enumerate().map(group).collect();
        format!(
            "services:\n- name: desk\n  deadline: 500ms\n  body: 64 KiB\n  queue: 128\n  endpoints:\n{rows}"
        )
    }

    /// What the declarations get wrong, and the service time of endpoints.
    pub fn reality(&self) -> Reality {
        let class = |name: &str, behaviour| (ClassName::from(name), behaviour);
        let noisy = Behaviour {
            noise: 300,
            ..Behaviour::default()
        };
        let small = Behaviour {
            size: 300,
            ..Behaviour::default()
        };
        let large = Behaviour {
            size: 2_500,
            ..Behaviour::default()
        };
        let broken = Behaviour {
            fails: true,
            ..Behaviour::default()
        };
        Reality {
            behaviours: Behaviours(IndexMap::from([
                class("noisy", noisy),
                class("small", small),
                class("large", large),
                class("broken", broken),
            ])),
            service: Span::from_millis(8),
        }
    }
}

/// Tasks of each watcher.
const WATCHER_TASKS: u32 = 6;

/// The tasks of all watchers, which have to run all the time.
pub fn watchers() -> impl Iterator<Item = TaskId> {
    let tasks = |job: &'static str| {
        (0..WATCHER_TASKS).map(move |index| TaskId {
            job: job.into(),
            index,
        })
    };
    ["box-humidity", "box-locks"].into_iter().flat_map(tasks)
}

/// Teams, and the watchers that run all the time.
const TEAMS: &str = "teams:
- { name: sorting, quota: { cpu: 200, memory: 900 GiB }, weight: 2 }
- { name: stewards, quota: { cpu: 60, memory: 200 GiB }, weight: 4 }
- { name: boxes, quota: { cpu: 30, memory: 100 GiB } }
watchers:
- { name: box-humidity, team: boxes, tasks: 6, cpu: 500m, memory: 1 GiB }
- { name: box-locks, team: boxes, tasks: 6, cpu: 250m, memory: 512 MiB }
";
