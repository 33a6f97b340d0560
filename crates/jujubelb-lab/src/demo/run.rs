//! Runs the steps of the demo and collects its report.

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
use super::jobs::JobSubmitter;
use super::monitor::RevisionMonitor;
use super::operator::Operator;
use super::processes::DemoProcesses;
use super::report::Report;
use crate::load::{LoadGenerator, LoadPlan, RequestKind, Verifier};
use crate::standin::ledger::{Invariant, LEAVE_BOUND};
use crate::standin::platform::Platform;

/// Failure domain that is taken out of service and put back in service.
const DRAINED_DOMAIN: &str = "hakata";

/// Request rate over all entry hosts together.
const REQUESTS_PER_SECOND: u32 = 250;

/// Time limit for processes to become ready after their start, and for a shard to get a new owner.
const READY_TIMEOUT: Duration = Duration::from_secs(12);

/// Time limit for all tasks to complete after the last wave of jobs.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(22);

/// Number of steps, the length of the progress bar.
pub const STEP_COUNT: u64 = 9;

/// State of a running demo.
struct Demo {
    platform: Platform,
    processes: DemoProcesses,
    operator: Operator,
    monitor: Option<RevisionMonitor>,
    jobs: JobSubmitter,
    callers: Vec<SocketAddr>,
    report: Report,
    progress: ProgressBar,
    start: Instant,
}

/// Parameters of one run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Seed of the load generator and of the submitted jobs.
    pub seed: u64,
    /// Second octet of the loopback addresses.
    pub net: u8,
    /// Time for which the processes keep running after the last step, for use with `jujubectl`.
    pub hold: Duration,
}

