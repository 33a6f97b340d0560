//! What was sent, answered and run, and the rules that are judged from it.

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::runner::{Job, Jobs, lock, parts};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Done,
    Failed,
    Stopped,
    Lapsed,
    Broken,
    Alone,
}

impl End {
    pub fn word(self) -> &'static str {
        match self {
            End::Done => "done",
            End::Failed => "failed",
            End::Stopped => "stopped",
            End::Lapsed => "lapsed",
            End::Broken => "broken",
            End::Alone => "alone",
        }
    }
}

/// One run of a task. Times are in milliseconds from the start of the script.
#[derive(Debug, Clone)]
pub struct RunLog {
    pub task: String,
    pub run: u64,
    pub runner: String,
    pub began: f64,
    pub end: Option<(f64, End)>,
    /// Its number in the runner's list.
    pub number: u64,
    /// When `acknowledged` reached it, unless the lease had lapsed before.
    pub noted: Option<f64>,
    lapsed: bool,
    pub caller: String,
}

#[derive(Default)]
struct Content {
    runs: Vec<RunLog>,
    /// Runs that are at work, by runner, life, task and run.
    open: HashMap<(String, u64, String, u64), usize>,
    /// Ends that are not taken note of, by runner and life.
    listed: HashMap<(String, u64), Vec<usize>>,
    /// What clients were shown: job, state, time.
    shown: Vec<(String, String, f64)>,
    breaks: Vec<String>,
    /// When the cancelling of a job was acknowledged.
    cancelled: HashMap<String, f64>,
}

/// Bounds that the settings name.
const CANCEL_MS: f64 = 3_000.0;
const STOP_MS: f64 = 400.0;

pub struct Record {
    began: Instant,
    file: Mutex<BufWriter<File>>,
    content: Mutex<Content>,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Arc<Record>> {
        Ok(Arc::new(Record {
            began: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
            content: Mutex::default(),
        }))
    }

    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    pub fn say(&self, text: &str) {
        let _ = writeln!(lock(&self.file), "{:9.1} ms  {text}", self.now());
    }

    pub fn flush(&self) {
        let _ = lock(&self.file).flush();
    }

    pub fn life(&self, runner: &str, born: u64) {
        self.say(&format!("runner {runner} is up, born {born}"));
    }

