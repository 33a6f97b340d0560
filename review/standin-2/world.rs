//! A small deployment: hosts of the project as processes, with stand-ins for all else.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Deref;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Json, quote};
use crate::record::Record;
use crate::runner::{Job, Jobs, Runner, Step, lock, tick_all};
use crate::store::Store;

pub const KILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Connections that a runner accepts, as the sheet says.
const RUNNER_CONNECTIONS: usize = 64;

/// No bound on connections.
const MANY: usize = 100_000;

const ZONES: [&str; 3] = ["za", "zb", "zc"];
const CLIENT_PORT: u16 = 8161;

pub struct World {
    pub store: Arc<Store>,
    pub runners: Vec<Arc<Runner>>,
    pub jobs: Arc<Jobs>,
    pub record: Arc<Record>,
    net: (u8, u8),
    hosts: usize,
    processes: Mutex<Vec<Option<Child>>>,
    dir: PathBuf,
    next: AtomicUsize,
    over: AtomicBool,
}

fn address(net: (u8, u8), group: u8, index: usize, port: u16) -> SocketAddr {
    let last = group + index as u8;
    SocketAddr::from((Ipv4Addr::new(127, net.0, net.1, last), port))
}

/// A net of loopback addresses on which the ports are free.
fn free_net() -> Option<(u8, u8)> {
    // Scripts that run beside each other have other process ids, and so begin with other nets.
    let first = std::process::id() as usize;
    for n in (first..).step_by(7_919).take(200) {
        let net = (10 + (n % 200) as u8, (n / 200) as u8);
        let all = [(10, CLIENT_PORT, 8), (60, 8169, 8), (110, 9_000, 30)];
        let mut places = all
            .iter()
            .flat_map(|(g, p, n)| (0..*n).map(move |i| (*g, i, *p)));
        let free = places.all(|(g, i, p)| TcpListener::bind(address(net, g, i, p)).is_ok());
        if free {
            return Some(net);
        }
    }
    None
}

