//! The course of the demo.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use eyre::{Context, Result, ensure, eyre};
use indexmap::{IndexMap, IndexSet};
use indicatif::ProgressBar;
use jujubelb::config::declare::check;
use jujubelb::model::{Action, EndpointName, Revision, Span, Subject, TaskId, WorkerName};
use jujubelb::operator::api::ApplyResponse;

use super::deployment::{Deployment, watchers};
use super::nodes::Nodes;
use super::operator::Operator;
use super::report::Report;
use super::watch::Watch;
use super::work::Work;
use crate::load::{LoadGenerator, LoadPlan, RequestKind, Verifier};
use crate::standin::ledger::{Invariant, LEAVE_BOUND};
use crate::standin::platform::Platform;

/// Domain that is taken out and brought back.
const MOVED: &str = "hakata";

/// Requests a second through all entry hosts together.
const RATE: u32 = 250;

/// Longest wait for the processes to be ready after their start.
const READY: Duration = Duration::from_secs(12);

/// Longest wait for all work to end after the last wave.
const END: Duration = Duration::from_secs(22);

/// Steps of the course, for the progress bar.
pub const STEPS: u64 = 9;

/// The demo while it runs.
struct Demo {
    platform: Platform,
    nodes: Nodes,
    operator: Operator,
    watch: Option<Watch>,
    work: Work,
    callers: Vec<SocketAddr>,
    report: Report,
    progress: ProgressBar,
    start: Instant,
}

/// What to run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Seed of the load.
    pub seed: u64,
    /// Second part of the loopback addresses.
    pub net: u8,
    /// Time for which the processes go on after the course, for use with `jujubectl`.
    pub hold: Duration,
}

/// Runs the whole demo in a directory that it may write keys to.
pub fn run(options: Options, dir: &Path, progress: ProgressBar) -> Result<Report> {
    let mut demo = Demo::start(options.seed, options.net, dir, progress)?;
    let load = demo.start_load(options.seed)?;
    demo.course();
    let outcomes = load.finish()?;
    demo.hold(options.hold, dir);
    demo.end(outcomes)
}

impl Demo {
    fn start(seed: u64, net: u8, dir: &Path, progress: ProgressBar) -> Result<Self> {
        let start = Instant::now();
        let deployment = Deployment { net };
        let files = deployment.files();
        let config =
            check(&files).map_err(|p| eyre!("the demo's declarations have errors: {p:?}"))?;
        progress.set_message("starting stand-ins and processes");
        let platform = Platform::start(deployment.platform(), &config, &deployment.reality())?;
        let nodes = Nodes::start(deployment, dir)?;
        let operator = Operator::new(nodes.token())?;
        let callers = nodes.hosts().iter().map(|h| h.callers()).collect();
        let processes = nodes.hosts().iter();
        let processes = processes.flat_map(|h| [h.entry_operators(), h.scheduler_operators()]);
        let ledger = Arc::clone(&platform.ledger);
        let watch = Watch::start(
            operator.clone(),
            processes.collect(),
            ledger,
            platform.clock,
        );
        let mut demo = Self {
            platform,
            nodes,
            operator,
            watch: Some(watch),
            work: Work::new(seed)?,
            callers,
            report: Report::new(seed),
            progress,
            start,
        };
        let first = demo.nodes.hosts()[0].entry_operators();
        let answer = demo.operator.apply(first, Revision(0), files)?;
        demo.note_change(&answer);
        demo.wait_ready()?;
        Ok(demo)
    }

    fn note_change(&self, answer: &ApplyResponse) {
        if let Some(watch) = &self.watch {
            watch.accepted(answer.change.revision, self.platform.clock.now());
        }
    }

