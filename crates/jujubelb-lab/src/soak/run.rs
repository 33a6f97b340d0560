//! One soak: starts the emulator and the processes, plays the faults of the seed, waits
//! until the deployment is calm, and checks the history.

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::bursts;
use super::check;
use super::clients::{self, Ground, QUEUES};
use super::customers::{self, Customers};
use super::faults::Scene;
use super::operator;
use super::plan::{self, Planned};
use super::processes::Processes;
use super::report::Outcome;
use crate::emulator::history::{History, What};
use crate::emulator::interference::Interference;
use crate::emulator::worker::Machine;
use crate::emulator::{Emulator, Layout, MAX_HOSTS, MAX_WORKERS, ZONES};

/// Time after the last fault until the traffic ends, so that bounds that hold from 4 s after
/// a fault are checked under load: those on cancelled jobs and on evacuations.
const CALM_TRAFFIC: Duration = Duration::from_secs(9);

/// Time for clients to see their jobs over, after the traffic.
const FINISH: Duration = check::FINISH;

/// Pause between two jobs for each five workers.
const JOB_PAUSE: Duration = Duration::from_millis(500);

/// Factor of the pause beside bursts of best-effort jobs.
const PAUSE_BESIDE_BURSTS: f64 = 3.0;

/// Factor of the pause beside surges of customers, whose limits leave room for what they send on
/// average.
const PAUSE_BESIDE_CUSTOMERS: f64 = 2.0;

/// Every fifth worker belongs to the second service.
const SIDE_SHARE: usize = 4;

/// Interval at which the soak measures its own delay.
const DELAY_CHECK: Duration = Duration::from_millis(50);

/// Delay of the soak itself that counts as a fault: its workers and clients were late.
const MAX_DELAY: Duration = Duration::from_millis(200);

/// Port that reserves a net of loopback addresses.
const RESERVED_PORT: u16 = 8_000;

/// Speed of a link on which the leader uses relays.
const SLOW_LINK_MBPS: f64 = 1.0;

/// Options of a soak.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of the load and of the faults.
    pub seed: u64,
    /// Time in which faults begin.
    pub time: Duration,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of workers.
    pub workers: usize,
    /// Program of the hosts.
    pub node: PathBuf,
    /// Folder for the logs. A seed's own folder in it stays if a rule was broken.
    pub logs: PathBuf,
    /// Whether there are faults, of seeds that have any.
    pub faults: bool,
    /// Whether the logs and the history stay if no rule was broken.
    pub keep: bool,
}

/// Runs a soak with one seed.
pub fn run(options: &Options) -> Result<Outcome> {
    if !(1..=MAX_HOSTS).contains(&options.hosts) || !(2..=MAX_WORKERS).contains(&options.workers) {
        return Err(eyre!(
            "there must be 1 to {MAX_HOSTS} hosts and 2 to {MAX_WORKERS} workers"
        ));
    }
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?
        .block_on(run_seed(options))
}

async fn run_seed(options: &Options) -> Result<Outcome> {
    let dir = options
        .logs
        .join(format!("seed-{}-{}", options.seed, std::process::id()));
    std::fs::create_dir_all(&dir)
        .wrap_err_with(|| format!("can't create the folder {}", dir.display()))?;
    let mut random = StdRng::seed_from_u64(options.seed);
    let (_reserved, net) = reserve_net()?;
    let layout = Layout {
        net,
        hosts: options.hosts,
        machines: draw_machines(&mut random, options),
        link_mbps: if random.random() {
            1_000.0
        } else {
            SLOW_LINK_MBPS
        },
    };
    let emulator = Arc::new(Emulator::start(&layout, options.seed).await?);
    let customers =
        plan::has_customers(options.seed).then(|| Arc::new(Customers::new(!options.seed)));
    operator::configure(&emulator, 1, false, customers.as_deref());
    tokio::spawn(measure_delay(emulator.history.clone()));
    let hosts: Vec<_> = (0..options.hosts).map(|h| layout.host(h)).collect();
    let history = emulator.history.clone();
    let processes = Processes::start(&options.node, &dir, hosts.clone(), history.clone())?;
    let processes = Arc::new(processes);
    let looking = tokio::spawn(processes.clone().look_after());
    let http = Ground::connect()?;
    let start = Instant::now();
    let planned = match options.faults && plan::has_faults(options.seed) {
        true => plan::draw(options.seed, options.hosts, options.workers, options.time),
        false => Vec::new(),
    };
    let faults_end = planned.iter().map(Planned::ends).max().unwrap_or_default();
    let traffic_end = start + options.time.max(faults_end) + CALM_TRAFFIC;
    let ground = Ground {
        history: history.clone(),
        hosts: hosts
            .iter()
            .map(|h| format!("http://{}", h.clients))
            .collect(),
        customers: customers.clone(),
        traffic_end,
        end: traffic_end + FINISH,
    };
    let change_now = Arc::new(Notify::new());
    let scene = Scene {
        emulator: emulator.clone(),
        processes: processes.clone(),
        hosts,
        http: http.clone(),
        last_fault: AtomicU64::new(0),
        change_now: change_now.clone(),
    };
    let mut tasks = JoinSet::new();
    let mut pause = JOB_PAUSE.mul_f64(5.0 / options.workers as f64);
    if plan::has_bursts(options.seed) {
        pause = pause.mul_f64(PAUSE_BESIDE_BURSTS);
    }
    if plan::has_customers(options.seed) {
        pause = pause.mul_f64(PAUSE_BESIDE_CUSTOMERS);
        tasks.spawn(customers::send_surges(
            ground.clone(),
            http.clone(),
            options.seed,
            pause,
        ));
    }
    tasks.spawn(clients::send_jobs(
        ground.clone(),
        http.clone(),
        random.random(),
        pause,
    ));
    tasks.spawn(operator::operate(
        emulator.clone(),
        customers.clone(),
        change_now,
        random.random(),
        traffic_end,
    ));
    if plan::has_bursts(options.seed) {
        let serving = layout.machines.iter().filter(|m| m.service == QUEUES[0].1);
        tasks.spawn(bursts::send(
            ground.clone(),
            http.clone(),
            random.random(),
            serving.count(),
            Interference::new(options.seed),
        ));
    }
    let ending = history.clone();
    tasks.spawn(async move {
        sleep_until(traffic_end).await;
        ending.add(What::TrafficEnded);
    });
    tasks.spawn(play(Arc::new(scene), planned, start));
    for host in 0..options.hosts {
        let seed = options.seed ^ host as u64;
        tasks.spawn(operator::probe(ground.clone(), http.clone(), host, seed));
        if let Some(customers) = customers.clone() {
            let (ground, http) = (ground.clone(), http.clone());
            tasks.spawn(customers::probe(customers, ground, http, host, seed));
        }
    }
    while let Some(ended) = tasks.join_next().await {
        ended.wrap_err("a part of the soak has failed")?;
    }
    looking.abort();
    processes.end();
    processes.record_panics();
    processes.record_logged_keys();
    finish(options, &history, &dir)
}

