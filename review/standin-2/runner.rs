//! Runners: machines that start, run and stop tasks, and register themselves in the store.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};
use crate::json::{Json, quote};
use crate::record::{End, Record};
use crate::store::Store;

/// Bounds that the settings name.
pub const HOLD_MAX_MS: u64 = 6_000;
pub const STOP_MS: u64 = 400;
pub const GANG_MS: u64 = 3_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// A step of a job, as its client has sent it.
#[derive(Debug, Clone, Default)]
pub struct Step {
    pub count: u32,
    pub cpu: u64,
    pub mem_mb: u64,
    pub estimate_ms: u64,
    pub after: Vec<usize>,
    pub gang: bool,
    pub long_running: bool,
    pub checkpoints: bool,
    pub fills: bool,
    pub max_per_server: u32,
    pub requirements: String,
    /// Real duration of a task as a share of the estimate, from and to.
    pub spread: (f64, f64),
    /// Share of the runs that fail.
    pub fails: f64,
}

/// A job, as its client has sent it.
#[derive(Debug, Clone)]
pub struct Job {
    pub spec: String,
    pub steps: Vec<Step>,
    /// First time, interval and number of its occurrences.
    pub schedule: Option<(u64, u64, u32)>,
    pub max_attempts: usize,
}

/// The jobs that clients have sent, by their identifier.
#[derive(Default)]
pub struct Jobs(pub Mutex<HashMap<String, Arc<Job>>>);

impl Jobs {
    pub fn get(&self, task: &str) -> Option<Arc<Job>> {
        let id = task.split('.').next()?;
        lock(&self.0).get(id).cloned()
    }
}

pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

/// Occurrence, step and index of a task's name.
pub fn parts(task: &str) -> Option<(u32, usize, u32)> {
    let mut p = task.split('.').skip(1);
    Some((
        p.next()?.parse().ok()?,
        p.next()?.parse().ok()?,
        p.next()?.parse().ok()?,
    ))
}

/// A number from 0 to 1 that depends on a text only.
pub fn chance(text: &str) -> f64 {
    let mut h: u64 = 0xcbf2_9ce4_8422_2325;
    for b in text.bytes() {
        h = (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    }
    h ^= h >> 31;
    h = h.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (h >> 11) as f64 / (1u64 << 53) as f64
}

struct Run {
    task: String,
    run: u64,
    began: Instant,
    /// Work that is left, in milliseconds; `None` if the task lasts.
    work: Option<f64>,
    /// When all members of its gang were there; at once for other tasks.
    working: Option<Instant>,
    fails: bool,
    cpu: u64,
    mem: u64,
    stop_at: Option<Instant>,
    saved: String,
    pace: u64,
    done_ms: f64,
    updated: Instant,
}

/// One life of a runner.
pub struct Life {
    pub born: u64,
    began: Instant,
    token: u64,
    lease_ms: Option<f64>,
    runs: Vec<Run>,
    ended: HashMap<String, u64>,
    finished: VecDeque<(u64, String, u64, End, String)>,
    last: u64,
    acked: u64,
    beat: Instant,
    sequence: u64,
}

pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem: u64,
    pub service: String,
    pub guards: bool,
    /// `None` while it is down.
    pub life: Mutex<Option<Life>>,
    changed: Condvar,
    pub jobs: Arc<Jobs>,
    pub record: Arc<Record>,
}

impl Life {
    fn clock(&self) -> f64 {
        1_000.0 + self.began.elapsed().as_secs_f64() * 1e3
    }

    fn extend(&mut self, deadline: u64) {
        let latest = self.clock() + HOLD_MAX_MS as f64;
        let wanted = (deadline as f64).min(latest);
        self.lease_ms = Some(self.lease_ms.map_or(wanted, |l| l.max(wanted)));
    }
}

