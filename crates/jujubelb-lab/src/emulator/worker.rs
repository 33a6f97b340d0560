//! One life of a worker: what runs there, its lease, its fencing token and its list of
//! ends. Pure state; the present time is an argument.

use std::collections::VecDeque;
use std::time::Duration;

use arcstr::ArcStr;
use indexmap::IndexMap;

use super::history::{History, Life, Role, RunEnd, SentJob, TaskName, What};
use super::interference::{Interference, REPORT_WINDOW};

/// Longest lease of what runs on a worker, on most deployments and on some. Leaders ask for no
/// more than the first; only a deadline that is a time on another clock brings the second.
pub(crate) const MAX_LEASE: Duration = Duration::from_secs(6);
pub(crate) const LONGER_MAX_LEASE: Duration = Duration::from_secs(10);

/// Longest time that a stop takes.
pub(crate) const MAX_STOP: Duration = Duration::from_millis(400);

/// Time until an ordered pace takes effect.
const PACE_DELAY: Duration = Duration::from_millis(100);

/// Work after which a new checkpoint is produced.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(1);

/// Most ends that are listed at a time.
const MAX_LISTED_ENDS: usize = 500;

/// Digits of a checkpoint that tell the work done, in milliseconds.
const PROGRESS_DIGITS: usize = 6;

/// What a worker is, apart from its lives.
#[derive(Debug, Clone)]
pub(crate) struct Machine {
    pub(crate) service: ArcStr,
    pub(crate) zone: ArcStr,
    pub(crate) rack: ArcStr,
    /// Capacity in millicores.
    pub(crate) cpu: u64,
    /// Capacity in mebibytes.
    pub(crate) memory: u64,
    /// Whether the worker rejects what does not fit.
    pub(crate) guards_room: bool,
    /// Rate of its clock; workers' clocks may be up to 2 % slow.
    pub(crate) clock_rate: f64,
    /// Longest lease of what runs there; the same on all machines of a deployment.
    pub(crate) max_lease: Duration,
}

/// Why a worker refuses an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub(crate) enum Refusal {
    /// It has seen a higher fencing token.
    Fence,
    /// The run is not higher than one that was stopped or ended there.
    Old,
    /// The order's time is over.
    Late,
    /// The task does not fit.
    Room,
}

/// An order to start a run.
#[derive(Debug, Clone)]
pub(crate) struct StartOrder {
    pub(crate) task: TaskName,
    pub(crate) run: u64,
    pub(crate) payload: ArcStr,
    /// Time on the worker's clock after which the order has no effect.
    pub(crate) deadline_ms: u64,
    pub(crate) token: u64,
    pub(crate) checkpoint: Option<ArcStr>,
    /// Whether the order is carried out later than it arrived.
    pub(crate) late: bool,
    /// Whether the run ends as failed.
    pub(crate) fails: bool,
}

/// A run that is at work.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// Work done until `updated`, with that of earlier runs from which it was resumed.
    worked: Duration,
    updated: Duration,
    /// Speed and interference in percent.
    pace: u64,
    /// A pace that was ordered, and when it takes effect.
    next_pace: Option<(u64, Duration)>,
    /// Work of the whole task; `None` if it lasts.
    work: Option<Duration>,
    /// Declared millicores.
    cpu: u64,
    memory: u64,
    role: Role,
    /// Headroom of a serving task at the times of the last report window.
    headrooms: VecDeque<(Duration, f64)>,
    /// Whether it is over its target because of best-effort tasks.
    disturbed: bool,
    /// Whether it was last recorded to be at pace 0.
    paused: bool,
    checkpoints: bool,
    pub(crate) saved: Option<ArcStr>,
    fails: bool,
    /// When a stop that was ordered takes effect.
    stops_at: Option<Duration>,
}

impl Run {
    fn progress(&self, now: Duration) -> Duration {
        let passed = now.saturating_sub(self.updated);
        self.worked + passed.mul_f64(self.pace as f64 / 100.0)
    }

    /// Lets an ordered pace take effect if it is due.
    fn update_pace(&mut self, now: Duration) {
        if let Some((pace, at)) = self.next_pace.take_if(|(_, at)| *at <= now) {
            self.worked = self.progress(at);
            self.updated = at;
            self.pace = pace;
        }
    }