    pub fn lapse(&self, runner: &str, born: u64) {
        self.say(&format!("the lease of {runner} lapses"));
        let mut c = lock(&self.content);
        for i in c
            .listed
            .remove(&(runner.to_owned(), born))
            .unwrap_or_default()
        {
            c.runs[i].lapsed = true;
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub fn start(
        &self,
        runner: &str,
        born: u64,
        task: &str,
        run: u64,
        spec: &str,
        caller: &str,
        over: bool,
    ) {
        self.say(&format!(
            "start  {task} run {run} on {runner}, sent by {caller}, spec {spec}"
        ));
        let began = self.now();
        let mut c = lock(&self.content);
        if over {
            c.breaks.push(format!(
                "LIMIT: {task} run {run} is over the room of {runner}"
            ));
        }
        let i = c.runs.len();
        let key = (runner.to_owned(), born, task.to_owned(), run);
        c.open.insert(key, i);
        c.runs.push(RunLog {
            task: task.to_owned(),
            run,
            runner: runner.to_owned(),
            began,
            end: None,
            number: 0,
            noted: None,
            lapsed: false,
            caller: caller.to_owned(),
        });
    }

    pub fn end(&self, runner: &str, born: u64, number: u64, task: &str, run: u64, how: End) {
        self.say(&format!(
            "end    {task} run {run} on {runner}: {} (number {number})",
            how.word()
        ));
        let now = self.now();
        let mut c = lock(&self.content);
        let key = (runner.to_owned(), born, task.to_owned(), run);
        if let Some(i) = c.open.remove(&key) {
            c.runs[i].end = Some((now, how));
            c.runs[i].number = number;
            c.listed
                .entry((runner.to_owned(), born))
                .or_default()
                .push(i);
        }
    }

    pub fn noted(&self, runner: &str, born: u64, number: u64, caller: &str) {
        self.say(&format!(
            "noted  ends up to {number} of {runner}, by {caller}"
        ));
        let now = self.now();
        let mut c = lock(&self.content);
        let listed = c
            .listed
            .remove(&(runner.to_owned(), born))
            .unwrap_or_default();
        let (noted, left): (Vec<usize>, Vec<usize>) = listed
            .into_iter()
            .partition(|i| c.runs[*i].number <= number);
        for i in noted {
            c.runs[i].noted = Some(now);
        }
        c.listed.insert((runner.to_owned(), born), left);
    }

    pub fn shown(&self, job: &str, state: &str) {
        self.say(&format!("shown  {job}: {state}"));
        let at = self.now();
        lock(&self.content)
            .shown
            .push((job.to_owned(), state.to_owned(), at));
    }

    pub fn cancelled(&self, job: &str) {
        let at = self.now();
        lock(&self.content).cancelled.insert(job.to_owned(), at);
    }

    pub fn runs(&self) -> Vec<RunLog> {
        lock(&self.content).runs.clone()
    }

    /// Tasks that last and are away for longer than the rule LOST allows, if all has been calm
    /// since a time: 6 s after the last run, and 4 s and 3 s of calm.
    pub fn absent(&self, job: &str, count: u32, calm: f64) -> Vec<String> {
        let now = self.now();
        let runs = self.runs();
        let mut out = Vec::new();
        for i in 0..count {
            let task = format!("{job}.0.0.{i}");
            let mut runs: Vec<&RunLog> = runs.iter().filter(|r| r.task == task).collect();
            runs.sort_by(|a, b| a.began.total_cmp(&b.began));
            for (k, r) in runs.iter().enumerate() {
                let Some((end, how)) = r.end else { continue };
                let next = runs.get(k + 1).map_or(now, |n| n.began);
                if next > (end + 6_000.0).max(calm + 4_000.0) + 3_000.0 {
                    out.push(format!(
                        "LOST: {task} is to last, ended {} at {end:.0} ms and doesn't run until {next:.0} ms; calm since {calm:.0} ms",
                        how.word()
                    ));
                }
            }
        }
        out
    }

    /// Judges the rules. Returns one line for each that was broken.
    pub fn judge(&self, jobs: &Jobs) -> Vec<String> {
        let c = lock(&self.content);
        let mut out = c.breaks.clone();
        let jobs = lock(&jobs.0).clone();
        let mut tasks: HashMap<&str, Vec<&RunLog>> = HashMap::new();
        for run in &c.runs {
            tasks.entry(&run.task).or_default().push(run);
        }
        let job_of = |task: &str| task.split('.').next().and_then(|id| jobs.get(id));
        for (task, runs) in &tasks {
            let Some(job) = job_of(task) else {
                out.push(format!("UNASKED: {task} of no job"));
                continue;
            };
            let Some((k, step, _)) = parts(task) else {
                continue;
            };
            twice(task, runs, &job.steps[step], &mut out);
            let late =
                |r: &&&RunLog| r.end.is_some_and(|(_, e)| e == End::Failed) && r.noted.is_some();
            let mut fails: Vec<f64> = runs
                .iter()
                .filter(late)
                .filter_map(|r| Some(r.end?.0))
                .collect();
            fails.sort_by(f64::total_cmp);
            if let Some(at) = fails.get(job.max_attempts - 1)
                && !job.steps[step].long_running
                && !job.steps[step].gang
                && runs.iter().any(|r| r.began > *at)
            {
                out.push(format!(
                    "BUDGET: {task} starts after {} failed runs",
                    job.max_attempts
                ));
            }
            for r in runs {
                order(task, k, step, r, job, &tasks, &mut out);
            }
        }
        let now = self.now();
        for (id, at) in &c.cancelled {
            let of = |r: &&RunLog| r.task.starts_with(id.as_str());
            let left = |r: &&RunLog| r.end.map_or(now, |(t, _)| t) > at + CANCEL_MS + STOP_MS;
            let long: Vec<&RunLog> = c.runs.iter().filter(of).filter(left).collect();
            let started = c
                .runs
                .iter()
                .filter(of)
                .filter(|r| r.began > at + CANCEL_MS)
                .count();
            if !long.is_empty() || started > 0 {
                let last = long
                    .iter()
                    .map(|r| r.end.map_or(now, |(t, _)| t))
                    .fold(0.0, f64::max);
                let lapsed = long
                    .iter()
                    .filter(|r| matches!(r.end, Some((_, End::Lapsed))))
                    .count();
                out.push(format!(
                    "UNASKED: {id}: its cancelling was acknowledged at {at:.0} ms; {} runs go on {:.0} ms later, the last one until {last:.0} ms, {lapsed} of them until a lease lapses; {started} start later than {CANCEL_MS:.0} ms after it",
                    long.len(),
                    CANCEL_MS + STOP_MS
                ));
            }
        }
        for (id, state, at) in &c.shown {
            let Some(job) = jobs.get(id).filter(|_| state == "completed") else {
                continue;
            };
            let missing = missing(id, job, &tasks, *at);
            if !missing.is_empty() {
                out.push(format!(
                    "MIXED: {id} is shown as completed at {at:.0} ms while {} of its tasks haven't ended so: {}",
                    missing.len(),
                    missing[..missing.len().min(12)].join(" ")
                ));
                break;
            }
        }
        out
    }
}

fn has_done(runs: Option<&Vec<&RunLog>>, before: f64) -> bool {
    runs.is_some_and(|runs| {
        runs.iter()
            .any(|r| r.end.is_some_and(|(t, e)| e == End::Done && t <= before))
    })
}

/// Tasks of a job that had no end `done` at a time.
pub fn missing(id: &str, job: &Job, tasks: &HashMap<&str, Vec<&RunLog>>, at: f64) -> Vec<String> {
    let mut out = Vec::new();
    let times = job.schedule.map_or(1, |s| s.2);
    for k in 0..times {
        for (s, step) in job.steps.iter().enumerate() {
            let names: Vec<String> = (0..step.count)
                .map(|i| format!("{id}.{k}.{s}.{i}"))
                .collect();
            let done = |n: &String| has_done(tasks.get(n.as_str()), at);
            if step.gang && names.iter().any(done) {
                continue;
            }
            out.extend(names.into_iter().filter(|n| !done(n)));
        }
    }
    out
}

fn twice(task: &str, runs: &[&RunLog], step: &crate::runner::Step, out: &mut Vec<String>) {
    let line = |r: &RunLog| {
        let end = r.end.map_or("runs on".to_owned(), |(t, e)| {
            format!("{} at {t:.0}", e.word())
        });
        let noted = r
            .noted
            .map_or(String::new(), |t| format!(", noted at {t:.0}"));
        format!(
            "run {} on {} from {:.0} by {}: {end}{noted}",
            r.run, r.runner, r.began, r.caller
        )
    };
    for (i, a) in runs.iter().enumerate() {
        for b in &runs[i + 1..] {
            let (first, second) = if a.began <= b.began { (a, b) } else { (b, a) };
            let overlap = first.end.is_none_or(|(t, _)| t > second.began);
            let after = !step.long_running
                && first.noted.is_some()
                && first
                    .end
                    .is_some_and(|(t, e)| e == End::Done && second.began > t);
            if overlap || after {
                let what = if overlap {
                    "two runs at a time"
                } else {
                    "a start after an end as done that is taken note of"
                };
                out.push(format!(
                    "TWICE: {task}: {what}: {}; {}",
                    line(first),
                    line(second)
                ));
            }
        }
    }
}

fn order(
    task: &str,
    k: u32,
    step: usize,
    r: &RunLog,
    job: &Job,
    tasks: &HashMap<&str, Vec<&RunLog>>,
    out: &mut Vec<String>,
) {
    let id = task.split('.').next().unwrap_or_default();
    for a in &job.steps[step].after {
        let names: Vec<String> = (0..job.steps[*a].count)
            .map(|i| format!("{id}.{k}.{a}.{i}"))
            .collect();
        let done = |n: &String| has_done(tasks.get(n.as_str()), r.began);
        let ready = match job.steps[*a].gang {
            true => names.iter().any(done),
            false => names.iter().all(done),
        };
        if !ready {
            out.push(format!(
                "ORDER: {task} run {} starts before step {a} is done",
                r.run
            ));
        }
    }
}

/// Words of the rules that are broken, each once.
pub fn rules(breaks: &[String]) -> Vec<String> {
    let names: HashSet<&str> = breaks.iter().filter_map(|b| b.split(':').next()).collect();
    let mut names: Vec<String> = names.into_iter().map(str::to_owned).collect();
    names.sort();
    names
}
