//! Scheduling scenarios in a small test language. Each file in
//! `scenarios/shard` is one scenario; `REWRITE=1` rewrites the expected results.
//! The oracle checks the invariants after each command, and at the end of each
//! file all accepted work has to have ended.
//!
//! The deployment has the failure domains a and b with one shard and three
//! scheduler processes each (a0, a1, a2, b0, b1, b2) and workers w0, w1, ...
//! of 4 cores and 8 GiB for tasks.
//!
//! - `setup [policy=first-fit] [workers=N] [services]`: workers in each domain,
//!   with an endpoint of a service on each one
//! - `serve s=N disturbed-by=J per-core=MS`: advances the time while the service's latency
//!   on each worker is 20 ms plus this much for each core that tasks of the job may use
//! - `submit job=J [tasks=N] [cpu=N] [memory=MIB] [declared=SECONDS] [urgent]
//!   [reclaimable] [uses-cpu=N] [uses-memory=MIB] [runs=SECONDS] [fails]`; without
//!   `uses-memory`, each task uses three quarters of the declared memory
//! - `jobs n=N`, `cancel job=J`, `cancel-jobs n=N`: many jobs j1000, j1001, ...
//! - `finish`: all running tasks succeed; `checkpoint`: all running tasks write a checkpoint
//! - `run s=N` or `run ms=N`: advances the time
//! - `domain name=D do=(out|in)`, `race`: two operators change two domains at once
//! - `store do=(down|up|refuse|lose-answer|lose-request|delay|deliver) [n=N]`
//! - `worker name=W do=(restart|unreachable|reachable|failing|working|leaving|staying|dead)`
//! - `link process=P worker=W do=(cut|heal)`
//! - `process name=P do=(pause|resume|crash|vanish|take-over|stop|no-config|slow-reads|config) [n=MS]`
//! - `offers do=(drop|lose-answer|delay|duplicate) [n=N]`, `deliver-offers`
//! - `tasks`, `places`, `answers`, `records`, `why job=J [task=N]`, `numbers`
//! - `settle`: ends all faults and lets all running tasks succeed until all accepted work has ended

use std::fmt::Write;

use datadriven::{TestCase, walk};
use indexmap::{IndexMap, IndexSet};
use jujubelb::config::{Config, Endpoint, Service};
use jujubelb::ctl::explain::{chains, sentence};
use jujubelb::model::{
    Bytes, JobName, Priority, Record, RecordId, Resources, Span, Subject, WorkerName,
};
use jujubelb::place::LatencyReport;
use jujubelb::shard::{Input, Owner};
use jujubelb::worker::Phase;

use super::support::ops::{COMPLETION_TIMEOUT, Op};
use super::support::policy::BasePolicy;
use super::support::store::WriteFault;
use super::support::worker::{FakeWorker, TaskBehaviour};
use super::support::world::{InjectedBug, MessageFault, World, job};

/// Most tasks on a worker that `places` lists by name; more are only counted.
const MAX_LISTED_TASKS: usize = 6;

/// Service whose endpoints run on the same hosts as the workers.
const SERVICE: &str = "booking";

struct ScenarioRunner {
    world: World,
    shown: IndexSet<RecordId>,
    text: String,
}

#[test]
fn shard_scenarios() {
    walk(
        concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios/shard"),
        |file| {
            let mut runner = ScenarioRunner::new(2, BasePolicy::Place);
            file.run(|case| runner.run(case));
            let left = runner.world.oracle.unfinished();
            assert!(left.is_empty(), "{}: left {left:?}", file.filename);
        },
    );
}

impl ScenarioRunner {
    fn new(workers: usize, base: BasePolicy) -> Self {
        let mut world = World::with_workers(InjectedBug::None, workers, base);
        world.advance(Span::from_secs(2));
        Self {
            world,
            shown: IndexSet::new(),
            text: String::new(),
        }
    }