    /// Millicores counted against the worker's room.
    fn reserved_cpu(&self) -> u64 {
        match self.role.is_best_effort() {
            true => 0,
            false => self.cpu,
        }
    }

    /// Millicores in use.
    fn used_cpu(&self) -> u64 {
        self.cpu * self.pace / 100
    }

    /// Progress in percent; 100 for a task that lasts.
    pub(crate) fn percent(&self, now: Duration) -> u64 {
        match self.work {
            Some(work) if !work.is_zero() => {
                (100.0 * self.progress(now).div_duration_f64(work)).min(99.0) as u64
            }
            _ => 100,
        }
    }
}

/// An end in a worker's list.
#[derive(Debug, Clone)]
pub(crate) struct ListedEnd {
    pub(crate) number: u64,
    pub(crate) task: TaskName,
    pub(crate) run: u64,
    pub(crate) end: RunEnd,
    pub(crate) saved: Option<ArcStr>,
}

/// One life of a worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) life: Life,
    pub(crate) machine: Machine,
    interference: Interference,
    /// Unix time in milliseconds at which this life began.
    pub(crate) born_ms: u64,
    began: Duration,
    /// Reading of its clock when this life began.
    clock_start_ms: u64,
    /// Highest fencing token seen.
    token: u64,
    /// End of the lease on its own clock; `None` if nothing holds one.
    lease_ms: Option<u64>,
    runs: IndexMap<(TaskName, u64), Run>,
    /// Highest run of each task that was stopped or ended here.
    ended: IndexMap<TaskName, u64>,
    finished: VecDeque<ListedEnd>,
    last_number: u64,
    acknowledged: u64,
}

impl Worker {
    pub(crate) fn new(
        life: Life,
        machine: Machine,
        interference: Interference,
        born_ms: u64,
        clock_start_ms: u64,
        now: Duration,
    ) -> Self {
        Self {
            life,
            machine,
            interference,
            born_ms,
            began: now,
            clock_start_ms,
            token: 0,
            lease_ms: None,
            runs: IndexMap::new(),
            ended: IndexMap::new(),
            finished: VecDeque::new(),
            last_number: 0,
            acknowledged: 0,
        }
    }

    /// The worker's clock in milliseconds.
    pub(crate) fn clock_ms(&self, now: Duration) -> u64 {
        let passed = now.saturating_sub(self.began).as_secs_f64() * self.machine.clock_rate;
        self.clock_start_ms + (passed * 1e3) as u64
    }

    pub(crate) fn runs(&self) -> impl Iterator<Item = (&TaskName, u64, &Run)> {
        self.runs
            .iter()
            .map(|((task, run), state)| (task, *run, state))
    }

    /// Ends that were not taken note of, oldest first.
    pub(crate) fn finished(&self) -> impl Iterator<Item = &ListedEnd> {
        self.finished.iter().take(MAX_LISTED_ENDS)
    }

    fn accept_token(&mut self, token: u64) -> Result<(), Refusal> {
        if token < self.token {
            return Err(Refusal::Fence);
        }
        self.token = token;
        Ok(())
    }

    fn extend_lease(&mut self, deadline_ms: u64, now: Duration) {
        let longest = self.clock_ms(now) + self.machine.max_lease.as_millis() as u64;
        let wanted = deadline_ms.min(longest);
        self.lease_ms = Some(self.lease_ms.map_or(wanted, |lease| lease.max(wanted)));
    }

