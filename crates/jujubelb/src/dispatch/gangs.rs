//! Starts the tasks of gangs, all together or none.

use indexmap::IndexMap;

use super::crash::Isolation;
use super::health;
use super::job_spec::{JobRecord, Run, Step, StepKey, TaskKey};
use super::launch::log_placement;
use super::placement::PlacementRequest;
use super::worker::TrackedRun;
use super::{Dispatcher, WorkerOrder};
use crate::model::{Span, Time, WorkerName, WorkerTime};

impl Dispatcher {
    /// Starts all tasks of a gang or none. Falls back to several racks if no single rack has
    /// enough capacity.
    pub(super) fn start_gang(
        &mut self,
        key: StepKey,
        record: &JobRecord,
        step: &Step,
        orders: &mut Vec<WorkerOrder>,
        now: Time,
    ) {
        let racks: Vec<Option<String>> = if step.same_rack {
            let mut racks: Vec<Option<String>> = self
                .workers
                .values()
                .filter_map(|w| w.report.rack.as_ref())
                .map(|r| Some(r.to_string()))
                .collect();
            racks.sort();
            racks.dedup();
            racks.push(None);
            racks
        } else {
            vec![None]
        };
        let may_probe = (0..step.count).all(|i| self.may_probe(key, i, record));
        let probes = match (may_probe, self.probe_slots) {
            (true, _) => vec![Some(Span::ZERO)],
            (false, 0) => vec![None],
            (false, _) => vec![None, Some(health::LAST_ATTEMPT_DELAY)],
        };
        let places = probes
            .iter()
            .flat_map(|probe| racks.iter().map(move |rack| (*probe, rack.as_deref())));
        for (probe_after, rack) in places {
            let Some(chosen) = self.reserve_gang(key, record, step, probe_after, rack, now) else {
                continue;
            };
            let tasks: Vec<TaskKey> = (0..step.count)
                .map(|index| TaskKey { step: key, index })
                .collect();
            let run = self.next_run(&tasks);
            let mut tasks_by_worker: IndexMap<WorkerName, u32> = IndexMap::new();
            for (task, worker) in tasks.into_iter().zip(chosen) {
                self.start(&worker, task, run, record, step, orders, now);
                *tasks_by_worker.entry(worker).or_default() += 1;
            }
            log_placement(key, record, &tasks_by_worker);
            return;
        }
    }

    /// How far the members of a gang are kept apart from other tasks.
    fn gang_isolation(&self, key: StepKey, now: Time) -> Isolation {
        let first = TaskKey {
            step: key,
            index: 0,
        };
        let job = self.jobs.get(&key.job);
        let task = job.and_then(|j| j.task(first));
        // Several members may share a worker, so they do not exclude each other.
        let isolation = task.map(|t| t.isolation_at(false, now)).unwrap_or_default();
        isolation.min(Isolation::Apart)
    }

    /// Finds workers for all members of a gang, without starting any.
    fn reserve_gang(
        &mut self,
        key: StepKey,
        record: &JobRecord,
        step: &Step,
        probe_after: Option<Span>,
        rack: Option<&str>,
        now: Time,
    ) -> Option<Vec<WorkerName>> {
        let members = step.count as usize;
        if self.allowed_starts(key, step, members) < members {
            return None;
        }
        let request = PlacementRequest {
            key,
            step,
            service: &record.queue.service,
            rack,
            keep_reserve: false,
            probe_after,
            isolation: self.gang_isolation(key, now),
            needs_ticket: record.queue.ticket_lifetime.is_some(),
            starved: false,
        };
        let mut chosen = Vec::new();
        for index in 0..step.count {
            let Some(name) = self.choose_worker(&request, now) else {
                break;
            };
            // Members are one probe together, so a member that has a place excludes no other.
            let tracked = TrackedRun {
                since: Time::ZERO,
                ..self.new_run(Run(0), step, WorkerTime::ZERO, now)
            };
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.runs.insert(TaskKey { step: key, index }, tracked);
                worker.update_load();
            }
            chosen.push(name);
        }
        for (index, name) in (0u32..).zip(&chosen) {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.runs.shift_remove(&TaskKey { step: key, index });
                worker.update_load();
            }
        }
        (chosen.len() == step.count as usize).then_some(chosen)
    }
}