    fn run(&mut self, case: &mut TestCase) -> String {
        let name = text(case, "name");
        let what = text(case, "do");
        let n = arg(case, "n", 1_usize);
        match case.directive.as_str() {
            "setup" => self.setup(case),
            "submit" => self.submit(case),
            "jobs" => (0..n).for_each(|i| self.world.submit(job(&job_name(i), 1, 1_000))),
            "cancel" => self.world.cancel(&text(case, "job").as_str().into()),
            "cancel-jobs" => (0..n).for_each(|i| self.world.cancel(&job_name(i).as_str().into())),
            "finish" => self.finish(),
            "checkpoint" => self.checkpoint(),
            "serve" => {
                let per_core = arg(case, "per-core", 0);
                self.serve(arg(case, "s", 0), &text(case, "disturbed-by"), per_core);
            }
            "run" => {
                let span = Span::from_millis(arg(case, "s", 0) * 1_000 + arg(case, "ms", 0));
                self.world.advance(span);
            }
            "domain" => self.domain(&name, &what),
            "race" => {
                self.domain("a", "out");
                self.domain("b", "out");
                self.domain("b", "in");
            }
            "store" => self.store(&what, n),
            "worker" => self.worker(&name, &what),
            "link" => {
                let link = (
                    self.process_at(&text(case, "process")),
                    self.worker_at(&text(case, "worker")),
                );
                match what.as_str() {
                    "cut" => self.world.cut_links.insert(link),
                    _ => self.world.cut_links.shift_remove(&link),
                };
            }
            "process" => self.process(&name, &what, n as u64),
            "offers" => self
                .world
                .offer_faults
                .extend(vec![message_fault(&what); n]),
            "deliver-offers" => self.world.deliver_delayed(),
            "tasks" => self.tasks(),
            "places" => self.places(),
            "answers" => self.answers(),
            "records" => self.records(),
            "why" => self.why(case),
            "numbers" => self.numbers(),
            "settle" => self.world.run_to_completion(COMPLETION_TIMEOUT),
            other => panic!("unknown directive {other}"),
        }
        case.expect_empty().expect("all arguments are known");
        self.world.observe();
        assert_eq!(self.world.oracle.violations, Vec::<String>::new());
        if self.text.is_empty() {
            self.write_line("ok");
        }
        std::mem::take(&mut self.text)
    }

    fn write_line(&mut self, line: impl std::fmt::Display) {
        writeln!(self.text, "{line}").expect("writing to a string can't fail");
    }

    fn setup(&mut self, case: &mut TestCase) {
        let base = match text(case, "policy").as_str() {
            "first-fit" => BasePolicy::FirstFit,
            _ => BasePolicy::Place,
        };
        *self = Self::new(arg(case, "workers", 2), base);
        if case.take_flag("services").expect("a flag") {
            self.world.configure(|config| {
                let service = service(config);
                config.services.insert(SERVICE.into(), service);
            });
        }
    }

    fn serve(&mut self, seconds: u64, job: &str, per_core: u64) {
        for _ in 0..seconds {
            self.world.advance(Span::from_secs(1));
            for report in self.latencies(job, per_core) {
                for shard in ["a", "b"] {
                    let owner = self.world.owner_of(&shard.into());
                    if let Some(p) = owner {
                        self.world.send_input(p, Input::Latency(report.clone()));
                    }
                }
            }
        }
    }

    fn latencies(&self, job: &str, per_core: u64) -> Vec<LatencyReport> {
        let workers = self.world.workers.iter();
        let report = |(worker, _): &(FakeWorker, Resources)| {
            let disturbing = worker.running().filter(|r| r.task.job.as_str() == job);
            let cpu: u64 = disturbing.map(|r| r.limit.cpu.0).sum();
            LatencyReport {
                service: SERVICE.into(),
                worker: worker.name.clone(),
                mean: Span::from_micros(20_000 + per_core * cpu),
                count: 200,
                load: 500,
                age: Span::from_secs(1),
            }
        };
        workers.map(report).collect()
    }

    fn submit(&mut self, case: &mut TestCase) {
        let name = text(case, "job");
        let cpu = arg(case, "cpu", 1_000);
        let mut spec = job(&name, arg(case, "tasks", 1), cpu);
        let memory = arg(case, "memory", 1_024_u64);
        spec.task.size.memory = Bytes::from_mib(memory);
        // A separate class per job, so that the sizes learned for one job affect only that job.
        spec.task.class = name.as_str().into();
        let declared: Option<u64> = case.try_take_arg("declared").expect("seconds");
        spec.task.duration = declared.map(Span::from_secs);
        if case.take_flag("urgent").expect("a flag") {
            spec.task.priority = Priority::Urgent;
        }
        spec.task.reclaimable = case.take_flag("reclaimable").expect("a flag");
        let uses_cpu: u64 = arg(case, "uses-cpu", cpu);
        let uses_memory: u64 = arg(case, "uses-memory", memory * 3 / 4);
        let runs: Option<u64> = case.try_take_arg("runs").expect("seconds");
        let fails = case.take_flag("fails").expect("a flag");
        let phase = if fails {
            Phase::Failed
        } else {
            Phase::Succeeded
        };
        let behaviour = TaskBehaviour {
            used: Some(Resources::new(uses_cpu, uses_memory << 20, 0)),
            end: runs.map(|s| (Span::from_secs(s), phase)),
        };
        for (worker, _) in &mut self.world.workers {
            worker.behaviours.insert(spec.name.clone(), behaviour);
        }
        self.world.submit(spec);
    }