impl Runner {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        id: String,
        address: SocketAddr,
        zone: &str,
        labels: &[&str],
        cpu: u64,
        jobs: &Arc<Jobs>,
        record: &Arc<Record>,
    ) -> Arc<Runner> {
        Arc::new(Runner {
            id,
            address,
            zone: zone.to_owned(),
            labels: labels.iter().map(|l| (*l).to_owned()).collect(),
            cpu,
            mem: 256_000,
            service: "svc".to_owned(),
            guards: true,
            life: Mutex::new(None),
            changed: Condvar::new(),
            jobs: jobs.clone(),
            record: record.clone(),
        })
    }

    /// Starts a new life.
    pub fn start(&self, store: &Store) {
        let born = crate::wall_ms();
        let now = Instant::now();
        let life = Life {
            born,
            began: now,
            token: 0,
            lease_ms: None,
            runs: Vec::new(),
            ended: HashMap::new(),
            finished: VecDeque::new(),
            last: 0,
            acked: 0,
            beat: now,
            sequence: 0,
        };
        *lock(&self.life) = Some(life);
        self.record.life(&self.id, born);
        self.beat(store);
    }

    fn beat(&self, store: &Store) {
        let text = {
            let mut life = lock(&self.life);
            let Some(life) = life.as_mut() else { return };
            life.beat = Instant::now();
            life.sequence += 1;
            let labels: Vec<String> = self.labels.iter().map(|l| quote(l)).collect();
            format!(
                "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"capacity\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"room\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}},\"labels\":[{}],\"clock_ms\":{},\"sequence\":{},\"born\":{}}}",
                quote(&self.service),
                self.address,
                quote(&self.zone),
                self.cpu,
                self.mem,
                labels.join(","),
                life.clock() as u64,
                life.sequence,
                life.born
            )
        };
        store.write(&format!("servers/{}", self.id), Some(&text));
    }

    /// Registers again if it is time.
    pub fn keep_registered(&self, store: &Store) {
        let due = lock(&self.life)
            .as_ref()
            .is_some_and(|l| l.beat.elapsed() >= HEARTBEAT);
        if due {
            self.beat(store);
        }
    }

    /// The runs that are here, of a gang's step and run.
    fn members(&self, prefix: &str, run: u64) -> usize {
        let life = lock(&self.life);
        let runs = life.iter().flat_map(|l| &l.runs);
        runs.filter(|r| r.run == run && r.task.starts_with(prefix))
            .count()
    }

    fn set_working(&self, prefix: &str, run: u64) {
        for r in lock(&self.life).iter_mut().flat_map(|l| &mut l.runs) {
            if r.run == run && r.task.starts_with(prefix) {
                r.working = Some(Instant::now());
                r.updated = Instant::now();
            }
        }
    }

    fn end_members(&self, prefix: &str, run: u64, how: End) {
        let mut life = lock(&self.life);
        let Some(life) = life.as_mut() else { return };
        let mut i = 0;
        while i < life.runs.len() {
            if life.runs[i].run == run && life.runs[i].task.starts_with(prefix) {
                let r = life.runs.remove(i);
                self.end(life, r, how);
            } else {
                i += 1;
            }
        }
        self.changed.notify_all();
    }

    fn end(&self, life: &mut Life, r: Run, how: End) {
        let e = life.ended.entry(r.task.clone()).or_default();
        *e = r.run.max(*e);
        life.last += 1;
        self.record
            .end(&self.id, life.born, life.last, &r.task, r.run, how);
        life.finished
            .push_back((life.last, r.task, r.run, how, r.saved));
    }

    /// Ends what is due. Returns the gangs of which a member has ended, and those that wait.
    pub fn tick(&self) -> (Vec<(String, u64, End)>, Vec<(String, u64, usize, Instant)>) {
        let mut broken = Vec::new();
        let mut waiting = Vec::new();
        let mut guard = lock(&self.life);
        let Some(life) = guard.as_mut() else {
            return (broken, waiting);
        };
        let lapsed = life.lease_ms.is_some_and(|l| l <= life.clock());
        if lapsed {
            life.lease_ms = None;
            self.record.lapse(&self.id, life.born);
        }
        let now = Instant::now();
        let mut i = 0;
        let mut any = false;
        while i < life.runs.len() {
            let r = &mut life.runs[i];
            if r.working.is_some() {
                r.done_ms += (now - r.updated).as_secs_f64() * 1e3 * r.pace as f64 / 100.0;
                r.updated = now;
            }
            let done = r.work.is_some_and(|w| r.done_ms >= w);
            let how = match (lapsed, r.stop_at.is_some_and(|at| at <= now), done) {
                (true, ..) => Some(End::Lapsed),
                (_, true, _) => Some(End::Stopped),
                (_, _, true) if r.fails => Some(End::Failed),
                (_, _, true) => Some(End::Done),
                _ => None,
            };
            let gang = self.gang(&r.task);
            if let (Some((prefix, count)), None, None) = (&gang, r.working, how) {
                waiting.push((prefix.clone(), r.run, *count, r.began));
            }
            match how {
                Some(how) => {
                    any = true;
                    let r = life.runs.remove(i);
                    if let Some((prefix, _)) = gang {
                        let others = if how == End::Done {
                            End::Done
                        } else {
                            End::Broken
                        };
                        broken.push((prefix, r.run, others));
                    }
                    self.end(life, r, how);
                }
                None => i += 1,
            }
        }
        if any {
            self.changed.notify_all();
        }
        (broken, waiting)
    }

    /// The beginning of the names of a gang's members, and their number.
    fn gang(&self, task: &str) -> Option<(String, usize)> {
        let job = self.jobs.get(task)?;
        let (_, step, _) = parts(task)?;
        let step = job.steps.get(step).filter(|s| s.gang)?;
        let prefix = &task[..task.rfind('.')? + 1];
        Some((prefix.to_owned(), step.count as usize))
    }

    /// Answers a call.
    pub fn serve(&self, request: &Request, caller: &str) -> Reply {
        let mut guard = lock(&self.life);
        let Some(life) = guard.as_mut() else {
            return Reply::Close;
        };
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            return Reply::Answer(421, "{}".into());
        }
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".into());
        };
        let clock = life.clock() as u64;
        let refuse = |why: &str| {
            Reply::Answer(
                409,
                format!("{{\"clock_ms\":{clock},\"reason\":\"{why}\"}}"),
            )
        };
        let token = body.int("fencing_token");
        if token < life.token {
            return refuse("fence");
        }
        life.token = token;
        let (task, run) = (body.text("task").to_owned(), body.int("run"));
        match request.path.as_str() {
            "/run-start" => {
                let deadline = body.int("deadline_ms");
                if deadline as f64 <= life.clock() {
                    return refuse("late");
                }
                life.extend(deadline);
                if life.runs.iter().any(|r| r.task == task && r.run == run) {
                    return Reply::Answer(200, format!("{{\"clock_ms\":{clock}}}"));
                }
                if life.ended.get(&task).is_some_and(|e| run <= *e) {
                    return refuse("old");
                }
                let job = self.jobs.get(&task);
                let step = job
                    .as_ref()
                    .and_then(|j| j.steps.get(parts(&task)?.1))
                    .cloned();
                let step = step.unwrap_or_default();
                let cpu = if step.fills { 0 } else { step.cpu };
                let used = life
                    .runs
                    .iter()
                    .fold((cpu, step.mem_mb), |u, r| (u.0 + r.cpu, u.1 + r.mem));
                let over = used.0 > self.cpu || used.1 > self.mem;
                if over && self.guards {
                    return refuse("room");
                }
                let (low, high) = step.spread;
                let share = low + (high - low) * chance(&format!("{task}/{run}"));
                let work = (!step.long_running).then_some(step.estimate_ms as f64 * share);
                let now = Instant::now();
                self.record.start(
                    &self.id,
                    life.born,
                    &task,
                    run,
                    body.text("spec"),
                    caller,
                    over,
                );
                life.runs.push(Run {
                    fails: chance(&format!("fail {task}/{run}")) < step.fails,
                    task,
                    run,
                    began: now,
                    work,
                    working: (!step.gang).then_some(now),
                    cpu,
                    mem: step.mem_mb,
                    stop_at: None,
                    saved: body.text("checkpoint").to_owned(),
                    pace: 100,
                    done_ms: 0.0,
                    updated: now,
                });
                Reply::Answer(200, format!("{{\"clock_ms\":{clock}}}"))
            }
            "/run-stop" => {
                let takes = (STOP_MS as f64 * 0.8 * chance(&task)) as u64;
                let at = Instant::now() + Duration::from_millis(takes);
                match life
                    .runs
                    .iter_mut()
                    .find(|r| r.task == task && r.run == run)
                {
                    Some(r) => {
                        r.stop_at.get_or_insert(at);
                    }
                    None => {
                        let e = life.ended.entry(task).or_default();
                        *e = run.max(*e);
                    }
                }
                Reply::Answer(200, format!("{{\"clock_ms\":{clock}}}"))
            }
            "/pace" => {
                if let Some(r) = life
                    .runs
                    .iter_mut()
                    .find(|r| r.task == task && r.run == run)
                {
                    r.pace = body.int("percent").min(100);
                }
                Reply::Answer(200, format!("{{\"clock_ms\":{clock}}}"))
            }
            "/hold" => {
                if body.num("deadline_ms").is_some() {
                    life.extend(body.int("deadline_ms"));
                }
                let acked = body.int("acknowledged");
                if acked > life.acked {
                    life.acked = acked;
                    life.finished.retain(|f| f.0 > acked);
                    self.record.noted(&self.id, life.born, acked, caller);
                }
                let until = Instant::now() + Duration::from_millis(body.int("wait_ms").min(2_000));
                let born = life.born;
                loop {
                    let Some(life) = guard.as_ref().filter(|l| l.born == born) else {
                        return Reply::Close;
                    };
                    let left = until.saturating_duration_since(Instant::now());
                    if !life.finished.is_empty() || left.is_zero() {
                        return Reply::Answer(200, self.listing(life));
                    }
                    guard = match self
                        .changed
                        .wait_timeout(guard, left.min(Duration::from_millis(200)))
                    {
                        Ok((g, _)) => g,
                        Err(e) => e.into_inner().0,
                    };
                }
            }
            _ => Reply::Answer(404, "{}".into()),
        }
    }

    fn listing(&self, life: &Life) -> String {
        let running = life.runs.iter().map(|r| {
            let percent = match r.work {
                Some(w) => (100.0 * r.done_ms / w.max(1.0)).min(99.0) as u64,
                None => 100,
            };
            format!(
                "[\"{}\",{},{},{percent},{}]",
                r.task,
                r.run,
                quote(&r.saved),
                r.cpu
            )
        });
        let finished = life
            .finished
            .iter()
            .take(500)
            .map(|(n, task, run, how, saved)| {
                format!("[{n},\"{task}\",{run},\"{}\",{}]", how.word(), quote(saved))
            });
        format!(
            "{{\"clock_ms\":{},\"running\":[{}],\"finished\":[{}],\"born\":{}}}",
            life.clock() as u64,
            running.collect::<Vec<_>>().join(","),
            finished.collect::<Vec<_>>().join(","),
            life.born
        )
    }
}

/// Lets all runners go on: ends what is due, lets complete gangs work and ends broken ones.
pub fn tick_all(runners: &[Arc<Runner>]) {
    let mut waiting: HashMap<(String, u64), (usize, Instant)> = HashMap::new();
    for runner in runners {
        let (broken, gangs) = runner.tick();
        for (prefix, run, how) in broken {
            for other in runners {
                other.end_members(&prefix, run, how);
            }
        }
        for (prefix, run, count, began) in gangs {
            let known = waiting.entry((prefix, run)).or_insert((count, began));
            known.1 = known.1.min(began);
        }
    }
    for ((prefix, run), (count, began)) in waiting {
        let there: usize = runners.iter().map(|r| r.members(&prefix, run)).sum();
        if there == count {
            for runner in runners {
                runner.set_working(&prefix, run);
            }
        } else if began.elapsed() > Duration::from_millis(GANG_MS) {
            for runner in runners {
                runner.end_members(&prefix, run, End::Alone);
            }
        }
    }
}
