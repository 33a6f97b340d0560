//! The scheduling pass: in which order it expires leases, stops runs, adjusts paces and starts
//! ready tasks.

use indexmap::IndexSet;

use super::health;
use super::job::Job;
use super::job_spec::StepKey;
use super::rank::{self, RankContext, StepRank};
use super::unplaced::UnplacedSizes;
use super::{Dispatcher, WorkerOrder};
use crate::model::{ServiceName, Time, WallTime};

impl Dispatcher {
    /// Makes one scheduling pass and returns the orders to send. Returns none once the term
    /// is over.
    pub fn plan(&mut self, wall: WallTime, now: Time) -> Vec<WorkerOrder> {
        if self.deposed {
            return Vec::new();
        }
        self.last_pass = now;
        self.begin_due_occurrences(wall, now);
        self.expire_leases(now);
        self.resolve_inherited(now);
        let mut orders = Vec::new();
        self.stop_on_draining(now);
        self.stop_stalled(now);
        self.decay_slopes(now);
        self.stop_unwanted(&mut orders, now);
        self.adjust_paces(&mut orders, now);
        self.count_customers();
        if self.may_start(now) && self.check_evidence(now) {
            self.start_ready(&mut orders, now);
        }
        self.report_waits(now);
        self.report_customers(now);
        self.count_load(now);
        orders
    }

    /// Steps with tasks that could start, in the order in which they are placed. Drops the others
    /// from those that are ready.
    pub(super) fn ranked_steps(&mut self, now: Time) -> Vec<(StepRank, StepKey)> {
        let mut ranked: Vec<(StepRank, StepKey)> = Vec::with_capacity(self.ready.len());
        let mut not_ready = Vec::new();
        let mut long_running = Vec::new();
        let spare = self.spare_services();
        for key in &self.ready {
            let Some(job) = self.jobs.get(&key.job).filter(|j| j.outcome.is_none()) else {
                not_ready.push(*key);
                continue;
            };
            if job.arrival > self.confirmed {
                continue;
            }
            let step = usize::from(key.step);
            let occurrence = job.occurrence(key.occurrence);
            let startable = occurrence.filter(|o| {
                o.steps.get(step).is_some_and(|s| s.waiting > 0) && job.is_step_ready(o, step)
            });
            match startable {
                Some(occurrence) => {
                    let context = self.rank_context(job, *key, &spare, now);
                    if job.is_long_running(key.step) {
                        long_running.push(*key);
                    }
                    let rank = rank::rank(job, occurrence, step, context, now);
                    ranked.push((rank, *key));
                }
                None => not_ready.push(*key),
            }
        }
        for key in not_ready {
            self.ready.shift_remove(&key);
        }
        for key in long_running {
            let job = self.jobs.get_mut(&key.job);
            if let Some(state) = job.and_then(|j| j.step_mut(key.occurrence, key.step)) {
                state.begin_waits(now);
            }
        }
        ranked.sort_unstable_by(rank::compare);
        ranked
    }

    /// What the rank of a ready step depends on besides its job.
    pub(super) fn rank_context(
        &self,
        job: &Job,
        key: StepKey,
        spare: &IndexSet<ServiceName>,
        now: Time,
    ) -> RankContext {
        let state = job.step(key.occurrence, key.step);
        let state = state.filter(|_| job.is_long_running(key.step));
        let tasks = state.iter().flat_map(|s| &s.tasks);
        let startable = tasks.filter(|t| self.is_startable(t, now));
        let since = startable.filter_map(|t| t.waiting_since).min();
        RankContext {
            beyond_share: self.is_beyond_share(job),
            spare_capacity: spare.contains(&job.record.queue.service),
            wait: since.map(|t| now.since(t)).unwrap_or_default(),
        }
    }

    fn start_ready(&mut self, orders: &mut Vec<WorkerOrder>, now: Time) {
        let mut ranked = self.ranked_steps(now);
        let in_use = self.workers.values().filter(|w| w.listed);
        let probing = in_use.clone().filter(|w| w.is_probing(now)).count();
        self.probe_slots = health::probe_slots(in_use.count(), probing);
        let mut unplaced = UnplacedSizes::default();
        for (_, key) in ranked.iter().filter(|(r, _)| r.is_first_task_due()) {
            self.start_first_task(*key, &mut unplaced, orders, now);
        }
        for (_, key) in &ranked {
            self.start_step(*key, &mut unplaced, orders, now);
        }
        ranked.retain(|(rank, _)| !rank.is_long_running());
        self.start_starved(&ranked, orders, now);
    }
}