    /// Waits until every process has the configuration and every shard an owner.
    fn wait_ready(&mut self) -> Result<()> {
        let end = Instant::now() + READY;
        loop {
            let hosts = self.nodes.hosts().iter();
            let tops: Vec<_> = hosts
                .filter_map(|h| self.operator.top(h.entry_operators()).ok())
                .collect();
            let ready = tops
                .iter()
                .all(|t| t.revision >= Revision(1) && t.shards.len() == 3);
            if ready && tops.len() == self.nodes.hosts().len() {
                return Ok(());
            }
            ensure!(
                Instant::now() < end,
                "the processes were not ready within {READY:?}"
            );
            pause(200);
        }
    }

    fn start_load(&self, seed: u64) -> Result<RunningLoad> {
        let plan = LoadPlan {
            entries: self.callers.clone(),
            service: "desk".into(),
            rate: RATE,
            deadline: Span::from_millis(500),
            mix: vec![
                (RequestKind::Urgent, 680),
                (RequestKind::Tight, 20),
                (RequestKind::Batch, 150),
                (RequestKind::Once, 50),
                (RequestKind::Keyed, 100),
            ],
            seed,
        };
        let verifier = Verifier {
            receipts: Arc::clone(&self.platform.receipts),
            ledger: Arc::clone(&self.platform.ledger),
        };
        RunningLoad::start(LoadGenerator::new(plan, Some(verifier))?)
    }

    /// The steps. One that fails is reported and the others go on.
    fn course(&mut self) {
        self.step("batch work in all domains", |d| {
            d.waves(2)?;
            d.work.submit_broken(&d.callers)
        });
        pause(4_000);
        self.step("failure domain out", Self::domain_out);
        self.step("failure domain in", Self::domain_in);
        self.step("worker killed", Self::kill_worker);
        self.step("scheduler process killed", Self::kill_scheduler);
        self.step("endpoint leaves", Self::endpoint_leaves);
        self.step("planned stops", Self::planned_stops);
        self.step("all work ends", Self::wait_for_work);
        self.step("every action is explained", Self::explain);
    }

    fn step(&mut self, name: &str, step: impl FnOnce(&mut Self) -> Result<()>) {
        self.progress.set_message(name.to_owned());
        log::info!(step = name, seconds = self.start.elapsed().as_secs_f64(); "step of the demo");
        if let Err(error) = step(self) {
            self.report.failures.push(format!("{name}: {error:#}"));
        }
        self.progress.inc(1);
    }

    fn waves(&mut self, count: u32) -> Result<()> {
        (0..count).try_for_each(|_| self.work.wave(&self.callers))
    }

    fn domain_out(&mut self) -> Result<()> {
        let at = self.nodes.hosts()[0].entry_operators();
        let before = self.platform.ledger().counts().completed;
        let answer = self.operator.domain(at, MOVED, true)?;
        let now = self.platform.clock.now();
        self.platform.ledger().domain_out(MOVED.into(), now);
        self.note_change(&answer);
        self.waves(2)?;
        pause(7_000);
        let after = self.platform.ledger().counts().completed;
        self.report.during = after - before;
        let left = self.running_in(MOVED);
        ensure!(left == 0, "{left} tasks still run in {MOVED}");
        Ok(())
    }

    fn running_in(&self, domain: &str) -> usize {
        let workers: Vec<_> = self.platform.workers().cloned().collect();
        let running = |w: &WorkerName| {
            let worker = self.platform.worker(w)?;
            (worker.facts().domain.as_str() == domain).then(|| worker.running())
        };
        workers.iter().filter_map(running).sum()
    }

    fn domain_in(&mut self) -> Result<()> {
        let at = self.nodes.hosts()[0].entry_operators();
        self.platform.ledger().domain_in(&MOVED.into());
        let answer = self.operator.domain(at, MOVED, false)?;
        self.note_change(&answer);
        self.waves(1)?;
        pause(4_000);
        Ok(())
    }

    fn kill_worker(&mut self) -> Result<()> {
        let busiest = self.platform.workers().max_by_key(|w| {
            let worker = self.platform.worker(w);
            worker.map_or(0, |w| w.running())
        });
        let worker = busiest
            .cloned()
            .ok_or_else(|| eyre!("there is no worker"))?;
        self.platform.restart_worker(&worker);
        pause(1_000);
        Ok(())
    }