fn finish(options: &Options, history: &History, dir: &Path) -> Result<Outcome> {
    history.read(|record| {
        let violations = check::check(record);
        let mut kept = None;
        if violations.is_empty() && !options.keep {
            std::fs::remove_dir_all(dir)
                .wrap_err_with(|| format!("can't remove the folder {}", dir.display()))?;
        } else {
            let jobs = record.jobs.values().map(|job| format!("{job:?}\n"));
            let events = record.events.iter().map(|e| format!("{e}\n"));
            let lines: String = jobs.chain(events).collect();
            let path = dir.join("history.log");
            std::fs::write(&path, lines)
                .wrap_err_with(|| format!("can't write {}", path.display()))?;
            kept = Some(dir.to_owned());
        }
        Ok(Outcome::new(options.seed, record, violations, kept))
    })
}

/// Plays all faults, each for its time. Returns when all have ended.
async fn play(scene: Arc<Scene>, planned: Vec<Planned>, start: Instant) {
    let mut playing = JoinSet::new();
    for fault in planned {
        sleep_until(start + fault.at).await;
        let scene = scene.clone();
        playing.spawn(async move { scene.play(fault).await });
    }
    while playing.join_next().await.is_some() {}
    scene.calm();
}

/// Records a fault whenever the soak itself was delayed. Never returns.
async fn measure_delay(history: Arc<History>) {
    loop {
        let before = history.now();
        sleep(DELAY_CHECK).await;
        let delay = (history.now() - before).saturating_sub(DELAY_CHECK);
        if delay > MAX_DELAY {
            history.add(What::Delayed { by: delay });
        }
    }
}

fn draw_machines(random: &mut StdRng, options: &Options) -> Vec<Machine> {
    let count = options.workers;
    let (cpu, memory) = match plan::has_bursts(options.seed) {
        true => (bursts::WORKER_CPU, bursts::WORKER_MEMORY),
        false => (4_000, 4_096),
    };
    let machine = |index: usize| {
        let zone = ZONES[index % ZONES.len()];
        let side = index % (SIDE_SHARE + 1) == SIDE_SHARE || (count <= SIDE_SHARE && index == 1);
        Machine {
            service: if side { "side" } else { "main" }.into(),
            zone: zone.into(),
            rack: format!("r-{zone}-{}", index / ZONES.len() % 2).into(),
            cpu,
            memory,
            guards_room: random.random(),
            clock_rate: random.random_range(0.98..=1.0),
            max_lease: plan::max_lease(options.seed),
        }
    };
    (0..count).map(machine).collect()
}

/// Finds two parts of loopback addresses that no other soak uses; they stay reserved as long
/// as the listener.
fn reserve_net() -> Result<(TcpListener, (u8, u8))> {
    for _ in 0..100 {
        let mut random = rand::rng();
        let net = (random.random_range(100..250), random.random_range(1..250));
        if let Ok(listener) =
            TcpListener::bind(format!("127.{}.{}.1:{RESERVED_PORT}", net.0, net.1))
        {
            return Ok((listener, net));
        }
    }
    Err(eyre!("no free loopback addresses were found"))
}