    fn finish(&mut self) {
        for (worker, _) in &mut self.world.workers {
            while worker.finish(0, Phase::Succeeded).is_some() {}
        }
    }

    fn checkpoint(&mut self) {
        for (worker, _) in &mut self.world.workers {
            (0..worker.running().count()).for_each(|n| worker.checkpoint(n));
        }
    }

    fn domain(&mut self, name: &str, what: &str) {
        let shard = usize::from(name == "b");
        self.world.set_out(shard, what == "out");
    }

    fn store(&mut self, what: &str, n: usize) {
        let store = &self.world.store;
        match what {
            "down" => store.set_down(true),
            "up" => store.set_down(false),
            "refuse" => store.fail_writes(vec![WriteFault::Refuse; n]),
            "lose-answer" => store.fail_writes(vec![WriteFault::LoseReply; n]),
            "lose-request" => store.fail_writes(vec![WriteFault::LoseRequest; n]),
            "delay" => store.fail_writes(vec![WriteFault::Delay; n]),
            "deliver" => store.deliver_delayed(),
            other => panic!("unknown store event {other}"),
        }
    }

    fn worker_at(&self, name: &str) -> usize {
        let mut workers = self.world.workers.iter();
        let at = workers.position(|(w, _)| w.name.as_str() == name);
        at.expect("a known worker")
    }

    fn worker(&mut self, name: &str, what: &str) {
        let at = self.worker_at(name);
        let worker = &mut self.world.workers[at].0;
        match what {
            "restart" => worker.restart(),
            "unreachable" => worker.unreachable = true,
            "reachable" => worker.unreachable = false,
            "failing" => worker.fails_all = true,
            "working" => worker.fails_all = false,
            "leaving" => worker.leaving = true,
            "staying" => worker.leaving = false,
            "dead" => self.world.apply(&Op::ConfirmDead(at)),
            other => panic!("unknown worker event {other}"),
        }
    }

    fn process_at(&self, name: &str) -> usize {
        let mut processes = self.world.processes.iter();
        let at = processes.position(|p| p.node.as_str() == name);
        at.expect("a known process")
    }

    fn process(&mut self, name: &str, what: &str, n: u64) {
        let p = self.process_at(name);
        match what {
            "pause" => self.world.pause(p, true),
            "resume" => self.world.resume(p),
            "crash" => self.world.crash(p, false),
            "vanish" => self.world.crash(p, true),
            "take-over" => self.world.take_over(p),
            "stop" => self.world.send_input(p, Input::Stop),
            "slow-reads" => self.world.processes[p].config_lag = Span::from_millis(n),
            "no-config" => self.world.processes[p].config_unreadable = true,
            "config" => {
                self.world.processes[p].config_unreadable = false;
                self.world.processes[p].config_lag = Span::ZERO;
            }
            other => panic!("unknown process event {other}"),
        }
    }

    fn owners(
        &self,
    ) -> impl Iterator<Item = (&str, &Owner<super::support::policy::ScriptedPolicy>)> {
        let processes = self.world.processes.iter().filter(|p| !p.paused);
        processes.filter_map(|p| Some((p.node.as_str(), p.owner.as_ref()?)))
    }

    /// Writes the number of tasks of each owner by state.
    fn tasks(&mut self) {
        let mut lines = Vec::new();
        for (node, owner) in self.owners() {
            let mut states = IndexMap::<String, usize>::new();
            for task in owner.tasks() {
                *states.entry(task.state).or_default() += 1;
            }
            states.sort_keys();
            let states: Vec<_> = states.iter().map(|(s, n)| format!("{n} {s}")).collect();
            let states = match states.is_empty() {
                true => "no tasks".to_owned(),
                false => states.join(", "),
            };
            lines.push(format!("{node}: {states}"));
        }
        lines.into_iter().for_each(|line| self.write_line(line));
    }

    /// Writes the attempts that the workers actually run.
    fn places(&mut self) {
        let mut lines = Vec::new();
        for (worker, _) in &self.world.workers {
            let mut tasks: Vec<_> = worker
                .running()
                .map(|r| format!("{}#{}", r.task, r.attempt))
                .collect();
            tasks.sort();
            let list = match tasks.len() {
                0 => continue,
                n if n > MAX_LISTED_TASKS => format!("{n} tasks"),
                _ => tasks.join(", "),
            };
            lines.push(format!("{}: {list}", worker.name));
        }
        if lines.is_empty() {
            lines.push("nothing runs".into());
        }
        lines.into_iter().for_each(|line| self.write_line(line));
    }