/// Runs the complete demo. Writes the operator token and the peer key to `dir`.
pub fn run(options: Options, dir: &Path, progress: ProgressBar) -> Result<Report> {
    let mut demo = Demo::start(options.seed, options.net, dir, progress)?;
    let load = demo.start_load(options.seed)?;
    demo.run_steps();
    let outcomes = load.finish()?;
    demo.hold(options.hold, dir);
    demo.finish(outcomes)
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
        let processes = DemoProcesses::start(deployment, dir)?;
        let operator = Operator::new(processes.token())?;
        let callers = processes
            .hosts()
            .iter()
            .map(|h| h.caller_address())
            .collect();
        let addresses = processes.hosts().iter();
        let addresses = addresses.flat_map(|h| [h.entry_operators(), h.scheduler_operators()]);
        let ledger = Arc::clone(&platform.ledger);
        let monitor = RevisionMonitor::start(
            operator.clone(),
            addresses.collect(),
            ledger,
            platform.clock,
        );
        let mut demo = Self {
            platform,
            processes,
            operator,
            monitor: Some(monitor),
            jobs: JobSubmitter::new(seed)?,
            callers,
            report: Report::new(seed),
            progress,
            start,
        };
        let first = demo.processes.hosts()[0].entry_operators();
        let answer = demo.operator.apply(first, Revision(0), files)?;
        demo.expect_activation(&answer);
        demo.wait_ready()?;
        Ok(demo)
    }

    fn expect_activation(&self, answer: &ApplyResponse) {
        if let Some(monitor) = &self.monitor {
            monitor.change_accepted(answer.change.revision, self.platform.clock.now());
        }
    }

    /// Waits until every entry process has the configuration and knows an owner for each shard.
    fn wait_ready(&mut self) -> Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        loop {
            let hosts = self.processes.hosts().iter();
            let tops: Vec<_> = hosts
                .filter_map(|h| self.operator.top(h.entry_operators()).ok())
                .collect();
            let ready = tops
                .iter()
                .all(|t| t.revision >= Revision(1) && t.shards.len() == 3);
            if ready && tops.len() == self.processes.hosts().len() {
                return Ok(());
            }
            ensure!(
                Instant::now() < end,
                "the processes were not ready within {READY_TIMEOUT:?}"
            );
            sleep_millis(200);
        }
    }

    fn start_load(&self, seed: u64) -> Result<RunningLoad> {
        let plan = LoadPlan {
            entries: self.callers.clone(),
            service: "desk".into(),
            rate: REQUESTS_PER_SECOND,
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

    /// Runs all steps. A failed step is reported and does not keep the later ones from running.
    fn run_steps(&mut self) {
        self.step("batch work in all domains", |d| {
            d.submit_waves(2)?;
            d.jobs.submit_broken(&d.callers)
        });
        sleep_millis(4_000);
        self.step("failure domain out", Self::take_domain_out);
        self.step("failure domain in", Self::put_domain_in);
        self.step("worker killed", Self::kill_worker);
        self.step("scheduler process killed", Self::kill_scheduler);
        self.step("endpoint leaves", Self::make_endpoint_leave);
        self.step("planned stops", Self::stop_as_planned);
        self.step("all work ends", Self::wait_for_work);
        self.step("every action is explained", Self::check_explanations);
    }

    fn step(&mut self, name: &str, step: impl FnOnce(&mut Self) -> Result<()>) {
        self.progress.set_message(name.to_owned());
        log::info!(step = name, seconds = self.start.elapsed().as_secs_f64(); "demo step started");
        if let Err(error) = step(self) {
            self.report.failures.push(format!("{name}: {error:#}"));
        }
        self.progress.inc(1);
    }

    fn submit_waves(&mut self, count: u32) -> Result<()> {
        (0..count).try_for_each(|_| self.jobs.submit_wave(&self.callers))
    }

    fn take_domain_out(&mut self) -> Result<()> {
        let address = self.processes.hosts()[0].entry_operators();
        let before = self.platform.ledger().counts().completed;
        let answer = self
            .operator
            .set_domain_out(address, DRAINED_DOMAIN, true)?;
        let now = self.platform.clock.now();
        self.platform
            .ledger()
            .domain_out(DRAINED_DOMAIN.into(), now);
        self.expect_activation(&answer);
        self.submit_waves(2)?;
        sleep_millis(7_000);
        let after = self.platform.ledger().counts().completed;
        self.report.outage_completions = after - before;
        let remaining = self.running_in(DRAINED_DOMAIN);
        ensure!(
            remaining == 0,
            "{remaining} tasks still run in {DRAINED_DOMAIN}"
        );
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

    fn put_domain_in(&mut self) -> Result<()> {
        let address = self.processes.hosts()[0].entry_operators();
        self.platform.ledger().domain_in(&DRAINED_DOMAIN.into());
        let answer = self
            .operator
            .set_domain_out(address, DRAINED_DOMAIN, false)?;
        self.expect_activation(&answer);
        self.submit_waves(1)?;
        sleep_millis(4_000);
        Ok(())
    }

    fn kill_worker(&mut self) -> Result<()> {
        let busiest = self.platform.workers().max_by_key(|w| {
            let worker = self.platform.worker(w);
            worker.map_or(0, |w| w.running())
        });
        let worker = busiest
            .cloned()
            .ok_or_else(|| eyre!("the platform has no worker"))?;
        self.platform.restart_worker(&worker);
        sleep_millis(1_000);
        Ok(())
    }

    fn kill_scheduler(&mut self) -> Result<()> {
        let address = self.processes.hosts()[0].entry_operators();
        let top = self.operator.top(address)?;
        let owner = top
            .shards
            .first()
            .ok_or_else(|| eyre!("no shard has an owner"))?;
        let (host, _) = owner
            .owner
            .as_str()
            .split_once('/')
            .ok_or_else(|| eyre!("the owner of a shard has a name without a host"))?;
        let (host, epoch, shard) = (host.to_owned(), owner.epoch, owner.shard.clone());
        self.set_absent(&host, false, true);
        self.processes.abort_scheduler(&host);
        self.submit_waves(1)?;
        let end = Instant::now() + READY_TIMEOUT;
        loop {
            let other = self.processes.hosts().iter().find(|h| h.name != host);
            let address = other.map_or(address, |h| h.entry_operators());
            let shards = self
                .operator
                .top(address)
                .map(|t| t.shards)
                .unwrap_or_default();
            if shards.iter().any(|s| s.shard == shard && s.epoch > epoch) {
                break;
            }
            ensure!(
                Instant::now() < end,
                "no scheduler took over shard {shard} within {READY_TIMEOUT:?}"
            );
            sleep_millis(200);
        }
        self.processes.start_scheduler(&host)?;
        self.set_absent(&host, false, false);
        Ok(())
    }

    /// Suspends the revision checks of a process while it stops or starts, or resumes them.
    fn set_absent(&self, host: &str, entry: bool, absent: bool) {
        let host = self.processes.hosts().iter().find(|h| h.name == host);
        if let (Some(host), Some(monitor)) = (host, &self.monitor) {
            let address = if entry {
                host.entry_operators()
            } else {
                host.scheduler_operators()
            };
            monitor.set_absent(address, absent);
        }
    }

    fn make_endpoint_leave(&mut self) -> Result<()> {
        let endpoint = EndpointName::from("desk-kokura-1");
        let leave_start = self.platform.clock.now();
        self.platform.set_leaving(&endpoint, true);
        sleep_millis(LEAVE_BOUND.as_millis() + 2_000);
        let late = self
            .platform
            .receipts
            .after(&endpoint, leave_start + LEAVE_BOUND);
        self.platform.ledger().check(Invariant::P8, late == 0, || {
format!("{endpoint} received {late} requests more than {LEAVE_BOUND} after it started leaving")
});
        self.platform.set_leaving(&endpoint, false);
        Ok(())
    }

    fn stop_as_planned(&mut self) -> Result<()> {
        let host = self.processes.hosts()[1].name.clone();
        self.set_absent(&host, true, true);
        self.set_absent(&host, false, true);
        let entry = self.processes.stop_entry(&host);
        let scheduler = self.processes.stop_scheduler(&host);
        self.platform
            .ledger()
            .check(Invariant::P9, entry && scheduler, || {
                format!("the planned stop of {host} was not complete")
            });
        self.processes.start_entry(&host)?;
        self.processes.start_scheduler(&host)?;
        self.set_absent(&host, true, false);
        self.set_absent(&host, false, false);
        self.jobs.resubmit_last(self.callers[2])
    }

    fn wait_for_work(&mut self) -> Result<()> {
        let end = Instant::now() + COMPLETION_TIMEOUT;
        loop {
            let ledger = self.platform.ledger();
            let mut incomplete = self.jobs.incomplete_tasks(&ledger);
            incomplete.extend(ledger.waiting().cloned());
            incomplete.extend(watchers().filter(|task| !ledger.is_active(task)));
            drop(ledger);
            if incomplete.is_empty() {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(eyre!(
                    "{} tasks did not complete within the time limit: {}",
                    incomplete.len(),
                    self.states(&incomplete)
                ));
            }
            sleep_millis(200);
        }
    }

    /// Describes the states of tasks as the operator interface reports them.
    fn states(&self, tasks: &[TaskId]) -> String {
        let address = self.processes.hosts()[2].entry_operators();
        let views = self
            .operator
            .tasks(address)
            .map(|v| v.tasks)
            .unwrap_or_default();
        let state = |task: &TaskId| {
            let view = views.iter().find(|v| v.task == *task);
            let state = view.map_or("unknown", |v| v.state.as_str());
            format!("{task} is {state}")
        };
        tasks.iter().map(state).collect::<Vec<_>>().join(", ")
    }

    /// Checks that every task that was moved, throttled or stopped has a record of it and that the
    /// parents of these records exist.
    fn check_explanations(&mut self) -> Result<()> {
        let address = self.processes.hosts()[2].entry_operators();
        let all = self.operator.records(address)?.records;
        let disruptive = |a| {
            matches!(
                a,
                Action::Move | Action::Throttle | Action::Evict | Action::Stop | Action::HandOff
            )
        };
        let mut tasks: IndexSet<TaskId> = self.platform.ledger().evicted().cloned().collect();
        let named = all
            .iter()
            .filter(|r| disruptive(r.action))
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
            let mut actions = own.filter(|r| disruptive(r.action)).peekable();
            actions.peek().is_some()
                && actions.all(|r| r.parent.as_ref().is_none_or(|p| ids.contains_key(p)))
        };
        let missing: Vec<_> = tasks.iter().filter(|t| !explained(t)).collect();
        self.report.explained = (tasks.len(), tasks.len() - missing.len());
        match missing.first() {
            Some(task) => Err(eyre!(
                "{} tasks have no complete chain of records, {task} among them",
                missing.len()
            )),
            None => Ok(()),
        }
    }

    /// Keeps the deployment running for `time` and prints how to inspect it with `jujubectl`.
    fn hold(&self, time: Duration, dir: &Path) {
        if time.is_zero() {
            return;
        }
        let address = self.processes.hosts()[2].entry_operators();
        let token = dir.join("token");
        let hint = format!(
            "the processes keep running for {time:?}: jujubectl --server http://{address} --token-file {} top",
            token.display()
        );
        self.progress.suspend(|| eprintln!("{hint}"));
        std::thread::sleep(time);
    }

    fn finish(mut self, outcomes: crate::load::StatsByKind) -> Result<Report> {
        if let Some(monitor) = self.monitor.take() {
            monitor.finish();
        }
        let waiting = self.platform.ledger().waiting().count();
        let mut ledger = self.platform.ledger();
        ledger.check(Invariant::P3, waiting == 0, || {
            format!("{waiting} evicted tasks did not resume")
        });
        drop(ledger);
        self.progress.set_message("stopping processes");
        let complete = self.processes.stop_all();
        let mut ledger = self.platform.ledger();
        ledger.check(Invariant::P9, complete, || {
            "the planned stop of a process was not complete".into()
        });
        self.report.submitted = self.jobs.submitted();
        self.report.seconds = self.start.elapsed().as_secs_f64();
        self.report.set_results(outcomes, &ledger);
        drop(ledger);
        Ok(self.report)
    }
}

fn sleep_millis(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// Load generator that runs on a thread of its own.
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
            .wrap_err("failed to start the runtime of the load generator")?;
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
            .map_err(|_| eyre!("the load generator panicked"))?;
        Ok(self.load.take_stats())
    }
}
