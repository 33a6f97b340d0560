//! The system's processes, and calls of clients.

use std::fs::{File, create_dir_all, write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::Json;
use crate::world::{Job, Shared};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
pub const SIGTERM: i32 = 15;

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub settings: PathBuf,
    pub log: PathBuf,
    pub child: Option<Child>,
    pub stopped: bool,
}

pub struct Net {
    pub base: String,
}

impl Net {
    pub fn new() -> Self {
        let pid = std::process::id();
        Self { base: format!("127.{}.{}", 60 + pid % 150, (pid / 150) % 250) }
    }

    pub fn ip(&self, last: usize) -> String {
        format!("{}.{last}", self.base)
    }

    pub fn at(&self, last: usize, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip(last)).parse().unwrap_or_else(|_| std::process::exit(2))
    }
}

impl Node {
    pub fn new(net: &Net, i: usize, zone: &str, folder: &Path, cores: f64) -> Self {
        let name = format!("edge-{zone}-{i}");
        let ip = net.ip(10 + i);
        let seeds: Vec<String> = (0..3).map(|k| format!("\"{}:8166\"", net.ip(10 + k))).collect();
        let text = format!(
            r#"node_name = "{name}"
role = "node"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "r1"
internal_ports = [7720,7735]
seeds = [{}]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","places","platform","advice","upkeep","sharing"]
orders = "invocation"
advice = "{}:8169"
[zones]
za = "r1"
zb = "r1"
[bind_addresses]
frontend = "{ip}:8161"
readiness = "{ip}:8167"
control_plane = "{ip}:8166"
[limits]
cpu_share = {cores}
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 2500
grace_s = 6
loss_slack_ms = 200
config_ms = 2500
rollback_slack_ms = 250
max_skew_ms = 6000
cold_overage = 1.5
cold_slack = 5
evacuation_ms = 5000
recovery_s = 12
hold_max_ms = 6000
stop_ms = 200
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 2
checkpoint_interval_s = 1
restore_ms = 250
notice_ms = 5500
move_s = 1.5
upkeep_s = 2
fencing_enforced = false
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4000
[platform]
address = "{}:8169"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[cloud]
address = "{}:8169"
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
"#,
            seeds.join(","),
            net.ip(250),
            net.ip(200 + i),
            net.ip(251),
        );
        let _ = create_dir_all(folder);
        let settings = folder.join(format!("{name}.toml"));
        if write(&settings, text).is_err() {
            std::process::exit(2);
        }
        Self {
            front: net.at(10 + i, 8161),
            log: folder.join(format!("{name}.log")),
            name,
            settings,
            child: None,
            stopped: false,
        }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|_| std::process::exit(2));
        let err = log.try_clone().unwrap_or_else(|_| std::process::exit(2));
        let child = Command::new("target/release/jujubelb-node")
            .args(["--metrics-port", "9464"])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("JUJUBELB_BOOT", &self.settings)
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(err))
            .stdin(Stdio::null())
            .spawn();
        self.child = Some(child.unwrap_or_else(|e| {
            eprintln!("target/release/jujubelb-node can't be started: {e}");
            std::process::exit(2)
        }));
        self.stopped = false;
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: a signal to a process that this program started and has not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }
}

pub fn path(job: &Job) -> String {
    format!("{}{}", job.prefix, job.id)
}

/// Hands a job in, with repetitions at other nodes as a client does. Records the answers.
pub fn submit(shared: &Arc<Shared>, fronts: &[SocketAddr], id: &str, tries: usize) -> Option<u16> {
    let job = shared.lock().jobs.get(id)?.clone();
    let body = job.body();
    let mut last = None;
    for k in 0..tries {
        let front = fronts[k % fronts.len()];
        {
            let mut w = shared.lock();
            if let Some(j) = w.jobs.get_mut(id) {
                j.sent = true;
            }
        }
        let answer = http::call(front, "POST", &job.host, &path(&job), &body, Duration::from_millis(3_000));
        let mut w = shared.lock();
        w.note(format!("submit {id} at {front}: {:?}", answer.as_ref().map(|a| a.0)));
        match answer {
            Some((status, _)) if (200..300).contains(&status) => {
                if let Some(j) = w.jobs.get_mut(id) {
                    j.accepted.get_or_insert(Instant::now());
                }
                return Some(status);
            }
            Some((status, _)) if status == 429 || status == 503 || status == 404 => {
                last = Some(status);
            }
            other => last = other.map(|a| a.0).or(last),
        }
        drop(w);
        std::thread::sleep(Duration::from_millis(250));
    }
    last
}

pub fn cancel(shared: &Arc<Shared>, fronts: &[SocketAddr], id: &str, tries: usize) -> Option<u16> {
    let job = {
        let mut w = shared.lock();
        let now = Instant::now();
        let j = w.jobs.get_mut(id)?;
        j.cancel_sent.get_or_insert(now);
        j.clone()
    };
    for k in 0..tries {
        let front = fronts[k % fronts.len()];
        let answer = http::call(front, "DELETE", &job.host, &path(&job), "", Duration::from_millis(3_000));
        let mut w = shared.lock();
        w.note(format!("cancel {id} at {front}: {:?}", answer.as_ref().map(|a| a.0)));
        if let Some((status, _)) = answer
            && ((200..300).contains(&status) || status == 410)
        {
            if let Some(j) = w.jobs.get_mut(id) {
                j.cancelled.get_or_insert(Instant::now());
            }
            return Some(status);
        }
        drop(w);
        std::thread::sleep(Duration::from_millis(250));
    }
    None
}

/// Asks for a job's state: the status code and the state.
pub fn ask(job: &Job, front: SocketAddr) -> Option<(u16, String)> {
    let (status, body) = http::call(front, "GET", &job.host, &path(job), "", Duration::from_millis(2_500))?;
    let state = Json::parse(&body).and_then(|b| b.str("state").map(str::to_owned));
    Some((status, state.unwrap_or_default()))
}