    /// Carries out an order to start a run of a job, if the job is known.
    pub(crate) fn start(
        &mut self,
        order: StartOrder,
        job: Option<&SentJob>,
        now: Duration,
        history: &History,
    ) -> Result<(), Refusal> {
        self.accept_token(order.token)?;
        if order.deadline_ms <= self.clock_ms(now) {
            return Err(Refusal::Late);
        }
        self.extend_lease(order.deadline_ms, now);
        let key = (order.task.clone(), order.run);
        if self.runs.contains_key(&key) {
            return Ok(());
        }
        if self.ended.get(&order.task).is_some_and(|&e| order.run <= e) {
            return Err(Refusal::Old);
        }
        let step = job.and_then(|j| j.steps.get(order.task.step));
        let resumed = order.checkpoint.as_deref().map_or(Duration::ZERO, progress);
        let work = match step {
            Some(step) if step.lasts => None,
            Some(step) => Some(step.work),
            None => Some(CHECKPOINT_INTERVAL),
        };
        let run = Run {
            worked: resumed,
            updated: now,
            pace: 100,
            next_pace: None,
            work,
            cpu: step.map_or(0, |s| s.cpu),
            memory: step.map_or(0, |s| s.memory),
            role: step.map(|s| s.role.clone()).unwrap_or_default(),
            headrooms: VecDeque::new(),
            disturbed: false,
            paused: false,
            checkpoints: step.is_some_and(|s| s.checkpoints),
            saved: order.checkpoint.clone(),
            fails: order.fails,
            stops_at: None,
        };
        let used = self
            .runs
            .values()
            .chain([&run])
            .fold((0, 0), |(c, m), r| (c + r.reserved_cpu(), m + r.memory));
        let over_room = used.0 > self.machine.cpu || used.1 > self.machine.memory;
        if over_room && self.machine.guards_room {
            return Err(Refusal::Room);
        }
        history.add(What::Started {
            worker: self.life.clone(),
            zone: self.machine.zone.clone(),
            service: self.machine.service.clone(),
            task: order.task,
            run: order.run,
            payload: order.payload,
            checkpoint: order.checkpoint,
            late: order.late,
            over_room,
        });
        self.runs.insert(key, run);
        Ok(())
    }

    /// Orders a run to stop, within `takes`. A run that is not there is refused from now on.
    pub(crate) fn stop(
        &mut self,
        task: &TaskName,
        run: u64,
        token: u64,
        takes: Duration,
        now: Duration,
    ) -> Result<(), Refusal> {
        self.accept_token(token)?;
        match self.runs.get_mut(&(task.clone(), run)) {
            Some(state) => {
                state.stops_at.get_or_insert(now + takes);
            }
            None => {
                let ended = self.ended.entry(task.clone()).or_default();
                *ended = run.max(*ended);
            }
        }
        Ok(())
    }

    /// Accepts a token and, if given, a longer lease; forgets ends that were taken note of.
    pub(crate) fn hold(
        &mut self,
        token: u64,
        deadline_ms: Option<u64>,
        acknowledged: u64,
        now: Duration,
        history: &History,
    ) -> Result<(), Refusal> {
        self.accept_token(token)?;
        if let Some(deadline_ms) = deadline_ms {
            self.extend_lease(deadline_ms, now);
        }
        if acknowledged > self.acknowledged {
            self.acknowledged = acknowledged;
            self.finished.retain(|end| end.number > acknowledged);
            history.add(What::Acknowledged {
                worker: self.life.clone(),
                number: acknowledged,
            });
        }
        Ok(())
    }

    /// Orders a pace in percent for a run, if it is there.
    pub(crate) fn pace(
        &mut self,
        task: &TaskName,
        run: u64,
        percent: u64,
        token: u64,
        now: Duration,
    ) -> Result<(), Refusal> {
        self.accept_token(token)?;
        if let Some(state) = self.runs.get_mut(&(task.clone(), run)) {
            state.update_pace(now);
            state.next_pace = Some((percent, now + PACE_DELAY));
        }
        Ok(())
    }

    /// What a worker reports of a run: the tail in milliseconds of a serving task, and the
    /// millicores in use of any other.
    pub(crate) fn usage(&self, task: &TaskName, run: &Run, now: Duration) -> u64 {
        let Role::Serving { target, .. } = &run.role else {
            return run.used_cpu();
        };
        if run.headrooms.is_empty() {
            return 0;
        }
        let sum: f64 = run.headrooms.iter().map(|(_, headroom)| headroom).sum();
        let mean = sum / run.headrooms.len() as f64;
        let tail = target.as_secs_f64() / mean * self.interference.noise(task, now);
        (tail * 1e3).round() as u64
    }