impl World {
    /// Starts the stand-ins and the hosts, and waits until there is a leader.
    pub fn start(
        dir: &Path,
        hosts: usize,
        runners: usize,
        cores: u64,
    ) -> Result<Deployment, String> {
        let net = free_net().ok_or("no free addresses")?;
        let record = Record::new(&dir.join("record.txt")).map_err(|e| e.to_string())?;
        let temp = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&temp).map_err(|e| e.to_string())?;
        let store = Store::new(hosts);
        let jobs = Arc::new(Jobs::default());
        let make = |i: usize| {
            let rack = format!("r{}", i / 4);
            let id = format!("i-{:08x}", (i as u32 + 1).wrapping_mul(2_654_435_761));
            let kind = if i % 4 == 3 { "b" } else { "a" };
            let place = address(net, 110, i, 9_000);
            Runner::new(
                id,
                place,
                ZONES[i % 3],
                &[kind, &rack],
                cores * 1_000,
                &jobs,
                &record,
            )
        };
        let runners: Vec<Arc<Runner>> = (0..runners).map(make).collect();
        let world = Deployment(Arc::new(World {
            store,
            runners,
            jobs,
            record,
            net,
            hosts,
            processes: Mutex::new((0..hosts).map(|_| None).collect()),
            dir: temp,
            next: AtomicUsize::new(0),
            over: AtomicBool::new(false),
        }));
        world.serve().map_err(|e| e.to_string())?;
        world.configure();
        for runner in &world.runners {
            runner.start(&world.store);
        }
        let ticking = world.0.clone();
        thread::spawn(move || {
            while !ticking.over.load(SeqCst) {
                tick_all(&ticking.runners);
                ticking.store.tick();
                for runner in &ticking.runners {
                    runner.keep_registered(&ticking.store);
                }
                thread::sleep(Duration::from_millis(4));
            }
        });
        for host in 0..hosts {
            fs::write(world.settings(host), world.settings_text(host))
                .map_err(|e| e.to_string())?;
            world.start_host(host)?;
        }
        let until = Instant::now() + Duration::from_secs(15);
        while world.store.leader().is_none() || !world.all_ready() {
            if Instant::now() > until {
                return Err("there is no leader after 15 s".to_owned());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(world)
    }

    fn all_ready(&self) -> bool {
        (0..self.hosts).all(|h| {
            let ready = SocketAddr::new(self.client(h).ip(), CLIENT_PORT + 6);
            let answer = http::call(
                ready,
                "GET",
                "/readyz",
                "x",
                "",
                "",
                Duration::from_millis(300),
            );
            answer.is_some_and(|(s, _)| s == 200)
        })
    }

    fn serve(self: &Arc<World>) -> std::io::Result<()> {
        for host in 0..self.hosts {
            let store = self.store.clone();
            let place = address(self.net, 60, host, 8169);
            http::serve(place, MANY, move |r| store.serve(host, r))?;
        }
        for runner in &self.runners {
            let runner = runner.clone();
            http::serve(runner.address, RUNNER_CONNECTIONS, move |r| {
                runner.serve(r, "a host")
            })?;
        }
        Ok(())
    }

    /// Writes the configuration.
    fn configure(&self) {
        let version = 7;
        let route = |name: &str, prefix: &str, priority: u8| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"q.example\",\"prefix\":\"{prefix}\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_duration_ms\":1000,\"priority\":{priority},\"service\":\"svc\",\"max_attempts\":3,\"slack_factor\":2.0,\"allowed_regions\":[]}}"
            )
        };
        let routes = vec![route("r-1", "/urgent/", 0), route("r-2", "/batch/", 2)];
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"svc\",\"health_path\":\"/healthz\",\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,\"rejects_overload\":true,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            routes.join(",")
        );
        self.store.write("op/config", Some(&text));
    }

    fn settings(&self, host: usize) -> PathBuf {
        self.dir.join(format!("h{host}.toml"))
    }

    fn settings_text(&self, host: usize) -> String {
        let ip = self.client(host).ip();
        let store = address(self.net, 60, host, 8169);
        format!(
            "node_name = \"edge-{host}\"\nrole = \"node\"\nmachine_class = \"edge\"\nserves = [\"edge\"]\nip = \"{ip}\"\nzone = \"{}\"\nregion = \"home\"\ninternal_ports = [7720, 7735]\nseeds = []\nbootstrap = true\nloss_counts = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1500\ncontracts = [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"sched\", \"places\", \"platform\", \"advice\", \"upkeep\", \"sharing\"]\norders = \"invocation\"\nadvice = \"\"\n[zones]\nza = \"home\"\nzb = \"home\"\nzc = \"home\"\n[bind_addresses]\nfrontend = \"{ip}:{CLIENT_PORT}\"\nreadiness = \"{ip}:{}\"\ncontrol_plane = \"{ip}:8166\"\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n[fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\ndrain_ms = 2500\ngrace_s = 6\nloss_slack_ms = 200\nconfig_ms = 2500\nrollback_slack_ms = 250\nmax_skew_ms = 6000\nevacuation_ms = 5000\nrecovery_s = 12\nhold_max_ms = 6000\nstop_ms = 400\ngang_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nremote_factor = 2\ncheckpoint_interval_s = 1\nrestore_ms = 250\nnotice_ms = 5500\nfencing_enforced = false\nlease_ms = 3000\nthaw_ms = 300\npace_ms = 100\nharm_ms = 4000\n[platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n",
            ZONES[host % 3],
            CLIENT_PORT + 6
        )
    }

    /// The address at which a host takes clients' requests.
    pub fn client(&self, host: usize) -> SocketAddr {
        address(self.net, 10, host, CLIENT_PORT)
    }

    pub fn start_host(&self, host: usize) -> Result<(), String> {
        let open = |name: &str| {
            let path = self.dir.join(name);
            fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(path)
                .map_err(|e| e.to_string())
        };
        let child = Command::new("target/release/jujubelb-node")
            .args(["--metrics-port", "9464"])
            .env("JUJUBELB_BOOT", self.settings(host))
            .stdin(Stdio::null())
            .stdout(open(&format!("h{host}.log"))?)
            .stderr(open(&format!("h{host}.err"))?)
            .spawn()
            .map_err(|e| format!("can't start a host: {e}"))?;
        self.record.say(&format!("host {host} starts"));
        lock(&self.processes)[host] = Some(child);
        Ok(())
    }

    /// Sends a signal to the process of a host.
    pub fn signal(&self, host: usize, signal: i32) {
        let mut processes = lock(&self.processes);
        let Some(child) = processes[host].as_mut() else {
            return;
        };
        self.record
            .say(&format!("host {host} gets signal {signal}"));
        // SAFETY: the process was not waited for, so the id is still its own.
        unsafe { kill(child.id() as i32, signal) };
        if signal == KILL {
            let _ = child.wait();
            processes[host] = None;
        }
    }

    /// Kills the host that leads and starts it again after a while. Returns which it was.
    pub fn kill_leader(self: &Arc<World>, down: Duration) -> Option<usize> {
        let until = Instant::now() + Duration::from_secs(4);
        let host = loop {
            match self.store.leader() {
                Some(host) => break host,
                None if Instant::now() > until => return None,
                None => thread::sleep(Duration::from_millis(20)),
            }
        };
        self.signal(host, KILL);
        let world = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            if !world.over.load(SeqCst) {
                let _ = world.start_host(host);
            }
        });
        Some(host)
    }

    /// Makes a client's call to any host, and another one if there is no clear answer.
    pub fn ask(
        &self,
        method: &str,
        path: &str,
        body: &str,
        retries: usize,
    ) -> Option<(u16, String)> {
        for _ in 0..=retries {
            let host = self.next.fetch_add(1, SeqCst) % self.hosts;
            let wait = Duration::from_millis(3_000);
            let answer = http::call(
                self.client(host),
                method,
                path,
                "q.example",
                "Deadline-Ms: 3000\r\n",
                body,
                wait,
            );
            let text = answer
                .as_ref()
                .map(|(s, b)| (*s, String::from_utf8_lossy(b).into_owned()));
            let seen = text
                .as_ref()
                .map_or("no answer".to_owned(), |(s, b)| format!("{s} {b}"));
            let short: String = seen.chars().take(90).collect();
            self.record
                .say(&format!("client {method} {path} at host {host}: {short}"));
            match text {
                Some((502 | 504, _)) | None => thread::sleep(Duration::from_millis(100)),
                Some(answer) => return Some(answer),
            }
        }
        None
    }

    /// Sends a job until it is accepted, for at most 10 s. Returns whether it was.
    pub fn submit(&self, queue: &str, id: &str, job: Job) -> bool {
        let body = job_text(&job);
        self.record.say(&format!("job    {id} of {queue}: {body}"));
        lock(&self.jobs.0).insert(id.to_owned(), Arc::new(job));
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            match self.ask("POST", &format!("/{queue}/{id}"), &body, 4) {
                Some((200..=299, _)) => return true,
                Some((503 | 429, _)) => thread::sleep(Duration::from_millis(500)),
                _ => return false,
            }
        }
        false
    }

    /// Asks for the state of a job; empty if it is not told.
    pub fn state(&self, queue: &str, id: &str) -> String {
        match self.ask("GET", &format!("/{queue}/{id}"), "", 4) {
            Some((200, body)) => {
                let state = Json::parse(body.as_bytes()).map(|b| b.text("state").to_owned());
                let state = state.unwrap_or_default();
                self.record.shown(id, &state);
                state
            }
            Some((410, _)) => {
                self.record.shown(id, "gone");
                "gone".to_owned()
            }
            _ => String::new(),
        }
    }

    /// Asks until the job has ended or the time is over. Returns the last state.
    pub fn await_end(&self, queue: &str, id: &str, limit: Duration) -> String {
        let until = Instant::now() + limit;
        loop {
            let state = self.state(queue, id);
            if matches!(
                state.as_str(),
                "completed" | "failed" | "cancelled" | "gone"
            ) || Instant::now() > until
            {
                return state;
            }
            thread::sleep(Duration::from_millis(300));
        }
    }

    /// Ends all processes that were started.
    pub fn end(&self) {
        if self.over.swap(true, SeqCst) {
            return;
        }
        for child in lock(&self.processes).iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.record.flush();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            println!("logs: {}", self.dir.display());
        }
    }
}