    /// Writes the replies to submissions and cancellations since the last call.
    fn answers(&mut self) {
        let submitted = std::mem::take(&mut self.world.submit_codes);
        let cancelled = std::mem::take(&mut self.world.cancel_codes);
        let mut counts = IndexMap::<String, (JobName, usize)>::new();
        let submitted = submitted
            .into_iter()
            .map(|(job, code)| ("submit", job, code));
        let cancelled = cancelled
            .into_iter()
            .map(|(job, code)| ("cancel", job, code));
        for (what, job, code) in submitted.chain(cancelled) {
            let entry = counts.entry(format!("{what}: {code}")).or_insert((job, 0));
            entry.1 += 1;
        }
        for (answer, (job, n)) in counts {
            match n {
                1 => self.write_line(format!("{job}: {answer}")),
                _ => self.write_line(format!("{n} jobs: {answer}")),
            }
        }
    }

    fn all_records(&self) -> IndexMap<RecordId, Record> {
        let now = self.world.now;
        let records = self
            .owners()
            .flat_map(|(_, owner)| owner.records(now, None, None));
        let mut records: IndexMap<_, _> = records.map(|r| (r.id.clone(), r)).collect();
        records.sort_by(|_, a, _, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
        records
    }

    /// Writes the new decision records as sentences. Of similar records only the
    /// first is written, with the number of the others.
    fn records(&mut self) {
        let records = self.all_records();
        let mut groups = IndexMap::<String, (String, usize)>::new();
        for (id, record) in records {
            if !self.shown.insert(id) {
                continue;
            }
            let subject = match &record.subject {
                Subject::Task(task) => format!("task of {}", task.job),
                other => other.to_string(),
            };
            let key = format!("{subject} {} {}", record.action, record.cause);
            let group = groups.entry(key).or_insert_with(|| (sentence(&record), 0));
            group.1 += 1;
        }
        for (first, n) in groups.into_values() {
            match n {
                1 => self.write_line(first),
                _ => self.write_line(format!("{first} (and {} like it)", n - 1)),
            }
        }
    }

    /// Writes the newest chain of decisions about a subject, from the root cause on.
    fn why(&mut self, case: &mut TestCase) {
        let records: Vec<_> = self.all_records().into_values().collect();
        let job = text(case, "job");
        let task: Option<u32> = case.try_take_arg("task").expect("a number");
        let subject = task.map_or(format!("job {job}"), |task| format!("{job}/{task}"));
        let Some(chain) = chains(&records, &subject).pop() else {
            return self.write_line("no decision");
        };
        for step in chain.steps {
            self.write_line(sentence(&step));
        }
    }

    fn numbers(&mut self) {
        let oracle = &self.world.oracle;
        let starts = oracle.starts.len();
        let resumed = oracle.starts.iter().filter(|(_, resumed)| *resumed).count();
        let second = Span::from_secs(1);
        let times = || oracle.starts.iter().map(|(at, _)| *at);
        let within = |from| {
            times()
                .filter(|at| *at >= from && *at < from + second)
                .count()
        };
        let busiest = times().map(within).max().unwrap_or_default();
        let done = oracle.completed.len();
        let left = oracle.unfinished().len();
        self.write_line(format!(
            "{starts} starts ({resumed} from a checkpoint, at most {busiest} in one second), \
             {done} tasks completed, {left} accepted and not ended, no rule broken"
        ));
    }
}

/// Returns a service with an endpoint on each worker.
fn service(config: &Config) -> Service {
    let endpoint = |worker: &WorkerName| Endpoint {
        domain: config.domain_of(worker).expect("a declared worker").clone(),
        address: ([127, 0, 0, 1], 1).into(),
        worker: Some(worker.clone()),
        slots: 8,
        connections: 64,
        leaving: false,
    };
    let endpoints = config.workers.keys().map(|worker| {
        let name = format!("e-{worker}");
        (name.as_str().into(), endpoint(worker))
    });
    Service {
        deadline: Span::from_millis(200),
        body: Bytes::from_mib(1),
        queue: 100,
        endpoints: endpoints.collect(),
    }
}

/// Name of the n-th job of `jobs` and `cancel-jobs`.
fn job_name(n: usize) -> String {
    format!("j{}", 1_000 + n)
}

fn message_fault(name: &str) -> MessageFault {
    match name {
        "drop" => MessageFault::Drop,
        "lose-answer" => MessageFault::LoseReply,
        "delay" => MessageFault::Delay,
        "duplicate" => MessageFault::Duplicate,
        other => panic!("unknown fault {other}"),
    }
}

fn text(case: &mut TestCase, name: &str) -> String {
    arg(case, name, String::new())
}

fn arg<T>(case: &mut TestCase, name: &str, default: T) -> T
where
    T: std::str::FromStr<Err: std::error::Error + Send + Sync + 'static>,
{
    let value = case.try_take_arg(name).expect("a valid argument");
    value.unwrap_or(default)
}
