//! Declarations and addresses of the demo's deployment: seven entry hosts in three failure
//! domains and two regions.

use std::net::{Ipv4Addr, SocketAddr};

use indexmap::IndexMap;
use jujubelb::model::{ClassName, Span, TaskId};

use crate::standin::behaviour::{Behaviour, Behaviours};
use crate::standin::platform::{Addresses, Reality};

/// Failure domains, each with its number of entry hosts.
pub const DOMAINS: [(&str, u8); 3] = [("kokura", 3), ("hakata", 2), ("kagoshima", 2)];

/// Workers in each failure domain. One endpoint runs on each worker.
pub const WORKERS_PER_DOMAIN: u8 = 8;

/// Port for the peers of entry processes, and the first of five consecutive ports on an entry
/// host. Platform services, workers and endpoints use it too, each on an IP address of its own.
const BASE_PORT: u16 = 7_001;

/// An entry host of the demo.
#[derive(Debug, Clone)]
pub struct DemoHost {
    /// Unique name, `entry-1` and up.
    pub name: String,
    /// Failure domain, one of `DOMAINS`.
    pub domain: &'static str,
    /// Loopback address shared by the entry and the scheduler process.
    pub ip: Ipv4Addr,
}

impl DemoHost {
    /// Address on which the entry process accepts peers.
    pub fn entry(&self) -> SocketAddr {
        (self.ip, BASE_PORT).into()
    }

    /// Address on which the scheduler process accepts peers.
    pub fn scheduler(&self) -> SocketAddr {
        (self.ip, BASE_PORT + 1).into()
    }

    /// Address on which the entry process accepts callers.
    pub fn caller_address(&self) -> SocketAddr {
        (self.ip, BASE_PORT + 2).into()
    }

    /// Address of the entry process's operator interface.
    pub fn entry_operators(&self) -> SocketAddr {
        (self.ip, BASE_PORT + 3).into()
    }

    /// Address of the scheduler process's operator interface.
    pub fn scheduler_operators(&self) -> SocketAddr {
        (self.ip, BASE_PORT + 4).into()
    }
}

/// Address plan of one demo. Demos with different values of `net` can run at the same time.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Second octet of all loopback addresses (`127.<net>.x.y`).
    pub net: u8,
}

impl Deployment {
    /// Addresses of the stand-ins for the platform's store and host list.
    pub fn platform(&self) -> Addresses {
        Addresses {
            store: self.address(0, 1),
            hosts: self.address(0, 2),
        }
    }

    fn address(&self, subnet: u8, number: u8) -> SocketAddr {
        (Ipv4Addr::new(127, self.net, subnet, number), BASE_PORT).into()
    }

    /// Entry hosts of all failure domains, numbered in the order of `DOMAINS`.
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

    /// Configuration files by name, in the form that operators apply.
    pub fn files(&self) -> IndexMap<String, String> {
        let named = |(name, text): (&str, String)| (name.to_owned(), text);
        [
            ("domains.yaml", self.domains()),
            ("hosts.yaml", self.host_file()),
            ("workers.yaml", self.workers()),
            ("desk.yaml", self.services()),
            ("teams.yaml", TEAMS_FILE.to_owned()),
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
                 - {{ name: \"{domain}-{{}}\", count: {WORKERS_PER_DOMAIN}, address: \"127.{net}.{subnet}.{{}}:{BASE_PORT}\", \
                 cpu: 16, memory: 64 GiB, reserved: {{ cpu: 4, memory: 16 GiB }}, protection: true }}\n",
                net = self.net,
                subnet = 10 + number,
            )
        };
        let rows: String = DOMAINS.iter().enumerate().map(rack).collect();
        format!("racks:\n{rows}")
    }

    fn services(&self) -> String {
        let group = |(number, (domain, _)): (usize, &(&str, u8))| {
            format!(
                "  - {{ name: \"desk-{domain}-{{}}\", count: {WORKERS_PER_DOMAIN}, domain: {domain}, \
                 address: \"127.{net}.{subnet}.{{}}:{BASE_PORT}\", worker: \"{domain}-{{}}\", slots: 8, connections: 64 }}\n",
                net = self.net,
                subnet = 20 + number,
            )
        };
        let rows: String = DOMAINS.iter().enumerate().map(group).collect();
        format!(
            "services:\n- name: desk\n  deadline: 500ms\n  body: 64 KiB\n  queue: 128\n  endpoints:\n{rows}"
        )
    }

    /// Actual behaviour of task classes where it deviates from the declarations, and the service
    /// time of endpoints.
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

/// Tasks of each watcher. Must match `tasks` in `TEAMS_FILE`.
const TASKS_PER_WATCHER: u32 = 6;

/// Tasks of all watchers. Each of them has to run for as long as the demo does.
pub fn watchers() -> impl Iterator<Item = TaskId> {
    let tasks = |job: &'static str| {
        (0..TASKS_PER_WATCHER).map(move |index| TaskId {
            job: job.into(),
            index,
        })
    };
    ["box-humidity", "box-locks"].into_iter().flat_map(tasks)
}

/// Declaration of the teams and of the watchers, which run for as long as the demo does.
const TEAMS_FILE: &str = "teams:
- { name: sorting, quota: { cpu: 200, memory: 900 GiB }, weight: 2 }
- { name: stewards, quota: { cpu: 60, memory: 200 GiB }, weight: 4 }
- { name: boxes, quota: { cpu: 30, memory: 100 GiB } }
watchers:
- { name: box-humidity, team: boxes, tasks: 6, cpu: 500m, memory: 1 GiB }
- { name: box-locks, team: boxes, tasks: 6, cpu: 250m, memory: 512 MiB }
";
