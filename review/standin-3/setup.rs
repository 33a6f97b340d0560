//! A small deployment: nodes, runners, the configuration.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer};
use crate::json::{Json, n, obj, s};
use crate::nodes::{Net, Node};
use crate::world::{Mode, Runner, Shared, Store, World, unix_ms};

pub const HOST: &str = "nony24.example";

pub struct Setup {
    pub shared: Arc<Shared>,
    pub nodes: Vec<Node>,
    pub net: Net,
    pub fronts: Vec<SocketAddr>,
}

pub fn route(prefix: &str, priority: u64, attempts: u64, advice: bool) -> Json {
    let mut f = vec![
        ("name", s(&format!("r-{}", prefix.trim_matches('/')))),
        ("host", s(HOST)),
        ("prefix", s(prefix)),
        ("kind", s("unsafe")),
        ("timeout_ms", n(3_000)),
        ("target_duration_ms", n(1_000)),
        ("priority", n(priority)),
        ("service", s("work")),
        ("max_attempts", n(attempts)),
        ("slack_factor", n(2)),
        ("allowed_regions", Json::Arr(vec![])),
    ];
    if advice {
        let terms = obj(vec![("decide_ms", n(20)), ("each_ms", n(1)), ("valid_ms", n(3_000))]);
        f.push(("advice", terms));
    }
    obj(f)
}

pub fn config(version: u64, routes: Vec<Json>) -> String {
    let service = obj(vec![
        ("name", s("work")),
        ("health_path", s("/healthz")),
        ("max_connections", n(64)),
        ("protocol", s("h1")),
        ("tls", Json::Bool(false)),
        ("cold_start_s", n(0)),
        ("cold_per_s", n(0)),
        ("rejects_overload", Json::Bool(true)),
        ("standby", Json::Bool(false)),
    ]);
    let limits = obj(vec![
        ("max_header_bytes", n(16_384)),
        ("max_body_bytes", n(262_144)),
        ("header_timeout_ms", n(3_000)),
        ("idle_timeout_ms", n(15_000)),
    ]);
    obj(vec![
        ("version", n(version)),
        ("routes", Json::Arr(routes)),
        ("services", Json::Arr(vec![service])),
        ("limits", limits),
    ])
    .to_string()
}

impl Setup {
    /// Starts the platform and the nodes, and waits until jobs are accepted.
    pub fn start(folder: &Path, nodes: usize, runners: usize, seed: u64, routes: Vec<Json>) -> Self {
        let net = Net::new();
        let now = Instant::now();
        let mut world = World::empty(now);
        world.store = vec![Store::Up; nodes];
        world.rng = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        for place in 0..runners {
            let clock = world.random(600_000);
            let rate = 1.0 - world.random(20) as f64 / 1_000.0;
            world.runners.push(Runner {
                id: format!("i-{place:02}-0"),
                life: 0,
                address: format!("{}:8080", net.ip(100 + place)),
                zone: if place % 2 == 0 { "za".into() } else { "zb".into() },
                labels: vec![if place % 3 == 0 { "b".into() } else { "a".into() }, format!("rack-{}", place / 3)],
                service: "work".into(),
                cpu: 16_000,
                mem: 64_000,
                mode: Mode::Up,
                until: None,
                same_id: true,
                born_ms: unix_ms(),
                began: now,
                clock_at_birth: clock,
                clock_rate: rate,
                token: 0,
                lease_ms: None,
                runs: Vec::new(),
                ended: HashMap::new(),
                finished: Vec::new(),
                last_n: 0,
                acknowledged: 0,
                late_permille: 0,
                drains_at: None,
                sequence: 0,
                next_beat: now,
                last_beat: now,
            });
        }
        world.write("op/config", &config(7, routes));
        let shared = Arc::new(Shared { world: Mutex::new(world), changed: Condvar::new() });
        for i in 0..nodes {
            let sh = shared.clone();
            http::serve(net.at(200 + i, 8169), Arc::new(move |rq| sh.store_call(i, rq)));
        }
        for place in 0..runners {
            let sh = shared.clone();
            http::serve(net.at(100 + place, 8080), Arc::new(move |rq| sh.runner_call(place, rq)));
        }
        let sh = shared.clone();
        http::serve(net.at(250, 8169), Arc::new(move |rq| sh.advise(rq)));
        let empty = "{\"machines\":[],\"next_page_token\":null}";
        http::serve(net.at(251, 8169), Arc::new(move |_| Answer::Reply(200, empty.into())));
        let sh = shared.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                sh.lock().tick();
                sh.changed.notify_all();
            }
        });
        let mut nodes: Vec<Node> = (0..nodes)
            .map(|i| Node::new(&net, i, if i % 2 == 0 { "za" } else { "zb" }, folder, 0.25))
            .collect();
        for node in &mut nodes {
            node.start();
        }
        let fronts = nodes.iter().map(|n| n.front).collect();
        Self { shared, nodes, net, fronts }
    }

    /// Index of the node that leads, by the store's key.
    pub fn leader(&self) -> Option<usize> {
        let w = self.shared.lock();
        let value = w.items.get("jj/leader")?.value.clone()?;
        let text = String::from_utf8_lossy(&value).into_owned();
        self.nodes.iter().position(|n| text.contains(&n.name))
    }

    pub fn end(&mut self) {
        for node in &mut self.nodes {
            node.signal(crate::nodes::SIGCONT);
            node.end();
        }
    }

    /// Writes what was sent, answered and run.
    pub fn write_record(&self, file: &Path) {
        let w = self.shared.lock();
        let mut text = w.record.join("\n");
        text.push_str("\n\n");
        for line in &w.broken {
            text.push_str(&format!("BROKEN {line}\n"));
        }
        if std::fs::write(file, text).is_err() {
            eprintln!("{} can't be written", file.display());
        }
    }
}

impl Drop for Setup {
    fn drop(&mut self) {
        self.end();
    }
}