    fn kill_scheduler(&mut self) -> Result<()> {
        let at = self.nodes.hosts()[0].entry_operators();
        let top = self.operator.top(at)?;
        let owner = top
            .shards
            .first()
            .ok_or_else(|| eyre!("no shard has an owner"))?;
        let (host, _) = owner
            .owner
            .as_str()
            .split_once('/')
            .ok_or_else(|| eyre!("odd owner"))?;
        let (host, epoch, shard) = (host.to_owned(), owner.epoch, owner.shard.clone());
        self.set_absent(&host, false, true);
        self.nodes.abort_scheduler(&host);
        self.waves(1)?;
        let end = Instant::now() + READY;
        loop {
            let asked = self.nodes.hosts().iter().find(|h| h.name != host);
            let at = asked.map_or(at, |h| h.entry_operators());
            let shards = self.operator.top(at).map(|t| t.shards).unwrap_or_default();
            if shards.iter().any(|s| s.shard == shard && s.epoch > epoch) {
                break;
            }
            ensure!(
                Instant::now() < end,
                "nobody took over {shard} within {READY:?}"
            );
            pause(200);
        }
        self.nodes.start_scheduler(&host)?;
        self.set_absent(&host, false, false);
        Ok(())
    }

    /// A process is absent for the watch while it stops or starts.
    fn set_absent(&self, host: &str, entry: bool, absent: bool) {
        let host = self.nodes.hosts().iter().find(|h| h.name == host);
        if let (Some(host), Some(watch)) = (host, &self.watch) {
            let address = if entry {
                host.entry_operators()
            } else {
                host.scheduler_operators()
            };
            watch.set_absent(address, absent);
        }
    }

    fn endpoint_leaves(&mut self) -> Result<()> {
        let endpoint = EndpointName::from("desk-kokura-1");
        let left = self.platform.clock.now();
        self.platform.set_leaving(&endpoint, true);
        pause(LEAVE_BOUND.as_millis() + 2_000);
        let late = self.platform.receipts.after(&endpoint, left + LEAVE_BOUND);
        self.platform.ledger().check(Invariant::P8, late == 0, || {
            format!("{endpoint} received {late} requests more than {LEAVE_BOUND} after it started leaving")
        });
        self.platform.set_leaving(&endpoint, false);
        Ok(())
    }

    fn planned_stops(&mut self) -> Result<()> {
        let host = self.nodes.hosts()[1].name.clone();
        self.set_absent(&host, true, true);
        self.set_absent(&host, false, true);
        let entry = self.nodes.stop_entry(&host);
        let scheduler = self.nodes.stop_scheduler(&host);
        self.platform
            .ledger()
            .check(Invariant::P9, entry && scheduler, || {
                format!("the planned stop of {host} was cut short")
            });
        self.nodes.start_entry(&host)?;
        self.nodes.start_scheduler(&host)?;
        self.set_absent(&host, true, false);
        self.set_absent(&host, false, false);
        self.work.repeat(self.callers[2])
    }

    fn wait_for_work(&mut self) -> Result<()> {
        let end = Instant::now() + END;
        loop {
            let ledger = self.platform.ledger();
            let mut open = self.work.open(&ledger);
            open.extend(ledger.waiting().cloned());
            open.extend(watchers().filter(|task| !ledger.is_active(task)));
            drop(ledger);
            if open.is_empty() {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(eyre!(
                    "{} tasks did not end: {}",
                    open.len(),
                    self.states(&open)
                ));
            }
            pause(200);
        }
    }