/// A deployment whose processes end with it, however a case ends.
pub struct Deployment(Arc<World>);

impl Deref for Deployment {
    type Target = Arc<World>;

    fn deref(&self) -> &Arc<World> {
        &self.0
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.0.end();
    }
}

fn step_text(s: &Step) -> String {
    let mut out = format!(
        "{{\"count\":{},\"cpu\":{},\"mem_mb\":{},\"estimate_ms\":{}",
        s.count, s.cpu, s.mem_mb, s.estimate_ms
    );
    if !s.after.is_empty() {
        let after: Vec<String> = s.after.iter().map(usize::to_string).collect();
        out += &format!(",\"after\":[{}]", after.join(","));
    }
    for (name, on) in [
        ("gang", s.gang),
        ("long_running", s.long_running),
        ("checkpoints", s.checkpoints),
        ("fills", s.fills),
    ] {
        if on {
            out += &format!(",\"{name}\":true");
        }
    }
    if s.max_per_server > 0 {
        out += &format!(",\"max_per_server\":{}", s.max_per_server);
    }
    if !s.requirements.is_empty() {
        out += &format!(",\"requirements\":{}", quote(&s.requirements));
    }
    out + "}"
}

fn job_text(job: &Job) -> String {
    let steps: Vec<String> = job.steps.iter().map(step_text).collect();
    let schedule = job
        .schedule
        .map_or(String::new(), |(first, interval, times)| {
            format!(",\"first_run_ms\":{first},\"interval_ms\":{interval},\"repeat_count\":{times}")
        });
    format!(
        "{{\"spec\":{},\"steps\":[{}]{schedule}}}",
        quote(&job.spec),
        steps.join(",")
    )
}