    /// Measures the headroom of the serving tasks.
    fn measure(&mut self, now: Duration, history: &History) {
        let capacity = self.machine.cpu.max(1) as f64;
        let share = |run: &Run| match &run.role {
            Role::BestEffort { image } if run.pace > 0 => {
                Some((image.clone(), run.used_cpu() as f64 / capacity))
            }
            _ => None,
        };
        let neighbours: Vec<(ArcStr, f64)> = self.runs.values().filter_map(share).collect();
        for ((task, _), run) in &mut self.runs {
            let Role::Serving { image, .. } = &run.role else {
                continue;
            };
            let beside = neighbours.iter().map(|(image, s)| (image.as_str(), *s));
            let serving = (task.job.as_str(), image.as_str());
            let headroom = self.interference.headroom(serving, beside, now);
            run.headrooms.push_back((now, headroom));
            run.headrooms.retain(|(at, _)| now - *at < REPORT_WINDOW);
            let undisturbed = self.interference.undisturbed(&task.job, now);
            let disturbed = headroom < 1.0 && undisturbed >= 1.0;
            if disturbed != run.disturbed {
                run.disturbed = disturbed;
                history.add(What::Disturbed {
                    worker: self.life.clone(),
                    task: task.clone(),
                    disturbed,
                });
            }
        }
    }

    /// Ends what is due: the lease, and runs that are done or stopped. Returns whether a run
    /// has ended.
    pub(crate) fn advance(&mut self, now: Duration, history: &History) -> bool {
        let clock_ms = self.clock_ms(now);
        let lapsed = self.lease_ms.is_some_and(|lease| lease <= clock_ms);
        if lapsed {
            self.lease_ms = None;
        }
        let mut ends = Vec::new();
        for ((task, number), run) in &mut self.runs {
            run.update_pace(now);
            let paused = run.pace == 0;
            if paused != run.paused {
                run.paused = paused;
                history.add(What::Paused {
                    worker: self.life.clone(),
                    task: task.clone(),
                    run: *number,
                    paused,
                });
            }
            let progress = run.progress(now);
            let finished = run.work.is_some_and(|work| progress >= work);
            let stopped = run.stops_at.is_some_and(|at| at <= now);
            let end = match (lapsed, stopped, finished) {
                (true, ..) => Some(RunEnd::Lapsed),
                (_, true, _) => Some(RunEnd::Stopped),
                (_, _, true) if run.fails => Some(RunEnd::Failed),
                (_, _, true) => Some(RunEnd::Done),
                _ => None,
            };
            if run.checkpoints && end != Some(RunEnd::Lapsed) {
                save(task, run, progress, end == Some(RunEnd::Stopped), history);
            }
            if let Some(end) = end {
                ends.push((task.clone(), *number, end));
            }
        }
        for (task, number, end) in &ends {
            self.end(task, *number, *end, history);
        }
        if lapsed {
            let worker = self.life.clone();
            history.add(What::Lapsed { worker });
        }
        self.measure(now, history);
        !ends.is_empty()
    }

    fn end(&mut self, task: &TaskName, run: u64, end: RunEnd, history: &History) {
        let saved = self
            .runs
            .shift_remove(&(task.clone(), run))
            .and_then(|state| state.saved);
        let ended = self.ended.entry(task.clone()).or_default();
        *ended = run.max(*ended);
        self.last_number += 1;
        self.finished.push_back(ListedEnd {
            number: self.last_number,
            task: task.clone(),
            run,
            end,
            saved,
        });
        history.add(What::Ended {
            worker: self.life.clone(),
            number: self.last_number,
            task: task.clone(),
            run,
            end,
        });
    }
}

/// Produces a checkpoint if one is due, or if the run is being stopped.
fn save(task: &TaskName, run: &mut Run, done: Duration, stopped: bool, history: &History) {
    let last = run.saved.as_deref().map_or(Duration::ZERO, progress);
    if done < last + CHECKPOINT_INTERVAL && !stopped {
        return;
    }
    let checkpoint = ArcStr::from(format!(
        "{:0width$}{task}",
        done.as_millis(),
        width = PROGRESS_DIGITS
    ));
    history.add(What::Saved {
        task: task.clone(),
        checkpoint: checkpoint.clone(),
    });
    run.saved = Some(checkpoint);
}

/// The work that a checkpoint holds.
fn progress(checkpoint: &str) -> Duration {
    let digits = checkpoint.get(..PROGRESS_DIGITS).unwrap_or_default();
    Duration::from_millis(digits.parse().unwrap_or(0))
}