    /// The states of tasks as the product sees them.
    fn states(&self, tasks: &[TaskId]) -> String {
        let at = self.nodes.hosts()[2].entry_operators();
        let views = self.operator.tasks(at).map(|v| v.tasks).unwrap_or_default();
        let state = |task: &TaskId| {
            let view = views.iter().find(|v| v.task == *task);
            let state = view.map_or("unknown", |v| v.state.as_str());
            format!("{task} is {state}")
        };
        tasks.iter().map(state).collect::<Vec<_>>().join(", ")
    }

    /// Every task that was moved, throttled or stopped has a chain of records to a cause.
    fn explain(&mut self) -> Result<()> {
        let at = self.nodes.hosts()[2].entry_operators();
        let all = self.operator.records(at)?.records;
        let moved = |a| {
            matches!(
                a,
                Action::Move | Action::Throttle | Action::Evict | Action::Stop | Action::HandOff
            )
        };
        let mut tasks: IndexSet<TaskId> = self.platform.ledger().evicted().cloned().collect();
        let named = all
            .iter()
            .filter(|r| moved(r.action))
            .filter_map(|r| match &r.subject {
                Subject::Task(task) => Some(task.clone()),
                _ => None,
            });
        tasks.extend(named);
        let ids: IndexMap<_, _> = all.iter().map(|r| (&r.id, r)).collect();
        let explained = |task: &&TaskId| {
            let own = all
                .iter()
                .filter(|r| r.subject == Subject::Task((*task).clone()));
            let mut actions = own.filter(|r| moved(r.action)).peekable();
            actions.peek().is_some()
                && actions.all(|r| r.parent.as_ref().is_none_or(|p| ids.contains_key(p)))
        };
        let missing: Vec<_> = tasks.iter().filter(|t| !explained(t)).collect();
        self.report.explained = (tasks.len(), tasks.len() - missing.len());
        match missing.first() {
            Some(task) => Err(eyre!(
                "{} tasks are not explained, {task} among them",
                missing.len()
            )),
            None => Ok(()),
        }
    }

    /// Lets an operator look at the deployment.
    fn hold(&self, time: Duration, dir: &Path) {
        if time.is_zero() {
            return;
        }
        let at = self.nodes.hosts()[2].entry_operators();
        let token = dir.join("token");
        let hint = format!(
            "the processes go on for {time:?}: jujubectl --server http://{at} --token-file {} top",
            token.display()
        );
        self.progress.suspend(|| eprintln!("{hint}"));
        std::thread::sleep(time);
    }

    fn end(mut self, outcomes: crate::load::StatsByKind) -> Result<Report> {
        if let Some(watch) = self.watch.take() {
            watch.finish();
        }
        let waiting = self.platform.ledger().waiting().count();
        let mut ledger = self.platform.ledger();
        ledger.check(Invariant::P3, waiting == 0, || {
            format!("{waiting} evicted tasks did not resume")
        });
        drop(ledger);
        self.progress.set_message("stopping");
        let whole = self.nodes.stop_all();
        let mut ledger = self.platform.ledger();
        ledger.check(Invariant::P9, whole, || {
            "a process could not finish its planned stop".into()
        });
        self.report.submitted = self.work.submitted();
        self.report.seconds = self.start.elapsed().as_secs_f64();
        self.report.fill(outcomes, &ledger);
        drop(ledger);
        Ok(self.report)
    }
}

fn pause(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// The load on a thread of its own.
struct RunningLoad {
    load: Arc<LoadGenerator>,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl RunningLoad {
    fn start(load: Arc<LoadGenerator>) -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .wrap_err("can't start the load's threads")?;
        let stop = Arc::<AtomicBool>::default();
        let (running, stopped) = (Arc::clone(&load), Arc::clone(&stop));
        let thread = std::thread::spawn(move || {
            runtime.block_on(running.run(|| stopped.load(Ordering::Relaxed)));
        });
        Ok(Self { load, stop, thread })
    }

    fn finish(self) -> Result<crate::load::StatsByKind> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread
            .join()
            .map_err(|_| eyre!("the load ended with a panic"))?;
        Ok(self.load.take_stats())
    }
}
